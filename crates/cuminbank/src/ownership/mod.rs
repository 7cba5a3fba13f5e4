//! Ownership of target groups: which instance has the authority to act for a group, and until when.
//!
//! An owner writes an ownership record to the store and binds a lease key to its store lease. Its
//! authority lasts until that lease expires. It also lasts while every elector (an instance that
//! the record allows to claim the group) has promised not to claim it, so that a store outage does
//! not end it.
//!
//! [`OwnershipTable`] is a state machine without I/O. It tracks the store lease of the instance,
//! the groups that it owns, the promises that it received and made, and at most one write per group
//! whose outcome is still undecided.

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

/// Time to live of the store lease of an instance.
pub const LEASE_TTL: Duration = Duration::from_secs(4);
/// Time for which an elector promises not to claim a group.
pub const PROMISE_TERM: Duration = Duration::from_secs(4);
/// Largest relative difference between the rates of two clocks; each clock in the fleet is within
/// 1 % of real time.
pub const CLOCK_DRIFT: f64 = 0.02;
/// Longest time ahead for which authority is reported. A dispatch that waits in the daemon stays
/// valid no longer than this, so a planned release has to be announced only this long in advance.
pub const AUTHORITY_HORIZON: Duration = Duration::from_secs(2);

/// Safety rules of ownership. Tests switch them off one at a time to show that their checks detect
/// the resulting fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnershipGuards {
    /// An elector does not claim a group before its own promise has expired.
    pub promises_enforced: bool,
    /// The transaction of a claim fails if the lease key of the owner still exists.
    pub lease_key_checked: bool,
    /// The terms of leases and promises start when the request is sent, not when the answer
    /// arrives.
    pub terms_start_at_send: bool,
    /// An elector refuses promises while the outcome of its own claim is undecided.
    pub undecided_claims_block_promises: bool,
}

impl Default for OwnershipGuards {
    fn default() -> Self {
        Self {
            promises_enforced: true,
            lease_key_checked: true,
            terms_start_at_send: true,
            undecided_claims_block_promises: true,
        }
    }
}

/// Ownership record of a group, stored as JSON under its group key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipRecord {
    /// Owner of the group; `None` after a release.
    pub owner: Option<PeerIdentity>,
    /// Epoch of the ownership; each claim increments it.
    pub epoch: OwnerEpoch,
    /// Electors: instances that may claim the group once the lease key of the owner is deleted.
    /// Other instances may claim it only if the owner and all electors have ended, too.
    pub electorate: Vec<PeerIdentity>,
    /// Id of the write. After a lost answer it shows whether the write took effect.
    pub operation: String,
}

/// Keys of a group as read from the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredGroup {
    /// Value of the group key, if it exists.
    pub value: Option<StoreValue>,
    /// Whether the lease key of the owner exists.
    pub lease_key_exists: bool,
    /// Value of the epoch key; 0 if it does not exist.
    pub epoch: OwnerEpoch,
}

impl StoredGroup {
    /// Returns the ownership record; `None` if it is missing or cannot be parsed.
    pub fn record(&self) -> Option<OwnershipRecord> {
        self.value.as_ref().and_then(parse_record)
    }

    /// Returns whether the group never had an owner.
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
    granted_promise: Option<GrantedPromise>,
    /// Highest epoch of the group that the instance has seen.
    highest_epoch: OwnerEpoch,
}

#[derive(Clone, Debug)]
struct OwnedGroup {
    epoch: OwnerEpoch,
    revision: StoreRevision,
    electorate: Vec<PeerIdentity>,
    /// Store lease that the lease key is bound to; `None` if that is uncertain.
    bound_lease: Option<LeaseId>,
    /// Electors that promised not to claim the group, with the end of each promise.
    promises: BTreeMap<PeerIdentity, MonotonicTime>,
    /// Sequence numbers of the last promise requests, with the times at which they were sent.
    sent_requests: VecDeque<(u64, MonotonicTime)>,
    /// Time at which the authority ends for a planned release.
    release_at: Option<MonotonicTime>,
}

