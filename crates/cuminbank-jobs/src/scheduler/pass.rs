//! A pass over the queue: starts what has room, most urgent jobs first.
//!
//! Answers long queues on many executors: a pass over a thousand ready tasks may take longer than the
//! time in which orders, leases and the ownership have to be seen to. It is cut into parts that end when
//! their share of work is done, and the next part goes on where the one before stopped.

use std::{collections::VecDeque, time::Duration};

use super::{
    candidates::PlacingTerms,
    state::{ExecutorKey, JobKey, JobState, TaskPhase},
    JobScheduler,
};
use crate::{
    colocation::ImageId,
    ids::{MonotonicTime, TaskIndex},
    job::TaskNeeds,
    priority::{self, JobUrgency},
};

/// Shapes of tasks without room that one pass looks for before it goes on with lasting tasks alone: a
/// bound on the cost of a pass when the queue is long.
const MAX_MISSES: usize = 150;
/// Shapes after which a pass ends.
const MAX_MISSES_IN_ALL: usize = 250;
/// Wait after which a lasting task may use a shunned executor. No lasting task must wait for 3 s while
/// there is room, and shunned executors empty.
const PROBATION_WAIT: Duration = Duration::from_millis(1_500);
/// Wait up to which a filling task is only placed where even faint losses leave services within their
/// bounds. While there is room for all, it finds such a place; on a heavy day it goes on.
const PATIENT_TIME: Duration = Duration::from_millis(800);
/// Units of work in one part of a pass for a whole core. A unit is about as long as one look at an
/// executor that is full, 20 ns, and a part takes some 5 ms of the instance's share.
const PART_UNITS_PER_CORE: f64 = 32_000.0;
/// Least units of work in a part, for instances with a tiny share.
const LEAST_PART_UNITS: u32 = 1_000;
/// Units that a start takes: its order, its log line and its place in the books.
pub(super) const START_UNITS: u32 = 100;
/// Pause between two parts of a pass, in which answers and timers are seen to.
const PART_PAUSE: Duration = Duration::from_millis(3);
/// Least time between two passes, so that answers close together share one.
const PASS_INTERVAL: Duration = Duration::from_millis(4);
/// Interval between two passes over the queue for each so many shapes that found no room.
const CROWDED_INTERVAL: Duration = Duration::from_millis(20);
const MISSES_PER_INTERVAL: u32 = 40;

/// A pass in progress.
#[derive(Debug, Default)]
pub(super) struct QueuePass {
    /// Jobs that have not had their turn, most urgent first.
    jobs: VecDeque<JobKey>,
    placeable: Vec<ExecutorKey>,
    /// Executors that would be placeable if they were not shunned.
    shunned: Vec<ExecutorKey>,
    missed: Vec<MissedShape>,
    /// Whether only lasting tasks are still looked at.
    lasting_only: bool,
}

/// Shape of a task for which a pass found no room.
#[derive(Debug)]
struct MissedShape {
    service: String,
    label: Option<String>,
    image: ImageId,
    fills: bool,
    needs: TaskNeeds,
    /// Whether the task had waited, so that it might have gone to more executors.
    waited: bool,
}

impl MissedShape {
    fn new(job: &JobState, step: usize, terms: PlacingTerms) -> Self {
        let spec = &job.record.steps[step];
        Self {
            service: job.record.terms.service.clone(),
            label: spec.required_label.clone(),
            image: job.images[step],
            fills: spec.fills,
            needs: spec.needs,
            waited: terms.waited,
        }
    }

    /// Tells whether a task of the step needs no less than this one.
    fn covers(&self, job: &JobState, step: usize, terms: PlacingTerms) -> bool {
        let spec = &job.record.steps[step];
        (self.waited || !terms.waited)
            && self.fills == spec.fills
            && self.image == job.images[step]
            && self.needs.cpu_millis <= spec.needs.cpu_millis
            && self.needs.memory_mb <= spec.needs.memory_mb
            && self.needs.gpus <= spec.needs.gpus
            && self.label == spec.required_label
            && self.service == job.record.terms.service
    }
}

/// Returns how much work one part of a pass may take.
pub(super) fn part_units(processor_share: f64) -> u32 {
    ((PART_UNITS_PER_CORE * processor_share) as u32).max(LEAST_PART_UNITS)
}

impl JobScheduler {
    /// Goes on with the pass or begins one, if it is time.
    pub(super) fn drive_pass(&mut self) {
        if !self.loaded || self.now < self.next_pass_at {
            return;
        }
        self.spent_units = 0;
        let mut pass = match self.pass.take() {
            Some(pass) => pass,
            None if self.placing_wanted => self.begin_pass(),
            None => return,
        };
        while let Some(key) = pass.jobs.pop_front() {
            if self.starts_in_flight >= self.most_starts {
                // A new pass begins as answers come in, with the jobs in the order of that time.
                self.next_pass_at = self.now + PASS_INTERVAL;
                return;
            }
            if !self.place_job(key, &mut pass) {
                pass.jobs.push_front(key);
                self.pass = Some(pass);
                self.next_pass_at = self.now + PART_PAUSE;
                return;
            }
            if pass.missed.len() >= MAX_MISSES_IN_ALL {
                break;
            }
            if pass.missed.len() >= MAX_MISSES && !pass.lasting_only {
                pass.lasting_only = true;
                let jobs = &self.jobs;
                pass.jobs.retain(|key| jobs.get(*key).is_some_and(JobState::is_lasting));
            }
        }
        let missed = pass.missed.len() as u32;
        let crowded = CROWDED_INTERVAL * missed.div_ceil(MISSES_PER_INTERVAL);
        self.next_pass_at = self.now + PASS_INTERVAL.max(crowded);
    }

