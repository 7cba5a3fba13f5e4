//! Urgent calls: admission, queueing, dispatch to executors, forwarding to peers, tickets and
//! answers.

mod answers;
mod arrival;
mod dispatch;
mod executors;
mod forwarding;
mod ownership;
mod probes;
mod queueing;
mod state;
mod status;
pub mod tickets;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use slotmap::{SecondaryMap, SlotMap};

use crate::{
    admission::{QueueOrder, RetryBudget, RetrySchedule},
    effect::EntryEffect,
    event::{CallRequest, ExchangeError, ExecutorAnswer},
    health::TargetHealth,
    ids::{ClassName, ExchangeId, GroupIndex, MonotonicTime, OwnerEpoch, ReplyId, ZoneName},
    message::{PeerReply, TicketHandover},
    placement::{ExecutorKey, SlotLedger},
    runtimes::RuntimeEstimate,
    settings::{EntrySettings, PlacementPolicy},
};

use super::{groups::GroupChange, records::RecordPart, step::StepContext, CallView};

use self::{
    state::{
        CallRecord, CallWaiter, ExecutorMonitor, GroupTerm, OutstandingReplies, PendingCall,
        PendingDispatch, PendingForward, PendingProbe, WaiterOrigin,
    },
    tickets::TicketTable,
};

pub use self::state::CallKey;

/// State outside the call part that one step reads and writes.
struct CallContext<'a> {
    step: &'a mut StepContext,
    view: CallView<'a>,
    records: &'a mut RecordPart,
}

impl CallContext<'_> {
    fn now(&self) -> MonotonicTime {
        self.step.now()
    }
}

/// Tickets of an ownership term that has ended, kept for the handover to the next owner and for the
/// answers of calls that still run.
#[derive(Debug)]
struct EndedTerm {
    epoch: OwnerEpoch,
    tickets: TicketTable,
}

/// A call that a peer forwarded because this instance owns the group.
#[derive(Debug)]
pub struct ForwardedCall {
    /// Group whose executors should run the call.
    pub group: GroupIndex,
    /// The call itself.
    pub call: CallRequest,
    /// Time that the call had already spent at the peer.
    pub waited: Duration,
}

/// State of all urgent calls that this instance handles.
#[derive(Debug)]
pub struct CallPart {
    zone: ZoneName,
    policy: PlacementPolicy,
    calls: SlotMap<CallKey, CallRecord>,
    replies: OutstandingReplies,
    terms: BTreeMap<GroupIndex, GroupTerm>,
    ended_terms: BTreeMap<GroupIndex, EndedTerm>,
    executors: SlotLedger,
    monitors: SecondaryMap<ExecutorKey, ExecutorMonitor>,
    probe_times: BTreeSet<(MonotonicTime, ExecutorKey)>,
    probes: HashMap<ExchangeId, PendingProbe>,
    quarantine_ends: BTreeSet<(MonotonicTime, ExecutorKey)>,
    dispatches: HashMap<ExchangeId, PendingDispatch>,
    /// Dispatches, oldest first, that are not yet known to have run for longer than short calls do.
    unclassified: VecDeque<(MonotonicTime, ExchangeId)>,
    /// Dispatches to abort, by time, unless their response arrives first.
    aborts: BTreeSet<(MonotonicTime, ExchangeId)>,
    /// Calls with a lost response, by the latest time at which a probe may still allow a retry.
    awaiting_probe: BTreeSet<(MonotonicTime, CallKey)>,
    forwards: HashMap<ExchangeId, PendingForward>,
    /// Number of calls forwarded to peers and not answered yet, for each group.
    forwarded_per_group: HashMap<GroupIndex, u32>,
    ticket_forwards: HashMap<ExchangeId, ReplyId>,
    pending: Vec<PendingCall>,
    retry_schedule: RetrySchedule,
    runtimes: RuntimeEstimate,
    health: TargetHealth,
    budget: RetryBudget,
}

