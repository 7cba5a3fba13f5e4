//! Usage windows of one machine, reported with a delay.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use cuminbank::{
    ids::{ClassName, MonotonicTime},
    worker::UsageWindow,
};

use crate::interference::MachineLoad;

/// Most windows kept until they are reported; the oldest are dropped.
const MAX_WINDOWS: usize = 60;

/// Sums the core usage and the call slowdowns of the current window and keeps closed windows until
/// they are reported.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageCollector {
    window_start: MonotonicTime,
    core_seconds: BTreeMap<ClassName, f64>,
    /// Sum and number of the slowdowns of each urgent class.
    slowdowns: BTreeMap<ClassName, (f64, u32)>,
    closed: VecDeque<(MonotonicTime, UsageWindow)>,
}

impl UsageCollector {
    pub(super) fn window_end(&self, length: Duration) -> MonotonicTime {
        self.window_start + length
    }

    /// Adds the core usage of `load` over the time `elapsed`.
    pub(super) fn add_usage(&mut self, load: &MachineLoad, elapsed: Duration) {
        for (class, cores) in &load.cores {
            *self.core_seconds.entry(class.clone()).or_default() += cores * elapsed.as_secs_f64();
        }
    }

    pub(super) fn add_slowdown(&mut self, class: &str, slowdown: f64) {
        let (sum, count) = self.slowdowns.entry(class.to_owned()).or_default();
        *sum += slowdown;
        *count += 1;
    }

    /// Closes the window that ends at `end`. A window in which nothing ran is not reported.
    pub(super) fn close_window(&mut self, end: MonotonicTime, length: Duration) {
        self.window_start = end;
        let core_seconds = std::mem::take(&mut self.core_seconds);
        let slowdowns = std::mem::take(&mut self.slowdowns);
        if core_seconds.is_empty() && slowdowns.is_empty() {
            return;
        }
        let mean = |(class, total): (ClassName, f64)| (class, total / length.as_secs_f64());
        let mean_slowdown =
            |(class, (sum, count)): (ClassName, (f64, u32))| (class, sum / f64::from(count));
        let window = UsageWindow {
            length_ms: u64::try_from(length.as_millis()).unwrap_or(u64::MAX),
            age_ms: 0,
            neighbours: core_seconds.into_iter().map(mean).collect(),
            slowdowns: slowdowns.into_iter().map(mean_slowdown).collect(),
        };
        self.closed.push_back((end, window));
        if self.closed.len() > MAX_WINDOWS {
            self.closed.pop_front();
        }
    }

    /// Removes and returns the windows that ended at least `lag` ago.
    pub(super) fn take_reports(&mut self, now: MonotonicTime, lag: Duration) -> Vec<UsageWindow> {
        let due = self.closed.partition_point(|(end, _)| *end + lag <= now);
        let aged = |(end, mut window): (MonotonicTime, UsageWindow)| {
            window.age_ms = u64::try_from((now - end).as_millis()).unwrap_or(u64::MAX);
            window
        };
        self.closed.drain(..due).map(aged).collect()
    }
}
