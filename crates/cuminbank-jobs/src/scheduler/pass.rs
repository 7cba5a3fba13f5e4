//! A pass over the queue: starts what has room, most urgent jobs first.
//!
//! Answers long queues on many executors: a pass over a thousand ready tasks may take longer than the
//! time in which orders, leases and the ownership have to be seen to. It is cut into parts that end when
//! their share of work is done, and the next part goes on where the one before stopped.

use std::{collections::VecDeque, time::Duration};

use super::{
    candidates::PlacementRules,
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
const MAX_UNPLACED_SHAPES: usize = 150;
/// Shapes after which a pass ends.
const MAX_UNPLACED_SHAPES_TOTAL: usize = 250;
/// Wait after which a lasting task may use a shunned executor. No lasting task must wait for 3 s while
/// there is room, and shunned executors empty.
const PROBATION_WAIT: Duration = Duration::from_millis(1_500);
/// Wait up to which a filling task is only placed where even faint losses leave services within their
/// bounds. While there is room for all, it finds such a place; on a heavy day it goes on.
const STRICT_PLACEMENT_TIME: Duration = Duration::from_millis(800);
/// Units of work in one part of a pass for a whole core. A unit is about as long as one look at an
/// executor that is full, 20 ns, and a part takes some 5 ms of the instance's share.
const SLICE_UNITS_PER_CORE: f64 = 32_000.0;
/// Least units of work in a part, for instances with a tiny share.
const MIN_SLICE_UNITS: u32 = 1_000;
/// Units that a start takes: its order, its log line and its place in the books.
pub(super) const START_UNITS: u32 = 100;
/// Pause between two parts of a pass, in which answers and timers are seen to.
const SLICE_PAUSE: Duration = Duration::from_millis(3);
/// Least time between two passes, so that answers close together share one.
const PASS_INTERVAL: Duration = Duration::from_millis(4);
/// Interval between two passes over the queue for each so many shapes that found no room.
const BACKOFF_INTERVAL: Duration = Duration::from_millis(20);
const UNPLACED_PER_INTERVAL: u32 = 40;

/// A pass in progress.
#[derive(Debug, Default)]
pub(super) struct QueuePass {
    /// Jobs that have not had their turn, most urgent first.
    jobs: VecDeque<JobKey>,
    placeable: Vec<ExecutorKey>,
    /// Executors that would be placeable if they were not shunned.
    quarantined: Vec<ExecutorKey>,
    unplaced: Vec<UnplacedShape>,
    /// Whether only lasting tasks are still looked at.
    long_running_only: bool,
}

/// Shape of a task for which a pass found no room.
#[derive(Debug)]
struct UnplacedShape {
    service: String,
    label: Option<String>,
    image: ImageId,
    best_effort: bool,
    needs: TaskNeeds,
    /// Whether the task had waited, so that it might have gone to more executors.
    waited: bool,
}

impl UnplacedShape {
    fn new(job: &JobState, step: usize, rules: PlacementRules) -> Self {
        let spec = &job.record.steps[step];
        Self {
            service: job.record.terms.service.clone(),
            label: spec.required_label.clone(),
            image: job.images[step],
            best_effort: spec.fills,
            needs: spec.needs,
            waited: rules.waited,
        }
    }

    /// Tells whether a task of the step needs no less than this one.
    fn is_no_larger_than(&self, job: &JobState, step: usize, rules: PlacementRules) -> bool {
        let spec = &job.record.steps[step];
        (self.waited || !rules.waited)
            && self.best_effort == spec.fills
            && self.image == job.images[step]
            && self.needs.cpu_millis <= spec.needs.cpu_millis
            && self.needs.memory_mb <= spec.needs.memory_mb
            && self.needs.gpus <= spec.needs.gpus
            && self.label == spec.required_label
            && self.service == job.record.terms.service
    }
}

/// Returns how much work one part of a pass may take.
pub(super) fn slice_units(processor_share: f64) -> u32 {
    ((SLICE_UNITS_PER_CORE * processor_share) as u32).max(MIN_SLICE_UNITS)
}

impl JobScheduler {
    /// Goes on with the pass or begins one, if it is time.
    pub(super) fn run_pass(&mut self) {
        if !self.loaded || self.now < self.next_pass_at {
            return;
        }
        self.spent_units = 0;
        let mut pass = match self.pass.take() {
            Some(pass) => pass,
            None if self.pass_needed => self.begin_pass(),
            None => return,
        };
        while let Some(key) = pass.jobs.pop_front() {
            if self.starts_in_flight >= self.max_starts_in_flight {
                // A new pass begins as answers come in, with the jobs in the order of that time.
                self.next_pass_at = self.now + PASS_INTERVAL;
                return;
            }
            if !self.place_job(key, &mut pass) {
                pass.jobs.push_front(key);
                self.pass = Some(pass);
                self.next_pass_at = self.now + SLICE_PAUSE;
                return;
            }
            if pass.unplaced.len() >= MAX_UNPLACED_SHAPES_TOTAL {
                break;
            }
            if pass.unplaced.len() >= MAX_UNPLACED_SHAPES && !pass.long_running_only {
                pass.long_running_only = true;
                let jobs = &self.jobs;
                pass.jobs.retain(|key| jobs.get(*key).is_some_and(JobState::is_long_running));
            }
        }
        let unplaced = pass.unplaced.len() as u32;
        let backoff = BACKOFF_INTERVAL * unplaced.div_ceil(UNPLACED_PER_INTERVAL);
        self.next_pass_at = self.now + PASS_INTERVAL.max(backoff);
    }

    /// Notes work of the current part.
    pub(super) fn charge_units(&mut self, units: u32) {
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
        self.pass_needed = false;
        let (jobs, reconciled) = (&self.jobs, self.is_reconciled());
        self.waiting.retain(|key| !jobs[*key].ready.is_empty());
        let mut waiting: Vec<(JobKey, JobUrgency)> = self
            .waiting
            .iter()
            .map(|key| (*key, &self.jobs[*key]))
            .filter(|(_, job)| job.fresh || reconciled)
            .map(|(key, job)| (key, urgency(job)))
            .collect();
        if waiting.is_empty() {
            return QueuePass::default();
        }
        self.update_neighbour_demand();
        self.underutilized = self.is_underutilized();
        let now = self.now;
        waiting.sort_by(|(left_key, left), (right_key, right)| {
            priority::compare(now, left, right).then(left_key.cmp(right_key))
        });
        let (quarantined, placeable): (Vec<ExecutorKey>, Vec<ExecutorKey>) = self
            .executors
            .iter()
            .filter(|(_, executor)| self.is_usable(executor))
            .map(|(key, _)| key)
            .partition(|key| self.executors[*key].record.is_shunned(now));
        self.charge_units((waiting.len() + self.executors.len()) as u32);
        let jobs = waiting.into_iter().map(|(key, _)| key).collect();
        QueuePass { jobs, placeable, quarantined, ..QueuePass::default() }
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
            if self.spent_units >= self.slice_units
                || self.starts_in_flight >= self.max_starts_in_flight
            {
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
            let rules = PlacementRules {
                waited: waited >= STRICT_PLACEMENT_TIME,
                starving,
                ..PlacementRules::default()
            };
            let on_probation = !pass.quarantined.is_empty()
                && job.is_long_running()
                && !advised
                && !gang
                && waited >= PROBATION_WAIT;
            let known_full = !advised
                && !gang
                && !starving
                && pass.unplaced.iter().any(|shape| shape.is_no_larger_than(job, step, rules));
            if (known_full && !on_probation)
                || (advised && !self.has_advice(key, task, &pass.placeable))
            {
                full_step = Some((occurrence, step));
                continue;
            }
            let mut placed = match gang {
                true => self.place_gang(key, occurrence, step, &pass.placeable),
                false if known_full => false,
                false => self.place_task(key, task, rules, &pass.placeable, &mut candidates),
            };
            if !placed && on_probation {
                placed = self.place_on_probation(key, task, &pass.quarantined);
            }
            idle &= !placed;
            if !placed {
                full_step = Some((occurrence, step));
                if !advised && !known_full {
                    pass.unplaced.push(UnplacedShape::new(&self.jobs[key], step, rules));
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
    let occurrence = job.opened_occurrences.saturating_sub(1);
    let longest = (0..steps)
        .filter(|step| job.open_tasks[job.open_tasks_index(occurrence, *step)] > 0)
        .map(|step| job.critical_paths_ms[step])
        .max()
        .unwrap_or_default();
    Duration::from_millis(longest)
}
