//! Check of the placement: a pass must leave no task waiting that an executor accepts.

use super::{
    candidates::{CandidateSearch, PlacementRules},
    refusals::PlacementRefusal,
    state::{ExecutorKey, JobKey, TaskPhase},
    JobScheduler,
};
use crate::{
    ids::{ExecutorName, TaskIndex},
    job::TaskName,
};

/// Ready task that a complete pass left waiting although an executor accepts it.
#[derive(Clone, Debug, PartialEq)]
pub struct MissedPlacement {
    /// The task.
    pub task: TaskName,
    /// Executor that accepts it.
    pub executor: ExecutorName,
    /// Whether the executor accepts it only with a ticket that may be requested.
    pub needs_ticket: bool,
}

impl JobScheduler {
    /// Returns whether the last event led to a complete pass that started nothing, with no start in
    /// flight. A pass is complete if no bound left out a task.
    pub fn is_settled(&self) -> bool {
        self.pass_complete && self.starts_in_flight == 0
    }

    /// Evaluates all executors for each ready task, without anything that a pass remembers. Empty
    /// while [`Self::is_settled`], unless the placement has a fault.
    pub fn missed_placements(&self) -> Vec<MissedPlacement> {
        let mut missed = Vec::new();
        for key in &self.waiting {
            let job = &self.jobs[*key];
            if job.outcome.is_some() {
                continue;
            }
            for task in job.ready.iter().filter(|task| self.may_start(job, **task)) {
                let Some((executor, needs_ticket)) = self.find_missed(*key, *task) else {
                    continue;
                };
                let executor = self.executors[executor].name.clone();
                let task = job.layout.name(job.id, *task);
                missed.push(MissedPlacement { task, executor, needs_ticket });
            }
        }
        missed
    }

    /// Returns an executor that accepts a ready task or the gang of which it is a member, and
    /// whether the task lacks the ticket for it.
    fn find_missed(&self, key: JobKey, task: TaskIndex) -> Option<(ExecutorKey, bool)> {
        let job = &self.jobs[key];
        let position = job.layout.position(task);
        let gang = job.record.steps[position.1].gang;
        let mut members = job.step_range(position.0, position.1);
        let is_ready = |task: TaskIndex| job.tasks[task as usize].phase == TaskPhase::Ready;
        // A gang also waits for the runs of its members to end.
        if gang && !members.all(is_ready) {
            return None;
        }
        let idle = job.tasks.iter().all(|task| task.runs.is_empty());
        let rules = self.placement_rules(job, task, idle);
        let counts = self.step_counts(job, position.0, position.1);
        let evaluate = |rules: PlacementRules, executor: ExecutorKey| {
            let search = CandidateSearch { key, position, counts: &counts, failed_on: &[], rules };
            self.cost_on(&search, executor)
        };
        let step = (key, position.0, position.1);
        let may_ask = job.record.terms.advice.is_some() && self.advice.may_ask(step, self.now);
        let askable = self.executors.keys().find(|executor| {
            may_ask
                && evaluate(rules, *executor) == Err(PlacementRefusal::Ticket)
                && !self.advice.is_refused(step, *executor)
        });
        let mostly_quarantined = self.is_mostly_quarantined(job, &job.record.steps[position.1]);
        let accepted = match gang {
            true => self.find_missed_gang(key, position),
            false => self.executors.keys().find(|executor| {
                let probation = PlacementRules { on_probation: true, ..PlacementRules::default() };
                evaluate(rules, *executor).is_ok()
                    || (self.is_allowed_probation(job, task, mostly_quarantined)
                        && evaluate(probation, *executor).is_ok())
            }),
        };
        let needs_ticket = accepted.is_none();
        Some((accepted.or(askable)?, needs_ticket))
    }

    /// Returns the executor for the first member of a gang if there is one for each.
    fn find_missed_gang(
        &self,
        key: JobKey,
        (occurrence, step): (u32, usize),
    ) -> Option<ExecutorKey> {
        let job = &self.jobs[key];
        let executors: Vec<ExecutorKey> = self
            .executors
            .iter()
            .filter(|(key, executor)| {
                self.is_placeable(executor) && !self.is_closed_to_gang(job, *key)
            })
            .map(|(key, _)| key)
            .collect();
        self.assign_gang(job, occurrence, step, &executors)?.first().copied()
    }
}
