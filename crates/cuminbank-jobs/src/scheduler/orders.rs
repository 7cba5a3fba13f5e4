//! Start and stop orders: sending, replies and retries.

use std::time::Duration;

use cuminbank::log::{RUN_REJECTED, RUN_STARTED, RUN_STOPPED};

use super::{
    state::{EndedTask, ExecutorKey, JobKey, RunKey, RunPhase, RunState, TaskPhase},
    tails::TAIL_WINDOW,
    JobEffect, JobScheduler,
};
use crate::{
    ids::{MonotonicTime, OrderId, OwnerEpoch, RunNumber, TaskIndex},
    job::TaskName,
    order::{ExecutorOrder, OrderFailure, OrderReply, OrderRequest, RejectReason},
    relay::uses_relay,
};

/// Time limit for the reply to a start or stop. Executors reply within a few milliseconds.
pub(super) const ORDER_TIMEOUT: Duration = Duration::from_millis(350);
/// Delay before an order without a reply is sent again.
const ORDER_RETRY: Duration = Duration::from_millis(40);
/// How long an executor gets no new starts after it lacked capacity for one or a start could not be
/// sent to it.
const REJECT_PAUSE: Duration = Duration::from_millis(300);

/// Time for which starts in flight may occupy the link. Holds and ownership renewals use the same
/// link and must be sent well before the timeout of an order.
const MAX_LINK_BACKLOG: Duration = Duration::from_millis(80);
/// Size in bytes of a start with a payload of typical length, and the size that it takes on this
/// instance's link if another instance relays it.
const START_BYTES: f64 = 1_700.0;
const RELAYED_START_BYTES: f64 = 300.0;
/// Minimum limit on starts in flight, however slow the link is.
const MIN_STARTS_IN_FLIGHT: usize = 12;
/// Divisor of the limit on starts in flight for repeated ones, so that executors which do not reply
/// to starts do not keep others from getting any.
const REPEATED_STARTS_DIVISOR: usize = 2;

/// Returns how many starts may be in flight on a link of the given bandwidth in Mbit/s.
pub(super) fn max_starts_in_flight(link_mbps: f64) -> usize {
    let bytes_per_second = link_mbps * 1_000_000.0 / 8.0;
    let bytes = if uses_relay(link_mbps) { RELAYED_START_BYTES } else { START_BYTES };
    ((bytes_per_second * MAX_LINK_BACKLOG.as_secs_f64() / bytes) as usize).max(MIN_STARTS_IN_FLIGHT)
}

/// Kind of a pending order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderKind {
    Hold,
    Start,
    Stop,
}

/// Order whose reply or failure has not been received yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingOrder {
    pub(super) kind: OrderKind,
    pub(super) executor: ExecutorKey,
    pub(super) run: Option<RunKey>,
    /// Epoch of the order.
    pub(super) epoch: OwnerEpoch,
}

impl PendingOrder {
    /// Creates an order that has not been sent yet.
    pub(super) fn new(kind: OrderKind, executor: ExecutorKey, run: Option<RunKey>) -> Self {
        Self { kind, executor, run, epoch: 0 }
    }
}

impl JobScheduler {
    pub(super) fn send_order(
        &mut self,
        pending: PendingOrder,
        request: OrderRequest,
        timeout: Duration,
    ) -> OrderId {
        self.last_order += 1;
        let id = self.last_order;
        let executor = &mut self.executors[pending.executor];
        if request.affects_later_incarnation() {
            executor.ordered_epoch = Some(self.epoch);
        }
        let order = ExecutorOrder {
            id,
            executor: executor.name.clone(),
            address: executor.address,
            epoch: self.epoch,
            request,
            timeout,
            valid_until: self.authority_until,
        };
        self.starts_in_flight += usize::from(pending.kind == OrderKind::Start);
        self.orders.insert(id, PendingOrder { epoch: self.epoch, ..pending });
        self.effects.push(JobEffect::Order(order));
        id
    }

