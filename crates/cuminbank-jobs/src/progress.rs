//! Stored progress of jobs: completed tasks, failures, checkpoints and the outcome.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{RunNumber, TaskIndex, WallTime},
    job::JobOutcome,
};

/// Progress of a task that is complete, has failed runs or has a checkpoint.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TaskProgress {
    /// Index of the task.
    pub task: TaskIndex,
    /// Whether the task is complete.
    pub done: bool,
    /// Numbers of the failed runs. The numbers make sure that a run reported twice counts once.
    pub failed_runs: Vec<RunNumber>,
    /// Highest known run number.
    pub run: RunNumber,
    /// Checkpoint that the next run resumes from.
    pub checkpoint: Option<String>,
}

/// Progress of a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobProgress {
    /// Outcome of the job once it has ended.
    pub outcome: Option<JobOutcome>,
    /// Time at which the job ended. The job record is removed then, while the progress record is
    /// kept to answer queries.
    pub ended_at: Option<WallTime>,
    /// Progress of tasks, sorted by index. Empty once the job has an outcome.
    pub tasks: Vec<TaskProgress>,
}
