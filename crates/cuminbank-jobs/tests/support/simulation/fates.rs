//! Decisions of a test on the fate of each message, instead of random losses.

use std::time::Duration;

use cuminbank_jobs::{
    ids::MonotonicTime,
    order::{ExecutorOrder, OrderRequest},
    relay::StartBundle,
};

use super::SimulatedPool;

/// Kind of a message that an instance sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageKind {
    /// Start order.
    Start,
    /// Stop order, or one that limits the speed of a run.
    Stop,
    /// Hold (long poll).
    Hold,
    /// Write of a scheduler to the store.
    Write,
    /// Store call that claims, renews or releases the ownership.
    OwnershipCall,
}

/// What happens to a message. The sender gets no reply after the timeout of the message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageFate {
    /// It is carried out and its reply is delivered.
    Delivered,
    /// It is not carried out.
    RequestLost,
    /// It is carried out without a reply.
    ReplyLost,
    /// It is carried out later.
    RequestDelayed(Duration),
    /// It is carried out and its reply is delivered later. Only for orders.
    ReplyDelayed(Duration),
    /// It is carried out, and again later. Only for orders and writes.
    Doubled(Duration),
    /// Another instance sends it later. Only for starts.
    Relayed(Duration),
}

/// Function that decides the fate of each message, called in the order of sending.
pub type FateDecider = Box<dyn FnMut(MonotonicTime, MessageKind) -> MessageFate>;

impl MessageKind {
    pub(super) fn of_order(request: &OrderRequest) -> Self {
        match request {
            OrderRequest::Start { .. } => Self::Start,
            OrderRequest::Stop { .. } | OrderRequest::Pace { .. } => Self::Stop,
            OrderRequest::Hold { .. } => Self::Hold,
        }
    }
}

impl SimulatedPool {
    pub(super) fn decide_fate(&mut self, kind: MessageKind) -> MessageFate {
        let Some(decider) = &mut self.decider else { return MessageFate::Delivered };
        let fate = decider(self.now, kind);
        let lasts = match fate {
            MessageFate::Delivered => return fate,
            MessageFate::RequestLost | MessageFate::ReplyLost => Duration::ZERO,
            MessageFate::RequestDelayed(delay)
            | MessageFate::ReplyDelayed(delay)
            | MessageFate::Doubled(delay)
            | MessageFate::Relayed(delay) => delay,
        };
        self.trace.push(format!("{:?} {kind:?} {fate:?}", self.now));
        self.note_late_message(self.now + lasts);
        fate
    }
}

/// Returns the order as a relay sends it after `delay`, unless it is no longer valid then, and how
/// long the owner waits for the reply.
pub(super) fn relay(
    now: MonotonicTime,
    order: &ExecutorOrder,
    delay: Duration,
) -> (Option<ExecutorOrder>, Duration) {
    let bundle = StartBundle::new(now, std::slice::from_ref(order));
    let wait = bundle.wait();
    let relayed = bundle.into_orders(now).into_iter().next();
    (relayed.filter(|relayed| now + delay < relayed.valid_until), wait)
}
