//! The store lease, claims of unowned groups, and updates of the ownership records of owned ones.

use std::time::Duration;

use crate::{
    event::ExchangeError,
    ids::{GroupIndex, LeaseId, MonotonicTime, StoreRevision},
    log::{GROUP_ACQUIRED, GROUP_LOST, STORE_REACHABLE, STORE_UNREACHABLE},
    message::PeerIdentity,
    ownership::{NumberedWrite, StoredGroup, WriteOutcome, LEASE_TTL},
    reducer::{config::ConfigPart, step::StepContext},
    store::{epoch_key, group_key, owner_lease_key, StoreReply, StoreRequest, StoreValue},
};

use super::{GroupChange, GroupExchange, GroupPart};

/// All bytes that the last owner sent have arrived this long after its authority ended.
pub const TRANSIT_BOUND: Duration = Duration::from_secs(1);
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
const GRANT_RETRY: Duration = Duration::from_millis(500);
/// Time between reads of a group that has no known owner.
const CLAIM_READ_INTERVAL: Duration = Duration::from_millis(500);
const WRITE_RETRY: Duration = Duration::from_millis(500);
const READ_BACK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the start in which the heartbeats of all live peers arrive, so that the groups they
/// own are known before the first claim.
const STARTUP_LISTEN_TIME: Duration = Duration::from_millis(600);
/// A group unowned for this long is claimed even by an instance that already owns its share.
const UNOWNED_CLAIM_DELAY: Duration = Duration::from_secs(3);
/// Consecutive failures after which the store counts as unreachable.
const UNREACHABLE_FAILURES: u32 = 3;
/// Maximum age of the store's last answer for it to count as available. The lease is renewed every
/// second.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(2_500);
/// Upper bound on how long a write of an earlier process of this instance can be delayed.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(5);

/// What is known of a group that this instance may claim.
#[derive(Debug, Default)]
pub(super) struct ClaimState {
    pub(super) stored: StoredGroup,
    /// Number of reads in flight.
    waiting: u32,
    failed: bool,
    reading_back: bool,
    pub(super) next: MonotonicTime,
    unowned_since: Option<MonotonicTime>,
    /// Revision of the ownership record, and when that revision was first read.
    seen: (StoreRevision, MonotonicTime),
}

/// Availability of the store, from the results of all exchanges with it.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    failures: u32,
    down: bool,
    answered: Option<MonotonicTime>,
}

impl StoreHealth {
    pub(super) fn is_up(&self, now: MonotonicTime) -> bool {
        let recent = self.answered.is_some_and(|answered| now < answered + MAX_ANSWER_AGE);
        recent && self.failures == 0
    }

    pub(super) fn is_down(&self) -> bool {
        self.down
    }
}