    pub(super) fn on_order_completed(
        &mut self,
        id: OrderId,
        result: Result<OrderReply, OrderFailure>,
    ) {
        let Some(pending) = self.orders.remove(&id) else { return };
        if pending.kind == OrderKind::Start {
            self.starts_in_flight -= 1;
            // A pass may have ended because of the limit on starts in flight.
            self.pass_needed = true;
        }
        let fenced = matches!(result, Ok(OrderReply::Rejected { reason: RejectReason::Fence }));
        if fenced && pending.epoch < self.epoch {
            return self.on_order_overtaken(id, pending);
        }
        if fenced {
            self.effects.push(JobEffect::Fenced);
            return;
        }
        if pending.kind == OrderKind::Hold {
            return self.on_hold_completed(pending.executor, result);
        }
        let Some(run) = pending.run.filter(|run| self.runs.contains_key(*run)) else { return };
        if self.runs[run].order == Some(id) {
            self.runs[run].order = None;
        }
        match pending.kind {
            OrderKind::Start => self.on_start_completed(run, result),
            OrderKind::Stop => self.on_stop_completed(run, result),
            OrderKind::Hold => {}
        }
    }

    /// Has an order sent again that an executor rejected because one of the raised epoch, sent later,
    /// came first.
    fn on_order_overtaken(&mut self, id: OrderId, pending: PendingOrder) {
        let now = self.now;
        if pending.kind == OrderKind::Hold {
            let hold = &mut self.executors[pending.executor].hold;
            (hold.order, hold.next_at) = (None, now);
        }
        let Some(run) = pending.run.and_then(|run| self.runs.get_mut(run)) else { return };
        if run.order == Some(id) {
            (run.order, run.next_order_at) = (None, now);
        }
    }

    /// Creates a run of a task on an executor and sends its start.
    pub(super) fn start_run(
        &mut self,
        job_key: JobKey,
        task: TaskIndex,
        number: RunNumber,
        executor_key: ExecutorKey,
    ) {
        let now = self.now;
        let (occurrence, step) = self.jobs[job_key].layout.position(task);
        let ticket = self.ticket((job_key, occurrence, step), executor_key).map(str::to_owned);
        let job = &self.jobs[job_key];
        let expected = self.expected_run(job, &job.record.steps[step]);
        let job = &mut self.jobs[job_key];
        let mut run =
            RunState { ticket, ..RunState::new((job_key, job), task, number, executor_key, now) };
        run.expected = expected.unwrap_or(run.expected);
        let state = &mut job.tasks[task as usize];
        state.phase = TaskPhase::Active;
        state.last_run = state.last_run.max(number);
        let waited = now.saturating_sub(state.ready_since);
        job.ready.remove(&task);
        let (id, queue) = (job.id, job.record.terms.queue.clone());
        let kind = match (run.best_effort, run.latency_critical) {
            (true, _) => "filling",
            (false, true) => "serving",
            (false, false) => "reserving",
        };
        let image = run.image;
        self.record_calm_start(executor_key, job_key, step);
        let key = self.add_run(run);
        let executor = &self.executors[executor_key];
        let detail = format!(
            "task={} kind={kind} image={image} run={number} executor={} waited_ms={} idle_cpu={} \
             reserved_cpu={} filling={} serving={} slowness={}",
            task,
            executor.name,
            waited.as_millis(),
            executor.capacity.cpu_millis as i64
                - i64::from(executor.reserved.cpu_millis + executor.best_effort_cpu),
            executor.reserved.cpu_millis,
            executor.best_effort_tasks,
            executor.latency_critical_tasks,
            executor.record.slowness(),
        );
        self.log(RUN_STARTED, Some(id), detail);
        self.measure("task.wait", &queue, Some(waited));
        self.note_reserved_start((job_key, occurrence, step), task, executor_key);
        self.send_start(key);
    }

