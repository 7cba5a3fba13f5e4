//! Starts ready tasks where there is room.

use std::time::Duration;

use cuminbank::log::GANG_WAITS;

use super::{
    candidates::{CandidateSearch, PlacingTerms, StepCandidates, EVALUATION_UNITS},
    state::{ExecutorCounts, ExecutorKey, ExecutorState, JobKey, JobState, TaskPhase},
    JobScheduler,
};
use crate::{
    colocation::MAX_PRESSURE,
    ids::TaskIndex,
    job::JobStep,
    placement::{ExecutorLoad, TaskDemand},
};

/// Wait after which a job that runs nothing may disturb services with one task. While the pool has
/// room no job must stand still for 3 s.
const STARVED_TIME: Duration = Duration::from_millis(1_500);
/// Pause between two such tasks while much of the pool is reserved: after a takeover many jobs are late
/// at once.
const STARVED_PAUSE: Duration = Duration::from_millis(250);
/// Part of the processors up to which a pool counts as little used, in percent, with a reserve to the
/// half at which jobs may stand still.
const LITTLE_USED_PERCENT: u64 = 60;

impl JobScheduler {
    /// Tells whether an executor with room has a ticket for the step of a task; asks for some if none
    /// has.
    pub(super) fn has_advice(
        &mut self,
        key: JobKey,
        task: TaskIndex,
        placeable: &[ExecutorKey],
    ) -> bool {
        let job = &self.jobs[key];
        let (occurrence, step) = job.layout.place(task);
        let spec = &job.record.steps[step];
        let demand = demand_of(spec);
        let mut suitable: Vec<(u64, ExecutorKey)> = placeable
            .iter()
            .filter(|executor| self.fits_labels(job, spec, **executor))
            .map(|executor| (*executor, self.load_of(spec, &self.executors[*executor], &[])))
            .filter(|(_, load)| load.has_room(&demand))
            .map(|(executor, load)| (load.cost(&demand), executor))
            .collect();
        let place = (key, occurrence, step);
        let ticketed =
            suitable.iter().filter(|(_, executor)| self.ticket(place, *executor).is_some()).count();
        let wanted = if spec.gang { spec.count as usize } else { 1 };
        if ticketed >= wanted {
            return true;
        }
        self.spend(placeable.len() as u32 * EVALUATION_UNITS);
        suitable.sort_unstable();
        let keys: Vec<ExecutorKey> = suitable.into_iter().map(|(_, executor)| executor).collect();
        self.ask_advice(place, &keys);
        false
    }

    /// Starts a task on the executor that costs least, if one has room. `candidates` are those of the
    /// task's step, once they are known.
    pub(super) fn place_task(
        &mut self,
        key: JobKey,
        task: TaskIndex,
        terms: PlacingTerms,
        placeable: &[ExecutorKey],
        candidates: &mut Option<StepCandidates>,
    ) -> bool {
        let job = &self.jobs[key];
        let place = job.layout.place(task);
        let special = terms.starving
            || job.record.terms.advice.is_some()
            || !job.tasks[task as usize].failed_on.is_empty();
        let chosen = match special {
            true => self.choose(key, task, placeable, terms),
            false => {
                let known = match candidates
                    .take()
                    .filter(|known| known.place == place && known.terms == terms)
                {
                    Some(known) => known,
                    None => self.find_candidates(key, place, terms, placeable),
                };
                self.take_candidate(key, candidates.insert(known))
            }
        };
        let Some(executor) = chosen else { return false };
        if terms.starving {
            self.next_starved_at = self.now + STARVED_PAUSE;
        }
        self.start_next_run(key, task, executor);
        match (special, candidates.as_mut()) {
            (false, Some(known)) => self.return_candidate(key, known, executor),
            // The costs that are known are those of before this start.
            _ => *candidates = None,
        }
        true
    }

    /// Starts a lasting task on a shunned executor, if one has room.
    pub(super) fn place_on_probation(
        &mut self,
        key: JobKey,
        task: TaskIndex,
        shunned: &[ExecutorKey],
    ) -> bool {
        let terms = PlacingTerms { on_probation: true, ..PlacingTerms::default() };
        let Some(executor) = self.choose(key, task, shunned, terms) else { return false };
        self.start_next_run(key, task, executor);
        true
    }

    fn start_next_run(&mut self, key: JobKey, task: TaskIndex, executor: ExecutorKey) {
        let number = self.next_run(key, std::iter::once(task));
        self.start_run(key, task, number, executor);
    }

