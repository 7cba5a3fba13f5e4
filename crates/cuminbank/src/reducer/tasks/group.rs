//! Batch tasks of one group: the ledger with everything that follows from it.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    effect::{CallerAnswer, EntryEffect},
    event::ExchangeError,
    ids::{
        AttemptNumber, ClassName, CustomerName, ExchangeId, GroupIndex, MachineName, MonotonicTime,
        OwnerEpoch, ProfileName, ReplyId, TargetName, ZoneName,
    },
    interference::PairLearner,
    ledger::{JournalEntry, Placement, TaskId, TaskLedger, TaskState},
    membership::TargetEntry,
    message::PeerReply,
    profile::WorkProfile,
    quota::QuotaTable,
    reducer::{
        records::TaskEvent,
        step::{ReducerPart, StepContext},
    },
    store::StoreReply,
    worker::{ResourceSize, WorkerReply, WorkerRequest},
};

use super::{
    journal::{GroupJournal, StagedChanges},
    queue::StartQueue,
    refused::RefusedTickets,
    sizes::SizeLearner,
    workers::WorkerTable,
};

/// Time for which a lease of a worker is given.
pub const WORKER_LEASE: Duration = Duration::from_secs(5);
/// Time after the last byte of a renewal or start could have left by which the worker has surely
/// stopped the attempt: lease, clock drift and transit, rounded up from 6.1 s.
pub const LEASE_LAPSED: Duration = Duration::from_secs(7);
/// Longest time that bytes sent before a failure may still be under way.
pub const TRANSIT_BOUND: Duration = Duration::from_secs(1);
/// Time after an eviction for which the task is not placed on the same machine.
pub const AVOID_MACHINE: Duration = Duration::from_secs(60);

const WORKER_WINDOW: Duration = Duration::from_millis(500);
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);

/// What a group reads from the rest of the reducer in one step.
#[derive(Clone, Copy)]
pub struct GroupView<'a> {
    /// Until when the instance may act for the group.
    pub right_until: Option<MonotonicTime>,
    /// Returns a profile in force.
    pub profile: &'a dyn Fn(&str) -> Option<&'a WorkProfile>,
    /// Returns the latency-critical classes that run on a machine.
    pub classes_on: &'a dyn Fn(&str) -> Vec<(ClassName, u32)>,
    /// Tells whether a worker of the zone could ever hold a size; `None` if the list is not known.
    pub could_hold: &'a dyn Fn(&ResourceSize) -> Option<bool>,
}

/// What is learned about classes of work, shared by all groups.
#[derive(Debug, Default)]
pub struct TaskModels {
    /// Slowdowns.
    pub pairs: PairLearner,
    /// Sizes.
    pub sizes: SizeLearner,
}

/// Someone who waits for an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Where to send the answer.
    pub reply: ReplyId,
    /// Whether it is a peer that forwarded the request.
    pub peer: bool,
}

impl Waiter {
    /// Sends the answer.
    pub fn answer(self, step: &mut StepContext, answer: CallerAnswer) {
        if self.peer {
            let answer = PeerReply::Answer(answer);
            step.push(EntryEffect::AnswerPeer { reply: self.reply, answer });
        } else {
            step.answer(self.reply, answer);
        }
    }
}

/// A committed event of a task, for the day records.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskSample {
    /// Profile.
    pub profile: ProfileName,
    /// Customer.
    pub customer: CustomerName,
    /// What happened.
    pub mark: TaskEvent,
    /// Time since the acceptance.
    pub elapsed: Duration,
}

/// Phase of an attempt that is not known to have ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// The start is being committed, or is committed and not yet sent.
    Committing,
    /// The start was sent and has no answer yet.
    Starting,
    /// The worker runs the attempt.
    Running,
    /// Only a list sent at or after this time, or the lapse of the lease, tells.
    Unsure(MonotonicTime),
    /// The end is known and about to be committed.
    Ended,
}

