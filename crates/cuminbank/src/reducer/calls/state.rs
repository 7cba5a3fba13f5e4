//! State of calls, waiters, dispatches, executor monitors and ownership terms.

use std::{
    collections::{BTreeMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use slotmap::new_key_type;

use crate::{
    admission::{CallQueue, QueueOrder, RetrySchedule},
    effect::CallerAnswer,
    event::CallRequest,
    ids::{
        ClassName, CustomerName, ExchangeId, GroupIndex, MonotonicTime, OwnerEpoch, ProfileName,
        ReplyId,
    },
    placement::{ExecutorKey, ReservationKey},
    profile::WorkProfile,
};

use super::tickets::TicketTable;

new_key_type! {
    /// Key of a call in the table of calls.
    pub struct CallKey;
}

/// Origin of a waiting request: a caller connected to this instance, or a peer that forwarded it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WaiterOrigin {
    Caller,
    Peer,
}

/// A caller or peer that waits for an answer, with the data needed to count its call.
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
                // Callers may send any profile name. Unknown names share one counter, so that they
                // cannot create counters without limit.
                self.profile = "(unknown)".to_owned();
                self.class = "(unknown)".to_owned();
            }
        }
        self
    }
}

/// Progress of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallStage {
    Queued,
    Running,
    /// The response was lost. The call may run again only after a probe shows that it is not
    /// running.
    AwaitingProbe,
}

/// A call that this instance schedules.
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
    /// Whether bytes of a dispatch may have been sent. The outcome is never "not run" after that.
    pub may_have_been_sent: bool,
    /// Answer of a failed run, returned if the call is not run again.
    pub fallback: Option<CallerAnswer>,
    /// Executor on which the last attempt failed. A retry uses another one if possible.
    pub avoid: Option<ExecutorKey>,
}

/// A dispatch that has not ended.
#[derive(Debug)]
pub(super) struct PendingDispatch {
    pub call: CallKey,
    pub executor: ExecutorKey,
    pub reservation: ReservationKey,
    pub call_id: String,
    pub started: MonotonicTime,
    pub valid_until: MonotonicTime,
    pub aborting: bool,
}

/// A call whose response was lost and that may still occupy its slot.
#[derive(Debug)]
pub(super) struct LostCall {
    pub call_id: String,
    pub reservation: ReservationKey,
    /// Only a probe sent at or after this time can prove that the call is not running.
    pub conclusive_from: MonotonicTime,
    /// Call to queue again once the slot is free; `None` if it must not run again.
    pub retry: Option<CallKey>,
}

/// What is known of an executor from its dispatches and probes.
#[derive(Debug, Default)]
pub(super) struct ExecutorMonitor {
    pub dispatches: BTreeMap<String, ExchangeId>,
    pub lost: Vec<LostCall>,
    /// Lowest sequence number of a call of this term that this executor can have received. A call
    /// with a lower one was sent to an earlier executor of the same name, which the platform
    /// reported as ended.
    pub first_call: u64,
    pub live: bool,
    pub ended: bool,
    pub next_probe: Option<MonotonicTime>,
    pub probing: bool,
    pub probe_failed: bool,
    /// Only a probe sent at or after this time is certain to list all calls of earlier owners.
    pub conclusive_from: MonotonicTime,
    /// Time of the last dispatch that failed without a response. A successful probe sent at or
    /// after it clears it.
    pub silent_since: Option<MonotonicTime>,
}

/// A probe that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingProbe {
    pub executor: ExecutorKey,
    pub sent_at: MonotonicTime,
}

/// A call that was forwarded to a peer.
#[derive(Debug)]
pub(super) struct PendingForward {
    pub waiter: CallWaiter,
    pub call: CallRequest,
    pub group: GroupIndex,
    pub address: SocketAddr,
}

/// A call that waits until the owner of a suitable group is known.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub waiter: CallWaiter,
    pub call: CallRequest,
    pub retry_at: MonotonicTime,
    pub give_up_at: MonotonicTime,
}

/// The time for which this instance owns a group under one epoch.
#[derive(Debug)]
pub(super) struct GroupTerm {
    pub epoch: OwnerEpoch,
    pub probe_from: MonotonicTime,
    pub tickets: TicketTable,
    pub queue: CallQueue<CallKey>,
    /// One queue for each executor, used only by the policy `RandomQueue`.
    pub executor_queues: BTreeMap<ExecutorKey, CallQueue<CallKey>>,
    pub retry_schedule: RetrySchedule,
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
            retry_schedule: RetrySchedule::default(),
            next_call: 0,
        }
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len() + self.executor_queues.values().map(CallQueue::len).sum::<usize>()
    }
}

/// Requests that are not answered yet, and those of them whose caller has disconnected.
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

    /// Marks a request as answered. Returns whether its caller is still connected.
    pub fn complete(&mut self, reply: ReplyId) -> bool {
        self.waiting.remove(&reply);
        !self.disconnected.remove(&reply)
    }
}

/// Returns a digest of profile and body, which distinguishes copies of a request from a different
/// request with the same ticket.
pub(super) fn digest_of(call: &CallRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    call.profile.hash(&mut hasher);
    call.body.hash(&mut hasher);
    hasher.finish()
}
