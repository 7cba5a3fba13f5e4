//! Pass over the queue: starts ready tasks, those of the most urgent jobs first.
//!
//! With a thousand ready tasks and many executors, a full pass may delay orders and the renewal of
//! leases and of the ownership for too long. A pass therefore runs in slices with a fixed work
//! budget; each slice resumes where the previous one stopped.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use super::{
    advice::TicketCheck,
    candidates::PlacementRules,
    refusals::SearchFailure,
    state::{ExecutorKey, JobKey, JobState, TaskPhase},
    JobScheduler,
};
use crate::{
    colocation::ImageId,
    ids::{JobId, MonotonicTime, ServiceName, TaskIndex},
    job::TaskNeeds,
    priority::{self, JobTier, JobUrgency},
};

/// Number of unplaceable shapes (see [`UnplacedShape`]) after which a pass only considers
/// long-running tasks. It bounds the cost of a pass over a long queue in a pool that is not
/// underutilized.
const MAX_UNPLACED_SHAPES: usize = 150;
/// Number of unplaceable shapes after which a pass ends.
const MAX_UNPLACED_SHAPES_TOTAL: usize = 250;
/// Number of failed searches for starved jobs after which the other jobs follow. The next pass
/// goes on with the remaining starved jobs.
const MAX_STARVED_SEARCHES: u32 = 32;
/// Work units per slice for an instance with one core. A unit is about the cost of checking an
/// executor without free capacity, 20 ns; a slice takes about 5 ms of the instance's CPU share.
const SLICE_UNITS_PER_CORE: f64 = 32_000.0;
/// Lower limit of the slice budget, for instances with a tiny CPU share.
const MIN_SLICE_UNITS: u32 = 1_000;
/// Work units of a step that is skipped, since an earlier search has failed for one like it.
const SKIPPED_STEP_UNITS: u32 = 20;
/// Number of ready tasks that are listed and sorted for one work unit.
const LISTED_PER_UNIT: usize = 4;
/// Work units of a start, which covers its order, its log entry and the state updates.
pub(super) const START_UNITS: u32 = 100;
/// Pause between two slices, in which replies and timers are handled.
const SLICE_PAUSE: Duration = Duration::from_millis(3);
/// Minimum time between two passes, so that replies arriving close together share a pass.
const PASS_INTERVAL: Duration = Duration::from_millis(4);
/// Delay before the next pass for every [`UNPLACED_PER_INTERVAL`] unplaceable shapes, rounded up.
const BACKOFF_INTERVAL: Duration = Duration::from_millis(20);
const UNPLACED_PER_INTERVAL: u32 = 40;

/// Starved job, after the time since which its ready task with the longest wait has been ready.
pub(super) type StarvedJob = (MonotonicTime, JobKey);

/// Pass that has not finished.
#[derive(Debug, Default)]
pub(super) struct QueuePass {
    /// Starved jobs still to be considered, the one with the longest wait first.
    starved: VecDeque<StarvedJob>,
    /// Other jobs still to be considered, most urgent first.
    jobs: VecDeque<JobKey>,
    /// Occurrence and step of the tasks of the current job that found no executor. Kept over the
    /// slices of a job, since a single search may exceed the budget of a slice.
    failed_steps: BTreeSet<(u32, usize)>,
    placeable: Vec<ExecutorKey>,
    /// Executors that are usable but quarantined.
    quarantined: Vec<ExecutorKey>,
    /// Whether most executors with a service and a required label are quarantined.
    mostly_quarantined: BTreeMap<(ServiceName, Option<String>), bool>,
    unplaced: Vec<UnplacedShape>,
    /// Number of [`Self::unplaced`] that are of starved jobs.
    starved_shapes: usize,
    /// Number of searches that found no executor.
    failed_searches: u32,
    /// Whether only long-running jobs are considered from now on.
    long_running_only: bool,
    /// Whether a bound has left out jobs.
    is_cut: bool,
}

impl QueuePass {
    fn next_job(&self) -> Option<JobKey> {
        let starved = self.starved.front().map(|(_, key)| *key);
        starved.or(self.jobs.front().copied())
    }

    /// Returns the job whose failed search in this pass shows that a task of the step cannot be
    /// placed.
    fn find_failed_search(
        &self,
        job: &JobState,
        step: usize,
        rules: PlacementRules,
    ) -> Option<JobId> {
        let shape = self.unplaced.iter().find(|shape| shape.is_no_larger_than(job, step, rules))?;
        Some(shape.job)
    }
}

