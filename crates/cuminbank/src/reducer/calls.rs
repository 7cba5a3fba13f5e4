//! Urgent calls: tickets, forwarding, dispatch and answers.

use std::time::Duration;

use crate::{
    effect::{CallerAnswer, EntryEffect},
    event::{CallRequest, ExchangeError, ExecutorAnswer},
    ids::{ClassName, ExchangeId, GroupIndex, MonotonicTime, OwnerEpoch, ReplyId},
    message::{PeerReply, TicketHandover},
    settings::EntrySettings,
};

use super::{groups::GroupChange, records::RecordPart, step::StepContext, CallView};

/// Urgent calls.
#[derive(Debug)]
pub struct CallPart {}

#[allow(clippy::too_many_arguments, unused_variables, reason = "skeleton")]
impl CallPart {
    /// Creates the part.
    pub fn new(settings: &EntrySettings) -> Self {
        Self {}
    }

    /// Handles a call of a caller.
    pub fn on_call(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        records: &mut RecordPart,
        reply: ReplyId,
        call: CallRequest,
    ) {
        step.answer(reply, CallerAnswer::new_not_run(503, "not implemented"));
    }

    /// Handles a call that a peer forwarded; it is never forwarded again.
    pub fn on_forwarded_call(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        records: &mut RecordPart,
        reply: ReplyId,
        group: GroupIndex,
        call: CallRequest,
        waited: Duration,
    ) {
        step.push(EntryEffect::AnswerPeer { reply, answer: PeerReply::NotOwner });
    }

    /// Issues tickets to a caller.
    pub fn on_tickets_wanted(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        reply: ReplyId,
        count: u32,
    ) {
        step.answer(reply, CallerAnswer::new_not_run(503, "not implemented"));
    }

    /// Issues tickets to a peer.
    pub fn on_peer_tickets(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        reply: ReplyId,
        count: u32,
    ) {
        step.push(EntryEffect::AnswerPeer { reply, answer: PeerReply::NotOwner });
    }

    /// Forgets a caller that closed its connection.
    pub fn on_caller_gone(&mut self, step: &mut StepContext, reply: ReplyId) {}

    /// Handles the end of a dispatch.
    pub fn on_dispatch_ended(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        records: &mut RecordPart,
        exchange: ExchangeId,
        result: Result<ExecutorAnswer, ExchangeError>,
    ) {
    }

    /// Handles the end of a probe.
    pub fn on_probe_ended(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        records: &mut RecordPart,
        exchange: ExchangeId,
        result: Result<Vec<String>, ExchangeError>,
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
        view: CallView<'_>,
        records: &mut RecordPart,
        change: &GroupChange,
    ) {
    }

    /// Refuses calls whose deadline can no longer be met, and starts what can start.
    pub fn on_tick(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        records: &mut RecordPart,
    ) {
    }

    /// Returns the state of a group's tickets for its next owner.
    pub fn handover_state(
        &self,
        group: GroupIndex,
        epoch: OwnerEpoch,
        now: MonotonicTime,
    ) -> (u64, Vec<TicketHandover>) {
        (0, Vec::new())
    }

    /// Returns the expected wait of a short call in a group.
    pub fn expected_wait(&self, group: GroupIndex, now: MonotonicTime) -> Duration {
        Duration::ZERO
    }

    /// Tells whether no call waits or runs.
    pub fn is_idle(&self) -> bool {
        true
    }

    /// Returns the classes that run on the executors of a machine, with the number of calls.
    pub fn classes_on(&self, machine: &str) -> Vec<(ClassName, u32)> {
        Vec::new()
    }

    /// Returns the state shown to operators.
    pub fn status(&self, now: MonotonicTime) -> serde_json::Value {
        serde_json::json!({})
    }
}
