//! Delivery of orders to the executors, and the progress of their runs over time.

use std::time::Duration;

use cuminbank_jobs::{
    job::TaskName,
    lease_bounds::is_lease_for,
    order::{ExecutorOrder, OrderFailure, OrderReply, OrderRequest, RejectReason},
};
use cuminbank_platform_standin::executor::LATE_DELAY_MS;
use rand::Rng;

use super::{
    fates::relay, Action, MessageFate, MessageKind, PendingHold, SimulatedPool, StartFault,
    ADVANCE_INTERVAL, EVACUATION_BOUND,
};

/// Time after the wait of a hold at which its sender gives up.
const HOLD_MARGIN: Duration = Duration::from_millis(500);

impl SimulatedPool {
    pub(super) fn send_order(&mut self, number: usize, order: ExecutorOrder) {
        let (start, ownership_number) =
            (self.instances[number].start, self.instances[number].ownership_number);
        let Some(executor_index) =
            self.executors.iter().position(|other| other.name == order.executor)
        else {
            let (to, id, result) = (number, order.id, Err(OrderFailure::NotSent));
            let refused = Action::OrderCompletes { to, start, ownership_number, id, result };
            let refused_at = self.now + self.delay();
            return self.push(refused_at, refused);
        };
        self.check_evacuation(number, executor_index, &order);
        let timeout = self.now + order.timeout;
        let cut =
            self.instances[number].executors_cut.get(&executor_index).copied().unwrap_or_default();
        let fail =
            |id, result| Action::OrderCompletes { to: number, start, ownership_number, id, result };
        if self.now >= order.valid_until {
            return self.push(self.now, fail(order.id, Err(OrderFailure::NotSent)));
        }
        let is_start = matches!(order.request, OrderRequest::Start { .. });
        let lost_start = is_start && self.without_starts.contains(&order.executor);
        if self.now < cut || !self.executors[executor_index].up || lost_start {
            return self.push(timeout, fail(order.id, Err(OrderFailure::Lost)));
        }
        let clock = self.executors[executor_index].clock(self.now);
        let lease = order.request.lease_until().filter(|_| self.binds_leases);
        if lease.is_some_and(|until| !is_lease_for(clock, until)) {
            return self.push(self.now, fail(order.id, Err(OrderFailure::NotSent)));
        }
        let late = self.chance(self.losses.orders_late);
        let lost = late || self.chance(self.losses.orders_lost);
        let mut arrives = self.now + self.delay();
        if lost {
            self.push(timeout, fail(order.id, Err(OrderFailure::Lost)));
        }
        if late {
            arrives += Duration::from_millis(self.random.random_range(LATE_DELAY_MS));
            self.note_late_message(arrives);
        }
        let incarnation = self.executors[executor_index].born;
        let fate = self.decide_fate(MessageKind::of_order(&order.request));
        let (order, sent, timeout) = match fate {
            MessageFate::Relayed(delay) => match relay(self.now, &order, delay) {
                (Some(relayed), wait) => (relayed, delay, self.now + wait),
                (None, wait) => {
                    let result = Err(OrderFailure::NotSent);
                    return self.push(self.now + delay.min(wait), fail(order.id, result));
                }
            },
            MessageFate::RequestDelayed(delay) => (order, delay, timeout),
            _ => (order, Duration::ZERO, timeout),
        };
        arrives += sent;
        if fate != MessageFate::Delivered && !lost {
            self.push(timeout, fail(order.id, Err(OrderFailure::Lost)));
        }
        if fate == MessageFate::RequestLost {
            return;
        }
        let reply_delay = match fate {
            MessageFate::ReplyDelayed(delay) => delay,
            _ => Duration::ZERO,
        };
        let action = |order, lost| Action::OrderArrives {
            from: number,
            start,
            ownership_number,
            executor_index,
            incarnation,
            order,
            lost,
            reply_delay,
        };
        if let MessageFate::Doubled(delay) = fate {
            self.push(arrives + delay, action(order.clone(), true));
        }
        self.push(arrives, action(order, lost || fate == MessageFate::ReplyLost));
    }

    /// Checks that no start is sent to a zone under evacuation after the bound. A process that was
    /// suspended or cut off from the store meanwhile may not know of the evacuation.
    fn check_evacuation(&mut self, number: usize, executor_index: usize, order: &ExecutorOrder) {
        let instance = &self.instances[number];
        let since = self.evacuations.get(&self.executors[executor_index].zone);
        let informed = since.map(|since| {
            (*since).max(instance.store_cut_until).max(instance.frozen_until) + EVACUATION_BOUND
        });
        let is_start = matches!(order.request, OrderRequest::Start { .. });
        if is_start && informed.is_some_and(|informed| self.now > informed) {
            let (now, name) = (self.now, &order.executor);
            self.checks.violations.push(format!("{now:?}: start sent to {name}, being evacuated"));
        }
    }