    /// Notes work of the current part.
    pub(super) fn spend(&mut self, units: u32) {
        self.spent_units = self.spent_units.saturating_add(units);
    }

    /// Returns the units of work that the last part of a pass took.
    pub fn spent_units(&self) -> u32 {
        self.spent_units
    }

    /// Returns how many starts have no answer yet.
    pub fn starts_in_flight(&self) -> usize {
        self.starts_in_flight
    }

    /// Puts the jobs with ready tasks in order.
    fn begin_pass(&mut self) -> QueuePass {
        self.placing_wanted = false;
        let (jobs, settled) = (&self.jobs, self.is_settled());
        self.waiting.retain(|key| !jobs[*key].ready.is_empty());
        let mut waiting: Vec<(JobKey, JobUrgency)> = self
            .waiting
            .iter()
            .map(|key| (*key, &self.jobs[*key]))
            .filter(|(_, job)| job.fresh || settled)
            .map(|(key, job)| (key, urgency(job)))
            .collect();
        if waiting.is_empty() {
            return QueuePass::default();
        }
        self.update_sought();
        self.little_used = self.is_little_used();
        let now = self.now;
        waiting.sort_by(|(left_key, left), (right_key, right)| {
            priority::compare(now, left, right).then(left_key.cmp(right_key))
        });
        let (shunned, placeable): (Vec<ExecutorKey>, Vec<ExecutorKey>) = self
            .executors
            .iter()
            .filter(|(_, executor)| self.is_usable(executor))
            .map(|(key, _)| key)
            .partition(|key| self.executors[*key].record.is_quarantined(now));
        self.spend((waiting.len() + self.executors.len()) as u32);
        let jobs = waiting.into_iter().map(|(key, _)| key).collect();
        QueuePass { jobs, placeable, shunned, ..QueuePass::default() }
    }

    /// Starts the ready tasks of a job; adds the shapes for which there is no room. Returns false if the
    /// part's share of work is done before the job has had its turn.
    fn place_job(&mut self, key: JobKey, pass: &mut QueuePass) -> bool {
        // The job may have ended since the pass began.
        let Some(job) = self.jobs.get(key).filter(|job| job.outcome.is_none()) else { return true };
        let ready: Vec<TaskIndex> = job.ready.iter().copied().collect();
        let mut idle = job.tasks.iter().all(|task| task.runs.is_empty());
        let mut full_step = None;
        let mut candidates = None;
        for task in ready {
            if self.spent_units >= self.part_units || self.starts_in_flight >= self.most_starts {
                return false;
            }
            let job = &self.jobs[key];
            let (occurrence, step) = job.layout.place(task);
            if full_step == Some((occurrence, step))
                || job.tasks[task as usize].phase != TaskPhase::Ready
            {
                continue;
            }
            // Where an advised step may run differs by step, so that its shape says nothing of others.
            let advised = job.record.terms.advice.is_some();
            let gang = job.record.steps[step].gang;
            let starving = idle && self.is_starving(job, task);
            let waited = self.now.saturating_sub(job.tasks[task as usize].ready_since);
            let terms = PlacingTerms {
                waited: waited >= PATIENT_TIME,
                starving,
                ..PlacingTerms::default()
            };
            let on_probation = !pass.shunned.is_empty()
                && job.is_lasting()
                && !advised
                && !gang
                && waited >= PROBATION_WAIT;
            let known_full = !advised
                && !gang
                && !starving
                && pass.missed.iter().any(|shape| shape.covers(job, step, terms));
            if (known_full && !on_probation)
                || (advised && !self.has_advice(key, task, &pass.placeable))
            {
                full_step = Some((occurrence, step));
                continue;
            }
            let mut placed = match gang {
                true => self.place_gang(key, occurrence, step, &pass.placeable),
                false if known_full => false,
                false => self.place_task(key, task, terms, &pass.placeable, &mut candidates),
            };
            if !placed && on_probation {
                placed = self.place_on_probation(key, task, &pass.shunned);
            }
            idle &= !placed;
            if !placed {
                full_step = Some((occurrence, step));
                if !advised && !known_full {
                    pass.missed.push(MissedShape::new(&self.jobs[key], step, terms));
                }
            }
        }
        true
    }
}

fn urgency(job: &JobState) -> JobUrgency {
    JobUrgency {
        priority: job.record.terms.priority,
        arrived: job.arrived,
        deadline: job.deadline,
        remaining: remaining_time(job),
        long_running: job.record.is_long_running(),
    }
}

/// Returns the estimated time of the longest chain of steps that are not done.
fn remaining_time(job: &JobState) -> MonotonicTime {
    let steps = job.record.steps.len();
    let occurrence = job.opened.saturating_sub(1);
    let longest = (0..steps)
        .filter(|step| job.open_tasks[job.open_slot(occurrence, *step)] > 0)
        .map(|step| job.chains[step])
        .max()
        .unwrap_or_default();
    Duration::from_millis(longest)
}
