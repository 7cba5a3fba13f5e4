//! State of jobs, tasks, runs and executors.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use slotmap::new_key_type;

use super::moves::MovePhase;
use crate::{
    colocation::{ImageId, MinorLoss, SlackLoss},
    ids::{
        ExecutorMillis, ExecutorName, JobId, MonotonicTime, OrderId, OwnerEpoch, RunNumber,
        ServiceName, StartMillis, StoreRevision, TaskIndex, WallTime, ZoneName,
    },
    job::{JobOutcome, JobRecord, TaskLayout, TaskNeeds},
    lease_handover::GrantState,
    placement::ExecutorRecord,
    progress::TaskProgress,
    slack::{SlackEstimate, ViolationTimer},
};

new_key_type! {
    /// Key of a job in the scheduler's memory.
    pub struct JobKey;
    /// Key of an executor in the scheduler's memory.
    pub struct ExecutorKey;
    /// Key of a run in the scheduler's memory.
    pub struct RunKey;
}

/// Phase of a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum TaskPhase {
    /// Waits for earlier steps or for its occurrence to become due.
    #[default]
    Blocked,
    /// Waits for an executor.
    Ready,
    /// Has at least one run.
    Active,
    /// Has a result.
    Done,
}

/// State of one task of a job.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskState {
    pub(super) phase: TaskPhase,
    /// Numbers of the runs that failed.
    pub(super) failed_runs: Vec<RunNumber>,
    /// Highest run number seen.
    pub(super) last_run: RunNumber,
    pub(super) checkpoint: Option<String>,
    pub(super) runs: Vec<RunKey>,
    /// Names of the executors on which it failed.
    pub(super) failed_on: Vec<ExecutorName>,
    pub(super) ready_since: MonotonicTime,
    /// Executor that reported its run after all its replies to earlier owners, and the time since
    /// which it has been in contact.
    pub(super) reported_by: Option<(ExecutorKey, MonotonicTime)>,
}

impl TaskState {
    /// Returns the progress to store, or `None` if there is nothing to store.
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

/// Memory of the state of a task, with its entries in the set of ready tasks and in its lists.
pub(crate) const TASK_STATE_BYTES: usize = size_of::<TaskState>() + 32;
/// Memory of the state of a job without its steps and tasks, with its entries in the tables of jobs.
pub(crate) const JOB_STATE_BYTES: usize = size_of::<JobState>() + 128;

/// State of a job with its tasks.
#[derive(Clone, Debug)]
pub(super) struct JobState {
    pub(super) id: JobId,
    pub(super) record: JobRecord,
    /// Memory that the job takes, in bytes.
    pub(super) held_bytes: u64,
    pub(super) layout: TaskLayout,
    /// Estimated length of the critical path from each step to the end, in milliseconds.
    pub(super) critical_paths_ms: Vec<u64>,
    /// Image of each step. Tasks with the same image are assumed to cause the same interference.
    pub(super) images: Vec<ImageId>,
    /// Whether the job was accepted during this ownership, so that no earlier owner started runs.
    pub(super) fresh: bool,
    /// Revision at which its record was created in this cell.
    pub(super) record_revision: StoreRevision,
    /// Whether it can move to another cell.
    pub(super) move_phase: MovePhase,
    /// Zone in which its tasks are gathered, once chosen.
    pub(super) zone: Option<ZoneName>,
    pub(super) arrived: MonotonicTime,
    pub(super) deadline: MonotonicTime,
    pub(super) tasks: Vec<TaskState>,
    /// Number of unfinished tasks, indexed by [`Self::open_tasks_index`].
    pub(super) open_tasks: Vec<u32>,
    /// Number of occurrences that have become due.
    pub(super) opened_occurrences: u32,
    pub(super) ready: BTreeSet<TaskIndex>,
    pub(super) outcome: Option<JobOutcome>,
    /// Outcome confirmed by the store, with the time stored as the end of the job.
    pub(super) recorded_outcome: Option<(JobOutcome, WallTime)>,
    /// Whether an executor has confirmed a run of any of its tasks.
    pub(super) started: bool,
    /// Estimated slack of its latency-critical tasks without best-effort neighbours. Slack is the
    /// latency target divided by the tail latency; below 1 the target is missed.
    pub(super) slack: SlackEstimate,
    /// Earliest time of the next log entry about a waiting task.
    pub(super) next_wait_log: MonotonicTime,
    /// When executors were last searched for one of its tasks.
    pub(super) searched_at: Option<MonotonicTime>,
    /// When room may next be searched that could be reserved for its tasks.
    pub(super) next_room_search: MonotonicTime,
    /// When a pass last left one of its tasks out without a search, and the job whose failed search
    /// was taken for its own.
    pub(super) skipped: Option<(MonotonicTime, JobId)>,
}

impl JobState {
    pub(super) fn open_tasks_index(&self, occurrence: u32, step: usize) -> usize {
        occurrence as usize * self.record.steps.len() + step
    }