    /// Adds a run and reserves its resources.
    pub(super) fn add_run(&mut self, run: RunState) -> RunKey {
        let (job, task, executor_key) = (run.job, run.task, run.executor);
        self.update_pair_counts(executor_key, false);
        self.executors[executor_key].reserve(&run);
        self.update_pair_counts(executor_key, true);
        let key = self.runs.insert(run);
        self.executors[executor_key].runs.push(key);
        self.update_losses(executor_key);
        self.jobs[job].tasks[task as usize].runs.push(key);
        key
    }

    /// Removes a run and releases its resources.
    pub(super) fn remove_run(&mut self, key: RunKey) -> Option<RunState> {
        let run = self.runs.remove(key)?;
        self.update_pair_counts(run.executor, false);
        if let Some(executor) = self.executors.get_mut(run.executor) {
            executor.runs.retain(|other| *other != key);
            executor.release(&run);
            if run.best_effort {
                executor.recently_ended.retain(|task| task.at + TAIL_WINDOW > self.now);
                executor.recently_ended.push(EndedTask {
                    image: run.image,
                    cpu_millis: run.needs.cpu_millis,
                    since: run.since,
                    at: self.now,
                });
            }
            self.update_losses(run.executor);
        }
        self.update_pair_counts(run.executor, true);
        self.jobs[run.job].tasks[run.task as usize].runs.retain(|other| *other != key);
        self.pass_needed = true;
        Some(run)
    }

    fn name_of(&self, run: &RunState) -> TaskName {
        let job = &self.jobs[run.job];
        job.layout.name(job.id, run.task)
    }

    fn send_start(&mut self, key: RunKey) {
        let executor_key = self.runs[key].executor;
        let Some(lease_until) = self.grant_lease(executor_key) else { return };
        let run = &self.runs[key];
        let job = &self.jobs[run.job];
        let request = OrderRequest::Start {
            task: self.name_of(run),
            run: run.number,
            payload: job.record.payload.clone(),
            lease_until,
            checkpoint: job.tasks[run.task as usize].checkpoint.clone(),
            ticket: run.ticket.clone(),
        };
        let pending = PendingOrder::new(OrderKind::Start, executor_key, Some(key));
        let order = self.send_order(pending, request, ORDER_TIMEOUT);
        let run = &mut self.runs[key];
        run.sends += 1;
        run.order = Some(order);
    }

    fn on_start_completed(&mut self, key: RunKey, result: Result<OrderReply, OrderFailure>) {
        let now = self.now;
        let logical_time = self.next_logical_time();
        let run = &mut self.runs[key];
        let sent_once = run.sends == 1;
        let executor = run.executor;
        match result {
            // Stale means that the executor has received an earlier copy of this start. The next
            // hold reports whether the run still exists.
            Ok(OrderReply::Done { .. })
            | Ok(OrderReply::Rejected { reason: RejectReason::Stale }) => {
                run.confirm(now, logical_time);
                let job = run.job;
                self.jobs[job].started = true;
            }
            Ok(OrderReply::Held(_)) => {}
            Ok(OrderReply::Rejected { reason }) => {
                if reason == RejectReason::Ticket {
                    let run = &self.runs[key];
                    let (occurrence, step) = self.jobs[run.job].layout.position(run.task);
                    self.drop_ticket((run.job, occurrence, step), executor);
                }
                if reason == RejectReason::Room {
                    self.executors[executor].no_starts_until = now + REJECT_PAUSE;
                }
                self.give_up_start(key, sent_once, &format!("{reason:?}"));
            }
            Err(OrderFailure::Unhealthy) => {
                self.executors[executor].record.quarantine(now);
                self.give_up_start(key, sent_once, "unhealthy");
            }
            Err(OrderFailure::NotSent) => {
                self.executors[executor].no_starts_until = now + REJECT_PAUSE;
                if sent_once {
                    self.give_up_start(key, true, "not sent");
                } else {
                    self.runs[key].next_order_at = now + ORDER_RETRY;
                }
            }
            Err(OrderFailure::Malformed | OrderFailure::Replaced) => {
                self.give_up_start(key, sent_once, "order malformed or executor replaced");
            }
            Err(OrderFailure::Lost) => {
                run.lost_sends += 1;
                run.next_order_at = now + ORDER_RETRY;
            }
        }
    }

