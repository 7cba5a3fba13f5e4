//! Polling of workers: lease renewals, lists of attempts, and adoption of attempts after a
//! takeover.

use std::{collections::HashMap, time::Duration};

use crate::{
    event::ExchangeError,
    ids::{AttemptNumber, MonotonicTime},
    ledger::{JournalEntry, TaskId, MAX_TEXT_BYTES},
    log::TASK_ADOPTED,
    membership::TargetState,
    reducer::{
        step::{StepContext, TargetObservation},
        TRANSIT_BOUND,
    },
    worker::{
        AttemptEnd, EndedTask, ResourceSize, RunningTask, WorkerReply, WorkerReport, WorkerRequest,
    },
};

use super::group::{
    GroupExchange, GroupView, RunPhase, StopReason, TaskGroup, TaskModels, TaskRun,
    LEASE_EXPIRY_BOUND, WORKER_LEASE,
};

/// Time between two polls of a worker; each poll renews its leases and lists its attempts.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// An unanswered list request counts as proof that the worker was unreachable when a lease expired
/// if it was sent at most this long before the expiry, or later. This is the sum of poll interval
/// and request timeout, plus 1 s.
const LIST_EVIDENCE_WINDOW: Duration = Duration::from_secs(4);

/// Relation of a reported attempt to the ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunMatch {
    /// The ledger places the attempt on this worker.
    Known,
    /// The ledger places the attempt on this worker, and this is the first report to confirm it
    /// after a takeover.
    Adopted,
    /// The ledger does not place the attempt on this worker.
    Foreign,
}

impl TaskGroup {
    /// Polls the workers that are due and ends attempts whose leases have expired.
    pub(super) fn poll_due_workers(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        models: &TaskModels,
    ) {
        let now = step.now();
        while let Some(name) = self.workers.take_due(now, now + POLL_INTERVAL) {
            self.expire_leases(now, &name, step.guards.lost_lease_awaited);
            self.update_free_index(now, view, Some(models), &name);
            if self.workers.get(&name).is_none_or(|worker| worker.ended) || now < self.probe_from {
                continue;
            }
            self.renew(step, view, &name);
            self.request_list(step, view, &name);
            self.retry_stops(step, view, &name);
        }
    }

    /// Ends the attempts of an unreachable worker whose leases have certainly expired. With `wait`
    /// false, which only tests use, attempts end without this wait.
    fn expire_leases(&mut self, now: MonotonicTime, name: &str, wait: bool) {
        let Some(worker) = self.workers.get(name) else { return };
        let mut expired = Vec::new();
        for task in &worker.runs {
            let Some(run) = self.runs.get(task) else { continue };
            let may_run = matches!(run.phase, RunPhase::Running | RunPhase::Unconfirmed(_));
            let expired_at = if wait {
                run.lease_expires_at
            } else {
                run.lease_expires_at.saturating_sub(LEASE_EXPIRY_BOUND)
            };
            // After a pause of this process the leases have expired too, but the worker may have
            // finished an attempt before. So attempts end only if the worker is unreachable.
            let unreachable = worker.ended
                || worker
                    .unanswered_list_at
                    .is_some_and(|sent_at| sent_at + LIST_EVIDENCE_WINDOW >= expired_at);
            if may_run && unreachable && now >= expired_at {
                expired.push((*task, run.placement.attempt, run.checkpoint.clone()));
            }
        }
        for (task, attempt, checkpoint) in expired {
            self.stage_end(JournalEntry::Interrupted(task, attempt, checkpoint), None);
        }
    }

    fn renew(&mut self, step: &mut StepContext, view: &GroupView<'_>, name: &str) {
        let now = step.now();
        let Some(worker) = self.workers.get(name) else { return };
        if worker.renewing || worker.is_silent(now) {
            return;
        }
        let running = |task: &TaskId| {
            let run = self.runs.get(task)?;
            (run.phase == RunPhase::Running).then_some((*task, run.placement.attempt))
        };
        let tasks: Vec<_> = worker.runs.iter().filter_map(running).collect();
        if tasks.is_empty() {
            return;
        }
        let request = WorkerRequest::Renew {
            lease_ms: WORKER_LEASE.as_millis() as u64,
            tasks: tasks.iter().map(|(task, attempt)| (self.wire_id(*task), *attempt)).collect(),
        };
        let exchange = GroupExchange::Renew(name.to_owned(), tasks.clone());
        let Some(valid_until) = self.call_worker(step, view, name, request, exchange) else {
            return;
        };
        for (task, _) in tasks {
            if let Some(run) = self.runs.get_mut(&task) {
                run.lease_expires_at = run.lease_expires_at.max(valid_until + LEASE_EXPIRY_BOUND);
            }
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.renewing = true;
        }
    }

