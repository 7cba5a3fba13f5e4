//! Answers to other instances and operators about jobs, queues and executors.

use std::time::Duration;

use serde::Serialize;

use super::{
    moves::MovePhase,
    state::{ExecutorState, TaskPhase},
    JobScheduler,
};
use crate::{
    cells::CellLoad,
    ids::{JobId, QueueName},
    job::{JobOutcome, JobPhase},
    peer::{JobDescription, OwnerAnswer, OwnerQuestion, WaitReason},
};

/// Interval at which the cell's load is computed.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// Numbers of executors by condition, which may overlap, and numbers of runs and waiting jobs of a
/// cell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ExecutorTally {
    /// Known executors.
    pub known: usize,
    /// Executors that may get new work.
    pub usable: usize,
    /// Executors that are draining.
    pub draining: usize,
    /// Executors in a zone under evacuation.
    pub evacuated: usize,
    /// Executors whose last hold failed.
    pub silent: usize,
    /// Executors that are quarantined.
    pub shunned: usize,
    /// Executors that may still run tasks of an earlier owner.
    pub unsettled: usize,
    /// Removed executors that are fenced before they get work again.
    pub departed: usize,
    /// Current runs.
    pub runs: usize,
    /// Jobs with tasks waiting for an executor.
    pub waiting_jobs: usize,
}

impl JobScheduler {
    /// Computes the load of the cell if due: the CPU reserved by runs, or requested by best-effort
    /// runs and by ready tasks, as a percentage of the capacity that may get new work.
    pub(super) fn update_load(&mut self) {
        // The load serves to choose between cells: for new jobs, and for waiting jobs that move.
        if self.cells <= 1 || self.now < self.next_load_at {
            return;
        }
        self.next_load_at = self.now + LOAD_INTERVAL;
        let usable = || self.executors.values().filter(|executor| self.is_placeable(executor));
        let capacity: u64 = usable().map(|executor| u64::from(executor.capacity.cpu_millis)).sum();
        let used: u64 = usable()
            .map(|executor| u64::from(executor.reserved.cpu_millis + executor.best_effort_cpu))
            .sum();
        let requested: u64 = self
            .waiting
            .iter()
            .filter_map(|key| self.jobs.get(*key))
            .flat_map(|job| {
                job.ready
                    .iter()
                    .map(|task| job.layout.position(*task).1)
                    .map(|step| u64::from(job.record.steps[step].needs.cpu_millis))
            })
            .sum();
        let use_percent = ((used + requested) * 100 / capacity.max(1)).min(10_000) as u32;
        let mut labels: Vec<String> =
            self.executors.values().flat_map(|executor| executor.labels.iter().cloned()).collect();
        labels.sort_unstable();
        labels.dedup();
        let mut services: Vec<_> =
            self.executors.values().map(|executor| executor.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        let executors = self.executors.len() as u32;
        self.load = CellLoad { use_percent, executors, labels, services };
    }

    /// Returns the memory that accepted jobs hold, in bytes. Returns `None` until they are loaded.
    pub fn held_bytes(&self) -> Option<u64> {
        self.loaded.then(|| self.jobs.values().map(|job| job.held_bytes).sum())
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
            OwnerQuestion::Describe { job, .. } => match self.describe(*job) {
                Some(description) => OwnerAnswer::Described(description),
                None => OwnerAnswer::Unknown,
            },
            OwnerQuestion::Load { .. } => OwnerAnswer::Load(self.load.clone()),
            OwnerQuestion::Room { .. } => self.room_answer(),
            OwnerQuestion::Pending { queue, .. } => OwnerAnswer::Pending(self.pending(queue)),
            // The daemon answers these questions itself, since it controls the ownership and knows the
            // memory of the process.
            OwnerQuestion::Yield { .. } | OwnerQuestion::Work { .. } => OwnerAnswer::NotOwner,
        }
    }

    /// Returns the phase of a job, or `None` if it is unknown. An outcome is only returned once it
    /// is recorded, since a job reported as ended must not run again after a change of owner. A job
    /// that may have moved to another cell is unknown here.
    pub fn phase(&self, id: JobId) -> Option<JobPhase> {
        if let Some((outcome, _)) = self.ended_jobs.get(&id) {
            return Some(JobPhase::Ended(*outcome));
        }
        let job = &self.jobs[*self.job_ids.get(&id)?];
        if job.move_phase == MovePhase::InFlight {
            return None;
        }
        Some(match (job.recorded_outcome, job.started) {
            (Some((outcome, _)), _) => JobPhase::Ended(outcome),
            (None, true) => JobPhase::Running,
            (None, false) if job.outcome == Some(JobOutcome::Cancelled) => JobPhase::Running,
            (None, false) => JobPhase::Queued,
        })
    }

    /// Returns a description of a job for operators, or `None` once its details are dropped.
    pub fn describe(&self, id: JobId) -> Option<JobDescription> {
        let phase = self.phase(id)?;
        let job = &self.jobs[*self.job_ids.get(&id)?];
        let count = |wanted| job.tasks.iter().filter(|task| task.phase == wanted).count() as u32;
        let runs = job.tasks.iter().flat_map(|task| &task.runs);
        let mut executors: Vec<_> =
            runs.map(|run| self.executors[self.runs[*run].executor].name.clone()).collect();
        executors.sort_unstable();
        executors.dedup();
        let usable = self.executors.values().any(|executor| {
            executor.service == job.record.terms.service && self.is_placeable(executor)
        });
        let may_start = job.ready.iter().any(|task| self.may_start(job, *task));
        let waits = match (job.ready.is_empty(), may_start, usable) {
            (true, _, _) => None,
            (false, false, _) => Some(WaitReason::EarlierRuns),
            (false, true, false) => Some(WaitReason::NoExecutor),
            (false, true, true) => Some(WaitReason::Room),
        };
        Some(JobDescription {
            phase,
            queue: job.record.terms.queue.clone(),
            age: self.now.saturating_sub(job.arrived),
            left: job.deadline.saturating_sub(self.now),
            blocked: count(TaskPhase::Blocked),
            ready: count(TaskPhase::Ready),
            active: count(TaskPhase::Active),
            done: count(TaskPhase::Done),
            executors,
            waits,
        })
    }

    /// Returns the numbers of executors by condition, of runs and of waiting jobs.
    pub fn counts(&self) -> ExecutorTally {
        let count = |matches: &dyn Fn(&ExecutorState) -> bool| {
            self.executors.values().filter(|executor| matches(executor)).count()
        };
        ExecutorTally {
            known: self.executors.len(),
            usable: count(&|executor| self.is_placeable(executor)),
            draining: count(&|executor| executor.draining),
            evacuated: count(&|executor| executor.evacuated),
            silent: count(&|executor| executor.hold.failures > 0),
            shunned: count(&|executor| executor.record.is_quarantined(self.now)),
            unsettled: self.unreconciled.len(),
            departed: self.departed_executors.len(),
            runs: self.runs.len(),
            waiting_jobs: self.waiting.len(),
        }
    }

    /// Returns the number of accepted jobs of a queue of which no task has been started.
    pub fn pending(&self, queue: &QueueName) -> u64 {
        let waiting = self.jobs.values().filter(|job| {
            job.record.terms.queue == *queue && !job.started && job.outcome.is_none()
        });
        waiting.count() as u64
    }
}