    /// Returns whether its tasks run until the job is cancelled.
    pub(super) fn is_long_running(&self) -> bool {
        self.record.is_long_running()
    }

    /// Returns the task indices of a step in an occurrence.
    pub(super) fn step_range(&self, occurrence: u32, step: usize) -> std::ops::Range<TaskIndex> {
        let first = self.layout.first_task(occurrence, step);
        first..first + self.record.steps[step].count
    }
}

impl ExecutorState {
    /// Returns a CPU amount in thousandths of a core as a fraction of the executor's CPU capacity.
    pub(super) fn share_of(&self, cpu_millis: u32) -> f64 {
        f64::from(cpu_millis) / f64::from(self.capacity.cpu_millis.max(1))
    }

    /// Returns whether leases may be granted, as far as the store and earlier orders allow it.
    pub(super) fn may_get_leases(&self) -> bool {
        !self.grants_paused && self.unfenced_epoch.is_none()
    }

    /// Returns whether a later incarnation may carry out orders of an epoch, or of a higher one.
    pub(super) fn may_carry_out(&self, epoch: OwnerEpoch) -> bool {
        self.ordered_epoch.max(self.unfenced_epoch) >= Some(epoch)
    }

    /// Returns the highest number of an ended run that may be acknowledged once it is recorded.
    pub(super) fn recordable_end(&self) -> u64 {
        let limit = self.unreadable_end.map_or(u64::MAX, |number| number.saturating_sub(1));
        self.last_end_number.min(limit)
    }

    /// Reserves the resources of a run.
    pub(super) fn reserve(&mut self, run: &RunState) {
        let needs = run.reserved_needs();
        self.reserved.cpu_millis += needs.cpu_millis;
        self.reserved.memory_mb += needs.memory_mb;
        self.reserved.gpus += needs.gpus;
        if run.long_running {
            self.long_running_cpu += needs.cpu_millis;
        }
        if run.best_effort {
            self.best_effort_tasks += 1;
            self.best_effort_cpu += run.needs.cpu_millis;
            add_amount(&mut self.best_effort_images, run.image, run.needs.cpu_millis);
        }
        if run.latency_critical {
            self.latency_critical_tasks += 1;
            self.latency_critical_cpu += needs.cpu_millis;
            add_amount(&mut self.latency_critical_images, run.image, 1);
        }
    }

