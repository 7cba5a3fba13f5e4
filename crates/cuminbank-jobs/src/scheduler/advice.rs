//! Tickets from the advice service, which decides on which executors a step may run.
//!
//! A decision takes time for each executor in the call, and the service handles calls one after the
//! other. A call therefore only contains the executors with the lowest costs for a step; a later
//! call asks for further ones only if these do not suffice.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use cuminbank::log::{ADVICE_GRANTED, ADVICE_REQUESTED, ADVICE_UNANSWERED};

use super::{
    state::{ExecutorKey, JobKey},
    JobEffect, JobScheduler,
};
use crate::{
    ids::{ExecutorName, MonotonicTime, OrderId},
    job::StepId,
    order::{AdviceFailure, AdviceReply},
};

/// Maximum number of executors per call. With more, a decision takes too long for the latency
/// objective of a job.
const MAX_ASKED_EXECUTORS: usize = 30;
/// Maximum number of calls in flight. The service handles one at a time and refuses the 33rd.
const MAX_CALLS: usize = 4;
/// Time allowed for the reply in addition to the decision times in the terms of the queue.
const ADVICE_MARGIN: Duration = Duration::from_millis(700);
/// Remaining validity below which a ticket is not used, which leaves time to send and resend the
/// start.
const TICKET_MARGIN: Duration = Duration::from_millis(400);
/// Delay before the next call for a step after one that returned no usable reply.
const ADVICE_PAUSE: Duration = Duration::from_millis(250);

/// Job, occurrence and step.
pub(super) type StepKey = (JobKey, u32, usize);

/// Tickets and calls of one step.
#[derive(Debug, Default)]
struct StepAdvice {
    tickets: BTreeMap<ExecutorKey, (String, MonotonicTime)>,
    /// Executors on which the service does not allow the step. Its decision is final.
    refused: HashSet<ExecutorKey>,
    call: Option<OrderId>,
    next_at: MonotonicTime,
}

/// Tickets of all steps, and calls in flight.
#[derive(Debug, Default)]
pub(super) struct AdviceState {
    steps: BTreeMap<StepKey, StepAdvice>,
    calls: BTreeMap<OrderId, (StepKey, Vec<ExecutorKey>)>,
}

impl JobScheduler {
    /// Returns the ticket for starting a step on an executor, if one is valid for long enough.
    pub(super) fn ticket(&self, step: StepKey, executor: ExecutorKey) -> Option<&str> {
        let (ticket, expires_at) = self.advice.steps.get(&step)?.tickets.get(&executor)?;
        (self.now + TICKET_MARGIN < *expires_at).then_some(ticket.as_str())
    }

    /// Drops a ticket that the executor rejected.
    pub(super) fn drop_ticket(&mut self, step: StepKey, executor: ExecutorKey) {
        if let Some(advice) = self.advice.steps.get_mut(&step) {
            advice.tickets.remove(&executor);
        }
    }

    /// Drops all tickets for the steps of a job.
    pub(super) fn drop_advice(&mut self, job: JobKey) {
        self.advice.steps.retain(|(key, _, _), _| *key != job);
    }

    /// Requests tickets for the first [`MAX_ASKED_EXECUTORS`] executors for which the step has no
    /// valid ticket and which the service has not refused. `suitable` is ordered by cost. Does
    /// nothing while a call for the step is in flight or delayed, or [`MAX_CALLS`] are in flight.
    pub(super) fn ask_advice(&mut self, step: StepKey, suitable: &[ExecutorKey]) {
        let now = self.now;
        let (job_key, occurrence, number) = step;
        let job = &self.jobs[job_key];
        let Some(terms) = job.record.terms.advice else { return };
        let name = StepId { job: job.id, occurrence, step: number as u32 };
        let in_flight = self.advice.calls.len();
        let known = self.advice.steps.entry(step).or_default();
        if known.call.is_some() || now < known.next_at || in_flight >= MAX_CALLS {
            return;
        }
        let asked: Vec<ExecutorKey> = suitable
            .iter()
            .copied()
            .filter(|key| !known.refused.contains(key))
            .filter(|key| {
                known
                    .tickets
                    .get(key)
                    .is_none_or(|(_, expires_at)| now + TICKET_MARGIN >= *expires_at)
            })
            .take(MAX_ASKED_EXECUTORS)
            .collect();
        if asked.is_empty() {
            return;
        }
        self.last_order += 1;
        let id = self.last_order;
        known.call = Some(id);
        let names: Vec<ExecutorName> =
            asked.iter().map(|key| self.executors[*key].name.clone()).collect();
        let decision_ms = u64::from(terms.decision_ms)
            + u64::from(terms.per_executor_ms) * asked.len() as u64 * MAX_CALLS as u64;
        let detail = format!("step={}.{} executors={}", occurrence, number, names.len());
        self.advice.calls.insert(id, (step, asked));
        self.log(ADVICE_REQUESTED, Some(name.job), detail);
        let timeout = Duration::from_millis(decision_ms) + ADVICE_MARGIN;
        self.effects.push(JobEffect::AskAdvice { id, step: name, executors: names, timeout });
    }

    pub(super) fn on_advice_completed(
        &mut self,
        id: OrderId,
        result: Result<AdviceReply, AdviceFailure>,
    ) {
        let now = self.now;
        let Some((step, asked)) = self.advice.calls.remove(&id) else { return };
        self.pass_needed = true;
        let Some(job) = self.jobs.get(step.0).map(|job| job.id) else { return };
        let names: BTreeMap<ExecutorName, ExecutorKey> = asked
            .iter()
            .filter_map(|key| Some((self.executors.get(*key)?.name.clone(), *key)))
            .collect();
        let Some(known) = self.advice.steps.get_mut(&step) else { return };
        known.call = None;
        match result {
            Ok(reply) => {
                let expires_at = now + reply.valid;
                for (name, ticket) in &reply.allowed {
                    if let Some(key) = names.get(name) {
                        known.tickets.insert(*key, (ticket.clone(), expires_at));
                    }
                }
                let allowed = |key: &ExecutorKey| {
                    known.tickets.get(key).is_some_and(|(_, until)| *until == expires_at)
                };
                known.refused.extend(asked.iter().copied().filter(|key| !allowed(key)));
                let detail = format!(
                    "step={}.{} asked={} allowed={} valid_ms={}",
                    step.1,
                    step.2,
                    asked.len(),
                    reply.allowed.len(),
                    reply.valid.as_millis()
                );
                self.log(ADVICE_GRANTED, Some(job), detail);
            }
            Err(failure) => {
                known.next_at = now + ADVICE_PAUSE;
                let detail = format!("step={}.{} cause={failure:?}", step.1, step.2);
                self.log(ADVICE_UNANSWERED, Some(job), detail);
            }
        }
    }
}
