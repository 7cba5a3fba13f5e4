//! The store lease, claims of unowned groups, and updates of the ownership records of owned ones.

use std::time::Duration;

use crate::{
    event::ExchangeError,
    ids::{GroupIndex, LeaseId, MonotonicTime, StoreRevision},
    log::{GROUP_ACQUIRED, GROUP_LOST, STORE_REACHABLE, STORE_UNREACHABLE},
    message::PeerIdentity,
    ownership::{NumberedWrite, StoredGroup, WriteOutcome, LEASE_TTL},
    reducer::{config::ConfigPart, step::StepContext, TRANSIT_BOUND},
    store::{epoch_key, group_key, owner_lease_key, StoreReply, StoreRequest, StoreValue},
};

use super::{GroupChange, GroupExchange, GroupPart};

const RENEW_INTERVAL: Duration = Duration::from_secs(1);
const GRANT_RETRY: Duration = Duration::from_millis(500);
/// Time between reads of the records of a group that has no known owner.
const CLAIM_READ_INTERVAL: Duration = Duration::from_millis(500);
const WRITE_RETRY: Duration = Duration::from_millis(500);
const READ_BACK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the start within which the heartbeats of all live peers arrive. The groups that they
/// own are known before the first claim.
const STARTUP_LISTEN_TIME: Duration = Duration::from_millis(600);
/// Time after which an unowned group is claimed even by an instance that already owns its share.
const UNOWNED_CLAIM_DELAY: Duration = Duration::from_secs(3);
/// Number of consecutive failures after which the store counts as unreachable.
const UNREACHABLE_FAILURES: u32 = 3;
/// Age of the last answer of the store up to which the store counts as available. The lease is
/// renewed every second.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(2_500);
/// Upper bound on the delay of a write that an earlier process of this instance sent.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(5);

/// State of the claim of one group.
#[derive(Debug, Default)]
pub(super) struct ClaimState {
    pub(super) stored: StoredGroup,
    /// Number of reads in flight of the three keys of the group.
    reads_in_flight: u32,
    read_failed: bool,
    reading_back: bool,
    /// Earliest time of the next read or write.
    pub(super) next_at: MonotonicTime,
    unowned_since: Option<MonotonicTime>,
    /// Revision of the ownership record, and time at which that revision was first read.
    first_read: (StoreRevision, MonotonicTime),
}

/// Availability of the store, from the results of all exchanges with it.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    failures: u32,
    down: bool,
    answered_at: Option<MonotonicTime>,
}

impl StoreHealth {
    pub(super) fn is_up(&self, now: MonotonicTime) -> bool {
        let recent = self.answered_at.is_some_and(|answered| now < answered + MAX_ANSWER_AGE);
        recent && self.failures == 0
    }

    pub(super) fn is_down(&self) -> bool {
        self.down
    }
}

/// Stores the epoch read from the epoch key; 0 if the key is absent.
pub(super) fn set_epoch(claim: &mut ClaimState, values: &[StoreValue]) {
    let Some(value) = values.first() else {
        claim.stored.epoch = 0;
        return;
    };
    let epoch = std::str::from_utf8(&value.value).ok().and_then(|text| text.parse().ok());
    match epoch {
        Some(epoch) => claim.stored.epoch = epoch,
        None => claim.read_failed = true,
    }
}

impl GroupPart {
    /// Records the result of an exchange of any part with the store.
    pub fn observe_store(&mut self, step: &mut StepContext, error: Option<ExchangeError>) {
        let health = &mut self.store;
        let failed = match error {
            None => false,
            Some(ExchangeError::Refused(status)) => status >= 500,
            Some(ExchangeError::NotSent | ExchangeError::Lost) => true,
        };
        if failed {
            health.failures += 1;
            if health.failures >= UNREACHABLE_FAILURES && !health.down {
                health.down = true;
                step.log(STORE_UNREACHABLE, format!("{} consecutive failures", health.failures));
            }
            return;
        }
        health.failures = 0;
        health.answered_at = Some(step.now());
        if std::mem::take(&mut health.down) {
            step.log(STORE_REACHABLE, "");
        }
    }

