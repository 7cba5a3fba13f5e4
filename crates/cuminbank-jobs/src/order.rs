//! Orders to executors and what executors say of themselves, as data.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{
        BirthMillis, ExecutorMillis, ExecutorName, MonotonicTime, OrderId, OwnerEpoch, RunNumber,
        ServiceName, ZoneName,
    },
    job::{TaskName, TaskNeeds},
};

/// An order to an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorOrder {
    /// Number of the order.
    pub id: OrderId,
    /// The life of the executor that is meant.
    pub executor: ExecutorName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Epoch of the owner, which fences orders of earlier owners.
    pub epoch: OwnerEpoch,
    /// What to do.
    pub request: OrderRequest,
    /// Longest wait for the answer.
    pub timeout: Duration,
    /// The order must not be sent after this time.
    pub valid_until: MonotonicTime,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderRequest {
    /// Starts a run of a task.
    Start {
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Text for the task.
        payload: String,
        /// End of the lease of all that runs there, on the executor's clock.
        lease_until: ExecutorMillis,
        /// Checkpoint from which to resume.
        checkpoint: Option<String>,
        /// Ticket of the advice service.
        ticket: Option<String>,
    },
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
    },
    /// Sets the share at which a run works.
    Pace {
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Share in percent.
        percent: u8,
    },
    /// Extends the lease, acknowledges ends and reads what runs and what has ended.
    Hold {
        /// New end of the lease, on the executor's clock.
        lease_until: Option<ExecutorMillis>,
        /// Ends up to this number are recorded and may be forgotten.
        acknowledged: u64,
        /// How long the executor waits for an end before it answers.
        wait: Duration,
    },
}

/// Why an executor rejects an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RejectReason {
    /// It has seen a higher epoch.
    Fence,
    /// The run, or a higher one, has been there before.
    Stale,
    /// The lease in the order has already ended.
    Late,
    /// The task does not fit.
    Room,
    /// The ticket is missing or not valid.
    Ticket,
    /// Another reason.
    Other,
}

/// Answer to an order.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderReply {
    /// Carried out.
    Done {
        /// The executor's clock, if it was given.
        clock: Option<ExecutorMillis>,
    },
    /// Rejected.
    Rejected {
        /// Why.
        reason: RejectReason,
    },
    /// Answer to a hold.
    Held(HoldReport),
}

/// What an executor runs and what has ended there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HoldReport {
    /// Its clock.
    pub clock: ExecutorMillis,
    /// When this life of the executor began.
    pub born: BirthMillis,
    /// Runs in progress.
    pub running: Vec<RunReport>,
    /// Runs that have ended, in order.
    pub ended: Vec<EndReport>,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// Last checkpoint, if there is one.
    pub checkpoint: Option<String>,
    /// Progress in percent; of a long-running task, 100 once it is at work.
    pub percent: u8,
    /// Tail latency in milliseconds of a serving task, thousandths of a core in use of any other.
    pub usage: Option<u64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// With its result.
    Done,
    /// Without a result.
    Failed,
    /// By an order.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndReport {
    /// Number of the end in this life of the executor, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
    /// Last checkpoint, if there is one.
    pub checkpoint: Option<String>,
}

/// Why an order has no answer of use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderFailure {
    /// No byte was sent.
    NotSent,
    /// The order may have been carried out, or may be later.
    Lost,
    /// The executor is not healthy and has done nothing.
    Unhealthy,
    /// The executor cannot read the order.
    Malformed,
    /// Another executor listens at the address.
    Replaced,
}

/// What the advice service says of a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceReply {
    /// Executors on which it may run, each with a ticket.
    pub allowed: Vec<(ExecutorName, String)>,
    /// How long the tickets are valid.
    pub valid: Duration,
}

/// Why the advice service has no answer of use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdviceFailure {
    /// None came.
    NoAnswer,
    /// Too many calls wait there.
    Busy,
    /// It cannot be read.
    Unreadable,
}

/// What an executor reports of itself in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorReport {
    /// Name of this life of the executor.
    pub name: ExecutorName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Least time that is left before it leaves.
    pub remaining: Option<Duration>,
    /// What it has in all.
    pub capacity: TaskNeeds,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// When this life began, if it says so.
    pub born: Option<BirthMillis>,
}
