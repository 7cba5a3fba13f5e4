//! Placement and starts: the choice of a task and a worker, and the handling of the answer to a
//! start.

use std::{collections::HashSet, time::Duration};

use rand::seq::IteratorRandom;

use crate::{
    event::ExchangeError,
    ids::{AttemptNumber, MonotonicTime, TargetName},
    interference::HIGH_SLOWDOWN,
    ledger::{JournalEntry, Placement, TaskId, TaskRecord, TaskState},
    log::WORKER_QUARANTINED,
    membership::TargetState,
    profile::DEFAULT_MAX_ATTEMPTS,
    reducer::{
        step::{StepContext, TargetObservation},
        TRANSIT_BOUND,
    },
    settings::PlacementPolicy,
    worker::{ResourceSize, TaskStart, WorkerReply, WorkerRequest},
};

use super::{
    group::{
        GroupExchange, GroupView, RunPhase, TaskGroup, TaskModels, LEASE_EXPIRY_BOUND, WORKER_LEASE,
    },
    journal::SegmentWrite,
    workers::WorkerState,
};

/// Priority of a task whose profile was deleted. It equals the default of a profile.
const DEFAULT_PRIORITY: u8 = 5;
/// Number of workers after whose examination a pass over the queue ends. The search that reaches it
/// is completed, and the next pass continues with the remaining tasks.
const MAX_WORKERS_PER_PASS: usize = 20_000;
/// Maximum number of acceptable workers to compare by predicted slowdown.
const MAX_WORKERS_COMPARED: usize = 8;
/// Wait after which a task is started even where it is predicted to slow latency-critical work too
/// much. Without this limit, no report would ever correct a prediction that is too high.
const SLOWDOWN_WAIT: Duration = Duration::from_secs(30);
/// Interval at which starts are retried without a change of the workers, since a slowdown, a
/// quarantine or the avoidance of a machine may have ended.
const START_INTERVAL: Duration = Duration::from_secs(1);
/// Wait after which a worker is reserved for a task. Otherwise a steady stream of small tasks would
/// use all free capacity, and a large task would never start.
const CAPACITY_RESERVATION_WAIT: Duration = Duration::from_secs(60);
const UNREACHED_BACKOFF: Duration = Duration::from_secs(1);
const FULL_BACKOFF: Duration = Duration::from_secs(2);

/// Searches for workers in one round over the queue, which may take several passes.
#[derive(Debug, Default)]
pub struct SearchRound {
    /// Tasks for which no worker was found in the round.
    without_worker: HashSet<TaskId>,
    /// Number of workers examined in the current pass.
    examined: usize,
}

impl TaskGroup {
    /// Adds the starts that are possible now to a segment. The customer with the least weighted use
    /// comes first.
    pub(super) fn add_starts(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        models: &TaskModels,
        segment: &mut SegmentWrite,
    ) {
        let now = step.now();
        if now >= self.next_scheduling_at {
            self.next_scheduling_at = now + START_INTERVAL;
            self.scheduling_needed = true;
            self.update_capacity_reservation(now);
        }
        if !self.scheduling_needed || view.authority_until.is_none_or(|until| until <= now) {
            return;
        }
        let mut blocked: Vec<String> = Vec::new();
        self.search_round.examined = 0;
        loop {
            let pass_ended = self.search_round.examined >= MAX_WORKERS_PER_PASS;
            if segment.bytes >= super::journal::SEGMENT_BYTES || pass_ended {
                return;
            }
            let unblocked =
                self.queue.customers().filter(|name| !blocked.iter().any(|b| b == name));
            let Some(customer) = self.quota.least_used(unblocked).map(str::to_owned) else { break };
            match self.next_start(step, view, models, &customer) {
                Some((task, placement)) => {
                    let entry = JournalEntry::Started(task, placement);
                    if !self.add_entry(step, view, segment, entry) {
                        blocked.push(customer);
                    }
                }
                None => blocked.push(customer),
            }
        }
        self.search_round.without_worker.clear();
        self.scheduling_needed = false;
    }

    fn next_start(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        models: &TaskModels,
        customer: &str,
    ) -> Option<(TaskId, Placement)> {
        for task in self.queue.next_tasks(customer) {
            if self.search_round.without_worker.contains(&task) {
                continue;
            }
            if self.search_round.examined >= MAX_WORKERS_PER_PASS {
                return None;
            }
            let Some(record) = self.ledger.get(task) else {
                self.queue.remove(task);
                continue;
            };
            if !self.workers.fits_any_worker(&record.body.size) {
                self.queue.park(task);
                continue;
            }
            let (placement, examined) = self.choose_worker(step, view, models, task, record);
            self.search_round.examined += examined;
            if let Some(placement) = placement {
                return Some((task, placement));
            }
            self.search_round.without_worker.insert(task);
        }
        None
    }