#[derive(Clone, Debug)]
struct GrantedPromise {
    epoch: OwnerEpoch,
    until: MonotonicTime,
}

/// Ownership state of the groups of one zone, as known to one instance.
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
    /// Creates a table without owned groups and without a lease.
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

    /// Replaces the safety rules; only tests switch rules off.
    #[doc(hidden)]
    pub fn with_guards(mut self, guards: OwnershipGuards) -> Self {
        self.guards = guards;
        self
    }

    /// Returns the id of the store lease of the instance.
    pub fn lease(&self) -> Option<LeaseId> {
        self.lease.as_ref().map(|lease| lease.id)
    }

    /// Handles a granted lease that was requested at `sent`.
    pub fn on_lease_granted(&mut self, id: LeaseId, sent: MonotonicTime, now: MonotonicTime) {
        let until = self.term_start(sent, now) + LEASE_TTL.mul_f64(1.0 - CLOCK_DRIFT);
        self.lease = Some(InstanceLease { id, until });
    }

    /// Handles the answer to a renewal that was sent at `sent`. The answer is ignored if it is for
    /// another lease. If the lease is no longer `alive`, the instance has none.
    pub fn on_lease_renewed(
        &mut self,
        id: LeaseId,
        alive: bool,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) {
        let until = self.term_start(sent, now) + LEASE_TTL.mul_f64(1.0 - CLOCK_DRIFT);
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.id == id) else { return };
        if alive {
            lease.until = lease.until.max(until);
        } else {
            self.lease = None;
        }
    }

    fn term_start(&self, sent: MonotonicTime, now: MonotonicTime) -> MonotonicTime {
        if self.guards.terms_start_at_send {
            sent
        } else {
            now
        }
    }

    /// Returns the time until which the instance may act for a group; `None` if it must not act at
    /// `now`. This is the end of the lease or of the promises, whichever is later, but at most
    /// [`AUTHORITY_HORIZON`] after `now`.
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

    /// Returns the groups that the instance owns, including those for which it currently has no
    /// authority.
    pub fn owned_groups(&self) -> Vec<GroupIndex> {
        let owned = self.groups.iter().filter(|(_, state)| state.owned.is_some());
        owned.map(|(group, _)| *group).collect()
    }

    /// Returns the electors of a group that the instance owns; empty for other groups.
    pub fn electorate(&self, group: GroupIndex) -> Vec<PeerIdentity> {
        let owned = self.groups.get(&group).and_then(|state| state.owned.as_ref());
        owned.map_or(Vec::new(), |owned| owned.electorate.clone())
    }

    /// Returns the electors of a group together with those of an undecided update.
    pub fn electors(&self, group: GroupIndex) -> Vec<PeerIdentity> {
        let mut electors = self.electorate(group);
        let write = self.groups.get(&group).and_then(|state| state.write.as_ref());
        let update = write.filter(|write| write.kind == WriteKind::Update);
        electors.extend(update.map_or(Vec::new(), |write| write.record.electorate.clone()));
        electors
    }

    /// Returns whether the group has a write whose outcome is undecided.
    pub fn is_writing(&self, group: GroupIndex) -> bool {
        self.groups.get(&group).is_some_and(|state| state.write.is_some())
    }

    /// Returns whether the group has a claim whose outcome is undecided.
    pub fn is_claiming(&self, group: GroupIndex) -> bool {
        let write = self.groups.get(&group).and_then(|state| state.write.as_ref());
        write.is_some_and(|write| write.kind == WriteKind::Claim)
    }

    /// Returns whether the group is owned and its lease key is not bound to the current lease.
    pub fn needs_binding(&self, group: GroupIndex) -> bool {
        let owned = self.groups.get(&group).and_then(|state| state.owned.as_ref());
        owned.is_some_and(|owned| owned.bound_lease != self.lease())
    }

    /// Sets the time at which the authority for a group ends, ahead of a planned release.
    pub fn end_authority_at(&mut self, group: GroupIndex, release_at: MonotonicTime) {
        if let Some(owned) = self.owned_mut(group) {
            owned.release_at = Some(release_at);
        }
    }

    /// Reverts [`Self::end_authority_at`] if the release cannot be written.
    pub fn restore_authority(&mut self, group: GroupIndex) {
        if let Some(owned) = self.owned_mut(group) {
            owned.release_at = None;
        }
    }

    /// Records an epoch that a peer reported. Returns true if this instance owned the group under
    /// an earlier epoch; its ownership has then ended.
    pub fn record_epoch(&mut self, group: GroupIndex, epoch: OwnerEpoch) -> bool {
        let state = self.groups.entry(group).or_default();
        state.highest_epoch = state.highest_epoch.max(epoch);
        if state.owned.as_ref().is_none_or(|owned| owned.epoch >= epoch) {
            return false;
        }
        state.owned = None;
        state.write = None;
        true
    }

    /// Returns whether the instance may claim a group whose keys were read as `stored`.
    /// `listed_as_ended` returns whether the platform's list reports a process as ended.
    pub fn may_claim(
        &self,
        group: GroupIndex,
        stored: &StoredGroup,
        listed_as_ended: impl Fn(&PeerIdentity) -> bool,
        now: MonotonicTime,
    ) -> bool {
        let empty = GroupState::default();
        let state = self.groups.get(&group).unwrap_or(&empty);
        if state.owned.is_some() || state.write.is_some() || self.lease.is_none() {
            return false;
        }
        if stored.value.is_none() {
            return !stored.lease_key_exists && !self.is_bound_by_promise(state, 0, now);
        }
        // A record that cannot be parsed may name a live owner.
        let Some(record) = stored.record() else { return false };
        let Some(owner) = &record.owner else {
            // The authority of the last owner had ended before it wrote the release, so promises to
            // it no longer apply.
            return !self.is_bound_by_promise(state, record.epoch, now);
        };
        if self.is_bound_by_promise(state, 0, now) {
            return false;
        }
        if *owner == self.identity {
            return true;
        }
        let lease_ended = !stored.lease_key_exists || !self.guards.lease_key_checked;
        let is_elector = record.electorate.contains(&self.identity);
        lease_ended
            && (is_elector
                || (listed_as_ended(owner) && record.electorate.iter().all(listed_as_ended)))
    }

    /// Returns whether a promise to an owner of an epoch later than `released` forbids a claim at
    /// `now`. Promises to owners up to the released epoch no longer apply.
    fn is_bound_by_promise(
        &self,
        state: &GroupState,
        released: OwnerEpoch,
        now: MonotonicTime,
    ) -> bool {
        let applies = |promise: &GrantedPromise| now < promise.until && promise.epoch > released;
        self.guards.promises_enforced && state.granted_promise.as_ref().is_some_and(applies)
    }

    fn owned_mut(&mut self, group: GroupIndex) -> Option<&mut OwnedGroup> {
        self.groups.get_mut(&group)?.owned.as_mut()
    }
}

/// Returns the end of the authority that is based on promises: the earliest end among those of all
/// electors, including the electors of an undecided update. Without electors nobody can take over,
/// so the authority extends to `horizon`.
fn promise_authority_until(
    owned: &OwnedGroup,
    write: Option<&PendingWrite>,
    horizon: MonotonicTime,
) -> MonotonicTime {
    let update = write.filter(|write| write.kind == WriteKind::Update);
    let added = update.map_or(&[][..], |write| &write.record.electorate);
    let electors = owned.electorate.iter().chain(added);
    let ends =
        electors.map(|elector| owned.promises.get(elector).copied().unwrap_or(MonotonicTime::ZERO));
    ends.min().unwrap_or(horizon)
}
