//! Writes of ownership records. Each group has at most one undecided write.
//!
//! A write whose answer is lost stays undecided until a read shows its operation id, or shows that
//! the record has moved past the revision that the write compares, so that no late copy of it can
//! take effect.

use bytes::Bytes;

use crate::{
    event::ExchangeError,
    ids::{GroupIndex, LeaseId, MonotonicTime, OwnerEpoch, StoreRevision},
    message::PeerIdentity,
    store::{
        epoch_key, group_key, owner_lease_key, StoreCompare, StoreReply, StoreRequest, StoreValue,
        StoreWrite,
    },
};

use super::{
    parse_record, OwnedGroup, OwnershipRecord, OwnershipTable, StoredGroup, AUTHORITY_HORIZON,
};

/// Kind of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WriteKind {
    /// Makes the instance the owner.
    Claim,
    /// Changes the electorate, or binds the owner's lease key to a new lease.
    Change,
    /// Gives the group up.
    Release,
}

#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    pub(super) kind: WriteKind,
    pub(super) record: OwnershipRecord,
    number: u64,
    base: StoreRevision,
    /// Epoch before a claim; `None` if there was no record.
    previous: Option<OwnerEpoch>,
    was_owner: bool,
    /// Lease of the copies sent; `None` once copies name different leases.
    lease: Option<LeaseId>,
    /// Whether a copy was sent whose answer is lost.
    lost: bool,
}

/// A write to send, with the number that its end has to name.
#[derive(Clone, Debug, PartialEq)]
pub struct NumberedWrite {
    /// Number of the write.
    pub number: u64,
    /// Request to the store.
    pub request: StoreRequest,
}

/// What is known after the end of an exchange about a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The exchange concerns no undecided write.
    Stale,
    /// The write had no effect and will have none.
    NotApplied,
    /// The answer is lost: the group key has to be read.
    Unknown,
    /// The instance became the owner.
    Acquired {
        /// Epoch of the new term.
        epoch: OwnerEpoch,
        /// Epoch of the record before.
        previous: Option<OwnerEpoch>,
    },
    /// The instance stays the owner with the changed record.
    Updated,
    /// The record names no owner now.
    Released {
        /// Epoch of the term that ended.
        epoch: OwnerEpoch,
    },
    /// The record names another owner; the own term has ended.
    Superseded,
    /// The write did not take effect yet: send it again.
    Resend(NumberedWrite),
}

impl OwnershipTable {
    /// Begins a claim of a group that [`Self::may_claim`] allows.
    pub fn begin_claim(
        &mut self,
        group: GroupIndex,
        stored: &StoredGroup,
        electorate: Vec<PeerIdentity>,
    ) -> Option<NumberedWrite> {
        let lease = self.lease()?;
        let before = stored.record();
        let previous = before.as_ref().map(|record| record.epoch);
        let epoch = previous.unwrap_or(0).max(stored.epoch) + 1;
        let owner = Some(self.identity.clone());
        let was_owner = before.is_some_and(|record| record.owner == owner);
        let record = self.new_record(owner, epoch, electorate);
        let write = PendingWrite {
            kind: WriteKind::Claim,
            record,
            number: self.last_write,
            base: stored.revision(),
            previous,
            was_owner,
            lease: Some(lease),
            lost: false,
        };
        Some(self.begin_write(group, write))
    }

    /// Begins a change of the electorate, which also binds the owner's lease key to the current
    /// lease. `None` if a new elector might take over within a right that was given out.
    pub fn begin_change(
        &mut self,
        group: GroupIndex,
        electorate: Vec<PeerIdentity>,
        now: MonotonicTime,
    ) -> Option<NumberedWrite> {
        let lease = self.lease()?;
        let state = self.groups.get(&group).filter(|state| state.write.is_none())?;
        let owned = state.owned.as_ref()?;
        let horizon = now + AUTHORITY_HORIZON;
        let covered = |elector: &PeerIdentity| {
            owned.electorate.contains(elector)
                || owned.promises.get(elector).is_some_and(|until| *until >= horizon)
        };
        if self.lease_authority_until(owned) < horizon && !electorate.iter().all(covered) {
            return None;
        }
        let (epoch, base) = (owned.epoch, owned.revision);
        let record = self.new_record(Some(self.identity.clone()), epoch, electorate);
        let write = PendingWrite {
            kind: WriteKind::Change,
            record,
            number: self.last_write,
            base,
            previous: Some(epoch),
            was_owner: true,
            lease: Some(lease),
            lost: false,
        };
        Some(self.begin_write(group, write))
    }

