//! The store lease, claims of free groups, and changes of the own records.

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

/// Bytes that the last owner sent have arrived this long after its right to act ended.
pub const TRANSIT_BOUND: Duration = Duration::from_secs(1);
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
const GRANT_RETRY: Duration = Duration::from_millis(500);
/// Time between two looks at a group that has no known owner.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
const WRITE_RETRY: Duration = Duration::from_millis(500);
const READ_BACK_INTERVAL: Duration = Duration::from_millis(300);
/// After the start heartbeats of peers arrive within this time, so their groups are known.
const LISTEN_FIRST: Duration = Duration::from_millis(600);
/// A group without an owner for this time is claimed even by an instance that has its share.
const UNOWNED_LONG: Duration = Duration::from_secs(3);
/// Failures in a row after which the store counts as unreachable.
const STORE_FAILURES: u32 = 3;
/// The store counts as answering if it answered within this time; the lease is renewed each second.
const STORE_RECENT: Duration = Duration::from_millis(2_500);
/// After this time no write of an earlier process of the same name is on its way any more.
const EARLIER_WRITES: Duration = Duration::from_secs(5);

/// What is known of a group that the instance may claim.
#[derive(Debug, Default)]
pub(super) struct GroupLook {
    pub(super) stored: StoredGroup,
    /// Reads in flight.
    waiting: u32,
    failed: bool,
    reading_back: bool,
    pub(super) next: MonotonicTime,
    unowned_since: Option<MonotonicTime>,
    /// Revision of the record and when it was first read.
    seen: (StoreRevision, MonotonicTime),
}

/// Whether the store answers.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    failures: u32,
    down: bool,
    answered: Option<MonotonicTime>,
}

impl StoreHealth {
    pub(super) fn is_up(&self, now: MonotonicTime) -> bool {
        let recent = self.answered.is_some_and(|answered| now < answered + STORE_RECENT);
        recent && self.failures == 0
    }

    pub(super) fn is_down(&self) -> bool {
        self.down
    }
}

pub(super) fn set_epoch(look: &mut GroupLook, values: &[StoreValue]) {
    let Some(value) = values.first() else {
        look.stored.epoch = 0;
        return;
    };
    let epoch = std::str::from_utf8(&value.value).ok().and_then(|text| text.parse().ok());
    match epoch {
        Some(epoch) => look.stored.epoch = epoch,
        None => look.failed = true,
    }
}

