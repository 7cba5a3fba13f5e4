//! Batch tasks of one group: the task ledger and the state derived from it, such as the start
//! queue, the attempts and the workers.

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
    interference::InterferenceModel,
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
    refused_tickets::RefusedTickets,
    sizes::SizeEstimator,
    starting::SearchRound,
    workers::WorkerTable,
};

/// Length of the lease that a start or a renewal grants to an attempt.
pub const WORKER_LEASE: Duration = Duration::from_secs(5);
/// Time after the last byte of a start or renewal could have been sent by which the worker has
/// certainly stopped the attempt. It covers lease, clock drift and transit, rounded up from 6.1 s.
pub const LEASE_EXPIRY_BOUND: Duration = Duration::from_secs(7);
/// Time after an eviction within which the task is not placed on the same machine again.
pub const EVICTION_AVOIDANCE: Duration = Duration::from_secs(60);

/// Time after which a request to a worker that is not sent yet must not be sent any more.
const WORKER_SEND_WINDOW: Duration = Duration::from_millis(500);
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);

/// Read access of a group to the other parts of the reducer during one step.
#[derive(Clone, Copy)]
pub struct GroupView<'a> {
    /// End of this instance's authority to act for the group; `None` without it.
    pub authority_until: Option<MonotonicTime>,
    /// Looks up a profile of the active configuration.
    pub profile: &'a dyn Fn(&str) -> Option<&'a WorkProfile>,
    /// Returns the latency-critical classes that run on a machine, each with its number of calls.
    pub classes_on: &'a dyn Fn(&str) -> Vec<(ClassName, u32)>,
    /// Whether any worker of the zone is large enough for a size; `None` if no worker is known.
    pub fits_any_worker: &'a dyn Fn(&ResourceSize) -> Option<bool>,
}

/// Learned models of the classes of work, shared by all groups.
#[derive(Debug, Default)]
pub struct TaskModels {
    /// Slowdown of latency-critical classes by batch classes on the same machine.
    pub interference: InterferenceModel,
    /// Cores that tasks of each class use.
    pub sizes: SizeEstimator,
}

/// A caller or peer that waits for an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TaskWaiter {
    /// Id of the answer that the waiter expects.
    pub reply: ReplyId,
    /// Whether the request was forwarded by a peer.
    pub from_peer: bool,
}

impl TaskWaiter {
    /// Sends the answer to the caller, or to the peer that forwarded the request.
    pub fn answer(self, step: &mut StepContext, answer: CallerAnswer) {
        if self.from_peer {
            let answer = PeerReply::Answer(answer);
            step.push(EntryEffect::AnswerPeer { reply: self.reply, answer });
        } else {
            step.answer(self.reply, answer);
        }
    }
}

/// A committed event of a task, counted in the day record.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskSample {
    /// Profile that the task was submitted under.
    pub profile: ProfileName,
    /// Customer that submitted the task.
    pub customer: CustomerName,
    /// Kind of event.
    pub event: TaskEvent,
    /// Time from the acceptance of the task to the event.
    pub elapsed: Duration,
}

/// Phase of an attempt whose end is not committed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// The start is being committed, or is committed but not sent.
    Committing,
    /// The start was sent and not answered yet.
    Starting,
    /// The worker is running the attempt.
    Running,
    /// It is unknown whether the worker runs the attempt. The worker's list shows whether it does
    /// if it is requested at or after this time; without such a list the attempt ends when its
    /// lease expires.
    Unconfirmed(MonotonicTime),
    /// The end is known but not committed.
    Ended,
}

/// Reason to stop an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// The attempt slows down latency-critical work on its machine.
    Evict,
    /// The worker is leaving.
    Leave,
    /// The task was cancelled or has ended otherwise.
    Cancel,
}

/// An attempt whose end is not committed, so that its size stays reserved on the worker.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskRun {
    /// Attempt number, worker and reserved size.
    pub placement: Placement,
    /// Class of the task.
    pub class: ClassName,
    /// Current phase.
    pub phase: RunPhase,
    /// Time by which the lease has certainly expired and the worker has stopped the attempt.
    pub lease_expires_at: MonotonicTime,
    /// Whether a previous owner of the group started it.
    pub inherited: bool,
    /// When the worker first confirmed that it runs the attempt.
    pub confirmed_at: Option<MonotonicTime>,
    /// Latest checkpoint reported by the worker.
    pub checkpoint: Option<String>,
    /// CPU share that the attempt may use, in percent of its cores.
    pub percent: u8,
    /// Reason to stop the attempt, if it is to be stopped.
    pub stop: Option<StopReason>,
    /// Whether a stop request is in flight.
    pub stopping: bool,
    /// Customer and the amount charged to it in the quota table.
    pub charge: (CustomerName, u64),
}

