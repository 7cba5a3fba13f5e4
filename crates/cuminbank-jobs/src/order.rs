//! Data types for orders to executors and for the reports that executors return.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{
        ExecutorMillis, ExecutorName, MonotonicTime, OrderId, OwnerEpoch, RunNumber, ServiceName,
        StartMillis, ZoneName,
    },
    job::{TaskName, TaskNeeds},
};

/// Order to an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorOrder {
    /// Order id.
    pub id: OrderId,
    /// Name of the incarnation of the executor that the order is for.
    pub executor: ExecutorName,
    /// Address of the executor.
    pub address: SocketAddr,
    /// Epoch of the owner. Executors use it to reject orders of earlier owners.
    pub epoch: OwnerEpoch,
    /// Requested action.
    pub request: OrderRequest,
    /// Longest time to wait for the reply.
    pub timeout: Duration,
    /// Time after which the order must not be sent.
    pub valid_until: MonotonicTime,
}

/// Action requested by an order.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderRequest {
    /// Starts a run of a task.
    Start {
        /// Task to start.
        task: TaskName,
        /// Run number.
        run: RunNumber,
        /// Payload passed to the task.
        payload: String,
        /// End of the lease for all runs on the executor, on the executor's clock.
        lease_until: ExecutorMillis,
        /// Checkpoint to resume from.
        checkpoint: Option<String>,
        /// Ticket from the advice service.
        ticket: Option<String>,
    },
    /// Stops a run.
    Stop {
        /// Task to stop.
        task: TaskName,
        /// Run number.
        run: RunNumber,
    },
    /// Limits the speed of a run.
    Pace {
        /// Task to limit.
        task: TaskName,
        /// Run number.
        run: RunNumber,
        /// Speed in percent of full speed.
        percent: u8,
    },
    /// Renews the lease, acknowledges ended runs, and returns a report of the running and ended
    /// runs. It is a long poll.
    Hold {
        /// New end of the lease on the executor's clock, or `None` to leave the lease unchanged.
        lease_until: Option<ExecutorMillis>,
        /// Highest [`EndReport::number`] that is stored. The executor may delete the reports up to
        /// it.
        acknowledged: u64,
        /// How long the executor waits for a run to end before it replies.
        wait: Duration,
    },
}

impl ExecutorOrder {
    /// Returns the hold that tells the clock of the executor and changes nothing on it.
    pub fn clock_probe(&self) -> Self {
        let request =
            OrderRequest::Hold { lease_until: None, acknowledged: 0, wait: Duration::ZERO };
        Self { request, ..self.clone() }
    }
}

impl OrderRequest {
    /// Returns whether it may do harm if a later incarnation of the executor carries it out. A stop
    /// does not, since it names a run and run numbers are not used again.
    pub fn affects_later_incarnation(&self) -> bool {
        match self {
            Self::Start { .. } => true,
            Self::Hold { lease_until, acknowledged, .. } => {
                lease_until.is_some() || *acknowledged > 0
            }
            Self::Stop { .. } | Self::Pace { .. } => false,
        }
    }

    /// Returns the end of the lease that it grants, on the executor's clock.
    pub fn lease_until(&self) -> Option<ExecutorMillis> {
        match self {
            Self::Start { lease_until, .. } => Some(*lease_until),
            Self::Hold { lease_until, .. } => *lease_until,
            Self::Stop { .. } | Self::Pace { .. } => None,
        }
    }
}

/// Reason why an executor rejects an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RejectReason {
    /// The executor has seen a higher epoch.
    Fence,
    /// The executor has already received this run of the task, or one with a higher number.
    Stale,
    /// The lease in the order has already expired.
    Late,
    /// The executor has no free capacity for the task.
    Room,
    /// The ticket is missing or invalid.
    Ticket,
    /// Any other reason.
    Other,
}

/// Reply to an order.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderReply {
    /// The order was carried out.
    Done {
        /// Clock of the executor, if given.
        clock: Option<ExecutorMillis>,
    },
    /// The order was rejected.
    Rejected {
        /// Reason given by the executor.
        reason: RejectReason,
    },
    /// Reply to a hold.
    Held(HoldReport),
}

/// Running and ended runs of an executor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HoldReport {
    /// Clock of the executor.
    pub clock: ExecutorMillis,
    /// Start time of this incarnation of the executor, in milliseconds since the Unix epoch. The
    /// field name appears in the log line of an unreachable executor.
    pub born: StartMillis,
    /// Runs in progress.
    pub running: Vec<RunReport>,
    /// Ended runs that are not acknowledged yet, ordered by number.
    pub ended: Vec<EndReport>,
}

/// Report on a run in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// Running task.
    pub task: TaskName,
    /// Run number.
    pub run: RunNumber,
    /// Latest checkpoint, if any.
    pub checkpoint: Option<String>,
    /// Progress in percent. A long-running task reports 100 once it is ready.
    pub percent: u8,
    /// Tail latency in milliseconds for a latency-critical task, otherwise the CPU in use in
    /// thousandths of a core.
    pub usage: Option<u64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It completed with a result.
    Done,
    /// It failed without a result.
    Failed,
    /// An order stopped it.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

/// Report on an ended run.
#[derive(Clone, Debug, PartialEq)]
pub struct EndReport {
    /// Sequence number of the ended run. Each incarnation of an executor starts at 1.
    pub number: u64,
    /// Task whose run ended.
    pub task: TaskName,
    /// Run number.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
    /// Latest checkpoint, if any.
    pub checkpoint: Option<String>,
}

/// Reason why an order has no usable reply.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderFailure {
    /// Nothing was sent.
    NotSent,
    /// The order may have been carried out or may still be.
    Lost,
    /// The executor reported that it is unhealthy; the order had no effect.
    Unhealthy,
    /// The executor could not parse the order.
    Malformed,
    /// Another executor, or another incarnation, now uses the address.
    Replaced,
}

/// Reply of the advice service to a query about a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceReply {
    /// Executors on which the step may run, each with its ticket.
    pub allowed: Vec<(ExecutorName, String)>,
    /// Validity of the tickets.
    pub valid: Duration,
}

/// Reason why a call to the advice service has no usable reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdviceFailure {
    /// No reply was received.
    NoAnswer,
    /// The service has too many waiting calls.
    Busy,
    /// The reply could not be parsed.
    Unreadable,
}

/// Entry of an executor in the platform's list of executors.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorReport {
    /// Name of this incarnation of the executor.
    pub name: ExecutorName,
    /// Service of the executor.
    pub service: ServiceName,
    /// Address of the executor.
    pub address: SocketAddr,
    /// Availability zone of the executor.
    pub zone: ZoneName,
    /// Whether the executor accepts no new work.
    pub draining: bool,
    /// Minimum time until a draining executor leaves the pool.
    pub remaining: Option<Duration>,
    /// Total capacity.
    pub capacity: TaskNeeds,
    /// Kind and rack of the executor, in this order.
    pub labels: Vec<String>,
    /// Start time of this incarnation, if reported.
    pub started_at: Option<StartMillis>,
}
