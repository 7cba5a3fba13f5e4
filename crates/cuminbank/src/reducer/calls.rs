//! Urgent calls: tickets, forwarding, dispatch and answers.

use std::{collections::HashMap, time::Duration};

use crate::{
    effect::{CallerAnswer, EntryEffect},
    event::{CallRequest, ExchangeError, ExecutorAnswer, ListedRole},
    ids::{ClassName, ExchangeId, GroupIndex, MonotonicTime, OwnerEpoch, ReplyId, TargetName},
    membership::{TargetEntry, TargetState},
    message::{PeerReply, TicketHandover},
    settings::EntrySettings,
};

use super::{
    groups::GroupChange,
    records::RecordPart,
    step::{ReducerPart, StepContext},
    CallView,
};

/// Urgent calls.
#[derive(Debug)]
pub struct CallPart {
    running: HashMap<ExchangeId, (ReplyId, TargetName)>,
    held: HashMap<TargetName, u32>,
    sequence: u64,
}

impl CallPart {
    fn free_executor<'a>(
        &self,
        view: CallView<'a>,
        now: MonotonicTime,
    ) -> Option<(&'a TargetEntry, MonotonicTime)> {
        view.groups.targets().targets.values().find_map(|target| {
            let ListedRole::Executor { slots, .. } = target.role else { return None };
            let held = self.held.get(&target.name).copied().unwrap_or(0);
            let until = view.groups.right_until(target.group, now)?;
            (target.state == TargetState::Live && held < slots).then_some((target, until))
        })
    }
}

#[allow(clippy::too_many_arguments, unused_variables, reason = "skeleton")]
impl CallPart {
    /// Creates the part.
    pub fn new(settings: &EntrySettings) -> Self {
        Self { running: HashMap::new(), held: HashMap::new(), sequence: 0 }
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
        let Some(profile) = view.config.profile(&call.profile) else {
            step.answer(reply, CallerAnswer::new_not_run(404, "there is no such profile"));
            return;
        };
        let Some((target, valid_until)) = self.free_executor(view, step.now()) else {
            step.answer(reply, CallerAnswer::new_busy("no free slot", Duration::from_secs(1)));
            return;
        };
        let exchange = step.begin_exchange(ReducerPart::Calls);
        let epoch = view.groups.epoch(target.group).unwrap_or(0);
        let zone = &step.settings.zone;
        let call_id = format!("{zone}-{}-{epoch}-{}", target.group, self.sequence);
        self.sequence += 1;
        *self.held.entry(target.name.clone()).or_default() += 1;
        self.running.insert(exchange, (reply, target.name.clone()));
        step.push(EntryEffect::Dispatch {
            exchange,
            address: target.address,
            call_id,
            body: call.body,
            valid_until,
            timeout: profile.max_run(),
        });
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
        let Some((reply, target)) = self.running.remove(&exchange) else { return };
        let answer = match result {
            Ok(answer) => CallerAnswer::new_done(answer.status, answer.body),
            Err(ExchangeError::NotSent) => CallerAnswer::new_not_run(503, "nothing was sent"),
            Err(_) => {
                // The slot stays held: the executor may still run the call.
                step.answer(reply, CallerAnswer::new_unknown("the answer was lost"));
                return;
            }
        };
        if let Some(held) = self.held.get_mut(&target) {
            *held = held.saturating_sub(1);
        }
        step.answer(reply, answer);
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
