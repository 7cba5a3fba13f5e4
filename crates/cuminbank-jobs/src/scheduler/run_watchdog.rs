//! Stops runs without progress.

use std::time::Duration;

use cuminbank::log::RUN_STUCK;

use super::{
    state::{RunKey, RunPhase},
    JobScheduler,
};

/// Time without progress after which a run is stopped. Progress is reported in steps of one
/// percent, so a task that makes less progress would run for minutes.
const STUCK_TIME: Duration = Duration::from_millis(1_600);

impl JobScheduler {
    pub(super) fn stop_stuck_runs(&mut self) {
        let now = self.now;
        let stuck: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == RunPhase::Running)
            .filter(|(_, run)| {
                let executor = &self.executors[run.executor];
                // Progress is only known up to the last reply of the executor, so the time since
                // then does not count.
                let stalled = executor
                    .clock
                    .map_or(Duration::ZERO, |clock| clock.at.saturating_sub(run.progressed_at));
                let oversubscribed = executor.reserved.cpu_millis + executor.best_effort_cpu
                    > executor.capacity.cpu_millis;
                // A best-effort task may stall because no CPU is left for it.
                stalled >= STUCK_TIME && !(run.best_effort && oversubscribed)
            })
            .filter(|(_, run)| {
                let job = &self.jobs[run.job];
                let (_, step) = job.layout.position(run.task);
                let step = &job.record.steps[step];
                !(step.gang || (step.long_running && run.percent == 100))
            })
            .map(|(key, _)| key)
            .collect();
        for key in stuck {
            let run = &self.runs[key];
            let executor = run.executor;
            let detail = format!(
                "task={} run={} executor={} percent={} still_ms={}",
                run.task,
                run.number,
                self.executors[executor].name,
                run.percent,
                now.saturating_sub(run.progressed_at).as_millis()
            );
            let id = self.jobs[run.job].id;
            self.log(RUN_STUCK, Some(id), detail);
            self.executors[executor].record.quarantine(now);
            self.stop_run(key, "no progress");
        }
    }
}
