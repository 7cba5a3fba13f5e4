//! Log entries about long-running tasks that wait for an executor, with the reasons.

use std::time::Duration;

use cuminbank::log::TASK_WAITS;

use super::{
    state::{ExecutorState, JobKey, JobState},
    JobScheduler,
};
use crate::{ids::TaskIndex, job::JobStep};

/// Wait after which a long-running task is logged, and the interval between log entries about a
/// job.
const REPORTED_WAIT: Duration = Duration::from_secs(2);

/// Numbers of executors with free capacity for a task, by the reason why it was not started there.
/// `with_capacity` is the total, and `usable` the number of executors to which no reason applies.
#[derive(Debug, Default)]
struct WaitCauses {
    with_capacity: u32,
    quarantined: u32,
    paused: u32,
    unreachable: u32,
    leaving: u32,
    evacuated: u32,
    limit: u32,
    usable: u32,
}

impl JobScheduler {
    /// Logs the long-running tasks that have waited for at least [`REPORTED_WAIT`].
    pub(super) fn report_waits(&mut self) {
        let now = self.now;
        let due = |job: &JobState| {
            job.is_long_running() && job.outcome.is_none() && now >= job.next_wait_log
        };
        let waiting: Vec<(JobKey, TaskIndex)> = self
            .waiting
            .iter()
            .filter(|key| due(&self.jobs[**key]))
            .filter_map(|key| {
                let job = &self.jobs[*key];
                let late =
                    |task: &TaskIndex| now >= job.tasks[*task as usize].ready_since + REPORTED_WAIT;
                Some((*key, job.ready.iter().copied().find(late)?))
            })
            .collect();
        for (key, task) in waiting {
            let causes = self.wait_causes(key, task);
            let job = &mut self.jobs[key];
            job.next_wait_log = now + REPORTED_WAIT;
            let (_, step) = job.layout.position(task);
            let needs = job.record.steps[step].needs;
            let waited = now.saturating_sub(job.tasks[task as usize].ready_since);
            let id = job.id;
            let WaitCauses {
                with_capacity,
                quarantined,
                paused,
                unreachable,
                leaving,
                evacuated,
                limit,
                usable,
            } = causes;
            let detail = format!(
                "task={task} waited_ms={} cpu={} memory_mb={} with_room={with_capacity} \
                 shunned={quarantined} paused={paused} unreachable={unreachable} leaving={leaving} \
                 evacuated={evacuated} limit={limit} usable={usable}",
                waited.as_millis(),
                needs.cpu_millis,
                needs.memory_mb,
            );
            self.log(TASK_WAITS, Some(id), detail);
        }
    }

    fn wait_causes(&self, key: JobKey, task: TaskIndex) -> WaitCauses {
        let job = &self.jobs[key];
        let (occurrence, step) = job.layout.position(task);
        let spec = &job.record.steps[step];
        let counts = self.step_counts(job, occurrence, step);
        let mut causes = WaitCauses::default();
        for (executor_key, executor) in &self.executors {
            if !executor.may_have_capacity_for(spec) || !self.fits_labels(job, spec, executor_key) {
                continue;
            }
            causes.with_capacity += 1;
            let step_runs = counts.get(&executor_key).copied().unwrap_or_default();
            *self.cause_of(executor, spec, step_runs, &mut causes) += 1;
        }
        causes
    }

    fn cause_of<'a>(
        &self,
        executor: &ExecutorState,
        spec: &JobStep,
        step_runs: u32,
        causes: &'a mut WaitCauses,
    ) -> &'a mut u32 {
        if executor.draining || self.is_absent(executor) {
            &mut causes.leaving
        } else if self.is_evacuated(executor) {
            &mut causes.evacuated
        } else if executor.hold.failures > 0 || !executor.contacted {
            &mut causes.unreachable
        } else if executor.record.is_quarantined(self.now) {
            &mut causes.quarantined
        } else if self.now < executor.no_starts_until {
            &mut causes.paused
        } else if spec.max_per_executor > 0 && step_runs >= spec.max_per_executor {
            &mut causes.limit
        } else {
            &mut causes.usable
        }
    }
}