impl TaskRun {
    /// Returns the expected CPU use in cores, from the reserved size and the CPU share.
    pub fn cores(&self) -> f64 {
        self.placement.reserved.millicores as f64 / 1_000.0 * f64::from(self.percent) / 100.0
    }
}

/// A request of a group to the store or a worker that is in flight.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupExchange {
    /// Read of the complete ledger after a takeover, or after it was dropped.
    Load,
    /// Journal write.
    Write,
    /// Read of the written key, after the answer to the write was lost.
    ReadBack,
    /// Start of an attempt.
    Start(TaskId, AttemptNumber, TargetName),
    /// Lease renewal of all running attempts of a worker.
    Renew(TargetName, Vec<(TaskId, AttemptNumber)>),
    /// Request for the list of a worker's attempts, with the time at which it was sent.
    List(TargetName, MonotonicTime),
    /// Stop of an attempt.
    Stop(TaskId, AttemptNumber, TargetName),
    /// Change of the CPU share of an attempt on a worker. Later usage reports show its effect.
    Throttle(TargetName),
}

/// Batch tasks of one group that this instance owns.
#[derive(Debug)]
pub struct TaskGroup {
    pub(super) zone: ZoneName,
    pub(super) group: GroupIndex,
    pub(super) epoch: OwnerEpoch,
    pub(super) acquired_at: MonotonicTime,
    /// Whether the ledger was dropped and is read again under the same epoch. Tickets of this epoch
    /// may then have been accepted already.
    pub(super) reopened: bool,
    /// Time before which workers are not contacted, so that the requests of the previous owner
    /// arrive first.
    pub(super) probe_from: MonotonicTime,
    pub(super) ledger: TaskLedger,
    pub(super) journal: GroupJournal,
    pub(super) staged: StagedChanges,
    pub(super) queue: StartQueue,
    pub(super) quota: QuotaTable,
    pub(super) runs: HashMap<TaskId, TaskRun>,
    pub(super) workers: WorkerTable,
    /// Attempts whose start is committed but not sent.
    pub(super) unsent_starts: Vec<(TaskId, AttemptNumber)>,
    pub(super) exchanges: HashMap<ExchangeId, GroupExchange>,
    pub(super) samples: Vec<TaskSample>,
    /// Ended tasks that still have a record, ordered by the time of their end.
    pub(super) ended: VecDeque<(MonotonicTime, TaskId)>,
    /// Tasks of which only the id is kept, ordered by the time at which their record was dropped.
    pub(super) retired: VecDeque<(MonotonicTime, TaskId)>,
    /// For each recently evicted task, the machine that it avoids and until when.
    pub(super) avoided_machines: HashMap<TaskId, (MachineName, MonotonicTime)>,
    pub(super) refused: RefusedTickets,
    /// Whether anything has changed since the last scan of the queue that may allow a start.
    pub(super) scheduling_needed: bool,
    pub(super) next_scheduling_at: MonotonicTime,
    pub(super) search_round: SearchRound,
    /// The task that has waited longest, if its wait exceeds a limit, and the worker on which no
    /// other task is started until this one has started.
    pub(super) capacity_reservation: Option<(TaskId, TargetName)>,
}

impl TaskGroup {
    /// Creates the state of a group after a takeover. The next tick reads the ledger. Workers are
    /// not contacted before `probe_from`.
    pub fn new(
        zone: &str,
        group: GroupIndex,
        epoch: OwnerEpoch,
        acquired_at: MonotonicTime,
        probe_from: MonotonicTime,
    ) -> Self {
        Self {
            zone: zone.to_owned(),
            group,
            epoch,
            acquired_at,
            reopened: false,
            probe_from,
            ledger: TaskLedger::default(),
            journal: GroupJournal::default(),
            staged: StagedChanges::default(),
            queue: StartQueue::default(),
            quota: QuotaTable::default(),
            runs: HashMap::new(),
            workers: WorkerTable::default(),
            unsent_starts: Vec::new(),
            exchanges: HashMap::new(),
            samples: Vec::new(),
            ended: VecDeque::new(),
            retired: VecDeque::new(),
            avoided_machines: HashMap::new(),
            refused: RefusedTickets::default(),
            scheduling_needed: false,
            next_scheduling_at: MonotonicTime::ZERO,
            search_round: SearchRound::default(),
            capacity_reservation: None,
        }
    }

