//! Start of an ownership: loads the stored state and waits until all runs of earlier owners are
//! known or have ended.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use cuminbank::log::{
    EXECUTOR_LEASES_EXPIRED, POOL_LOADED, POOL_RECONCILED, PREDECESSOR_ENDED, STORE_UNREADABLE,
};

use super::{moves::MovePhase, state::JobState, JobScheduler};
use crate::{
    colocation::ColocationModel,
    formats::describe_value,
    ids::{ExecutorName, JobId, MonotonicTime, OwnerEpoch, TaskIndex, WriteId},
    keys::parse_job_id,
    lease_bounds::{majority_time, EarlierOwners},
    lease_handover::{GrantState, LeaseHandover},
    ownership::FIRST_EPOCH,
    progress::JobProgress,
    roster::ExecutorRoster,
    store::{decode_value, StoreItem},
};

/// Maximum number of executor names in a log entry.
const MAX_NAMED: usize = 5;
/// Safety margin added to the latest time at which a run of an earlier owner can end.
const RECONCILE_MARGIN: Duration = Duration::from_millis(300);
/// Time without a confirmation of the store from which on the replies of executors are counted.
const MIN_SILENCE: Duration = Duration::from_millis(600);

impl JobScheduler {
    pub(super) fn on_loaded(
        &mut self,
        items: Vec<StoreItem>,
        written_by: Option<MonotonicTime>,
        handed_over_by: Option<MonotonicTime>,
    ) {
        if self.loaded {
            return;
        }
        self.loaded = true;
        let keys = self.keys.clone();
        let mut progress: HashMap<JobId, JobProgress> = HashMap::new();
        let mut unreadable: HashSet<JobId> = HashSet::new();
        let mut roster = ExecutorRoster::default();
        let mut handover = LeaseHandover::default();
        let mut last_writer = None;
        for item in &items {
            if let Some(job) = parse_job_id(&item.key, &keys.progress_prefix) {
                match decode_value(&item.value) {
                    Some(record) => {
                        progress.insert(job, record);
                    }
                    None => {
                        unreadable.insert(job);
                        self.log_unreadable_job(job, &item.key, &item.value);
                    }
                }
            } else if item.key == keys.roster {
                match decode_value(&item.value) {
                    Some(stored) => roster = stored,
                    None => {
                        self.roster_unreadable = self.guards.reconciles_first;
                        self.log_unreadable(&item.key, &item.value);
                    }
                }
            } else if item.key == keys.colocation {
                let model = decode_value::<ColocationModel>(&item.value);
                match model.filter(ColocationModel::is_complete) {
                    Some(model) => {
                        self.colocation = model.with_max_images().with_time(self.now);
                    }
                    None => {
                        self.journal.colocation_at = MonotonicTime::MAX;
                        self.log_unreadable(&item.key, &item.value);
                    }
                }
            } else if item.key == keys.sequence {
                self.journal.sequence_revision = item.revision;
                let written = decode_value::<(OwnerEpoch, WriteId)>(&item.value);
                last_writer = written.map(|(epoch, _)| epoch);
            } else if item.key == keys.lease_handover {
                match decode_value(&item.value) {
                    Some(stored) => handover = stored,
                    None => self.log_unreadable(&item.key, &item.value),
                }
            } else if item.key == keys.bounded_leases {
                let marked = decode_value::<OwnerEpoch>(&item.value);
                let next = marked.and_then(|epoch| epoch.checked_add(1));
                self.earlier_owners.bounded |= next == Some(self.epoch);
            }
        }
        self.earlier_owners.bounded |= self.epoch == FIRST_EPOCH;
        // Without a write, no earlier owner has granted leases.
        if self.journal.sequence_revision > 0 {
            self.earlier_owners.confirmed_by = written_by.unwrap_or(self.now);
        }
        if self.earlier_owners.bounded {
            let stored_by = handed_over_by.unwrap_or(self.now);
            self.earlier_leases = handover.into_leases(last_writer, stored_by);
        }
        self.loaded_executors = roster.executors.len();
        self.journal.possible_rosters = vec![roster.names()];
        for entry in roster.executors {
            if self.guards.reconciles_first {
                self.unreconciled.insert(entry.name.clone());
            }
            let key = self.add_executor(entry);
            self.executors[key].in_roster = true;
        }
        for (job, record) in &progress {
            if let Some(outcome) = record.outcome {
                self.ended_jobs.insert(*job, (outcome, record.ended_at.unwrap_or(self.wall)));
            }
        }
        for item in &items {
            if item.key.starts_with(&keys.job_prefix) {
                let job = parse_job_id(&item.key, &keys.job_prefix);
                // Without a job record, the job has ended, and nothing is left to withhold.
                self.unreadable_jobs.extend(job.filter(|job| unreadable.contains(job)));
                let known = job.and_then(|job| progress.remove(&job));
                self.add_job_item(&item.key, &item.value, item.created, known);
            }
        }
        for item in &items {
            if let Some(job) = parse_job_id(&item.key, &keys.cancel_prefix) {
                self.cancel_job(job);
            }
        }
        let detail = format!(
            "epoch={} jobs={} roster={} items={}",
            self.epoch,
            self.jobs.len(),
            self.unreconciled.len(),
            items.len()
        );
        self.log(POOL_LOADED, None, detail);
        self.poll_executors();
    }

