//! Interference between kinds of work on one machine: learned slowdowns and the steps against it.

use std::{collections::HashMap, time::Duration};

use crate::{
    ids::{ClassName, MonotonicTime},
    worker::UsageWindow,
};

/// Slowdown above which a latency-critical class is protected.
pub const HIGH_SLOWDOWN: f64 = 1.5;
/// Slowdown below which a throttled task gets its full share again.
pub const LOW_SLOWDOWN: f64 = 1.2;
/// Reports above [`HIGH_SLOWDOWN`] before a task is throttled.
pub const REPORTS_TO_THROTTLE: u32 = 2;
/// Further reports above [`HIGH_SLOWDOWN`] before a task is evicted.
pub const REPORTS_TO_EVICT: u32 = 3;
/// Reports below [`LOW_SLOWDOWN`] before a throttle ends.
pub const REPORTS_TO_UNTHROTTLE: u32 = 4;
/// Least time between two evictions on one machine.
pub const EVICTION_INTERVAL: Duration = Duration::from_secs(5);

// Half of the error is corrected in each report: two or three reports reach the measured value,
// and a single wrong report does not replace what was learned.
const LEARNING_RATE: f64 = 0.5;
// Keeps a window with almost no neighbours from causing a large correction.
const REGULARIZATION: f64 = 0.25;
// A longer extrapolation than this is not supported by any report.
const MAX_SLOWDOWN: f64 = 100.0;

/// Slowdown that a core of one class causes for another class.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    coefficients: HashMap<ClassName, HashMap<ClassName, f64>>,
}

impl InterferenceModel {
    /// Learns from a report. The neighbours are those of the reported window, so a late report is
    /// not attributed to the tasks that run now.
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

    /// Returns the slowdown of `victim` next to classes with the cores that each uses.
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

    /// Returns the slowdown that one core of `neighbour` adds to `victim`.
    pub fn coefficient(&self, victim: &str, neighbour: &str) -> f64 {
        let row = self.coefficients.get(victim);
        row.and_then(|row| row.get(neighbour)).copied().unwrap_or(0.0)
    }
}

/// Step against a slowdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MitigationAction {
    /// Leave everything as it is.
    Keep,
    /// Halve the share of the task that contributes most.
    Throttle,
    /// Give the throttled task its full share again.
    Unthrottle,
    /// Evict a task.
    Evict,
}

/// Hysteresis of one machine.
#[derive(Debug, Default)]
pub struct InterferenceMitigator {
    throttled: bool,
    high: u32,
    low: u32,
    evicted_at: Option<MonotonicTime>,
}

impl InterferenceMitigator {
    /// Takes the worst slowdown of a report and returns what to do.
    pub fn on_report(&mut self, now: MonotonicTime, slowdown: f64) -> MitigationAction {
        self.high = if slowdown > HIGH_SLOWDOWN { self.high + 1 } else { 0 };
        self.low = if slowdown < LOW_SLOWDOWN { self.low + 1 } else { 0 };
        if !self.throttled {
            if self.high < REPORTS_TO_THROTTLE {
                return MitigationAction::Keep;
            }
            self.throttled = true;
            self.high = 0;
            return MitigationAction::Throttle;
        }
        if self.low >= REPORTS_TO_UNTHROTTLE {
            self.throttled = false;
            self.low = 0;
            return MitigationAction::Unthrottle;
        }
        if self.high >= REPORTS_TO_EVICT && self.may_evict(now) {
            self.evicted_at = Some(now);
            self.throttled = false;
            self.high = 0;
            return MitigationAction::Evict;
        }
        MitigationAction::Keep
    }

    /// Notes that the throttled task is gone.
    pub fn clear_throttle(&mut self) {
        self.throttled = false;
    }

    fn may_evict(&self, now: MonotonicTime) -> bool {
        self.evicted_at.is_none_or(|at| now >= at + EVICTION_INTERVAL)
    }
}