impl CallPart {
    /// Creates the part without any calls, groups or executors.
    pub fn new(settings: &EntrySettings) -> Self {
        let long_limit = match settings.policy {
            PlacementPolicy::Learned => settings.long_slots,
            PlacementPolicy::LeastLoaded | PlacementPolicy::RandomQueue => u32::MAX,
        };
        Self {
            zone: settings.zone.clone(),
            policy: settings.policy,
            calls: SlotMap::with_key(),
            replies: OutstandingReplies::default(),
            terms: BTreeMap::new(),
            ended_terms: BTreeMap::new(),
            executors: SlotLedger::new(long_limit),
            monitors: SecondaryMap::new(),
            probe_times: BTreeSet::new(),
            probes: HashMap::new(),
            quarantine_ends: BTreeSet::new(),
            dispatches: HashMap::new(),
            unclassified: VecDeque::new(),
            aborts: BTreeSet::new(),
            awaiting_probe: BTreeSet::new(),
            forwards: HashMap::new(),
            forwarded_per_group: HashMap::new(),
            ticket_forwards: HashMap::new(),
            pending: Vec::new(),
            retry_schedule: RetrySchedule::default(),
            runtimes: RuntimeEstimate::default(),
            health: TargetHealth::default(),
            budget: RetryBudget::default(),
        }
    }

    /// Handles a call that a caller sent to this instance.
    pub fn on_call(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        records: &mut RecordPart,
        reply: ReplyId,
        call: CallRequest,
    ) {
        let waiter = CallWaiter::new(WaiterOrigin::Caller, reply, &call, step.now())
            .with_profile(view.config.profile(&call.profile));
        records.count_received(&waiter.profile, &waiter.customer);
        self.replies.add(reply);
        self.route(&mut CallContext { step, view, records }, waiter, call);
    }

    /// Handles a call that a peer forwarded. It is never forwarded a second time.
    pub fn on_forwarded_call(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        records: &mut RecordPart,
        reply: ReplyId,
        forwarded: ForwardedCall,
    ) {
        let ForwardedCall { group, call, waited } = forwarded;
        let arrived = step.now().saturating_sub(waited);
        let waiter = CallWaiter::new(WaiterOrigin::Peer, reply, &call, arrived)
            .with_profile(view.config.profile(&call.profile));
        self.replies.add(reply);
        self.accept_forwarded(&mut CallContext { step, view, records }, waiter, group, call);
    }

    /// Answers a caller with `count` new tickets, at most 100, or forwards the request to a peer.
    pub fn on_tickets_requested(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        reply: ReplyId,
        count: u32,
    ) {
        self.issue_to_caller(step, view, reply, count);
    }

    /// Answers a peer with `count` new tickets, at most 100, or with `NotOwner` if this instance
    /// owns no group.
    pub fn on_peer_ticket_request(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        reply: ReplyId,
        count: u32,
    ) {
        let answer = match self.issue_tickets(step, view, count) {
            Some(tickets) => PeerReply::Tickets(tickets),
            None => PeerReply::NotOwner,
        };
        step.push(EntryEffect::AnswerPeer { reply, answer });
    }

    /// Handles a caller that closed its connection: it gets no answer.
    pub fn on_caller_disconnected(&mut self, _step: &mut StepContext, reply: ReplyId) {
        self.replies.set_disconnected(reply);
    }

    /// Handles the response of an executor to a dispatch, or the failure of the dispatch.
    pub fn on_dispatch_ended(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        records: &mut RecordPart,
        exchange: ExchangeId,
        result: Result<ExecutorAnswer, ExchangeError>,
    ) {
        self.end_dispatch(&mut CallContext { step, view, records }, exchange, result);
    }

    /// Handles the result of a probe: the ids of the calls that the executor runs.
    pub fn on_probe_ended(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        records: &mut RecordPart,
        exchange: ExchangeId,
        result: Result<Vec<String>, ExchangeError>,
    ) {
        self.end_probe(&mut CallContext { step, view, records }, exchange, result);
    }