/// Shape of a task that could not be placed: the properties that decide whether an executor can run
/// it. Later tasks of the same pass that need at least as much are skipped. Only a search that
/// failed with [`SearchFailure::Shape`] is recorded.
#[derive(Debug)]
struct UnplacedShape {
    /// Job of the task, for the log.
    job: JobId,
    service: String,
    label: Option<String>,
    image: ImageId,
    best_effort: bool,
    needs: TaskNeeds,
    /// Estimated run time in milliseconds of a best-effort task, and 0 for any other. The longer it
    /// is, the less interference is tolerated.
    estimate_ms: u32,
    /// Whether the task had waited so long that minor losses were reduced, which admits more
    /// executors.
    waited: bool,
    /// Run time that it is unlikely to exceed, and whether it ignored reservations (see
    /// [`PlacementRules`]). A shorter task may start on more reserved executors.
    longest_ms: Option<u32>,
    ignores_reservations: bool,
}

impl UnplacedShape {
    fn new(job: &JobState, step: usize, rules: PlacementRules) -> Self {
        let spec = &job.record.steps[step];
        Self {
            job: job.id,
            service: job.record.terms.service.clone(),
            label: spec.required_label.clone(),
            image: job.images[step],
            best_effort: spec.fills,
            needs: spec.needs,
            estimate_ms: if spec.fills { spec.estimate_ms } else { 0 },
            waited: rules.waited,
            longest_ms: rules.longest_ms,
            ignores_reservations: rules.ignores_reservations,
        }
    }

    /// Returns whether a task of the step needs at least as much as this shape and so cannot be
    /// placed either.
    fn is_no_larger_than(&self, job: &JobState, step: usize, rules: PlacementRules) -> bool {
        let spec = &job.record.steps[step];
        (self.waited || !rules.waited)
            && (self.ignores_reservations || !rules.ignores_reservations)
            && self.longest_ms.unwrap_or(u32::MAX) <= rules.longest_ms.unwrap_or(u32::MAX)
            && self.best_effort == spec.fills
            && self.image == job.images[step]
            && self.estimate_ms <= spec.estimate_ms
            && self.needs.cpu_millis <= spec.needs.cpu_millis
            && self.needs.memory_mb <= spec.needs.memory_mb
            && self.needs.gpus <= spec.needs.gpus
            && self.label == spec.required_label
            && self.service == job.record.terms.service
    }
}

/// Returns the work budget of a slice in units, for a CPU share in cores.
pub(super) fn slice_units(processor_share: f64) -> u32 {
    ((SLICE_UNITS_PER_CORE * processor_share) as u32).max(MIN_SLICE_UNITS)
}

impl JobScheduler {
    /// Runs the next slice of the current pass, or starts a new pass if one is due.
    pub(super) fn run_pass(&mut self) {
        self.pass_complete = false;
        if !self.loaded || self.now < self.next_pass_at {
            return;
        }
        self.spent_units = 0;
        let resumed = self.pass.is_some();
        let mut pass = match self.pass.take() {
            Some(pass) => pass,
            None if self.pass_needed => {
                self.advice.begin_pass();
                self.begin_pass()
            }
            None => return,
        };
        while let Some(key) = pass.next_job() {
            if self.starts_in_flight >= self.max_starts_in_flight {
                // The next reply to a start triggers a new pass, with the urgencies at that time.
                self.next_pass_at = self.now + PASS_INTERVAL;
                return;
            }
            if !self.place_job(key, &mut pass) {
                self.pass = Some(pass);
                self.next_pass_at = self.now + SLICE_PAUSE;
                return;
            }
            pass.failed_steps.clear();
            if let Some(starved) = pass.starved.pop_front() {
                pass.starved_shapes = pass.unplaced.len();
                self.last_starved = None;
                if pass.failed_searches >= MAX_STARVED_SEARCHES {
                    pass.starved.clear();
                    pass.is_cut = true;
                    self.last_starved = Some(starved);
                }
                continue;
            }
            pass.jobs.pop_front();
            // Every job must make progress while much of the pool is free, and few tasks are
            // unplaceable then.
            if self.underutilized {
                continue;
            }
            let unplaced = pass.unplaced.len() - pass.starved_shapes;
            if unplaced >= MAX_UNPLACED_SHAPES_TOTAL {
                pass.is_cut = true;
                break;
            }
            if unplaced >= MAX_UNPLACED_SHAPES && !pass.long_running_only {
                pass.long_running_only = true;
                pass.is_cut = true;
                let jobs = &self.jobs;
                pass.jobs.retain(|key| jobs.get(*key).is_some_and(JobState::is_long_running));
            }
        }
        self.pass_complete = !resumed && !pass.is_cut && self.advice.is_pass_complete();
        let unplaced = pass.unplaced.len() as u32;
        let backoff = BACKOFF_INTERVAL * unplaced.div_ceil(UNPLACED_PER_INTERVAL);
        self.next_pass_at = self.now + PASS_INTERVAL.max(backoff);
    }

