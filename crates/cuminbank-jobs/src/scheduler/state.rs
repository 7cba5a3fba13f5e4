//! State of jobs, executors and runs.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use slotmap::new_key_type;

use crate::{
    colocation::{ImageId, SlackLoss},
    ids::{
        BirthMillis, ExecutorMillis, ExecutorName, JobId, MonotonicTime, OrderId, RunNumber,
        ServiceName, TaskIndex, WallTime,
    },
    job::{JobOutcome, JobRecord, TaskLayout, TaskNeeds},
    placement::ExecutorRecord,
    progress::TaskProgress,
    slack::{SlackEstimate, ViolationTimer},
};

new_key_type! {
    /// Key of a job.
    pub struct JobKey;
    /// Key of an executor.
    pub struct ExecutorKey;
    /// Key of a run.
    pub struct RunKey;
}

/// Phase of a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum TaskPhase {
    /// Earlier steps are not done, or the occurrence is not due.
    #[default]
    Blocked,
    /// Waits for an executor.
    Ready,
    /// Has a run.
    Active,
    /// Has its result.
    Done,
}

/// A task.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskState {
    pub(super) phase: TaskPhase,
    /// Runs that ended without a result.
    pub(super) failed_runs: Vec<RunNumber>,
    /// Highest run known.
    pub(super) last_run: RunNumber,
    pub(super) checkpoint: Option<String>,
    pub(super) runs: Vec<RunKey>,
    /// Executors on which it failed.
    pub(super) failed_on: Vec<ExecutorName>,
    pub(super) ready_since: MonotonicTime,
}

impl TaskState {
    /// Returns what is durable of the task, if there is anything.
    pub(super) fn progress(&self, task: TaskIndex) -> Option<TaskProgress> {
        let done = self.phase == TaskPhase::Done;
        if !done && self.failed_runs.is_empty() && self.checkpoint.is_none() {
            return None;
        }
        Some(TaskProgress {
            task,
            done,
            failed_runs: self.failed_runs.clone(),
            run: self.last_run,
            checkpoint: self.checkpoint.clone().filter(|_| !done),
        })
    }
}

/// A job.
#[derive(Clone, Debug)]
pub(super) struct JobState {
    pub(super) id: JobId,
    pub(super) record: JobRecord,
    pub(super) layout: TaskLayout,
    /// Longest chain of estimated work from each step on, in milliseconds.
    pub(super) chains: Vec<u64>,
    /// What the tasks of each step run.
    pub(super) images: Vec<ImageId>,
    /// Whether the job was accepted in this tenure, so that it has no earlier runs.
    pub(super) fresh: bool,
    pub(super) arrived: MonotonicTime,
    pub(super) deadline: MonotonicTime,
    pub(super) tasks: Vec<TaskState>,
    /// Tasks that are not done, by occurrence and step.
    pub(super) open_tasks: Vec<u32>,
    /// Occurrences whose steps have been opened.
    pub(super) opened: u32,
    pub(super) ready: BTreeSet<TaskIndex>,
    pub(super) outcome: Option<JobOutcome>,
    /// Outcome that the store has.
    pub(super) recorded_outcome: Option<JobOutcome>,
    /// Whether any task has started.
    pub(super) started: bool,
    /// Slack of its serving tasks without filling tasks beside them.
    pub(super) slack: SlackEstimate,
    /// Earliest time of the next log line about a task that waits.
    pub(super) next_wait_log: MonotonicTime,
}

impl JobState {
    pub(super) fn open_slot(&self, occurrence: u32, step: usize) -> usize {
        occurrence as usize * self.record.steps.len() + step
    }

    /// Tells whether its tasks run until it is cancelled.
    pub(super) fn is_lasting(&self) -> bool {
        self.record.is_long_running()
    }

    /// Returns the first and the last index after those of a step.
    pub(super) fn step_range(&self, occurrence: u32, step: usize) -> std::ops::Range<TaskIndex> {
        let first = self.layout.first(occurrence, step);
        first..first + self.record.steps[step].count
    }
}

impl ExecutorState {
    /// Returns the part of the executor that a processor share is.
    pub(super) fn share_of(&self, cpu_millis: u32) -> f64 {
        f64::from(cpu_millis) / f64::from(self.capacity.cpu_millis.max(1))
    }

