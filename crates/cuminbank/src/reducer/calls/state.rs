//! Records of calls, their waiters, dispatches and executors under monitor.

use std::{
    collections::{BTreeMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use slotmap::new_key_type;

use crate::{
    admission::{CallQueue, QueueOrder, ReturnSchedule},
    effect::CallerAnswer,
    event::CallRequest,
    ids::{
        ClassName, CustomerName, ExchangeId, GroupIndex, MonotonicTime, OwnerEpoch, ProfileName,
        ReplyId,
    },
    placement::{ExecutorKey, HoldKey},
    profile::WorkProfile,
};

use super::tickets::TicketTable;

new_key_type! {
    /// Key of a call.
    pub struct CallKey;
}

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WaiterOrigin {
    Caller,
    Peer,
}

/// A caller or peer that waits, with what is needed to count its call.
#[derive(Clone, Debug)]
pub(super) struct CallWaiter {
    pub origin: WaiterOrigin,
    pub reply: ReplyId,
    pub profile: ProfileName,
    pub customer: CustomerName,
    pub class: ClassName,
    pub arrived: MonotonicTime,
    pub deadline: Option<MonotonicTime>,
    pub confirms_slot: bool,
}

impl CallWaiter {
    pub fn new(
        origin: WaiterOrigin,
        reply: ReplyId,
        call: &CallRequest,
        arrived: MonotonicTime,
    ) -> Self {
        Self {
            origin,
            reply,
            profile: call.profile.clone(),
            customer: call.customer.clone(),
            class: call.class.clone(),
            arrived,
            deadline: None,
            confirms_slot: false,
        }
    }

    pub fn with_profile(mut self, profile: Option<&WorkProfile>) -> Self {
        match profile {
            Some(profile) => {
                self.deadline = Some(self.arrived + profile.deadline());
                self.confirms_slot = profile.confirms_slot;
            }
            None => {
                // Callers may send any name; only names in force get a counter of their own.
                self.profile = "(unknown)".to_owned();
                self.class = "(unknown)".to_owned();
            }
        }
        self
    }
}

/// What happens to a call now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallStage {
    Queued,
    Running,
    /// The answer was lost; a probe decides whether the call may run again.
    AwaitingProbe,
}

/// A call that this instance decides about.
#[derive(Debug)]
pub(super) struct CallRecord {
    pub call: CallRequest,
    pub group: GroupIndex,
    pub epoch: OwnerEpoch,
    pub waiters: Vec<CallWaiter>,
    pub stage: CallStage,
    pub arrived: MonotonicTime,
    pub deadline: MonotonicTime,
    pub max_run: Duration,
    pub idempotent: bool,
    pub weight: u32,
    /// Whether bytes of a dispatch may have left; from then on the call is never "not run".
    pub may_have_been_sent: bool,
    /// Answer of an ended run that is passed on if the call does not run again.
    pub fallback: Option<CallerAnswer>,
    /// Executor on which the call failed.
    pub avoid: Option<ExecutorKey>,
}

/// A dispatch in progress.
#[derive(Debug)]
pub(super) struct PendingDispatch {
    pub call: CallKey,
    pub executor: ExecutorKey,
    pub hold: HoldKey,
    pub call_id: String,
    pub started: MonotonicTime,
    pub valid_until: MonotonicTime,
    pub aborting: bool,
}

/// A call whose answer was lost and that may still hold its slot.
#[derive(Debug)]
pub(super) struct LostCall {
    pub call_id: String,
    pub hold: HoldKey,
    /// Earliest time at which a probe has to be sent to prove that the call does not run.
    pub conclusive_from: MonotonicTime,
    pub retry: Option<CallKey>,
}

/// An executor under monitor.
#[derive(Debug, Default)]
pub(super) struct ExecutorMonitor {
    pub dispatches: BTreeMap<String, ExchangeId>,
    pub lost: Vec<LostCall>,
    /// First call of the term that was sent after the monitor began. A listed one with a lower
    /// number was sent to an earlier executor of this name that the platform reported as ended.
    pub first_call: u64,
    pub live: bool,
    pub ended: bool,
    pub next_probe: Option<MonotonicTime>,
    pub probing: bool,
    pub probe_failed: bool,
    /// Earliest time at which a probe has to be sent to show the calls of earlier owners.
    pub conclusive_from: MonotonicTime,
    /// Set when a dispatch got no answer; a probe sent later clears it.
    pub silent_since: Option<MonotonicTime>,
}

/// A probe in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingProbe {
    pub executor: ExecutorKey,
    pub sent_at: MonotonicTime,
}

/// A call that a peer serves.
#[derive(Debug)]
pub(super) struct PendingForward {
    pub waiter: CallWaiter,
    pub call: CallRequest,
    pub group: GroupIndex,
    pub address: SocketAddr,
}

/// A call whose owner is not known at present.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub waiter: CallWaiter,
    pub call: CallRequest,
    pub retry_at: MonotonicTime,
    pub give_up_at: MonotonicTime,
}

/// A term in which this instance owns a group.
#[derive(Debug)]
pub(super) struct GroupTerm {
    pub epoch: OwnerEpoch,
    pub probe_from: MonotonicTime,
    pub tickets: TicketTable,
    pub queue: CallQueue<CallKey>,
    /// Queue of each executor, for the baseline with random placement.
    pub executor_queues: BTreeMap<ExecutorKey, CallQueue<CallKey>>,
    pub retry_schedule: ReturnSchedule,
    pub next_call: u64,
}

impl GroupTerm {
    pub fn new(
        epoch: OwnerEpoch,
        probe_from: MonotonicTime,
        tickets: TicketTable,
        order: QueueOrder,
    ) -> Self {
        Self {
            epoch,
            probe_from,
            tickets,
            queue: CallQueue::new(order),
            executor_queues: BTreeMap::new(),
            retry_schedule: ReturnSchedule::default(),
            next_call: 0,
        }
    }

    /// Returns the number of calls that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.executor_queues.values().map(CallQueue::len).sum::<usize>()
    }
}

/// Replies that are outstanding, so that a caller that is gone gets no answer.
#[derive(Debug, Default)]
pub(super) struct OutstandingReplies {
    waiting: HashSet<ReplyId>,
    disconnected: HashSet<ReplyId>,
}

impl OutstandingReplies {
    pub fn add(&mut self, reply: ReplyId) {
        self.waiting.insert(reply);
    }

    pub fn set_disconnected(&mut self, reply: ReplyId) {
        if self.waiting.contains(&reply) {
            self.disconnected.insert(reply);
        }
    }

    pub fn is_disconnected(&self, reply: ReplyId) -> bool {
        self.disconnected.contains(&reply)
    }

    /// Notes that the reply is given; returns whether somebody still waits for it.
    pub fn complete(&mut self, reply: ReplyId) -> bool {
        self.waiting.remove(&reply);
        !self.disconnected.remove(&reply)
    }
}

/// Returns a digest that tells whether two requests with the same ticket are the same request.
pub(super) fn digest_of(call: &CallRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    call.profile.hash(&mut hasher);
    call.body.hash(&mut hasher);
    hasher.finish()
}