    /// Begins the release of a group. The right to act ends with this call.
    pub fn begin_release(&mut self, group: GroupIndex) -> Option<NumberedWrite> {
        let state = self.groups.get(&group).filter(|state| state.write.is_none())?;
        let owned = state.owned.as_ref()?;
        let (epoch, base) = (owned.epoch, owned.revision);
        let electorate = owned.electorate.clone();
        let record = self.new_record(None, epoch, electorate);
        let write = PendingWrite {
            kind: WriteKind::Release,
            record,
            number: self.last_write,
            base,
            previous: Some(epoch),
            was_owner: true,
            lease: None,
            lost: false,
        };
        Some(self.begin_write(group, write))
    }

    /// Handles the end of an exchange that sent a write.
    pub fn on_write_ended(
        &mut self,
        group: GroupIndex,
        number: u64,
        result: &Result<StoreReply, ExchangeError>,
    ) -> WriteOutcome {
        let Some(write) = self.write_mut(group).filter(|write| write.number == number) else {
            return WriteOutcome::Stale;
        };
        match result {
            Ok(StoreReply::Txn { succeeded: true, revision, .. }) => {
                let revision = *revision;
                self.apply_write(group, revision)
            }
            Ok(StoreReply::Txn { succeeded: false, values, .. }) => {
                let key = group_key(&self.zone, group);
                let found = values.iter().find(|value| value.key == key);
                self.resolve_write(group, found)
            }
            Err(ExchangeError::NotSent | ExchangeError::Refused(_)) if !write.lost => {
                self.abandon_write(group)
            }
            _ => {
                write.lost = true;
                WriteOutcome::Unknown
            }
        }
    }

    /// Handles a read of the group key after a lost answer.
    pub fn on_read_back(&mut self, group: GroupIndex, found: Option<&StoreValue>) -> WriteOutcome {
        let Some(write) = self.write_mut(group).filter(|write| write.lost) else {
            return WriteOutcome::Stale;
        };
        let base = write.base;
        if found.map_or(0, |value| value.mod_revision) != base {
            return self.resolve_write(group, found);
        }
        self.resend_write(group).map_or(WriteOutcome::Unknown, WriteOutcome::Resend)
    }

    /// Tells whether the answer of a write is lost, so that the group key has to be read.
    pub fn needs_read_back(&self, group: GroupIndex) -> bool {
        let write = self.groups.get(&group).and_then(|state| state.write.as_ref());
        write.is_some_and(|write| write.lost)
    }

    fn resend_write(&mut self, group: GroupIndex) -> Option<NumberedWrite> {
        let lease = self.lease();
        let write = self.write_mut(group)?;
        if write.kind == WriteKind::Release {
            return self.store_request(group, None);
        }
        let lease = lease?;
        write.lease = write.lease.filter(|sent| *sent == lease);
        self.store_request(group, Some(lease))
    }

    /// Decides a write whose compared revision is not the one found, or whose compare failed.
    fn resolve_write(&mut self, group: GroupIndex, found: Option<&StoreValue>) -> WriteOutcome {
        let identity = self.identity.clone();
        let Some(state) = self.groups.get_mut(&group) else { return WriteOutcome::Stale };
        let Some(write) = state.write.as_ref() else { return WriteOutcome::Stale };
        let record = found.and_then(parse_record);
        let revision = found.map_or(0, |value| value.mod_revision);
        if record.as_ref().is_some_and(|record| record.operation == write.record.operation) {
            return self.apply_write(group, revision);
        }
        // The group key is as compared, so a lost copy may still take effect.
        if revision == write.base && write.lost {
            return WriteOutcome::Unknown;
        }
        let (kind, epoch) = (write.kind, write.record.epoch);
        state.write = None;
        let Some(record) = record else {
            return if kind == WriteKind::Claim {
                WriteOutcome::NotApplied
            } else {
                self.lose_group(group)
            };
        };
        state.highest_epoch = state.highest_epoch.max(record.epoch);
        if kind == WriteKind::Claim {
            return WriteOutcome::NotApplied;
        }
        if record.owner.as_ref() != Some(&identity) || record.epoch != epoch {
            return self.lose_group(group);
        }
        if let Some(owned) = state.owned.as_mut() {
            owned.revision = revision;
        }
        WriteOutcome::NotApplied
    }