    /// Marks the group as reopened under the same epoch: its ledger was dropped and has to be read
    /// again.
    pub fn with_reopened(mut self) -> Self {
        self.reopened = true;
        self
    }

    /// Restores the refused tickets of an earlier state under the same epoch, since refusals are
    /// final.
    pub fn with_refused(mut self, refused: RefusedTickets) -> Self {
        self.refused = refused;
        self
    }

    /// Takes the tickets that were refused under this epoch out of the group.
    pub fn take_refused(&mut self) -> RefusedTickets {
        std::mem::take(&mut self.refused)
    }

    /// Returns the epoch under which this instance owns the group.
    pub fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// Returns the ledger, including changes whose commit is in flight.
    pub fn ledger(&self) -> &TaskLedger {
        &self.ledger
    }

    /// Returns the attempts whose end is not committed, by task.
    pub fn runs(&self) -> &HashMap<TaskId, TaskRun> {
        &self.runs
    }

    /// Returns the workers assigned to the group.
    pub fn workers(&self) -> &WorkerTable {
        &self.workers
    }

    /// Whether the ledger was dropped, after a refused journal write or the loss of ownership.
    pub fn is_fenced(&self) -> bool {
        self.journal.fenced
    }

    /// Whether the wait after a refused journal write is over, so that the ledger may be read
    /// again.
    pub fn may_reopen(&self, now: MonotonicTime) -> bool {
        self.journal.fenced && now >= self.journal.retry_at
    }

    /// Returns the committed events since the last call and clears them.
    pub fn take_samples(&mut self) -> Vec<TaskSample> {
        std::mem::take(&mut self.samples)
    }

    /// Adds a worker to the group or updates it. Stops the attempts on a leaving worker.
    pub fn on_target(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        target: &TargetEntry,
    ) {
        // The list requests are spread over the poll interval of 1 s by a hash of the worker's
        // name.
        let spread = u64::from(crc32fast::hash(target.name.as_bytes()) % 1_000);
        let first = self.probe_from.max(step.now());
        let known = self.workers.get(&target.name).is_some_and(|worker| worker.listed);
        let due = if known { first + Duration::from_millis(spread) } else { first };
        if self.workers.update(target, due) {
            self.queue.unpark();
        }
        self.scheduling_needed = true;
        self.update_free_index(step.now(), view, None, &target.name);
        if target.state == crate::membership::TargetState::Leaving {
            self.drain_worker(step, view, &target.name);
        }
    }

    /// Handles the removal of a worker from the platform's list. Its attempts end when their leases
    /// expire.
    pub fn on_target_ended(&mut self, name: &str) {
        self.workers.end(name);
    }