    /// Tells whether a filling task of a job that runs nothing may disturb services, since it has waited
    /// for a while: where every executor serves something that an image disturbs, the image would
    /// never run. It is moved on when a service passes its bound, with its checkpoint. In a pool that
    /// is much used only late jobs may, one at a time.
    pub(super) fn is_starving(&self, job: &JobState, task: TaskIndex) -> bool {
        let (_, step) = job.layout.place(task);
        let waited = self.now.saturating_sub(job.tasks[task as usize].ready_since);
        let allowed =
            self.little_used || (self.now > job.deadline && self.now >= self.next_starved_at);
        job.record.steps[step].fills && allowed && waited >= STARVED_TIME
    }

    /// Tells whether tasks reserve little of the processors of the pool.
    pub(super) fn is_little_used(&self) -> bool {
        let sum = |part: fn(&ExecutorState) -> u32| {
            self.executors.values().map(|executor| u64::from(part(executor))).sum::<u64>()
        };
        let reserved = sum(|executor| executor.reserved.cpu_millis);
        reserved * 100 <= sum(|executor| executor.capacity.cpu_millis) * LITTLE_USED_PERCENT
    }

    /// Starts all members of a gang, or none.
    pub(super) fn place_gang(
        &mut self,
        key: JobKey,
        occurrence: u32,
        step: usize,
        placeable: &[ExecutorKey],
    ) -> bool {
        let job = &self.jobs[key];
        let range = job.step_range(occurrence, step);
        let all_ready =
            range.clone().all(|task| job.tasks[task as usize].phase == TaskPhase::Ready);
        if !all_ready {
            return false;
        }
        let places = self.gang_places(job, occurrence, step, placeable);
        self.spend((placeable.len() + range.len()) as u32 * EVALUATION_UNITS);
        let job = &self.jobs[key];
        let Some(places) = places else {
            let detail = format!("step={step} members={}", range.len());
            let id = job.id;
            self.log(GANG_WAITS, Some(id), detail);
            return false;
        };
        let number = self.next_run(key, range.clone());
        for (task, executor) in range.zip(places) {
            self.start_run(key, task, number, executor);
        }
        true
    }

    /// Finds an executor for each member, on one rack if the step asks for it and one has room.
    fn gang_places(
        &self,
        job: &JobState,
        occurrence: u32,
        step: usize,
        placeable: &[ExecutorKey],
    ) -> Option<Vec<ExecutorKey>> {
        let spec = &job.record.steps[step];
        let mut racks: Vec<Option<&str>> = vec![None];
        if spec.same_rack {
            let mut names: Vec<&str> =
                placeable.iter().filter_map(|key| rack_of(&self.executors[*key])).collect();
            names.sort_unstable();
            names.dedup();
            racks = names.into_iter().map(Some).chain([None]).collect();
        }
        racks.into_iter().find_map(|rack| self.gang_on_rack(job, occurrence, step, placeable, rack))
    }

    fn gang_on_rack(
        &self,
        job: &JobState,
        occurrence: u32,
        step: usize,
        placeable: &[ExecutorKey],
        rack: Option<&str>,
    ) -> Option<Vec<ExecutorKey>> {
        let spec = &job.record.steps[step];
        let job_key = self.job_ids.get(&job.id).copied();
        let mut counts = ExecutorCounts::new();
        let mut loads: Vec<(ExecutorKey, ExecutorLoad)> = placeable
            .iter()
            .filter(|key| rack.is_none() || rack_of(&self.executors[**key]) == rack)
            .filter(|key| self.fits_labels(job, spec, **key))
            .filter(|key| {
                job.record.terms.advice.is_none()
                    || job_key
                        .is_some_and(|job| self.ticket((job, occurrence, step), **key).is_some())
            })
            .map(|key| (*key, self.load_of(spec, &self.executors[*key], &[])))
            .collect();
        let demand = demand_of(spec);
        let mut places = Vec::with_capacity(spec.count as usize);
        for _ in job.step_range(occurrence, step) {
            let (key, load) = loads
                .iter_mut()
                .filter(|(_, load)| load.has_room(&demand))
                .filter(|(key, _)| within_limit(spec, &counts, *key))
                .min_by_key(|(_, load)| load.cost(&demand))?;
            load.reserved.cpu_millis += spec.needs.cpu_millis;
            load.reserved.memory_mb += spec.needs.memory_mb;
            load.reserved.gpus += spec.needs.gpus;
            *counts.entry(*key).or_default() += 1;
            places.push(*key);
        }
        Some(places)
    }

    fn next_run(&self, key: JobKey, tasks: impl Iterator<Item = TaskIndex>) -> u32 {
        let job = &self.jobs[key];
        tasks
            .map(|task| job.tasks[task as usize].last_run)
            .max()
            .unwrap_or_default()
            .saturating_add(1)
    }

