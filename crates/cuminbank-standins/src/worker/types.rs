//! Settings, counters and log entries of a worker.

use std::time::Duration;

use cuminbank::{ids::AttemptNumber, worker::ResourceSize};
use serde::{Deserialize, Serialize};

/// Settings of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSettings {
    /// Name of the worker.
    pub name: String,
    /// Its size.
    pub size: ResourceSize,
    /// Age that a usage window has to reach before it is reported.
    pub usage_lag: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Progress between the checkpoints that a task takes on its own.
    pub checkpoint_interval: Duration,
}

impl WorkerSettings {
    /// Creates settings with a lag of 2 s, windows of 1 s and checkpoints every 5 s.
    pub fn new(name: impl Into<String>, size: ResourceSize) -> Self {
        Self {
            name: name.into(),
            size,
            usage_lag: Duration::from_secs(2),
            usage_window: Duration::from_secs(1),
            checkpoint_interval: Duration::from_secs(5),
        }
    }
}

/// Requests that the worker has received and their results.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkerCounters {
    /// Attempts started.
    pub started: u64,
    /// Attempts that finished.
    pub finished: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts stopped by request.
    pub stopped: u64,
    /// Attempts stopped because their lease lapsed.
    pub lapsed: u64,
    /// Starts refused because the task did not fit.
    pub overfilled: u64,
    /// Starts refused because their attempt number was not new.
    pub fenced: u64,
}

/// One execution of an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskExecution {
    /// Task id.
    pub task: String,
    /// Attempt number.
    pub attempt: AttemptNumber,
    /// Checkpoint that it was resumed from.
    pub resumed_from: Option<String>,
    /// Start in milliseconds of the worker's clock.
    pub start_ms: u64,
    /// End in milliseconds, if the attempt has ended.
    pub end_ms: Option<u64>,
    /// How it ended.
    pub end: Option<ExecutionEnd>,
}

/// How an execution of an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionEnd {
    /// The work is complete.
    Finished,
    /// The work failed.
    Failed,
    /// Stopped by request.
    Stopped,
    /// The lease lapsed.
    Lapsed,
    /// The worker was restarted.
    Restarted,
}