pub(super) fn set_epoch(claim: &mut ClaimState, values: &[StoreValue]) {
    let Some(value) = values.first() else {
        claim.stored.epoch = 0;
        return;
    };
    let epoch = std::str::from_utf8(&value.value).ok().and_then(|text| text.parse().ok());
    match epoch {
        Some(epoch) => claim.stored.epoch = epoch,
        None => claim.failed = true,
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
        health.answered = Some(step.now());
        if std::mem::take(&mut health.down) {
            step.log(STORE_REACHABLE, "");
        }
    }

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

    /// Reads the store's revision once, [`MAX_WRITE_DELAY`] after the start. A record with this
    /// instance's name and no higher revision was written by an earlier process, not by a later
    /// one.
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

    /// Returns the order in which to consider groups. Instances of a zone start at different
    /// groups, so that their claims rarely collide.
    fn claim_order(&self, now: MonotonicTime) -> Vec<GroupIndex> {
        let earlier = |name: &str| name < self.identity.instance.as_str();
        let peers = self.peers.available(&self.zone, now);
        let rank = peers.filter(|peer| earlier(&peer.heartbeat.from.instance)).count();
        let first = (rank * self.share(now)) as GroupIndex;
        let count = self.groups_per_zone;
        (0..count).map(|index| (first + index) % count).collect()
    }

    /// Returns the number of groups this instance should own if the live instances of the zone own
    /// equally many.
    pub(super) fn share(&self, now: MonotonicTime) -> usize {
        let instances = self.peers.available(&self.zone, now).count() + 1;
        usize::from(self.groups_per_zone).div_ceil(instances)
    }

    fn owned_or_claimed(&self) -> usize {
        let counted = |group: &GroupIndex| {
            let held = self.table.epoch(*group).is_some() && !self.releases.contains_key(group);
            let reading = self.claims.get(group).is_some_and(|claim| claim.waiting > 0);
            held || reading || self.table.is_claiming(*group)
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
        if now < claim.next || claim.waiting > 0 {
            return false;
        }
        let listening = self.has_zone_peers && now < started + STARTUP_LISTEN_TIME;
        handover || (!listening && (below_share || now >= unowned_since + UNOWNED_CLAIM_DELAY))
    }

    fn begin_read(&mut self, step: &mut StepContext, group: GroupIndex) {
        let claim = self.claims.entry(group).or_default();
        claim.stored = StoredGroup::default();
        claim.waiting = 3;
        claim.failed = false;
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
        note: impl Fn(&mut ClaimState, &[StoreValue]),
    ) {
        let claim = self.claims.entry(group).or_default();
        claim.waiting = claim.waiting.saturating_sub(1);
        match result {
            Ok(StoreReply::Range { values, .. }) => note(claim, values),
            _ => claim.failed = true,
        }
        if claim.waiting == 0 {
            self.finish_read(step, group);
        }
    }

    fn finish_read(&mut self, step: &mut StepContext, group: GroupIndex) {
        let now = step.now();
        let Some(claim) = self.claims.get_mut(&group) else { return };
        claim.next = now + CLAIM_READ_INTERVAL;
        if claim.failed || self.drain.is_some() {
            return;
        }
        if claim.stored.lease_key_exists {
            claim.unowned_since = None;
        }
        let revision = claim.stored.value.as_ref().map_or(0, |value| value.mod_revision);
        if claim.seen.0 != revision {
            claim.seen = (revision, now);
        }
        let seen = claim.seen;
        let (stored, unowned_since) = (claim.stored.clone(), claim.unowned_since);
        let record = stored.record();
        let handover = self.handovers.get(&group).map(|handover| handover.epoch);
        let matches = handover.is_some() && handover == record.as_ref().map(|record| record.epoch);
        if handover.is_some() && !matches {
            self.handovers.remove(&group);
        }
        // A released group is being handed over to the peer that its last owner selected.
        let released = record.is_some_and(|record| record.owner.is_none());
        let waited = unowned_since.is_some_and(|since| now >= since + UNOWNED_CLAIM_DELAY);
        if released && !matches && !waited {
            return;
        }
        if self.table.may_claim(group, &stored, |peer| self.is_ended(peer, seen, now), now) {
            let electorate = self.candidates.members.clone();
            let write = self.table.begin_claim(group, &stored, electorate);
            self.send_write(step, group, write);
        }
    }

    /// Returns whether the process named in an ownership record has ended: the platform's list
    /// reports it, or a later process uses its name. `seen` is the revision of the record and when
    /// that was first read.
    fn is_ended(
        &self,
        peer: &PeerIdentity,
        seen: (StoreRevision, MonotonicTime),
        now: MonotonicTime,
    ) -> bool {
        if peer.instance == self.identity.instance {
            let earlier =
                self.start_revision.is_some_and(|start_revision| seen.0 <= start_revision);
            return earlier && peer.start != self.identity.start;
        }
        if self.peers.is_process_live(peer, now) {
            return false;
        }
        // A process that sends heartbeats after the record was read started later than the one it
        // names.
        let later = self.peers.other_process_heard(peer);
        let replaced = later.is_some_and(|heard| heard > seen.1 + TRANSIT_BOUND);
        replaced || self.listing.is_ended(&peer.instance, now)
    }

    /// Keeps the owner's lease key bound to the current lease, and the electorate equal to the live
    /// peers.
    fn tick_owned(&mut self, step: &mut StepContext, group: GroupIndex) {
        let now = step.now();
        if self.claims.entry(group).or_default().next > now {
            return;
        }
        let current = self.table.electorate(group);
        let follows = self.candidates.is_stable(now) && !self.releases.contains_key(&group);
        let wanted = if follows { self.candidates.members.clone() } else { current.clone() };
        if wanted != current || self.table.needs_binding(group) {
            let write = self.table.begin_update(group, wanted, now);
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
        if claim.reading_back || step.now() < claim.next {
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
        claim.next = step.now() + READ_BACK_INTERVAL;
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
                let fresh = claim.stored.never_owned();
                self.on_taken(step, group, epoch, previous, fresh);
            }
            WriteOutcome::Released { epoch } => self.on_released(group, epoch),
            WriteOutcome::Superseded => self.lose_group(step, group),
            WriteOutcome::NotApplied => {
                claim.next = now + WRITE_RETRY;
                self.on_release_declined(group);
            }
            WriteOutcome::Unknown => claim.next = now + READ_BACK_INTERVAL,
            WriteOutcome::Resend(write) => self.send_write(step, group, Some(write)),
            WriteOutcome::Updated | WriteOutcome::Stale => {}
        }
    }

    fn on_taken(
        &mut self,
        step: &mut StepContext,
        group: GroupIndex,
        epoch: u64,
        previous: Option<u64>,
        fresh: bool,
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
        let probe_from = if fresh { now } else { now + TRANSIT_BOUND };
        self.changes.push(GroupChange::Taken { group, epoch, probe_from, handover });
        // Announce the ownership and request promises at the next tick.
        self.next_heartbeat = now;
    }

    pub(super) fn lose_group(&mut self, step: &mut StepContext, group: GroupIndex) {
        self.releases.remove(&group);
        step.log(GROUP_LOST, format!("group {group} has a later owner"));
        self.changes.push(GroupChange::Lost { group });
    }
}
