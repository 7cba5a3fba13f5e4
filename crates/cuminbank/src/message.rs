//! Messages between entry instances, encoded with postcard.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    effect::CallerAnswer,
    event::{CallRequest, TaskQuery, TaskSubmission},
    ids::{
        GroupIndex, InstanceName, OwnerEpoch, RequestTicket, StartNumber, StoreRevision, ZoneName,
    },
    profile::ProfileChange,
};

/// Identity of an entry process. A restart of the instance changes the start number.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PeerIdentity {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Number that the process chose at random when it started.
    pub start: StartNumber,
}

/// Datagram between entry instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerDatagram {
    /// Periodic heartbeat, sent to every known peer every 500 ms.
    Heartbeat(PeerHeartbeat),
    /// Requests the promise of an elector not to claim the group for
    /// [`PROMISE_TERM`](crate::ownership::PROMISE_TERM).
    PromiseRequest {
        /// Owner that sends the request.
        from: PeerIdentity,
        /// Group that it owns.
        group: GroupIndex,
        /// Epoch of its ownership.
        epoch: OwnerEpoch,
        /// Number of the request, which the grant repeats.
        sequence: u64,
    },
    /// Grants the promise of a `PromiseRequest`.
    PromiseGrant {
        /// Elector that makes the promise.
        from: PeerIdentity,
        /// Group of the request.
        group: GroupIndex,
        /// Epoch of the request.
        epoch: OwnerEpoch,
        /// Number of the request.
        sequence: u64,
    },
}

/// State that an entry instance reports to its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerHeartbeat {
    /// Identity of the sender.
    pub from: PeerIdentity,
    /// Zone of the sender.
    pub zone: ZoneName,
    /// Address at which the sender accepts requests of peers.
    pub address: SocketAddr,
    /// Groups for which the sender currently has authority, each with its epoch and the expected
    /// wait of a call in milliseconds.
    pub groups: Vec<(GroupIndex, OwnerEpoch, u32)>,
    /// Highest revision among the profiles of the sender.
    pub config_revision: StoreRevision,
    /// Checksum of the profiles of the sender.
    pub config_checksum: u32,
    /// Whether the sender is in a planned stop and takes over no groups.
    pub draining: bool,
}

/// Request from one entry instance to another, sent over TCP.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Runs a call in a group that the receiver owns. The receiver does not forward it again.
    ForwardCall {
        /// Group that the sender chose.
        group: GroupIndex,
        /// Call to run.
        call: CallRequest,
        /// Time that the call has already waited at the sender, in milliseconds.
        waited_ms: u64,
    },
    /// Submits a batch task to the owner of the group that issued its ticket.
    ForwardTask(TaskSubmission),
    /// Passes a query about a batch task to the owner of the group that issued its ticket.
    ForwardQuery(RequestTicket, TaskQuery),
    /// Issues tickets of a group that the receiver owns.
    IssueTickets {
        /// Number of tickets.
        count: u32,
    },
    /// Returns all profiles.
    FetchConfig,
    /// Hands over a group whose ownership the sender has ended.
    HandOver {
        /// Group to take over.
        group: GroupIndex,
        /// Epoch of the sender, whose ownership has ended.
        epoch: OwnerEpoch,
        /// Sequence number that the next ticket of that epoch would have had.
        next_sequence: u64,
        /// State of every ticket that has not expired.
        tickets: Vec<TicketHandover>,
    },
}

/// State of a ticket, handed over to the next owner of the group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TicketHandover {
    /// Ticket of the call.
    pub ticket: RequestTicket,
    /// Final answer. `None` if the call was in progress; its outcome counts as unknown.
    pub answer: Option<CallerAnswer>,
    /// Time since the ticket was first seen, in milliseconds.
    pub age_ms: u64,
}

/// Answer to a [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// Final answer to pass on to the caller.
    Answer(CallerAnswer),
    /// The receiver has no authority to act for the group and did nothing.
    NotOwner,
    /// Issued tickets.
    Tickets(Vec<RequestTicket>),
    /// All profiles, including deleted ones.
    Config(Vec<ProfileChange>),
    /// The receiver stored the handover and will claim the group.
    HandedOver,
}

/// Encodes a message with postcard.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    let bytes = postcard::to_stdvec(message)
        .expect("a peer message has only fields that postcard can encode");
    Bytes::from(bytes)
}

/// Decodes a message; `None` if the bytes are not exactly a valid message of this type.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    let (message, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(message)
}
