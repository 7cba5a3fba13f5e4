//! Start of an ownership: loads the stored state and waits until all runs of earlier owners are
//! known or have ended.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use cuminbank::log::{POOL_LOADED, POOL_RECONCILED, PREDECESSOR_ENDED, STORE_UNREADABLE};

use super::{
    contact::{CLOCK_DRIFT_PERCENT, LEASE_TIME},
    state::JobState,
    JobScheduler,
};
use crate::{
    colocation::ColocationModel,
    formats::describe_value,
    ids::{ExecutorName, JobId, MonotonicTime, TaskIndex},
    keys::parse_job_id,
    ownership::MAX_STORE_SILENCE,
    progress::JobProgress,
    roster::ExecutorRoster,
    store::{decode_value, StoreItem},
};

/// Maximum number of executor names in a log entry.
const MAX_NAMED: usize = 5;
/// Safety margin added to the latest time at which a run of an earlier owner can end.
const RECONCILE_MARGIN: Duration = Duration::from_millis(300);

impl JobScheduler {
    pub(super) fn on_loaded(&mut self, items: Vec<StoreItem>) {
        if self.loaded {
            return;
        }
        self.loaded = true;
        let keys = self.keys.clone();
        let mut progress: HashMap<JobId, JobProgress> = HashMap::new();
        let mut unreadable: HashSet<JobId> = HashSet::new();
        let mut roster = ExecutorRoster::default();
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
                    Some(model) => self.colocation = model.with_time(self.now),
                    None => {
                        self.journal.colocation_at = MonotonicTime::MAX;
                        self.log_unreadable(&item.key, &item.value);
                    }
                }
            } else if item.key == keys.sequence {
                self.journal.sequence_revision = item.revision;
            }
        }
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

    /// Returns whether no earlier owner can have a run of a ready task that is not known here.
    pub(super) fn may_start(&self, job: &JobState, task: TaskIndex) -> bool {
        job.fresh || self.is_reconciled() || self.are_runs_known(job, task)
    }

    /// Returns whether a task has no other run than the one that its executor reported. A restarted
    /// executor replies to earlier owners again, so it must have stayed in contact until they could
    /// send no more orders.
    fn are_runs_known(&self, job: &JobState, task: TaskIndex) -> bool {
        let Some((key, since)) = job.tasks[task as usize].reported_by else { return false };
        let in_contact = self.executors.get(key).is_some_and(|executor| {
            executor.hold.failures == 0 && executor.in_contact_since == since
        });
        in_contact && self.now >= self.earlier_orders_until() + RECONCILE_MARGIN
    }

    /// Returns the time after which earlier owners send no orders. The previous one sends none after
    /// it has confirmed that it stopped, and none later than [`MAX_STORE_SILENCE`] after this
    /// ownership began.
    fn earlier_orders_until(&self) -> MonotonicTime {
        self.predecessor_stopped_at.unwrap_or(self.started_at + MAX_STORE_SILENCE)
    }

    fn log_unreadable(&mut self, key: &str, value: &[u8]) {
        self.log(STORE_UNREADABLE, None, format!("key={key} {}", describe_value(value)));
    }

    pub(super) fn mark_reconciled(&mut self, name: &ExecutorName) {
        if self.unreconciled.remove(name) && self.unreconciled.is_empty() {
            self.log_reconciled("every executor has answered");
        }
    }

    pub(super) fn on_predecessor_stopped(&mut self, stopped: Duration) {
        let stopped_at = self.now.saturating_sub(stopped);
        self.predecessor_stopped_at.get_or_insert(stopped_at);
        let stopped_ms = stopped.as_millis();
        self.log(PREDECESSOR_ENDED, None, format!("epoch={} stopped_ms={stopped_ms}", self.epoch));
    }

    /// Stops waiting for unreachable executors once all leases granted by earlier owners must have
    /// expired. No lease is longer than [`LEASE_TIME`]. If the roster cannot be read, any executor may
    /// have such a lease.
    pub(super) fn reconcile_by_timeout(&mut self) {
        if self.is_reconciled() {
            return;
        }
        let slowest_lease =
            LEASE_TIME.min(self.bounds.max_lease) * 100 / (100 - CLOCK_DRIFT_PERCENT);
        let leases_until = self.earlier_orders_until() + slowest_lease + self.bounds.stop_timeout;
        if self.now >= leases_until + RECONCILE_MARGIN {
            self.roster_unreadable = false;
            let missing: Vec<ExecutorName> = self.unreconciled.drain().collect();
            let named = missing.iter().take(MAX_NAMED).cloned().collect::<Vec<_>>().join(",");
            let reason = format!(
                "leases of earlier owners have expired missing={} executors={named}",
                missing.len()
            );
            self.log_reconciled(&reason);
        }
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
