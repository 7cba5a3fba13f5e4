//! Target groups: ownership, takeovers, handovers, membership and planned stops.

mod claims;
mod drain;
mod listing;
mod promises;
mod status;
mod targets;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    effect::EntryEffect,
    event::ExchangeError,
    ids::{
        ExchangeId, GroupIndex, LeaseId, MonotonicTime, OwnerEpoch, ReplyId, StartNumber,
        StoreRevision, TargetName, ZoneName,
    },
    membership::{PeerTable, TargetEntry, TargetTable},
    message::{PeerHeartbeat, PeerIdentity, PeerReply, TicketHandover},
    ownership::{self, OwnershipTable},
    settings::EntrySettings,
    store::{StoreReply, StoreRequest},
};

pub use self::drain::LOAD_BALANCER_DELAY;

use self::{
    claims::{ClaimState, StoreHealth},
    drain::{DrainState, GroupRelease, ReceivedHandover},
    listing::EntryListing,
    promises::ElectorCandidates,
    targets::ListSchedule,
};
use super::{
    calls::CallPart,
    config::ConfigPart,
    records::RecordPart,
    step::{ReducerPart, StepContext},
};

/// Time limit for one exchange with the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// A change of ownership or of a target, reported to the parts that dispatch work.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupChange {
    /// This instance became the owner of a group.
    Acquired {
        /// Index of the group.
        group: GroupIndex,
        /// Epoch of the new ownership term.
        epoch: OwnerEpoch,
        /// Earliest time to probe executors. All bytes that the last owner sent have arrived by
        /// then.
        probe_from: MonotonicTime,
        /// Epoch, next sequence and ticket states that the last owner handed over.
        handover: Option<(OwnerEpoch, u64, Vec<TicketHandover>)>,
    },
    /// This instance is no longer the owner of a group.
    Lost {
        /// Index of the group.
        group: GroupIndex,
    },
    /// A target appeared, or changed its address, size or state.
    TargetChanged {
        /// Name of the target.
        name: TargetName,
    },
    /// A target ended, or another one replaced it under the same name. Nothing runs on it any more.
    TargetEnded {
        /// Name of the target.
        name: TargetName,
        /// Group of the target.
        group: GroupIndex,
    },
    /// The planned stop is complete, because all groups are released and no call is in progress, or
    /// because its time limit has passed.
    Drained,
}

/// Purpose of an exchange begun by this part.
#[derive(Clone, Debug)]
enum GroupExchange {
    GrantLease { sent: MonotonicTime },
    RenewLease { lease: LeaseId, sent: MonotonicTime },
    ReadRecord { group: GroupIndex },
    ReadLease { group: GroupIndex },
    ReadEpoch { group: GroupIndex },
    Write { group: GroupIndex, number: u64 },
    ReadBack { group: GroupIndex },
    HandOver { group: GroupIndex, to: PeerIdentity },
    ReadStartRevision,
}

/// State of group ownership and of the membership of peers and targets.
#[derive(Debug)]
pub struct GroupPart {
    identity: PeerIdentity,
    zone: ZoneName,
    groups_per_zone: GroupIndex,
    peer_address: SocketAddr,
    known_addresses: Vec<SocketAddr>,
    /// Whether the settings name other instances of this zone.
    has_zone_peers: bool,
    started: Option<MonotonicTime>,
    table: OwnershipTable,
    peers: PeerTable,
    targets: TargetTable,
    listing: EntryListing,
    schedule: ListSchedule,
    absences: HashMap<TargetName, u32>,
    unanswered: HashMap<TargetName, u32>,
    reported_leaving: HashSet<TargetName>,
    candidates: ElectorCandidates,
    claims: BTreeMap<GroupIndex, ClaimState>,
    releases: BTreeMap<GroupIndex, GroupRelease>,
    handovers: BTreeMap<GroupIndex, ReceivedHandover>,
    drain: Option<DrainState>,
    exchanges: HashMap<ExchangeId, GroupExchange>,
    store: StoreHealth,
    granting: bool,
    /// Revision of the store read shortly after the start, see `read_start_revision`.
    start_revision: Option<StoreRevision>,
    reading_start_revision: bool,
    next_renewal: MonotonicTime,
    next_heartbeat: MonotonicTime,
    next_balance: MonotonicTime,
    fixed_authority: BTreeMap<GroupIndex, (OwnerEpoch, MonotonicTime)>,
    changes: Vec<GroupChange>,
}