    /// Counts work against the budget of the current slice.
    pub(super) fn charge_units(&mut self, units: u32) {
        self.spent_units = self.spent_units.saturating_add(units);
    }

    /// Returns the work units used by the last slice of a pass.
    pub fn spent_units(&self) -> u32 {
        self.spent_units
    }

    /// Returns the number of starts without a reply.
    pub fn starts_in_flight(&self) -> usize {
        self.starts_in_flight
    }

    /// Starts a pass with all jobs that have ready tasks, ordered by urgency.
    fn begin_pass(&mut self) -> QueuePass {
        self.pass_needed = false;
        let jobs = &self.jobs;
        self.waiting.retain(|key| !jobs[*key].ready.is_empty());
        let mut waiting: Vec<(JobKey, JobUrgency)> = self
            .waiting
            .iter()
            .map(|key| (*key, &self.jobs[*key]))
            .filter(|(_, job)| job.ready.iter().any(|task| self.may_start(job, *task)))
            .map(|(key, job)| (key, urgency(job)))
            .collect();
        if !self.guards.starved_first {
            waiting.iter_mut().for_each(|(_, job)| job.ready_since = self.now);
        }
        if waiting.is_empty() {
            self.update_reservations(&[]);
            return QueuePass::default();
        }
        self.update_neighbour_demand();
        self.update_calm_room();
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
            .partition(|key| self.executors[*key].record.is_quarantined(now));
        self.update_reservations(&placeable);
        self.charge_units((waiting.len() + self.executors.len()) as u32);
        let others = waiting
            .split_off(waiting.partition_point(|(_, job)| job.tier(now) == JobTier::Starved));
        let mut starved: VecDeque<StarvedJob> =
            waiting.into_iter().map(|(key, job)| (job.ready_since, key)).collect();
        if let Some(last) = self.last_starved {
            starved.rotate_left(starved.partition_point(|job| *job <= last));
        }
        let jobs = others.into_iter().map(|(key, _)| key).collect();
        QueuePass { starved, jobs, placeable, quarantined, ..QueuePass::default() }
    }