    fn lose_group(&mut self, group: GroupIndex) -> WriteOutcome {
        if let Some(state) = self.groups.get_mut(&group) {
            state.owned = None;
        }
        WriteOutcome::Superseded
    }

    fn abandon_write(&mut self, group: GroupIndex) -> WriteOutcome {
        if let Some(state) = self.groups.get_mut(&group) {
            state.write = None;
        }
        WriteOutcome::NotApplied
    }

    fn apply_write(&mut self, group: GroupIndex, revision: StoreRevision) -> WriteOutcome {
        let Some(state) = self.groups.get_mut(&group) else { return WriteOutcome::Stale };
        let Some(write) = state.write.take() else { return WriteOutcome::Stale };
        let epoch = write.record.epoch;
        state.highest_epoch = state.highest_epoch.max(epoch);
        match (write.kind, state.owned.as_mut()) {
            (WriteKind::Claim, _) => {
                state.owned = Some(OwnedGroup {
                    epoch,
                    revision,
                    electorate: write.record.electorate,
                    bound_lease: write.lease,
                    promises: Default::default(),
                    sent_requests: Default::default(),
                    release_at: None,
                });
                WriteOutcome::Acquired { epoch, previous: write.previous }
            }
            (WriteKind::Change, Some(owned)) => {
                owned.revision = revision;
                owned.electorate = write.record.electorate;
                owned.bound_lease = write.lease;
                WriteOutcome::Updated
            }
            (WriteKind::Release, _) => {
                state.owned = None;
                WriteOutcome::Released { epoch }
            }
            (WriteKind::Change, None) => WriteOutcome::Stale,
        }
    }

    fn new_record(
        &mut self,
        owner: Option<PeerIdentity>,
        epoch: OwnerEpoch,
        electorate: Vec<PeerIdentity>,
    ) -> OwnershipRecord {
        self.last_write += 1;
        let operation =
            format!("{}-{}-{}", self.identity.instance, self.identity.start, self.last_write);
        OwnershipRecord { owner, epoch, electorate, operation }
    }

    fn begin_write(&mut self, group: GroupIndex, write: PendingWrite) -> NumberedWrite {
        let lease = write.lease;
        self.groups.entry(group).or_default().write = Some(write);
        self.store_request(group, lease).expect("the write was just stored")
    }

    fn store_request(&self, group: GroupIndex, lease: Option<LeaseId>) -> Option<NumberedWrite> {
        let write = self.groups.get(&group)?.write.as_ref()?;
        let (zone, key) = (&self.zone, group_key(&self.zone, group));
        let record = serde_json::to_vec(&write.record).expect("records hold only plain values");
        let mut compares = vec![StoreCompare::ModRevision(key.clone(), write.base)];
        let mut then =
            vec![StoreWrite::Put { key: key.clone(), value: Bytes::from(record), lease: None }];
        if write.kind == WriteKind::Claim {
            if !write.was_owner && self.guards.lease_key_checked {
                compares.push(StoreCompare::ModRevision(owner_lease_key(zone, group), 0));
            }
            let value = Bytes::from(write.record.epoch.to_string());
            then.push(StoreWrite::Put { key: epoch_key(zone, group), value, lease: None });
        }
        then.push(match write.kind {
            WriteKind::Release => StoreWrite::Delete(owner_lease_key(zone, group)),
            _ => StoreWrite::Put {
                key: owner_lease_key(zone, group),
                value: Bytes::from(self.identity.instance.clone()),
                lease,
            },
        });
        let request = StoreRequest::Txn { compares, then, otherwise: vec![key] };
        Some(NumberedWrite { number: write.number, request })
    }

    fn write_mut(&mut self, group: GroupIndex) -> Option<&mut PendingWrite> {
        self.groups.get_mut(&group)?.write.as_mut()
    }
}
