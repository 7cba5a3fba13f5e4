//! Interference between classes of work on one machine: a learned slowdown model, and the actions
//! that reduce a slowdown.

use std::{collections::HashMap, time::Duration};

use crate::{
    ids::{ClassName, MonotonicTime},
    worker::UsageWindow,
};

/// Slowdown factor of a latency-critical class above which its neighbours are throttled or evicted.
pub const HIGH_SLOWDOWN: f64 = 1.5;
/// Slowdown factor below which a throttled task regains its full CPU share.
pub const LOW_SLOWDOWN: f64 = 1.2;
/// Consecutive reports above [`HIGH_SLOWDOWN`] that trigger a throttle.
pub const REPORTS_TO_THROTTLE: u32 = 2;
/// Further consecutive reports above [`HIGH_SLOWDOWN`] that trigger an eviction.
pub const REPORTS_TO_EVICT: u32 = 3;
/// Consecutive reports below [`LOW_SLOWDOWN`] that end a throttle.
pub const REPORTS_TO_UNTHROTTLE: u32 = 4;
/// Minimum time between two evictions on one machine.
pub const EVICTION_INTERVAL: Duration = Duration::from_secs(5);

// Each report corrects half of the prediction error: the model approaches the measured value within
// two or three reports, and a single wrong report does not replace what was learned.
const LEARNING_RATE: f64 = 0.5;
// Limits the correction by a window in which the neighbours were almost idle.
const REGULARIZATION: f64 = 0.25;
// Limit of predictions and observations; no report justifies an extrapolation beyond it.
const MAX_SLOWDOWN: f64 = 100.0;

/// Linear model of the slowdown that each core used by a batch class adds to a latency-critical
/// class.
///
/// It has a coefficient for each pair of a latency-critical class (the victim) and a batch class
/// (the neighbour), fitted by normalized least mean squares.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    coefficients: HashMap<ClassName, HashMap<ClassName, f64>>,
}

impl InterferenceModel {
    /// Updates the model from a usage window. The neighbours are the ones in that window, so the
    /// slowdown in a late report is not attributed to the tasks that run now. Infinite, NaN and
    /// negative values are ignored.
    pub fn learn(&mut self, window: &UsageWindow) {
        let usable = |value: &f64| value.is_finite() && *value >= 0.0;
        let neighbours: Vec<_> =
            window.neighbours.iter().filter(|(_, cores)| usable(cores) && *cores > 0.0).collect();
        let squared_cores: f64 = neighbours.iter().map(|(_, cores)| cores * cores).sum();
        if squared_cores == 0.0 {
            return;
        }
        for (victim, observed) in &window.slowdowns {
            if !usable(observed) {
                continue;
            }
            let observed = observed.clamp(1.0, MAX_SLOWDOWN);
            let predicted = self
                .predict(victim, neighbours.iter().map(|(class, cores)| (class.as_str(), *cores)));
            let gain = LEARNING_RATE * (observed - predicted) / (REGULARIZATION + squared_cores);
            let row = self.coefficients.entry(victim.clone()).or_default();
            for (class, cores) in &neighbours {
                let coefficient = row.entry(class.clone()).or_default();
                *coefficient = (*coefficient + gain * cores).max(0.0);
            }
        }
    }

    /// Returns the predicted slowdown factor of `victim` beside `neighbours`, a list of classes
    /// with the cores that each uses.
    pub fn predict<'a>(
        &self,
        victim: &str,
        neighbours: impl Iterator<Item = (&'a str, f64)>,
    ) -> f64 {
        let Some(row) = self.coefficients.get(victim) else { return 1.0 };
        let extra: f64 =
            neighbours.map(|(class, cores)| row.get(class).copied().unwrap_or(0.0) * cores).sum();
        (1.0 + extra).min(MAX_SLOWDOWN)
    }

    /// Returns the slowdown that one core of `neighbour` adds to the factor of `victim`.
    pub fn coefficient(&self, victim: &str, neighbour: &str) -> f64 {
        let row = self.coefficients.get(victim);
        row.and_then(|row| row.get(neighbour)).copied().unwrap_or(0.0)
    }
}

/// Action against a slowdown on a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MitigationAction {
    /// Keep the current state.
    Keep,
    /// Halve the CPU share of the task that contributes most to the slowdown.
    Throttle,
    /// Restore the full CPU share of the throttled task.
    Unthrottle,
    /// Evict the throttled task, or the one that contributes most to the slowdown.
    Evict,
}

/// Decides with hysteresis when to throttle or evict tasks on one machine.
#[derive(Debug, Default)]
pub struct InterferenceMitigator {
    throttled: bool,
    high_reports: u32,
    low_reports: u32,
    last_eviction: Option<MonotonicTime>,
}

impl InterferenceMitigator {
    /// Updates the counters with the worst slowdown factor of a report and returns the action to
    /// take.
    pub fn on_report(&mut self, now: MonotonicTime, slowdown: f64) -> MitigationAction {
        self.high_reports = if slowdown > HIGH_SLOWDOWN { self.high_reports + 1 } else { 0 };
        self.low_reports = if slowdown < LOW_SLOWDOWN { self.low_reports + 1 } else { 0 };
        if !self.throttled {
            if self.high_reports < REPORTS_TO_THROTTLE {
                return MitigationAction::Keep;
            }
            self.throttled = true;
            self.high_reports = 0;
            return MitigationAction::Throttle;
        }
        if self.low_reports >= REPORTS_TO_UNTHROTTLE {
            self.throttled = false;
            self.low_reports = 0;
            return MitigationAction::Unthrottle;
        }
        if self.high_reports >= REPORTS_TO_EVICT && self.may_evict(now) {
            self.last_eviction = Some(now);
            self.throttled = false;
            self.high_reports = 0;
            return MitigationAction::Evict;
        }
        MitigationAction::Keep
    }

    /// Records that no task is throttled any longer.
    pub fn clear_throttle(&mut self) {
        self.throttled = false;
    }

    fn may_evict(&self, now: MonotonicTime) -> bool {
        self.last_eviction.is_none_or(|at| now >= at + EVICTION_INTERVAL)
    }
}
