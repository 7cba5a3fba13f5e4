//! Dispatch of calls to executors, and handling of responses and failures.

use std::time::Duration;

use crate::{
    effect::{CallerAnswer, EntryEffect, MetricSample, MetricValue},
    event::{ExchangeError, ExecutorAnswer},
    ids::{ExchangeId, MonotonicTime},
    placement::ExecutorKey,
    reducer::{step::ReducerPart, TRANSIT_BOUND},
};

use super::{
    state::{CallKey, CallStage, LostCall, PendingDispatch},
    CallContext, CallPart,
};

/// HTTP status by which an executor refuses a call without running it.
const REFUSED_STATUS: u16 = 503;

impl CallPart {
    /// Occupies a slot of the executor and dispatches the call to it.
    pub(super) fn start(
        &mut self,
        context: &mut CallContext<'_>,
        key: CallKey,
        executor: ExecutorKey,
        valid_until: MonotonicTime,
    ) {
        let now = context.now();
        let Some(record) = self.calls.get_mut(key) else { return };
        let (group, class) = (record.group, record.call.class.clone());
        let long = self.runtimes.is_long(&class) == Some(true);
        let Some(reservation) = self.executors.reserve(executor, &class, long) else {
            self.requeue(context, key);
            return;
        };
        let Some(term) = self.terms.get_mut(&group) else { return };
        let call_id = format!("{}-{group}-{}-{}", self.zone, term.epoch, term.next_call);
        term.next_call += 1;
        record.stage = CallStage::Running;
        let exchange = context.step.begin_exchange(ReducerPart::Calls);
        let spec =
            &self.executors.get(executor).expect("an executor with an occupied slot exists").spec;
        context.step.push(EntryEffect::Dispatch {
            exchange,
            address: spec.address,
            call_id: call_id.clone(),
            body: record.call.body.clone(),
            valid_until,
            timeout: record.max_run,
        });
        self.health.record_start(&spec.name, now);
        if let Some(monitor) = self.monitors.get_mut(executor) {
            monitor.dispatches.insert(call_id.clone(), exchange);
        }
        let dispatch = PendingDispatch {
            call: key,
            executor,
            reservation,
            call_id,
            started: now,
            valid_until,
            aborting: false,
        };
        self.dispatches.insert(exchange, dispatch);
        self.unclassified.push_back((now, exchange));
        self.count_wait(context, key, long);
        self.update_accepting(executor, now);
        self.schedule_probe(executor, now + super::probes::BUSY_INTERVAL);
    }

    fn count_wait(&mut self, context: &mut CallContext<'_>, key: CallKey, long: bool) {
        let Some(record) = self.calls.get(key) else { return };
        let waited = context.now().saturating_sub(record.arrived);
        let (profile, customer) = (&record.call.profile, &record.call.customer);
        let behind_long = self.executors.long_occupied(record.group) > 0;
        if !long && behind_long && waited > Duration::ZERO {
            context.records.count_short_delay(profile, customer, waited);
        }
        context.step.metric(MetricSample {
            name: "calls.wait",
            class: record.call.class.clone(),
            customer: customer.clone(),
            value: MetricValue::Time(waited),
        });
    }

    /// Handles the end of a dispatch: a response, a refusal, a failed connection or a lost
    /// response.
    pub(super) fn end_dispatch(
        &mut self,
        context: &mut CallContext<'_>,
        exchange: ExchangeId,
        result: Result<ExecutorAnswer, ExchangeError>,
    ) {
        let Some(dispatch) = self.dispatches.remove(&exchange) else { return };
        if let Some(monitor) = self.monitors.get_mut(dispatch.executor) {
            monitor.dispatches.remove(&dispatch.call_id);
        }
        let executor = dispatch.executor;
        let group = self.executors.get(executor).map(|slots| slots.spec.group);
        match result {
            Ok(answer) => self.end_answered(context, &dispatch, answer),
            Err(ExchangeError::NotSent) => self.end_not_sent(context, &dispatch),
            Err(ExchangeError::Refused(_)) => {
                self.executors.release(dispatch.reservation);
                self.record_health(context, &dispatch, false);
                self.retry_refused(context, dispatch.call);
            }
            Err(ExchangeError::Lost) => self.end_lost(context, dispatch),
        }
        self.update_accepting(executor, context.now());
        self.remove_if_unused(executor);
        if let Some(group) = group {
            self.start_queued(context, group);
        }
    }

    fn end_answered(
        &mut self,
        context: &mut CallContext<'_>,
        dispatch: &PendingDispatch,
        answer: ExecutorAnswer,
    ) {
        self.executors.release(dispatch.reservation);
        let failed = answer.status >= 500;
        self.record_health(context, dispatch, !failed);
        let key = dispatch.call;
        let Some(record) = self.calls.get_mut(key) else { return };
        record.may_have_been_sent = true;
        record.avoid = failed.then_some(dispatch.executor);
        if answer.status == REFUSED_STATUS {
            self.retry_refused(context, key);
            return;
        }
        let idempotent = record.idempotent;
        if !failed {
            self.runtimes.record(&record.call.class, answer.elapsed);
        }
        let answer = CallerAnswer::new_done(answer.status, answer.body);
        if failed && idempotent && self.use_retry(context, key) {
            self.calls[key].fallback = Some(answer);
            self.requeue(context, key);
            return;
        }
        self.finish(context, key, answer);
    }

