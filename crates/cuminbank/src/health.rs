//! Quarantine of targets that fail what they start.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::ids::{ClassName, MonotonicTime, TargetName};

/// Failures in a row with no success between them that quarantine a target.
const FAILURES_IN_A_ROW: u32 = 3;
/// Share of failures above which a target is quarantined.
const FAILURE_RATIO: f64 = 0.5;
/// Decayed number of results from which the ratio counts. Six results within a few seconds weigh a
/// little less than six because of the decay.
const RATIO_RESULTS: f64 = 5.5;
/// Time in which the weight of a result halves.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// First time in quarantine; it doubles with each further failure.
const FIRST_QUARANTINE: Duration = Duration::from_secs(10);
/// Longest time in quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(300);
/// Distinct targets on which a class has to fail, without a success anywhere, for its failures to
/// count against the class and no longer against targets. Otherwise one broken kind of call would
/// put every target into quarantine.
const FAULTY_CLASS_TARGETS: usize = 3;
/// Classes with failures kept. Callers name classes, so their number needs a bound.
const MAX_CLASSES: usize = 1_000;

/// Whether a target may be given work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthGate {
    /// Any work.
    Open,
    /// One trial, which decides whether the target leaves quarantine.
    Trial,
    /// No work before this time; `None` while a trial runs.
    Closed(Option<MonotonicTime>),
}

/// A change of a target's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// The target is quarantined until this time.
    Quarantined(MonotonicTime),
    /// The target left quarantine.
    Released,
}

#[derive(Debug, Default)]
struct HealthEntry {
    successes: f64,
    failures: f64,
    decayed_at: MonotonicTime,
    failures_in_a_row: u32,
    quarantine: Option<Quarantine>,
}

#[derive(Debug)]
struct Quarantine {
    until: MonotonicTime,
    length: Duration,
    trial: bool,
}

/// Decayed failure ratio of each target, and its quarantine.
#[derive(Debug, Default)]
pub struct TargetHealth {
    targets: HashMap<TargetName, HealthEntry>,
    faulty_classes: HashMap<ClassName, BTreeSet<TargetName>>,
}

impl HealthEntry {
    fn decay(&mut self, now: MonotonicTime) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let factor = (-elapsed / HALF_LIFE.as_secs_f64()).exp2();
        self.successes *= factor;
        self.failures *= factor;
        self.decayed_at = now;
    }

    fn is_failing(&self) -> bool {
        let results = self.successes + self.failures;
        self.failures_in_a_row >= FAILURES_IN_A_ROW
            || (results >= RATIO_RESULTS && self.failures > FAILURE_RATIO * results)
    }

    fn close(&mut self, now: MonotonicTime, length: Duration) -> HealthChange {
        let until = now + length;
        self.quarantine = Some(Quarantine { until, length, trial: false });
        HealthChange::Quarantined(until)
    }
}

impl TargetHealth {
    /// Returns whether a target may be given work at `now`.
    pub fn gate(&self, target: &str, now: MonotonicTime) -> HealthGate {
        let quarantine = self.targets.get(target).and_then(|entry| entry.quarantine.as_ref());
        match quarantine {
            None => HealthGate::Open,
            Some(quarantine) if quarantine.trial => HealthGate::Closed(None),
            Some(quarantine) if now < quarantine.until => {
                HealthGate::Closed(Some(quarantine.until))
            }
            Some(_) => HealthGate::Trial,
        }
    }

    /// Notes that work was started on a target; the first after a quarantine is the trial.
    pub fn note_start(&mut self, target: &str) {
        let quarantine = self.targets.get_mut(target).and_then(|entry| entry.quarantine.as_mut());
        if let Some(quarantine) = quarantine {
            quarantine.trial = true;
        }
    }

    /// Notes that work ended in a way that says nothing about the target.
    pub fn note_unjudged(&mut self, target: &str) {
        let quarantine = self.targets.get_mut(target).and_then(|entry| entry.quarantine.as_mut());
        if let Some(quarantine) = quarantine {
            quarantine.trial = false;
        }
    }

    /// Records that a target finished work of a class.
    pub fn record_success(
        &mut self,
        target: &str,
        class: &str,
        now: MonotonicTime,
    ) -> Option<HealthChange> {
        self.faulty_classes.remove(class);
        let entry = self.targets.entry(target.to_owned()).or_default();
        entry.decay(now);
        entry.successes += 1.0;
        entry.failures_in_a_row = 0;
        let quarantine = entry.quarantine.as_ref()?;
        if !quarantine.trial {
            // Work that was started before the quarantine proves nothing about it.
            return None;
        }
        *entry = HealthEntry { successes: 1.0, decayed_at: now, ..HealthEntry::default() };
        Some(HealthChange::Released)
    }

    /// Records that a target failed work of a class.
    pub fn record_failure(
        &mut self,
        target: &str,
        class: &str,
        now: MonotonicTime,
    ) -> Option<HealthChange> {
        if self.is_class_faulty(target, class) {
            self.note_unjudged(target);
            return None;
        }
        let entry = self.targets.entry(target.to_owned()).or_default();
        entry.decay(now);
        entry.failures += 1.0;
        entry.failures_in_a_row += 1;
        if let Some(quarantine) = &entry.quarantine {
            let length = (quarantine.length * 2).min(LONGEST_QUARANTINE);
            return quarantine.trial.then(|| entry.close(now, length));
        }
        entry.is_failing().then(|| entry.close(now, FIRST_QUARANTINE))
    }

    /// Forgets a target that ended.
    pub fn forget(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Returns the number of targets in quarantine.
    pub fn quarantined(&self) -> usize {
        self.targets.values().filter(|entry| entry.quarantine.is_some()).count()
    }

    /// Notes a failure of a class on a target and tells whether the class failed on enough distinct
    /// targets to be the cause itself.
    fn is_class_faulty(&mut self, target: &str, class: &str) -> bool {
        if !self.faulty_classes.contains_key(class) && self.faulty_classes.len() >= MAX_CLASSES {
            return false;
        }
        let targets = self.faulty_classes.entry(class.to_owned()).or_default();
        if targets.len() < FAULTY_CLASS_TARGETS {
            targets.insert(target.to_owned());
            return false;
        }
        true
    }
}
