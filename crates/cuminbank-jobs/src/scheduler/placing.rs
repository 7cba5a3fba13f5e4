//! Starts ready tasks where there is room.

use std::time::Duration;

use cuminbank::log::GANG_WAITS;

use super::{
    state::{ExecutorCounts, ExecutorKey, ExecutorState, JobKey, JobState, TaskPhase},
    JobScheduler,
};
use crate::{
    colocation::{ImageId, MOST_PRESSURE},
    ids::{MonotonicTime, TaskIndex},
    job::{JobStep, TaskNeeds},
    placement::{ExecutorLoad, TaskDemand},
    priority::{self, JobUrgency},
};

/// Shapes of tasks without room that one pass looks for before it ends: a bound on the cost of a
/// pass when the queue is long.
const MAX_MISSES: usize = 150;

/// Wait after which a job that runs nothing may disturb services with one task. While the pool has
/// room no job must stand still for 3 s.
const STARVED_TIME: Duration = Duration::from_millis(1_500);
/// Pause between two such tasks while much of the pool is reserved: after a takeover many jobs are late
/// at once.
const STARVED_PAUSE: Duration = Duration::from_millis(250);
/// Part of the processors up to which a pool counts as little used, in percent, with a reserve to the
/// half at which jobs may stand still.
const LITTLE_USED_PERCENT: u64 = 60;

/// Shape of a task for which a pass found no room.
struct MissedShape {
    service: String,
    label: Option<String>,
    image: ImageId,
    fills: bool,
    needs: TaskNeeds,
}

impl MissedShape {
    fn new(job: &JobState, step: usize) -> Self {
        let spec = &job.record.steps[step];
        Self {
            service: job.record.terms.service.clone(),
            label: spec.required_label.clone(),
            image: job.images[step],
            fills: spec.fills,
            needs: spec.needs,
        }
    }

    /// Tells whether a task of the step needs no less than this one.
    fn covers(&self, job: &JobState, step: usize) -> bool {
        let spec = &job.record.steps[step];
        self.fills == spec.fills
            && self.image == job.images[step]
            && self.needs.cpu_millis <= spec.needs.cpu_millis
            && self.needs.memory_mb <= spec.needs.memory_mb
            && self.needs.gpus <= spec.needs.gpus
            && self.label == spec.required_label
            && self.service == job.record.terms.service
    }
}

