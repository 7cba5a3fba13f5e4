//! Evacuated zones: their executors get no new work.
//!
//! What runs there goes on. Moving it would take capacity from the rest of the pool, which has to
//! run all new work while the evacuation lasts.

use std::collections::BTreeSet;

use cuminbank::log::{ZONE_EVACUATED, ZONE_REOPENED};

use super::{
    state::{ExecutorState, RunKey, RunPhase, RunState},
    JobScheduler,
};
use crate::ids::ZoneName;

impl JobScheduler {
    /// Applies the zones under evacuation. Starts that have not been confirmed are withdrawn, since
    /// repeating them would start work in an evacuated zone.
    pub(super) fn on_evacuations_changed(&mut self, zones: BTreeSet<ZoneName>) {
        let began: Vec<ZoneName> = zones.difference(&self.evacuated_zones).cloned().collect();
        let ended: Vec<ZoneName> = self.evacuated_zones.difference(&zones).cloned().collect();
        self.evacuated_zones = zones;
        for executor in self.executors.values_mut() {
            executor.evacuated = self.evacuated_zones.contains(&executor.zone);
        }
        for zone in began {
            let unconfirmed = self.unconfirmed_starts(&zone);
            let (executors, runs) = self.zone_counts(&zone);
            let detail = format!(
                "zone={zone} executors={executors} runs={runs} starts_withdrawn={}",
                unconfirmed.len()
            );
            self.log(ZONE_EVACUATED, None, detail);
            for run in unconfirmed {
                self.stop_run(run, "zone is being evacuated");
            }
        }
        for zone in ended {
            let (executors, runs) = self.zone_counts(&zone);
            let detail = format!("zone={zone} executors={executors} runs={runs}");
            self.log(ZONE_REOPENED, None, detail);
        }
        self.update_open_zones();
        // An unfinished pass has chosen its executors before the change.
        self.pass = None;
        self.pass_needed = true;
    }

    /// Returns whether an executor gets no new work because its zone is under evacuation.
    pub(super) fn is_evacuated(&self, executor: &ExecutorState) -> bool {
        executor.evacuated && self.guards.heeds_evacuations
    }

    /// Returns the unconfirmed starts in a zone, with the other runs of their gangs, which could not
    /// run without them.
    fn unconfirmed_starts(&self, zone: &str) -> BTreeSet<RunKey> {
        if !self.guards.heeds_evacuations {
            return BTreeSet::new();
        }
        let starting = self.runs.iter().filter(|(_, run)| {
            run.phase == RunPhase::Starting && self.executors[run.executor].zone == zone
        });
        starting.flat_map(|(key, run)| self.gang_runs(run).chain([key])).collect()
    }

    /// Returns the runs of a run's gang that are not being stopped; none if it is in no gang.
    fn gang_runs<'a>(&'a self, run: &RunState) -> impl Iterator<Item = RunKey> + 'a {
        let job = &self.jobs[run.job];
        let (occurrence, step) = job.layout.position(run.task);
        let members = job.record.steps[step].gang.then(|| job.step_range(occurrence, step));
        let runs = members.into_iter().flatten().flat_map(|task| &job.tasks[task as usize].runs);
        runs.copied().filter(|key| self.runs[*key].phase != RunPhase::Stopping)
    }

    fn zone_counts(&self, zone: &str) -> (usize, usize) {
        let executors = || self.executors.values().filter(|executor| executor.zone == zone);
        (executors().count(), executors().map(|executor| executor.runs.len()).sum())
    }
}
