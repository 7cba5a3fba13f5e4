//! Job model: a job as submitted by a client, with its steps, and the terms of its queue.

use serde::{Deserialize, Serialize};

use crate::ids::{JobId, QueueName, ServiceName, TaskIndex, WallTime};

/// Maximum number of tasks in a job, over all occurrences.
pub const MAX_TASKS: u64 = 20_000;

/// Resources that a task needs while it runs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskNeeds {
    /// CPU in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub gpus: u32,
}

impl TaskNeeds {
    /// Returns whether the memory and accelerators fit into the unreserved part of the capacity.
    /// CPU is not checked. Uses checked addition, because clients may request any amount.
    pub fn fits_beside(&self, reserved: &Self, capacity: &Self) -> bool {
        let fits = |need: u32, used: u32, total: u32| {
            used.checked_add(need).is_some_and(|sum| sum <= total)
        };
        fits(self.memory_mb, reserved.memory_mb, capacity.memory_mb)
            && fits(self.gpus, reserved.gpus, capacity.gpus)
    }
}

/// Step of a job: `count` tasks with the same properties.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobStep {
    /// Number of tasks.
    pub count: u32,
    /// Resources needed by each task.
    pub needs: TaskNeeds,
    /// Estimated run time of a task in milliseconds.
    pub estimate_ms: u32,
    /// Indices of earlier steps that must be complete before this one starts.
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints.
    pub saves_checkpoints: bool,
    /// Whether all tasks must run at the same time (gang scheduling).
    pub gang: bool,
    /// Whether a gang runs slowly when spread over several racks.
    pub same_rack: bool,
    /// Label that an executor must have to run the tasks.
    pub required_label: Option<String>,
    /// Rack that stores the data of the tasks. Its executors are preferred.
    pub data_rack: Option<String>,
    /// Maximum number of the step's tasks on one executor; 0 means no limit.
    pub max_per_executor: u32,
    /// Whether several runs of a task may run in parallel (speculative execution).
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Name of the image that the tasks run.
    pub image: String,
    /// Tail latency target of a latency-critical task in milliseconds; 0 means none.
    pub tail_target_ms: u32,
    /// Whether the tasks are best-effort: they use only capacity that other tasks leave idle.
    pub fills: bool,
    /// Disruption budget of a long-running step: how many of its tasks may be down at once because
    /// of planned actions.
    pub may_miss: u32,
}

impl JobStep {
    /// Returns whether its tasks reserve CPU until the job is cancelled.
    pub fn holds_cpu(&self) -> bool {
        self.long_running && !self.fills && self.needs.cpu_millis > 0
    }
}

/// Schedule of a job that runs repeatedly.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RepeatPlan {
    /// Number of occurrences.
    pub count: u32,
    /// Due time of the first occurrence.
    pub first_due: WallTime,
    /// Interval between occurrences.
    pub interval: WallTime,
}

/// Cost model of the advice service, which decides on which executors a step may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceTerms {
    /// Base time of a decision in milliseconds.
    pub decision_ms: u32,
    /// Additional time per requested executor in milliseconds.
    pub per_executor_ms: u32,
    /// Validity of a ticket in milliseconds.
    pub valid_ms: u32,
}

/// Settings of a queue at the time when it accepted a job. They apply to the job until it ends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueueTerms {
    /// Name of the queue.
    pub queue: QueueName,
    /// Service whose executors run the tasks.
    pub service: ServiceName,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task fails for good.
    pub max_attempts: u32,
    /// Multiple of the critical path's run time that the latency objective allows.
    pub stretch: f64,
    /// Constant added to the latency objective, in milliseconds.
    pub target_latency_ms: u32,
    /// Cost model of the advice service, if the queue uses it. A task may then only start with a
    /// ticket from the service.
    pub advice: Option<AdviceTerms>,
}

/// Stored record of an accepted job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobRecord {
    /// Payload passed to each task.
    pub payload: String,
    /// Steps in submission order; each may depend on earlier ones.
    pub steps: Vec<JobStep>,
    /// Schedule of a repeated job; `None` if the job runs once.
    pub repeat: Option<RepeatPlan>,
    /// Terms of the queue.
    pub terms: QueueTerms,
    /// Time at which the submission arrived.
    pub accepted_at: WallTime,
}

/// Validation error of a submitted job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobError {
    /// Path of the invalid field.
    pub field: String,
    /// Values allowed for the field.
    pub allowed: &'static str,
}