/// Why an attempt is to be stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// It slows latency-critical work.
    Evict,
    /// Its worker is leaving.
    Leave,
    /// Its task has ended or was cancelled.
    Cancel,
}

/// An attempt that is not known to have ended.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskRun {
    /// Attempt, worker and size.
    pub placement: Placement,
    /// Class of the task.
    pub class: ClassName,
    /// Phase.
    pub phase: RunPhase,
    /// Time at which the lease has surely lapsed.
    pub lapse_at: MonotonicTime,
    /// Whether the last owner started it.
    pub inherited: bool,
    /// When the attempt was first known to run.
    pub confirmed_at: Option<MonotonicTime>,
    /// Last checkpoint that the worker reported.
    pub checkpoint: Option<String>,
    /// Share of its processors in percent.
    pub percent: u8,
    /// Whether and why the attempt is to be stopped.
    pub stop: Option<StopReason>,
    /// Whether a stop is in progress.
    pub stopping: bool,
    /// Customer and charge in the quota table.
    pub charge: (CustomerName, u64),
}

impl TaskRun {
    /// Returns the cores that the attempt is expected to use.
    pub fn cores(&self) -> f64 {
        self.placement.reserved.millicores as f64 / 1_000.0 * f64::from(self.percent) / 100.0
    }
}

/// An exchange of a group.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupExchange {
    /// Read of the ledger.
    Load,
    /// Journal write.
    Write,
    /// Read of the written key after a lost answer.
    Check,
    /// Start of an attempt.
    Start(TaskId, AttemptNumber, TargetName),
    /// Renewal of all attempts of a worker.
    Renew(TargetName, Vec<(TaskId, AttemptNumber)>),
    /// List of a worker's tasks, sent at this time.
    List(TargetName, MonotonicTime),
    /// Stop of an attempt.
    Stop(TaskId, AttemptNumber, TargetName),
    /// Throttle of an attempt; the outcome shows in the reports.
    Throttle(TargetName),
}

/// Batch tasks of one group.
#[derive(Debug)]
pub struct TaskGroup {
    pub(super) zone: ZoneName,
    pub(super) group: GroupIndex,
    pub(super) epoch: OwnerEpoch,
    pub(super) taken_at: MonotonicTime,
    /// Whether tickets of this epoch may have been accepted before the ledger was dropped.
    pub(super) reopened: bool,
    pub(super) probe_from: MonotonicTime,
    pub(super) ledger: TaskLedger,
    pub(super) journal: GroupJournal,
    pub(super) staged: StagedChanges,
    pub(super) queue: StartQueue,
    pub(super) quota: QuotaTable,
    pub(super) runs: HashMap<TaskId, TaskRun>,
    pub(super) workers: WorkerTable,
    pub(super) to_send: Vec<(TaskId, AttemptNumber)>,
    pub(super) exchanges: HashMap<ExchangeId, GroupExchange>,
    pub(super) samples: Vec<TaskSample>,
    pub(super) ended: VecDeque<(MonotonicTime, TaskId)>,
    pub(super) retired: VecDeque<(MonotonicTime, TaskId)>,
    pub(super) avoid: HashMap<TaskId, (MachineName, MonotonicTime)>,
    pub(super) refused: RefusedTickets,
    pub(super) start_wanted: bool,
    pub(super) starts_at: MonotonicTime,
    /// Task that has waited long for room, and the worker that is kept free for it.
    pub(super) room_kept: Option<(TaskId, TargetName)>,
}

