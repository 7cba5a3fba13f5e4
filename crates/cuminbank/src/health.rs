//! Health of targets (executors and workers): quarantine of those on which work keeps failing.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::ids::{ClassName, MonotonicTime, TargetName};

/// Number of consecutive failures after which a target is quarantined.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 3;
/// Ratio of failures to all results above which a target is quarantined.
const FAILURE_RATIO: f64 = 0.5;
/// Minimum decayed number of results for the failure ratio to count. Six results within a few
/// seconds weigh slightly less than 6 because of the decay.
const MIN_RATIO_RESULTS: f64 = 5.5;
/// Time after which a result weighs half as much.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Length of the first quarantine; it doubles with each failed trial.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(10);
/// Maximum length of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(300);
/// Time for which a running trial blocks further work on its target. Without this limit, one long
/// task after a single failure would leave the rest of a worker unused.
const TRIAL_EXCLUSIVITY: Duration = Duration::from_secs(60);
/// Number of distinct targets on which a class has to fail, without a success anywhere, for further
/// failures to count against the class instead of the targets. Otherwise one class of calls that
/// always fails would quarantine every target.
const FAULTY_CLASS_TARGETS: usize = 3;
/// Maximum number of failing classes tracked. Callers choose class names, so the number needs a
/// bound.
const MAX_CLASSES: usize = 1_000;

/// Decision whether a target accepts work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthGate {
    /// The target accepts any work.
    Open,
    /// The target accepts one trial, which decides whether it leaves quarantine.
    Trial,
    /// The target accepts no work before this time; `None` while a trial runs.
    Closed(Option<MonotonicTime>),
}

/// A change of the quarantine of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// The target was quarantined until this time.
    Quarantined(MonotonicTime),
    /// The target left quarantine.
    Released,
}

/// Recent results and quarantine of one target. `W` identifies a piece of work (call or task). `()`
/// suffices for targets that run no other work during a trial.
#[derive(Debug)]
pub struct HealthRecord<W> {
    successes: f64,
    failures: f64,
    decayed_at: MonotonicTime,
    consecutive_failures: u32,
    quarantine: Option<QuarantinePeriod>,
    /// Work started in quarantine or since the last failure, with its start time.
    trials: Vec<(W, MonotonicTime)>,
}

#[derive(Clone, Copy, Debug)]
struct QuarantinePeriod {
    until: MonotonicTime,
    length: Duration,
}

/// Health of all targets by name, and of the classes that fail on several targets.
#[derive(Debug, Default)]
pub struct TargetHealth {
    targets: HashMap<TargetName, HealthRecord<()>>,
    class_failures: HashMap<ClassName, BTreeSet<TargetName>>,
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
    /// Returns whether the target accepts work at `now`.
    pub fn gate(&self, now: MonotonicTime) -> HealthGate {
        match self.quarantine {
            None => HealthGate::Open,
            Some(_) if self.has_trial(now) => HealthGate::Closed(None),
            Some(period) if now < period.until => HealthGate::Closed(Some(period.until)),
            Some(_) => HealthGate::Trial,
        }
    }

    /// Returns whether one more piece of work may start at `now`. Unlike [`Self::gate`], it allows
    /// only one piece of work at a time after a failure, even before a quarantine. This bounds the
    /// number of starts on a large worker that fails everything.
    pub fn allows_start(&self, now: MonotonicTime) -> bool {
        match self.gate(now) {
            HealthGate::Open => self.consecutive_failures == 0 || !self.has_trial(now),
            HealthGate::Trial => true,
            HealthGate::Closed(_) => false,
        }
    }

    /// Returns whether the target is in quarantine or its last result was a failure.
    pub fn is_suspect(&self) -> bool {
        self.quarantine.is_some() || self.consecutive_failures > 0
    }

