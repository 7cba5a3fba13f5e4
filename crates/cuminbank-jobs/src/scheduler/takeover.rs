//! Start of a tenure: records, the roster, and the time until earlier runs are accounted for.

use std::{collections::HashMap, time::Duration};

use cuminbank::log::{POOL_LOADED, POOL_RECONCILED, PREDECESSOR_ENDED};

use super::{contact::LEASE_TIME, JobScheduler};
use crate::{
    colocation::ColocationModel,
    ids::{ExecutorName, JobId},
    keys::parse_job_id,
    ownership::MAX_STORE_SILENCE,
    progress::JobProgress,
    roster::ExecutorRoster,
    store::{decode_value, StoreItem},
};

/// Most executors that a log line names.
const MOST_NAMED: usize = 5;
/// Slack on top of the bounds of an earlier owner's orders.
const SETTLE_SLACK: Duration = Duration::from_millis(300);

impl JobScheduler {
    pub(super) fn on_loaded(&mut self, items: Vec<StoreItem>) {
        if self.loaded {
            return;
        }
        self.loaded = true;
        let keys = self.keys.clone();
        let mut progress: HashMap<JobId, JobProgress> = HashMap::new();
        let mut roster = ExecutorRoster::default();
        for item in &items {
            if let Some(job) = parse_job_id(&item.key, &keys.progress_prefix) {
                // A record that cannot be read is treated as missing: its tasks run again.
                match decode_value(&item.value) {
                    Some(record) => {
                        progress.insert(job, record);
                    }
                    None => self.log(
                        cuminbank::log::JOB_UNREADABLE,
                        Some(job),
                        format!("key={} bytes={}", item.key, item.value.len()),
                    ),
                }
            } else if item.key == keys.roster {
                roster = decode_value(&item.value).unwrap_or_default();
            } else if item.key == keys.colocation {
                if let Some(model) = decode_value::<ColocationModel>(&item.value) {
                    self.colocation = model.with_time(self.now);
                }
            } else if item.key == keys.sequence {
                self.journal.sequence_revision = item.revision;
            }
        }
        for entry in roster.executors {
            if self.guards.reconciles_first {
                self.unsettled.insert(entry.name.clone());
            }
            let key = self.add_executor(entry);
            self.executors[key].enrolled = true;
        }
        for (job, record) in &progress {
            if let Some(outcome) = record.outcome {
                self.ended_jobs.insert(*job, (outcome, record.ended_at.unwrap_or(self.wall)));
            }
        }
        for item in &items {
            if item.key.starts_with(&keys.job_prefix) {
                let known = parse_job_id(&item.key, &keys.job_prefix);
                let known = known.and_then(|job| progress.remove(&job));
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
            self.unsettled.len(),
            items.len()
        );
        self.log(POOL_LOADED, None, detail);
        self.drive_contacts();
    }

    /// Tells whether every run of an earlier owner is accounted for.
    pub(super) fn is_settled(&self) -> bool {
        self.unsettled.is_empty()
    }

    pub(super) fn settle_executor(&mut self, name: &ExecutorName) {
        if self.unsettled.remove(name) && self.unsettled.is_empty() {
            self.log_settled("every executor has answered");
        }
    }

    pub(super) fn on_predecessor_ended(&mut self, stopped: Duration) {
        let ended = self.now.saturating_sub(stopped);
        self.predecessor_ended.get_or_insert(ended);
        let stopped_ms = stopped.as_millis();
        self.log(PREDECESSOR_ENDED, None, format!("epoch={} stopped_ms={stopped_ms}", self.epoch));
    }

    /// Ends the wait for executors out of reach. The earlier owner gives no orders once it has said
    /// so, or [`MAX_STORE_SILENCE`] after this tenure began, and no lease is longer than the longest.
    pub(super) fn settle_by_time(&mut self) {
        if self.unsettled.is_empty() {
            return;
        }
        let slowest_lease = LEASE_TIME.min(self.bounds.max_lease) * 100 / 98;
        let last_order = self.predecessor_ended.unwrap_or(self.started_at + MAX_STORE_SILENCE);
        if self.now >= last_order + slowest_lease + self.bounds.stop_timeout + SETTLE_SLACK {
            let missing: Vec<ExecutorName> = self.unsettled.drain().collect();
            let named = missing.iter().take(MOST_NAMED).cloned().collect::<Vec<_>>().join(",");
            let reason =
                format!("earlier leases have ended missing={} executors={named}", missing.len());
            self.log_settled(&reason);
        }
    }

    fn log_settled(&mut self, reason: &str) {
        let waited = self.now.saturating_sub(self.started_at).as_millis();
        self.placing_wanted = true;
        self.log(
            POOL_RECONCILED,
            None,
            format!("epoch={} waited_ms={waited} reason={reason}", self.epoch),
        );
    }
}
