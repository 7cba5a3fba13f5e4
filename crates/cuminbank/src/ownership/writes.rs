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
    parse_record, GroupHolding, OwnershipRecord, OwnershipTable, StoredGroup, RIGHT_HORIZON,
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
    names_this: bool,
    /// Lease of the copies sent; `None` once copies name different leases.
    lease: Option<LeaseId>,
    /// Whether a copy was sent whose answer is lost.
    lost: bool,
}

/// A write to send, with the number that its end has to name.
#[derive(Clone, Debug, PartialEq)]
pub struct SentWrite {
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
    Declined,
    /// The answer is lost: the group key has to be read.
    Unsure,
    /// The instance became the owner.
    Taken {
        /// Epoch of the new term.
        epoch: OwnerEpoch,
        /// Epoch of the record before.
        previous: Option<OwnerEpoch>,
    },
    /// The instance stays the owner with the changed record.
    Kept,
    /// The record names no owner now.
    Released {
        /// Epoch of the term that ended.
        epoch: OwnerEpoch,
    },
    /// The record names another owner; the own term has ended.
    Superseded,
    /// The write did not take effect yet: send it again.
    Resend(SentWrite),
}

impl OwnershipTable {
    /// Begins a claim of a group that [`Self::may_claim`] allows.
    pub fn begin_claim(
        &mut self,
        group: GroupIndex,
        stored: &StoredGroup,
        electorate: Vec<PeerIdentity>,
    ) -> Option<SentWrite> {
        let lease = self.lease()?;
        let before = stored.record();
        let previous = before.as_ref().map(|record| record.epoch);
        let epoch = previous.unwrap_or(0).max(stored.epoch) + 1;
        let owner = Some(self.this.clone());
        let names_this = before.is_some_and(|record| record.owner == owner);
        let record = self.new_record(owner, epoch, electorate);
        let write = PendingWrite {
            kind: WriteKind::Claim,
            record,
            number: self.writes,
            base: stored.revision(),
            previous,
            names_this,
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
    ) -> Option<SentWrite> {
        let lease = self.lease()?;
        let state = self.groups.get(&group).filter(|state| state.write.is_none())?;
        let holding = state.holding.as_ref()?;
        let horizon = now + RIGHT_HORIZON;
        let covered = |elector: &PeerIdentity| {
            holding.electorate.contains(elector)
                || holding.promises.get(elector).is_some_and(|until| *until >= horizon)
        };
        if self.lease_right(holding) < horizon && !electorate.iter().all(covered) {
            return None;
        }
        let (epoch, base) = (holding.epoch, holding.revision);
        let record = self.new_record(Some(self.this.clone()), epoch, electorate);
        let write = PendingWrite {
            kind: WriteKind::Change,
            record,
            number: self.writes,
            base,
            previous: Some(epoch),
            names_this: true,
            lease: Some(lease),
            lost: false,
        };
        Some(self.begin_write(group, write))
    }

    /// Begins the release of a group. The right to act ends with this call.
    pub fn begin_release(&mut self, group: GroupIndex) -> Option<SentWrite> {
        let state = self.groups.get(&group).filter(|state| state.write.is_none())?;
        let holding = state.holding.as_ref()?;
        let (epoch, base) = (holding.epoch, holding.revision);
        let electorate = holding.electorate.clone();
        let record = self.new_record(None, epoch, electorate);
        let write = PendingWrite {
            kind: WriteKind::Release,
            record,
            number: self.writes,
            base,
            previous: Some(epoch),
            names_this: true,
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
                self.complete(group, revision)
            }
            Ok(StoreReply::Txn { succeeded: false, values, .. }) => {
                let key = group_key(&self.zone, group);
                let found = values.iter().find(|value| value.key == key);
                self.settle(group, found)
            }
            Err(ExchangeError::NotSent | ExchangeError::Refused(_)) if !write.lost => {
                self.decline(group)
            }
            _ => {
                write.lost = true;
                WriteOutcome::Unsure
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
            return self.settle(group, found);
        }
        self.resend(group).map_or(WriteOutcome::Unsure, WriteOutcome::Resend)
    }

    /// Tells whether the answer of a write is lost, so that the group key has to be read.
    pub fn is_unsure(&self, group: GroupIndex) -> bool {
        let write = self.groups.get(&group).and_then(|state| state.write.as_ref());
        write.is_some_and(|write| write.lost)
    }

    fn resend(&mut self, group: GroupIndex) -> Option<SentWrite> {
        let lease = self.lease();
        let write = self.write_mut(group)?;
        if write.kind == WriteKind::Release {
            return self.request(group, None);
        }
        let lease = lease?;
        write.lease = write.lease.filter(|sent| *sent == lease);
        self.request(group, Some(lease))
    }

    /// Decides a write whose compared revision is not the one found, or whose compare failed.
    fn settle(&mut self, group: GroupIndex, found: Option<&StoreValue>) -> WriteOutcome {
        let this = self.this.clone();
        let Some(state) = self.groups.get_mut(&group) else { return WriteOutcome::Stale };
        let Some(write) = state.write.as_ref() else { return WriteOutcome::Stale };
        let record = found.and_then(parse_record);
        let revision = found.map_or(0, |value| value.mod_revision);
        if record.as_ref().is_some_and(|record| record.operation == write.record.operation) {
            return self.complete(group, revision);
        }
        // The group key is as compared, so a lost copy may still take effect.
        if revision == write.base && write.lost {
            return WriteOutcome::Unsure;
        }
        let (kind, epoch) = (write.kind, write.record.epoch);
        state.write = None;
        let Some(record) = record else {
            return if kind == WriteKind::Claim {
                WriteOutcome::Declined
            } else {
                self.drop(group)
            };
        };
        state.highest_epoch = state.highest_epoch.max(record.epoch);
        if kind == WriteKind::Claim {
            return WriteOutcome::Declined;
        }
        if record.owner.as_ref() != Some(&this) || record.epoch != epoch {
            return self.drop(group);
        }
        if let Some(holding) = state.holding.as_mut() {
            holding.revision = revision;
        }
        WriteOutcome::Declined
    }

    fn drop(&mut self, group: GroupIndex) -> WriteOutcome {
        if let Some(state) = self.groups.get_mut(&group) {
            state.holding = None;
        }
        WriteOutcome::Superseded
    }

    fn decline(&mut self, group: GroupIndex) -> WriteOutcome {
        if let Some(state) = self.groups.get_mut(&group) {
            state.write = None;
        }
        WriteOutcome::Declined
    }

    fn complete(&mut self, group: GroupIndex, revision: StoreRevision) -> WriteOutcome {
        let Some(state) = self.groups.get_mut(&group) else { return WriteOutcome::Stale };
        let Some(write) = state.write.take() else { return WriteOutcome::Stale };
        let epoch = write.record.epoch;
        state.highest_epoch = state.highest_epoch.max(epoch);
        match (write.kind, state.holding.as_mut()) {
            (WriteKind::Claim, _) => {
                state.holding = Some(GroupHolding {
                    epoch,
                    revision,
                    electorate: write.record.electorate,
                    bound: write.lease,
                    promises: Default::default(),
                    requests: Default::default(),
                    ends: None,
                });
                WriteOutcome::Taken { epoch, previous: write.previous }
            }
            (WriteKind::Change, Some(holding)) => {
                holding.revision = revision;
                holding.electorate = write.record.electorate;
                holding.bound = write.lease;
                WriteOutcome::Kept
            }
            (WriteKind::Release, _) => {
                state.holding = None;
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
        self.writes += 1;
        let operation = format!("{}-{}-{}", self.this.instance, self.this.start, self.writes);
        OwnershipRecord { owner, epoch, electorate, operation }
    }

    fn begin_write(&mut self, group: GroupIndex, write: PendingWrite) -> SentWrite {
        let lease = write.lease;
        self.groups.entry(group).or_default().write = Some(write);
        self.request(group, lease).expect("the write was just stored")
    }

    fn request(&self, group: GroupIndex, lease: Option<LeaseId>) -> Option<SentWrite> {
        let write = self.groups.get(&group)?.write.as_ref()?;
        let (zone, key) = (&self.zone, group_key(&self.zone, group));
        let record = serde_json::to_vec(&write.record).expect("records hold only plain values");
        let mut compares = vec![StoreCompare::ModRevision(key.clone(), write.base)];
        let mut then =
            vec![StoreWrite::Put { key: key.clone(), value: Bytes::from(record), lease: None }];
        if write.kind == WriteKind::Claim {
            if !write.names_this && self.guards.lease_gone {
                compares.push(StoreCompare::ModRevision(owner_lease_key(zone, group), 0));
            }
            let value = Bytes::from(write.record.epoch.to_string());
            then.push(StoreWrite::Put { key: epoch_key(zone, group), value, lease: None });
        }
        then.push(match write.kind {
            WriteKind::Release => StoreWrite::Delete(owner_lease_key(zone, group)),
            _ => StoreWrite::Put {
                key: owner_lease_key(zone, group),
                value: Bytes::from(self.this.instance.clone()),
                lease,
            },
        });
        let request = StoreRequest::Txn { compares, then, otherwise: vec![key] };
        Some(SentWrite { number: write.number, request })
    }

    fn write_mut(&mut self, group: GroupIndex) -> Option<&mut PendingWrite> {
        self.groups.get_mut(&group)?.write.as_mut()
    }
}
