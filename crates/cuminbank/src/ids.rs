//! Type aliases for ids, and the ticket that names the home of a request.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// Name of an availability zone.
pub type ZoneName = String;
/// Name of an entry instance.
pub type InstanceName = String;
/// Name of an executor or a worker.
pub type TargetName = String;
/// Name of the machine that an executor or a worker runs on.
pub type MachineName = String;
/// Name of a customer or team, the unit of quotas and histograms.
pub type CustomerName = String;
/// Name of a work profile.
pub type ProfileName = String;
/// Name of a class of work, the unit of learning.
pub type ClassName = String;
/// Index of a target group in its zone.
pub type GroupIndex = u16;
/// Number of an ownership term; it grows with each change of owner.
pub type OwnerEpoch = u64;
/// Number drawn by a process at its start; tells a restarted instance from its predecessor.
pub type StartNumber = u64;
/// Modification revision of the store.
pub type StoreRevision = i64;
/// Id of a lease of the store.
pub type LeaseId = i64;
/// Id of a waiting caller, peer or operator.
pub type ReplyId = u64;
/// Id of an exchange with a target, a peer or the store.
pub type ExchangeId = u64;
/// Number of an attempt to run a batch task, from 1.
pub type AttemptNumber = u32;
/// Time since the start of the process, on its monotonic clock.
pub type MonotonicTime = Duration;

/// A ticket issued ahead of a request; it names the home that decides about the request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestTicket {
    /// Zone of the home group.
    pub zone: ZoneName,
    /// Index of the home group.
    pub group: GroupIndex,
    /// Epoch of the owner that issued the ticket.
    pub epoch: OwnerEpoch,
    /// Position in the sequence of tickets of that epoch.
    pub sequence: u64,
}

/// The text is no ticket.
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