    /// Records the start of work. It counts as a trial if the target is suspect.
    pub fn record_start(&mut self, now: MonotonicTime, work: W) {
        if self.is_suspect() {
            self.record_inconclusive(&work);
            self.trials.push((work, now));
        }
    }

    /// Records the end of work whose result says nothing about the health of the target.
    pub fn record_inconclusive(&mut self, work: &W) {
        self.trials.retain(|(trial, _)| trial != work);
    }

    /// Records a success. Returns the release from quarantine if `work` was its trial.
    pub fn record_success(&mut self, now: MonotonicTime, work: &W) -> Option<HealthChange> {
        self.decay(now);
        self.successes += 1.0;
        self.consecutive_failures = 0;
        if self.quarantine.is_none() {
            self.trials.clear();
            return None;
        }
        if !self.is_trial(work) {
            // Work started before the quarantine does not show that the target has recovered.
            return None;
        }
        *self = Self { successes: 1.0, decayed_at: now, ..Self::default() };
        Some(HealthChange::Released)
    }

    /// Records a failure. Returns the new quarantine if the failure begins or extends one.
    pub fn record_failure(&mut self, now: MonotonicTime, work: &W) -> Option<HealthChange> {
        let was_trial = self.is_trial(work);
        self.record_inconclusive(work);
        self.decay(now);
        self.failures += 1.0;
        self.consecutive_failures += 1;
        if let Some(period) = self.quarantine {
            // Work started before the quarantine has no further effect: a burst of failures causes
            // one quarantine and does not extend it.
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
    /// Returns whether a target accepts work at `now`; an unknown target does.
    pub fn gate(&self, target: &str, now: MonotonicTime) -> HealthGate {
        self.targets.get(target).map_or(HealthGate::Open, |record| record.gate(now))
    }

    /// Records the start of work on a target. It counts as a trial if the target is suspect in the
    /// sense of [`HealthRecord::is_suspect`].
    pub fn record_start(&mut self, target: &str, now: MonotonicTime) {
        if let Some(record) = self.targets.get_mut(target) {
            record.record_start(now, ());
        }
    }

    /// Records the end of work whose result says nothing about the health of the target.
    pub fn record_inconclusive(&mut self, target: &str) {
        if let Some(record) = self.targets.get_mut(target) {
            record.record_inconclusive(&());
        }
    }

    /// Records a success of a class of work on a target. Returns the release of the target from
    /// quarantine, if it left one.
    pub fn record_success(
        &mut self,
        target: &str,
        class: &str,
        now: MonotonicTime,
    ) -> Option<HealthChange> {
        self.class_failures.remove(class);
        self.targets.entry(target.to_owned()).or_default().record_success(now, &())
    }

    /// Records a failure of a class of work on a target. Returns the new quarantine if the failure
    /// begins or extends one. Failures of a class that fails on many targets do not count.
    pub fn record_failure(
        &mut self,
        target: &str,
        class: &str,
        now: MonotonicTime,
    ) -> Option<HealthChange> {
        if self.record_class_failure(target, class) {
            self.record_inconclusive(target);
            return None;
        }
        self.targets.entry(target.to_owned()).or_default().record_failure(now, &())
    }

    /// Removes the health record of a target that is no longer tracked.
    pub fn remove(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Returns the number of targets in quarantine.
    pub fn quarantined(&self) -> usize {
        self.targets.values().filter(|record| record.quarantine.is_some()).count()
    }

    /// Records a failure of a class on a target. Returns whether the class had already failed on so
    /// many distinct targets that the class, not the target, counts as the cause.
    fn record_class_failure(&mut self, target: &str, class: &str) -> bool {
        if !self.class_failures.contains_key(class) && self.class_failures.len() >= MAX_CLASSES {
            return false;
        }
        let targets = self.class_failures.entry(class.to_owned()).or_default();
        if targets.len() < FAULTY_CLASS_TARGETS {
            targets.insert(target.to_owned());
            return false;
        }
        true
    }
}
