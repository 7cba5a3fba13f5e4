//! What executors say of runs: ends, progress, and runs that are missing.

use cuminbank::log::{RUN_ADOPTED, RUN_ENDED, RUN_LOST, RUN_UNKNOWN};

use super::{
    orders::{OrderKind, PendingOrder, ORDER_TIMEOUT},
    state::{ExecutorKey, JobKey, RunKey, RunPhase, RunState, TaskPhase},
    JobScheduler,
};
use crate::{
    ids::{RunNumber, TaskIndex},
    job::{JobOutcome, TaskName},
    order::{EndReport, HoldReport, OrderRequest, RunEnd, RunReport},
};

/// Most ends that an executor lists in one answer; further runs may have ended unlisted.
const LISTED_ENDS: usize = 500;
/// Highest number of a run. Each takeover adds a thousand; what is above was not started here, and
/// taken for a run of ours it would leave the task no number to go on with.
const MOST_RUNS: RunNumber = 1 << 30;

impl JobScheduler {
    pub(super) fn take_report(&mut self, key: ExecutorKey, report: HoldReport, sent_stamp: u64) {
        let complete = report.ended.len() < LISTED_ENDS;
        for end in report.ended {
            if end.number > self.executors[key].seen_end {
                self.executors[key].seen_end = end.number;
                self.take_end(key, &end);
            }
        }
        let mut seen = Vec::with_capacity(report.running.len());
        for row in &report.running {
            if let Some(run) = self.take_running(key, row) {
                seen.push(run);
            }
        }
        if complete {
            self.find_missing(key, &seen, sent_stamp);
        }
        self.watch_tails(key, &report.running);
    }

    /// Returns the task of a run that an executor names, unless it cannot be one of ours.
    fn find_task(&self, name: TaskName, number: RunNumber) -> Option<(JobKey, TaskIndex)> {
        if number > MOST_RUNS {
            return None;
        }
        let key = *self.job_ids.get(&name.job)?;
        let job = &self.jobs[key];
        Some((key, job.layout.index(&job.record, name)?))
    }

    pub(super) fn find_run(
        &self,
        key: ExecutorKey,
        job: JobKey,
        task: TaskIndex,
        number: u32,
    ) -> Option<RunKey> {
        let runs = &self.executors[key].runs;
        runs.iter().copied().find(|run| {
            let run = &self.runs[*run];
            run.job == job && run.task == task && run.number == number
        })
    }

    fn take_end(&mut self, key: ExecutorKey, end: &EndReport) {
        let name = self.executors[key].name.clone();
        let Some((job_key, task)) = self.find_task(end.task, end.run) else {
            let detail = format!("executor={name} end={end:?}");
            return self.log(RUN_UNKNOWN, Some(end.task.job), detail);
        };
        let run = self.find_run(key, job_key, task, end.run);
        let run = run.and_then(|run| self.remove_run(run));
        let ran = run.as_ref().map(|run| self.now.saturating_sub(run.since));
        let detail = format!(
            "task={task} run={} executor={name} end={:?} number={} ran_ms={:?} resumable={}",
            end.run,
            end.end,
            end.number,
            ran.map(|ran| ran.as_millis()),
            end.checkpoint.is_some()
        );
        self.log(RUN_ENDED, Some(end.task.job), detail);
        let job = &mut self.jobs[job_key];
        let (occurrence, step_number) = job.layout.place(task);
        let step = &job.record.steps[step_number];
        let (long_running, gang, estimate) = (step.long_running, step.gang, step.estimate_ms);
        let state = &mut job.tasks[task as usize];
        let newest = end.run >= state.last_run;
        state.last_run = state.last_run.max(end.run);
        let mut changed = false;
        if newest && end.checkpoint.is_some() && state.phase != TaskPhase::Done {
            changed = state.checkpoint != end.checkpoint;
            state.checkpoint.clone_from(&end.checkpoint);
        }
        match end.end {
            RunEnd::Done if !long_running => {
                if let (Some(ran), false) = (ran, gang) {
                    let ratio = ran.as_secs_f64() * 1_000.0 / f64::from(estimate.max(1));
                    self.executors[key].record.record_completion(ratio);
                }
                if gang {
                    for member in self.jobs[job_key].step_range(occurrence, step_number) {
                        self.finish_task(job_key, member);
                    }
                } else {
                    self.finish_task(job_key, task);
                }
                changed = true;
            }
            RunEnd::Failed if !long_running => {
                self.fail_task(key, job_key, task, end.run);
                changed = true;
            }
            _ => self.requeue_task(job_key, task),
        }
        if changed {
            self.mark_dirty(job_key);
        }
    }