    /// Handles the result of a store request. Returns false if the exchange is not of this group.
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
            Some(GroupExchange::ReadBack) => self.on_read_back(step, view, result),
            _ => return false,
        }
        true
    }

    /// Handles the result of a worker request. Returns false if the exchange is not of this group.
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
                self.record_reachability(step, &worker, result);
                self.on_start_ended(step, task, attempt, &worker, result);
            }
            GroupExchange::Renew(worker, tasks) => {
                self.record_reachability(step, &worker, result);
                self.on_renewed(step, &worker, &tasks, result);
            }
            GroupExchange::List(worker, sent_at) => {
                self.record_reachability(step, &worker, result);
                self.on_listed(step, view, models, &worker, sent_at, result);
            }
            GroupExchange::Stop(task, attempt, worker) => {
                self.record_reachability(step, &worker, result);
                self.on_stop_ended(step, task, attempt, result);
            }
            GroupExchange::Throttle(worker) => self.record_reachability(step, &worker, result),
            GroupExchange::Load | GroupExchange::Write | GroupExchange::ReadBack => return false,
        }
        true
    }

    /// Continues journal writes, sends committed starts and polls the workers that are due. Reads
    /// the ledger first if it is not loaded.
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
        self.advance_journal(step, view, models);
        self.send_starts(step, view);
        self.poll_due_workers(step, view, models);
    }

    /// Sends a request to a worker. Returns the time after which no byte of it is sent any more, or
    /// `None` if this instance has no authority over the group or the worker is unknown.
    pub(super) fn call_worker(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        worker: &str,
        request: WorkerRequest,
        exchange: GroupExchange,
    ) -> Option<MonotonicTime> {
        let now = step.now();
        let authority_until = view.authority_until.filter(|until| *until > now)?;
        let address = self.workers.get(worker)?.address;
        let valid_until = authority_until.min(now + WORKER_SEND_WINDOW);
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

    /// Returns the task id used in requests to workers: the ticket as text.
    pub(super) fn wire_id(&self, task: TaskId) -> String {
        task.ticket(&self.zone, self.group).to_string()
    }

    /// Parses a task id reported by a worker; `None` if it is not of this group.
    pub(super) fn task_from_wire_id(&self, text: &str) -> Option<TaskId> {
        let ticket: crate::ids::RequestTicket = text.parse().ok()?;
        (ticket.zone == self.zone && ticket.group == self.group).then(|| TaskId::of(&ticket))
    }

    /// Marks an attempt as ended and stages the entry for the next segment. `worker` names the
    /// worker that reported the end, if one did.
    pub(super) fn stage_end(&mut self, entry: JournalEntry, worker: Option<&str>) {
        if let Some(run) = self.runs.get_mut(&entry.task()) {
            run.phase = RunPhase::Ended;
        }
        if let Some(state) = worker.and_then(|name| self.workers.get_mut(name)) {
            state.uncommitted_ends += 1;
        }
        self.staged.push(entry, worker.map(str::to_owned));
    }

    /// Applies an entry to the ledger and the state derived from it. Returns false if the entry had
    /// no effect.
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
        self.sync_derived_state(step.now(), view, task, before == Some(true));
        true
    }

    /// Updates the start queue after a change of a task's state, and requests a stop if a task has
    /// ended while an attempt of it still runs.
    fn sync_derived_state(
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
                self.scheduling_needed = true;
            }
            TaskState::Placed => self.queue.remove(task),
            _ => {
                self.queue.remove(task);
                self.avoided_machines.remove(&task);
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
        self.add_run(view, task, placement, RunPhase::Committing, now + LEASE_EXPIRY_BOUND);
        self.avoided_machines.remove(&task);
        if let Some(worker) = self.workers.get_mut(&placement.worker) {
            worker.health.record_start(now, task);
        }
        self.update_free_index(now, view, None, &placement.worker);
    }

    /// Adds an attempt: reserves its size on the worker and charges the quota of its customer.
    pub(super) fn add_run(
        &mut self,
        view: &GroupView<'_>,
        task: TaskId,
        placement: &Placement,
        phase: RunPhase,
        lease_expires_at: MonotonicTime,
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
            lease_expires_at,
            inherited: matches!(phase, RunPhase::Unconfirmed(_)),
            confirmed_at: None,
            checkpoint: record.checkpoint.clone(),
            percent: 100,
            stop: record.state.is_final().then_some(StopReason::Cancel),
            stopping: false,
            charge: (body.customer.clone(), charge),
        };
        self.workers.add_missing(&placement.worker);
        self.workers.reserve(&placement.worker, task, &placement.reserved);
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
            worker.health.record_inconclusive(&task);
            worker.class_changed_at.insert(run.class, now);
        }
        self.workers.release(&run.placement.worker, task, &run.placement.reserved);
        self.update_free_index(now, view, None, &run.placement.worker);
        self.scheduling_needed = true;
    }

    /// Updates a worker in the index of free capacity. Without `models` the slowdown counts as none
    /// until the next poll, which follows within a second.
    pub(super) fn update_free_index(
        &mut self,
        now: MonotonicTime,
        view: &GroupView<'_>,
        models: Option<&TaskModels>,
        name: &str,
    ) {
        let slowdown = models.map_or(1.0, |models| self.worst_slowdown(view, models, name, None));
        self.workers.index_free(now, name, slowdown);
    }

    /// Returns a sample of an event with the time since the task was accepted. `at_ms` is the wall
    /// clock time of the event in milliseconds.
    pub(super) fn sample(&self, task: TaskId, event: TaskEvent, at_ms: u64) -> Option<TaskSample> {
        let record = self.ledger.get(task)?;
        Some(TaskSample {
            profile: record.body.profile.clone(),
            customer: record.body.customer.clone(),
            event,
            elapsed: Duration::from_millis(at_ms.saturating_sub(record.accepted_ms)),
        })
    }
}
