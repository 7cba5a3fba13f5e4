//! Events of the whole system, ordered by virtual time.

use std::{cmp::Ordering, collections::BinaryHeap, time::Duration};

use bytes::Bytes;
use cuminbank::{
    effect::EntryEffect,
    event::EntryEvent,
    ids::{ExchangeId, StartNumber},
    store::StoreRequest,
    worker::WorkerRequest,
};

use super::faults::FaultStep;

/// Index of an entry instance.
pub type EntryIndex = usize;
/// Index of a target.
pub type TargetIndex = usize;
/// Index of a caller's request.
pub type RequestIndex = usize;

/// An exchange of one process of an entry instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExchangeRef {
    /// Entry instance.
    pub entry: EntryIndex,
    /// Start number of its process.
    pub start: StartNumber,
    /// Exchange.
    pub exchange: ExchangeId,
}

/// Who waits for an answer of an entry instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyOrigin {
    /// A caller that sent one copy of a request.
    Caller {
        /// Request.
        request: RequestIndex,
        /// Number of the send.
        send: u32,
        /// What was asked.
        operation: CallerOperation,
    },
    /// A peer.
    Peer(ExchangeRef),
    /// The sampler that records the configuration in force.
    ConfigSample,
    /// The load balancer's readiness check.
    ReadySample,
    /// An operator.
    Operator,
}

/// What a caller asks an entry instance for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerOperation {
    /// Tickets.
    Tickets,
    /// An urgent call or the submission of a task.
    Work,
    /// The result of a task.
    Result,
    /// The cancellation of a task.
    Cancel,
}

/// Something that happens at a moment of virtual time.
#[derive(Clone, Debug)]
pub enum Action {
    /// A tick of an entry instance.
    Tick(EntryIndex, StartNumber),
    /// An event reaches a process.
    DeliverEvent(EntryIndex, StartNumber, EntryEvent),
    /// An exchange ends, unless it has ended before.
    EndExchange(ExchangeRef, EntryEvent),
    /// A process writes a request to a socket.
    WriteRequest(EntryIndex, StartNumber, EntryEffect),
    /// A request that wants an answer reaches a process.
    DeliverRequest(EntryIndex, StartNumber, ReplyOrigin, EntryEvent),
    /// A request reaches the store.
    StoreRequest(ExchangeRef, StoreRequest),
    /// A watch of a process is polled for changes.
    PollWatch(EntryIndex, StartNumber, u64),
    /// A call reaches an executor.
    Call(ExchangeRef, TargetIndex, String, Bytes),
    /// Calls of an executor are due.
    CallsDue(TargetIndex),
    /// A probe reaches an executor.
    Probe(ExchangeRef, TargetIndex),
    /// A request reaches a worker.
    WorkerRequest(ExchangeRef, TargetIndex, WorkerRequest),
    /// Attempts of a worker are due.
    AttemptsDue(TargetIndex),
    /// A caller takes the next step of a request.
    AdvanceRequest(RequestIndex),
    /// A caller sends a further copy of its request.
    SendDuplicate(RequestIndex),
    /// A caller cancels its task.
    Cancel(RequestIndex),
    /// An answer, or its loss, reaches a caller.
    Answered(RequestIndex, u32, CallerOperation, Option<cuminbank::effect::CallerAnswer>),
    /// A caller gives up waiting and closes its connection.
    CallerTimeout(EntryIndex, StartNumber, RequestIndex, u32, CallerOperation),
    /// Readiness and configuration of all instances are sampled.
    Sample,
    /// An operator commits a change of a profile.
    ChangeProfile,
    /// A fault begins or ends.
    ApplyFault(FaultStep),
    /// A random fault is drawn.
    InjectRandomFault,
}

#[derive(Debug)]
struct ScheduledAction {
    at: Duration,
    number: u64,
    action: Action,
}

impl Ord for ScheduledAction {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl PartialOrd for ScheduledAction {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Eq for ScheduledAction {}

impl PartialEq for ScheduledAction {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

/// Actions in the order of their times; equal times keep the order of insertion.
#[derive(Debug, Default)]
pub struct ActionQueue {
    heap: BinaryHeap<ScheduledAction>,
    next: u64,
}

impl ActionQueue {
    /// Adds an action.
    pub fn push(&mut self, at: Duration, action: Action) {
        self.next += 1;
        self.heap.push(ScheduledAction { at, number: self.next, action });
    }

    /// Takes the first action that is due by `end`.
    pub fn pop(&mut self, end: Duration) -> Option<(Duration, Action)> {
        if self.heap.peek()?.at > end {
            return None;
        }
        self.heap.pop().map(|scheduled| (scheduled.at, scheduled.action))
    }
}
