//! Submissions, status and result queries, and cancellations at the owner of a task's group.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    effect::CallerAnswer,
    event::{TaskQuery, TaskSubmission},
    ids::MonotonicTime,
    ledger::{TaskBody, TaskId, TaskState, MAX_TEXT_BYTES},
    profile::WorkKind,
    reducer::step::StepContext,
};

use super::{
    group::{GroupView, TaskGroup, TaskWaiter},
    journal::{StagedSubmission, STORE_STALL_LIMIT},
};

const RETRY_SOON: Duration = Duration::from_millis(500);
const RETRY_STALLED: Duration = Duration::from_secs(2);

impl TaskGroup {
    /// Handles a submission. An accepted task is answered after its entry is committed, a refused
    /// one at once.
    pub fn submit(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        waiter: TaskWaiter,
        submission: TaskSubmission,
    ) {
        let task = TaskId::of(&submission.ticket);
        if submission.ticket.epoch > self.epoch {
            let reason = "the ticket was not issued by its home";
            return waiter.answer(step, CallerAnswer::new_not_run(400, reason));
        }
        // Only the ledger shows whether the ticket was accepted earlier.
        let may_be_known = self.reopened || submission.ticket.epoch < self.epoch;
        if !self.journal.loaded && may_be_known {
            let reason = "the task ledger is being read";
            return waiter.answer(step, CallerAnswer::new_unknown(reason));
        }
        let submission_epoch = submission.ticket.epoch;
        let body = TaskBody::from(submission);
        if self.answer_resubmission(step, waiter, task, &body) {
            return;
        }
        if submission_epoch < self.epoch && step.guards.earlier_epoch_refused {
            // A previous owner may have refused the ticket, and refusals are final. No later owner
            // accepts this ticket, so this refusal is final as well.
            let reason = "the ticket is of a former owner of its home; take a new one";
            return waiter.answer(step, CallerAnswer::new_busy(reason, RETRY_SOON));
        }
        let refusal = self.commit_refusal(step.now()).or_else(|| body_refusal(view, &body));
        if let Some(refusal) = refusal {
            self.refused.insert(step.now(), task);
            return waiter.answer(step, refusal);
        }
        let oversized = !self.workers.fits_any_worker(&body.size)
            && (view.fits_any_worker)(&body.size) == Some(false);
        let since = step.now();
        let staged = StagedSubmission { body, oversized, waiters: vec![waiter], since };
        self.staged.submit(task, staged);
    }

    /// Answers a repeated submission of a ticket. Returns false if the ticket is new.
    fn answer_resubmission(
        &mut self,
        step: &mut StepContext,
        waiter: TaskWaiter,
        task: TaskId,
        body: &TaskBody,
    ) -> bool {
        let mismatch = || CallerAnswer::new_not_run(409, "the ticket was used for another task");
        let accepted = CallerAnswer::new_accepted(&self.wire_id(task));
        if self.refused.contains(task) && step.guards.refusals_final {
            let reason = "the ticket was refused before; take a new one";
            waiter.answer(step, CallerAnswer::new_busy(reason, RETRY_SOON));
            return true;
        }
        if self.ledger.is_retired(task) {
            waiter.answer(step, accepted);
            return true;
        }
        if let Some(staged) = self.staged.submissions.get_mut(&task) {
            if staged.body == *body {
                staged.waiters.push(waiter);
            } else {
                waiter.answer(step, mismatch());
            }
            return true;
        }
        let Some(record) = self.ledger.get(task) else { return false };
        if record.fingerprint != body.fingerprint() {
            waiter.answer(step, mismatch());
            return true;
        }
        let now = step.now();
        match self.journal.segment_mut() {
            Some((segment, since))
                if segment.committed_states.get(&task).is_some_and(|n| n.is_empty()) =>
            {
                if now >= since + STORE_STALL_LIMIT {
                    let reason = "the store does not answer";
                    waiter.answer(step, CallerAnswer::new_unknown(reason));
                } else {
                    segment.accepted.entry(task).or_default().push(waiter);
                }
            }
            _ => waiter.answer(step, accepted),
        }
        true
    }

    /// Handles a status, result or cancel request.
    pub fn query(
        &mut self,
        step: &mut StepContext,
        waiter: TaskWaiter,
        task: TaskId,
        query: TaskQuery,
    ) {
        if !self.journal.loaded {
            let refusal = CallerAnswer::new_busy("the task ledger is being read", RETRY_SOON);
            return waiter.answer(step, refusal);
        }
        match query {
            TaskQuery::Status => waiter.answer(step, self.status_answer(task)),
            TaskQuery::Result => waiter.answer(step, self.result_answer(task)),
            TaskQuery::Cancel => self.cancel(step, waiter, task),
        }
    }

