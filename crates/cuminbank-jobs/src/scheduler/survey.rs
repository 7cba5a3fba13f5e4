//! Periodic log entry about the capacity, load and queue of a cell. It shows whether a lack of
//! executors or latency targets keep tasks waiting.

use std::time::Duration;

use cuminbank::log::POOL_SUMMARIZED;

use super::{state::ExecutorState, JobScheduler};
use crate::placement::idle_cpu;

/// Interval between two log entries.
const SURVEY_INTERVAL: Duration = Duration::from_secs(2);

/// Ready tasks of one kind, with their CPU needs in thousandths of a core.
#[derive(Debug, Default)]
struct WaitingWork {
    tasks: u32,
    cpu_millis: u64,
}

impl WaitingWork {
    fn add(&mut self, cpu_millis: u32) {
        self.tasks += 1;
        self.cpu_millis += u64::from(cpu_millis);
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
                let (_, step) = job.layout.position(*task);
                let spec = &job.record.steps[step];
                let kind = match (spec.fills, spec.long_running) {
                    (true, _) => 0,
                    (false, true) => 1,
                    (false, false) => 2,
                };
                waiting[kind].add(spec.needs.cpu_millis);
            }
        }
        let [best_effort, long_running, batch] = &waiting;
        let violating = usable().filter(|executor| executor.violation_timer.is_violated()).count();
        let cooling_down = usable().filter(|executor| now < executor.no_best_effort_until).count();
        let detail = format!(
            "executors={} usable={} capacity={} reserved={} serving={} filling={} idle={} \
             over_bound={violating} closed={cooling_down} runs={} filling_waits={} filling_cores={} \
             serving_waits={} serving_cores={} reserving_waits={} reserving_cores={} images={}",
            self.executors.len(),
            usable().count(),
            cores(|executor| executor.capacity.cpu_millis),
            cores(|executor| executor.reserved.cpu_millis),
            cores(|executor| executor.latency_critical_cpu),
            cores(|executor| executor.best_effort_cpu),
            cores(|executor| idle_cpu(
                executor.capacity.cpu_millis,
                executor.reserved.cpu_millis,
                executor.latency_critical_cpu,
                executor.best_effort_cpu,
            )),
            self.runs.len(),
            best_effort.tasks,
            best_effort.cpu_millis / 1_000,
            long_running.tasks,
            long_running.cpu_millis / 1_000,
            batch.tasks,
            batch.cpu_millis / 1_000,
            self.colocation.image_count(),
        );
        self.log(POOL_SUMMARIZED, None, detail);
    }
}