    /// Returns the placement of a task, if a worker can take it now, and the number of workers
    /// examined.
    fn choose_worker(
        &self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        models: &TaskModels,
        task: TaskId,
        record: &TaskRecord,
    ) -> (Option<Placement>, usize) {
        let now = step.now();
        let declared = record.body.size;
        let learned = models.sizes.reservation(&record.body.class, &declared);
        let all_workers_failed = !self.has_untried_worker(record);
        let suits = |name: &TargetName, worker: &WorkerState| {
            worker.can_start(now)
                && declared.fits(&worker.size)
                && reserved_on(&learned, worker).fits(&worker.free())
                && (all_workers_failed || !record.failed_on.contains(name))
                && !self.is_on_avoided_machine(now, task, worker)
                && !self.is_reserved_for_other(task, name)
        };
        let at_least = learned.millicores.min(declared.millicores);
        let mut examined = 0;
        // Fewer free cores than the learned size can still suffice where the reservation is capped
        // at the size of the worker.
        let mut suitable = self
            .workers
            .with_free_cores(learned.millicores..u64::MAX)
            .chain(self.workers.with_free_cores(at_least..learned.millicores))
            .filter_map(|name| {
                examined += 1;
                let worker = self.workers.get(name)?;
                suits(name, worker).then_some((name, worker))
            });
        let chosen = match step.settings.policy {
            PlacementPolicy::Learned => {
                self.least_slowed(now, view, models, task, record, &mut suitable)
            }
            PlacementPolicy::LeastLoaded => {
                suitable.max_by_key(|(_, worker)| worker.free().millicores)
            }
            PlacementPolicy::RandomQueue => suitable.choose(&mut step.rng),
        };
        let placement = chosen.map(|(name, worker)| Placement {
            attempt: record.last_attempt + 1,
            worker: name.clone(),
            reserved: reserved_on(&learned, worker),
        });
        (placement, examined)
    }

