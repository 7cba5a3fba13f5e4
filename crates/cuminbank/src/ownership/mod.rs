//! Ownership of target groups: who may act for a group, and until when.
//!
//! [`OwnershipTable`] is a pure state machine. It holds the store lease of the instance, the groups
//! that it owns, the promises that it got and gave, and at most one undecided write for each group.

mod promises;
mod writes;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{GroupIndex, LeaseId, MonotonicTime, OwnerEpoch, StoreRevision, ZoneName},
    message::PeerIdentity,
    store::StoreValue,
};

pub use self::writes::{NumberedWrite, WriteOutcome};
use self::writes::{PendingWrite, WriteKind};

/// Time to live of the store lease.
pub const LEASE_TTL: Duration = Duration::from_secs(4);
/// Time that a promise lasts.
pub const PROMISE_TERM: Duration = Duration::from_secs(4);
/// Largest relative difference between two clocks over a term; rates in the fleet are within 1 %.
pub const CLOCK_DRIFT: f64 = 0.02;
/// Longest right that is given out at once. Dispatches that wait in the daemon are valid no
/// longer, so a planned release has to announce its end only this long ahead.
pub const AUTHORITY_HORIZON: Duration = Duration::from_secs(2);

/// Guards that tests switch off to show that a check would find their absence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnershipGuards {
    /// An elector does not claim a group while a promise that it gave lasts.
    pub promises_enforced: bool,
    /// A claim compares that the owner's lease key is gone.
    pub lease_key_checked: bool,
    /// A right counts from the time its request was sent, and not from the answer.
    pub count_from_send: bool,
    /// An elector with an undecided claim gives no promise.
    pub undecided_claims_block_promises: bool,
}

impl Default for OwnershipGuards {
    fn default() -> Self {
        Self {
            promises_enforced: true,
            lease_key_checked: true,
            count_from_send: true,
            undecided_claims_block_promises: true,
        }
    }
}

/// The ownership record of a group in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipRecord {
    /// Owner; absent after a release.
    pub owner: Option<PeerIdentity>,
    /// Number of the ownership term.
    pub epoch: OwnerEpoch,
    /// Instances that may take over.
    pub electorate: Vec<PeerIdentity>,
    /// Id of the operation that wrote the record.
    pub operation: String,
}

/// What was read of a group in the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredGroup {
    /// Value of the group key.
    pub value: Option<StoreValue>,
    /// Whether the owner's lease key exists.
    pub lease_held: bool,
    /// Value of the epoch key, 0 if it does not exist.
    pub epoch: OwnerEpoch,
}

impl StoredGroup {
    /// Returns the ownership record, if there is a valid one.
    pub fn record(&self) -> Option<OwnershipRecord> {
        self.value.as_ref().and_then(parse_record)
    }

    /// Tells whether the group never had an owner.
    pub fn never_owned(&self) -> bool {
        self.value.is_none() && self.epoch == 0
    }

    fn revision(&self) -> StoreRevision {
        self.value.as_ref().map_or(0, |value| value.mod_revision)
    }
}

fn parse_record(value: &StoreValue) -> Option<OwnershipRecord> {
    serde_json::from_slice(&value.value).ok()
}

#[derive(Clone, Debug)]
struct InstanceLease {
    id: LeaseId,
    until: MonotonicTime,
}

#[derive(Clone, Debug, Default)]
struct GroupState {
    owned: Option<OwnedGroup>,
    write: Option<PendingWrite>,
    given_promise: Option<GivenPromise>,
    highest_epoch: OwnerEpoch,
}

#[derive(Clone, Debug)]
struct OwnedGroup {
    epoch: OwnerEpoch,
    revision: StoreRevision,
    electorate: Vec<PeerIdentity>,
    /// Lease that the owner's lease key is bound to, if that is certain.
    bound_lease: Option<LeaseId>,
    promises: BTreeMap<PeerIdentity, MonotonicTime>,
    sent_requests: VecDeque<(u64, MonotonicTime)>,
    /// End of the right before a planned release.
    release_at: Option<MonotonicTime>,
}

#[derive(Clone, Debug)]
struct GivenPromise {
    epoch: OwnerEpoch,
    until: MonotonicTime,
}