impl GroupPart {
    /// Sets the guards of takeovers. Only tests switch a guard off.
    pub fn with_guards(mut self, guards: ownership::OwnershipGuards) -> Self {
        self.table = self.table.with_guards(guards);
        self
    }

    /// Creates the part of an instance that has just started: it owns no group, has read no list of
    /// targets and has received no heartbeat of a peer.
    pub fn new(settings: &EntrySettings, start: StartNumber) -> Self {
        let identity = PeerIdentity { instance: settings.instance.clone(), start };
        let others = |address: &SocketAddr| *address != settings.peer_address;
        let known = settings.peers.values().flatten().copied().filter(others).collect();
        let zone_peers = settings.peers.get(&settings.zone);
        Self {
            table: OwnershipTable::new(identity.clone(), &settings.zone),
            identity,
            zone: settings.zone.clone(),
            groups_per_zone: settings.groups_per_zone,
            peer_address: settings.peer_address,
            known_addresses: known,
            has_zone_peers: zone_peers.is_some_and(|peers| peers.iter().any(others)),
            started: None,
            peers: PeerTable::default(),
            targets: TargetTable::default(),
            listing: EntryListing::default(),
            schedule: ListSchedule::default(),
            absences: HashMap::new(),
            unanswered: HashMap::new(),
            reported_leaving: HashSet::new(),
            candidates: ElectorCandidates::default(),
            claims: BTreeMap::new(),
            releases: BTreeMap::new(),
            handovers: BTreeMap::new(),
            drain: None,
            exchanges: HashMap::new(),
            store: StoreHealth::default(),
            granting: false,
            start_revision: None,
            reading_start_revision: false,
            next_renewal: MonotonicTime::ZERO,
            next_heartbeat: MonotonicTime::ZERO,
            next_balance: MonotonicTime::ZERO,
            fixed_authority: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Makes this instance the owner of a group until a fixed time, for tests of other parts.
    #[doc(hidden)]
    pub fn with_group(
        mut self,
        group: GroupIndex,
        epoch: OwnerEpoch,
        authority_until: MonotonicTime,
    ) -> Self {
        self.fixed_authority.insert(group, (epoch, authority_until));
        self
    }

    /// Adds a target in a given state, for tests of other parts.
    #[doc(hidden)]
    pub fn with_target_entry(mut self, entry: TargetEntry) -> Self {
        self.targets.insert(entry);
        self
    }

    /// Records a peer's heartbeat received at `now`, for tests of other parts.
    #[doc(hidden)]
    pub fn with_heartbeat(mut self, heartbeat: PeerHeartbeat, now: MonotonicTime) -> Self {
        self.peers.record_heartbeat(heartbeat, now);
        self
    }

    /// Returns the time until which this instance has authority over a group of its zone; `None` if
    /// it has none at `now`.
    pub fn authority_until(&self, group: GroupIndex, now: MonotonicTime) -> Option<MonotonicTime> {
        if let Some((_, until)) = self.fixed_authority.get(&group) {
            return Some(*until).filter(|until| now < *until);
        }
        self.table.authority_until(group, now)
    }

    /// Returns the epoch of a group that this instance owns.
    pub fn epoch(&self, group: GroupIndex) -> Option<OwnerEpoch> {
        let fixed = self.fixed_authority.get(&group).map(|(epoch, _)| *epoch);
        fixed.or_else(|| self.table.epoch(group))
    }

    /// Returns the groups over which this instance has authority at `now`, sorted.
    pub fn owned(&self, now: MonotonicTime) -> Vec<GroupIndex> {
        let mut groups = self.table.owned_groups();
        groups.extend(
            self.fixed_authority.keys().copied().filter(|group| self.table.epoch(*group).is_none()),
        );
        groups.sort_unstable();
        groups.retain(|group| self.authority_until(*group, now).is_some());
        groups
    }

    /// Returns the address of the peer that announces ownership of a group of `zone`, and the
    /// expected wait that it announces.
    pub fn owner_of(
        &self,
        zone: &str,
        group: GroupIndex,
        now: MonotonicTime,
    ) -> Option<(SocketAddr, Duration)> {
        let (peer, wait) = self.peers.owner_of(zone, group, now)?;
        Some((peer.heartbeat.address, wait))
    }

    /// Returns the addresses of the silent peers, as [`PeerTable::silent`] does.
    pub fn silent_peers(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        self.peers.silent(now)
    }

    /// Returns the targets of this zone.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Returns the names of all known peers, each with the time since its last heartbeat.
    pub fn peers_heard(&self, now: MonotonicTime) -> Vec<(String, Duration)> {
        let heard = |name: &str, heard| (name.to_owned(), now.saturating_sub(heard));
        self.peers.all().map(|peer| heard(&peer.heartbeat.from.instance, peer.last_heard)).collect()
    }

    /// Handles the end of an exchange with the store.
    pub fn on_store_ended(
        &mut self,
        step: &mut StepContext,
        exchange: ExchangeId,
        result: Result<StoreReply, ExchangeError>,
    ) {
        let Some(purpose) = self.exchanges.remove(&exchange) else { return };
        match purpose {
            GroupExchange::GrantLease { sent } => self.on_granted(step, sent, &result),
            GroupExchange::RenewLease { lease, sent } => {
                self.on_renewed(step, lease, sent, &result);
            }
            GroupExchange::ReadRecord { group } => {
                self.on_read(step, group, &result, |claim, values| {
                    claim.stored.value = values.first().cloned();
                })
            }
            GroupExchange::ReadLease { group } => {
                self.on_read(step, group, &result, |claim, values| {
                    claim.stored.lease_key_exists = !values.is_empty();
                })
            }
            GroupExchange::ReadEpoch { group } => {
                self.on_read(step, group, &result, claims::set_epoch);
            }
            GroupExchange::Write { group, number } => {
                self.on_write_ended(step, group, number, &result);
            }
            GroupExchange::ReadBack { group } => self.on_read_back(step, group, &result),
            GroupExchange::ReadStartRevision => self.on_start_revision(&result),
            GroupExchange::HandOver { .. } => {}
        }
    }

    /// Handles a peer's reply to a handover.
    pub fn on_peer_ended(
        &mut self,
        _step: &mut StepContext,
        exchange: ExchangeId,
        result: Result<PeerReply, ExchangeError>,
    ) {
        if let Some(GroupExchange::HandOver { group, to }) = self.exchanges.remove(&exchange) {
            self.on_handover_ended(group, &to, &result);
        }
    }

    /// Runs the timers of the list, the lease, heartbeats, promises, claims, releases and the
    /// planned stop.
    pub fn on_tick(
        &mut self,
        step: &mut StepContext,
        config: &ConfigPart,
        calls: &CallPart,
        _records: &mut RecordPart,
    ) {
        let now = step.now();
        let started = *self.started.get_or_insert(now);
        self.fetch_list_if_due(step);
        self.tick_lease(step);
        self.tick_peers(step, config, calls);
        self.tick_claims(step, config, started);
        self.tick_releases(step);
        self.tick_drain(step, calls);
    }

    /// Returns the changes since the last call and clears them.
    pub fn take_changes(&mut self) -> Vec<GroupChange> {
        std::mem::take(&mut self.changes)
    }

    fn call_store(
        &mut self,
        step: &mut StepContext,
        request: StoreRequest,
        purpose: GroupExchange,
    ) {
        let exchange = step.begin_exchange(ReducerPart::Groups);
        self.exchanges.insert(exchange, purpose);
        step.push(EntryEffect::CallStore { exchange, request, timeout: STORE_TIMEOUT });
    }

    /// Stores the ticket states of a group that a peer released, so that this instance claims the
    /// group soon. Answers `NotOwner` if it does not accept the group.
    pub fn on_hand_over(
        &mut self,
        step: &mut StepContext,
        reply: ReplyId,
        group: GroupIndex,
        epoch: OwnerEpoch,
        next_sequence: u64,
        tickets: Vec<TicketHandover>,
    ) {
        let accepted = self.accept_handover(step.now(), group, epoch, next_sequence, tickets);
        let answer = if accepted { PeerReply::HandedOver } else { PeerReply::NotOwner };
        step.push(EntryEffect::AnswerPeer { reply, answer });
    }
}