    /// Takes the room of a run.
    pub(super) fn take_room(&mut self, run: &RunState) {
        let needs = run.reserved_needs();
        self.reserved.cpu_millis += needs.cpu_millis;
        self.reserved.memory_mb += needs.memory_mb;
        self.reserved.gpus += needs.gpus;
        if run.fills {
            self.filling += 1;
            self.filling_cpu += run.needs.cpu_millis;
            add_to(&mut self.filling_images, run.image, run.needs.cpu_millis);
        }
        if run.serves {
            self.serving += 1;
            self.serving_cpu += needs.cpu_millis;
            add_to(&mut self.serving_images, run.image, 1);
        }
    }

    /// Frees the room of a run.
    pub(super) fn free_room(&mut self, run: &RunState) {
        let needs = run.reserved_needs();
        self.reserved.cpu_millis -= needs.cpu_millis;
        self.reserved.memory_mb -= needs.memory_mb;
        self.reserved.gpus -= needs.gpus;
        if run.fills {
            self.filling -= 1;
            self.filling_cpu -= run.needs.cpu_millis;
            take_from(&mut self.filling_images, run.image, run.needs.cpu_millis);
        }
        if run.serves {
            self.serving -= 1;
            self.serving_cpu -= needs.cpu_millis;
            take_from(&mut self.serving_images, run.image, 1);
        }
    }
}

fn add_to(rows: &mut Vec<(ImageId, u32)>, image: ImageId, amount: u32) {
    match rows.iter_mut().find(|(known, _)| *known == image) {
        Some((_, sum)) => *sum += amount,
        None => rows.push((image, amount)),
    }
}

fn take_from(rows: &mut Vec<(ImageId, u32)>, image: ImageId, amount: u32) {
    if let Some((_, sum)) = rows.iter_mut().find(|(known, _)| *known == image) {
        *sum -= amount;
    }
    rows.retain(|(_, sum)| *sum > 0);
}

/// Loss of slack that filling tasks cause to a serving image on an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct VictimLoss {
    pub(super) victim: ImageId,
    /// What is clearly due to them.
    pub(super) distinct: SlackLoss,
    /// The same with faint losses.
    pub(super) whole: SlackLoss,
}

/// Slack of a serving image on an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SlackReading {
    pub(super) victim: ImageId,
    pub(super) slack: f64,
    pub(super) at: MonotonicTime,
}

/// Filling task that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct DepartedTask {
    pub(super) image: ImageId,
    pub(super) cpu_millis: u32,
    pub(super) since: MonotonicTime,
    pub(super) at: MonotonicTime,
}

/// Exchange by which the owner keeps in contact with an executor.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct HoldState {
    /// Order in flight.
    pub(super) order: Option<OrderId>,
    /// Stamp at which it was sent.
    pub(super) sent_stamp: u64,
    /// Earliest time of the next one.
    pub(super) next_at: MonotonicTime,
    /// Failures since the last answer.
    pub(super) failures: u32,
}

/// Reading of an executor's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ClockSample {
    pub(super) value: ExecutorMillis,
    pub(super) at: MonotonicTime,
}

/// An executor.
#[derive(Clone, Debug)]
pub(super) struct ExecutorState {
    pub(super) name: ExecutorName,
    pub(super) service: ServiceName,
    pub(super) address: SocketAddr,
    pub(super) born: Option<BirthMillis>,
    pub(super) capacity: TaskNeeds,
    pub(super) labels: Vec<String>,
    pub(super) draining: bool,
    pub(super) drain_ends: Option<MonotonicTime>,
    /// Since when the list does not name it.
    pub(super) absent_since: Option<MonotonicTime>,
    /// Whether the durable roster names it.
    pub(super) enrolled: bool,
    /// Whether it has answered under this epoch.
    pub(super) contacted: bool,
    pub(super) clock: Option<ClockSample>,
    /// Time after which all leases granted so far have surely ended.
    pub(super) lease_ends: MonotonicTime,
    pub(super) hold: HoldState,
    /// Highest end taken in.
    pub(super) seen_end: u64,
    /// Highest end that may be forgotten.
    pub(super) acknowledged: u64,
    pub(super) runs: Vec<RunKey>,
    pub(super) reserved: TaskNeeds,
    /// Part of the reserved processor share that serving tasks hold.
    pub(super) serving_cpu: u32,
    pub(super) filling_cpu: u32,
    pub(super) filling: u32,
    pub(super) serving: u32,
    pub(super) full_until: MonotonicTime,
    pub(super) record: ExecutorRecord,
    pub(super) rank: u32,
    /// For how long a serving task has been over its bound.
    pub(super) violation_timer: ViolationTimer,
    /// What serves here, with the number of tasks.
    pub(super) serving_images: Vec<(ImageId, u32)>,
    /// What fills here, with the processor share that it wants in thousandths of a core.
    pub(super) filling_images: Vec<(ImageId, u32)>,
    /// Loss of slack that the filling tasks cause to each serving image.
    pub(super) losses: Vec<VictimLoss>,
    /// Undisturbed slack that each serving image had last, at the worst of its tasks.
    pub(super) slacks: Vec<SlackReading>,
    /// Filling tasks that have ended of late, which the reported tails still show.
    pub(super) departed: Vec<DepartedTask>,
    /// No filling task is placed here until then.
    pub(super) no_filling_until: MonotonicTime,
}

