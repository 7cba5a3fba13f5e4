//! Log entries about long-running tasks that wait for an executor, with the reasons.

use std::{collections::BTreeMap, time::Duration};

use cuminbank::log::TASK_WAITS;

use super::{
    candidates::{CandidateSearch, PlacementRules},
    refusals::PlacementRefusal,
    state::{JobKey, JobState},
    JobScheduler,
};
use crate::ids::{MonotonicTime, TaskIndex};

/// Wait after which a long-running task is logged, and the interval between log entries about a
/// job.
const REPORTED_WAIT: Duration = Duration::from_secs(2);

/// Numbers of executors with free capacity for a task, by the reason why it was not started there.
/// `with_capacity` is the total, and `usable` the number of executors to which no reason applies.
#[derive(Debug, Default)]
struct WaitCauses {
    with_capacity: u32,
    by_refusal: BTreeMap<PlacementRefusal, u32>,
    usable: u32,
}

impl WaitCauses {
    fn count(&self, refusal: PlacementRefusal) -> u32 {
        self.by_refusal.get(&refusal).copied().unwrap_or_default()
    }
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
            let age = |at: MonotonicTime| now.saturating_sub(at).as_millis().to_string();
            let searched = job.searched_at.map_or_else(|| "never".to_owned(), age);
            let skipped = job.skipped.map_or_else(
                || "never".to_owned(),
                |(at, failed)| format!("{} skipped_for={failed:016x}", age(at)),
            );
            let detail = format!(
                "task={task} waited_ms={} cpu={} memory_mb={} with_room={} shunned={} paused={} \
                 unreachable={} unlisted={} leaving={} evacuated={} limit={} no_ticket={} usable={} \
                 searched_ms_ago={searched} skipped_ms_ago={skipped}",
                waited.as_millis(),
                needs.cpu_millis,
                needs.memory_mb,
                causes.with_capacity,
                causes.count(PlacementRefusal::Quarantined),
                causes.count(PlacementRefusal::Paused),
                causes.count(PlacementRefusal::Unreachable),
                causes.count(PlacementRefusal::Unlisted),
                causes.count(PlacementRefusal::Leaving),
                causes.count(PlacementRefusal::Evacuated),
                causes.count(PlacementRefusal::Limit),
                causes.count(PlacementRefusal::Ticket),
                causes.usable,
            );
            self.log(TASK_WAITS, Some(id), detail);
        }
    }

    /// Evaluates each executor with free capacity in the same way as the placement.
    fn wait_causes(&self, key: JobKey, task: TaskIndex) -> WaitCauses {
        let job = &self.jobs[key];
        let position = job.layout.position(task);
        let spec = &job.record.steps[position.1];
        let counts = self.step_counts(job, position.0, position.1);
        let failed_on = &job.tasks[task as usize].failed_on;
        let rules = PlacementRules { ignores_reservations: true, ..PlacementRules::default() };
        let search = CandidateSearch { key, position, counts: &counts, failed_on, rules };
        let mut causes = WaitCauses::default();
        for (executor_key, executor) in &self.executors {
            if !executor.may_have_capacity_for(spec) || !self.fits_labels(job, spec, executor_key) {
                continue;
            }
            causes.with_capacity += 1;
            match self.cost_on(&search, executor_key) {
                Ok(_) => causes.usable += 1,
                Err(refusal) => *causes.by_refusal.entry(refusal).or_default() += 1,
            }
        }
        causes
    }
}
