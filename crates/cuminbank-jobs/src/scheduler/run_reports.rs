//! Processing of reports from executors: ended runs, progress, and runs missing from a report.

use std::time::Duration;

use cuminbank::log::{JOB_UNREADABLE, RUN_ADOPTED, RUN_ENDED, RUN_LOST, RUN_UNKNOWN};

use super::{
    contact::EARLIER_HOLDS_TIME,
    moves::MovePhase,
    orders::{OrderKind, PendingOrder, ORDER_TIMEOUT},
    state::{ExecutorKey, JobKey, RunKey, RunPhase, RunState, TaskPhase},
    JobScheduler,
};
use crate::{
    ids::{RunNumber, TaskIndex},
    job::{JobOutcome, TaskName},
    order::{EndReport, HoldReport, OrderRequest, RunEnd, RunReport},
};

/// Run time of a long-running task below which its failure counts against the executor.
const EARLY_FAILURE_TIME: Duration = Duration::from_secs(1);
/// Number of executors on which a long-running task has failed early up to which these executors
/// are blamed, instead of the task.
const MAX_BLAMED_EXECUTORS: usize = 2;
/// Maximum number of executors remembered on which a long-running task has failed early.
const MAX_FAILED_ON: usize = 8;
/// Maximum number of ended runs in one report. If it is reached, more runs may have ended.
const MAX_END_REPORTS: usize = 500;
/// Highest valid run number. Each takeover raises the numbers by 1000, so no owner uses a number
/// above this limit; adopting such a run could leave no number for the task's next run.
pub(super) const MAX_RUN_NUMBER: RunNumber = 1 << 30;

impl JobScheduler {
    pub(super) fn apply_report(
        &mut self,
        key: ExecutorKey,
        report: HoldReport,
        sent_logical_time: u64,
    ) {
        let complete = report.ended.len() < MAX_END_REPORTS;
        for end in report.ended {
            if end.number > self.executors[key].last_end_number {
                self.executors[key].last_end_number = end.number;
                self.apply_end(key, &end);
            }
        }
        let mut seen = Vec::with_capacity(report.running.len());
        for run_report in &report.running {
            if let Some(run) = self.apply_running(key, run_report) {
                seen.push(run);
            }
        }
        if complete {
            self.drop_missing_runs(key, &seen, sent_logical_time);
        }
        self.process_tails(key, &report.running);
    }

