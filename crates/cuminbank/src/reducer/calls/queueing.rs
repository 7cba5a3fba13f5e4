//! Admission, wait estimates, queues, and the start of queued calls.

use std::time::Duration;

use crate::{
    admission::{CallQueue, QueueItem},
    event::CallRequest,
    ids::{GroupIndex, MonotonicTime},
    placement::{ExecutorKey, PickQuery},
    settings::PlacementPolicy,
};

use super::{
    state::{CallKey, CallStage, GroupTerm},
    CallContext, CallPart,
};

/// Expected wait announced for a group in which no executor accepts calls, which is about the
/// duration of a takeover.
pub(super) const UNKNOWN_WAIT: Duration = Duration::from_secs(5);

/// Lower bound on the mean run time in wait estimates. Without it a group with all slots occupied
/// would announce a wait of zero before any run time is measured.
const MIN_RUN_TIME: Duration = Duration::from_millis(1);

const TOO_LATE: &str = "the deadline can no longer be met";

impl CallPart {
    /// Queues a call in its group and starts the queued calls that can start. Refuses the call at
    /// once if it has to wait and is not expected to meet its deadline.
    pub(super) fn admit_record(&mut self, context: &mut CallContext<'_>, key: CallKey) {
        let Some(record) = self.calls.get(key) else { return };
        let (group, now) = (record.group, context.now());
        self.budget.record_call(&record.call.customer, now);
        let wait = match self.policy {
            PlacementPolicy::Learned => self
                .estimate_wait(group, Some((&record.call, record.weight)))
                .unwrap_or(Duration::ZERO),
            PlacementPolicy::LeastLoaded | PlacementPolicy::RandomQueue => Duration::ZERO,
        };
        // A call that can start at once is always admitted. Otherwise a class whose estimated run
        // time exceeds its deadline would never be measured again.
        let latest_start = self.latest_start(&record.call.class, record.arrived, record.deadline);
        if wait > Duration::ZERO && now + wait > latest_start {
            let reason = format!(
                "overload: the expected wait of {} ms does not fit the deadline",
                wait.as_millis()
            );
            self.give_up(context, key, &reason);
            return;
        }
        self.enqueue(context, key);
        self.start_queued(context, group);
    }

    /// Estimates the queueing time of `call` (a request and its weight), or of any short call if it
    /// is `None`. Returns `None` if no executor of the group accepts calls.
    pub(super) fn estimate_wait(
        &self,
        group: GroupIndex,
        call: Option<(&CallRequest, u32)>,
    ) -> Option<Duration> {
        let term = self.terms.get(&group)?;
        let long = call.is_some_and(|(call, _)| self.is_long(&call.class));
        let slots = self.executors.usable_slots(group);
        if slots == 0 {
            return None;
        }
        if self.executors.has_free(group, long) && term.queue.first(long).is_none() {
            return Some(Duration::ZERO);
        }
        let queue = &term.queue;
        let backlog = |long| match call {
            Some((call, weight)) => queue.backlog(long, &call.customer, weight),
            None => queue.cost(long),
        };
        let mean = self.runtimes.mean_of_all().unwrap_or_default().max(MIN_RUN_TIME);
        let short_wait = (backlog(false) + mean).div_f64(slots as f64);
        if !long {
            return Some(short_wait);
        }
        let long_slots = self.executors.usable_long_slots(group).max(1);
        let class = call.map_or("", |(call, _)| call.class.as_str());
        let own = self.runtimes.mean(class).unwrap_or_default();
        Some(short_wait + (backlog(true) + own).div_f64(long_slots as f64))
    }

    /// Returns the latest start at which a call is expected to meet its deadline, but no time
    /// before its arrival. Only the policy `Learned` estimates run times; under others this is the
    /// deadline.
    pub(super) fn latest_start(
        &self,
        class: &str,
        arrived: MonotonicTime,
        deadline: MonotonicTime,
    ) -> MonotonicTime {
        if self.policy != PlacementPolicy::Learned {
            return deadline;
        }
        let run_time = self.runtimes.p90(class).unwrap_or_default();
        deadline.saturating_sub(run_time).max(arrived)
    }

    /// Returns whether the calls of a class are known to be long.
    pub(super) fn is_long(&self, class: &str) -> bool {
        self.runtimes.is_long(class).unwrap_or(false)
    }

