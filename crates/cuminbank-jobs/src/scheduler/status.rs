//! What other instances and operators may ask the owner.

use std::time::Duration;

use super::JobScheduler;
use crate::{
    cells::CellLoad,
    ids::{JobId, QueueName},
    job::{JobOutcome, JobPhase},
    peer::{OwnerAnswer, OwnerQuestion},
};

/// Interval at which the use of the cell is worked out.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);

impl JobScheduler {
    /// Works out how much of the cell is in use or wanted.
    pub(super) fn update_load(&mut self) {
        if self.now < self.next_load_at {
            return;
        }
        self.next_load_at = self.now + LOAD_INTERVAL;
        let usable = || self.executors.values().filter(|executor| self.is_placeable(executor));
        let capacity: u64 = usable().map(|executor| u64::from(executor.capacity.cpu_millis)).sum();
        let used: u64 = usable()
            .map(|executor| u64::from(executor.reserved.cpu_millis + executor.filling_cpu))
            .sum();
        let wanted: u64 = self
            .waiting
            .iter()
            .filter_map(|key| self.jobs.get(*key))
            .flat_map(|job| {
                job.ready
                    .iter()
                    .map(|task| job.layout.place(*task).1)
                    .map(|step| u64::from(job.record.steps[step].needs.cpu_millis))
            })
            .sum();
        let use_percent = ((used + wanted) * 100 / capacity.max(1)).min(10_000) as u32;
        let mut labels: Vec<String> =
            self.executors.values().flat_map(|executor| executor.labels.iter().cloned()).collect();
        labels.sort_unstable();
        labels.dedup();
        let mut services: Vec<_> =
            self.executors.values().map(|executor| executor.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        self.load = CellLoad { use_percent, labels, services };
    }

    /// Answers a question of another instance.
    pub fn answer(&self, question: &OwnerQuestion) -> OwnerAnswer {
        if !self.loaded {
            return OwnerAnswer::NotOwner;
        }
        match question {
            OwnerQuestion::Phase { job, .. } => match self.phase(*job) {
                Some(phase) => OwnerAnswer::Phase(phase),
                None => OwnerAnswer::Unknown,
            },
            OwnerQuestion::Load { .. } => OwnerAnswer::Load(self.load.clone()),
            OwnerQuestion::Pending { queue, .. } => OwnerAnswer::Pending(self.pending(queue)),
            // Whoever carries the scheduler's effects answers this one.
            OwnerQuestion::Yield { .. } => OwnerAnswer::NotOwner,
        }
    }

    /// Returns the phase of a job. An outcome is only told once it is recorded: a job that was told
    /// to be complete must not run again after a change of owner.
    pub fn phase(&self, id: JobId) -> Option<JobPhase> {
        if let Some((outcome, _)) = self.ended_jobs.get(&id) {
            return Some(JobPhase::Ended(*outcome));
        }
        let job = &self.jobs[*self.job_ids.get(&id)?];
        Some(match (job.recorded_outcome, job.started) {
            (Some(outcome), _) => JobPhase::Ended(outcome),
            (None, true) => JobPhase::Running,
            (None, false) if job.outcome == Some(JobOutcome::Cancelled) => JobPhase::Running,
            (None, false) => JobPhase::Queued,
        })
    }

    /// Returns how many accepted jobs of a queue have not started.
    pub fn pending(&self, queue: &QueueName) -> u64 {
        let waiting = self.jobs.values().filter(|job| {
            job.record.terms.queue == *queue && !job.started && job.outcome.is_none()
        });
        waiting.count() as u64
    }
}
