//! Events: the inputs of the reducer of an entry instance.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{
        ClassName, CustomerName, ExchangeId, MachineName, ProfileName, ReplyId, RequestTicket,
        StoreRevision, TargetName, ZoneName,
    },
    message::{PeerDatagram, PeerReply, PeerRequest},
    profile::ProfileChange,
    store::{StoreReply, WatchChange},
    worker::{ResourceSize, WorkerReply},
};

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// Periodic tick, sent every [`crate::reducer::TICK_INTERVAL`].
    Tick {
        /// Wall-clock time; only day records use it.
        wall: SystemTime,
    },
    /// A caller sent an urgent call.
    CallArrived {
        /// Request to answer.
        reply: ReplyId,
        /// Call as received.
        call: CallRequest,
    },
    /// A caller submitted a batch task.
    TaskArrived {
        /// Request to answer.
        reply: ReplyId,
        /// Task as submitted.
        submission: TaskSubmission,
    },
    /// A caller sent a query or command about a batch task.
    TaskQueried {
        /// Request to answer.
        reply: ReplyId,
        /// Ticket of the task.
        ticket: RequestTicket,
        /// Query or command.
        query: TaskQuery,
    },
    /// A caller requested tickets.
    TicketsRequested {
        /// Request to answer.
        reply: ReplyId,
        /// Number of tickets.
        count: u32,
    },
    /// A caller closed its connection before it was answered.
    CallerDisconnected {
        /// Request whose answer is no longer needed.
        reply: ReplyId,
    },
    /// A dispatch to an executor completed or failed.
    DispatchCompleted {
        /// Id of the exchange.
        exchange: ExchangeId,
        /// Answer of the executor, or the reason why there is none.
        result: Result<ExecutorAnswer, ExchangeError>,
    },
    /// A probe of an executor completed or failed.
    ProbeCompleted {
        /// Id of the exchange.
        exchange: ExchangeId,
        /// Ids of the calls that the executor runs, or the reason why they are unknown.
        result: Result<Vec<String>, ExchangeError>,
    },
    /// A request to a worker was answered or failed.
    WorkerCallCompleted {
        /// Id of the exchange.
        exchange: ExchangeId,
        /// Reply of the worker, or the reason why there is none.
        result: Result<WorkerReply, ExchangeError>,
    },
    /// A request to the store was answered or failed.
    StoreCallCompleted {
        /// Id of the exchange.
        exchange: ExchangeId,
        /// Answer of the store, or the reason why there is none.
        result: Result<StoreReply, ExchangeError>,
    },
    /// The configuration watch reported changes.
    WatchChanged {
        /// Store revision up to which all changes have been reported.
        revision: StoreRevision,
        /// Changes in the order of their revisions.
        changes: Vec<WatchChange>,
    },
    /// The configuration watch ended, or the store had already compacted its first revision.
    WatchLost,
    /// A fetch of the platform's list of instances completed or failed.
    ListFetched {
        /// Listed instances, or the reason why there is no list.
        result: Result<Vec<ListedInstance>, ExchangeError>,
    },
    /// A datagram arrived from a peer.
    DatagramReceived {
        /// Address of the sender.
        from: SocketAddr,
        /// Decoded datagram.
        datagram: PeerDatagram,
    },
    /// A peer sent a request.
    PeerRequestReceived {
        /// Request to answer.
        reply: ReplyId,
        /// Request as received.
        request: PeerRequest,
    },
    /// A request to a peer was answered or failed.
    PeerCallCompleted {
        /// Id of the exchange.
        exchange: ExchangeId,
        /// Answer of the peer, or the reason why there is none.
        result: Result<PeerReply, ExchangeError>,
    },
    /// An operator sent changes of profiles that are already committed to the store.
    ConfigOffered {
        /// Request to answer.
        reply: ReplyId,
        /// Changes to merge.
        changes: Vec<ProfileChange>,
    },
    /// An operator requested the state of the instance.
    StateRequested {
        /// Request to answer.
        reply: ReplyId,
        /// Part of the state to return.
        query: StateQuery,
    },
    /// A planned stop of the instance was requested.
    DrainRequested,
}

/// State that an operator can request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StateQuery {
    /// Status of groups, targets, queues and peers.
    Status,
    /// Profiles in force with their revisions.
    Config,
    /// Whether the instance is ready to serve callers.
    Ready,
}

/// Urgent call from a caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallRequest {
    /// Work profile that applies to the call.
    pub profile: ProfileName,
    /// Customer on whose behalf the call is made.
    pub customer: CustomerName,
    /// Class of the call, such as "reserve"; the name of the profile if the caller gave none.
    pub class: ClassName,
    /// Ticket; required unless the profile is idempotent.
    pub ticket: Option<RequestTicket>,
    /// Body to pass to the executor.
    pub body: Bytes,
}

/// Batch task as submitted by a caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskSubmission {
    /// Ticket, which is also the id of the task.
    pub ticket: RequestTicket,
    /// Work profile that applies to the task.
    pub profile: ProfileName,
    /// Customer on whose behalf the task runs.
    pub customer: CustomerName,
    /// Class of the task.
    pub class: ClassName,
    /// Resources that the task declares.
    pub size: ResourceSize,
    /// Run time that the caller declares, in milliseconds, if it can estimate one.
    pub declared_run_ms: Option<u64>,
    /// Input of the task as JSON text.
    pub input: String,
}

/// Query or command of a caller about a batch task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskQuery {
    /// Returns the state and the attempts of the task.
    Status,
    /// Returns the result of a finished task.
    Result,
    /// Cancels the task.
    Cancel,
}

/// Complete answer of an executor; the daemon has checked that it carries the call id that was
/// sent.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Body of the answer.
    pub body: Bytes,
    /// Time from writing the request to receiving the end of the answer.
    pub elapsed: Duration,
}

/// Reason why an exchange has no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ExchangeError {
    /// No byte of the request left this process.
    NotSent,
    /// The request was sent, at least in part, and may have taken effect.
    Lost,
    /// The receiver refused the request with this HTTP status; it had no effect.
    Refused(u16),
}

/// Instance in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: TargetName,
    /// Role with its capacity.
    pub role: ListedRole,
    /// Address of the instance.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack of the machine.
    pub rack: String,
    /// Machine that it runs on. An executor and a worker on the same machine slow each other down.
    pub machine: MachineName,
    /// Whether the instance will stop soon and must get no new work.
    pub leaving: bool,
}

/// Role of a listed instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// Entry instance of this scheduler.
    Entry,
    /// Executor of urgent calls.
    Executor {
        /// Calls that it can run at once.
        slots: u32,
        /// Connections that it accepts at once.
        connections: u32,
    },
    /// Worker for batch tasks.
    Worker {
        /// Resources of the worker.
        size: ResourceSize,
    },
}
