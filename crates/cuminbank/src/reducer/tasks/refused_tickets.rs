//! Tickets of refused submissions.

use std::collections::{HashSet, VecDeque};

use crate::{ids::MonotonicTime, ledger::TaskId, reducer::calls::tickets::TICKET_LIFETIME};

/// Tickets whose submission was refused. A refusal is final: after the caller has received the
/// answer that the task did not run, a delayed copy of the request must not run it.
#[derive(Debug, Default)]
pub struct RefusedTickets {
    tickets: HashSet<TaskId>,
    order: VecDeque<(MonotonicTime, TaskId)>,
}

impl RefusedTickets {
    /// Records a refusal, and drops earlier ones whose tickets have expired.
    pub fn insert(&mut self, now: MonotonicTime, task: TaskId) {
        while self.order.front().is_some_and(|(at, _)| now >= *at + TICKET_LIFETIME) {
            let Some((_, old)) = self.order.pop_front() else { break };
            self.tickets.remove(&old);
        }
        if self.tickets.insert(task) {
            self.order.push_back((now, task));
        }
    }

    /// Whether a ticket was refused.
    pub fn contains(&self, task: TaskId) -> bool {
        self.tickets.contains(&task)
    }
}
