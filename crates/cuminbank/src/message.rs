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

/// Identity of a running entry instance; a restart changes the start number.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PeerIdentity {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Number drawn at its start.
    pub start: StartNumber,
}

/// A datagram between entry instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerDatagram {
    /// Sent to every known peer each 500 ms.
    Heartbeat(PeerHeartbeat),
    /// Asks an elector of the group not to take over for a promise term from now.
    PromiseRequest {
        /// The owner that asks.
        from: PeerIdentity,
        /// Group that it owns.
        group: GroupIndex,
        /// Epoch under which it owns the group.
        epoch: OwnerEpoch,
        /// Number of the request; the grant repeats it.
        sequence: u64,
    },
    /// Grants a promise.
    PromiseGrant {
        /// The elector that promises.
        from: PeerIdentity,
        /// Group of the request.
        group: GroupIndex,
        /// Epoch of the request.
        epoch: OwnerEpoch,
        /// Number of the request.
        sequence: u64,
    },
}

/// State that an entry instance tells its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerHeartbeat {
    /// Sender.
    pub from: PeerIdentity,
    /// Zone of the sender.
    pub zone: ZoneName,
    /// Address on which the sender accepts peer exchanges.
    pub address: SocketAddr,
    /// Groups it may act for now, with epoch and expected wait in milliseconds.
    pub groups: Vec<(GroupIndex, OwnerEpoch, u32)>,
    /// Highest revision of configuration it has.
    pub config_revision: StoreRevision,
    /// Checksum of its set of profiles.
    pub config_checksum: u32,
    /// Whether the sender is stopping and takes no groups.
    pub draining: bool,
}

/// A request from one entry instance to another, over TCP.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Serve a call for a group that the receiver owns; it is never forwarded again.
    ForwardCall {
        /// Group chosen by the sender.
        group: GroupIndex,
        /// The call.
        call: CallRequest,
        /// How long the call has waited at the sender, in milliseconds.
        waited_ms: u64,
    },
    /// Submit a batch task to its home.
    ForwardTask(TaskSubmission),
    /// Ask the home of a batch task.
    ForwardQuery(RequestTicket, TaskQuery),
    /// Issue tickets from a group that the receiver owns.
    IssueTickets {
        /// How many tickets.
        count: u32,
    },
    /// Send all profiles.
    FetchConfig,
    /// Take over a group that the sender gives up.
    HandOver {
        /// Group.
        group: GroupIndex,
        /// Epoch of the sender's term, which has ended.
        epoch: OwnerEpoch,
        /// Sequence number of the next ticket of that epoch.
        next_sequence: u64,
        /// State of each ticket that is not yet expired.
        tickets: Vec<TicketHandover>,
    },
}

/// State of a ticket that passes to the next owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TicketHandover {
    /// Ticket.
    pub ticket: RequestTicket,
    /// Final answer; without one the call was in progress and counts as "unknown".
    pub answer: Option<CallerAnswer>,
    /// Age in milliseconds since the ticket was first seen.
    pub age_ms: u64,
}

/// The answer to a peer request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// Final answer for the caller.
    Answer(CallerAnswer),
    /// The receiver may not act for the group; nothing was done.
    NotOwner,
    /// Tickets.
    Tickets(Vec<RequestTicket>),
    /// All profiles, deleted ones included.
    Config(Vec<ProfileChange>),
    /// The handover was stored; the receiver will claim the group.
    HandedOver,
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    let bytes = postcard::to_stdvec(message).expect("messages hold only serializable types");
    Bytes::from(bytes)
}

/// Decodes a message.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
