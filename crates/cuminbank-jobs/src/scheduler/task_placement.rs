//! Placement of ready tasks and gangs on executors.

use std::time::Duration;

use cuminbank::log::GANG_WAITS;

use super::{
    candidates::{CandidateSearch, PlacementRules, StepCandidates, EVALUATION_UNITS},
    refusals::{PlacementRefusal, SearchFailure},
    state::{ExecutorKey, ExecutorState, JobKey, JobState, RunsPerExecutor, TaskPhase},
    JobScheduler,
};
use crate::{
    colocation::MAX_PRESSURE,
    ids::TaskIndex,
    job::JobStep,
    placement::{ExecutorLoad, TaskDemand},
};

/// Wait after which a job without runs may start one best-effort task that interferes with
/// latency-critical ones. Every job must make progress within 3 s while the pool has free capacity.
const STARVATION_TIME: Duration = Duration::from_millis(1_500);
/// Pause between two starts after [`STARVATION_TIME`] in a pool that is not underutilized, since
/// many jobs may be late at once after a takeover.
const STARVATION_PAUSE: Duration = Duration::from_millis(250);
/// Reserved CPU in percent of the capacity up to which a pool counts as underutilized. Jobs must
/// make progress while up to 50 % are reserved; the difference is a safety margin.
const UNDERUTILIZED_PERCENT: u64 = 60;

/// Wait after which a long-running task, or any task while most executors are quarantined, may start
/// on a quarantined executor. Such a task must not wait for 3 s while any executor has free
/// capacity, and quarantined executors become idle.
const PROBATION_WAIT: Duration = Duration::from_millis(1_500);
/// Wait below which minor losses count in the placement of a best-effort task. With enough free
/// capacity the task finds a suitable executor in this time; under heavy load it starts later, with
/// minor losses reduced towards zero.
const STRICT_PLACEMENT_TIME: Duration = Duration::from_millis(800);

impl JobScheduler {
    /// Returns the rules for placing a task now. `idle` tells whether no task of its job has a run.
    pub(super) fn placement_rules(
        &self,
        job: &JobState,
        task: TaskIndex,
        idle: bool,
    ) -> PlacementRules {
        let rules = PlacementRules {
            waited: self.wait_of(job, task) >= STRICT_PLACEMENT_TIME,
            starving: idle && self.is_starving(job, task),
            ..PlacementRules::default()
        };
        self.with_reservation_rules(job, task, rules)
    }

    /// Returns whether a task may start on a quarantined executor now, given whether most of its
    /// executors are quarantined.
    pub(super) fn is_allowed_probation(
        &self,
        job: &JobState,
        task: TaskIndex,
        mostly_quarantined: bool,
    ) -> bool {
        let (_, step) = job.layout.position(task);
        (job.is_long_running() || mostly_quarantined)
            && job.record.terms.advice.is_none()
            && !job.record.steps[step].gang
            && self.wait_of(job, task) >= PROBATION_WAIT
    }

    /// Returns whether most of the usable executors with the service and the label of a step are
    /// quarantined. Failures on so many executors are more likely caused by the tasks.
    pub(super) fn is_mostly_quarantined(&self, job: &JobState, spec: &JobStep) -> bool {
        let (mut quarantined, mut others) = (0, 0);
        for (key, executor) in &self.executors {
            if self.is_usable(executor) && self.fits_labels(job, spec, key) {
                match executor.record.is_quarantined(self.now) {
                    true => quarantined += 1,
                    false => others += 1,
                }
            }
        }
        quarantined > others
    }

    fn wait_of(&self, job: &JobState, task: TaskIndex) -> Duration {
        self.now.saturating_sub(job.tasks[task as usize].ready_since)
    }