    fn end_not_sent(&mut self, context: &mut CallContext<'_>, dispatch: &PendingDispatch) {
        let now = context.now();
        self.executors.release(dispatch.reservation);
        if now < dispatch.valid_until {
            // The connection failed, so no further calls are sent to the executor until a probe
            // succeeds.
            self.record_health(context, dispatch, false);
            self.suspend_until_probe(dispatch.executor, now);
        } else if let Some(slots) = self.executors.get(dispatch.executor) {
            // The authority to act expired before the call was sent, which is no evidence about the
            // health of the executor.
            self.health.record_inconclusive(&slots.spec.name);
        }
        if let Some(record) = self.calls.get_mut(dispatch.call) {
            record.avoid = Some(dispatch.executor);
        }
        self.requeue(context, dispatch.call);
    }

    /// Handles a lost response. The slot stays occupied until a probe shows that the call is not
    /// running. An idempotent call may run again after that; the outcome of any other call is
    /// unknown.
    fn end_lost(&mut self, context: &mut CallContext<'_>, dispatch: PendingDispatch) {
        let now = context.now();
        self.record_health(context, &dispatch, false);
        self.suspend_until_probe(dispatch.executor, now);
        let PendingDispatch {
            call: key, executor, reservation, call_id, started, valid_until, ..
        } = dispatch;
        let Some(record) = self.calls.get_mut(key) else { return };
        record.may_have_been_sent = true;
        record.fallback = None;
        record.avoid = Some(executor);
        if now.saturating_sub(started) >= record.max_run {
            self.runtimes.record(&record.call.class, now - started);
        }
        let ended = self.monitors.get(executor).is_none_or(|monitor| monitor.ended);
        let may_retry = record.idempotent && !ended;
        // The last bytes were sent before the authority or the exchange ended. A probe that arrives
        // before them would not list the call although it will run.
        let conclusive_from = now.max(now.min(valid_until) + TRANSIT_BOUND);
        if let Some(monitor) = self.monitors.get_mut(executor) {
            let retry = may_retry.then_some(key);
            monitor.lost.push(LostCall { call_id, reservation, conclusive_from, retry });
        }
        if !may_retry {
            let answer = CallerAnswer::new_unknown("the answer of the executor was lost");
            self.finish(context, key, answer);
            return;
        }
        record.stage = CallStage::AwaitingProbe;
        let class = &self.calls[key].call.class;
        let (arrived, deadline) = (self.calls[key].arrived, self.calls[key].deadline);
        let give_up_at = self.latest_start(class, arrived, deadline);
        self.awaiting_probe.insert((give_up_at, key));
    }

    /// Queues a call with a lost response again, after a probe has shown that it is not running.
    pub(super) fn retry_lost(&mut self, context: &mut CallContext<'_>, key: CallKey) {
        // The call may already have ended because its deadline passed.
        if self.calls.get(key).is_none_or(|record| record.stage != CallStage::AwaitingProbe) {
            return;
        }
        if self.use_retry(context, key) {
            self.requeue(context, key);
        } else {
            self.give_up(context, key, "the answer of the executor was lost");
        }
    }

    /// Ends the calls with a lost response for which no probe has allowed a retry in time.
    pub(super) fn end_overdue_lost(&mut self, context: &mut CallContext<'_>) {
        let now = context.now();
        while let Some(&(give_up_at, key)) = self.awaiting_probe.first() {
            if now <= give_up_at {
                return;
            }
            self.awaiting_probe.pop_first();
            if self.calls.get(key).is_some_and(|record| record.stage == CallStage::AwaitingProbe) {
                self.give_up(context, key, "the answer of the executor was lost");
            }
        }
    }

    /// Queues a call again that an executor refused without running it, if the retry budget allows.
    fn retry_refused(&mut self, context: &mut CallContext<'_>, key: CallKey) {
        if let Some(record) = self.calls.get_mut(key) {
            record.may_have_been_sent = true;
        }
        if self.use_retry(context, key) {
            self.requeue(context, key);
        } else {
            self.give_up(context, key, "the executor refused the call");
        }
    }

    /// Uses one retry of the budget of the call's customer. Returns false if none is left.
    fn use_retry(&mut self, context: &CallContext<'_>, key: CallKey) -> bool {
        let Some(record) = self.calls.get(key) else { return false };
        self.budget.take_retry(&record.call.customer, context.now())
    }

    /// Counts a running call as long once it has run for longer than short calls do, so that it
    /// counts against the limit on slots of long calls.
    pub(super) fn mark_long_calls(&mut self, now: MonotonicTime) {
        let Some(limit) = self.runtimes.long_threshold() else { return };
        while let Some(&(started, exchange)) = self.unclassified.front() {
            let Some(dispatch) = self.dispatches.get(&exchange) else {
                self.unclassified.pop_front();
                continue;
            };
            if now.saturating_sub(started) <= limit {
                return;
            }
            self.executors.mark_long(dispatch.reservation);
            self.unclassified.pop_front();
        }
    }
}