    pub(super) fn order_arrives(
        &mut self,
        (from, start, ownership_number): (usize, u64, u64),
        executor_index: usize,
        order: ExecutorOrder,
        lost: bool,
        reply_delay: Duration,
    ) {
        if !self.executors[executor_index].up {
            if !lost {
                let result = Err(OrderFailure::Lost);
                let action = Action::OrderCompletes {
                    to: from,
                    start,
                    ownership_number,
                    id: order.id,
                    result,
                };
                self.push(self.now + order.timeout, action);
            }
            return;
        }
        self.advance_one(executor_index);
        let refuses = self.refusing.contains(&order.executor);
        if refuses && matches!(order.request, OrderRequest::Start { .. }) {
            self.refused_starts += 1;
            let result = Err(OrderFailure::Unhealthy);
            let action =
                Action::OrderCompletes { to: from, start, ownership_number, id: order.id, result };
            let at = self.now + self.delay();
            return self.push(at, action);
        }
        let start_fault = self.start_fault(executor_index);
        let is_start = matches!(order.request, OrderRequest::Start { .. });
        if let Some(result) = start_fault.and_then(refuse_start).filter(|_| is_start) {
            if !lost {
                let (to, id) = (from, order.id);
                let action = Action::OrderCompletes { to, start, ownership_number, id, result };
                self.push(self.now, action);
            }
            return;
        }
        if let OrderRequest::Hold { acknowledged, .. } = &order.request {
            if order.epoch >= self.executors[executor_index].token {
                let acknowledged: Vec<_> = self.executors[executor_index]
                    .ended
                    .iter()
                    .filter(|end| end.report.number <= *acknowledged)
                    .cloned()
                    .collect();
                for end in acknowledged {
                    self.checks.acknowledged(self.now, &end);
                }
            }
        }
        let before: Vec<(TaskName, u32)> =
            self.executors[executor_index].running.iter().map(|run| (run.task, run.run)).collect();
        let executor = &mut self.executors[executor_index];
        let failing = executor.failing;
        executor.failing |= start_fault == Some(StartFault::Fails);
        let reply = executor.handle_order(self.now, &order, &mut self.plan);
        executor.failing = failing;
        let begun: Vec<TaskName> = self.executors[executor_index]
            .running
            .iter()
            .filter(|run| !before.contains(&(run.task, run.run)))
            .map(|run| run.task)
            .collect();
        for task in begun {
            self.checks.started(self.now, task, &self.executors);
        }
        self.record_ended_runs(executor_index);
        if lost {
            return;
        }
        if let (OrderRequest::Hold { wait, .. }, OrderReply::Held(report)) =
            (&order.request, &reply)
        {
            if report.ended.is_empty() && !wait.is_zero() {
                let until = self.now + *wait;
                let incarnation = self.executors[executor_index].born;
                let (to, id) = (from, order.id);
                return self.holds.push(PendingHold {
                    to,
                    start,
                    ownership_number,
                    executor_index,
                    incarnation,
                    id,
                    until,
                    reply_delay,
                });
            }
        }
        let ends = self.now + self.delay() + reply_delay;
        let action = Action::OrderCompletes {
            to: from,
            start,
            ownership_number,
            id: order.id,
            result: Ok(reply),
        };
        self.push(ends, action);
    }

    fn start_fault(&self, executor_index: usize) -> Option<StartFault> {
        let (until, how) = self.starts_fail_until.get(&executor_index)?;
        (self.now < *until).then_some(*how)
    }

    pub(super) fn advance(&mut self) {
        self.push(self.now + ADVANCE_INTERVAL, Action::Advance);
        for executor_index in 0..self.executors.len() {
            self.advance_one(executor_index);
        }
        let holds = std::mem::take(&mut self.holds);
        for hold in holds {
            let PendingHold {
                to,
                start,
                ownership_number,
                executor_index,
                incarnation,
                id,
                until,
                reply_delay,
            } = hold;
            let executor = &self.executors[executor_index];
            let cut =
                self.instances[to].executors_cut.get(&executor_index).copied().unwrap_or_default();
            let gone = !executor.up || executor.born != incarnation;
            if gone && self.silent_crashes && self.now < until + HOLD_MARGIN {
                self.holds.push(hold);
            } else if gone {
                // The crash has closed the connection.
                let result = Err(OrderFailure::Lost);
                self.push(
                    self.now,
                    Action::OrderCompletes { to, start, ownership_number, id, result },
                );
            } else if self.now >= until || !executor.ended.is_empty() {
                let result = match self.now < cut {
                    true => Err(OrderFailure::Lost),
                    false => Ok(OrderReply::Held(executor.hold_report(self.now))),
                };
                self.push(
                    self.now + reply_delay,
                    Action::OrderCompletes { to, start, ownership_number, id, result },
                );
            } else {
                self.holds.push(hold);
            }
        }
    }

    pub(super) fn advance_one(&mut self, executor_index: usize) {
        let now = self.now;
        self.executors[executor_index].advance(now);
        self.record_ended_runs(executor_index);
    }

    pub(super) fn record_ended_runs(&mut self, executor_index: usize) {
        let checked_end_numbers = self.checked_end_numbers[executor_index];
        for end in &self.executors[executor_index].ended {
            if end.report.number > checked_end_numbers {
                self.checks.ended(end);
                self.checked_end_numbers[executor_index] = end.report.number;
            }
        }
    }
}

/// Returns the result of a start that takes no effect, unless a run starts and fails.
fn refuse_start(how: StartFault) -> Option<Result<OrderReply, OrderFailure>> {
    match how {
        StartFault::Unhealthy => Some(Err(OrderFailure::Unhealthy)),
        StartFault::Rejected => Some(Ok(OrderReply::Rejected { reason: RejectReason::Other })),
        StartFault::Fails => None,
    }
}