    /// Returns whether all runs of earlier owners are known or have ended.
    pub(super) fn is_reconciled(&self) -> bool {
        self.unreconciled.is_empty() && !self.roster_unreadable
    }

    /// Returns whether no earlier owner can have a run of a ready task that is not known here, and the
    /// job cannot have moved to another cell.
    pub(super) fn may_start(&self, job: &JobState, task: TaskIndex) -> bool {
        job.move_phase != MovePhase::InFlight
            && (job.fresh || self.is_reconciled() || self.are_runs_known(job, task))
    }

    /// Returns whether a task has no other run than the one that its executor reported. A restarted
    /// executor replies to earlier owners again, so it must have stayed in contact until they could
    /// send no more orders.
    fn are_runs_known(&self, job: &JobState, task: TaskIndex) -> bool {
        let Some((key, since)) = job.tasks[task as usize].reported_by else { return false };
        let in_contact = self.executors.get(key).is_some_and(|executor| {
            executor.hold.failures == 0 && executor.in_contact_since == since
        });
        in_contact && self.now >= self.earlier_owners.orders_until() + RECONCILE_MARGIN
    }

    fn log_unreadable(&mut self, key: &str, value: &[u8]) {
        self.log(STORE_UNREADABLE, None, format!("key={key} {}", describe_value(value)));
    }

    pub(super) fn mark_reconciled(&mut self, name: &ExecutorName) {
        if !self.unreconciled.remove(name) {
            return;
        }
        // Executors for which the wait has ended without a reply do not count.
        self.reconciled_executors += 1;
        if self.reconciled_executors * 2 > self.loaded_executors {
            self.earlier_owners.quorum_at.get_or_insert(self.now);
        }
        if self.unreconciled.is_empty() {
            self.log_reconciled("every executor has answered");
        }
    }

    pub(super) fn on_predecessor_stopped(&mut self, stopped: Duration) {
        let stopped_at = self.now.saturating_sub(stopped).max(self.earlier_orders_until);
        self.earlier_owners.stopped_at.get_or_insert(stopped_at);
        let stopped_ms = stopped.as_millis();
        self.log(PREDECESSOR_ENDED, None, format!("epoch={} stopped_ms={stopped_ms}", self.epoch));
    }

    /// Returns the time by which all leases of earlier owners have expired, wherever they were
    /// granted.
    fn earlier_leases_end(&self) -> MonotonicTime {
        let leases_until = self.earlier_owners.leases_until(self.bounds.max_lease);
        leases_until + self.bounds.stop_timeout + RECONCILE_MARGIN
    }

    /// Returns the time by which all leases of earlier owners on an executor have expired that has
    /// not replied to this one.
    pub(super) fn earlier_lease_end(&self, name: &ExecutorName) -> MonotonicTime {
        match self.earlier_leases.get(name) {
            Some(lease) if lease.grants == GrantState::Paused => lease.ends_at,
            Some(lease) => self.earlier_leases_end().max(lease.ends_at),
            None => self.earlier_leases_end(),
        }
    }