/// Ownership of the groups of a zone as one instance knows it.
#[derive(Clone, Debug)]
pub struct OwnershipTable {
    identity: PeerIdentity,
    zone: ZoneName,
    guards: OwnershipGuards,
    lease: Option<InstanceLease>,
    groups: BTreeMap<GroupIndex, GroupState>,
    last_write: u64,
    last_request: u64,
}

impl OwnershipTable {
    /// Creates a table without groups and lease.
    pub fn new(identity: PeerIdentity, zone: &str) -> Self {
        Self {
            identity,
            zone: zone.to_owned(),
            guards: OwnershipGuards::default(),
            lease: None,
            groups: BTreeMap::new(),
            last_write: 0,
            last_request: 0,
        }
    }

    /// Switches guards off, for tests only.
    #[doc(hidden)]
    pub fn with_guards(mut self, guards: OwnershipGuards) -> Self {
        self.guards = guards;
        self
    }

    /// Returns the lease of the instance.
    pub fn lease(&self) -> Option<LeaseId> {
        self.lease.as_ref().map(|lease| lease.id)
    }

    /// Notes a new lease whose request was sent at `sent`.
    pub fn on_lease_granted(&mut self, id: LeaseId, sent: MonotonicTime, now: MonotonicTime) {
        let until = self.counted_from(sent, now) + LEASE_TTL.mul_f64(1.0 - CLOCK_DRIFT);
        self.lease = Some(InstanceLease { id, until });
    }

