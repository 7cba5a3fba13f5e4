//! Queue of pending actions of the simulation, ordered by virtual time.

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
/// Index of a machine with its executor and worker.
pub type TargetIndex = usize;
/// Index of a caller's request.
pub type RequestIndex = usize;

/// Reference to a network exchange that a process of an entry instance started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExchangeRef {
    /// Entry instance.
    pub entry: EntryIndex,
    /// Start number of its process.
    pub start: StartNumber,
    /// Id of the exchange within the process.
    pub exchange: ExchangeId,
}

/// Origin of a request to an entry instance, which waits for the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyOrigin {
    /// A caller, with one send of its request.
    Caller {
        /// Request.
        request: RequestIndex,
        /// Number of the send, from 1.
        send: u32,
        /// Requested operation.
        operation: CallerOperation,
    },
    /// Another entry instance.
    Peer(ExchangeRef),
    /// The periodic sample of the configuration.
    ConfigSample,
    /// The readiness check of the load balancer.
    ReadySample,
    /// An operator's command.
    Operator,
}

/// Operation that a caller requests from an entry instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerOperation {
    /// Issue of a ticket.
    Tickets,
    /// Execution of an urgent call, or submission of a task.
    Work,
    /// Query for the result of a task.
    Result,
    /// Cancellation of a task.
    Cancel,
}

/// Action that is executed at its virtual time.
#[derive(Clone, Debug)]
pub enum Action {
    /// The timer of an entry instance ticks.
    Tick(EntryIndex, StartNumber),
    /// An event reaches a process.
    DeliverEvent(EntryIndex, StartNumber, EntryEvent),
    /// An exchange ends, with an answer or an error, unless it has ended before.
    EndExchange(ExchangeRef, EntryEvent),
    /// A process writes a request to a connection.
    WriteRequest(EntryIndex, StartNumber, EntryEffect),
    /// A request that expects an answer reaches a process.
    DeliverRequest(EntryIndex, StartNumber, ReplyOrigin, EntryEvent),
    /// A request reaches the store.
    StoreRequest(ExchangeRef, StoreRequest),
    /// The watch of a process with this number is polled for changes.
    PollWatch(EntryIndex, StartNumber, u64),
    /// A call reaches an executor.
    Call(ExchangeRef, TargetIndex, String, Bytes),
    /// Calls of an executor finish.
    CallsDue(TargetIndex),
    /// A probe reaches an executor.
    Probe(ExchangeRef, TargetIndex),
    /// A request reaches a worker.
    WorkerRequest(ExchangeRef, TargetIndex, WorkerRequest),
    /// Attempts of a worker finish, or their leases expire.
    AttemptsDue(TargetIndex),
    /// A caller sends what its request needs next.
    AdvanceRequest(RequestIndex),
    /// A caller sends a duplicate of its request.
    SendDuplicate(RequestIndex),
    /// A caller cancels its task.
    Cancel(RequestIndex),
    /// An answer to a numbered send reaches a caller, or its loss (`None`) becomes known.
    Answered(RequestIndex, u32, CallerOperation, Option<cuminbank::effect::CallerAnswer>),
    /// A caller stops waiting for an answer and closes its connection.
    CallerTimeout(EntryIndex, StartNumber, RequestIndex, u32, CallerOperation),
    /// Readiness and configuration of all instances, and the platform's list, are sampled.
    Sample,
    /// An operator commits a change of a profile.
    ChangeProfile,
    /// A fault starts or ends.
    ApplyFault(FaultStep),
    /// A random fault is drawn and scheduled.
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

/// Pending actions by virtual time. Actions with equal times keep the order of insertion.
#[derive(Debug, Default)]
pub struct ActionQueue {
    heap: BinaryHeap<ScheduledAction>,
    next: u64,
}

impl ActionQueue {
    /// Adds an action that is due at the virtual time `at`.
    pub fn push(&mut self, at: Duration, action: Action) {
        self.next += 1;
        self.heap.push(ScheduledAction { at, number: self.next, action });
    }

    /// Removes and returns the first action with its time, if it is due by `end`.
    pub fn pop(&mut self, end: Duration) -> Option<(Duration, Action)> {
        if self.heap.peek()?.at > end {
            return None;
        }
        self.heap.pop().map(|scheduled| (scheduled.at, scheduled.action))
    }
}