    /// Renews the store lease, or requests one if there is none.
    pub(super) fn tick_lease(&mut self, step: &mut StepContext) {
        let now = step.now();
        if now < self.next_renewal || self.granting {
            return;
        }
        self.next_renewal = now + RENEW_INTERVAL;
        if let Some(lease) = self.table.lease() {
            let purpose = GroupExchange::RenewLease { lease, sent: now };
            self.call_store(step, StoreRequest::RenewLease { lease }, purpose);
            return;
        }
        self.granting = true;
        let request = StoreRequest::GrantLease { ttl_seconds: LEASE_TTL.as_secs() as i64 };
        self.call_store(step, request, GroupExchange::GrantLease { sent: now });
    }

    pub(super) fn on_granted(
        &mut self,
        step: &mut StepContext,
        sent: MonotonicTime,
        result: &Result<StoreReply, ExchangeError>,
    ) {
        self.granting = false;
        match result {
            Ok(StoreReply::Granted { lease }) => {
                self.table.on_lease_granted(*lease, sent, step.now());
            }
            _ => self.next_renewal = step.now() + GRANT_RETRY,
        }
    }

    pub(super) fn on_renewed(
        &mut self,
        step: &mut StepContext,
        lease: LeaseId,
        sent: MonotonicTime,
        result: &Result<StoreReply, ExchangeError>,
    ) {
        let Ok(StoreReply::Renewed { alive }) = result else { return };
        self.table.on_lease_renewed(lease, *alive, sent, step.now());
        if self.table.lease().is_none() {
            self.next_renewal = step.now();
        }
    }

    /// Claims unowned groups, updates the records of owned ones, and reads back unconfirmed writes.
    pub(super) fn tick_claims(
        &mut self,
        step: &mut StepContext,
        config: &ConfigPart,
        started: MonotonicTime,
    ) {
        let now = step.now();
        self.read_start_revision(step, started);
        self.handovers.retain(|_, handover| handover.is_valid(now));
        for group in self.claim_order(now) {
            if self.fixed_authority.contains_key(&group) {
                continue;
            }
            if self.table.needs_read_back(group) {
                self.read_back(step, group);
            } else if self.table.is_writing(group) {
                continue;
            } else if self.table.epoch(group).is_some() {
                self.tick_owned(step, group);
            } else if self.should_claim(group, now, started) && config.is_ready() {
                self.begin_read(step, group);
            }
        }
    }

    /// Reads the revision of the store once, [`MAX_WRITE_DELAY`] after the start. If an ownership
    /// record with the name of this instance has no higher revision, an earlier process wrote it
    /// and not a later one.
    fn read_start_revision(&mut self, step: &mut StepContext, started: MonotonicTime) {
        if self.start_revision.is_some()
            || self.reading_start_revision
            || step.now() < started + MAX_WRITE_DELAY
        {
            return;
        }
        self.reading_start_revision = true;
        let request = StoreRequest::Range { key: group_key(&self.zone, 0), prefix: false };
        self.call_store(step, request, GroupExchange::ReadStartRevision);
    }

    pub(super) fn on_start_revision(&mut self, result: &Result<StoreReply, ExchangeError>) {
        self.reading_start_revision = false;
        if let Ok(StoreReply::Range { revision, .. }) = result {
            self.start_revision = Some(*revision);
        }
    }

    /// Returns the groups in the order in which to claim them. Each instance of a zone begins with
    /// a different group, so that claims rarely conflict.
    fn claim_order(&self, now: MonotonicTime) -> Vec<GroupIndex> {
        let earlier = |name: &str| name < self.identity.instance.as_str();
        let peers = self.peers.available(&self.zone, now);
        let rank = peers.filter(|peer| earlier(&peer.heartbeat.from.instance)).count();
        let first = (rank * self.share(now)) as GroupIndex;
        let count = self.groups_per_zone;
        (0..count).map(|index| (first + index) % count).collect()
    }

    /// Returns the number of groups that this instance owns if the live instances of the zone own
    /// equally many, rounded up.
    pub(super) fn share(&self, now: MonotonicTime) -> usize {
        let instances = self.peers.available(&self.zone, now).count() + 1;
        usize::from(self.groups_per_zone).div_ceil(instances)
    }

    fn owned_or_claimed(&self) -> usize {
        let counted = |group: &GroupIndex| {
            let owned = self.table.epoch(*group).is_some() && !self.releases.contains_key(group);
            let reading = self.claims.get(group).is_some_and(|claim| claim.reads_in_flight > 0);
            owned || reading || self.table.is_claiming(*group)
        };
        (0..self.groups_per_zone).filter(counted).count()
    }

