//! Settings, counters and log entries of a worker.

use std::time::Duration;

use cuminbank::{ids::AttemptNumber, worker::ResourceSize};
use serde::{Deserialize, Serialize};

/// Settings of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSettings {
    /// Name of the worker.
    pub name: String,
    /// Resources that the worker's tasks share.
    pub size: ResourceSize,
    /// Delay from the end of a usage window to its report.
    pub usage_lag: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Progress between the periodic checkpoints of a task.
    pub checkpoint_interval: Duration,
}

impl WorkerSettings {
    /// Creates settings with usage windows of 1 s reported 2 s late, and a checkpoint every 5 s.
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

/// Starts received by a worker and ends of its attempts.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkerCounters {
    /// Attempts that were started.
    pub started: u64,
    /// Attempts that completed their work.
    pub finished: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts stopped by a request, or by the start of a later attempt of the same task.
    pub stopped: u64,
    /// Attempts stopped because their lease expired.
    pub lapsed: u64,
    /// Starts rejected because the worker lacked free resources.
    pub overfilled: u64,
    /// Starts rejected because the same or a later attempt number had been seen.
    pub fenced: u64,
}

/// Log entry of one execution of a task's attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskExecution {
    /// Task id.
    pub task: String,
    /// Attempt number.
    pub attempt: AttemptNumber,
    /// Checkpoint that the attempt was resumed from.
    pub resumed_from: Option<String>,
    /// Start time in milliseconds of the worker's clock.
    pub start_ms: u64,
    /// End time in milliseconds; `None` while the attempt runs.
    pub end_ms: Option<u64>,
    /// How the execution ended; `None` while the attempt runs.
    pub end: Option<ExecutionEnd>,
}

/// How an execution of an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionEnd {
    /// The work was completed.
    Finished,
    /// The work failed.
    Failed,
    /// Stopped by a request or by a later attempt.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// The worker was restarted.
    Restarted,
}
