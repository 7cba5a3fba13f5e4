//! Life cycle of jobs: loading, making tasks ready, cancellation, outcomes and removal.

use std::{collections::BTreeSet, time::Duration};

use cuminbank::log::{JOB_CANCELLED, JOB_ENDED, JOB_LOADED, JOB_UNREADABLE};

use super::{
    moves::MovePhase,
    run_reports::MAX_RUN_NUMBER,
    state::{arrival_time, JobKey, JobState, RunPhase, TaskPhase, TaskState},
    JobScheduler,
};
use crate::{
    colocation::UNMODELLED_IMAGE,
    formats::describe_value,
    ids::{JobId, MonotonicTime, StoreRevision, TaskIndex, WallTime},
    job::{JobOutcome, JobRecord, JobStep, TaskLayout},
    keys::parse_job_id,
    progress::JobProgress,
    slack::SlackEstimate,
    store::{decode_value, StoreChange},
};

/// Interval at which ended jobs are cleaned up.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of outcomes removed per cleanup. Each adds two key deletions to a store
/// transaction.
const MAX_REMOVED: usize = 8;

impl JobScheduler {
    pub(super) fn on_pool_changed(&mut self, changes: Vec<StoreChange>) {
        for change in changes {
            match change {
                StoreChange::Written(item) if item.key.starts_with(&self.keys.job_prefix) => {
                    self.add_job_item(&item.key, &item.value, item.created, None);
                }
                StoreChange::Written(item) if item.key.starts_with(&self.keys.cancel_prefix) => {
                    if let Some(job) = parse_job_id(&item.key, &self.keys.cancel_prefix) {
                        self.cancel_job(job);
                    }
                }
                StoreChange::Written(item) if self.keys.is_owner_key(&item.key) => {
                    self.effects.push(super::JobEffect::OwnerSeen(Some(item)));
                }
                StoreChange::Written(_) | StoreChange::Removed { .. } => {}
            }
        }
    }

    pub(super) fn add_job_item(
        &mut self,
        key: &str,
        value: &[u8],
        created: StoreRevision,
        progress: Option<JobProgress>,
    ) {
        let Some(id) = parse_job_id(key, &self.keys.job_prefix) else { return };
        if self.job_ids.contains_key(&id)
            || self.ended_jobs.contains_key(&id)
            || self.unreadable_jobs.contains(&id)
            // A read that began before the move shows the record once more.
            || self.moves.has_moved(id, created)
        {
            return;
        }
        // Submitted jobs were validated, so an invalid one was written in another format.
        let record = decode_value::<JobRecord>(value).filter(|record| record.check().is_ok());
        let Some(record) = record else {
            self.unreadable_jobs.insert(id);
            return self.log_unreadable_job(id, key, value);
        };
        let progress = progress.unwrap_or_default();
        if !is_progress_of(&progress, &record) {
            self.unreadable_jobs.insert(id);
            let detail = format!("key={} tasks={}", self.keys.progress(id), progress.tasks.len());
            return self.log(JOB_UNREADABLE, Some(id), detail);
        }
        if created > self.start_revision {
            self.note_accepted(&record);
        }
        self.add_job(id, record, created, progress);
        if self.early_cancels.remove(&id) {
            self.cancel_job(id);
        }
    }

    pub(super) fn log_unreadable_job(&mut self, id: JobId, key: &str, value: &[u8]) {
        self.log(JOB_UNREADABLE, Some(id), format!("key={key} {}", describe_value(value)));
    }