    /// Handles a start that failed for good. If the start was sent more than once, an earlier copy
    /// may still arrive, so the run is stopped instead of removed.
    fn give_up_start(&mut self, key: RunKey, sent_once: bool, reason: &str) {
        let run = &self.runs[key];
        let id = self.jobs[run.job].id;
        let detail = format!(
            "task={} run={} executor={} sends={} reason={reason}",
            run.task, run.number, self.executors[run.executor].name, run.sends
        );
        self.log(RUN_REJECTED, Some(id), detail);
        self.measure("start.rejected", "", None);
        if !sent_once {
            return self.stop_run(key, "an earlier copy of its start may still arrive");
        }
        let Some(run) = self.remove_run(key) else { return };
        self.requeue_unstarted_task(run.job, run.task);
    }

    /// Sends the stop of a run. Its resources are released when the executor reports that the run
    /// has ended.
    pub(super) fn stop_run(&mut self, key: RunKey, reason: &str) {
        let now = self.now;
        let run = &mut self.runs[key];
        run.phase = RunPhase::Stopping;
        run.next_order_at = now;
        let id = self.jobs[run.job].id;
        let detail = format!(
            "task={} run={} executor={} reason={reason:?}",
            run.task, run.number, self.executors[run.executor].name
        );
        self.log(RUN_STOPPED, Some(id), detail);
        self.send_stop(key);
    }

    fn send_stop(&mut self, key: RunKey) {
        let run = &self.runs[key];
        let request = OrderRequest::Stop { task: self.name_of(run), run: run.number };
        let pending = PendingOrder::new(OrderKind::Stop, run.executor, Some(key));
        let order = self.send_order(pending, request, ORDER_TIMEOUT);
        self.runs[key].order = Some(order);
    }

    fn on_stop_completed(&mut self, key: RunKey, result: Result<OrderReply, OrderFailure>) {
        let now = self.now;
        let logical_time = self.next_logical_time();
        let run = &mut self.runs[key];
        match result {
            Ok(OrderReply::Done { .. }) => {
                run.stop_confirmed = true;
                run.confirmed.get_or_insert(logical_time);
            }
            _ => run.next_order_at = now + ORDER_RETRY,
        }
    }

    /// Resends starts and stops that got no usable reply, those due first before others.
    pub(super) fn resend_orders(&mut self) {
        let now: MonotonicTime = self.now;
        let mut due: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.order.is_none() && now >= run.next_order_at)
            .filter(|(_, run)| match run.phase {
                RunPhase::Starting => true,
                RunPhase::Stopping => !run.stop_confirmed,
                RunPhase::Running => false,
            })
            .filter(|(_, run)| self.executors[run.executor].hold.failures == 0)
            .map(|(key, _)| key)
            .collect();
        due.sort_by_key(|key| self.runs[*key].next_order_at);
        let is_repeated = |run: &&RunState| {
            run.phase == RunPhase::Starting && run.sends > 1 && run.order.is_some()
        };
        let repeated = self.runs.values().filter(is_repeated).count();
        let mut left =
            (self.max_starts_in_flight / REPEATED_STARTS_DIVISOR).saturating_sub(repeated);
        for key in due {
            match self.runs[key].phase {
                RunPhase::Starting if left == 0 => {}
                RunPhase::Starting => {
                    left -= 1;
                    self.send_start(key);
                }
                _ => self.send_stop(key),
            }
        }
    }
}
