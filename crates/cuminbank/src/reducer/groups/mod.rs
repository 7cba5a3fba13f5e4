//! Groups of targets: ownership, takeover, handover, membership and planned stops.

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

/// Time allowed for an exchange with the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// A change that the parts which dispatch work have to follow.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupChange {
    /// The instance became the owner of a group.
    Taken {
        /// Group.
        group: GroupIndex,
        /// Epoch of the new term.
        epoch: OwnerEpoch,
        /// Earliest time for the first probe of an executor: bytes that the last owner sent have
        /// arrived by then.
        probe_from: MonotonicTime,
        /// Ticket states passed on by the last owner: its epoch, next sequence and tickets.
        handover: Option<(OwnerEpoch, u64, Vec<TicketHandover>)>,
    },
    /// The instance is no longer the owner of a group.
    Lost {
        /// Group.
        group: GroupIndex,
    },
    /// A target appeared, or changed its address, size or state.
    TargetChanged {
        /// Target.
        name: TargetName,
    },
    /// A target ended.
    TargetEnded {
        /// Target.
        name: TargetName,
        /// Group that it belonged to.
        group: GroupIndex,
    },
    /// A planned stop has handed over all groups and no call is in progress.
    Drained,
}

/// What an exchange of this part was for.
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

/// Groups and membership.
#[derive(Debug)]
pub struct GroupPart {
    identity: PeerIdentity,
    zone: ZoneName,
    groups_per_zone: GroupIndex,
    peer_address: SocketAddr,
    known_addresses: Vec<SocketAddr>,
    /// Whether other instances of the zone are known ahead.
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
    /// Revision of the store shortly after the start.
    start_revision: Option<StoreRevision>,
    reading_start_revision: bool,
    next_renewal: MonotonicTime,
    next_heartbeat: MonotonicTime,
    next_balance: MonotonicTime,
    fixed_authority: BTreeMap<GroupIndex, (OwnerEpoch, MonotonicTime)>,
    changes: Vec<GroupChange>,
}

impl GroupPart {
    /// Switches guards of takeovers off, for tests only.
    pub fn with_guards(mut self, guards: ownership::GuardSwitches) -> Self {
        self.table = self.table.with_guards(guards);
        self
    }

    /// Creates the part.
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

    /// Owns a group under a fixed right to act, for tests of other parts.
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

    /// Adds a target as it is, for tests of other parts.
    #[doc(hidden)]
    pub fn with_target_entry(mut self, entry: TargetEntry) -> Self {
        self.targets.insert(entry);
        self
    }

    /// Hears a peer's heartbeat at `now`, for tests of other parts.
    #[doc(hidden)]
    pub fn with_heartbeat(mut self, heartbeat: PeerHeartbeat, now: MonotonicTime) -> Self {
        self.peers.hear(heartbeat, now);
        self
    }

    /// Returns until when the instance may act for a group of its zone; `None` if not at `now`.
    pub fn authority_until(&self, group: GroupIndex, now: MonotonicTime) -> Option<MonotonicTime> {
        if let Some((_, until)) = self.fixed_authority.get(&group) {
            return Some(*until).filter(|until| now < *until);
        }
        self.table.right_until(group, now)
    }

    /// Returns the epoch of a group that the instance owns.
    pub fn epoch(&self, group: GroupIndex) -> Option<OwnerEpoch> {
        let fixed = self.fixed_authority.get(&group).map(|(epoch, _)| *epoch);
        fixed.or_else(|| self.table.epoch(group))
    }

    /// Returns the groups that the instance may act for at `now`.
    pub fn owned(&self, now: MonotonicTime) -> Vec<GroupIndex> {
        let mut groups = self.table.held();
        groups.extend(
            self.fixed_authority.keys().copied().filter(|group| self.table.epoch(*group).is_none()),
        );
        groups.sort_unstable();
        groups.retain(|group| self.authority_until(*group, now).is_some());
        groups
    }

    /// Returns the peer that announces a group, in any zone, with the wait it expects.
    pub fn owner_of(
        &self,
        zone: &str,
        group: GroupIndex,
        now: MonotonicTime,
    ) -> Option<(SocketAddr, Duration)> {
        let (peer, wait) = self.peers.owner_of(zone, group, now)?;
        Some((peer.heartbeat.address, wait))
    }

    /// Returns the addresses of peers that went silent.
    pub fn silent_peers(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        self.peers.silent(now)
    }

    /// Returns the targets of the zone.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Returns the peers heard of, with the time since each was last heard.
    pub fn peers_heard(&self, now: MonotonicTime) -> Vec<(String, Duration)> {
        let heard = |name: &str, heard| (name.to_owned(), now.saturating_sub(heard));
        self.peers.all().map(|peer| heard(&peer.heartbeat.from.instance, peer.heard)).collect()
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
                    claim.stored.lease_held = !values.is_empty();
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

    /// Handles the end of an exchange with a peer.
    pub fn on_peer_ended(
        &mut self,
        _step: &mut StepContext,
        exchange: ExchangeId,
        result: Result<PeerReply, ExchangeError>,
    ) {
        if let Some(GroupExchange::HandOver { group, to }) = self.exchanges.remove(&exchange) {
            self.on_handed_over(group, &to, &result);
        }
    }

    /// Renews leases and promises, takes over free groups, and goes on with a planned stop.
    pub fn on_tick(
        &mut self,
        step: &mut StepContext,
        config: &ConfigPart,
        calls: &CallPart,
        _records: &mut RecordPart,
    ) {
        let now = step.now();
        let started = *self.started.get_or_insert(now);
        self.fetch_list(step);
        self.tick_lease(step);
        self.tick_peers(step, config, calls);
        self.tick_claims(step, config, started);
        self.tick_releases(step, calls);
        self.tick_drain(step, calls);
    }

    /// Returns the changes since the last call.
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

    /// Stores the ticket states of a group that a peer gives up, and claims the group.
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