    /// Returns the worker with the lowest predicted slowdown of latency-critical work, and among
    /// equal ones the one with the fewest free cores. It compares the first acceptable ones.
    fn least_slowed<'a>(
        &self,
        now: MonotonicTime,
        view: &GroupView<'_>,
        models: &TaskModels,
        task: TaskId,
        record: &TaskRecord,
        suitable: impl Iterator<Item = (&'a TargetName, &'a WorkerState)>,
    ) -> Option<(&'a TargetName, &'a WorkerState)> {
        let added = (record.body.class.as_str(), record.body.size.millicores as f64 / 1_000.0);
        let must_wait =
            self.queue.queued_since(task).is_none_or(|since| now < since + SLOWDOWN_WAIT);
        let with_slowdown = suitable.map(|(name, worker)| {
            (self.worst_slowdown(view, models, name, Some(added)), name, worker)
        });
        let acceptable =
            with_slowdown.filter(|(slowdown, ..)| !must_wait || *slowdown <= HIGH_SLOWDOWN);
        let best = acceptable.take(MAX_WORKERS_COMPARED).min_by(|(slowdown, _, worker), other| {
            slowdown
                .total_cmp(&other.0)
                .then(worker.free().millicores.cmp(&other.2.free().millicores))
        });
        best.map(|(_, name, worker)| (name, worker))
    }

    /// Returns whether the task has not failed yet on some live worker that is large enough for it.
    fn has_untried_worker(&self, record: &TaskRecord) -> bool {
        if record.failed_on.is_empty() {
            return true;
        }
        self.workers.iter().any(|(name, worker)| {
            worker.state == TargetState::Live
                && !worker.ended
                && record.body.size.fits(&worker.size)
                && !record.failed_on.contains(name)
        })
    }

    fn is_on_avoided_machine(
        &self,
        now: MonotonicTime,
        task: TaskId,
        worker: &WorkerState,
    ) -> bool {
        let avoided = self.avoided_machines.get(&task);
        avoided.is_some_and(|(machine, until)| *machine == worker.machine && now < *until)
    }

    fn is_reserved_for_other(&self, task: TaskId, name: &str) -> bool {
        self.capacity_reservation
            .as_ref()
            .is_some_and(|(reserved_for, worker)| worker == name && *reserved_for != task)
    }

    /// Reserves a worker for the task that has waited longest, of those that have waited for
    /// [`CAPACITY_RESERVATION_WAIT`] and that some usable worker is large enough for. The
    /// reservation ends when the task has started on any worker, or the worker becomes unusable.
    fn update_capacity_reservation(&mut self, now: MonotonicTime) {
        if let Some((task, name)) = &self.capacity_reservation {
            let usable = self.workers.get(name).is_some_and(|worker| worker.can_start(now));
            if usable && self.queue.queued_since(*task).is_some() {
                return;
            }
        }
        self.capacity_reservation = None;
        let candidates =
            self.queue.customers().flat_map(|customer| self.queue.next_tasks(customer));
        let mut waiting: Vec<(MonotonicTime, TaskId)> = candidates
            .filter_map(|task| Some((self.queue.queued_since(task)?, task)))
            .filter(|(since, _)| now >= *since + CAPACITY_RESERVATION_WAIT)
            .collect();
        waiting.sort_unstable();
        // Tasks of one size without failures differ in nothing that decides on the worker.
        let mut sizes_without_worker: Vec<ResourceSize> = Vec::new();
        for (_, task) in waiting {
            let Some(record) = self.ledger.get(task) else { continue };
            let size = record.body.size;
            if record.failed_on.is_empty() && sizes_without_worker.contains(&size) {
                continue;
            }
            if let Some(name) = self.worker_to_reserve(now, record) {
                self.capacity_reservation = Some((task, name));
                return;
            }
            if record.failed_on.is_empty() {
                sizes_without_worker.push(size);
            }
        }
    }

    /// Returns the usable worker with the most free cores of those that are large enough for a task
    /// and on which it has not failed.
    fn worker_to_reserve(&self, now: MonotonicTime, record: &TaskRecord) -> Option<TargetName> {
        let suits = |name: &TargetName, worker: &WorkerState| {
            worker.can_start(now)
                && record.body.size.fits(&worker.size)
                && !record.failed_on.contains(name)
        };
        let workers = self.workers.iter().filter(|(name, worker)| suits(name, worker));
        let most = workers.max_by_key(|(name, worker)| (worker.free().millicores, *name));
        most.map(|(name, _)| name.clone())
    }

    /// Returns the reason to give up a queued task after failures; `None` to retry it.
    pub(super) fn give_up_reason(&self, view: &GroupView<'_>, task: TaskId) -> Option<String> {
        let record = self.ledger.get(task)?;
        if record.state != TaskState::Queued || record.failures == 0 {
            return None;
        }
        let profile = (view.profile)(&record.body.profile);
        let allowed = profile.map_or(DEFAULT_MAX_ATTEMPTS, |profile| profile.max_attempts);
        let distinct = record.failed_on.len() as u32;
        // A group may have fewer workers than the number of allowed attempts. A task that failed on
        // all of them is given up only after that number of failures, so that one transient failure
        // does not end it.
        let exhausted = record.failures >= allowed && !self.has_untried_worker(record);
        (distinct >= allowed || exhausted)
            .then(|| format!("cannot run: failed on {distinct} workers"))
    }

    /// Sends the committed starts to their workers, unless this instance has no authority over the
    /// group.
    pub(super) fn send_starts(&mut self, step: &mut StepContext, view: &GroupView<'_>) {
        if view.authority_until.is_none_or(|until| until <= step.now()) {
            return;
        }
        for (task, attempt) in std::mem::take(&mut self.unsent_starts) {
            self.send_start(step, view, task, attempt);
        }
    }

    fn send_start(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        task: TaskId,
        attempt: AttemptNumber,
    ) {
        let Some(run) = self.runs.get(&task) else { return };
        if run.placement.attempt != attempt || run.phase != RunPhase::Committing {
            return;
        }
        let worker = run.placement.worker.clone();
        let unusable = |state: &WorkerState| state.ended || state.state != TargetState::Live;
        let Some(record) = self.ledger.get(task) else { return };
        if run.stop.is_some() || self.workers.get(&worker).is_none_or(unusable) {
            return self.stage_end(JournalEntry::NotRun(task, attempt), None);
        }
        let request = WorkerRequest::Start(TaskStart {
            task: self.wire_id(task),
            attempt,
            class: record.body.class.clone(),
            size: run.placement.reserved,
            lease_ms: WORKER_LEASE.as_millis() as u64,
            checkpoint: record.checkpoint.clone(),
            input: serde_json::from_str(&record.body.input).unwrap_or_default(),
        });
        let exchange = GroupExchange::Start(task, attempt, worker.clone());
        let Some(valid_until) = self.call_worker(step, view, &worker, request, exchange) else {
            return self.unsent_starts.push((task, attempt));
        };
        if let Some(run) = self.runs.get_mut(&task) {
            run.phase = RunPhase::Starting;
            run.lease_expires_at = valid_until + LEASE_EXPIRY_BOUND;
        }
        let class = self.runs[&task].class.clone();
        if let Some(state) = self.workers.get_mut(&worker) {
            state.class_changed_at.insert(class, step.now());
        }
    }

    pub(super) fn on_start_ended(
        &mut self,
        step: &mut StepContext,
        task: TaskId,
        attempt: AttemptNumber,
        worker: &str,
        result: &Result<WorkerReply, ExchangeError>,
    ) {
        let now = step.now();
        let Some(run) = self.runs.get_mut(&task) else { return };
        if run.placement.attempt != attempt || run.phase != RunPhase::Starting {
            return;
        }
        match result {
            Ok(WorkerReply::Accepted) => {
                run.phase = RunPhase::Running;
                run.confirmed_at = Some(now);
            }
            Ok(WorkerReply::Refused { status }) | Err(ExchangeError::Refused(status)) => {
                self.on_start_refused(step, task, attempt, worker, *status);
            }
            Err(ExchangeError::NotSent) => {
                self.back_off_worker(worker, now + UNREACHED_BACKOFF);
                self.stage_end(JournalEntry::NotRun(task, attempt), None);
            }
            Ok(_) | Err(ExchangeError::Lost) => {
                run.phase = RunPhase::Unconfirmed(now + TRANSIT_BOUND);
                self.workers.poll_by(worker, now + TRANSIT_BOUND);
            }
        }
    }

    fn on_start_refused(
        &mut self,
        step: &mut StepContext,
        task: TaskId,
        attempt: AttemptNumber,
        worker: &str,
        status: u16,
    ) {
        let now = step.now();
        match status {
            // The worker has already received this or a later attempt number. Its list shows which
            // one.
            409 => {
                if let Some(run) = self.runs.get_mut(&task) {
                    run.phase = RunPhase::Unconfirmed(now);
                }
                self.workers.poll_by(worker, now);
            }
            503 => {
                step.observe(TargetObservation::Leaving(worker.to_owned()));
                self.back_off_worker(worker, now + UNREACHED_BACKOFF);
                self.stage_end(JournalEntry::NotRun(task, attempt), None);
            }
            507 => {
                self.back_off_worker(worker, now + FULL_BACKOFF);
                self.stage_end(JournalEntry::NotRun(task, attempt), None);
            }
            _ => {
                self.record_attempt_failure(step, task, worker);
                let reason = format!("the worker refused the start with status {status}");
                self.stage_end(JournalEntry::AttemptFailed(task, attempt, reason), None);
            }
        }
    }

    /// Counts a failed attempt against the health of its worker, unless the task failed elsewhere
    /// before and the worker has no recent failures: such a failure is no evidence against the
    /// worker.
    pub(super) fn record_attempt_failure(
        &mut self,
        step: &mut StepContext,
        task: TaskId,
        worker: &str,
    ) {
        let failed_before =
            self.ledger.get(task).is_some_and(|record| !record.failed_on.is_empty());
        let Some(state) = self.workers.get_mut(worker) else { return };
        if failed_before && !state.health.is_suspect() {
            return;
        }
        if state.health.record_failure(step.now(), &task).is_some() {
            step.log(WORKER_QUARANTINED, worker);
        }
    }

    fn back_off_worker(&mut self, worker: &str, until: MonotonicTime) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.backoff_until = until;
        }
    }

    /// Queues a task for a start. The task is parked if it fits no worker of the group.
    pub(super) fn requeue(&mut self, now: MonotonicTime, view: &GroupView<'_>, task: TaskId) {
        let Some(record) = self.ledger.get(task) else { return };
        let body = &record.body;
        let profile = (view.profile)(&body.profile);
        let priority = profile.map_or(DEFAULT_PRIORITY, |profile| profile.priority);
        self.queue.push(now, task, &body.customer, &body.size, priority);
        if !self.workers.fits_any_worker(&body.size) {
            self.queue.park(task);
        }
    }
}

/// Returns the learned size with its cores capped at those of the worker.
fn reserved_on(learned: &ResourceSize, worker: &WorkerState) -> ResourceSize {
    ResourceSize { millicores: learned.millicores.min(worker.size.millicores), ..*learned }
}
