//! Delivery of store watches and executor lists to the instances.

use std::collections::BTreeSet;

use cuminbank_jobs::{
    ids::{StoreRevision, ZoneName},
    keys::CellKeys,
    scheduler::JobEvent,
    store::StoreChange,
};

use super::{key_of, revision_of, SimulatedPool, LIST_EXPIRY, LIST_INTERVAL};

impl SimulatedPool {
    pub(super) fn reaches_store(&self, number: usize) -> bool {
        self.now >= self.instances[number].store_cut_until
    }

    pub(super) fn watch(&mut self, number: usize) {
        let (keys, revision) = (CellKeys::new(0), self.store.revision);
        self.instances[number].revisions.note(self.now, revision);
        let zones: BTreeSet<ZoneName> = self.evacuations.keys().cloned().collect();
        if self.instances[number].evacuated_zones != zones {
            self.instances[number].evacuated_zones.clone_from(&zones);
            self.apply(number, JobEvent::EvacuationsChanged { zones });
        }
        let owner = self.store.read(&keys.owner).into_iter().next();
        let Some(watched) = self.instances[number].owner_watch_revision else {
            self.instances[number].owner_watch_revision = Some(revision);
            let seen = owner.as_ref().map_or(revision, |item| item.revision);
            let effects = self.instances[number].ownership.observe(self.now, seen, owner.as_ref());
            return self.execute_ownership_effects(number, effects);
        };
        self.instances[number].owner_watch_revision = Some(revision);
        let changes = self.changes_after(watched);
        for change in &changes {
            let effects = match change {
                StoreChange::Written(item) if item.key == keys.owner => {
                    self.instances[number].ownership.observe(self.now, item.revision, Some(item))
                }
                StoreChange::Removed { key, revision } if *key == keys.owner => {
                    self.instances[number].ownership.observe(self.now, *revision, None)
                }
                _ => continue,
            };
            self.execute_ownership_effects(number, effects);
        }
        self.update_scheduler(number);
    }

    fn changes_after(&self, revision: StoreRevision) -> Vec<StoreChange> {
        let changes = &self.store.changes;
        let first = changes.partition_point(|change| revision_of(change) <= revision);
        changes[first..].to_vec()
    }

    pub(super) fn update_scheduler(&mut self, number: usize) {
        let (keys, now) = (CellKeys::new(0), self.now);
        if self.instances[number].scheduler.is_none() {
            return;
        }
        if self.instances[number].pool_read_due.is_some_and(|at| now >= at) {
            self.instances[number].pool_read_due = None;
            self.instances[number].pool_watch_revision = self.store.revision;
            let mut items = self.store.read(&keys.ledger_prefix);
            items.extend(self.store.read(&keys.pool_prefix));
            let zones = self.instances[number].evacuated_zones.clone();
            self.apply(number, JobEvent::EvacuationsChanged { zones });
            let revisions = &self.instances[number].revisions;
            let stored_by = |key: &str| {
                let item = items.iter().find(|item| item.key == key)?;
                revisions.reached_by(item.revision)
            };
            let written_by = stored_by(&keys.sequence);
            let handed_over_by = stored_by(&keys.lease_handover);
            self.apply(number, JobEvent::Loaded { items, written_by, handed_over_by });
        }
        if self.instances[number].pool_read_due.is_some() {
            return;
        }
        let after = self.instances[number].pool_watch_revision;
        let mut changes = self.changes_after(after);
        changes.retain(|change| key_of(change).starts_with(&keys.pool_prefix));
        self.instances[number].pool_watch_revision = self.store.revision;
        if !changes.is_empty() {
            self.apply(number, JobEvent::PoolChanged { changes });
        }
        if now >= self.instances[number].list_due {
            self.instances[number].list_due = now + LIST_INTERVAL;
            let listed = self
                .silent_since
                .iter()
                .map(|since| since.is_none_or(|since| now < since + LIST_EXPIRY));
            let reports = self
                .executors
                .iter()
                .zip(listed)
                .filter(|(_, listed)| *listed)
                .map(|(executor, _)| executor.report())
                .chain(self.odd_entries.iter().cloned())
                .collect();
            self.apply(number, JobEvent::Listed { reports });
        }
    }
}
