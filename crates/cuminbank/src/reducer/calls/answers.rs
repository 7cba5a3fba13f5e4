//! Final answers: sent to callers and peers, stored with tickets and counted in the day record.

use std::time::Duration;

use crate::{
    admission::RetrySchedule,
    effect::{CallOutcome, CallerAnswer, EntryEffect, MetricSample, MetricValue},
    log,
    message::PeerReply,
    reducer::records::{CallSample, RecordPart},
    reducer::step::StepContext,
};

use super::{
    state::{CallKey, CallRecord, CallWaiter, WaiterOrigin},
    CallContext, CallPart,
};

/// Assumed interval between the starts of two queued calls while no run time has been measured.
const DEFAULT_SERVICE_INTERVAL: Duration = Duration::from_millis(10);
/// Assumed time to drain the queue while no executor accepts calls, which is about the duration of
/// a takeover.
const DEFAULT_DRAIN_TIME: Duration = Duration::from_secs(5);

impl CallPart {
    /// Removes a call, stores the answer with its ticket and sends it to all waiters.
    pub(super) fn finish(
        &mut self,
        context: &mut CallContext<'_>,
        key: CallKey,
        answer: CallerAnswer,
    ) {
        let Some(record) = self.calls.remove(key) else { return };
        self.store_ticket_answer(&record, &answer);
        for waiter in record.waiters {
            self.answer_waiter(context.step, context.records, waiter, answer.clone());
        }
    }

    /// Ends a call that will not run again. Its answer is that of an earlier failed run, if there
    /// was one; otherwise the outcome is "unknown", or "not run" if no byte of it can have been
    /// sent.
    pub(super) fn give_up(&mut self, context: &mut CallContext<'_>, key: CallKey, reason: &str) {
        let Some(record) = self.calls.get_mut(key) else { return };
        let fallback = record.fallback.take();
        let (may_have_been_sent, group) = (record.may_have_been_sent, record.group);
        let answer = match fallback {
            Some(answer) => answer,
            None if may_have_been_sent => CallerAnswer::new_unknown(reason),
            None => CallerAnswer::new_busy(reason, self.retry_after(context.step, group)),
        };
        self.finish(context, key, answer);
    }

    /// Sends an answer to a caller or a peer. Only the calls of callers are counted, so that a
    /// forwarded call is counted once, at the instance to which its caller is connected.
    pub(super) fn answer_waiter(
        &mut self,
        step: &mut StepContext,
        records: &mut RecordPart,
        waiter: CallWaiter,
        answer: CallerAnswer,
    ) {
        let connected = self.replies.complete(waiter.reply);
        if waiter.origin == WaiterOrigin::Peer {
            let answer = PeerReply::Answer(answer);
            step.push(EntryEffect::AnswerPeer { reply: waiter.reply, answer });
            return;
        }
        count_answer(step, records, &waiter, &answer);
        if connected {
            step.answer(waiter.reply, answer);
        }
    }

    /// Answers a peer that this instance did not accept the call, so that the peer may try another
    /// owner.
    pub(super) fn answer_not_owner(&mut self, step: &mut StepContext, waiter: &CallWaiter) {
        self.replies.complete(waiter.reply);
        let answer = PeerReply::NotOwner;
        step.push(EntryEffect::AnswerPeer { reply: waiter.reply, answer });
    }

    /// Draws the delay after which a refused caller should retry, from the time that the group's
    /// queue needs to drain.
    pub(super) fn retry_after(&mut self, step: &mut StepContext, group: u16) -> Duration {
        let slots = self.executors.usable_slots(group);
        let now = step.now();
        let Some(term) = self.terms.get_mut(&group).filter(|_| slots > 0) else {
            return self.retry_schedule.draw_delay(
                &mut step.rng,
                now,
                DEFAULT_DRAIN_TIME,
                DEFAULT_SERVICE_INTERVAL,
            );
        };
        let slots = slots as f64;
        let drain_time = (term.queue.cost(false) + term.queue.cost(true)).div_f64(slots);
        let mean = self.runtimes.mean_of_all();
        let service_interval = mean.map_or(DEFAULT_SERVICE_INTERVAL, |mean| mean.div_f64(slots));
        RetrySchedule::draw_delay(
            &mut term.retry_schedule,
            &mut step.rng,
            now,
            drain_time,
            service_interval,
        )
    }

    fn store_ticket_answer(&mut self, record: &CallRecord, answer: &CallerAnswer) {
        let Some(ticket) = &record.call.ticket else { return };
        // The call may have run in another group, whose epoch says nothing about the ticket. A term
        // without a state of the ticket ignores the answer.
        if let Some(term) = self.terms.get_mut(&ticket.group) {
            term.tickets.record_answer(ticket, answer);
        }
        if let Some(term) = self.ended_terms.get_mut(&ticket.group) {
            term.tickets.record_answer(ticket, answer);
        }
    }
}

fn count_answer(
    step: &mut StepContext,
    records: &mut RecordPart,
    waiter: &CallWaiter,
    answer: &CallerAnswer,
) {
    let now = step.now();
    let done = answer.outcome == CallOutcome::Done;
    let elapsed = now.saturating_sub(waiter.arrived);
    records.count_call(&CallSample {
        profile: waiter.profile.clone(),
        customer: waiter.customer.clone(),
        class: waiter.class.clone(),
        outcome: answer.outcome,
        on_time: done && waiter.deadline.is_some_and(|deadline| now <= deadline),
        confirms_slot: waiter.confirms_slot && done && (200..300).contains(&answer.status),
        elapsed,
    });
    if answer.outcome == CallOutcome::Unknown {
        let detail = format!(
            "profile {}, customer {}, class {}, after {} ms",
            waiter.profile,
            waiter.customer,
            waiter.class,
            elapsed.as_millis()
        );
        step.log(log::CALL_OUTCOME_UNKNOWN, detail);
    }
    let name = match answer.outcome {
        CallOutcome::Done => "calls.done",
        CallOutcome::Accepted => "calls.accepted",
        CallOutcome::NotRun => "calls.not_run",
        CallOutcome::Unknown => "calls.unknown",
    };
    for (name, value) in [(name, MetricValue::Count(1)), ("calls.time", MetricValue::Time(elapsed))]
    {
        step.metric(MetricSample {
            name,
            class: waiter.class.clone(),
            customer: waiter.customer.clone(),
            value,
        });
    }
}