    /// Starts the ready tasks of a job and records the shapes that could not be placed. Returns
    /// false if the slice budget or the limit on starts was reached before all tasks were
    /// considered.
    fn place_job(&mut self, key: JobKey, pass: &mut QueuePass) -> bool {
        // The job may have ended since the pass began.
        let Some(job) = self.jobs.get(key).filter(|job| job.outcome.is_none()) else { return true };
        let mut ready: Vec<TaskIndex> = job.ready.iter().copied().collect();
        // A slice has to place at least one task.
        let listing_units = ((ready.len() / LISTED_PER_UNIT) as u32).min(self.slice_units / 2);
        // What a task may do grows with its wait, so the remaining tasks of a step can only be
        // skipped after one that has waited longest.
        ready.sort_by_key(|task| {
            (job.layout.position(*task), job.tasks[*task as usize].ready_since)
        });
        self.choose_zone(key);
        self.charge_units(listing_units);
        let job = &self.jobs[key];
        let mut idle = job.tasks.iter().all(|task| task.runs.is_empty());
        let mut candidates = None;
        for task in ready {
            let job = &self.jobs[key];
            let (occurrence, step) = job.layout.position(task);
            if pass.failed_steps.contains(&(occurrence, step))
                || job.tasks[task as usize].phase != TaskPhase::Ready
                || !self.may_start(job, task)
            {
                continue;
            }
            if self.spent_units >= self.slice_units
                || self.starts_in_flight >= self.max_starts_in_flight
            {
                return false;
            }
            let mostly_quarantined = self.check_quarantines(key, step, pass);
            let job = &self.jobs[key];
            // The advice service allows different executors for each step, so if a step cannot be
            // placed, another step of the same shape may still be.
            let advised = job.record.terms.advice.is_some();
            let gang = job.record.steps[step].gang;
            let rules = self.placement_rules(job, task, idle);
            let on_probation = !pass.quarantined.is_empty()
                && self.is_allowed_probation(job, task, mostly_quarantined);
            let failed_search = match advised || gang || rules.starving {
                true => None,
                false => pass.find_failed_search(job, step, rules),
            };
            let known_unplaceable = failed_search.is_some();
            self.note_search(key, failed_search);
            let holder = (key, occurrence, step);
            if known_unplaceable && !on_probation && !self.holds_reservation(holder) {
                pass.failed_steps.insert((occurrence, step));
                self.charge_units(SKIPPED_STEP_UNITS);
                self.reserve_room(holder, task, &pass.placeable);
                continue;
            }
            if advised {
                let check = self.check_tickets(key, task, rules, &pass.placeable);
                if check != TicketCheck::Sufficient {
                    pass.failed_searches += u32::from(check == TicketCheck::Searched);
                    pass.failed_steps.insert((occurrence, step));
                    continue;
                }
            }
            let mut placed = match gang {
                true => self.place_gang(key, occurrence, step, &pass.placeable),
                false if known_unplaceable => self.place_reserved(key, task, rules),
                false => self.place_task(key, task, rules, &pass.placeable, &mut candidates),
            };
            if on_probation {
                placed = placed.or_else(|failure| {
                    self.place_on_probation(key, task, &pass.quarantined).map_err(|_| failure)
                });
            }
            idle &= placed.is_err();
            if let Err(failure) = placed {
                pass.failed_steps.insert((occurrence, step));
                pass.failed_searches += u32::from(!known_unplaceable || on_probation);
                if failure == SearchFailure::Shape {
                    pass.unplaced.push(UnplacedShape::new(&self.jobs[key], step, rules));
                }
                self.reserve_room(holder, task, &pass.placeable);
            }
        }
        true
    }

    /// Returns whether most executors for a step are quarantined, as of the first call in a pass.
    fn check_quarantines(&mut self, key: JobKey, step: usize, pass: &mut QueuePass) -> bool {
        if pass.quarantined.is_empty() {
            return false;
        }
        let job = &self.jobs[key];
        let spec = &job.record.steps[step];
        let kind = (job.record.terms.service.clone(), spec.required_label.clone());
        if let Some(known) = pass.mostly_quarantined.get(&kind) {
            return *known;
        }
        let mostly_quarantined = self.is_mostly_quarantined(job, spec);
        pass.mostly_quarantined.insert(kind, mostly_quarantined);
        self.charge_units(self.executors.len() as u32);
        mostly_quarantined
    }

    /// Notes for the log whether a search is made for a task of a job, or the failed search of
    /// another job is taken for its own.
    fn note_search(&mut self, key: JobKey, failed_search: Option<JobId>) {
        let now = self.now;
        let job = &mut self.jobs[key];
        match failed_search {
            Some(failed) => job.skipped = Some((now, failed)),
            None => job.searched_at = Some(now),
        }
    }
}

pub(super) fn urgency(job: &JobState) -> JobUrgency {
    JobUrgency { ready_since: longest_wait_since(job), ..urgency_without_wait(job) }
}

/// Returns whether the result of a job has no value any more. Does not go through its ready tasks, of
/// which there may be many.
pub(super) fn is_overdue(job: &JobState, now: MonotonicTime) -> bool {
    urgency_without_wait(job).tier(now) == JobTier::Overdue
}

fn urgency_without_wait(job: &JobState) -> JobUrgency {
    JobUrgency {
        priority: job.record.terms.priority,
        arrived: job.arrived,
        deadline: job.deadline,
        remaining: remaining_time(job),
        long_running: job.record.is_long_running(),
        ready_since: MonotonicTime::ZERO,
    }
}

/// Returns since when the ready task with the longest wait has been ready.
pub(super) fn longest_wait_since(job: &JobState) -> MonotonicTime {
    let since = job.ready.iter().map(|task| job.tasks[*task as usize].ready_since);
    since.min().unwrap_or_default()
}

/// Returns the estimated length of the longest critical path from an unfinished step.
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