impl TaskGroup {
    /// Creates the state of a group that was just taken over; the ledger is read at the next tick.
    pub fn new(
        zone: &str,
        group: GroupIndex,
        epoch: OwnerEpoch,
        taken_at: MonotonicTime,
        probe_from: MonotonicTime,
    ) -> Self {
        Self {
            zone: zone.to_owned(),
            group,
            epoch,
            taken_at,
            reopened: false,
            probe_from,
            ledger: TaskLedger::default(),
            journal: GroupJournal::default(),
            staged: StagedChanges::default(),
            queue: StartQueue::default(),
            quota: QuotaTable::default(),
            runs: HashMap::new(),
            workers: WorkerTable::default(),
            to_send: Vec::new(),
            exchanges: HashMap::new(),
            samples: Vec::new(),
            ended: VecDeque::new(),
            retired: VecDeque::new(),
            avoid: HashMap::new(),
            refused: RefusedTickets::default(),
            start_wanted: false,
            starts_at: MonotonicTime::ZERO,
            room_kept: None,
        }
    }

    /// Notes that the ledger was dropped and is read again under the same epoch.
    pub fn with_reopened(mut self) -> Self {
        self.reopened = true;
        self
    }

    /// Keeps the refusals of an earlier state of the same term, since they are final.
    pub fn with_refused(mut self, refused: RefusedTickets) -> Self {
        self.refused = refused;
        self
    }

    /// Takes the refusals of the term.
    pub fn take_refused(&mut self) -> RefusedTickets {
        std::mem::take(&mut self.refused)
    }

    /// Returns the epoch of the term.
    pub fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// Returns the ledger, with changes that are being committed.
    pub fn ledger(&self) -> &TaskLedger {
        &self.ledger
    }

    /// Returns the attempts that are not known to have ended.
    pub fn runs(&self) -> &HashMap<TaskId, TaskRun> {
        &self.runs
    }

    /// Returns the workers of the group.
    pub fn workers(&self) -> &WorkerTable {
        &self.workers
    }

    /// Tells whether a journal write showed that the group has another owner.
    pub fn is_fenced(&self) -> bool {
        self.journal.fenced
    }

    /// Tells whether the ledger may be read again after a refused write.
    pub fn may_reopen(&self, now: MonotonicTime) -> bool {
        self.journal.fenced && now >= self.journal.retry_at
    }

    /// Returns the committed events since the last call.
    pub fn take_samples(&mut self) -> Vec<TaskSample> {
        std::mem::take(&mut self.samples)
    }

    /// Notes a new or changed worker of the group.
    pub fn on_target(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        target: &TargetEntry,
    ) {
        // First lists are spread over the second between two lists, by the name.
        let spread = u64::from(crc32fast::hash(target.name.as_bytes()) % 1_000);
        let first = self.probe_from.max(step.now());
        let known = self.workers.get(&target.name).is_some_and(|worker| worker.listed);
        let due = if known { first + Duration::from_millis(spread) } else { first };
        if self.workers.update(target, due) {
            self.queue.unpark();
        }
        self.start_wanted = true;
        self.place_worker(step.now(), view, None, &target.name);
        if target.state == crate::membership::TargetState::Leaving {
            self.move_tasks_away(step, view, &target.name);
        }
    }

    /// Notes that the platform no longer lists a worker. Its attempts end with their leases.
    pub fn on_target_ended(&mut self, name: &str) {
        self.workers.end(name);
    }

    /// Handles the end of an exchange with the store; false if it is not one of the group.
    pub fn on_store_ended(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        exchange: ExchangeId,
        result: &Result<StoreReply, ExchangeError>,
    ) -> bool {
        match self.exchanges.remove(&exchange) {
            Some(GroupExchange::Load) => self.on_loaded(step, view, result),
            Some(GroupExchange::Write) => self.on_written(step, view, result),
            Some(GroupExchange::Check) => self.on_checked(step, view, result),
            _ => return false,
        }
        true
    }