    /// Returns the job and the index of a reported task, or `None` if the scheduler cannot have
    /// started the run.
    fn find_task(&self, name: TaskName, number: RunNumber) -> Option<(JobKey, TaskIndex)> {
        if number > MAX_RUN_NUMBER {
            return None;
        }
        let key = *self.job_ids.get(&name.job)?;
        let job = &self.jobs[key];
        // No run of a job that may be in another cell is one of this scheduler.
        if job.move_phase == MovePhase::InFlight {
            return None;
        }
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

    fn apply_end(&mut self, key: ExecutorKey, end: &EndReport) {
        let name = self.executors[key].name.clone();
        if self.unreadable_jobs.contains(&end.task.job) {
            // The executor keeps the report for an owner that can record what follows from it.
            self.executors[key].unreadable_end.get_or_insert(end.number);
            let detail = format!("executor={name} end={end:?}");
            return self.log(JOB_UNREADABLE, Some(end.task.job), detail);
        }
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
        job.started = true;
        let (occurrence, step_number) = job.layout.position(task);
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
                    self.learn_length(job_key, task, ran);
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
            RunEnd::Failed => self.fail_long_running(key, job_key, task, ran),
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
        let (occurrence, step) = job.layout.position(task);
        let gang = job.record.steps[step].gang;
        // The members of a gang fail together, so their failures are counted at the first one.
        let counted = if gang { job.layout.first_task(occurrence, step) } else { task };
        let state = &mut job.tasks[counted as usize];
        if !state.failed_runs.contains(&number) {
            state.failed_runs.push(number);
        }
        let failures = state.failed_runs.len() as u32;
        job.tasks[task as usize].failed_on.push(name);
        // A task that also failed elsewhere is more likely at fault than the executor.
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

    /// Makes a failed long-running task ready again. Such a task may fail at any time by itself, so
    /// only a failure soon after the start counts against the executor, and only while the task has
    /// failed on few executors.
    fn fail_long_running(
        &mut self,
        key: ExecutorKey,
        job_key: JobKey,
        task: TaskIndex,
        ran: Option<Duration>,
    ) {
        if ran.is_none_or(|ran| ran < EARLY_FAILURE_TIME) {
            let name = self.executors[key].name.clone();
            let failed_on = &mut self.jobs[job_key].tasks[task as usize].failed_on;
            failed_on.retain(|other| *other != name);
            failed_on.push(name);
            if failed_on.len() > MAX_FAILED_ON {
                failed_on.remove(0);
            }
            if failed_on.len() <= MAX_BLAMED_EXECUTORS {
                self.executors[key].record.record_failure(self.now);
            }
        }
        self.requeue_task(job_key, task);
    }

    fn apply_running(&mut self, key: ExecutorKey, run_report: &RunReport) -> Option<RunKey> {
        let Some((job_key, task)) = self.find_task(run_report.task, run_report.run) else {
            self.stop_unknown_run(key, run_report);
            return None;
        };
        let now = self.now;
        let known = self.find_run(key, job_key, task, run_report.run);
        let run_key = match known {
            Some(run) => run,
            None => self.adopt_run(key, job_key, task, run_report),
        };
        let logical_time = self.next_logical_time();
        let run = &mut self.runs[run_key];
        run.confirm(now, logical_time);
        run.reported = true;
        if run.percent != run_report.percent {
            run.percent = run_report.percent;
            run.progressed_at = now;
            if run.long_running && run.percent == 100 {
                self.executors[key].record.record_ready();
            }
        }
        let run_number = run.number;
        let job = &mut self.jobs[job_key];
        job.started = true;
        let (_, step) = job.layout.position(task);
        let gang = job.record.steps[step].gang;
        let state = &mut job.tasks[task as usize];
        // Only replies to earlier holds could still tell an earlier owner that the run has ended, so
        // that it starts another one.
        let in_contact_since = self.executors[key].in_contact_since;
        if !gang && now >= in_contact_since + EARLIER_HOLDS_TIME {
            state.reported_by = Some((key, in_contact_since));
        }
        if run_report.checkpoint.is_some()
            && run_number >= state.last_run
            && state.phase != TaskPhase::Done
        {
            state.checkpoint.clone_from(&run_report.checkpoint);
        }
        Some(run_key)
    }

    /// Adds a reported run that this scheduler did not know, and stops it if its task needs no run.
    fn adopt_run(
        &mut self,
        key: ExecutorKey,
        job_key: JobKey,
        task: TaskIndex,
        run_report: &RunReport,
    ) -> RunKey {
        let now = self.now;
        let job = &mut self.jobs[job_key];
        let state = &job.tasks[task as usize];
        // A task may still be blocked here, because the earlier owner started it when the earlier
        // steps were complete but not yet recorded as such.
        let wanted =
            job.outcome.is_none() && matches!(state.phase, TaskPhase::Ready | TaskPhase::Blocked);
        let run = RunState {
            phase: RunPhase::Running,
            sends: 1,
            percent: run_report.percent,
            ..RunState::new((job_key, job), task, run_report.run, key, now)
        };
        let state = &mut job.tasks[task as usize];
        state.last_run = state.last_run.max(run_report.run);
        if wanted {
            state.phase = TaskPhase::Active;
            job.ready.remove(&task);
        }
        let id = job.id;
        let detail = format!(
            "task={task} run={} executor={} wanted={wanted}",
            run_report.run, self.executors[key].name
        );
        self.log(RUN_ADOPTED, Some(id), detail);
        let run_key = self.add_run(run);
        if !wanted {
            self.stop_run(run_key, "task needs no run here");
        }
        run_key
    }

    /// Stops a reported run that belongs to no known task or has an invalid number, unless its job
    /// cannot be read.
    fn stop_unknown_run(&mut self, key: ExecutorKey, run_report: &RunReport) {
        if self.unreadable_jobs.contains(&run_report.task.job) {
            return;
        }
        let detail = format!("executor={} row={run_report:?}", self.executors[key].name);
        self.log(RUN_UNKNOWN, Some(run_report.task.job), detail);
        let request = OrderRequest::Stop { task: run_report.task, run: run_report.run };
        let pending = PendingOrder::new(OrderKind::Stop, key, None);
        self.send_order(pending, request, ORDER_TIMEOUT);
    }

    /// Removes runs that were confirmed before the report was requested but are missing from it. After
    /// a restart, copies of their starts may be carried out until the executor is fenced.
    fn drop_missing_runs(&mut self, key: ExecutorKey, seen: &[RunKey], sent_logical_time: u64) {
        let unfenced = self.executors[key].unfenced_epoch.is_some();
        let missing: Vec<RunKey> = self.executors[key]
            .runs
            .iter()
            .copied()
            .filter(|run| !seen.contains(run))
            .filter(|run| !unfenced || !self.runs[*run].may_start_late())
            .filter(|run| {
                self.runs[*run]
                    .confirmed
                    .is_some_and(|logical_time| logical_time < sent_logical_time)
            })
            .collect();
        for run in missing {
            self.drop_lost_run(run, "missing from the report of the executor");
        }
    }

    /// Removes a run that certainly no longer exists and makes its task ready again. The wait of a
    /// long-running task counts from the last report of its executor, since it may have had no run
    /// from then on.
    pub(super) fn drop_lost_run(&mut self, key: RunKey, reason: &str) {
        let Some(run) = self.remove_run(key) else { return };
        let id = self.jobs[run.job].id;
        let detail = format!("task={} run={} reason={reason}", run.task, run.number);
        self.log(RUN_LOST, Some(id), detail);
        let last_report = self.executors.get(run.executor).and_then(|executor| executor.clock);
        match (run.reported, last_report) {
            (true, Some(sample)) if run.long_running => {
                self.requeue_since(run.job, run.task, sample.at);
            }
            (true, _) => self.requeue_task(run.job, run.task),
            (false, _) => self.requeue_unstarted_task(run.job, run.task),
        }
    }
}
