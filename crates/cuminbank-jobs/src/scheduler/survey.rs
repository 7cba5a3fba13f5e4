//! Room, work and queue of a cell at intervals: whether executors or their services bind.

use std::time::Duration;

use cuminbank::log::POOL_SURVEYED;

use super::{state::ExecutorState, JobScheduler};
use crate::placement::idle_cpu;

/// Interval between two surveys.
const SURVEY_INTERVAL: Duration = Duration::from_secs(2);

/// Ready tasks of one kind.
#[derive(Debug, Default)]
struct WaitingWork {
    tasks: u32,
    cores: u64,
}

impl WaitingWork {
    fn add(&mut self, cpu_millis: u32) {
        self.tasks += 1;
        self.cores += u64::from(cpu_millis);
    }
}

impl JobScheduler {
    pub(super) fn survey_pool(&mut self) {
        if self.now < self.next_survey_at {
            return;
        }
        self.next_survey_at = self.now + SURVEY_INTERVAL;
        let now = self.now;
        let usable = || self.executors.values().filter(|executor| self.is_placeable(executor));
        let cores = |part: fn(&ExecutorState) -> u32| {
            usable().map(|executor| u64::from(part(executor))).sum::<u64>() / 1_000
        };
        let mut waiting: [WaitingWork; 3] = Default::default();
        for key in &self.waiting {
            let job = &self.jobs[*key];
            for task in &job.ready {
                let (_, step) = job.layout.place(*task);
                let spec = &job.record.steps[step];
                let kind = match (spec.fills, spec.long_running) {
                    (true, _) => 0,
                    (false, true) => 1,
                    (false, false) => 2,
                };
                waiting[kind].add(spec.needs.cpu_millis);
            }
        }
        let [filling, serving, reserving] = &waiting;
        let over = usable().filter(|executor| executor.violation_timer.is_violated()).count();
        let closed = usable().filter(|executor| now < executor.no_filling_until).count();
        let detail = format!(
            "executors={} usable={} capacity={} reserved={} serving={} filling={} idle={} \
             over_bound={over} closed={closed} runs={} filling_waits={} filling_cores={} \
             serving_waits={} serving_cores={} reserving_waits={} reserving_cores={}",
            self.executors.len(),
            usable().count(),
            cores(|executor| executor.capacity.cpu_millis),
            cores(|executor| executor.reserved.cpu_millis),
            cores(|executor| executor.serving_cpu),
            cores(|executor| executor.filling_cpu),
            cores(|executor| idle_cpu(
                executor.capacity.cpu_millis,
                executor.reserved.cpu_millis,
                executor.serving_cpu,
                executor.filling_cpu,
            )),
            self.runs.len(),
            filling.tasks,
            filling.cores / 1_000,
            serving.tasks,
            serving.cores / 1_000,
            reserving.tasks,
            reserving.cores / 1_000,
        );
        self.log(POOL_SURVEYED, None, detail);
    }
}