    /// Handles the reply of a peer to a forwarded call or ticket request.
    pub fn on_peer_ended(
        &mut self,
        step: &mut StepContext,
        records: &mut RecordPart,
        exchange: ExchangeId,
        result: Result<PeerReply, ExchangeError>,
    ) {
        if let Some(reply) = self.ticket_forwards.remove(&exchange) {
            self.end_ticket_forward(step, reply, result);
        } else if let Some(forward) = self.forwards.remove(&exchange) {
            self.end_forward(step, records, forward, result);
        }
    }

    /// Updates terms and executors after a change of ownership or of a target.
    pub fn on_group_change(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        records: &mut RecordPart,
        change: &GroupChange,
    ) {
        let context = &mut CallContext { step, view, records };
        match change {
            GroupChange::Acquired { group, epoch, probe_from, handover } => {
                self.begin_term(context, *group, *epoch, *probe_from, handover.clone());
            }
            GroupChange::Lost { group } => self.end_term(context, *group),
            GroupChange::TargetChanged { name } => self.update_target(context, name),
            GroupChange::TargetEnded { name, .. } => self.end_target(context, name),
            GroupChange::Drained => {}
        }
    }

    /// Runs the timers of probes, aborts, quarantines and retries. Starts queued calls, and refuses
    /// those that can no longer meet their deadline.
    pub fn on_tick(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        records: &mut RecordPart,
    ) {
        let context = &mut CallContext { step, view, records };
        self.end_silent_forwards(context);
        self.route_pending(context);
        self.mark_long_calls(context.now());
        self.end_quarantines(context);
        self.send_due_probes(context);
        self.send_due_aborts(context);
        self.end_overdue_lost(context);
        let groups: Vec<GroupIndex> = self.terms.keys().copied().collect();
        for group in groups {
            self.start_queued(context, group);
            self.refuse_expired(context, group);
        }
    }

    /// Returns the next sequence number and the ticket states of a group for its next owner.
    ///
    /// Call this only after [`GroupChange::Lost`] has ended the term: a ticket first used after
    /// this call would be missing from the result.
    pub fn handover_state(
        &self,
        group: GroupIndex,
        epoch: OwnerEpoch,
        now: MonotonicTime,
    ) -> (u64, Vec<TicketHandover>) {
        let ended = self.ended_terms.get(&group).filter(|term| term.epoch == epoch);
        ended.map_or((0, Vec::new()), |term| term.tickets.handover_state(now))
    }

    /// Returns the expected queueing time of a short call in a group; 5 s if no executor of it
    /// accepts calls.
    pub fn expected_wait(&self, group: GroupIndex, _now: MonotonicTime) -> Duration {
        self.estimate_wait(group, None).unwrap_or(queueing::UNKNOWN_WAIT)
    }

    /// Returns whether no call is queued, running, forwarded or waiting for an owner, and no request
    /// for tickets is forwarded.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
            && self.forwards.is_empty()
            && self.ticket_forwards.is_empty()
            && self.pending.is_empty()
    }

    /// Returns the classes of the calls of this process that run on a machine, each with its number
    /// of calls.
    pub fn classes_on(&self, machine: &str) -> Vec<(ClassName, u32)> {
        self.executors.classes_on(machine)
    }

    /// Returns the groups for which this instance has authority and has begun a term.
    fn usable_groups(&self, view: CallView<'_>, now: MonotonicTime) -> Vec<GroupIndex> {
        let mut groups = view.groups.owned(now);
        groups.retain(|group| self.terms.contains_key(group));
        groups
    }

    fn queue_order(&self) -> QueueOrder {
        match self.policy {
            PlacementPolicy::Learned => QueueOrder::Deadline,
            PlacementPolicy::LeastLoaded | PlacementPolicy::RandomQueue => QueueOrder::Arrival,
        }
    }
}
