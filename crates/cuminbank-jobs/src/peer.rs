//! Messages between instances.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    admission::RoomReport,
    cells::CellLoad,
    formats::FormatVersion,
    ids::{CellId, ExecutorName, JobId, OwnerEpoch, QueueName},
    job::JobPhase,
    relay::{RelayedResult, StartBundle},
    work_limit::{WorkGrant, WorkRequest},
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
    /// The receiver cannot read the request and did nothing. Only sent for such a request.
    Unsupported {
        /// Newest version that the receiver reads.
        newest: FormatVersion,
    },
}

/// Question of an instance to the owner of a cell.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OwnerQuestion {
    /// Phase of a job.
    Phase {
        /// Cell that the question is about.
        cell: CellId,
        /// Job id.
        job: JobId,
    },
    /// Status of a job, for operators.
    Describe {
        /// Cell that the question is about.
        cell: CellId,
        /// Job id.
        job: JobId,
    },
    /// Number of accepted jobs in a queue that have not started.
    Pending {
        /// Cell that the question is about.
        cell: CellId,
        /// Name of the queue.
        queue: QueueName,
    },
    /// Load of the cell.
    Load {
        /// Cell that the question is about.
        cell: CellId,
        /// Address of the querying instance. The query shows that it is live.
        asker: SocketAddr,
    },
    /// Request of the next owner that its predecessor stop sending orders.
    Yield {
        /// Cell of the ownership.
        cell: CellId,
        /// Start number of the predecessor's process.
        start: u64,
        /// Epoch of the next owner.
        epoch: OwnerEpoch,
    },
    /// Room of the cell. An owner that does not observe it answers with the load.
    Room {
        /// Cell that the question is about.
        cell: CellId,
        /// Address of the querying instance. The query shows that it is live.
        asker: SocketAddr,
    },
    /// Request for memory of the owner for jobs that the querying instance accepts.
    Work {
        /// Cell of the jobs.
        cell: CellId,
        /// Request.
        request: WorkRequest,
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
            | Self::Yield { cell, .. }
            | Self::Room { cell, .. }
            | Self::Work { cell, .. } => *cell,
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
    /// Time until the latency objective is missed; zero once it is.
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
    /// Why ready tasks wait, if there are any.
    pub waits: Option<WaitReason>,
}

/// Reason why the ready tasks of a job wait.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WaitReason {
    /// The new owner does not know yet which runs of earlier owners still exist.
    EarlierRuns,
    /// No executor has free capacity, or more urgent jobs are placed first.
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
    /// The owner does not know the job. It may not have read its record yet.
    Unknown,
    /// Number of pending jobs.
    Pending(u64),
    /// Load of the cell.
    Load(CellLoad),
    /// The process named in the question sends no more orders under lower epochs.
    Yielded {
        /// Minimum time in milliseconds for which it has sent none.
        stopped_ms: u64,
    },
    /// The instance does not own the cell or is still loading its records.
    NotOwner,
    /// Room of the cell.
    Room(RoomReport),
    /// Memory for accepted jobs.
    Work(WorkGrant),
}
