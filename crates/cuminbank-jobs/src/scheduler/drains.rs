//! Stops runs on draining executors before these leave.
//!
//! A long-running task goes on while its executor drains, since it would otherwise wait for room or
//! take it from other jobs. If the rest of the pool has room to spare, it moves at once.

use std::{collections::HashSet, time::Duration};

use super::{
    candidates::{CandidateSearch, PlacementRules},
    state::{ExecutorKey, RunKey, RunPhase, RunState},
    JobScheduler,
};

/// Time before a draining executor leaves at which its runs are stopped, so that they can save
/// their checkpoints.
const LEAVE_MARGIN: Duration = Duration::from_millis(500);
/// The same for long-running tasks. It allows for the delay of the list of executors: a task that
/// is lost with its executor waits until the leases there have expired.
const LONG_RUNNING_LEAVE_MARGIN: Duration = Duration::from_millis(1_000);
/// Percentage of the pool's CPU that must stay unreserved if all long-running tasks move away from
/// draining executors before they have to.
const SPARE_PERCENT: u64 = 20;
/// Interval between searches for room for long-running tasks on draining executors.
const MOVE_INTERVAL: Duration = Duration::from_millis(100);

impl JobScheduler {
    pub(super) fn stop_runs_on_draining_executors(&mut self) {
        for run in self.leaving_runs() {
            self.stop_run(run, "executor is draining");
        }
        if self.now < self.next_moves_at {
            return;
        }
        self.next_moves_at = self.now + MOVE_INTERVAL;
        for run in self.movable_runs() {
            self.stop_run(run, "executor is draining and another has room");
        }
    }

    /// Returns the runs on draining executors that are about to leave.
    fn leaving_runs(&self) -> Vec<RunKey> {
        let is_leaving = |key: &RunKey| {
            let run = &self.runs[*key];
            let margin = match run.long_running {
                true => LONG_RUNNING_LEAVE_MARGIN,
                false => LEAVE_MARGIN,
            };
            let leaves_at = self.executors[run.executor].leaves_at.unwrap_or(self.now);
            run.phase == RunPhase::Running && self.now + margin >= leaves_at
        };
        self.draining_runs().filter(is_leaving).collect()
    }

    fn draining_runs(&self) -> impl Iterator<Item = RunKey> + '_ {
        let draining = self.executors.values().filter(|executor| executor.draining);
        draining.flat_map(|executor| executor.runs.iter().copied())
    }

    /// Returns long-running runs on draining executors that can move now, at most one for each
    /// executor with room. The next ones follow once these have been stopped.
    fn movable_runs(&self) -> Vec<RunKey> {
        let reachable = || {
            let runs = self.draining_runs().map(|key| (key, &self.runs[key]));
            runs.filter(|(_, run)| self.executors[run.executor].hold.failures == 0)
        };
        if reachable().any(|(_, run)| run.phase == RunPhase::Stopping) {
            return Vec::new();
        }
        let mut movable: Vec<RunKey> =
            reachable().filter(|(_, run)| self.is_movable(run)).map(|(key, _)| key).collect();
        if movable.is_empty() {
            return movable;
        }
        let mut placeable: Vec<ExecutorKey> = self
            .executors
            .iter()
            .filter(|(_, executor)| self.is_placeable(executor))
            .map(|(key, _)| key)
            .collect();
        if !self.has_spare_room(&movable, &placeable) {
            return Vec::new();
        }
        movable.sort_by_key(|key| self.executors[self.runs[*key].executor].leaves_at);
        let mut unplaceable = HashSet::new();
        movable.retain(|key| {
            let run = &self.runs[*key];
            let job = &self.jobs[run.job];
            let position = job.layout.position(run.task);
            let step = (run.job, position);
            if unplaceable.contains(&step) {
                return false;
            }
            let counts = self.step_counts(job, position.0, position.1);
            let rules = PlacementRules::default();
            let search =
                CandidateSearch { key: run.job, position, counts: &counts, failed_on: &[], rules };
            let Some(room) = placeable.iter().position(|key| self.cost_on(&search, *key).is_ok())
            else {
                unplaceable.insert(step);
                return false;
            };
            placeable.swap_remove(room);
            true
        });
        movable
    }

    /// Returns whether a run may be stopped while its executor still stays. The stop of a member of
    /// a gang would end the others, which may be on executors that stay.
    fn is_movable(&self, run: &RunState) -> bool {
        let job = &self.jobs[run.job];
        let (_, step) = job.layout.position(run.task);
        run.long_running && run.phase == RunPhase::Running && !job.record.steps[step].gang
    }

    /// Returns whether the given executors keep [`SPARE_PERCENT`] of their CPU unreserved if all of
    /// these runs move there.
    fn has_spare_room(&self, movable: &[RunKey], placeable: &[ExecutorKey]) -> bool {
        let needed: u64 =
            movable.iter().map(|key| u64::from(self.runs[*key].needs.cpu_millis)).sum();
        let executors = || placeable.iter().map(|key| &self.executors[*key]);
        let total: u64 = executors().map(|executor| u64::from(executor.capacity.cpu_millis)).sum();
        let reserved: u64 =
            executors().map(|executor| u64::from(executor.reserved.cpu_millis)).sum();
        (reserved + needed) * 100 <= total * (100 - SPARE_PERCENT)
    }
}
