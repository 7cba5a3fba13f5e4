//! Writes of ownership records. Each group has at most one write whose outcome is undecided.
//!
//! A write whose answer is lost stays undecided until a read of the record shows its operation id,
//! or a revision other than the one that the write compares. After that no late copy of the write
//! can take effect.

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

/// Kind of an ownership write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WriteKind {
    /// Makes the instance the owner.
    Claim,
    /// Updates the electorate and binds the lease key of the owner to the current store lease.
    Update,
    /// Ends the ownership.
    Release,
}

#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    pub(super) kind: WriteKind,
    pub(super) record: OwnershipRecord,
    number: u64,
    /// Revision of the group key that the write compares.
    base_revision: StoreRevision,
    /// Epoch of the record that the write replaces; `None` if there was no record.
    previous: Option<OwnerEpoch>,
    /// Whether the replaced record names this process as owner. The existing lease key may then be
    /// that of this process.
    was_owner: bool,
    /// Store lease that all copies sent so far bind the lease key to; `None` once they differ.
    lease: Option<LeaseId>,
    /// Whether the answer to any copy was lost.
    answer_lost: bool,
}

/// An ownership write to send; its number is passed to [`OwnershipTable::on_write_ended`].
#[derive(Clone, Debug, PartialEq)]
pub struct NumberedWrite {
    /// Number of the write, unique within the process.
    pub number: u64,
    /// Transaction to send to the store.
    pub request: StoreRequest,
}

/// State of a write after an exchange with the store.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The exchange does not belong to an undecided write and is ignored.
    Stale,
    /// The write did not take effect and no copy of it can do so later.
    NotApplied,
    /// The answer is lost; the group key has to be read to determine the outcome.
    Unknown,
    /// The instance became the owner.
    Acquired {
        /// Epoch of the new ownership.
        epoch: OwnerEpoch,
        /// Epoch of the replaced record; `None` if there was no record.
        previous: Option<OwnerEpoch>,
    },
    /// The record was changed and the instance is still the owner.
    Updated,
    /// The group was released and has no owner.
    Released {
        /// Epoch of the ownership that ended.
        epoch: OwnerEpoch,
    },
    /// The record is missing, or names another owner or epoch: this instance no longer owns the
    /// group.
    Superseded,
    /// The write has not taken effect so far and has to be sent again.
    Resend(NumberedWrite),
}