    fn should_claim(
        &mut self,
        group: GroupIndex,
        now: MonotonicTime,
        started: MonotonicTime,
    ) -> bool {
        let announced = self.peers.owner_of(&self.zone, group, now).is_some();
        let handover = self.handovers.contains_key(&group);
        let below_share = self.owned_or_claimed() < self.share(now);
        let claim = self.claims.entry(group).or_default();
        if announced && !handover {
            claim.unowned_since = None;
            return false;
        }
        let unowned_since = *claim.unowned_since.get_or_insert(now);
        if self.drain.is_some() || self.table.lease().is_none() {
            return false;
        }
        if now < claim.next_at || claim.reads_in_flight > 0 {
            return false;
        }
        let awaiting_heartbeats = self.has_zone_peers && now < started + STARTUP_LISTEN_TIME;
        handover
            || (!awaiting_heartbeats && (below_share || now >= unowned_since + UNOWNED_CLAIM_DELAY))
    }

    fn begin_read(&mut self, step: &mut StepContext, group: GroupIndex) {
        let claim = self.claims.entry(group).or_default();
        claim.stored = StoredGroup::default();
        claim.reads_in_flight = 3;
        claim.read_failed = false;
        let zone = self.zone.clone();
        let reads = [
            (group_key(&zone, group), GroupExchange::ReadRecord { group }),
            (owner_lease_key(&zone, group), GroupExchange::ReadLease { group }),
            (epoch_key(&zone, group), GroupExchange::ReadEpoch { group }),
        ];
        for (key, purpose) in reads {
            self.call_store(step, StoreRequest::Range { key, prefix: false }, purpose);
        }
    }

    pub(super) fn on_read(
        &mut self,
        step: &mut StepContext,
        group: GroupIndex,
        result: &Result<StoreReply, ExchangeError>,
        store_result: impl Fn(&mut ClaimState, &[StoreValue]),
    ) {
        let claim = self.claims.entry(group).or_default();
        claim.reads_in_flight = claim.reads_in_flight.saturating_sub(1);
        match result {
            Ok(StoreReply::Range { values, .. }) => store_result(claim, values),
            _ => claim.read_failed = true,
        }
        if claim.reads_in_flight == 0 {
            self.finish_read(step, group);
        }
    }

    /// Claims a group if the three keys that were read allow it.
    fn finish_read(&mut self, step: &mut StepContext, group: GroupIndex) {
        let now = step.now();
        let Some(claim) = self.claims.get_mut(&group) else { return };
        claim.next_at = now + CLAIM_READ_INTERVAL;
        if claim.read_failed || self.drain.is_some() {
            return;
        }
        if claim.stored.lease_key_exists {
            claim.unowned_since = None;
        }
        let revision = claim.stored.value.as_ref().map_or(0, |value| value.mod_revision);
        if claim.first_read.0 != revision {
            claim.first_read = (revision, now);
        }
        let first_read = claim.first_read;
        let (stored, unowned_since) = (claim.stored.clone(), claim.unowned_since);
        let record = stored.record();
        let handover = self.handovers.get(&group).map(|handover| handover.epoch);
        let matches = handover.is_some() && handover == record.as_ref().map(|record| record.epoch);
        if handover.is_some() && !matches {
            self.handovers.remove(&group);
        }
        // The last owner hands a released group over to a peer that it selects. Other peers claim
        // it only if that takes too long.
        let released = record.is_some_and(|record| record.owner.is_none());
        let waited = unowned_since.is_some_and(|since| now >= since + UNOWNED_CLAIM_DELAY);
        if released && !matches && !waited {
            return;
        }
        if self.table.may_claim(group, &stored, |peer| self.is_ended(peer, first_read, now), now) {
            let electorate = self.candidates.members.clone();
            let write = self.table.begin_claim(group, &stored, electorate);
            self.send_write(step, group, write);
        }
    }

    /// Returns whether the process named in an ownership record has ended: either the platform's
    /// list no longer contains it, or a later process uses its name. `first_read` is the revision
    /// of the record and the time at which that revision was first read.
    fn is_ended(
        &self,
        peer: &PeerIdentity,
        first_read: (StoreRevision, MonotonicTime),
        now: MonotonicTime,
    ) -> bool {
        if peer.instance == self.identity.instance {
            let earlier =
                self.start_revision.is_some_and(|start_revision| first_read.0 <= start_revision);
            return earlier && peer.start != self.identity.start;
        }
        if self.peers.is_process_live(peer, now) {
            return false;
        }
        // A different process under this name whose heartbeat arrived after the record was read
        // started later than the process in the record.
        let later = self.peers.other_process_heard(peer);
        let replaced = later.is_some_and(|heard| heard > first_read.1 + TRANSIT_BOUND);
        replaced || self.listing.is_ended(&peer.instance, now)
    }

