//! Requests to workers and their replies, sent as JSON over HTTP.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptNumber, ClassName};

/// Resource size of a worker or a task.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceSize {
    /// Thousandths of a processor core.
    pub millicores: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl ResourceSize {
    /// Returns whether `self` fits into `free` in every dimension.
    pub fn fits(&self, free: &Self) -> bool {
        self.millicores <= free.millicores
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
    }

    /// Returns the sum of two sizes, with each dimension clamped at its maximum.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference, with each dimension clamped at zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// A request to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerRequest {
    /// `POST /v1/tasks`: starts an attempt under a lease. The worker refuses with 409 unless the
    /// attempt number exceeds the last one it saw for the task, with 507 if the task does not fit,
    /// and with 503 if the worker is leaving.
    Start(TaskStart),
    /// `POST /v1/renew`: extends the leases of the listed attempts.
    Renew {
        /// Length of the lease from the receipt of the request, in milliseconds.
        lease_ms: u64,
        /// Ids of the tasks, each with the number of its attempt.
        tasks: Vec<(String, AttemptNumber)>,
    },
    /// `POST /v1/stop`: stops an attempt, after a checkpoint if requested.
    Stop {
        /// Task id.
        task: String,
        /// Attempt to stop; any other attempt of the task is left running.
        attempt: AttemptNumber,
        /// Whether to take a checkpoint first.
        checkpoint: bool,
    },
    /// `POST /v1/throttle`: limits the processor time of an attempt.
    Throttle {
        /// Task id.
        task: String,
        /// Attempt to throttle.
        attempt: AttemptNumber,
        /// Share in percent of the task's processors, 1 to 100.
        percent: u8,
    },
    /// `GET /v1/tasks?since=<sequence>`: lists running attempts, attempts that ended after `since`,
    /// and usage. It also acknowledges the ended attempts up to `since`.
    List {
        /// Sequence number up to which the owner has committed all ended attempts.
        since: u64,
    },
}

/// Parameters of the start of an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskStart {
    /// Task id.
    pub task: String,
    /// Attempt number.
    pub attempt: AttemptNumber,
    /// Class of work of the task.
    pub class: ClassName,
    /// Resources to reserve.
    pub size: ResourceSize,
    /// Length of the lease from the receipt of the request, in milliseconds. The worker stops the
    /// attempt when the lease expires.
    pub lease_ms: u64,
    /// Checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// Input submitted by the caller.
    pub input: serde_json::Value,
}

/// A reply of a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerReply {
    /// The request took effect.
    Accepted,
    /// The request had no effect; the status gives the reason (see [`WorkerRequest::Start`]).
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// Reply to `Renew`, with the attempts that the worker does not run.
    Renewed {
        /// Ids of tasks that do not run with the requested attempt number.
        missing: Vec<String>,
    },
    /// Reply to `Stop`.
    Stopped {
        /// Checkpoint taken at the stop, if any.
        checkpoint: Option<String>,
        /// Result of the attempt, if it ended before the stop.
        ended: Option<AttemptEnd>,
    },
    /// Reply to `List`.
    Listed(WorkerReport),
}

/// Report of a worker about itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkerReport {
    /// Whether the worker is leaving and accepts no new work.
    pub leaving: bool,
    /// Running attempts.
    pub running: Vec<RunningTask>,
    /// Attempts that ended after the requested sequence number, oldest first.
    pub ended: Vec<EndedTask>,
    /// Usage windows since the last report, delayed by the worker's measurement lag.
    pub usage: Vec<UsageWindow>,
}

/// A running attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunningTask {
    /// Task id.
    pub task: String,
    /// Attempt number.
    pub attempt: AttemptNumber,
    /// Latest periodic checkpoint of the worker, if any.
    pub checkpoint: Option<String>,
}

/// An attempt that ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndedTask {
    /// Sequence number of the ended attempt, unique on this worker until it restarts.
    pub sequence: u64,
    /// Task id.
    pub task: String,
    /// Attempt number.
    pub attempt: AttemptNumber,
    /// Result of the attempt.
    pub end: AttemptEnd,
}

/// Result of an attempt that ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// The attempt completed its work.
    Finished {
        /// Result returned to the caller.
        result: serde_json::Value,
    },
    /// The attempt failed.
    Failed {
        /// Reason shown to operators.
        reason: String,
    },
    /// The lease expired and the worker stopped the attempt.
    LeaseLapsed {
        /// Checkpoint taken at the stop.
        checkpoint: Option<String>,
    },
}

/// Resource usage and slowdowns of one machine in one time window.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UsageWindow {
    /// Length of the window in milliseconds.
    pub length_ms: u64,
    /// Time from the end of the window to the report, in milliseconds.
    pub age_ms: u64,
    /// Batch classes that ran, each with the mean cores used by all its tasks.
    pub neighbours: Vec<(ClassName, f64)>,
    /// Observed slowdown factor of each latency-critical class; 1.0 is no slowdown.
    pub slowdowns: Vec<(ClassName, f64)>,
}

impl UsageWindow {
    /// Returns the time from the end of the window to the report.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}
