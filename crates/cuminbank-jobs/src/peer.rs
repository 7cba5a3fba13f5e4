//! Requests between instances of the system.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    cells::CellLoad,
    ids::{CellId, ExecutorName, JobId, OwnerEpoch, QueueName},
    job::JobPhase,
    relay::{RelayedResult, StartBundle},
};

/// A request to another instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// A question to the owner of a cell.
    Ask(OwnerQuestion),
    /// Starts to send on behalf of an owner.
    Carry(StartBundle),
}

/// The answer to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// To a question.
    Answer(OwnerAnswer),
    /// What came of each start, in their order.
    Carried(Vec<RelayedResult>),
}

/// What an entry instance asks the owner of a cell.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OwnerQuestion {
    /// The phase of a job.
    Phase {
        /// The cell.
        cell: CellId,
        /// The job.
        job: JobId,
    },
    /// How a job stands, for operators.
    Describe {
        /// The cell.
        cell: CellId,
        /// The job.
        job: JobId,
    },
    /// How many accepted jobs of a queue have not started.
    Pending {
        /// The cell.
        cell: CellId,
        /// The queue.
        queue: QueueName,
    },
    /// How much the cell is used.
    Load {
        /// The cell.
        cell: CellId,
        /// Who asks, and so is up.
        asker: SocketAddr,
    },
    /// The next owner asks its predecessor to give no more orders.
    Yield {
        /// The cell.
        cell: CellId,
        /// Start of the predecessor's process.
        start: u64,
        /// Epoch of the next owner.
        epoch: OwnerEpoch,
    },
}

impl OwnerQuestion {
    /// Returns the cell whose owner is asked.
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

/// How a job stands, as its owner sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobDescription {
    /// Phase that clients are told.
    pub phase: JobPhase,
    /// Its queue.
    pub queue: QueueName,
    /// Time since it arrived.
    pub age: Duration,
    /// Time until its objective has passed; zero afterwards.
    pub left: Duration,
    /// Tasks that wait for earlier steps or their time.
    pub blocked: u32,
    /// Tasks that wait for an executor.
    pub ready: u32,
    /// Tasks with a run.
    pub active: u32,
    /// Tasks with their result.
    pub done: u32,
    /// Executors that run its tasks.
    pub executors: Vec<ExecutorName>,
    /// Why its ready tasks wait, if there are any.
    pub waits: Option<WaitReason>,
}

/// Why ready tasks of a job wait.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WaitReason {
    /// Runs of an earlier owner are not accounted for yet.
    EarlierRuns,
    /// No executor has room, or other jobs come first.
    Room,
    /// No executor of its service may get work.
    NoExecutor,
}

/// What the owner answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OwnerAnswer {
    /// The phase of the job.
    Phase(JobPhase),
    /// How the job stands.
    Described(JobDescription),
    /// The owner does not know the job; it may not have seen it yet.
    Unknown,
    /// Number of jobs.
    Pending(u64),
    /// Use of the cell.
    Load(CellLoad),
    /// The process that was asked for gives no more orders.
    Yielded {
        /// For how long at least it has given none.
        stopped_ms: u64,
    },
    /// The instance is not the owner, or has not read the records yet.
    NotOwner,
}