    /// Updates the ownership record of an owned group if the lease or the live peers have changed.
    /// The lease key must have the current lease, and the electorate must equal the live peers.
    fn tick_owned(&mut self, step: &mut StepContext, group: GroupIndex) {
        let now = step.now();
        if self.claims.entry(group).or_default().next_at > now {
            return;
        }
        let current = self.table.electorate(group);
        let may_change = self.candidates.is_stable(now) && !self.releases.contains_key(&group);
        let electorate = if may_change { self.candidates.members.clone() } else { current.clone() };
        if electorate != current || self.table.needs_binding(group) {
            let write = self.table.begin_update(group, electorate, now);
            self.send_write(step, group, write);
        }
    }

    pub(super) fn send_write(
        &mut self,
        step: &mut StepContext,
        group: GroupIndex,
        write: Option<NumberedWrite>,
    ) {
        let Some(NumberedWrite { number, request }) = write else { return };
        self.call_store(step, request, GroupExchange::Write { group, number });
    }

    fn read_back(&mut self, step: &mut StepContext, group: GroupIndex) {
        let claim = self.claims.entry(group).or_default();
        if claim.reading_back || step.now() < claim.next_at {
            return;
        }
        claim.reading_back = true;
        let request = StoreRequest::Range { key: group_key(&self.zone, group), prefix: false };
        self.call_store(step, request, GroupExchange::ReadBack { group });
    }

    pub(super) fn on_read_back(
        &mut self,
        step: &mut StepContext,
        group: GroupIndex,
        result: &Result<StoreReply, ExchangeError>,
    ) {
        let claim = self.claims.entry(group).or_default();
        claim.reading_back = false;
        claim.next_at = step.now() + READ_BACK_INTERVAL;
        if let Ok(StoreReply::Range { values, .. }) = result {
            let outcome = self.table.on_read_back(group, values.first());
            self.on_outcome(step, group, outcome);
        }
    }

    pub(super) fn on_write_ended(
        &mut self,
        step: &mut StepContext,
        group: GroupIndex,
        number: u64,
        result: &Result<StoreReply, ExchangeError>,
    ) {
        let outcome = self.table.on_write_ended(group, number, result);
        self.on_outcome(step, group, outcome);
    }

    fn on_outcome(&mut self, step: &mut StepContext, group: GroupIndex, outcome: WriteOutcome) {
        let now = step.now();
        let claim = self.claims.entry(group).or_default();
        match outcome {
            WriteOutcome::Acquired { epoch, previous } => {
                claim.unowned_since = None;
                let never_owned = claim.stored.never_owned();
                self.on_acquired(step, group, epoch, previous, never_owned);
            }
            WriteOutcome::Released { epoch } => self.on_released(group, epoch),
            WriteOutcome::Superseded => self.lose_group(step, group),
            WriteOutcome::NotApplied => {
                claim.next_at = now + WRITE_RETRY;
                self.on_release_not_applied(group);
            }
            WriteOutcome::Unknown => claim.next_at = now + READ_BACK_INTERVAL,
            WriteOutcome::Resend(write) => self.send_write(step, group, Some(write)),
            WriteOutcome::Updated | WriteOutcome::Stale => {}
        }
    }

    fn on_acquired(
        &mut self,
        step: &mut StepContext,
        group: GroupIndex,
        epoch: u64,
        previous: Option<u64>,
        never_owned: bool,
    ) {
        let now = step.now();
        let handover =
            self.handovers.remove(&group).filter(|handover| Some(handover.epoch) == previous);
        let handover =
            handover.map(|handover| (handover.epoch, handover.next_sequence, handover.tickets));
        step.log(
            GROUP_ACQUIRED,
            format!("group {group} epoch {epoch} handed over: {}", handover.is_some()),
        );
        let probe_from = if never_owned { now } else { now + TRANSIT_BOUND };
        self.changes.push(GroupChange::Acquired { group, epoch, probe_from, handover });
        // Announce the ownership and request promises at the next tick.
        self.next_heartbeat = now;
    }

    pub(super) fn lose_group(&mut self, step: &mut StepContext, group: GroupIndex) {
        self.releases.remove(&group);
        step.log(GROUP_LOST, format!("group {group} has a later owner"));
        self.changes.push(GroupChange::Lost { group });
    }
}
