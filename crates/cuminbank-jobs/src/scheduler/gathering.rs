//! Gathering of each job's tasks in one availability zone.
//!
//! Answers the load of a zone that is cut off for some seconds: jobs with tasks in several zones
//! nearly all have some in that zone and wait for them, while gathered jobs are affected in
//! proportion to the zone's share of the pool. A zone is only a preference, so that no task waits
//! for it. Long-running jobs are not gathered, since each of their tasks counts by itself.

use super::{
    state::{ExecutorState, JobKey, JobState},
    JobScheduler,
};

impl JobScheduler {
    /// Updates the zones in which jobs are gathered: those of listed executors that are not under
    /// evacuation.
    pub(super) fn update_open_zones(&mut self) {
        let open = |executor: &&ExecutorState| {
            !executor.zone.is_empty() && !executor.draining && !self.is_evacuated(executor)
        };
        let zones = self.executors.values().filter(open).map(|executor| executor.zone.clone());
        self.open_zones = zones.collect();
    }

    /// Chooses the zone of a job when it is placed for the first time. Hashing its id spreads jobs
    /// evenly, and a later owner chooses the same zone.
    pub(super) fn choose_zone(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        if job.zone.is_some() || job.is_long_running() || self.open_zones.len() < 2 {
            return;
        }
        let hash = crc32fast::hash(&job.id.to_be_bytes()) as usize;
        let zone = self.open_zones.iter().nth(hash % self.open_zones.len()).cloned();
        self.jobs[key].zone = zone;
    }
}

impl JobState {
    /// Returns whether an executor is outside the zone in which the job's tasks are gathered.
    pub(super) fn is_outside_zone(&self, executor: &ExecutorState) -> bool {
        self.zone.as_ref().is_some_and(|zone| *zone != executor.zone)
    }
}
