//! Tickets whose submission was refused.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use crate::{ids::MonotonicTime, ledger::TaskId};

const TICKET_LIFETIME: Duration = Duration::from_secs(600);

/// Tickets that were refused. A refusal is final: a copy of the request that arrives late must
/// not run after its caller was told that it did not.
#[derive(Debug, Default)]
pub struct RefusedTickets {
    tickets: HashSet<TaskId>,
    order: VecDeque<(MonotonicTime, TaskId)>,
}

impl RefusedTickets {
    /// Notes a refusal, and drops those whose tickets have expired.
    pub fn insert(&mut self, now: MonotonicTime, task: TaskId) {
        while self.order.front().is_some_and(|(at, _)| now >= *at + TICKET_LIFETIME) {
            let Some((_, old)) = self.order.pop_front() else { break };
            self.tickets.remove(&old);
        }
        if self.tickets.insert(task) {
            self.order.push_back((now, task));
        }
    }

    /// Tells whether a ticket was refused.
    pub fn contains(&self, task: TaskId) -> bool {
        self.tickets.contains(&task)
    }
}