    /// Starts a task on the executor with the lowest cost, or returns what it shows that no executor
    /// can run it. `candidates` caches the suitable executors for the task's step.
    pub(super) fn place_task(
        &mut self,
        key: JobKey,
        task: TaskIndex,
        rules: PlacementRules,
        placeable: &[ExecutorKey],
        candidates: &mut Option<StepCandidates>,
    ) -> Result<(), SearchFailure> {
        let job = &self.jobs[key];
        let position = job.layout.position(task);
        let needs_full_search = rules.starving
            || job.record.terms.advice.is_some()
            || !job.tasks[task as usize].failed_on.is_empty();
        let executor = match needs_full_search {
            true => self.find_cheapest(key, task, placeable, rules)?,
            false => {
                let known = match candidates
                    .take()
                    .filter(|known| known.position == position && known.rules == rules)
                {
                    Some(known) => known,
                    None => self.find_candidates(key, position, rules, placeable),
                };
                self.pop_candidate(key, candidates.insert(known))?
            }
        };
        if rules.starving {
            self.next_starvation_start_at = self.now + STARVATION_PAUSE;
        }
        self.start_next_run(key, task, executor);
        match (needs_full_search, candidates.as_mut()) {
            (false, Some(known)) => self.push_candidate(key, known, executor),
            // The cached costs do not include this start.
            _ => *candidates = None,
        }
        Ok(())
    }

    /// Starts a task on the quarantined executor with the lowest cost, or returns what
    /// it shows that none of them can run it.
    pub(super) fn place_on_probation(
        &mut self,
        key: JobKey,
        task: TaskIndex,
        quarantined: &[ExecutorKey],
    ) -> Result<(), SearchFailure> {
        let rules = PlacementRules { on_probation: true, ..PlacementRules::default() };
        let executor = self.find_cheapest(key, task, quarantined, rules)?;
        self.start_next_run(key, task, executor);
        Ok(())
    }

    /// Starts a task on one of the executors reserved for its step.
    pub(super) fn place_reserved(
        &mut self,
        key: JobKey,
        task: TaskIndex,
        rules: PlacementRules,
    ) -> Result<(), SearchFailure> {
        let (occurrence, step) = self.jobs[key].layout.position(task);
        let reserved = self.reserved_executors((key, occurrence, step));
        let executor = self.find_cheapest(key, task, &reserved, rules);
        let executor = executor.map_err(|_| SearchFailure::Step)?;
        self.start_next_run(key, task, executor);
        Ok(())
    }

    fn start_next_run(&mut self, key: JobKey, task: TaskIndex, executor: ExecutorKey) {
        let number = self.next_run(key, std::iter::once(task));
        self.start_run(key, task, number, executor);
    }

    /// Returns whether a best-effort task has waited so long that it may start where it interferes
    /// with latency-critical tasks.
    ///
    /// If its image interferes with the tasks of every executor, it would otherwise never run. The
    /// caller only allows this for jobs without runs. If a latency target is missed, the task is
    /// evicted and resumes from its checkpoint. Unless the pool is underutilized, the job must be
    /// late, and [`STARVATION_PAUSE`] must have passed since the last such start.
    pub(super) fn is_starving(&self, job: &JobState, task: TaskIndex) -> bool {
        let (_, step) = job.layout.position(task);
        let waited = self.wait_of(job, task);
        let allowed = self.underutilized
            || (self.now > job.deadline && self.now >= self.next_starvation_start_at);
        job.record.steps[step].fills && allowed && waited >= STARVATION_TIME
    }

    /// Returns whether tasks reserve only a small part of the pool's CPU capacity.
    pub(super) fn is_underutilized(&self) -> bool {
        let sum = |part: fn(&ExecutorState) -> u32| {
            self.executors.values().map(|executor| u64::from(part(executor))).sum::<u64>()
        };
        let reserved = sum(|executor| executor.reserved.cpu_millis);
        reserved * 100 <= sum(|executor| executor.capacity.cpu_millis) * UNDERUTILIZED_PERCENT
    }