impl JobScheduler {
    /// Starts what has room; returns for how many steps there was none.
    pub(super) fn place_ready_tasks(&mut self) -> usize {
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
            return 0;
        }
        self.update_sought();
        self.little_used = self.is_little_used();
        let now = self.now;
        waiting.sort_by(|(left_key, left), (right_key, right)| {
            priority::compare(now, left, right).then(left_key.cmp(right_key))
        });
        let placeable: Vec<ExecutorKey> = self
            .executors
            .iter()
            .filter(|(_, executor)| self.is_placeable(executor))
            .map(|(key, _)| key)
            .collect();
        let mut missed = Vec::new();
        for (key, _) in waiting {
            self.place_job(key, &placeable, &mut missed);
            if missed.len() >= MAX_MISSES {
                break;
            }
        }
        missed.len()
    }

    /// Starts the ready tasks of a job; adds the shapes for which there is no room.
    fn place_job(&mut self, key: JobKey, placeable: &[ExecutorKey], missed: &mut Vec<MissedShape>) {
        let ready: Vec<TaskIndex> = self.jobs[key].ready.iter().copied().collect();
        let mut full_step = None;
        for task in ready {
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
            let known_full = !advised
                && !gang
                && !self.is_starving(job, task)
                && missed.iter().any(|shape| shape.covers(job, step));
            if known_full || (advised && !self.has_advice(key, task, placeable)) {
                full_step = Some((occurrence, step));
                continue;
            }
            let placed = match gang {
                true => self.place_gang(key, occurrence, step, placeable),
                false => self.place_task(key, task, placeable),
            };
            if !placed {
                full_step = Some((occurrence, step));
                if !advised {
                    missed.push(MissedShape::new(&self.jobs[key], step));
                }
            }
        }
    }

    /// Tells whether an executor with room has a ticket for the step of a task; asks for some if none
    /// has.
    fn has_advice(&mut self, key: JobKey, task: TaskIndex, placeable: &[ExecutorKey]) -> bool {
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
        suitable.sort_unstable();
        let keys: Vec<ExecutorKey> = suitable.into_iter().map(|(_, executor)| executor).collect();
        self.ask_advice(place, &keys);
        false
    }

    fn place_task(&mut self, key: JobKey, task: TaskIndex, placeable: &[ExecutorKey]) -> bool {
        let job = &self.jobs[key];
        let (occurrence, step) = job.layout.place(task);
        let counts = self.step_counts(job, occurrence, step);
        let starving = self.is_starving(job, task);
        let Some(executor) = self.choose(job, task, placeable, &counts, starving) else {
            return false;
        };
        if starving {
            self.next_starved_at = self.now + STARVED_PAUSE;
        }
        let number = self.next_run(key, std::iter::once(task));
        self.start_run(key, task, number, executor);
        true
    }

    /// Tells whether a filling task may disturb services, since its job runs nothing and has waited
    /// for a while: where every executor serves something that an image disturbs, the image would
    /// never run. It is moved on when a service passes its bound, with its checkpoint. In a pool that
    /// is much used only late jobs may, one at a time.
    fn is_starving(&self, job: &JobState, task: TaskIndex) -> bool {
        let (_, step) = job.layout.place(task);
        let waited = self.now.saturating_sub(job.tasks[task as usize].ready_since);
        let allowed =
            self.little_used || (self.now > job.deadline && self.now >= self.next_starved_at);
        job.record.steps[step].fills
            && allowed
            && waited >= STARVED_TIME
            && job.tasks.iter().all(|other| other.runs.is_empty())
    }

    /// Tells whether tasks reserve little of the processors of the pool.
    fn is_little_used(&self) -> bool {
        let sum = |part: fn(&ExecutorState) -> u32| {
            self.executors.values().map(|executor| u64::from(part(executor))).sum::<u64>()
        };
        let reserved = sum(|executor| executor.reserved.cpu_millis);
        reserved * 100 <= sum(|executor| executor.capacity.cpu_millis) * LITTLE_USED_PERCENT
    }

    /// Starts all members of a gang, or none.
    fn place_gang(
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
        let Some(places) = self.gang_places(job, occurrence, step, placeable) else {
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
        tasks.map(|task| job.tasks[task as usize].last_run).max().unwrap_or_default() + 1
    }

    fn step_counts(&self, job: &JobState, occurrence: u32, step: usize) -> ExecutorCounts {
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

    fn choose(
        &self,
        job: &JobState,
        task: TaskIndex,
        placeable: &[ExecutorKey],
        counts: &ExecutorCounts,
        starving: bool,
    ) -> Option<ExecutorKey> {
        let (occurrence, step) = job.layout.place(task);
        let spec = &job.record.steps[step];
        let advised = job.record.terms.advice.is_some();
        let job_key = self.job_ids.get(&job.id).copied()?;
        let failed_on = &job.tasks[task as usize].failed_on;
        let demand = demand_of(spec);
        let mut best: Option<(u64, ExecutorKey)> = None;
        for key in placeable {
            let executor = &self.executors[*key];
            if !self.fits_labels(job, spec, *key) || !within_limit(spec, counts, *key) {
                continue;
            }
            if advised && self.ticket((job_key, occurrence, step), *key).is_none() {
                continue;
            }
            let mut load = self.load_of(spec, executor, failed_on);
            if !load.has_room(&demand) {
                continue;
            }
            if spec.fills {
                load.pressure = self.pressure_with(executor, job.images[step], spec);
                let disturbs = load.pressure > MOST_PRESSURE
                    || self.is_trial_too_many(executor, job.images[step]);
                if self.now < executor.no_filling_until || (disturbs && !starving) {
                    continue;
                }
            } else if spec.long_running {
                load.pressure = self.pressure_on(executor, job.images[step]);
            }
            load.sought = self.sought_by_others(executor);
            load.same_image =
                executor.serving_images.iter().any(|(image, _)| *image == job.images[step]);
            let cost = load.cost(&demand);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn fits_labels(&self, job: &JobState, spec: &JobStep, key: ExecutorKey) -> bool {
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
            serving_cpu: executor.serving_cpu,
            filling_cpu: executor.filling_cpu,
            pressure: 0.0,
            same_image: false,
            sought: 0.0,
            filling: executor.filling,
            serving: executor.serving,
            near_data,
            rank: executor.rank,
            slowness: executor.record.slowness(),
            doubtful: executor.record.is_doubtful() || failed_on.contains(&executor.name),
        }
    }
}

fn demand_of(spec: &JobStep) -> TaskDemand {
    TaskDemand {
        needs: spec.needs,
        fills: spec.fills,
        serves: spec.long_running,
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