    /// Appends a call to the queue of its group, or under the policy `RandomQueue` to that of a
    /// random executor.
    pub(super) fn enqueue(&mut self, context: &mut CallContext<'_>, key: CallKey) {
        let Some(record) = self.calls.get(key) else { return };
        let class = &record.call.class;
        let item = QueueItem {
            key,
            customer: record.call.customer.clone(),
            weight: record.weight,
            cost: self.runtimes.mean(class).unwrap_or_default(),
            deadline: record.deadline,
            latest_start: self.latest_start(class, record.arrived, record.deadline),
            long: self.is_long(class),
        };
        let (group, order) = (record.group, self.queue_order());
        let assigned = match self.policy {
            PlacementPolicy::RandomQueue => self.executors.random(group, &mut context.step.rng),
            PlacementPolicy::Learned | PlacementPolicy::LeastLoaded => None,
        };
        self.calls[key].stage = CallStage::Queued;
        let Some(term) = self.terms.get_mut(&group) else { return };
        match assigned {
            Some(executor) => {
                let queue =
                    term.executor_queues.entry(executor).or_insert_with(|| CallQueue::new(order));
                queue.push(item);
            }
            None => {
                term.queue.push(item);
            }
        }
    }

    /// Starts queued calls of a group while it has free slots and this instance has authority over
    /// it.
    pub(super) fn start_queued(&mut self, context: &mut CallContext<'_>, group: GroupIndex) {
        let Some(term) = self.terms.get(&group).filter(|term| term.queued() > 0) else { return };
        // The group part may have changed the epoch in this step before this part handles the
        // change.
        if context.view.groups.epoch(group) != Some(term.epoch) {
            return;
        }
        let Some(valid_until) = context.view.groups.authority_until(group, context.now()) else {
            return;
        };
        if self.policy == PlacementPolicy::RandomQueue {
            self.start_from_executor_queues(context, group, valid_until);
            return;
        }
        self.requeue_reclassified(context, group);
        while let Some((id, key, executor)) = self.next_start(context, group) {
            if let Some(term) = self.terms.get_mut(&group) {
                term.queue.start(id);
            }
            self.start_or_abandon(context, key, executor, valid_until);
            self.requeue_reclassified(context, group);
        }
    }

    /// Queues the calls at the head of the queues again if their class was reclassified as long or
    /// short while they waited. Otherwise calls queued as short would exceed the limit on long
    /// calls.
    fn requeue_reclassified(&mut self, context: &mut CallContext<'_>, group: GroupIndex) {
        if self.policy != PlacementPolicy::Learned {
            return;
        }
        for long in [false, true] {
            while let Some((id, key)) = self.reclassified_head(group, long) {
                if let Some(term) = self.terms.get_mut(&group) {
                    term.queue.remove(id);
                }
                self.enqueue(context, key);
            }
        }
    }

    fn reclassified_head(&self, group: GroupIndex, long: bool) -> Option<(u64, CallKey)> {
        let (id, key) = self.terms.get(&group)?.queue.first(long)?;
        (self.is_long(&self.calls.get(key)?.call.class) != long).then_some((id, key))
    }

    /// Selects the next call and its executor. Short calls start first; long ones start only within
    /// the limit on their slots.
    fn next_start(
        &self,
        context: &mut CallContext<'_>,
        group: GroupIndex,
    ) -> Option<(u64, CallKey, ExecutorKey)> {
        let queue = &self.terms.get(&group)?.queue;
        let long = queue.first(false).is_none();
        let (id, key) = queue.first(long)?;
        let record = self.calls.get(key)?;
        let query = PickQuery { group, long, avoid: record.avoid };
        let executor = match self.policy {
            PlacementPolicy::Learned => {
                let (tasks, class) = (context.view.tasks, &record.call.class);
                self.executors.pick(query, &mut context.step.rng, |executor| {
                    tasks.slowdown(&executor.spec.machine, class)
                })
            }
            PlacementPolicy::LeastLoaded | PlacementPolicy::RandomQueue => {
                self.executors.least_loaded(query, &mut context.step.rng)
            }
        };
        Some((id, key, executor?))
    }

    fn start_or_abandon(
        &mut self,
        context: &mut CallContext<'_>,
        key: CallKey,
        executor: ExecutorKey,
        valid_until: MonotonicTime,
    ) {
        let Some(record) = self.calls.get(key) else { return };
        let abandoned = record.call.ticket.is_none()
            && record.waiters.iter().all(|waiter| self.replies.is_disconnected(waiter.reply));
        if abandoned {
            self.give_up(context, key, "the caller closed its connection before the start");
            return;
        }
        self.start(context, key, executor, valid_until);
    }

    fn start_from_executor_queues(
        &mut self,
        context: &mut CallContext<'_>,
        group: GroupIndex,
        valid_until: MonotonicTime,
    ) {
        self.redistribute(context, group);
        let Some(term) = self.terms.get(&group) else { return };
        let mut executors: Vec<ExecutorKey> = term.executor_queues.keys().copied().collect();
        executors.sort_unstable();
        for executor in executors {
            while let Some((id, key)) = self.first_startable(group, executor) {
                if let Some(queue) = self.executor_queue(group, executor) {
                    queue.start(id);
                }
                self.start_or_abandon(context, key, executor, valid_until);
            }
        }
    }