    fn cancel(&mut self, step: &mut StepContext, waiter: TaskWaiter, task: TaskId) {
        let now = step.now();
        if self.staged.submissions.contains_key(&task) {
            return self.staged.cancel(now, task, waiter);
        }
        let ended = self.ledger.get(task).is_none_or(|record| record.state.is_final());
        if ended && self.committed_state(task).is_none() {
            return waiter.answer(step, self.status_answer(task));
        }
        if let Some(refusal) = self.commit_refusal(now) {
            return waiter.answer(step, refusal);
        }
        self.staged.cancel(now, task, waiter);
    }

    /// Returns a refusal if no change can be committed now.
    fn commit_refusal(&self, now: MonotonicTime) -> Option<CallerAnswer> {
        if !self.journal.loaded || self.journal.fenced {
            return Some(CallerAnswer::new_busy("the task ledger is being read", RETRY_SOON));
        }
        let stalled = self.journal.is_stalled(now);
        stalled.then(|| CallerAnswer::new_busy("the store does not answer", RETRY_STALLED))
    }

    /// Returns the name of the last committed state of a task with a change in flight; empty if its
    /// acceptance is in flight. Returns `None` if no change is in flight.
    fn committed_state(&self, task: TaskId) -> Option<&'static str> {
        self.journal.segment().and_then(|segment| segment.committed_states.get(&task).copied())
    }

    /// Returns the last committed state of a task as an answer to a caller.
    pub(super) fn status_answer(&self, task: TaskId) -> CallerAnswer {
        let committed = self.committed_state(task);
        let is_new = committed == Some("") || self.staged.submissions.contains_key(&task);
        if is_new {
            return CallerAnswer::new_busy("the task is being stored", RETRY_SOON);
        }
        let Some(record) = self.ledger.get(task) else { return self.absent_answer(task) };
        let since = |at: Option<u64>| at.map(|at| at.saturating_sub(record.accepted_ms));
        let mut status = serde_json::json!({
            "task": self.wire_id(task),
            "state": committed.unwrap_or(record.state.name()),
            "attempt": record.last_attempt,
            "evictions": record.evictions,
            "failures": record.failures,
            "started_after_ms": since(record.started_ms),
            "ended_after_ms": since(record.ended_ms),
        });
        if let Some(placement) = &record.placement {
            status["worker"] = serde_json::json!(placement.worker);
        }
        if let (TaskState::Failed(reason), None) = (&record.state, committed) {
            status["reason"] = serde_json::json!(reason);
        }
        CallerAnswer::new_done(200, Bytes::from(status.to_string()))
    }

    fn result_answer(&self, task: TaskId) -> CallerAnswer {
        let unfinished = || CallerAnswer::new_not_run(409, "not finished");
        if self.committed_state(task).is_some() || self.staged.submissions.contains_key(&task) {
            return unfinished();
        }
        let Some(record) = self.ledger.get(task) else { return self.absent_answer(task) };
        let TaskState::Finished(result) = &record.state else {
            return if record.state.is_final() { self.status_answer(task) } else { unfinished() };
        };
        // The result is stored as JSON text and is inserted as text, which avoids the cost of
        // parsing it.
        let id = self.wire_id(task);
        let body = format!(r#"{{"task":"{id}","state":"finished","result":{result}}}"#);
        CallerAnswer::new_done(200, Bytes::from(body))
    }

    fn absent_answer(&self, task: TaskId) -> CallerAnswer {
        if self.ledger.is_retired(task) {
            let status = serde_json::json!({ "task": self.wire_id(task), "state": "expired" });
            return CallerAnswer::new_done(200, Bytes::from(status.to_string()));
        }
        CallerAnswer::new_not_run(404, "the task is not known")
    }

    /// Returns the status of the group for operators, as JSON.
    pub fn status(&self, now: MonotonicTime) -> serde_json::Value {
        serde_json::json!({
            "group": self.group,
            "epoch": self.epoch,
            "loaded": self.journal.loaded,
            "stalled": self.journal.is_stalled(now),
            "tasks": self.ledger.len(),
            "queued": self.queue.len(),
            "running": self.runs.len(),
            "workers": self.workers.iter().count(),
        })
    }
}

/// Returns the refusal of an invalid submission; `None` if it is valid.
fn body_refusal(view: &GroupView<'_>, body: &TaskBody) -> Option<CallerAnswer> {
    let Some(profile) = (view.profile)(&body.profile) else {
        return Some(CallerAnswer::new_not_run(404, "the profile does not exist"));
    };
    if profile.kind != WorkKind::Batch {
        return Some(CallerAnswer::new_not_run(400, "the profile is not for batch tasks"));
    }
    if body.input.len() > profile.max_body_bytes.min(MAX_TEXT_BYTES) {
        return Some(CallerAnswer::new_not_run(413, "the input is too long"));
    }
    if serde_json::from_str::<serde::de::IgnoredAny>(&body.input).is_err() {
        return Some(CallerAnswer::new_not_run(400, "the input is not JSON"));
    }
    if body.size.millicores == 0 {
        return Some(CallerAnswer::new_not_run(400, "the size has no cores"));
    }
    None
}
