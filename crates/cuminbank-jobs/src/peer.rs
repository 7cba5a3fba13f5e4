//! Messages between instances.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    cells::CellLoad,
    ids::{CellId, ExecutorName, JobId, OwnerEpoch, QueueName},
    job::JobPhase,
    relay::{RelayedResult, StartBundle},
};

/// Request to another instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Question to the owner of a cell.
    Ask(OwnerQuestion),
    /// Starts to relay for an owner.
    Carry(StartBundle),
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// Answer to a question.
    Answer(OwnerAnswer),
    /// Results of relayed starts, in the order of the starts.
    Carried(Vec<RelayedResult>),
}

/// Question of an instance to the owner of a cell.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OwnerQuestion {
    /// Phase of a job.
    Phase {
        /// Cell that is asked about.
        cell: CellId,
        /// Job id.
        job: JobId,
    },
    /// Status of a job, for operators.
    Describe {
        /// Cell that is asked about.
        cell: CellId,
        /// Job id.
        job: JobId,
    },
    /// Number of accepted jobs in a queue that have not started.
    Pending {
        /// Cell that is asked about.
        cell: CellId,
        /// Name of the queue.
        queue: QueueName,
    },
    /// Load of the cell.
    Load {
        /// Cell that is asked about.
        cell: CellId,
        /// Address of the asking instance, which is thereby known to be live.
        asker: SocketAddr,
    },
    /// Request of the next owner that its predecessor stop sending orders.
    Yield {
        /// Cell that is taken over.
        cell: CellId,
        /// Start number of the predecessor's process.
        start: u64,
        /// Epoch of the next owner.
        epoch: OwnerEpoch,
    },
}

impl OwnerQuestion {
    /// Returns the cell of the question.
    pub fn cell(&self) -> CellId {
        match self {
            Self::Phase { cell, .. }
            | Self::Describe { cell, .. }
            | Self::Pending { cell, .. }
            | Self::Load { cell, .. }
            | Self::Yield { cell, .. } => *cell,
        }
    }
}

/// Status of a job as seen by its owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobDescription {
    /// Phase reported to clients.
    pub phase: JobPhase,
    /// Queue of the job.
    pub queue: QueueName,
    /// Time since the job arrived.
    pub age: Duration,
    /// Time left to meet the objective; zero once it is missed.
    pub left: Duration,
    /// Number of tasks waiting for earlier steps or for their due time.
    pub blocked: u32,
    /// Number of tasks waiting for an executor.
    pub ready: u32,
    /// Number of tasks with an active run.
    pub active: u32,
    /// Number of completed tasks.
    pub done: u32,
    /// Executors with active runs of the job.
    pub executors: Vec<ExecutorName>,
    /// Reason for which ready tasks wait, if there are any.
    pub waits: Option<WaitReason>,
}

/// Reason for which the ready tasks of a job wait.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WaitReason {
    /// Runs started by an earlier owner are not reconciled yet.
    EarlierRuns,
    /// No executor has room, or other jobs go first.
    Room,
    /// No executor of the job's service accepts work.
    NoExecutor,
}

/// Answer to an [`OwnerQuestion`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OwnerAnswer {
    /// Phase of the job.
    Phase(JobPhase),
    /// Status of the job.
    Described(JobDescription),
    /// The owner does not know the job, possibly because it has not seen it yet.
    Unknown,
    /// Number of pending jobs.
    Pending(u64),
    /// Load of the cell.
    Load(CellLoad),
    /// The process in question sends no more orders.
    Yielded {
        /// Minimum time in milliseconds for which it has sent none.
        stopped_ms: u64,
    },
    /// The instance does not own the cell or is still loading its records.
    NotOwner,
}
