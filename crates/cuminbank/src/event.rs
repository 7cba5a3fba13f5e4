//! Events: everything that can happen to an entry instance.

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

/// An event.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// Time has passed; sent every [`crate::reducer::TICK_INTERVAL`].
    Tick {
        /// Time of day, only for day records.
        wall: SystemTime,
    },
    /// A caller sent an urgent call.
    CallArrived {
        /// Where to send the answer.
        reply: ReplyId,
        /// The call.
        call: CallRequest,
    },
    /// A caller submitted a batch task.
    TaskArrived {
        /// Where to send the answer.
        reply: ReplyId,
        /// The task.
        submission: TaskSubmission,
    },
    /// A caller asked about a batch task.
    TaskQueried {
        /// Where to send the answer.
        reply: ReplyId,
        /// Ticket of the task.
        ticket: RequestTicket,
        /// What is asked.
        query: TaskQuery,
    },
    /// A caller asked for tickets.
    TicketsRequested {
        /// Where to send the answer.
        reply: ReplyId,
        /// How many.
        count: u32,
    },
    /// The caller closed its connection before the answer.
    CallerDisconnected {
        /// The reply that nobody waits for.
        reply: ReplyId,
    },
    /// A dispatch to an executor ended.
    DispatchEnded {
        /// The exchange.
        exchange: ExchangeId,
        /// How it ended.
        result: Result<ExecutorAnswer, ExchangeError>,
    },
    /// A probe of an executor ended with the call ids that it runs.
    ProbeEnded {
        /// The exchange.
        exchange: ExchangeId,
        /// Call ids, or why there is no answer.
        result: Result<Vec<String>, ExchangeError>,
    },
    /// An exchange with a worker ended.
    WorkerEnded {
        /// The exchange.
        exchange: ExchangeId,
        /// The answer, or why there is none.
        result: Result<WorkerReply, ExchangeError>,
    },
    /// An exchange with the store ended.
    StoreEnded {
        /// The exchange.
        exchange: ExchangeId,
        /// The answer, or why there is none.
        result: Result<StoreReply, ExchangeError>,
    },
    /// The watch on the configuration saw changes, up to this revision.
    WatchChanged {
        /// Revision of the store.
        revision: StoreRevision,
        /// Changes in order.
        changes: Vec<WatchChange>,
    },
    /// The watch ended, or its first revision was compacted.
    WatchLost,
    /// The platform's list was fetched, or could not be.
    ListFetched {
        /// The list.
        result: Result<Vec<ListedInstance>, ExchangeError>,
    },
    /// A datagram of a peer.
    DatagramReceived {
        /// Sender's address.
        from: SocketAddr,
        /// The datagram.
        datagram: PeerDatagram,
    },
    /// A peer asked for something.
    PeerRequestReceived {
        /// Where to send the answer.
        reply: ReplyId,
        /// The request.
        request: PeerRequest,
    },
    /// An exchange with a peer ended.
    PeerEnded {
        /// The exchange.
        exchange: ExchangeId,
        /// The answer, or why there is none.
        result: Result<PeerReply, ExchangeError>,
    },
    /// An operator offered committed changes of the configuration.
    ConfigOffered {
        /// Where to send the answer.
        reply: ReplyId,
        /// The changes.
        changes: Vec<ProfileChange>,
    },
    /// An operator asked for state.
    StateRequested {
        /// Where to send the answer.
        reply: ReplyId,
        /// What is asked.
        query: StateQuery,
    },
    /// A planned stop began.
    DrainRequested,
}

/// What an operator asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StateQuery {
    /// Groups, targets, queues and peers.
    Status,
    /// Profiles in force with their revisions.
    Config,
    /// Whether the instance serves callers.
    Ready,
}

/// An urgent call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallRequest {
    /// Profile that treats the call.
    pub profile: ProfileName,
    /// Customer that the call counts for.
    pub customer: CustomerName,
    /// Class of the call, such as "reserve"; the profile's name if the caller named none.
    pub class: ClassName,
    /// Ticket; required unless the profile is idempotent.
    pub ticket: Option<RequestTicket>,
    /// Body for the executor.
    pub body: Bytes,
}

/// A batch task as submitted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskSubmission {
    /// Ticket; also the id of the task.
    pub ticket: RequestTicket,
    /// Profile that treats the task.
    pub profile: ProfileName,
    /// Customer that the task counts for.
    pub customer: CustomerName,
    /// Class of the task.
    pub class: ClassName,
    /// Declared size.
    pub size: ResourceSize,
    /// Declared run time in milliseconds, if the caller has an idea.
    pub declared_run_ms: Option<u64>,
    /// Input as JSON text.
    pub input: String,
}

/// What a caller asks about a batch task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskQuery {
    /// State and attempts.
    Status,
    /// Result, if finished.
    Result,
    /// Cancel the task.
    Cancel,
}

/// An executor's answer, whole and checked to carry the call id that was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
    /// Time from the write of the request to the end of the answer.
    pub elapsed: Duration,
}

/// Why an exchange has no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ExchangeError {
    /// No byte of the request left this process.
    NotSent,
    /// The request may have taken effect.
    Lost,
    /// The receiver refused with this HTTP status; the request had no effect.
    Refused(u16),
}

/// An instance in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Name.
    pub name: TargetName,
    /// What it is.
    pub role: ListedRole,
    /// Address.
    pub address: SocketAddr,
    /// Zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: String,
    /// Machine that it runs on; an executor and a worker of one machine slow each other.
    pub machine: MachineName,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Role of a listed instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// Entry instance of this system.
    Entry,
    /// Executor of urgent calls.
    Executor {
        /// Calls that it can hold.
        slots: u32,
        /// Connections that it accepts.
        connections: u32,
    },
    /// Worker for batch tasks.
    Worker {
        /// Its size.
        size: ResourceSize,
    },
}