impl JobRecord {
    /// Validates the job. Returns an error for a job without steps, a step without tasks, a
    /// dependency that is not an earlier step, or more than [`MAX_TASKS`] tasks.
    pub fn check(&self) -> Result<(), JobError> {
        let error = |field: String, allowed| Err(JobError { field, allowed });
        if self.steps.is_empty() {
            return error("steps".to_owned(), "at least one step");
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return error(format!("steps[{number}].count"), "at least 1");
            }
            if step.after.iter().any(|earlier| *earlier as usize >= number) {
                return error(format!("steps[{number}].after"), "numbers of earlier steps");
            }
        }
        let tasks = u64::from(self.tasks_per_occurrence()) * u64::from(self.occurrences());
        if tasks > MAX_TASKS {
            return error("steps".to_owned(), "at most 20000 tasks");
        }
        Ok(())
    }

    /// Returns the number of tasks in one occurrence.
    pub fn tasks_per_occurrence(&self) -> u32 {
        self.steps.iter().fold(0, |sum, step| sum.saturating_add(step.count))
    }

    /// Returns the number of occurrences; 1 if the job does not repeat.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// Returns the due time of an occurrence, or `None` for a job that is due at once.
    pub fn due(&self, occurrence: u32) -> Option<WallTime> {
        let repeat = self.repeat?;
        Some(repeat.first_due.saturating_add(repeat.interval.saturating_mul(occurrence)))
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns whether any task reserves CPU until the job is cancelled.
    pub fn holds_cpu(&self) -> bool {
        self.steps.iter().any(JobStep::holds_cpu)
    }

    /// Returns the CPU that its tasks reserve until the job is cancelled, in thousandths of a core.
    pub fn held_cpu(&self) -> u64 {
        let cpu_of = |step: &JobStep| u64::from(step.count) * u64::from(step.needs.cpu_millis);
        let steps = self.steps.iter().filter(|step| step.holds_cpu());
        steps.fold(0, |sum, step| sum.saturating_add(cpu_of(step)))
    }

    /// Returns the latency objective in milliseconds: the time from its submission within which the
    /// job should complete.
    pub fn objective_ms(&self) -> u64 {
        let longest = self.critical_paths_ms().into_iter().max().unwrap_or_default();
        ((longest as f64 * self.terms.stretch.max(1.0)) as u64)
            .saturating_add(u64::from(self.terms.target_latency_ms))
    }

    /// Returns the critical path of each step in milliseconds: the estimated run time of the
    /// longest chain of dependent steps that starts with it.
    pub fn critical_paths_ms(&self) -> Vec<u64> {
        let mut paths = vec![0u64; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().rev() {
            paths[number] += u64::from(step.estimate_ms);
            let path = paths[number];
            for earlier in &step.after {
                let longest = &mut paths[*earlier as usize];
                *longest = path.max(*longest);
            }
        }
        paths
    }
}

/// Identifies a task by its position in the job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskName {
    /// Job id.
    pub job: JobId,
    /// Index of the occurrence of a repeated job; 0 if the job does not repeat.
    pub occurrence: u32,
    /// Index of the step in the job, starting at 0.
    pub step: u32,
    /// Index of the task in the step, starting at 0.
    pub index: u32,
}

/// Identifies a step of an occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepId {
    /// Job id.
    pub job: JobId,
    /// Index of the occurrence of a repeated job; 0 if the job does not repeat.
    pub occurrence: u32,
    /// Index of the step in the job, starting at 0.
    pub step: u32,
}

/// Converts between the index of a task in its job and its position, that is its occurrence, step
/// and index in the step.
#[derive(Clone, Debug, Default)]
pub struct TaskLayout {
    offsets: Vec<u32>,
    per_occurrence: u32,
}

impl TaskLayout {
    /// Computes the layout of a job.
    pub fn new(record: &JobRecord) -> Self {
        let mut offsets = Vec::with_capacity(record.steps.len());
        let mut total = 0;
        for step in &record.steps {
            offsets.push(total);
            total += step.count;
        }
        Self { offsets, per_occurrence: total }
    }

    /// Returns the index of the first task of a step.
    pub fn first_task(&self, occurrence: u32, step: usize) -> TaskIndex {
        occurrence * self.per_occurrence + self.offsets[step]
    }

    /// Returns the indices of the occurrence and of the step that a task belongs to.
    pub fn position(&self, task: TaskIndex) -> (u32, usize) {
        let (occurrence, rest) = (task / self.per_occurrence, task % self.per_occurrence);
        (occurrence, self.offsets.partition_point(|offset| *offset <= rest) - 1)
    }

    /// Returns the name of the task with an index.
    pub fn name(&self, job: JobId, task: TaskIndex) -> TaskName {
        let (occurrence, step) = self.position(task);
        let index = task - self.first_task(occurrence, step);
        TaskName { job, occurrence, step: step as u32, index }
    }

    /// Returns the index of a task, or `None` if the job has no such task.
    pub fn index(&self, record: &JobRecord, name: TaskName) -> Option<TaskIndex> {
        let step = record.steps.get(name.step as usize)?;
        let valid = name.occurrence < record.occurrences() && name.index < step.count;
        valid.then(|| self.first_task(name.occurrence, name.step as usize) + name.index)
    }
}

/// Outcome of an ended job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobOutcome {
    /// All tasks completed.
    Completed,
    /// A task failed in as many runs as its queue allows.
    Failed,
    /// A client cancelled the job.
    Cancelled,
}

/// Phase of a job as reported to clients.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobPhase {
    /// No task has started yet.
    Queued,
    /// At least one task has started, or the job was cancelled before and its outcome is not stored
    /// yet.
    Running,
    /// The job has ended.
    Ended(JobOutcome),
}
