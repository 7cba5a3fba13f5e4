//! Type aliases for names and ids, and the ticket that identifies a request.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// Name of an availability zone.
pub type ZoneName = String;
/// Name of an entry instance.
pub type InstanceName = String;
/// Name of a target, an executor or a worker.
pub type TargetName = String;
/// Name of the machine that an executor or a worker runs on.
pub type MachineName = String;
/// Name of a customer or team. Quotas and histograms are kept per customer.
pub type CustomerName = String;
/// Name of a work profile.
pub type ProfileName = String;
/// Name of a class of work. Run times and interference are learned per class.
pub type ClassName = String;
/// Index of a target group within its zone.
pub type GroupIndex = u16;
/// Epoch of the ownership of a group; it grows with each change of owner.
pub type OwnerEpoch = u64;
/// Number that a process chooses at random when it starts. It distinguishes a restarted instance
/// from the process before the restart.
pub type StartNumber = u64;
/// Revision of the store; each write increments it.
pub type StoreRevision = i64;
/// Id of a store lease.
pub type LeaseId = i64;
/// Id of a request from a caller, peer or operator that waits for its answer.
pub type ReplyId = u64;
/// Id of an exchange (one request and its answer) with a target, a peer or the store.
pub type ExchangeId = u64;
/// Number of an attempt to run a batch task, starting at 1.
pub type AttemptNumber = u32;
/// Time since the start of the process, measured on its monotonic clock.
pub type MonotonicTime = Duration;

/// Ticket that a caller obtains before its request. It identifies the request and names the issuing
/// group, whose owner decides about it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestTicket {
    /// Zone of the issuing group.
    pub zone: ZoneName,
    /// Index of the issuing group.
    pub group: GroupIndex,
    /// Epoch of the owner that issued the ticket.
    pub epoch: OwnerEpoch,
    /// Position among the tickets issued in that epoch.
    pub sequence: u64,
}

/// The text is not a valid ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TicketError;

impl fmt::Display for TicketError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("expected <zone>-<group>-<epoch>-<sequence>")
    }
}

impl fmt::Display for RequestTicket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}-{}-{}", self.zone, self.group, self.epoch, self.sequence)
    }
}

impl FromStr for RequestTicket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let mut parts = text.rsplitn(4, '-');
        let mut number = || parts.next().and_then(|part| part.parse::<u64>().ok());
        let (Some(sequence), Some(epoch), Some(group)) = (number(), number(), number()) else {
            return Err(TicketError);
        };
        let group = GroupIndex::try_from(group).map_err(|_| TicketError)?;
        let Some(zone) = parts.next().filter(|zone| !zone.is_empty()) else {
            return Err(TicketError);
        };
        Ok(Self { zone: zone.to_owned(), group, epoch, sequence })
    }
}