    fn request_list(&mut self, step: &mut StepContext, view: &GroupView<'_>, name: &str) {
        let Some(worker) = self.workers.get(name) else { return };
        if worker.listing {
            return;
        }
        let since = worker.committed_end;
        let exchange = GroupExchange::List(name.to_owned(), step.now());
        let request = WorkerRequest::List { since };
        if self.call_worker(step, view, name, request, exchange).is_none() {
            return;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.listing = true;
        }
    }

    /// Records whether a worker answered a request.
    pub(super) fn record_reachability(
        &mut self,
        step: &mut StepContext,
        name: &str,
        result: &Result<WorkerReply, ExchangeError>,
    ) {
        let answered = matches!(result, Ok(_) | Err(ExchangeError::Refused(_)));
        if !answered {
            self.reset_end_sequence(name);
            return step.observe(TargetObservation::Silent(name.to_owned()));
        }
        step.observe(TargetObservation::Answered(name.to_owned()));
        if let Some(worker) = self.workers.get_mut(name) {
            worker.answered_at = Some(step.now());
        }
    }

    /// Makes the next list request all ends. A worker that restarted under the same name numbers
    /// its ends from the beginning again, so with the old sequence number it would not report them.
    fn reset_end_sequence(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name) {
            (worker.last_seen_end, worker.committed_end) = (0, 0);
        }
    }

    pub(super) fn on_renewed(
        &mut self,
        step: &mut StepContext,
        name: &str,
        tasks: &[(TaskId, AttemptNumber)],
        result: &Result<WorkerReply, ExchangeError>,
    ) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.renewing = false;
        }
        let Ok(WorkerReply::Renewed { missing }) = result else { return };
        for text in missing {
            let Some(task) = self.task_from_wire_id(text) else { continue };
            let Some((_, attempt)) = tasks.iter().find(|(renewed, _)| *renewed == task) else {
                continue;
            };
            self.mark_unconfirmed(step.now(), name, task, *attempt);
        }
    }

    /// Marks a running attempt as unconfirmed. A list requested at or after `at` shows whether it
    /// runs.
    pub(super) fn mark_unconfirmed(
        &mut self,
        at: MonotonicTime,
        name: &str,
        task: TaskId,
        attempt: AttemptNumber,
    ) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        if run.placement.attempt == attempt && run.phase == RunPhase::Running {
            run.phase = RunPhase::Unconfirmed(at);
            self.workers.poll_by(name, at);
        }
    }

    /// Handles the report of a worker: its attempts, its ends, its usage and whether it is leaving.
    pub(super) fn on_listed(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        models: &mut TaskModels,
        name: &str,
        sent_at: MonotonicTime,
        result: &Result<WorkerReply, ExchangeError>,
    ) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.listing = false;
        let Ok(WorkerReply::Listed(report)) = result else {
            worker.unanswered_list_at = Some(sent_at);
            return;
        };
        worker.unanswered_list_at = None;
        self.scheduling_needed |= !worker.listed;
        worker.listed = true;
        if report.leaving && worker.state != TargetState::Leaving {
            worker.state = TargetState::Leaving;
            step.observe(TargetObservation::Leaving(name.to_owned()));
        } else if !report.leaving && worker.state == TargetState::Leaving {
            step.observe(TargetObservation::Staying(name.to_owned()));
        }
        self.process_ends(step, name, &report.ended);
        self.process_running(step, view, name, sent_at, report);
        self.resolve_missing(name, sent_at, report);
        self.process_usage(step, view, models, name, report);
        let state = self.workers.get(name).map(|worker| worker.state);
        if state == Some(TargetState::Leaving) {
            self.drain_worker(step, view, name);
        }
        self.update_free_index(step.now(), view, Some(models), name);
    }

    fn process_ends(&mut self, step: &mut StepContext, name: &str, ends: &[EndedTask]) {
        let last_seen = self.workers.get(name).map_or(0, |worker| worker.last_seen_end);
        for ended in ends {
            let Some(task) = self.task_from_wire_id(&ended.task) else { continue };
            let is_open = self.runs.get(&task).is_some_and(|run| {
                run.placement.attempt == ended.attempt
                    && run.placement.worker == name
                    && run.phase != RunPhase::Ended
            });
            if is_open {
                self.process_end(step, name, task, ended.attempt, &ended.end);
            } else if ended.sequence > last_seen {
                self.process_late_end(name, task, ended.attempt, &ended.end);
            }
        }
        let highest = ends.iter().map(|ended| ended.sequence).max().unwrap_or(0);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.last_seen_end = worker.last_seen_end.max(highest);
            if worker.uncommitted_ends == 0 {
                worker.committed_end = worker.last_seen_end;
            }
        }
    }

    /// Handles the reported end of an attempt whose end is not staged yet.
    pub(super) fn process_end(
        &mut self,
        step: &mut StepContext,
        name: &str,
        task: TaskId,
        attempt: AttemptNumber,
        end: &AttemptEnd,
    ) {
        match end {
            AttemptEnd::Finished { .. } => {
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.health.record_success(step.now(), &task);
                }
            }
            AttemptEnd::Failed { .. } => self.record_attempt_failure(step, task, name),
            AttemptEnd::LeaseLapsed { .. } => {}
        }
        let entry = end_entry(task, attempt, end, self.run_checkpoint(task));
        self.stage_end(entry, Some(name));
    }

    /// Handles the end of an attempt that is reported after the attempt was given up. A result
    /// still completes the task, and a later attempt of the task is stopped.
    fn process_late_end(
        &mut self,
        name: &str,
        task: TaskId,
        attempt: AttemptNumber,
        end: &AttemptEnd,
    ) {
        let AttemptEnd::Finished { .. } = end else { return };
        let Some(record) = self.ledger.get(task) else { return };
        let is_repeat = record.finished_by == Some(attempt);
        if is_repeat || attempt > record.last_attempt {
            return;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.uncommitted_ends += 1;
        }
        // A later attempt whose start was not sent yet need not run.
        let unsent = |run: &&mut TaskRun| run.phase == RunPhase::Committing;
        if let Some(run) = self.runs.get_mut(&task).filter(unsent) {
            run.stop = Some(StopReason::Cancel);
        }
        self.staged.push(end_entry(task, attempt, end, None), Some(name.to_owned()));
    }

    fn process_running(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        name: &str,
        sent_at: MonotonicTime,
        report: &WorkerReport,
    ) {
        let mut foreign = ResourceSize::default();
        for running in &report.running {
            let Some(task) = self.task_from_wire_id(&running.task) else { continue };
            let confirmed = self.confirm_run(step, name, task, sent_at, running);
            if confirmed == RunMatch::Adopted {
                // The previous owner may have throttled the attempt.
                self.set_cpu_share(step, view, name, task, 100);
            }
            if confirmed == RunMatch::Foreign {
                let size = self.ledger.get(task).map(|record| record.body.size);
                foreign = foreign.plus(&size.unwrap_or_default());
                self.stop_foreign(step, view, name, task, running.attempt);
            }
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.foreign = foreign;
        }
        self.retry_stops(step, view, name);
    }

    /// Matches an attempt that a worker reports as running with the ledger, and confirms it.
    fn confirm_run(
        &mut self,
        step: &mut StepContext,
        name: &str,
        task: TaskId,
        sent_at: MonotonicTime,
        running: &RunningTask,
    ) -> RunMatch {
        let Some(run) = self.runs.get_mut(&task) else { return RunMatch::Foreign };
        let placement = &run.placement;
        if placement.attempt != running.attempt || placement.worker != name {
            return RunMatch::Foreign;
        }
        if running.checkpoint.is_some() {
            run.checkpoint.clone_from(&running.checkpoint);
        }
        let RunPhase::Unconfirmed(from) = run.phase else { return RunMatch::Known };
        if sent_at < from {
            return RunMatch::Known;
        }
        run.phase = RunPhase::Running;
        let is_new = run.confirmed_at.is_none();
        run.confirmed_at.get_or_insert(step.now());
        if !(is_new && run.inherited) {
            return RunMatch::Known;
        }
        step.log(TASK_ADOPTED, format!("{} on {name}", running.task));
        RunMatch::Adopted
    }

    /// Stops an attempt that the ledger does not place on the worker, because this owner considered
    /// its lease expired or placed its task elsewhere.
    fn stop_foreign(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        name: &str,
        task: TaskId,
        attempt: AttemptNumber,
    ) {
        let request = WorkerRequest::Stop { task: self.wire_id(task), attempt, checkpoint: false };
        let exchange = GroupExchange::Stop(task, attempt, name.to_owned());
        self.call_worker(step, view, name, request, exchange);
    }

    /// Handles the attempts of a worker that its report contains neither as running nor as ended.
    fn resolve_missing(&mut self, name: &str, sent_at: MonotonicTime, report: &WorkerReport) {
        let Some(worker) = self.workers.get(name) else { return };
        let listed: HashMap<&str, AttemptNumber> =
            report.running.iter().map(|run| (run.task.as_str(), run.attempt)).collect();
        let mut missing = Vec::new();
        for task in &worker.runs {
            let Some(run) = self.runs.get(task) else { continue };
            let attempt = run.placement.attempt;
            if listed.get(self.wire_id(*task).as_str()) != Some(&attempt) {
                missing.push((*task, attempt, run.phase, run.confirmed_at));
            }
        }
        for (task, attempt, phase, confirmed_at) in missing {
            match phase {
                // The stop took effect, but its answer was lost. Another stop request returns the
                // checkpoint again.
                RunPhase::Unconfirmed(from) if sent_at >= from && self.is_eviction(task) => {
                    if let Some(run) = self.runs.get_mut(&task) {
                        run.phase = RunPhase::Running;
                    }
                }
                RunPhase::Unconfirmed(from) if sent_at >= from => {
                    let checkpoint = self.run_checkpoint(task);
                    self.reset_end_sequence(name);
                    self.stage_end(JournalEntry::Interrupted(task, attempt, checkpoint), None);
                }
                // The worker may have answered the list before the start reached it.
                RunPhase::Running if confirmed_at.is_some_and(|at| sent_at >= at) => {
                    self.mark_unconfirmed(sent_at + TRANSIT_BOUND, name, task, attempt);
                }
                _ => {}
            }
        }
    }

    fn is_eviction(&self, task: TaskId) -> bool {
        let stop = self.runs.get(&task).and_then(|run| run.stop);
        stop.is_some_and(|reason| reason != StopReason::Cancel)
    }

    pub(super) fn run_checkpoint(&self, task: TaskId) -> Option<String> {
        self.runs.get(&task).and_then(|run| run.checkpoint.clone())
    }
}

/// Converts the reported end of an attempt into its journal entry. A result over [`MAX_TEXT_BYTES`]
/// becomes a failure.
pub(super) fn end_entry(
    task: TaskId,
    attempt: AttemptNumber,
    end: &AttemptEnd,
    last_checkpoint: Option<String>,
) -> JournalEntry {
    match end {
        AttemptEnd::Finished { result } => {
            let text = result.to_string();
            if text.len() > MAX_TEXT_BYTES {
                let reason = format!("cannot run: the result is over {MAX_TEXT_BYTES} bytes");
                return JournalEntry::AttemptFailed(task, attempt, reason);
            }
            JournalEntry::Finished(task, attempt, text)
        }
        AttemptEnd::Failed { reason } => {
            let reason = reason.chars().take(1_000).collect();
            JournalEntry::AttemptFailed(task, attempt, reason)
        }
        AttemptEnd::LeaseLapsed { checkpoint } => {
            let checkpoint = checkpoint.clone().or(last_checkpoint);
            JournalEntry::Interrupted(task, attempt, checkpoint)
        }
    }
}