    /// Starts all members of a gang, or none of them.
    pub(super) fn place_gang(
        &mut self,
        key: JobKey,
        occurrence: u32,
        step: usize,
        placeable: &[ExecutorKey],
    ) -> Result<(), SearchFailure> {
        let job = &self.jobs[key];
        let range = job.step_range(occurrence, step);
        let all_ready =
            range.clone().all(|task| job.tasks[task as usize].phase == TaskPhase::Ready);
        if !all_ready {
            return Err(SearchFailure::Step);
        }
        let executors = self.gang_executors(job, step, placeable);
        let assignments = self.assign_gang(job, occurrence, step, &executors);
        let evaluated = executors.len() + assignments.as_ref().map_or(0, Vec::len);
        self.charge_units(placeable.len() as u32 + evaluated as u32 * EVALUATION_UNITS);
        let job = &self.jobs[key];
        let Some(assignments) = assignments else {
            let detail = format!("step={step} members={}", range.len());
            let id = job.id;
            self.log(GANG_WAITS, Some(id), detail);
            return Err(SearchFailure::Step);
        };
        let number = self.next_run(key, range.clone());
        for (task, executor) in range.zip(assignments) {
            self.start_run(key, task, number, executor);
        }
        Ok(())
    }

    /// Returns the executors that may have room for a member of a gang. They may have changed or left
    /// since the pass began.
    pub(super) fn gang_executors(
        &self,
        job: &JobState,
        step: usize,
        placeable: &[ExecutorKey],
    ) -> Vec<ExecutorKey> {
        let spec = &job.record.steps[step];
        let may_run = |key: &ExecutorKey| {
            self.executors.get(*key).is_some_and(|executor| {
                executor.may_have_capacity_for(spec)
                    && self.is_placeable(executor)
                    && !self.is_closed_to_gang(job, *key)
            })
        };
        placeable.iter().copied().filter(may_run).collect()
    }

    /// Selects one of [`Self::gang_executors`] for each member of a gang. With `same_rack` it prefers a
    /// rack with free capacity for all members. If there is none, it spreads them over several racks.
    pub(super) fn assign_gang(
        &self,
        job: &JobState,
        occurrence: u32,
        step: usize,
        executors: &[ExecutorKey],
    ) -> Option<Vec<ExecutorKey>> {
        let spec = &job.record.steps[step];
        let mut racks: Vec<Option<&str>> = vec![None];
        if spec.same_rack {
            let mut names: Vec<&str> =
                executors.iter().filter_map(|key| rack_of(&self.executors[*key])).collect();
            names.sort_unstable();
            names.dedup();
            racks = names.into_iter().map(Some).chain([None]).collect();
        }
        racks
            .into_iter()
            .find_map(|rack| self.assign_gang_on_rack(job, occurrence, step, executors, rack))
    }

    fn assign_gang_on_rack(
        &self,
        job: &JobState,
        occurrence: u32,
        step: usize,
        placeable: &[ExecutorKey],
        rack: Option<&str>,
    ) -> Option<Vec<ExecutorKey>> {
        let spec = &job.record.steps[step];
        let job_key = self.job_ids.get(&job.id).copied();
        let mut counts = RunsPerExecutor::new();
        let mut loads: Vec<(ExecutorKey, ExecutorLoad)> = placeable
            .iter()
            .filter(|key| rack.is_none() || rack_of(&self.executors[**key]) == rack)
            .filter(|key| self.fits_labels(job, spec, **key))
            .filter(|key| {
                job.record.terms.advice.is_none()
                    || job_key
                        .is_some_and(|job| self.ticket((job, occurrence, step), **key).is_some())
            })
            .map(|key| (*key, self.load_of(job, spec, &self.executors[*key], &[])))
            .collect();
        let demand = demand_of(spec);
        let mut assignments = Vec::with_capacity(spec.count as usize);
        for _ in job.step_range(occurrence, step) {
            let (key, load) = loads
                .iter_mut()
                .filter(|(_, load)| load.has_capacity_for(&demand))
                .filter(|(key, _)| within_limit(spec, &counts, *key))
                .min_by_key(|(_, load)| load.cost(&demand))?;
            load.reserved.cpu_millis += spec.needs.cpu_millis;
            load.reserved.memory_mb += spec.needs.memory_mb;
            load.reserved.gpus += spec.needs.gpus;
            *counts.entry(*key).or_default() += 1;
            assignments.push(*key);
        }
        Some(assignments)
    }

