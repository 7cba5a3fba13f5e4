//! Executors for the tasks of one step, by cost. The tasks of a step are alike, so that the executors are
//! looked at once for all of them; after a start only the executor that got it is looked at again.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::{
    pass::START_UNITS,
    state::{ExecutorCounts, ExecutorKey, ExecutorState, JobKey},
    JobScheduler,
};
use crate::{colocation::MinorLoss, job::JobStep};

/// Units of work for working out the cost of a task on an executor with room.
pub(super) const EVALUATION_UNITS: u32 = 8;

/// What is placed: a task of a step, with what is known of it alone.
pub(super) struct CandidateSearch<'a> {
    pub(super) key: JobKey,
    /// Occurrence and step.
    pub(super) place: (u32, usize),
    /// Runs of the step on each executor.
    pub(super) counts: &'a ExecutorCounts,
    /// Executors on which the task failed.
    pub(super) failed_on: &'a [String],
    pub(super) terms: PlacingTerms,
}

/// What a task may do for a place.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct PlacingTerms {
    /// Whether a filling task has waited, so that faint losses of services do not count.
    pub(super) waited: bool,
    /// Whether it may disturb services.
    pub(super) starving: bool,
    /// Whether shunned executors are looked at, and no others.
    pub(super) on_probation: bool,
}

impl PlacingTerms {
    /// Returns whether faint losses of services count.
    pub(super) fn faint_loss(self) -> MinorLoss {
        match self.waited || self.starving {
            true => MinorLoss::Ignored,
            false => MinorLoss::Counted,
        }
    }
}

/// Executors with room for the tasks of a step.
pub(super) struct StepCandidates {
    /// Occurrence and step.
    pub(super) place: (u32, usize),
    pub(super) terms: PlacingTerms,
    counts: ExecutorCounts,
    by_cost: BinaryHeap<Reverse<(u64, ExecutorKey)>>,
}

impl StepCandidates {
    fn search(&self, key: JobKey) -> CandidateSearch<'_> {
        let (place, counts) = (self.place, &self.counts);
        CandidateSearch { key, place, counts, failed_on: &[], terms: self.terms }
    }
}

impl ExecutorState {
    /// Tells at little cost whether an executor may have room for a task of a step.
    pub(super) fn may_have_room(&self, spec: &JobStep) -> bool {
        let cpu = spec.fills
            || spec.needs.cpu_millis
                <= self.capacity.cpu_millis.saturating_sub(self.reserved.cpu_millis);
        cpu && spec.needs.fits_beside(&self.reserved, &self.capacity)
    }
}

impl JobScheduler {
    /// Looks at all executors for the tasks of a step.
    pub(super) fn find_candidates(
        &mut self,
        key: JobKey,
        place: (u32, usize),
        terms: PlacingTerms,
        placeable: &[ExecutorKey],
    ) -> StepCandidates {
        let counts = self.step_counts(&self.jobs[key], place.0, place.1);
        let mut candidates = StepCandidates { place, terms, counts, by_cost: BinaryHeap::new() };
        let search = candidates.search(key);
        let costs = placeable
            .iter()
            .filter_map(|executor| Some(Reverse((self.cost_on(&search, *executor)?, *executor))));
        let by_cost: BinaryHeap<_> = costs.collect();
        self.spend(placeable.len() as u32 + by_cost.len() as u32 * EVALUATION_UNITS);
        candidates.by_cost = by_cost;
        candidates
    }

    /// Takes the executor on which the next task costs least.
    pub(super) fn take_candidate(
        &mut self,
        key: JobKey,
        candidates: &mut StepCandidates,
    ) -> Option<ExecutorKey> {
        while let Some(Reverse((cost, executor))) = candidates.by_cost.pop() {
            self.spend(EVALUATION_UNITS);
            // A start elsewhere may have made an image one that is tried on enough executors.
            match self.cost_on(&candidates.search(key), executor) {
                Some(now) if now <= cost => return Some(executor),
                Some(now) => candidates.by_cost.push(Reverse((now, executor))),
                None => {}
            }
        }
        None
    }

    /// Takes a candidate that got a task back, if it has room for another.
    pub(super) fn return_candidate(
        &mut self,
        key: JobKey,
        candidates: &mut StepCandidates,
        executor: ExecutorKey,
    ) {
        *candidates.counts.entry(executor).or_default() += 1;
        self.spend(START_UNITS);
        if let Some(cost) = self.cost_on(&candidates.search(key), executor) {
            candidates.by_cost.push(Reverse((cost, executor)));
        }
    }
}
