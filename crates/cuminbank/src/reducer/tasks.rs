//! Batch tasks: journal, attempts, worker leases and evictions.

use crate::{
    effect::{CallerAnswer, EntryEffect},
    event::{ExchangeError, TaskQuery, TaskSubmission},
    ids::{ExchangeId, MonotonicTime, ReplyId, RequestTicket},
    message::PeerReply,
    settings::EntrySettings,
    store::StoreReply,
    worker::WorkerReply,
};

use super::{groups::GroupChange, records::RecordPart, step::StepContext, TaskView};

/// Batch tasks.
#[derive(Debug)]
pub struct TaskPart {}

#[allow(clippy::too_many_arguments, unused_variables, reason = "skeleton")]
impl TaskPart {
    /// Creates the part.
    pub fn new(settings: &EntrySettings) -> Self {
        Self {}
    }

    /// Handles a submission of a caller.
    pub fn on_submission(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        records: &mut RecordPart,
        reply: ReplyId,
        submission: TaskSubmission,
    ) {
        step.answer(reply, CallerAnswer::new_not_run(503, "not implemented"));
    }

    /// Handles a submission that a peer forwarded.
    pub fn on_forwarded_submission(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        records: &mut RecordPart,
        reply: ReplyId,
        submission: TaskSubmission,
    ) {
        step.push(EntryEffect::AnswerPeer { reply, answer: PeerReply::NotOwner });
    }

    /// Handles a caller's question about a task.
    pub fn on_query(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        reply: ReplyId,
        ticket: RequestTicket,
        query: TaskQuery,
    ) {
        step.answer(reply, CallerAnswer::new_not_run(503, "not implemented"));
    }

    /// Handles a question that a peer forwarded.
    pub fn on_forwarded_query(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        reply: ReplyId,
        ticket: RequestTicket,
        query: TaskQuery,
    ) {
        step.push(EntryEffect::AnswerPeer { reply, answer: PeerReply::NotOwner });
    }

    /// Handles the end of an exchange with a worker.
    pub fn on_worker_ended(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        records: &mut RecordPart,
        exchange: ExchangeId,
        result: Result<WorkerReply, ExchangeError>,
    ) {
    }

    /// Handles the end of an exchange with the store.
    pub fn on_store_ended(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        records: &mut RecordPart,
        exchange: ExchangeId,
        result: Result<StoreReply, ExchangeError>,
    ) {
    }

    /// Handles the end of an exchange with a peer.
    pub fn on_peer_ended(
        &mut self,
        step: &mut StepContext,
        records: &mut RecordPart,
        exchange: ExchangeId,
        result: Result<PeerReply, ExchangeError>,
    ) {
    }

    /// Handles a change of ownership or of a target.
    pub fn on_group_change(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        change: &GroupChange,
    ) {
    }

    /// Writes the journal, renews leases, starts, throttles and evicts tasks.
    pub fn on_tick(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        records: &mut RecordPart,
    ) {
    }

    /// Returns the predicted slowdown of a latency-critical class by the tasks that run on a
    /// machine now, 1.0 being none.
    pub fn slowdown(&self, machine: &str, class: &str) -> f64 {
        1.0
    }

    /// Returns the state shown to operators.
    pub fn status(&self, now: MonotonicTime) -> serde_json::Value {
        serde_json::json!({})
    }
}