    fn add_job(
        &mut self,
        id: JobId,
        record: JobRecord,
        created: StoreRevision,
        progress: JobProgress,
    ) {
        let fresh = created > self.start_revision;
        let layout = TaskLayout::new(&record);
        let count = record.tasks_per_occurrence() * record.occurrences();
        let arrived = arrival_time(self.now, self.wall, record.accepted_at);
        let critical_paths_ms = record.critical_paths_ms();
        let objective = record.objective_ms();
        let mut tasks = vec![TaskState::default(); count as usize];
        let steps = record.steps.len();
        let mut open_tasks = Vec::with_capacity(steps * record.occurrences() as usize);
        for _ in 0..record.occurrences() {
            open_tasks.extend(record.steps.iter().map(|step| step.count));
        }
        let mut started = false;
        for saved in &progress.tasks {
            let Some(task) = tasks.get_mut(saved.task as usize) else { continue };
            started = true;
            task.failed_runs.clone_from(&saved.failed_runs);
            task.last_run = saved.run;
            task.checkpoint.clone_from(&saved.checkpoint);
            if saved.done {
                task.phase = TaskPhase::Done;
                let (occurrence, step) = layout.position(saved.task);
                open_tasks[occurrence as usize * steps + step] -= 1;
            }
        }
        if !fresh {
            // An earlier owner may have started runs on executors that are now unreachable. Their
            // numbers are unknown, so new runs get numbers above all that it can have used.
            for task in &mut tasks {
                task.last_run = task.last_run.max(self.run_base);
            }
        }
        let images = record.steps.iter().map(|step| match is_modelled(step) {
            true => self.colocation.acquire(&step.image),
            false => UNMODELLED_IMAGE,
        });
        let images = images.collect();
        let job = JobState {
            id,
            held_bytes: record.held_bytes(),
            layout,
            critical_paths_ms,
            images,
            fresh,
            record_revision: created,
            move_phase: MovePhase::Local,
            zone: None,
            arrived,
            deadline: arrived + Duration::from_millis(objective),
            tasks,
            open_tasks,
            opened_occurrences: 0,
            ready: BTreeSet::new(),
            outcome: progress.outcome,
            recorded_outcome: progress
                .outcome
                .map(|outcome| (outcome, progress.ended_at.unwrap_or(self.wall))),
            started: started || progress.outcome.is_some(),
            slack: SlackEstimate::new(),
            next_wait_log: MonotonicTime::ZERO,
            searched_at: None,
            next_room_search: MonotonicTime::ZERO,
            skipped: None,
            record,
        };
        let detail = format!(
            "queue={} tasks={count} fresh={fresh} objective_ms={objective} outcome={:?}",
            job.record.terms.queue, job.outcome
        );
        let ended = job.outcome.is_some();
        let key = self.jobs.insert(job);
        self.job_ids.insert(id, key);
        if !ended {
            self.log(JOB_LOADED, Some(id), detail);
            self.open_steps(key);
        }
        self.pass_needed = true;
    }