    /// Stops waiting for unreachable executors once all leases granted by earlier owners must have
    /// expired. If the roster cannot be read, any executor may have such a lease.
    pub(super) fn reconcile_by_timeout(&mut self) {
        if self.is_reconciled() {
            return;
        }
        // A later owner may have reached the executors and renewed the leases of their runs. Only a
        // successful write of this owner, sent after they expired, rules that out.
        let verified_at = match self.guards.verifies_ownership {
            true => self.evidence.confirmed_at,
            false => self.now,
        };
        let ends: Vec<(ExecutorName, MonotonicTime)> = self
            .unreconciled
            .iter()
            .map(|name| (name.clone(), self.earlier_lease_end(name)))
            .collect();
        let roster_end = self.roster_unreadable.then(|| self.earlier_leases_end());
        let is_over = ends.iter().map(|(_, end)| *end).chain(roster_end).any(|end| self.now >= end);
        if !is_over {
            return;
        }
        let missing: Vec<ExecutorName> =
            ends.into_iter().filter(|(_, end)| verified_at >= *end).map(|(name, _)| name).collect();
        self.roster_unreadable &= roster_end.is_some_and(|end| verified_at < end);
        self.unreconciled.retain(|name| !missing.contains(name));
        self.journal.ownership_check_needed |= !self.is_reconciled();
        if missing.is_empty() && !self.is_reconciled() {
            return;
        }
        let named = missing.iter().take(MAX_NAMED).cloned().collect::<Vec<_>>().join(",");
        let EarlierOwners { bounded, confirmed_by, stopped_at, quorum_at, .. } =
            self.earlier_owners;
        let age = |at: MonotonicTime| self.now.saturating_sub(at).as_millis();
        let handed = missing.iter().filter(|name| self.earlier_leases.contains_key(*name)).count();
        let reason = format!(
            "leases of earlier owners have expired missing={} executors={named} handed_over={handed} \
             left={} bounded={bounded} confirmed_ms={} stopped_ms={:?} quorum_ms={:?}",
            missing.len(),
            self.unreconciled.len(),
            age(confirmed_by),
            stopped_at.map(age),
            quorum_at.map(age)
        );
        if self.is_reconciled() {
            self.log_reconciled(&reason);
        } else {
            self.log(EXECUTOR_LEASES_EXPIRED, None, format!("runs=0 reason={reason}"));
        }
    }

    /// Returns whether the store has not confirmed the ownership for a while.
    pub(super) fn needs_quorum(&self) -> bool {
        self.now >= self.evidence.confirmed_at + MIN_SILENCE
    }

    /// Updates the time at which a majority of the executors accepted orders. Only executors count
    /// that have been in contact since the store confirmed the ownership: one that has restarted
    /// since then has forgotten the epoch of a successor.
    pub(super) fn update_quorum(&mut self) {
        if !self.needs_quorum() {
            return;
        }
        let confirmed_at = self.evidence.confirmed_at;
        let accepted_at = |name: &ExecutorName| {
            let executor = self.executor_names.get(name).map(|key| &self.executors[*key]);
            let witness = executor.filter(|executor| {
                executor.contacted
                    && executor.hold.failures == 0
                    && executor.in_contact_since <= confirmed_at
            });
            witness.map_or(MonotonicTime::ZERO, |executor| executor.accepted_at)
        };
        let rosters = self.journal.possible_rosters.iter();
        let quorums = rosters.map(|names| majority_time(names.iter().map(accepted_at).collect()));
        let quorum_at = quorums.min().unwrap_or_default();
        self.evidence.quorum_at = self.evidence.quorum_at.max(quorum_at);
    }

    fn log_reconciled(&mut self, reason: &str) {
        let waited = self.now.saturating_sub(self.started_at).as_millis();
        self.pass_needed = true;
        self.log(
            POOL_RECONCILED,
            None,
            format!("epoch={} waited_ms={waited} reason={reason}", self.epoch),
        );
    }
}