    /// Releases the resources of a run.
    pub(super) fn release(&mut self, run: &RunState) {
        let needs = run.reserved_needs();
        self.reserved.cpu_millis -= needs.cpu_millis;
        self.reserved.memory_mb -= needs.memory_mb;
        self.reserved.gpus -= needs.gpus;
        if run.long_running {
            self.long_running_cpu -= needs.cpu_millis;
        }
        if run.best_effort {
            self.best_effort_tasks -= 1;
            self.best_effort_cpu -= run.needs.cpu_millis;
            subtract_amount(&mut self.best_effort_images, run.image, run.needs.cpu_millis);
        }
        if run.latency_critical {
            self.latency_critical_tasks -= 1;
            self.latency_critical_cpu -= needs.cpu_millis;
            subtract_amount(&mut self.latency_critical_images, run.image, 1);
        }
    }
}

fn add_amount(amounts: &mut Vec<(ImageId, u32)>, image: ImageId, amount: u32) {
    match amounts.iter_mut().find(|(known, _)| *known == image) {
        Some((_, sum)) => *sum += amount,
        None => amounts.push((image, amount)),
    }
}

fn subtract_amount(amounts: &mut Vec<(ImageId, u32)>, image: ImageId, amount: u32) {
    if let Some((_, sum)) = amounts.iter_mut().find(|(known, _)| *known == image) {
        *sum -= amount;
    }
    amounts.retain(|(_, sum)| *sum > 0);
}

/// Loss of slack that all best-effort tasks of an executor cause to a latency-critical image.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct VictimLoss {
    pub(super) victim: ImageId,
    /// Loss with minor losses reduced (see [`crate::colocation::MinorLoss`]).
    pub(super) significant: SlackLoss,
    /// Loss with minor losses counted in full.
    pub(super) total: SlackLoss,
}

impl VictimLoss {
    /// Returns the loss, with minor losses as `minor_loss` tells.
    pub(super) fn with(&self, minor_loss: MinorLoss) -> SlackLoss {
        match minor_loss {
            MinorLoss::Counted => self.total,
            MinorLoss::Ignored => self.significant,
        }
    }
}

/// Slack that a latency-critical image would have on an executor without best-effort tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SlackReading {
    pub(super) victim: ImageId,
    pub(super) slack: f64,
    pub(super) at: MonotonicTime,
}

/// Best-effort run that ended recently. It ran from `since` to `at`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EndedTask {
    pub(super) image: ImageId,
    pub(super) cpu_millis: u32,
    pub(super) since: MonotonicTime,
    pub(super) at: MonotonicTime,
}

/// State of the hold exchange, the long poll that renews an executor's lease and returns its
/// reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct HoldState {
    /// Hold in flight.
    pub(super) order: Option<OrderId>,
    /// When the last hold was sent.
    pub(super) sent_at: MonotonicTime,
    /// Logical time at which the last hold was sent.
    pub(super) sent_logical_time: u64,
    /// Earliest time of the next hold.
    pub(super) next_at: MonotonicTime,
    /// Number of failed holds since the last reply.
    pub(super) failures: u32,
    /// Epoch of the last hold.
    pub(super) epoch: OwnerEpoch,
}

/// Value of an executor's clock, and the time on this instance's clock at which it was received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ClockSample {
    pub(super) value: ExecutorMillis,
    pub(super) at: MonotonicTime,
}

