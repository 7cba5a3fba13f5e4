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
        asked: Asked,
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
pub enum Asked {
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
    Event(EntryIndex, StartNumber, EntryEvent),
    /// An exchange ends, unless it has ended before.
    End(ExchangeRef, EntryEvent),
    /// A process writes a request to a socket.
    Write(EntryIndex, StartNumber, EntryEffect),
    /// A request that wants an answer reaches a process.
    Arrive(EntryIndex, StartNumber, ReplyOrigin, EntryEvent),
    /// A request reaches the store.
    Store(ExchangeRef, StoreRequest),
    /// A watch of a process is polled for changes.
    Watch(EntryIndex, StartNumber, u64),
    /// A call reaches an executor.
    Run(ExchangeRef, TargetIndex, String, Bytes),
    /// Calls of an executor are due.
    RunDue(TargetIndex),
    /// A probe reaches an executor.
    Probe(ExchangeRef, TargetIndex),
    /// A request reaches a worker.
    Work(ExchangeRef, TargetIndex, WorkerRequest),
    /// Attempts of a worker are due.
    WorkDue(TargetIndex),
    /// A caller takes the next step of a request.
    Caller(RequestIndex),
    /// A caller sends a further copy of its request.
    Copy(RequestIndex),
    /// A caller cancels its task.
    Cancel(RequestIndex),
    /// An answer, or its loss, reaches a caller.
    Answered(RequestIndex, u32, Asked, Option<cuminbank::effect::CallerAnswer>),
    /// A caller gives up waiting and closes its connection.
    GiveUp(EntryIndex, StartNumber, RequestIndex, u32, Asked),
    /// Readiness and configuration of all instances are sampled.
    Sample,
    /// An operator commits a change of a profile.
    Operator,
    /// A fault begins or ends.
    Fault(FaultStep),
    /// A random fault is drawn.
    DrawFault,
}

#[derive(Debug)]
struct Scheduled {
    at: Duration,
    number: u64,
    action: Action,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Eq for Scheduled {}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

/// Actions in the order of their times; equal times keep the order of insertion.
#[derive(Debug, Default)]
pub struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    next: u64,
}

impl EventQueue {
    /// Adds an action.
    pub fn push(&mut self, at: Duration, action: Action) {
        self.next += 1;
        self.heap.push(Scheduled { at, number: self.next, action });
    }

    /// Takes the first action that is due by `end`.
    pub fn pop(&mut self, end: Duration) -> Option<(Duration, Action)> {
        if self.heap.peek()?.at > end {
            return None;
        }
        self.heap.pop().map(|scheduled| (scheduled.at, scheduled.action))
    }
}