    /// Notes the answer to a renewal that was sent at `sent`.
    pub fn on_lease_renewed(
        &mut self,
        id: LeaseId,
        alive: bool,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) {
        let until = self.counted_from(sent, now) + LEASE_TTL.mul_f64(1.0 - CLOCK_DRIFT);
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.id == id) else { return };
        if alive {
            lease.until = lease.until.max(until);
        } else {
            self.lease = None;
        }
    }

    fn counted_from(&self, sent: MonotonicTime, now: MonotonicTime) -> MonotonicTime {
        if self.guards.count_from_send {
            sent
        } else {
            now
        }
    }

    /// Returns until when the instance may act for a group; `None` if it may not at `now`. The
    /// later of the lease's and the promises' end counts, at most [`AUTHORITY_HORIZON`] ahead.
    pub fn authority_until(&self, group: GroupIndex, now: MonotonicTime) -> Option<MonotonicTime> {
        let state = self.groups.get(&group)?;
        let owned = state.owned.as_ref()?;
        let write = state.write.as_ref();
        if write.is_some_and(|write| write.kind == WriteKind::Release) {
            return None;
        }
        let horizon = now + AUTHORITY_HORIZON;
        let until =
            self.lease_authority_until(owned).max(promise_authority_until(owned, write, horizon));
        let until = until.min(horizon).min(owned.release_at.unwrap_or(horizon));
        Some(until).filter(|until| now < *until)
    }

    fn lease_authority_until(&self, owned: &OwnedGroup) -> MonotonicTime {
        let lease = self.lease.as_ref().filter(|lease| owned.bound_lease == Some(lease.id));
        lease.map_or(MonotonicTime::ZERO, |lease| lease.until)
    }

    /// Returns the epoch of a group that the instance owns.
    pub fn epoch(&self, group: GroupIndex) -> Option<OwnerEpoch> {
        Some(self.groups.get(&group)?.owned.as_ref()?.epoch)
    }

    /// Returns the groups that the instance owns, with or without the right to act.
    pub fn held(&self) -> Vec<GroupIndex> {
        let held = self.groups.iter().filter(|(_, state)| state.owned.is_some());
        held.map(|(group, _)| *group).collect()
    }

    /// Returns the electors of a group that the instance owns.
    pub fn electorate(&self, group: GroupIndex) -> Vec<PeerIdentity> {
        let owned = self.groups.get(&group).and_then(|state| state.owned.as_ref());
        owned.map_or(Vec::new(), |owned| owned.electorate.clone())
    }

    /// Returns the electors of a group, with those of an undecided change.
    pub fn electors(&self, group: GroupIndex) -> Vec<PeerIdentity> {
        let mut electors = self.electorate(group);
        let write = self.groups.get(&group).and_then(|state| state.write.as_ref());
        let changed = write.filter(|write| write.kind == WriteKind::Change);
        electors.extend(changed.map_or(Vec::new(), |write| write.record.electorate.clone()));
        electors
    }

    /// Tells whether a write of a group is undecided.
    pub fn is_writing(&self, group: GroupIndex) -> bool {
        self.groups.get(&group).is_some_and(|state| state.write.is_some())
    }

    /// Tells whether a claim of a group is undecided.
    pub fn is_claiming(&self, group: GroupIndex) -> bool {
        let write = self.groups.get(&group).and_then(|state| state.write.as_ref());
        write.is_some_and(|write| write.kind == WriteKind::Claim)
    }

    /// Tells whether the owner's lease key of a group is not bound to the current lease.
    pub fn needs_binding(&self, group: GroupIndex) -> bool {
        let owned = self.groups.get(&group).and_then(|state| state.owned.as_ref());
        owned.is_some_and(|owned| owned.bound_lease != self.lease())
    }

    /// Ends the right to a group at `ends`, ahead of a release.
    pub fn end_authority_at(&mut self, group: GroupIndex, release_at: MonotonicTime) {
        if let Some(owned) = self.owned_mut(group) {
            owned.release_at = Some(release_at);
        }
    }

    /// Takes back [`Self::end_authority_at`], when the release cannot be written.
    pub fn restore_authority(&mut self, group: GroupIndex) {
        if let Some(owned) = self.owned_mut(group) {
            owned.release_at = None;
        }
    }

    /// Notes an epoch of a group seen at a peer and tells whether that ends the own term.
    pub fn note_epoch(&mut self, group: GroupIndex, epoch: OwnerEpoch) -> bool {
        let state = self.groups.entry(group).or_default();
        state.highest_epoch = state.highest_epoch.max(epoch);
        if state.owned.as_ref().is_none_or(|owned| owned.epoch >= epoch) {
            return false;
        }
        state.owned = None;
        state.write = None;
        true
    }

    /// Tells whether the instance may claim a group as it was read. `ended` tells whether the
    /// platform's list reports an instance as ended.
    pub fn may_claim(
        &self,
        group: GroupIndex,
        stored: &StoredGroup,
        ended: impl Fn(&PeerIdentity) -> bool,
        now: MonotonicTime,
    ) -> bool {
        let empty = GroupState::default();
        let state = self.groups.get(&group).unwrap_or(&empty);
        if state.owned.is_some() || state.write.is_some() || self.lease.is_none() {
            return false;
        }
        if stored.value.is_none() {
            return !stored.lease_held && !self.is_bound_by_promise(state, 0, now);
        }
        // A record that cannot be read may name a live owner.
        let Some(record) = stored.record() else { return false };
        let Some(owner) = &record.owner else {
            // The owner gave up its right before it wrote this, so promises to it are void.
            return !self.is_bound_by_promise(state, record.epoch, now);
        };
        if self.is_bound_by_promise(state, 0, now) {
            return false;
        }
        if *owner == self.identity {
            return true;
        }
        let gone = !stored.lease_held || !self.guards.lease_key_checked;
        let elected = record.electorate.contains(&self.identity);
        gone && (elected || (ended(owner) && record.electorate.iter().all(ended)))
    }

    /// Tells whether a promise binds the instance that is not void by a release of `released`.
    fn is_bound_by_promise(
        &self,
        state: &GroupState,
        released: OwnerEpoch,
        now: MonotonicTime,
    ) -> bool {
        let binds = |given: &GivenPromise| now < given.until && given.epoch > released;
        self.guards.promises_enforced && state.given_promise.as_ref().is_some_and(binds)
    }

    fn owned_mut(&mut self, group: GroupIndex) -> Option<&mut OwnedGroup> {
        self.groups.get_mut(&group)?.owned.as_mut()
    }
}

/// Returns the end of the right by promises: every elector has to have promised, those of an
/// undecided change of the electorate included. Without electors nobody can take over.
fn promise_authority_until(
    owned: &OwnedGroup,
    write: Option<&PendingWrite>,
    horizon: MonotonicTime,
) -> MonotonicTime {
    let changed = write.filter(|write| write.kind == WriteKind::Change);
    let added = changed.map_or(&[][..], |write| &write.record.electorate);
    let electors = owned.electorate.iter().chain(added);
    let ends =
        electors.map(|elector| owned.promises.get(elector).copied().unwrap_or(MonotonicTime::ZERO));
    ends.min().unwrap_or(horizon)
}