    /// Handles the end of an exchange with a worker; false if it is not one of the group.
    pub fn on_worker_ended(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        models: &mut TaskModels,
        exchange: ExchangeId,
        result: &Result<WorkerReply, ExchangeError>,
    ) -> bool {
        let Some(ended) = self.exchanges.remove(&exchange) else { return false };
        match ended {
            GroupExchange::Start(task, attempt, worker) => {
                self.note_answer(step, &worker, result);
                self.on_start_ended(step, task, attempt, &worker, result);
            }
            GroupExchange::Renew(worker, tasks) => {
                self.note_answer(step, &worker, result);
                self.on_renewed(step, &worker, &tasks, result);
            }
            GroupExchange::List(worker, sent_at) => {
                self.note_answer(step, &worker, result);
                self.on_listed(step, view, models, &worker, sent_at, result);
            }
            GroupExchange::Stop(task, attempt, worker) => {
                self.note_answer(step, &worker, result);
                self.on_stop_ended(step, task, attempt, result);
            }
            GroupExchange::Throttle(worker) => self.note_answer(step, &worker, result),
            GroupExchange::Load | GroupExchange::Write | GroupExchange::Check => return false,
        }
        true
    }

    /// Does what is due.
    pub fn on_tick(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        models: &mut TaskModels,
    ) {
        if self.journal.fenced {
            return;
        }
        if !self.journal.loaded {
            return self.load(step);
        }
        self.expire_waiters(step, view);
        self.go_on_writing(step, view, models);
        self.send_starts(step, view);
        self.visit_due_workers(step, view, models);
    }

    /// Calls a worker. Returns the time by which all bytes have left, or `None` without the right.
    pub(super) fn call_worker(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        worker: &str,
        request: WorkerRequest,
        exchange: GroupExchange,
    ) -> Option<MonotonicTime> {
        let now = step.now();
        let right = view.right_until.filter(|until| *until > now)?;
        let address = self.workers.get(worker)?.address;
        let valid_until = right.min(now + WORKER_WINDOW);
        let id = step.begin_exchange(ReducerPart::Tasks);
        self.exchanges.insert(id, exchange);
        step.push(EntryEffect::CallWorker {
            exchange: id,
            address,
            request,
            valid_until,
            timeout: WORKER_TIMEOUT,
        });
        Some(valid_until)
    }

    /// Returns the id that workers know a task by.
    pub(super) fn wire_id(&self, task: TaskId) -> String {
        task.ticket(&self.zone, self.group).to_string()
    }

    /// Returns the task with an id that a worker reported.
    pub(super) fn task_of_wire_id(&self, text: &str) -> Option<TaskId> {
        let ticket: crate::ids::RequestTicket = text.parse().ok()?;
        (ticket.zone == self.zone && ticket.group == self.group).then(|| TaskId::of(&ticket))
    }

    /// Notes that an attempt has ended and commits it with the next segment.
    pub(super) fn stage_end(&mut self, entry: JournalEntry, worker: Option<&str>) {
        if let Some(run) = self.runs.get_mut(&entry.task()) {
            run.phase = RunPhase::Ended;
        }
        if let Some(state) = worker.and_then(|name| self.workers.get_mut(name)) {
            state.open_ends += 1;
        }
        self.staged.push(entry, worker.map(str::to_owned));
    }

    /// Applies a change to the ledger and to everything derived from it.
    pub(super) fn apply(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        entry: &JournalEntry,
        at_ms: u64,
    ) -> bool {
        let task = entry.task();
        let before = self.ledger.get(task).map(|record| record.state.is_final());
        if !self.ledger.apply(entry, at_ms) {
            return false;
        }
        match entry {
            JournalEntry::Started(_, placement) => self.begin_run(step, view, task, placement),
            JournalEntry::NotRun(_, attempt)
            | JournalEntry::AttemptFailed(_, attempt, _)
            | JournalEntry::Interrupted(_, attempt, _)
            | JournalEntry::Evicted(_, attempt, _)
            | JournalEntry::Finished(_, attempt, _) => {
                self.end_run(step.now(), view, task, *attempt)
            }
            JournalEntry::Accepted(..) | JournalEntry::Failed(..) | JournalEntry::Cancelled(_) => {}
        }
        self.follow_state(step.now(), view, task, before == Some(true));
        true
    }

