//! What the next owner has to know about leases on executors that this owner cannot reach.

use super::{
    state::{ExecutorKey, ExecutorState},
    JobScheduler,
};
use crate::{
    ids::{MonotonicTime, OwnerEpoch},
    lease_bounds::{slowest, LEASE_TIME},
    lease_handover::{GrantState, HandoverEntry, LeaseHandover, HANDOVER_INTERVAL},
};

/// State of the stored handover.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HandoverState {
    /// When this owner last sent the record, or `None` if the store may not have it.
    sent_at: Option<MonotonicTime>,
    /// Latest end of a lease in the record that was sent last.
    ends_at: MonotonicTime,
    /// Whether executors have to be added, changed or removed.
    changed: bool,
}

impl HandoverState {
    /// Has the record written again, whatever it contains.
    pub(super) fn invalidate(&mut self) {
        (self.sent_at, self.changed) = (None, true);
    }

    /// Returns whether the record has to be written without delay.
    pub(super) fn is_changed(&self) -> bool {
        self.changed
    }

    /// Returns whether the next write is to include the record.
    fn is_due(&self, now: MonotonicTime) -> bool {
        let Some(sent_at) = self.sent_at else { return true };
        self.changed || (self.ends_at > sent_at && now >= sent_at + HANDOVER_INTERVAL)
    }
}

impl JobScheduler {
    /// Returns the entry of an executor in the record: whether this owner may grant leases on it,
    /// and by when the leases granted so far have expired. The next owner assumes the worst of
    /// executors without an entry.
    fn handover_entry(&self, executor: &ExecutorState) -> Option<(GrantState, MonotonicTime)> {
        if !self.belongs_in_roster(executor) {
            return None;
        }
        if !self.unreconciled.contains(&executor.name) {
            // Of one that was never contacted, the next owner assumes the worst.
            let unfenced = executor.contacted && executor.unfenced_epoch.is_some();
            if executor.hold.failures > 0 || unfenced {
                return Some((GrantState::Paused, executor.lease_expires_at));
            }
            // The next owner counts with the leases of this one, which may be shorter.
            let ends_at = executor.earlier_orders_expire_at;
            let longer = ends_at > self.now + slowest(LEASE_TIME.min(self.bounds.max_lease));
            return longer.then_some((GrantState::Granting, ends_at));
        }
        let earlier = self.earlier_leases.get(&executor.name);
        if earlier.is_some_and(|lease| lease.grants == GrantState::Paused) {
            return earlier.map(|lease| (GrantState::Paused, lease.ends_at));
        }
        // Until a majority has been contacted, the bound is later than it needs to be.
        if executor.hold.failures > 0 && self.earlier_owners.has_final_bound() {
            return Some((GrantState::Paused, self.earlier_lease_end(&executor.name)));
        }
        earlier.map(|lease| (lease.grants, lease.ends_at))
    }

    /// Has the record written if what it tells of an executor has changed.
    pub(super) fn update_handover(&mut self, key: ExecutorKey) {
        let executor = &self.executors[key];
        let grants = self.handover_entry(executor).map(|(grants, _)| grants);
        self.journal.handover.changed |= grants != executor.handed_over;
    }

    /// Returns the record if the next write is to include it. From now on, no lease is granted on
    /// the executors that it says so of.
    pub(super) fn take_handover(&mut self, epoch: OwnerEpoch) -> Option<LeaseHandover> {
        let now = self.now;
        if !self.journal.handover.is_due(now) {
            return None;
        }
        let listed: Vec<(ExecutorKey, Option<(GrantState, MonotonicTime)>)> = self
            .executors
            .iter()
            .map(|(key, executor)| (key, self.handover_entry(executor)))
            .collect();
        let mut entries = Vec::new();
        let mut latest = MonotonicTime::ZERO;
        for (key, entry) in listed {
            let executor = &mut self.executors[key];
            executor.handed_over = entry.map(|(grants, _)| grants);
            let Some((grants, ends_at)) = entry else { continue };
            executor.grants_paused |= grants == GrantState::Paused;
            latest = latest.max(ends_at);
            // Rounded up, since the next owner must not count less than what is left.
            let left_ms = ends_at.saturating_sub(now).as_micros().div_ceil(1_000) as u32;
            entries.push(HandoverEntry { executor: executor.name.clone(), grants, left_ms });
        }
        self.journal.handover =
            HandoverState { sent_at: Some(now), ends_at: latest, changed: false };
        Some(LeaseHandover { entries, epoch })
    }

    /// Permits leases on the executors that the stored record no longer names. No later record has
    /// been sent.
    pub(super) fn on_handover_stored(&mut self) {
        for executor in self.executors.values_mut() {
            let paused = executor.handed_over == Some(GrantState::Paused);
            if executor.grants_paused && !paused {
                // The leases of its runs have not been renewed since it was silent.
                executor.hold.next_at = self.now;
            }
            executor.grants_paused = paused;
        }
        self.pass_needed = true;
    }
}