    /// Returns a run number that is higher than all earlier ones of the tasks.
    fn next_run(&self, key: JobKey, tasks: impl Iterator<Item = TaskIndex>) -> u32 {
        let job = &self.jobs[key];
        tasks
            .map(|task| job.tasks[task as usize].last_run)
            .max()
            .unwrap_or_default()
            .saturating_add(1)
    }

    /// Returns the number of runs of a step on each executor. Empty if the step has no limit per
    /// executor and is not spread.
    pub(super) fn step_counts(
        &self,
        job: &JobState,
        occurrence: u32,
        step: usize,
    ) -> RunsPerExecutor {
        let mut counts = RunsPerExecutor::new();
        let spec = &job.record.steps[step];
        if spec.max_per_executor == 0 && !self.is_spread(spec) {
            return counts;
        }
        for task in job.step_range(occurrence, step) {
            for run in &job.tasks[task as usize].runs {
                *counts.entry(self.runs[*run].executor).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the executor with the lowest cost for a task among the given ones, or what it shows
    /// that there is none.
    fn find_cheapest(
        &mut self,
        key: JobKey,
        task: TaskIndex,
        placeable: &[ExecutorKey],
        rules: PlacementRules,
    ) -> Result<ExecutorKey, SearchFailure> {
        let job = &self.jobs[key];
        let position = job.layout.position(task);
        let counts = self.step_counts(job, position.0, position.1);
        let failed_on = &job.tasks[task as usize].failed_on;
        let search = CandidateSearch { key, position, counts: &counts, failed_on, rules };
        let mut failure = SearchFailure::default();
        let mut best = None;
        for executor in placeable {
            match self.cost_on(&search, *executor) {
                Ok(cost) if best.is_none_or(|best| (cost, *executor) < best) => {
                    best = Some((cost, *executor));
                }
                Ok(_) => {}
                Err(refusal) => failure = failure.max(refusal.failure()),
            }
        }
        self.charge_units(placeable.len() as u32 * EVALUATION_UNITS);
        best.map(|(_, executor)| executor).ok_or(failure)
    }

    /// Returns the cost of running a task of the searched step on an executor, or why it cannot run
    /// there.
    pub(super) fn cost_on(
        &self,
        search: &CandidateSearch,
        key: ExecutorKey,
    ) -> Result<u64, PlacementRefusal> {
        let cost = self.cost_with_ticket(search, key)?;
        let step = (search.key, search.position.0, search.position.1);
        let advised = self.jobs[search.key].record.terms.advice.is_some();
        if advised && self.ticket(step, key).is_none() {
            return Err(PlacementRefusal::Ticket);
        }
        Ok(cost)
    }

    /// Returns the same for a step that needs no ticket or has one for the executor.
    pub(super) fn cost_with_ticket(
        &self,
        search: &CandidateSearch,
        key: ExecutorKey,
    ) -> Result<u64, PlacementRefusal> {
        let job = &self.jobs[search.key];
        let step = search.position.1;
        let spec = &job.record.steps[step];
        let executor = self.executors.get(key).ok_or(PlacementRefusal::Leaving)?;
        if !executor.may_have_capacity_for(spec) {
            return Err(PlacementRefusal::Capacity);
        }
        if let Some(refusal) = self.general_refusal(executor) {
            return Err(refusal);
        }
        if executor.record.is_quarantined(self.now) != search.rules.on_probation {
            return Err(PlacementRefusal::Quarantined);
        }
        if search.rules.on_probation && !executor.record.allows_probation(self.now) {
            return Err(PlacementRefusal::ProbationPause);
        }
        if !self.fits_labels(job, spec, key) {
            return Err(PlacementRefusal::Labels);
        }
        if !within_limit(spec, search.counts, key) {
            return Err(PlacementRefusal::Limit);
        }
        let demand = demand_of(spec);
        let mut load = self.load_of(job, spec, executor, search.failed_on);
        if !load.has_capacity_for(&demand) {
            return Err(PlacementRefusal::Capacity);
        }
        let holder = (search.key, search.position.0, step);
        if !self.is_permitted(holder, key, spec, search.rules) {
            return Err(PlacementRefusal::Reserved);
        }
        load.unusable_cost = self.unusable_cost(executor, spec);
        let image = job.images[step];
        if spec.fills {
            load.pressure = self.pressure_with(executor, image, spec, search.rules.minor_loss());
            let interferes =
                load.pressure > MAX_PRESSURE || self.exceeds_trial_limit(executor, image);
            if self.now < executor.no_best_effort_until || (interferes && !search.rules.starving) {
                return Err(PlacementRefusal::Interference);
            }
            load.calm_cost = self.calm_cost(executor, image, spec, search.rules.minor_loss());
        } else if spec.long_running {
            load.pressure = self.pressure_on(executor, image);
            if self.is_spread(spec) {
                load.same_step_tasks = search.counts.get(&key).copied().unwrap_or_default();
            }
        }
        load.neighbour_demand = self.neighbour_demand_on(executor);
        load.same_image = executor.latency_critical_images.iter().any(|(known, _)| *known == image);
        Ok(load.cost(&demand))
    }

    fn is_spread(&self, spec: &JobStep) -> bool {
        self.step_spread && spec.long_running
    }

    pub(super) fn fits_labels(&self, job: &JobState, spec: &JobStep, key: ExecutorKey) -> bool {
        let executor = &self.executors[key];
        let labelled =
            spec.required_label.as_ref().is_none_or(|label| executor.labels.contains(label));
        labelled && executor.service == job.record.terms.service
    }

    fn load_of(
        &self,
        job: &JobState,
        spec: &JobStep,
        executor: &ExecutorState,
        failed_on: &[String],
    ) -> ExecutorLoad {
        let near_data = spec.data_rack.as_ref().is_some_and(|rack| executor.labels.contains(rack));
        ExecutorLoad {
            capacity: executor.capacity,
            reserved: executor.reserved,
            latency_critical_cpu: executor.latency_critical_cpu,
            same_step_tasks: 0,
            best_effort_cpu: executor.best_effort_cpu,
            pressure: 0.0,
            calm_cost: None,
            same_image: false,
            neighbour_demand: 0.0,
            unusable_cost: 0,
            best_effort_tasks: executor.best_effort_tasks,
            latency_critical_tasks: executor.latency_critical_tasks,
            near_data,
            outside_zone: job.is_outside_zone(executor),
            rank: executor.rank,
            slowness: executor.record.slowness(),
            suspect: executor.record.is_suspect(),
            failed_here: failed_on.contains(&executor.name),
        }
    }
}

fn demand_of(spec: &JobStep) -> TaskDemand {
    TaskDemand {
        needs: spec.needs,
        best_effort: spec.fills,
        latency_critical: spec.long_running,
        prefers_rack: spec.data_rack.is_some(),
    }
}

fn within_limit(spec: &JobStep, counts: &RunsPerExecutor, key: ExecutorKey) -> bool {
    spec.max_per_executor == 0
        || counts.get(&key).copied().unwrap_or_default() < spec.max_per_executor
}

/// Returns the rack of an executor, the last of its labels; the first is its kind.
fn rack_of(executor: &ExecutorState) -> Option<&str> {
    executor.labels.last().map(String::as_str)
}
