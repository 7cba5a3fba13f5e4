//! Checks the runs on executors against the guarantees that callers rely on.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    time::Duration,
};

use cuminbank_jobs::{
    ids::{JobId, MonotonicTime},
    job::{JobRecord, TaskName},
    order::RunEnd,
};

use cuminbank_platform_standin::executor::{FakeExecutor, FakeRunEnd};

use super::lost_tasks::LostTaskCheck;

/// Observations of a task.
#[derive(Default)]
struct ObservedTask {
    /// Whether a run completed with a result.
    done: bool,
    /// Time of the last start.
    last_start: Option<MonotonicTime>,
    /// Whether a result was acknowledged before the lease expired.
    acknowledged: bool,
    /// Acknowledged runs that failed.
    acknowledged_failures: BTreeSet<u32>,
}

/// Collects violations of the guarantees.
#[derive(Default)]
pub struct HistoryChecks {
    pub records: BTreeMap<JobId, JobRecord>,
    pub violations: Vec<String>,
    pub lost_tasks: LostTaskCheck,
    tasks: BTreeMap<TaskName, ObservedTask>,
}

impl HistoryChecks {
    /// Checks the start of a run on an executor.
    pub fn started(&mut self, now: MonotonicTime, task: TaskName, executors: &[FakeExecutor]) {
        self.lost_tasks.started(now, task);
        let active_runs = executors
            .iter()
            .filter(|executor| executor.up)
            .flat_map(|executor| &executor.running)
            .filter(|run| run.task == task)
            .count();
        if active_runs > 1 {
            self.violations
                .push(format!("{now:?}: {active_runs} runs of {task:?} at the same time"));
        }
        let Some(record) = self.records.get(&task.job) else {
            self.violations
                .push(format!("{now:?}: {task:?} started but its job was never submitted"));
            return;
        };
        for earlier in &record.steps[task.step as usize].after {
            for index in 0..record.steps[*earlier as usize].count {
                let before = TaskName { step: *earlier, index, ..task };
                if !self.tasks.get(&before).is_some_and(|seen| seen.done) {
                    self.violations
                        .push(format!("{now:?}: {task:?} started before {before:?} completed"));
                }
            }
        }
        let attempts = record.terms.max_attempts as usize;
        let seen = self.tasks.entry(task).or_default();
        if seen.acknowledged {
            self.violations
                .push(format!("{now:?}: {task:?} started after its result was acknowledged"));
        }
        let long_running = record.steps[task.step as usize].long_running;
        if !long_running && seen.acknowledged_failures.len() >= attempts {
            self.violations.push(format!("{now:?}: {task:?} started after its last attempt"));
        }
        seen.last_start = Some(now);
    }

    /// Records an ended run listed by an executor.
    pub fn ended(&mut self, end: &FakeRunEnd) {
        if end.report.end == RunEnd::Done {
            self.tasks.entry(end.report.task).or_default().done = true;
        }
    }

    /// Records an ended run that an executor deletes after its acknowledgement.
    pub fn acknowledged(&mut self, now: MonotonicTime, end: &FakeRunEnd) {
        if end.lease_expired_since {
            return;
        }
        let seen = self.tasks.entry(end.report.task).or_default();
        match end.report.end {
            RunEnd::Done => {
                seen.acknowledged = true;
                if seen.last_start.is_some_and(|start| start > end.at) {
                    let task = end.report.task;
                    self.violations.push(format!("{now:?}: {task:?} started again after its end"));
                }
            }
            RunEnd::Failed => {
                seen.acknowledged_failures.insert(end.report.run);
            }
            _ => {}
        }
    }

    /// Returns whether all tasks of a job have completed with a result.
    pub fn is_done(&self, job: JobId) -> bool {
        let record = &self.records[&job];
        record.steps.iter().enumerate().all(|(step, spec)| {
            (0..spec.count).all(|index| {
                let task = TaskName { job, occurrence: 0, step: step as u32, index };
                self.tasks.get(&task).is_some_and(|seen| seen.done)
            })
        })
    }
}

/// Plays each span, in milliseconds, with each seed, and prints the violations that a play returns.
/// Returns the number of plays with a violation.
pub fn count_broken(
    spans_ms: &[u64],
    seeds: Range<u64>,
    play: impl Fn(u64, Duration) -> Vec<String>,
) -> usize {
    let mut broken = 0;
    for span in spans_ms.iter().copied().map(Duration::from_millis) {
        for seed in seeds.clone() {
            let violations = play(seed, span);
            if !violations.is_empty() {
                println!("{span:?}, seed {seed}: {violations:#?}");
                broken += 1;
            }
        }
    }
    broken
}