    /// Queues a task that waits, and stops what still runs of a task that has ended.
    fn follow_state(
        &mut self,
        now: MonotonicTime,
        view: &GroupView<'_>,
        task: TaskId,
        was_final: bool,
    ) {
        let Some(record) = self.ledger.get(task) else { return };
        match record.state {
            TaskState::Queued => {
                self.requeue(now, view, task);
                self.start_wanted = true;
            }
            TaskState::Placed => self.queue.remove(task),
            _ => {
                self.queue.remove(task);
                self.avoid.remove(&task);
                if let Some(run) = self.runs.get_mut(&task) {
                    run.stop = Some(StopReason::Cancel);
                }
                if !was_final {
                    self.ended.push_back((now, task));
                }
            }
        }
    }

    fn begin_run(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        task: TaskId,
        placement: &Placement,
    ) {
        let now = step.now();
        self.add_run(view, task, placement, RunPhase::Committing, now + LEASE_LAPSED);
        self.avoid.remove(&task);
        if let Some(worker) = self.workers.get_mut(&placement.worker) {
            worker.health.note_start(now, task);
        }
        self.place_worker(now, view, None, &placement.worker);
    }

    /// Adds an attempt that occupies its worker.
    pub(super) fn add_run(
        &mut self,
        view: &GroupView<'_>,
        task: TaskId,
        placement: &Placement,
        phase: RunPhase,
        lapse_at: MonotonicTime,
    ) {
        let Some(record) = self.ledger.get(task) else { return };
        let body = &record.body;
        let weight =
            (view.profile)(&body.profile).map_or(1, |profile| profile.weight(&body.customer));
        let charge = self.quota.charge(&body.customer, placement.reserved.millicores, weight);
        let run = TaskRun {
            placement: placement.clone(),
            class: body.class.clone(),
            phase,
            lapse_at,
            inherited: matches!(phase, RunPhase::Unsure(_)),
            confirmed_at: None,
            checkpoint: record.checkpoint.clone(),
            percent: 100,
            stop: record.state.is_final().then_some(StopReason::Cancel),
            stopping: false,
            charge: (body.customer.clone(), charge),
        };
        self.workers.add_missing(&placement.worker);
        self.workers.hold(&placement.worker, task, &placement.reserved);
        self.runs.insert(task, run);
    }

    fn end_run(
        &mut self,
        now: MonotonicTime,
        view: &GroupView<'_>,
        task: TaskId,
        attempt: AttemptNumber,
    ) {
        if self.runs.get(&task).is_none_or(|run| run.placement.attempt != attempt) {
            return;
        }
        let Some(run) = self.runs.remove(&task) else { return };
        self.quota.release(&run.charge.0, run.charge.1);
        if let Some(worker) = self.workers.get_mut(&run.placement.worker) {
            worker.health.note_unjudged(&task);
            worker.class_changed.insert(run.class, now);
        }
        self.workers.release(&run.placement.worker, task, &run.placement.reserved);
        self.place_worker(now, view, None, &run.placement.worker);
        self.start_wanted = true;
    }

    /// Updates the place of a worker in the index of free workers. Without the models its place
    /// counts as one without slowdown until its next visit, within a second.
    pub(super) fn place_worker(
        &mut self,
        now: MonotonicTime,
        view: &GroupView<'_>,
        models: Option<&TaskModels>,
        name: &str,
    ) {
        let slowdown = models.map_or(1.0, |models| self.worst_slowdown(view, models, name, None));
        self.workers.place(now, name, slowdown);
    }

    /// Counts a committed event of a task.
    pub(super) fn sample(&self, task: TaskId, mark: TaskEvent, at_ms: u64) -> Option<TaskSample> {
        let record = self.ledger.get(task)?;
        Some(TaskSample {
            profile: record.body.profile.clone(),
            customer: record.body.customer.clone(),
            mark,
            elapsed: Duration::from_millis(at_ms.saturating_sub(record.accepted_ms)),
        })
    }
}