impl GroupPart {
    /// Notes the outcome of any exchange with the store.
    pub fn observe_store(&mut self, step: &mut StepContext, error: Option<ExchangeError>) {
        let health = &mut self.store;
        let failed = match error {
            None => false,
            Some(ExchangeError::Refused(status)) => status >= 500,
            Some(ExchangeError::NotSent | ExchangeError::Lost) => true,
        };
        if failed {
            health.failures += 1;
            if health.failures >= STORE_FAILURES && !health.down {
                health.down = true;
                step.log(STORE_UNREACHABLE, format!("{} failures in a row", health.failures));
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
        self.settle_revision(step, started);
        self.handed.retain(|_, handed| handed.is_kept(now));
        for group in self.claim_order(now) {
            if self.fixed.contains_key(&group) {
                continue;
            }
            if self.table.needs_read_back(group) {
                self.read_back(step, group);
            } else if self.table.is_writing(group) {
                continue;
            } else if self.table.epoch(group).is_some() {
                self.tick_held(step, group);
            } else if self.wants_group(group, now, started) && config.is_ready() {
                self.begin_look(step, group);
            }
        }
    }

    /// Reads the revision of the store once, to tell records of earlier processes of the same name
    /// from records of later ones.
    fn settle_revision(&mut self, step: &mut StepContext, started: MonotonicTime) {
        if self.settled.is_some() || self.settling || step.now() < started + EARLIER_WRITES {
            return;
        }
        self.settling = true;
        let request = StoreRequest::Range { key: group_key(&self.zone, 0), prefix: false };
        self.call_store(step, request, GroupExchange::Settle);
    }

    pub(super) fn on_settled(&mut self, result: &Result<StoreReply, ExchangeError>) {
        self.settling = false;
        if let Ok(StoreReply::Range { revision, .. }) = result {
            self.settled = Some(*revision);
        }
    }

    /// Instances of a zone begin with different groups, so that their claims seldom collide.
    fn claim_order(&self, now: MonotonicTime) -> Vec<GroupIndex> {
        let earlier = |name: &str| name < self.this.instance.as_str();
        let peers = self.peers.serving(&self.zone, now);
        let rank = peers.filter(|peer| earlier(&peer.heartbeat.from.instance)).count();
        let first = (rank * self.share(now)) as GroupIndex;
        let count = self.groups_per_zone;
        (0..count).map(|index| (first + index) % count).collect()
    }

    /// Returns how many groups the instance owns if all live instances of the zone own alike.
    pub(super) fn share(&self, now: MonotonicTime) -> usize {
        let instances = self.peers.serving(&self.zone, now).count() + 1;
        usize::from(self.groups_per_zone).div_ceil(instances)
    }

    fn load(&self) -> usize {
        let counted = |group: &GroupIndex| {
            let held = self.table.epoch(*group).is_some() && !self.releases.contains_key(group);
            let looking = self.looks.get(group).is_some_and(|look| look.waiting > 0);
            held || looking || self.table.is_claiming(*group)
        };
        (0..self.groups_per_zone).filter(counted).count()
    }

    fn wants_group(
        &mut self,
        group: GroupIndex,
        now: MonotonicTime,
        started: MonotonicTime,
    ) -> bool {
        let announced = self.peers.owner_of(&self.zone, group, now).is_some();
        let handed = self.handed.contains_key(&group);
        let below_share = self.load() < self.share(now);
        let look = self.looks.entry(group).or_default();
        if announced && !handed {
            look.unowned_since = None;
            return false;
        }
        let unowned_since = *look.unowned_since.get_or_insert(now);
        if self.drain.is_some() || self.table.lease().is_none() {
            return false;
        }
        if now < look.next || look.waiting > 0 {
            return false;
        }
        let listening = self.expects_zone_peers && now < started + LISTEN_FIRST;
        handed || (!listening && (below_share || now >= unowned_since + UNOWNED_LONG))
    }

    fn begin_look(&mut self, step: &mut StepContext, group: GroupIndex) {
        let look = self.looks.entry(group).or_default();
        look.stored = StoredGroup::default();
        look.waiting = 3;
        look.failed = false;
        let zone = self.zone.clone();
        let reads = [
            (group_key(&zone, group), GroupExchange::LookRecord { group }),
            (owner_lease_key(&zone, group), GroupExchange::LookLease { group }),
            (epoch_key(&zone, group), GroupExchange::LookEpoch { group }),
        ];
        for (key, purpose) in reads {
            self.call_store(step, StoreRequest::Range { key, prefix: false }, purpose);
        }
    }

    pub(super) fn on_look(
        &mut self,
        step: &mut StepContext,
        group: GroupIndex,
        result: &Result<StoreReply, ExchangeError>,
        note: impl Fn(&mut GroupLook, &[StoreValue]),
    ) {
        let look = self.looks.entry(group).or_default();
        look.waiting = look.waiting.saturating_sub(1);
        match result {
            Ok(StoreReply::Range { values, .. }) => note(look, values),
            _ => look.failed = true,
        }
        if look.waiting == 0 {
            self.finish_look(step, group);
        }
    }

    fn finish_look(&mut self, step: &mut StepContext, group: GroupIndex) {
        let now = step.now();
        let Some(look) = self.looks.get_mut(&group) else { return };
        look.next = now + LOOK_INTERVAL;
        if look.failed || self.drain.is_some() {
            return;
        }
        if look.stored.lease_held {
            look.unowned_since = None;
        }
        let revision = look.stored.value.as_ref().map_or(0, |value| value.mod_revision);
        if look.seen.0 != revision {
            look.seen = (revision, now);
        }
        let seen = look.seen;
        let (stored, unowned_since) = (look.stored.clone(), look.unowned_since);
        let record = stored.record();
        let handed = self.handed.get(&group).map(|handed| handed.epoch);
        let matches = handed.is_some() && handed == record.as_ref().map(|record| record.epoch);
        if handed.is_some() && !matches {
            self.handed.remove(&group);
        }
        // A released group is on its way to a peer that was chosen for it.
        let released = record.is_some_and(|record| record.owner.is_none());
        let waited = unowned_since.is_some_and(|since| now >= since + UNOWNED_LONG);
        if released && !matches && !waited {
            return;
        }
        if self.table.may_claim(group, &stored, |peer| self.is_ended(peer, seen, now), now) {
            let electorate = self.electors.members.clone();
            let write = self.table.begin_claim(group, &stored, electorate);
            self.send_write(step, group, write);
        }
    }

    /// Tells whether an instance that a record names has ended: the list says so, or its name has a
    /// later process. `seen` is the revision of the record and when it was first read.
    fn is_ended(
        &self,
        peer: &PeerIdentity,
        seen: (StoreRevision, MonotonicTime),
        now: MonotonicTime,
    ) -> bool {
        if peer.instance == self.this.instance {
            let earlier = self.settled.is_some_and(|settled| seen.0 <= settled);
            return earlier && peer.start != self.this.start;
        }
        if self.peers.is_process_live(peer, now) {
            return false;
        }
        // A process that sends heartbeats after the record was read started after the one in it.
        let later = self.peers.other_process_heard(peer);
        let replaced = later.is_some_and(|heard| heard > seen.1 + TRANSIT_BOUND);
        replaced || self.listing.is_ended(&peer.instance, now)
    }

    /// Keeps the owner's lease key bound to the lease and the electorate equal to the live peers.
    fn tick_held(&mut self, step: &mut StepContext, group: GroupIndex) {
        let now = step.now();
        if self.looks.entry(group).or_default().next > now {
            return;
        }
        let current = self.table.electorate(group);
        let follows = self.electors.is_stable(now) && !self.releases.contains_key(&group);
        let wanted = if follows { self.electors.members.clone() } else { current.clone() };
        if wanted != current || self.table.needs_binding(group) {
            let write = self.table.begin_change(group, wanted, now);
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
        let look = self.looks.entry(group).or_default();
        if look.reading_back || step.now() < look.next {
            return;
        }
        look.reading_back = true;
        let request = StoreRequest::Range { key: group_key(&self.zone, group), prefix: false };
        self.call_store(step, request, GroupExchange::ReadBack { group });
    }

    pub(super) fn on_read_back(
        &mut self,
        step: &mut StepContext,
        group: GroupIndex,
        result: &Result<StoreReply, ExchangeError>,
    ) {
        let look = self.looks.entry(group).or_default();
        look.reading_back = false;
        look.next = step.now() + READ_BACK_INTERVAL;
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
        let look = self.looks.entry(group).or_default();
        match outcome {
            WriteOutcome::Acquired { epoch, previous } => {
                look.unowned_since = None;
                let fresh = look.stored.never_owned();
                self.on_taken(step, group, epoch, previous, fresh);
            }
            WriteOutcome::Released { epoch } => self.on_released(group, epoch),
            WriteOutcome::Superseded => self.lose_group(step, group),
            WriteOutcome::NotApplied => {
                look.next = now + WRITE_RETRY;
                self.on_release_declined(group);
            }
            WriteOutcome::Unknown => look.next = now + READ_BACK_INTERVAL,
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
        let handed = self.handed.remove(&group).filter(|handed| Some(handed.epoch) == previous);
        let handed = handed.map(|handed| (handed.epoch, handed.next_sequence, handed.tickets));
        step.log(
            GROUP_ACQUIRED,
            format!("group {group} epoch {epoch} handed over: {}", handed.is_some()),
        );
        let probe_from = if fresh { now } else { now + TRANSIT_BOUND };
        self.changes.push(GroupChange::Taken { group, epoch, probe_from, handed });
        // Peers learn of the owner, and electors are asked, at the next tick.
        self.next_heartbeat = now;
    }

    pub(super) fn lose_group(&mut self, step: &mut StepContext, group: GroupIndex) {
        self.releases.remove(&group);
        step.log(GROUP_LOST, format!("group {group} has a later owner"));
        self.changes.push(GroupChange::Lost { group });
    }
}