impl OwnershipTable {
    /// Begins the claim of a group for which [`Self::may_claim`] returned true. Returns `None` if
    /// the instance has no store lease.
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
            base_revision: stored.revision(),
            previous,
            was_owner,
            lease: Some(lease),
            answer_lost: false,
        };
        Some(self.begin_write(group, write))
    }

    /// Begins an update of the electorate, which also binds the lease key of the owner to the
    /// current store lease. Returns `None` if the instance has no lease or does not own the group,
    /// while another write is undecided, or if a new elector could claim the group before the end
    /// of the authority that was already reported.
    pub fn begin_update(
        &mut self,
        group: GroupIndex,
        electorate: Vec<PeerIdentity>,
        now: MonotonicTime,
    ) -> Option<NumberedWrite> {
        let lease = self.lease()?;
        let state = self.groups.get(&group).filter(|state| state.write.is_none())?;
        let owned = state.owned.as_ref()?;
        let horizon = now + AUTHORITY_HORIZON;
        let cannot_claim_before_horizon = |elector: &PeerIdentity| {
            owned.electorate.contains(elector)
                || owned.promises.get(elector).is_some_and(|until| *until >= horizon)
        };
        if self.lease_authority_until(owned) < horizon
            && !electorate.iter().all(cannot_claim_before_horizon)
        {
            return None;
        }
        let (epoch, base_revision) = (owned.epoch, owned.revision);
        let record = self.new_record(Some(self.identity.clone()), epoch, electorate);
        let write = PendingWrite {
            kind: WriteKind::Update,
            record,
            number: self.last_write,
            base_revision,
            previous: Some(epoch),
            was_owner: true,
            lease: Some(lease),
            answer_lost: false,
        };
        Some(self.begin_write(group, write))
    }

    /// Begins the release of a group, which ends the authority at once. Returns `None` if the group
    /// is not owned or has an undecided write.
    pub fn begin_release(&mut self, group: GroupIndex) -> Option<NumberedWrite> {
        let state = self.groups.get(&group).filter(|state| state.write.is_none())?;
        let owned = state.owned.as_ref()?;
        let (epoch, base_revision) = (owned.epoch, owned.revision);
        let electorate = owned.electorate.clone();
        let record = self.new_record(None, epoch, electorate);
        let write = PendingWrite {
            kind: WriteKind::Release,
            record,
            number: self.last_write,
            base_revision,
            previous: Some(epoch),
            was_owner: true,
            lease: None,
            answer_lost: false,
        };
        Some(self.begin_write(group, write))
    }

    /// Handles the result of the exchange that sent the write with this number.
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
            Err(ExchangeError::NotSent | ExchangeError::Refused(_)) if !write.answer_lost => {
                self.abandon_write(group)
            }
            _ => {
                write.answer_lost = true;
                WriteOutcome::Unknown
            }
        }
    }

    /// Handles a read of the group key that was made because the answer to a write was lost.
    pub fn on_read_back(&mut self, group: GroupIndex, found: Option<&StoreValue>) -> WriteOutcome {
        let Some(write) = self.write_mut(group).filter(|write| write.answer_lost) else {
            return WriteOutcome::Stale;
        };
        let base_revision = write.base_revision;
        if found.map_or(0, |value| value.mod_revision) != base_revision {
            return self.resolve_write(group, found);
        }
        self.resend_write(group).map_or(WriteOutcome::Unknown, WriteOutcome::Resend)
    }

    /// Returns whether the answer to a write was lost, so that the group key has to be read.
    pub fn needs_read_back(&self, group: GroupIndex) -> bool {
        let write = self.groups.get(&group).and_then(|state| state.write.as_ref());
        write.is_some_and(|write| write.answer_lost)
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

    /// Determines the outcome of a write from the group key as `found` in the store, after a failed
    /// comparison or a read that shows another revision than the compared one.
    fn resolve_write(&mut self, group: GroupIndex, found: Option<&StoreValue>) -> WriteOutcome {
        let identity = self.identity.clone();
        let Some(state) = self.groups.get_mut(&group) else { return WriteOutcome::Stale };
        let Some(write) = state.write.as_ref() else { return WriteOutcome::Stale };
        let record = found.and_then(parse_record);
        let revision = found.map_or(0, |value| value.mod_revision);
        if record.as_ref().is_some_and(|record| record.operation == write.record.operation) {
            return self.apply_write(group, revision);
        }
        // The group key still has the compared revision, so a copy whose answer was lost can still
        // take effect.
        if revision == write.base_revision && write.answer_lost {
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
            (WriteKind::Update, Some(owned)) => {
                owned.revision = revision;
                owned.electorate = write.record.electorate;
                owned.bound_lease = write.lease;
                WriteOutcome::Updated
            }
            (WriteKind::Release, _) => {
                state.owned = None;
                WriteOutcome::Released { epoch }
            }
            (WriteKind::Update, None) => WriteOutcome::Stale,
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
        self.store_request(group, lease).expect("the write of this group was just inserted")
    }

    fn store_request(&self, group: GroupIndex, lease: Option<LeaseId>) -> Option<NumberedWrite> {
        let write = self.groups.get(&group)?.write.as_ref()?;
        let (zone, key) = (&self.zone, group_key(&self.zone, group));
        let record = serde_json::to_vec(&write.record)
            .expect("an ownership record has only fields that JSON can represent");
        let mut compares = vec![StoreCompare::ModRevision(key.clone(), write.base_revision)];
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
