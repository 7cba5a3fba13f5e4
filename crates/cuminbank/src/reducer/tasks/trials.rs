//! Quarantine of workers that fail what they start.

use std::time::Duration;

use crate::{ids::MonotonicTime, ledger::TaskId};

const FAILURES_TO_QUARANTINE: u32 = 3;
const FIRST_QUARANTINE: Duration = Duration::from_secs(10);
const LONGEST_QUARANTINE: Duration = Duration::from_secs(300);
/// A trial that runs this long no longer keeps the worker from getting a second task; otherwise
/// one long task after a single failure would leave the rest of the worker unused.
const LONG_TRIAL: Duration = Duration::from_secs(60);

/// Results of a worker's recent attempts.
#[derive(Debug, Default)]
pub struct WorkerHealth {
    failures: u32,
    quarantine: Duration,
    until: MonotonicTime,
    trial: Option<(TaskId, MonotonicTime)>,
}

impl WorkerHealth {
    /// Tells whether the worker may get a task now. After a failure it gets one at a time.
    pub fn allows(&self, now: MonotonicTime) -> bool {
        if self.failures == 0 {
            return true;
        }
        now >= self.until && self.trial.is_none_or(|(_, since)| now >= since + LONG_TRIAL)
    }

    /// Tells whether the last result was a failure.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Notes a start.
    pub fn on_start(&mut self, now: MonotonicTime, task: TaskId) {
        if self.failures > 0 {
            self.trial = Some((task, now));
        }
    }

    /// Notes an attempt that finished its task.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Notes an attempt that ended without telling anything about the worker.
    pub fn on_neutral(&mut self, task: TaskId) {
        self.trial = self.trial.filter(|(trial, _)| *trial != task);
    }

    /// Notes a failed attempt and tells whether a quarantine begins.
    pub fn on_failure(&mut self, now: MonotonicTime, task: TaskId) -> bool {
        self.on_neutral(task);
        self.failures += 1;
        // Attempts that began before the quarantine end together and count once.
        if self.failures < FAILURES_TO_QUARANTINE || now < self.until {
            return false;
        }
        self.quarantine = (self.quarantine * 2).clamp(FIRST_QUARANTINE, LONGEST_QUARANTINE);
        self.until = now + self.quarantine;
        true
    }
}