    fn fail_task(&mut self, key: ExecutorKey, job_key: JobKey, task: TaskIndex, number: u32) {
        let now = self.now;
        let name = self.executors[key].name.clone();
        let job = &mut self.jobs[job_key];
        let (occurrence, step) = job.layout.place(task);
        let gang = job.record.steps[step].gang;
        // A gang fails as a whole; its first task keeps the count.
        let counted = if gang { job.layout.first(occurrence, step) } else { task };
        let state = &mut job.tasks[counted as usize];
        if !state.failed_runs.contains(&number) {
            state.failed_runs.push(number);
        }
        let failures = state.failed_runs.len() as u32;
        job.tasks[task as usize].failed_on.push(name);
        // A task that failed elsewhere too is more likely at fault than the executor.
        if failures == 1 {
            self.executors[key].record.record_failure(now);
        }
        let job = &self.jobs[job_key];
        if failures >= job.record.terms.max_attempts && job.outcome.is_none() {
            if job.tasks[counted as usize].phase != TaskPhase::Done {
                self.end_job(job_key, JobOutcome::Failed);
            }
            return;
        }
        self.requeue_task(job_key, task);
    }

    fn take_running(&mut self, key: ExecutorKey, row: &RunReport) -> Option<RunKey> {
        let Some((job_key, task)) = self.find_task(row.task, row.run) else {
            self.stop_stray(key, row);
            return None;
        };
        let now = self.now;
        let known = self.find_run(key, job_key, task, row.run);
        let run_key = match known {
            Some(run) => run,
            None => self.adopt_run(key, job_key, task, row),
        };
        let stamp = self.next_stamp();
        let run = &mut self.runs[run_key];
        run.confirm(now, stamp);
        if run.percent != row.percent {
            run.percent = row.percent;
            run.moved_at = now;
        }
        let newest = run.number;
        let state = &mut self.jobs[job_key].tasks[task as usize];
        if row.checkpoint.is_some() && newest >= state.last_run && state.phase != TaskPhase::Done {
            state.checkpoint.clone_from(&row.checkpoint);
        }
        Some(run_key)
    }

    /// Takes over a run that an earlier owner started, or stops it if it is not wanted.
    fn adopt_run(
        &mut self,
        key: ExecutorKey,
        job_key: JobKey,
        task: TaskIndex,
        row: &RunReport,
    ) -> RunKey {
        let now = self.now;
        let job = &mut self.jobs[job_key];
        let state = &job.tasks[task as usize];
        // A blocked task was started when the ends of earlier steps were known but not recorded.
        let wanted =
            job.outcome.is_none() && matches!(state.phase, TaskPhase::Ready | TaskPhase::Blocked);
        let run = RunState {
            phase: RunPhase::Running,
            sends: 1,
            percent: row.percent,
            ..RunState::new((job_key, job), task, row.run, key, now)
        };
        let state = &mut job.tasks[task as usize];
        state.last_run = state.last_run.max(row.run);
        if wanted {
            state.phase = TaskPhase::Active;
            job.ready.remove(&task);
        }
        let id = job.id;
        let detail = format!(
            "task={task} run={} executor={} wanted={wanted}",
            row.run, self.executors[key].name
        );
        self.log(RUN_ADOPTED, Some(id), detail);
        let run_key = self.add_run(run);
        if !wanted {
            self.stop_run(run_key, "not wanted here");
        }
        run_key
    }

    /// Stops a run of a job that the store does not have.
    fn stop_stray(&mut self, key: ExecutorKey, row: &RunReport) {
        let detail = format!("executor={} row={row:?}", self.executors[key].name);
        self.log(RUN_UNKNOWN, Some(row.task.job), detail);
        let request = OrderRequest::Stop { task: row.task, run: row.run };
        let pending = PendingOrder { kind: OrderKind::Stop, executor: key, run: None };
        self.send_order(pending, request, ORDER_TIMEOUT);
    }

    /// Gives up runs that the executor had confirmed before it was asked and no longer names.
    fn find_missing(&mut self, key: ExecutorKey, seen: &[RunKey], sent_stamp: u64) {
        let missing: Vec<RunKey> = self.executors[key]
            .runs
            .iter()
            .copied()
            .filter(|run| !seen.contains(run))
            .filter(|run| self.runs[*run].confirmed.is_some_and(|stamp| stamp < sent_stamp))
            .collect();
        for run in missing {
            self.lose_run(run, "the executor does not name it");
        }
    }

    /// Removes a run that surely does not run any more.
    pub(super) fn lose_run(&mut self, key: RunKey, reason: &str) {
        let Some(run) = self.remove_run(key) else { return };
        let id = self.jobs[run.job].id;
        let detail = format!("task={} run={} reason={reason}", run.task, run.number);
        self.log(RUN_LOST, Some(id), detail);
        self.requeue_task(run.job, run.task);
    }
}