    fn first_startable(&self, group: GroupIndex, executor: ExecutorKey) -> Option<(u64, CallKey)> {
        let slots = self.executors.get(executor)?;
        if !slots.is_accepting() || slots.used() >= slots.spec.slots {
            return None;
        }
        self.terms.get(&group)?.executor_queues.get(&executor)?.first(false)
    }

    fn executor_queue(
        &mut self,
        group: GroupIndex,
        executor: ExecutorKey,
    ) -> Option<&mut CallQueue<CallKey>> {
        self.terms.get_mut(&group)?.executor_queues.get_mut(&executor)
    }

    /// Moves calls to other executors if their executor accepts no calls, or if none did when they
    /// were queued.
    fn redistribute(&mut self, context: &mut CallContext<'_>, group: GroupIndex) {
        if self.executors.random(group, &mut context.step.rng).is_none() {
            return;
        }
        let executors = &self.executors;
        let Some(term) = self.terms.get_mut(&group) else { return };
        let mut keys = term.queue.drain();
        term.executor_queues.retain(|&executor, queue| {
            let accepting = executors.get(executor).is_some_and(|slots| slots.is_accepting());
            if !accepting {
                keys.extend(queue.drain());
            }
            accepting && !queue.is_empty()
        });
        for key in keys {
            self.enqueue(context, key);
        }
    }

    /// Refuses queued calls of a group that can no longer meet their deadline.
    pub(super) fn refuse_expired(&mut self, context: &mut CallContext<'_>, group: GroupIndex) {
        let now = context.now();
        while let Some(key) = self.terms.get_mut(&group).and_then(|term| take_expired(term, now)) {
            self.give_up(context, key, TOO_LATE);
        }
    }

    /// Queues a call again after an attempt that did not run or that failed. Gives it up if it is
    /// no longer expected to meet its deadline. If the term has ended, the call leaves the group.
    pub(super) fn requeue(&mut self, context: &mut CallContext<'_>, key: CallKey) {
        let Some(record) = self.calls.get(key) else { return };
        let (group, epoch) = (record.group, record.epoch);
        if self.terms.get(&group).is_none_or(|term| term.epoch != epoch) {
            self.leave_group(context, key);
            return;
        }
        let latest_start = self.latest_start(&record.call.class, record.arrived, record.deadline);
        if latest_start < context.now() {
            self.give_up(context, key, TOO_LATE);
            return;
        }
        self.enqueue(context, key);
    }

    /// Handles a call that is not running after the ownership term of its group has ended:
    /// - A ticketed call that was never sent moves to another owned group, if its issuing group is
    ///   still owned.
    /// - Any other ticketed call, and a call that may have been sent, gets its final answer.
    /// - Of the remaining calls, those of peers get the answer `NotOwner`, and those of callers
    ///   wait for the next owner.
    pub(super) fn leave_group(&mut self, context: &mut CallContext<'_>, key: CallKey) {
        let may_have_been_sent = self.calls.get(key).is_none_or(|record| record.may_have_been_sent);
        if !may_have_been_sent && self.move_ticketed(context, key) {
            return;
        }
        let Some(record) = self.calls.get(key) else { return };
        // A call that was never sent may run elsewhere, unless it has a ticket: the next owner of
        // the issuing group will not run it, so the refusal is final.
        if record.may_have_been_sent || record.call.ticket.is_some() {
            self.give_up(context, key, "the instance gave up the group of the call");
            return;
        }
        let Some(record) = self.calls.remove(key) else { return };
        for waiter in record.waiters {
            self.decline_or_wait(context, waiter, record.call.clone());
        }
    }

    /// Moves a ticketed call to another owned group if its issuing group is still owned. Returns
    /// whether it was moved.
    fn move_ticketed(&mut self, context: &mut CallContext<'_>, key: CallKey) -> bool {
        let Some(record) = self.calls.get(key) else { return false };
        let issuing_group = record.call.ticket.as_ref().map(|ticket| ticket.group);
        if issuing_group.is_none_or(|issuing_group| !self.terms.contains_key(&issuing_group)) {
            return false;
        }
        let now = context.now();
        let groups = self.usable_groups(context.view, now).into_iter();
        let Some(group) = groups.min_by_key(|group| self.expected_wait(*group, now)) else {
            return false;
        };
        let epoch = self.terms.get(&group).map_or(0, |term| term.epoch);
        if let Some(record) = self.calls.get_mut(key) {
            (record.group, record.epoch) = (group, epoch);
        }
        self.requeue(context, key);
        true
    }
}

fn take_expired(term: &mut GroupTerm, now: MonotonicTime) -> Option<CallKey> {
    let expired = term.queue.expire(now);
    let expired =
        expired.or_else(|| term.executor_queues.values_mut().find_map(|queue| queue.expire(now)));
    expired.map(|item| item.key)
}
