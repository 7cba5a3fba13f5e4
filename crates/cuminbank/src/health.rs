//! Quarantine of targets that fail what they start.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::ids::{ClassName, MonotonicTime, TargetName};

/// Failures in a row with no success between them that quarantine a target.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 3;
/// Share of failures above which a target is quarantined.
const FAILURE_RATIO: f64 = 0.5;
/// Decayed number of results from which the ratio counts. Six results within a few seconds weigh a
/// little less than six because of the decay.
const MIN_RATIO_RESULTS: f64 = 5.5;
/// Time in which the weight of a result halves.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// First time in quarantine; it doubles with each further failure.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(10);
/// Longest time in quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(300);
/// A trial that runs this long no longer keeps the target from getting a second one; otherwise one
/// long task after a single failure would leave the rest of a worker unused.
const TRIAL_EXCLUSIVITY: Duration = Duration::from_secs(60);
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

/// Results of one target and its quarantine. `W` names a piece of work; `()` serves where the trial
/// is the only work on the target.
#[derive(Debug)]
pub struct HealthRecord<W> {
    successes: f64,
    failures: f64,
    decayed_at: MonotonicTime,
    consecutive_failures: u32,
    quarantine: Option<QuarantinePeriod>,
    /// Work started since the last failure or in quarantine, and when.
    trials: Vec<(W, MonotonicTime)>,
}

#[derive(Clone, Copy, Debug)]
struct QuarantinePeriod {
    until: MonotonicTime,
    length: Duration,
}

/// Health of each target that is named, and classes whose work fails everywhere.
#[derive(Debug, Default)]
pub struct TargetHealth {
    targets: HashMap<TargetName, HealthRecord<()>>,
    faulty_classes: HashMap<ClassName, BTreeSet<TargetName>>,
}

impl<W> Default for HealthRecord<W> {
    fn default() -> Self {
        Self {
            successes: 0.0,
            failures: 0.0,
            decayed_at: MonotonicTime::ZERO,
            consecutive_failures: 0,
            quarantine: None,
            trials: Vec::new(),
        }
    }
}

impl<W: PartialEq> HealthRecord<W> {
    /// Returns whether the target may be given work at `now`.
    pub fn gate(&self, now: MonotonicTime) -> HealthGate {
        match self.quarantine {
            None => HealthGate::Open,
            Some(_) if self.has_trial(now) => HealthGate::Closed(None),
            Some(period) if now < period.until => HealthGate::Closed(Some(period.until)),
            Some(_) => HealthGate::Trial,
        }
    }

    /// Tells whether the target may be given work at `now` if a target whose last result was a
    /// failure gets one piece of work at a time even before its quarantine. This bounds the starts
    /// of a large worker that fails everything.
    pub fn allows_start(&self, now: MonotonicTime) -> bool {
        match self.gate(now) {
            HealthGate::Open => self.consecutive_failures == 0 || !self.has_trial(now),
            HealthGate::Trial => true,
            HealthGate::Closed(_) => false,
        }
    }

    /// Tells whether the target is in quarantine or its last result was a failure.
    pub fn is_suspect(&self) -> bool {
        self.quarantine.is_some() || self.consecutive_failures > 0
    }

    /// Notes that work was started on the target.
    pub fn record_start(&mut self, now: MonotonicTime, work: W) {
        if self.is_suspect() {
            self.record_inconclusive(&work);
            self.trials.push((work, now));
        }
    }

    /// Notes that work ended in a way that says nothing about the target.
    pub fn record_inconclusive(&mut self, work: &W) {
        self.trials.retain(|(trial, _)| trial != work);
    }

    /// Records that the target finished work.
    pub fn record_success(&mut self, now: MonotonicTime, work: &W) -> Option<HealthChange> {
        self.decay(now);
        self.successes += 1.0;
        self.consecutive_failures = 0;
        if self.quarantine.is_none() {
            self.trials.clear();
            return None;
        }
        if !self.is_trial(work) {
            // Work that was started before the quarantine proves nothing about it.
            return None;
        }
        *self = Self { successes: 1.0, decayed_at: now, ..Self::default() };
        Some(HealthChange::Released)
    }

    /// Records that the target failed work.
    pub fn record_failure(&mut self, now: MonotonicTime, work: &W) -> Option<HealthChange> {
        let was_trial = self.is_trial(work);
        self.record_inconclusive(work);
        self.decay(now);
        self.failures += 1.0;
        self.consecutive_failures += 1;
        if let Some(period) = self.quarantine {
            // Work that was started before the quarantine counts once, by having begun it.
            let length = (period.length * 2).min(MAX_QUARANTINE);
            return was_trial.then(|| self.begin_quarantine(now, length));
        }
        self.is_failing().then(|| self.begin_quarantine(now, INITIAL_QUARANTINE))
    }

    fn is_trial(&self, work: &W) -> bool {
        self.trials.iter().any(|(trial, _)| trial == work)
    }

    fn has_trial(&self, now: MonotonicTime) -> bool {
        self.trials.iter().any(|(_, since)| now < *since + TRIAL_EXCLUSIVITY)
    }

    fn decay(&mut self, now: MonotonicTime) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let factor = (-elapsed / HALF_LIFE.as_secs_f64()).exp2();
        self.successes *= factor;
        self.failures *= factor;
        self.decayed_at = now;
    }

    fn is_failing(&self) -> bool {
        let results = self.successes + self.failures;
        self.consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT
            || (results >= MIN_RATIO_RESULTS && self.failures > FAILURE_RATIO * results)
    }

    fn begin_quarantine(&mut self, now: MonotonicTime, length: Duration) -> HealthChange {
        let until = now + length;
        self.quarantine = Some(QuarantinePeriod { until, length });
        self.trials.clear();
        HealthChange::Quarantined(until)
    }
}

impl TargetHealth {
    /// Returns whether a target may be given work at `now`.
    pub fn gate(&self, target: &str, now: MonotonicTime) -> HealthGate {
        self.targets.get(target).map_or(HealthGate::Open, |record| record.gate(now))
    }

    /// Notes that work was started on a target; the first after a quarantine is the trial.
    pub fn record_start(&mut self, target: &str, now: MonotonicTime) {
        if let Some(record) = self.targets.get_mut(target) {
            record.record_start(now, ());
        }
    }

    /// Notes that work ended in a way that says nothing about the target.
    pub fn record_inconclusive(&mut self, target: &str) {
        if let Some(record) = self.targets.get_mut(target) {
            record.record_inconclusive(&());
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
        self.targets.entry(target.to_owned()).or_default().record_success(now, &())
    }

    /// Records that a target failed work of a class.
    pub fn record_failure(
        &mut self,
        target: &str,
        class: &str,
        now: MonotonicTime,
    ) -> Option<HealthChange> {
        if self.is_class_faulty(target, class) {
            self.record_inconclusive(target);
            return None;
        }
        self.targets.entry(target.to_owned()).or_default().record_failure(now, &())
    }

    /// Forgets a target that ended.
    pub fn forget(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Returns the number of targets in quarantine.
    pub fn quarantined(&self) -> usize {
        self.targets.values().filter(|record| record.quarantine.is_some()).count()
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
