//! Cached executors for the tasks of one step, ordered by cost.
//!
//! All tasks of a step have the same needs, so the result of one search is used for all of them.
//! After a start only the executor that received the task is evaluated again. Each executor is also
//! evaluated once more before it is chosen.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::{
    pass::START_UNITS,
    refusals::SearchFailure,
    state::{ExecutorKey, ExecutorState, JobKey, RunsPerExecutor},
    JobScheduler,
};
use crate::{colocation::MinorLoss, job::JobStep};

/// Work units for computing the cost of a task on an executor with free capacity.
pub(super) const EVALUATION_UNITS: u32 = 8;

/// Parameters of a search for an executor.
pub(super) struct CandidateSearch<'a> {
    pub(super) key: JobKey,
    /// Occurrence and step of the task.
    pub(super) position: (u32, usize),
    /// Runs of the same step on each executor.
    pub(super) counts: &'a RunsPerExecutor,
    /// Names of the executors on which the task failed before.
    pub(super) failed_on: &'a [String],
    pub(super) rules: PlacementRules,
}

/// Constraints that are relaxed for a task because of its wait.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct PlacementRules {
    /// Whether a best-effort task has waited so long that minor losses of slack are reduced towards
    /// zero.
    pub(super) waited: bool,
    /// Whether a best-effort task may push latency-critical ones over their targets.
    pub(super) starving: bool,
    /// Whether only quarantined executors are considered, instead of only the others.
    pub(super) on_probation: bool,
    /// Run time in milliseconds that a task is unlikely to exceed. `None` if it runs until its job is
    /// cancelled, has no estimate, or if no executors are reserved.
    pub(super) longest_ms: Option<u32>,
    /// Whether a task may start on executors that are reserved for others.
    pub(super) ignores_reservations: bool,
}

impl PlacementRules {
    /// Returns whether minor losses of slack count in full against an executor.
    pub(super) fn minor_loss(self) -> MinorLoss {
        match self.waited || self.starving {
            true => MinorLoss::Ignored,
            false => MinorLoss::Counted,
        }
    }
}

/// Executors that can run the tasks of a step, the one with the lowest cost first.
pub(super) struct StepCandidates {
    /// Occurrence and step of the tasks.
    pub(super) position: (u32, usize),
    pub(super) rules: PlacementRules,
    counts: RunsPerExecutor,
    by_cost: BinaryHeap<Reverse<(u64, ExecutorKey)>>,
    /// What it shows if no executor is left.
    failure: SearchFailure,
}

impl StepCandidates {
    fn search(&self, key: JobKey) -> CandidateSearch<'_> {
        let (position, counts) = (self.position, &self.counts);
        CandidateSearch { key, position, counts, failed_on: &[], rules: self.rules }
    }
}

impl ExecutorState {
    /// Cheap check that excludes most executors without free capacity for a task of a step.
    pub(super) fn may_have_capacity_for(&self, spec: &JobStep) -> bool {
        let cpu = spec.fills
            || spec.needs.cpu_millis
                <= self.capacity.cpu_millis.saturating_sub(self.reserved.cpu_millis);
        cpu && spec.needs.fits_beside(&self.reserved, &self.capacity)
    }
}

impl JobScheduler {
    /// Evaluates all given executors for the tasks of a step.
    pub(super) fn find_candidates(
        &mut self,
        key: JobKey,
        position: (u32, usize),
        rules: PlacementRules,
        placeable: &[ExecutorKey],
    ) -> StepCandidates {
        let counts = self.step_counts(&self.jobs[key], position.0, position.1);
        let by_cost = BinaryHeap::new();
        let failure = SearchFailure::default();
        let mut candidates = StepCandidates { position, rules, counts, by_cost, failure };
        for executor in placeable {
            self.evaluate(key, &mut candidates, *executor);
        }
        let found = candidates.by_cost.len() as u32;
        self.charge_units(placeable.len() as u32 + found * EVALUATION_UNITS);
        self.charge_risk_units(key, position.1, found);
        candidates
    }

    /// Removes and returns the executor with the lowest cost for the next task, or what it shows
    /// that there is none.
    pub(super) fn pop_candidate(
        &mut self,
        key: JobKey,
        candidates: &mut StepCandidates,
    ) -> Result<ExecutorKey, SearchFailure> {
        while let Some(Reverse((cost, executor))) = candidates.by_cost.pop() {
            self.charge_units(EVALUATION_UNITS);
            // The cost may have changed since the search: a start on another executor may have
            // reached the limit on executors for an uncertain image pair.
            match self.cost_on(&candidates.search(key), executor) {
                Ok(now) if now <= cost => return Ok(executor),
                Ok(now) => candidates.by_cost.push(Reverse((now, executor))),
                Err(refusal) => candidates.failure = candidates.failure.max(refusal.failure()),
            }
        }
        Err(candidates.failure)
    }

    /// Counts a started run on an executor and adds the executor again if it can run another task.
    pub(super) fn push_candidate(
        &mut self,
        key: JobKey,
        candidates: &mut StepCandidates,
        executor: ExecutorKey,
    ) {
        *candidates.counts.entry(executor).or_default() += 1;
        self.charge_units(START_UNITS);
        self.evaluate(key, candidates, executor);
    }

    /// Adds an executor if it can run a task of the step.
    fn evaluate(&self, key: JobKey, candidates: &mut StepCandidates, executor: ExecutorKey) {
        match self.cost_on(&candidates.search(key), executor) {
            Ok(cost) => candidates.by_cost.push(Reverse((cost, executor))),
            Err(refusal) => candidates.failure = candidates.failure.max(refusal.failure()),
        }
    }
}
