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
    candidates::{CandidateSearch, PlacementRules, EVALUATION_UNITS},
    state::{ExecutorKey, JobKey},
    JobEffect, JobScheduler,
};
use crate::{
    ids::{ExecutorName, MonotonicTime, OrderId, TaskIndex},
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

/// Number of searches for executors to ask about in a pass. The next passes go on with the steps
/// left out, so that many steps without tickets do not delay other tasks.
const MAX_TICKET_SEARCHES: u32 = 32;

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
    /// Round of the last search for executors to ask about.
    round: u64,
}

/// Tickets of all steps, and calls in flight.
#[derive(Debug, Default)]
pub(super) struct AdviceState {
    steps: BTreeMap<StepKey, StepAdvice>,
    calls: BTreeMap<OrderId, (StepKey, Vec<ExecutorKey>)>,
    /// Number of the round of searches. A round takes several passes if each of them reaches
    /// [`MAX_TICKET_SEARCHES`], and has one search per step.
    round: u64,
    /// Number of searches in the current pass.
    searches: u32,
    /// Whether the current pass left out a search, and whether the last one did, so that the current
    /// one goes on with its round.
    incomplete: bool,
    continues: bool,
}

/// Whether a step has the tickets that it needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TicketCheck {
    /// It has tickets for executors that can run a task, or all tasks of its gang.
    Sufficient,
    /// It does not. All executors were searched for further ones to ask about.
    Searched,
    /// It does not, and no search was made: a call is in flight or delayed, as many calls as
    /// possible are in flight, or a bound of the pass was reached.
    Waiting,
}

impl AdviceState {
    /// Resets the bound on searches for a new pass, and begins a round unless the last one goes on.
    pub(super) fn begin_pass(&mut self) {
        self.continues = std::mem::take(&mut self.incomplete);
        self.round += u64::from(!self.continues);
        self.searches = 0;
    }

    /// Returns whether no search was left out in the current pass.
    pub(super) fn is_pass_complete(&self) -> bool {
        !self.incomplete && !self.continues
    }

    /// Returns whether the service does not allow a step on an executor.
    pub(super) fn is_refused(&self, step: StepKey, executor: ExecutorKey) -> bool {
        self.steps.get(&step).is_some_and(|known| known.refused.contains(&executor))
    }

    /// Returns whether a call for a step may be made now.
    pub(super) fn may_ask(&self, step: StepKey, now: MonotonicTime) -> bool {
        let known = self.steps.get(&step);
        self.calls.len() < MAX_CALLS
            && known.is_none_or(|known| known.call.is_none() && now >= known.next_at)
    }

    /// Counts a search for a step, or returns false if a bound does not allow it.
    fn count_search(&mut self, step: StepKey) -> bool {
        let round = self.round;
        let known = self.steps.entry(step).or_default();
        if known.round == round {
            return false;
        }
        if self.searches >= MAX_TICKET_SEARCHES {
            self.incomplete = true;
            return false;
        }
        known.round = round;
        self.searches += 1;
        true
    }
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

    /// Checks whether there are valid tickets for executors that can run a task, or all tasks of its
    /// gang. Otherwise requests more tickets from the advice service.
    pub(super) fn check_tickets(
        &mut self,
        key: JobKey,
        task: TaskIndex,
        rules: PlacementRules,
        placeable: &[ExecutorKey],
    ) -> TicketCheck {
        let job = &self.jobs[key];
        let position = job.layout.position(task);
        let step = (key, position.0, position.1);
        let spec = &job.record.steps[position.1];
        // The placement of gangs does not check interference.
        let rules = PlacementRules { starving: rules.starving || spec.gang, ..rules };
        let counts = self.step_counts(job, position.0, position.1);
        let search = CandidateSearch { key, position, counts: &counts, failed_on: &[], rules };
        let known = self.advice.steps.get(&step);
        let ticketed: Vec<ExecutorKey> =
            known.iter().flat_map(|known| known.tickets.keys().copied()).collect();
        let (sufficient, evaluated) = match spec.gang && !ticketed.is_empty() {
            true => {
                let executors = self.gang_executors(job, position.1, placeable);
                let assigned = self.assign_gang(job, position.0, position.1, &executors);
                (assigned.is_some(), executors.len())
            }
            false => {
                let is_usable = |key: &ExecutorKey| self.cost_on(&search, *key).is_ok();
                (ticketed.iter().any(is_usable), ticketed.len())
            }
        };
        self.charge_units(1 + evaluated as u32 * EVALUATION_UNITS);
        if sufficient {
            return TicketCheck::Sufficient;
        }
        if !self.advice.may_ask(step, self.now) || !self.advice.count_search(step) {
            return TicketCheck::Waiting;
        }
        let known = &self.advice.steps[&step];
        let mut suitable: Vec<(u64, ExecutorKey)> = placeable
            .iter()
            .copied()
            .filter(|key| !known.refused.contains(key) && self.ticket(step, *key).is_none())
            .filter_map(|key| Some((self.cost_with_ticket(&search, key).ok()?, key)))
            .collect();
        self.charge_units(placeable.len() as u32 + suitable.len() as u32 * EVALUATION_UNITS);
        suitable.sort_unstable();
        suitable.truncate(MAX_ASKED_EXECUTORS);
        if !suitable.is_empty() {
            self.ask_advice(step, suitable.into_iter().map(|(_, key)| key).collect());
        }
        TicketCheck::Searched
    }

    /// Requests tickets of a step for executors.
    fn ask_advice(&mut self, step: StepKey, asked: Vec<ExecutorKey>) {
        let (job_key, occurrence, number) = step;
        let job = &self.jobs[job_key];
        let Some(terms) = job.record.terms.advice else { return };
        let name = StepId { job: job.id, occurrence, step: number as u32 };
        self.last_order += 1;
        let id = self.last_order;
        self.advice.steps.entry(step).or_default().call = Some(id);
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