/// State of an executor.
#[derive(Clone, Debug)]
pub(super) struct ExecutorState {
    pub(super) name: ExecutorName,
    pub(super) service: ServiceName,
    pub(super) address: SocketAddr,
    pub(super) started_at: Option<StartMillis>,
    pub(super) capacity: TaskNeeds,
    pub(super) labels: Vec<String>,
    pub(super) zone: ZoneName,
    /// Whether its zone is under evacuation.
    pub(super) evacuated: bool,
    pub(super) draining: bool,
    pub(super) leaves_at: Option<MonotonicTime>,
    /// Time since which the platform's list of executors has not contained it.
    pub(super) absent_since: Option<MonotonicTime>,
    /// Whether the stored roster contains it. Otherwise it gets no work.
    pub(super) in_roster: bool,
    /// Whether it has replied during this ownership.
    pub(super) contacted: bool,
    /// Time since which it has replied to each hold.
    pub(super) in_contact_since: MonotonicTime,
    /// When the last hold was sent that it has accepted.
    pub(super) accepted_at: MonotonicTime,
    pub(super) clock: Option<ClockSample>,
    /// Time on this instance's clock by which every lease granted to it has expired.
    pub(super) lease_expires_at: MonotonicTime,
    /// Epoch of the last order to it that may affect a later incarnation.
    pub(super) ordered_epoch: Option<OwnerEpoch>,
    /// Epoch of orders for its earlier incarnations, which this one may carry out until it has replied
    /// to a hold of a higher epoch. It gets no work and no leases until then.
    pub(super) unfenced_epoch: Option<OwnerEpoch>,
    /// Time by which all leases in orders for its earlier incarnations have expired.
    pub(super) earlier_orders_expire_at: MonotonicTime,
    /// What the handover that was sent last tells of it.
    pub(super) handed_over: Option<GrantState>,
    /// Whether no lease may be granted, since the store may tell the next owner so.
    pub(super) grants_paused: bool,
    pub(super) hold: HoldState,
    /// Highest [`EndReport::number`](crate::order::EndReport::number) that has been processed.
    pub(super) last_end_number: u64,
    /// Highest [`EndReport::number`](crate::order::EndReport::number) that is recorded in the
    /// store, so that the executor may delete the reports up to it.
    pub(super) acknowledged: u64,
    /// Lowest number of an ended run whose job cannot be read. It must not be acknowledged.
    pub(super) unreadable_end: Option<u64>,
    pub(super) runs: Vec<RunKey>,
    pub(super) reserved: TaskNeeds,
    /// CPU reserved by latency-critical tasks, in thousandths of a core.
    pub(super) latency_critical_cpu: u32,
    /// CPU reserved by long-running tasks, in thousandths of a core.
    pub(super) long_running_cpu: u32,
    /// CPU requested by best-effort tasks, in thousandths of a core.
    pub(super) best_effort_cpu: u32,
    /// Number of best-effort tasks.
    pub(super) best_effort_tasks: u32,
    /// Number of latency-critical tasks.
    pub(super) latency_critical_tasks: u32,
    pub(super) no_starts_until: MonotonicTime,
    pub(super) record: ExecutorRecord,
    /// Number of executors that were known when it was added, used as a tie-breaker.
    pub(super) rank: u32,
    /// How long a latency-critical task here has missed its target.
    pub(super) violation_timer: ViolationTimer,
    /// Images of its latency-critical tasks, each with the number of tasks.
    pub(super) latency_critical_images: Vec<(ImageId, u32)>,
    /// Images of its best-effort tasks, each with the requested CPU in thousandths of a core.
    pub(super) best_effort_images: Vec<(ImageId, u32)>,
    /// Loss of slack that the best-effort tasks cause to each latency-critical image.
    pub(super) losses: Vec<VictimLoss>,
    /// Last slack that each latency-critical image would have had without best-effort tasks. If
    /// several jobs have the image, the lowest slack of them.
    pub(super) slacks: Vec<SlackReading>,
    /// Best-effort runs that ended within the window of the reported tail latencies.
    pub(super) recently_ended: Vec<EndedTask>,
    /// Time until which no best-effort task may start here.
    pub(super) no_best_effort_until: MonotonicTime,
}

/// Phase of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunPhase {
    /// The executor has not confirmed the start yet.
    Starting,
    /// The executor has confirmed the run.
    Running,
    /// The run is being stopped.
    Stopping,
}

