//! What a client submits: a job of steps, and the terms of its queue.

use serde::{Deserialize, Serialize};

use crate::ids::{JobId, QueueName, ServiceName, TaskIndex, WallTime};

/// Most tasks of one job over all its occurrences.
pub const MAX_TASKS: u64 = 20_000;

/// What one task needs while it runs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskNeeds {
    /// Thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub gpus: u32,
}

impl TaskNeeds {
    /// Tells whether memory and accelerators fit beside what is reserved. Needs come from clients and may
    /// be of any size.
    pub fn fits_beside(&self, reserved: &Self, capacity: &Self) -> bool {
        let fits = |need: u32, taken: u32, whole: u32| {
            taken.checked_add(need).is_some_and(|sum| sum <= whole)
        };
        fits(self.memory_mb, reserved.memory_mb, capacity.memory_mb)
            && fits(self.gpus, reserved.gpus, capacity.gpus)
    }
}

/// A step: tasks of one shape.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobStep {
    /// Number of tasks.
    pub count: u32,
    /// Needs of each task.
    pub needs: TaskNeeds,
    /// Rough run time of a task in milliseconds.
    pub estimate_ms: u32,
    /// Steps whose tasks all have to be done first.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints.
    pub saves_checkpoints: bool,
    /// Whether the tasks only work together.
    pub gang: bool,
    /// Whether a gang is slow on more than one rack.
    pub same_rack: bool,
    /// Label that an executor must have.
    pub required_label: Option<String>,
    /// Rack near the data.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one executor; 0 means any number.
    pub max_per_executor: u32,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Name of what the tasks run.
    pub image: String,
    /// Bound of the tail latency of a serving task in milliseconds; 0 means none.
    pub tail_target_ms: u32,
    /// Whether the tasks use only capacity that other tasks leave.
    pub fills: bool,
    /// Tasks of a long-running step that may be away at a time because of planned actions.
    pub may_miss: u32,
}

/// Occurrences of a job that runs more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RepeatPlan {
    /// Number of occurrences.
    pub count: u32,
    /// When the first one is due.
    pub first_due: WallTime,
    /// Time between two occurrences.
    pub interval: WallTime,
}

/// How the service at the advice address decides which executors may run a step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceTerms {
    /// Time of a decision in milliseconds.
    pub decision_ms: u32,
    /// Further time for each executor asked about, in milliseconds.
    pub per_executor_ms: u32,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u32,
}

/// Terms of the queue at the time that a job was accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueueTerms {
    /// Name of the queue.
    pub queue: QueueName,
    /// Service whose executors run the tasks.
    pub service: ServiceName,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task is given up.
    pub max_attempts: u32,
    /// The objective in multiples of the longest chain of work.
    pub stretch: f64,
    /// Time added to the objective, in milliseconds.
    pub target_latency_ms: u32,
    /// Present if starts need a ticket.
    pub advice: Option<AdviceTerms>,
}

/// An accepted job as it is stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobRecord {
    /// Text handed to each task.
    pub payload: String,
    /// Steps in order.
    pub steps: Vec<JobStep>,
    /// Occurrences, if the job repeats.
    pub repeat: Option<RepeatPlan>,
    /// Terms of the queue.
    pub terms: QueueTerms,
    /// When the job arrived.
    pub accepted_at: WallTime,
}

/// Why a submitted job is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobError {
    /// Field at fault.
    pub field: String,
    /// What is allowed there.
    pub allowed: &'static str,
}

impl JobRecord {
    /// Checks what a type cannot express.
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

    /// Returns how many tasks one occurrence has.
    pub fn tasks_per_occurrence(&self) -> u32 {
        self.steps.iter().fold(0, |sum, step| sum.saturating_add(step.count))
    }

    /// Returns how many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// Returns when an occurrence is due, or `None` if it is due at once.
    pub fn due(&self, occurrence: u32) -> Option<WallTime> {
        let repeat = self.repeat?;
        Some(repeat.first_due + repeat.interval * occurrence)
    }

    /// Tells whether a step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns for each step the estimated work of the longest chain of steps that begins with it,
    /// in milliseconds.
    pub fn critical_paths_ms(&self) -> Vec<u64> {
        let mut chains = vec![0u64; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().rev() {
            chains[number] += u64::from(step.estimate_ms);
            let chain = chains[number];
            for earlier in &step.after {
                let longest = &mut chains[*earlier as usize];
                *longest = chain.max(*longest);
            }
        }
        chains
    }
}

/// Full name of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Place in the step, from 0.
    pub index: u32,
}

/// Full name of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepName {
    /// The job.
    pub job: JobId,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
}

/// Where the tasks of a job's steps begin.
#[derive(Clone, Debug, Default)]
pub struct TaskLayout {
    offsets: Vec<u32>,
    per_occurrence: u32,
}

impl TaskLayout {
    /// Lays out the tasks of a job.
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
    pub fn first(&self, occurrence: u32, step: usize) -> TaskIndex {
        occurrence * self.per_occurrence + self.offsets[step]
    }

    /// Returns the occurrence and the step of a task.
    pub fn place(&self, task: TaskIndex) -> (u32, usize) {
        let (occurrence, rest) = (task / self.per_occurrence, task % self.per_occurrence);
        (occurrence, self.offsets.partition_point(|offset| *offset <= rest) - 1)
    }

    /// Returns the full name of a task.
    pub fn name(&self, job: JobId, task: TaskIndex) -> TaskName {
        let (occurrence, step) = self.place(task);
        let index = task - self.first(occurrence, step);
        TaskName { job, occurrence, step: step as u32, index }
    }

    /// Returns the index of a named task, if the job has it.
    pub fn index(&self, record: &JobRecord, name: TaskName) -> Option<TaskIndex> {
        let step = record.steps.get(name.step as usize)?;
        let valid = name.occurrence < record.occurrences() && name.index < step.count;
        valid.then(|| self.first(name.occurrence, name.step as usize) + name.index)
    }
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// A client cancelled it.
    Cancelled,
}

/// What a client may know of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobPhase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// The job has ended.
    Ended(JobOutcome),
}