    pub(super) fn step_counts(
        &self,
        job: &JobState,
        occurrence: u32,
        step: usize,
    ) -> ExecutorCounts {
        let mut counts = ExecutorCounts::new();
        if job.record.steps[step].max_per_executor == 0 {
            return counts;
        }
        for task in job.step_range(occurrence, step) {
            for run in &job.tasks[task as usize].runs {
                *counts.entry(self.runs[*run].executor).or_default() += 1;
            }
        }
        counts
    }

    /// Looks at all executors for one task.
    fn choose(
        &mut self,
        key: JobKey,
        task: TaskIndex,
        placeable: &[ExecutorKey],
        terms: PlacingTerms,
    ) -> Option<ExecutorKey> {
        let job = &self.jobs[key];
        let place = job.layout.place(task);
        let counts = self.step_counts(job, place.0, place.1);
        let failed_on = &job.tasks[task as usize].failed_on;
        let search = CandidateSearch { key, place, counts: &counts, failed_on, terms };
        let costs = placeable.iter().filter_map(|key| Some((self.cost_on(&search, *key)?, *key)));
        let best = costs.min();
        self.spend(placeable.len() as u32 * EVALUATION_UNITS);
        best.map(|(_, executor)| executor)
    }

    /// Returns what it costs to place a task on an executor, if it may run there.
    pub(super) fn cost_on(&self, search: &CandidateSearch, key: ExecutorKey) -> Option<u64> {
        let job = &self.jobs[search.key];
        let step = search.place.1;
        let spec = &job.record.steps[step];
        let executor = self.executors.get(key)?;
        if !executor.may_have_room(spec)
            || !self.is_usable(executor)
            || executor.record.is_quarantined(self.now) != search.terms.on_probation
            || !self.fits_labels(job, spec, key)
            || !within_limit(spec, search.counts, key)
        {
            return None;
        }
        if job.record.terms.advice.is_some()
            && self.ticket((search.key, search.place.0, step), key).is_none()
        {
            return None;
        }
        let demand = demand_of(spec);
        let mut load = self.load_of(spec, executor, search.failed_on);
        if !load.has_room(&demand) {
            return None;
        }
        let image = job.images[step];
        if spec.fills {
            load.pressure = self.pressure_with(executor, image, spec, search.terms.faint_loss());
            let disturbs = load.pressure > MAX_PRESSURE || self.is_trial_too_many(executor, image);
            if self.now < executor.no_filling_until || (disturbs && !search.terms.starving) {
                return None;
            }
        } else if spec.long_running {
            load.pressure = self.pressure_on(executor, image);
        }
        load.neighbour_demand = self.sought_by_others(executor);
        load.same_image = executor.serving_images.iter().any(|(known, _)| *known == image);
        Some(load.cost(&demand))
    }

    pub(super) fn fits_labels(&self, job: &JobState, spec: &JobStep, key: ExecutorKey) -> bool {
        let executor = &self.executors[key];
        let labelled =
            spec.required_label.as_ref().is_none_or(|label| executor.labels.contains(label));
        labelled && executor.service == job.record.terms.service
    }

    fn load_of(
        &self,
        spec: &JobStep,
        executor: &ExecutorState,
        failed_on: &[String],
    ) -> ExecutorLoad {
        let near_data = spec.data_rack.as_ref().is_some_and(|rack| executor.labels.contains(rack));
        ExecutorLoad {
            capacity: executor.capacity,
            reserved: executor.reserved,
            latency_critical_cpu: executor.serving_cpu,
            best_effort_cpu: executor.filling_cpu,
            pressure: 0.0,
            same_image: false,
            neighbour_demand: 0.0,
            best_effort: executor.filling,
            latency_critical: executor.serving,
            near_data,
            rank: executor.rank,
            slowness: executor.record.slowness(),
            suspect: executor.record.is_suspect() || failed_on.contains(&executor.name),
        }
    }
}

fn demand_of(spec: &JobStep) -> TaskDemand {
    TaskDemand {
        needs: spec.needs,
        best_effort: spec.fills,
        latency_critical: spec.long_running,
        wants_rack: spec.data_rack.is_some(),
    }
}

fn within_limit(spec: &JobStep, counts: &ExecutorCounts, key: ExecutorKey) -> bool {
    spec.max_per_executor == 0
        || counts.get(&key).copied().unwrap_or_default() < spec.max_per_executor
}

/// Returns the rack of an executor: the last of its labels, after its kind.
fn rack_of(executor: &ExecutorState) -> Option<&str> {
    executor.labels.last().map(String::as_str)
}