/// Phase of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunPhase {
    /// The start has no answer yet.
    Starting,
    /// The executor has it.
    Running,
    /// A stop is wanted.
    Stopping,
}

/// A run of a task on an executor.
#[derive(Clone, Debug)]
pub(super) struct RunState {
    pub(super) job: JobKey,
    pub(super) task: TaskIndex,
    pub(super) number: RunNumber,
    pub(super) executor: ExecutorKey,
    pub(super) phase: RunPhase,
    pub(super) needs: TaskNeeds,
    pub(super) fills: bool,
    pub(super) serves: bool,
    pub(super) image: ImageId,
    /// Tail latency of a serving task that was reported last, and since when.
    pub(super) tail: Option<(u64, MonotonicTime)>,
    /// Ticket of the advice service.
    pub(super) ticket: Option<String>,
    /// When the start was answered.
    pub(super) since: MonotonicTime,
    /// Number of times that the start was sent.
    pub(super) sends: u32,
    /// Stamp at which the executor confirmed the run, or confirmed its stop.
    pub(super) confirmed: Option<u64>,
    /// Start, stop or pace in flight.
    pub(super) order: Option<OrderId>,
    /// Earliest time of the next order.
    pub(super) next_order_at: MonotonicTime,
    pub(super) stop_confirmed: bool,
    pub(super) percent: u8,
    /// When the percentage last changed.
    pub(super) moved_at: MonotonicTime,
}

impl RunState {
    /// Creates a run of a task of the job whose start was not sent yet.
    pub(super) fn new(
        (job_key, job): (JobKey, &JobState),
        task: TaskIndex,
        number: RunNumber,
        executor: ExecutorKey,
        now: MonotonicTime,
    ) -> Self {
        let (_, step_number) = job.layout.place(task);
        let step = &job.record.steps[step_number];
        Self {
            job: job_key,
            task,
            number,
            executor,
            phase: RunPhase::Starting,
            needs: countable(&step.needs),
            fills: step.fills,
            serves: step.long_running && step.tail_target_ms > 0,
            image: job.images[step_number],
            tail: None,
            ticket: None,
            since: now,
            sends: 0,
            confirmed: None,
            order: None,
            next_order_at: now,
            stop_confirmed: false,
            percent: 0,
            moved_at: now,
        }
    }

    /// Notes that the executor has the run.
    pub(super) fn confirm(&mut self, now: MonotonicTime, stamp: u64) {
        self.confirmed.get_or_insert(stamp);
        if self.phase == RunPhase::Starting {
            self.phase = RunPhase::Running;
            self.since = now;
            self.moved_at = now;
        }
    }

    /// Returns what the run reserves: all that it needs, or for a filling one no processor share.
    fn reserved_needs(&self) -> TaskNeeds {
        let cpu_millis = if self.fills { 0 } else { self.needs.cpu_millis };
        TaskNeeds { cpu_millis, ..self.needs }
    }
}

/// Returns needs that can be summed up. An executor may say that it runs what needs more than any has.
fn countable(needs: &TaskNeeds) -> TaskNeeds {
    /// More than any machine has, and little enough for the sum of hundreds of runs.
    const MOST: u32 = 1 << 22;
    TaskNeeds {
        cpu_millis: needs.cpu_millis.min(MOST),
        memory_mb: needs.memory_mb.min(MOST),
        gpus: needs.gpus.min(MOST),
    }
}

/// Converts an arrival by the wall clock to steady time; clocks of machines may differ.
pub(super) fn arrival_time(
    now: MonotonicTime,
    wall: WallTime,
    accepted_at: WallTime,
) -> MonotonicTime {
    const MOST_AGE: Duration = Duration::from_secs(300);
    now.saturating_sub(wall.saturating_sub(accepted_at).min(MOST_AGE))
}

/// Counts of the runs of a step on each executor, for anti-affinity.
pub(super) type ExecutorCounts = HashMap<ExecutorKey, u32>;