    /// Makes tasks of repeated jobs ready whose occurrence has become due.
    pub(super) fn open_due_occurrences(&mut self) {
        let due: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.outcome.is_none() && job.opened_occurrences < job.record.occurrences()
            })
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.open_steps(key);
        }
    }

    /// Makes the blocked tasks of a job ready whose occurrence is due and whose preceding steps are
    /// complete.
    pub(super) fn open_steps(&mut self, key: JobKey) {
        let (now, wall) = (self.now, self.wall);
        let job = &mut self.jobs[key];
        while job.opened_occurrences < job.record.occurrences()
            && job.record.due(job.opened_occurrences).is_none_or(|due| wall >= due)
        {
            job.opened_occurrences += 1;
        }
        for occurrence in 0..job.opened_occurrences {
            for step in 0..job.record.steps.len() {
                let after = &job.record.steps[step].after;
                let open = after.iter().all(|earlier| {
                    job.open_tasks[job.open_tasks_index(occurrence, *earlier as usize)] == 0
                });
                if !open || job.open_tasks[job.open_tasks_index(occurrence, step)] == 0 {
                    continue;
                }
                for task in job.step_range(occurrence, step) {
                    let state = &mut job.tasks[task as usize];
                    if state.phase == TaskPhase::Blocked {
                        state.phase = TaskPhase::Ready;
                        state.ready_since = now;
                        job.ready.insert(task);
                    }
                }
            }
        }
        if !self.jobs[key].ready.is_empty() {
            self.waiting.insert(key);
        }
        self.pass_needed = true;
    }

    /// Makes a task whose run has ended ready again if it has neither runs nor a result.
    pub(super) fn requeue_task(&mut self, key: JobKey, task: TaskIndex) {
        self.requeue_since(key, task, self.now);
    }

    /// Makes a task ready again whose run never began, if it has neither runs nor a result. Its wait
    /// goes on.
    pub(super) fn requeue_unstarted_task(&mut self, key: JobKey, task: TaskIndex) {
        self.requeue_since(key, task, self.jobs[key].tasks[task as usize].ready_since);
    }

    /// Makes a task ready again that counts as waiting since an earlier time, if it has neither runs
    /// nor a result.
    pub(super) fn requeue_since(
        &mut self,
        key: JobKey,
        task: TaskIndex,
        ready_since: MonotonicTime,
    ) {
        let job = &mut self.jobs[key];
        let state = &mut job.tasks[task as usize];
        if state.phase != TaskPhase::Active || !state.runs.is_empty() {
            return;
        }
        state.phase = TaskPhase::Ready;
        state.ready_since = ready_since;
        if job.outcome.is_none() {
            job.ready.insert(task);
            self.waiting.insert(key);
        }
        self.pass_needed = true;
    }

    /// Cancels a job at the request of its client. The request may arrive before the job.
    pub(super) fn cancel_job(&mut self, id: JobId) {
        if self.ended_jobs.contains_key(&id) {
            return;
        }
        let Some(key) = self.job_ids.get(&id).copied() else {
            // A cancelled record does not move, so if one with this id has moved, the request
            // concerns a later submission.
            self.early_cancels.insert(id);
            return;
        };
        if self.jobs[key].outcome.is_some() {
            return;
        }
        self.log(JOB_CANCELLED, Some(id), String::new());
        self.end_job(key, JobOutcome::Cancelled);
    }

    /// Sets the outcome of a job and stops its remaining runs.
    pub(super) fn end_job(&mut self, key: JobKey, outcome: JobOutcome) {
        let job = &mut self.jobs[key];
        job.outcome = Some(outcome);
        job.ready.clear();
        self.waiting.remove(&key);
        let runs: Vec<_> = job.tasks.iter().flat_map(|task| task.runs.iter().copied()).collect();
        let (id, queue) = (job.id, job.record.terms.queue.clone());
        self.note_room_freed(&runs);
        let job = &self.jobs[key];
        let age = self.now.saturating_sub(job.arrived);
        let late = self.now > job.deadline;
        let detail = format!(
            "outcome={outcome:?} age_ms={} late={late} runs_left={}",
            age.as_millis(),
            runs.len()
        );
        self.log(JOB_ENDED, Some(id), detail);
        let name = match outcome {
            JobOutcome::Completed => "job.completed",
            JobOutcome::Failed => "job.failed",
            JobOutcome::Cancelled => "job.cancelled",
        };
        self.measure(name, &queue, Some(age));
        for run in runs {
            if self.runs[run].phase != RunPhase::Stopping {
                self.stop_run(run, "job ended");
            }
        }
        self.mark_dirty(key);
    }

    /// Drops the details of jobs whose outcome is recorded and that have no runs left, and the
    /// outcomes of jobs whose retention time has passed.
    pub(super) fn remove_ended_jobs(&mut self) {
        if self.now < self.next_removal_at {
            return;
        }
        self.next_removal_at = self.now + REMOVAL_INTERVAL;
        let ended: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.recorded_outcome.is_some())
            .filter(|(_, job)| job.tasks.iter().all(|task| task.runs.is_empty()))
            .map(|(key, _)| key)
            .collect();
        for key in ended {
            self.drop_advice(key);
            let Some(job) = self.jobs.remove(key) else { continue };
            self.job_ids.remove(&job.id);
            job.images.iter().for_each(|image| self.colocation.release(*image));
            if let Some(recorded) = job.recorded_outcome {
                self.ended_jobs.insert(job.id, recorded);
            }
        }
        let wall = self.wall;
        let old = |at: &WallTime| wall.saturating_sub(*at) > self.bounds.retention;
        let expired: Vec<JobId> = self
            .ended_jobs
            .iter()
            .filter(|(_, (_, at))| old(at))
            .map(|(job, _)| *job)
            .take(MAX_REMOVED)
            .collect();
        for job in expired {
            self.ended_jobs.remove(&job);
            self.journal.expired_jobs.push(job);
        }
    }

    /// Marks a task as done and stops its other runs. If its step is complete, makes the tasks of
    /// dependent steps ready; if all steps are, completes the job.
    pub(super) fn finish_task(&mut self, key: JobKey, task: TaskIndex) {
        let job = &mut self.jobs[key];
        let state = &mut job.tasks[task as usize];
        if state.phase == TaskPhase::Done {
            return;
        }
        state.phase = TaskPhase::Done;
        job.ready.remove(&task);
        let (occurrence, step) = job.layout.position(task);
        let slot = job.open_tasks_index(occurrence, step);
        job.open_tasks[slot] -= 1;
        // Members of a gang end at the same time, so the executors will soon report that the other
        // runs have ended too.
        if !job.record.steps[step].gang {
            for run in job.tasks[task as usize].runs.clone() {
                if self.runs[run].phase != RunPhase::Stopping {
                    self.stop_run(run, "another run finished the task");
                }
            }
        }
        let job = &self.jobs[key];
        if job.open_tasks.iter().all(|open| *open == 0) {
            if job.outcome.is_none() {
                self.end_job(key, JobOutcome::Completed);
            }
            return;
        }
        if job.open_tasks[slot] == 0 && job.outcome.is_none() {
            self.open_steps(key);
        }
    }
}

/// Returns whether progress can belong to a job: it names tasks of the job in ascending order, with
/// valid run numbers.
fn is_progress_of(progress: &JobProgress, record: &JobRecord) -> bool {
    let count = record.tasks_per_occurrence() * record.occurrences();
    progress.tasks.is_sorted_by(|left, right| left.task < right.task)
        && progress.tasks.iter().all(|task| task.task < count && task.run <= MAX_RUN_NUMBER)
}

/// Returns whether the tasks of a step disturb others or are disturbed.
fn is_modelled(step: &JobStep) -> bool {
    step.fills || (step.long_running && step.tail_target_ms > 0)
}