/// State of a run of a task on an executor.
#[derive(Clone, Debug)]
pub(super) struct RunState {
    pub(super) job: JobKey,
    pub(super) task: TaskIndex,
    pub(super) number: RunNumber,
    pub(super) executor: ExecutorKey,
    pub(super) phase: RunPhase,
    pub(super) needs: TaskNeeds,
    pub(super) best_effort: bool,
    pub(super) latency_critical: bool,
    pub(super) long_running: bool,
    pub(super) image: ImageId,
    /// Expected run time, unless it is long-running.
    pub(super) expected: Duration,
    /// Last reported tail latency in milliseconds, and when it was received.
    pub(super) tail: Option<(u64, MonotonicTime)>,
    /// Ticket from the advice service, sent with the start.
    pub(super) ticket: Option<String>,
    /// When the run was confirmed; until then, when it was created.
    pub(super) since: MonotonicTime,
    /// Number of times the start was sent.
    pub(super) sends: u32,
    /// Number of times the start was sent without a reply.
    pub(super) lost_sends: u32,
    /// Logical time at which the executor first confirmed the run or its stop.
    pub(super) confirmed: Option<u64>,
    /// Whether the executor has reported it as running.
    pub(super) reported: bool,
    /// Start or stop in flight.
    pub(super) order: Option<OrderId>,
    /// Earliest time to resend a start or a stop.
    pub(super) next_order_at: MonotonicTime,
    pub(super) stop_confirmed: bool,
    pub(super) percent: u8,
    /// When the reported percentage last changed.
    pub(super) progressed_at: MonotonicTime,
}

impl RunState {
    /// Creates a run whose start has not been sent yet.
    pub(super) fn new(
        (job_key, job): (JobKey, &JobState),
        task: TaskIndex,
        number: RunNumber,
        executor: ExecutorKey,
        now: MonotonicTime,
    ) -> Self {
        let (_, step_number) = job.layout.position(task);
        let step = &job.record.steps[step_number];
        Self {
            job: job_key,
            task,
            number,
            executor,
            phase: RunPhase::Starting,
            needs: clamp_needs(&step.needs),
            best_effort: step.fills,
            latency_critical: step.long_running && step.tail_target_ms > 0,
            long_running: step.long_running,
            image: job.images[step_number],
            expected: Duration::from_millis(u64::from(step.estimate_ms)),
            tail: None,
            ticket: None,
            since: now,
            sends: 0,
            lost_sends: 0,
            confirmed: None,
            reported: false,
            order: None,
            next_order_at: now,
            stop_confirmed: false,
            percent: 0,
            progressed_at: now,
        }
    }

    /// Returns whether a copy of its start may still be carried out.
    pub(super) fn may_start_late(&self) -> bool {
        self.lost_sends > 0 || (self.phase == RunPhase::Starting && self.order.is_some())
    }

    /// Records that the executor has confirmed the run.
    pub(super) fn confirm(&mut self, now: MonotonicTime, logical_time: u64) {
        self.confirmed.get_or_insert(logical_time);
        if self.phase == RunPhase::Starting {
            self.phase = RunPhase::Running;
            self.since = now;
            self.progressed_at = now;
        }
    }

    /// Returns the resources to reserve. Best-effort runs reserve no CPU.
    pub(super) fn reserved_needs(&self) -> TaskNeeds {
        let cpu_millis = if self.best_effort { 0 } else { self.needs.cpu_millis };
        TaskNeeds { cpu_millis, ..self.needs }
    }
}

/// Limits resource needs so that their sums do not overflow. An executor may report a run of a task
/// that needs more than any machine has.
fn clamp_needs(needs: &TaskNeeds) -> TaskNeeds {
    /// More than any machine has. The sum over hundreds of runs still fits into a `u32`.
    const MAX_AMOUNT: u32 = 1 << 22;
    TaskNeeds {
        cpu_millis: needs.cpu_millis.min(MAX_AMOUNT),
        memory_mb: needs.memory_mb.min(MAX_AMOUNT),
        gpus: needs.gpus.min(MAX_AMOUNT),
    }
}

/// Converts the time of acceptance from wall clock to monotonic time. The age is clamped to the
/// range from 0 to 300 s, since the clocks of machines may differ.
pub(super) fn arrival_time(
    now: MonotonicTime,
    wall: WallTime,
    accepted_at: WallTime,
) -> MonotonicTime {
    const MAX_AGE: Duration = Duration::from_secs(300);
    now.saturating_sub(wall.saturating_sub(accepted_at).min(MAX_AGE))
}

/// Number of runs of a step on each executor, for the step's limit of tasks per executor.
pub(super) type RunsPerExecutor = HashMap<ExecutorKey, u32>;
