//! Reservations of executors for waiting tasks that need more capacity than any executor has free.
//! The decisions are made in [`crate::backfill`].

use std::time::Duration;

use cuminbank::log::{RESERVATION_ENDED, RESERVATION_MADE, RESERVATION_USED};

use super::{
    candidates::PlacementRules,
    moves::MovePhase,
    pass::{is_overdue, longest_wait_since, urgency},
    state::{ExecutorKey, ExecutorState, JobKey, JobState, RunPhase, RunState},
    JobScheduler,
};
use crate::{
    backfill::{
        forecast_room, remaining_time, BackfillTask, PoolSize, ReservationEnd, ReservationHolder,
        ReservationKey, ReservationTable, RoomForecast, RunLengths, RunningTask, SizeDemand,
        SuitableExecutors,
    },
    ids::TaskIndex,
    job::{JobStep, TaskNeeds},
    priority::{self, JobTier},
};

/// Wait after which room is reserved for a task. Most tasks that find no executor at once start
/// sooner, when one of the many short runs ends.
const RESERVATION_WAIT: Duration = Duration::from_millis(300);
/// Longest expected wait for room. Later ends of runs cannot be predicted well enough.
const MAX_LEAD: Duration = Duration::from_secs(5);
/// Percentage of the demand by smaller tasks from which room is reserved for a task. With less, each run
/// of its own size that ends leaves room for it, and the few reservations are left to larger tasks.
const MIN_SMALLER_PERCENT: u32 = 50;
/// Number of searches for room to reserve in a pass, and number of executors for which each one makes
/// a forecast. Among that many, one has room nearly as early as the first of all.
const MAX_SEARCHES: u32 = 4;
const MAX_FORECASTS: usize = 64;
/// Pause between two searches for a job, so that other jobs get their turn.
const SEARCH_PAUSE: Duration = Duration::from_millis(200);
/// Work units of a forecast, in addition to one for each run on the executor.
const FORECAST_UNITS: u32 = 4;
/// Cost of the unusable part of an executor's free CPU, for a whole executor. Twice that of a fully
/// used executor, so that it outweighs small differences in use.
const UNUSABLE_CPU_COST: u64 = 20_000;

/// State of the reservations of a cell.
#[derive(Debug, Default)]
pub(super) struct ReservationState {
    demand: SizeDemand,
    lengths: RunLengths,
    table: ReservationTable,
    /// Size of the pool when the current pass began.
    pool: PoolSize,
    /// Searches for room that the current pass may still make.
    searches_left: u32,
    /// Number of the executor in the pass at which the next search begins.
    next_executor: usize,
}

impl JobScheduler {
    /// Adds to the rules for placing a task what it may do on reserved executors. Without
    /// reservations the rules stay as they are, so that all tasks of a shape are treated alike.
    pub(super) fn with_reservation_rules(
        &self,
        job: &JobState,
        task: TaskIndex,
        rules: PlacementRules,
    ) -> PlacementRules {
        let Some(state) = &self.reservations else { return rules };
        let (_, step) = job.layout.position(task);
        let spec = &job.record.steps[step];
        let wait = self.now.saturating_sub(job.tasks[task as usize].ready_since);
        let starved = job.is_long_running() && wait >= priority::STARVED_WAIT;
        let longest = match state.table.is_empty() {
            true => None,
            false => longest_run(&state.lengths, job, spec),
        };
        PlacementRules {
            longest_ms: longest.and_then(|longest| u32::try_from(longest.as_millis()).ok()),
            ignores_reservations: starved || rules.starving,
            ..rules
        }
    }

    /// Returns whether the reservation of an executor, if there is one, permits the start of a task.
    pub(super) fn is_permitted(
        &self,
        holder: ReservationHolder,
        executor: ExecutorKey,
        spec: &JobStep,
        rules: PlacementRules,
    ) -> bool {
        let Some(state) = self.reservations.as_ref() else { return true };
        if rules.ignores_reservations || state.table.is_empty() {
            return true;
        }
        let longest = rules.longest_ms.map(|millis| Duration::from_millis(u64::from(millis)));
        let task = BackfillTask { needs: reserved_needs(spec), longest };
        state.table.allows(self.now, holder, executor, &task)
    }

    /// Returns whether an executor is closed to a gang because it is reserved. Gangs do not use the
    /// spare room of reserved executors, since their members are placed together. A gang that has
    /// waited for long ignores reservations, since it may need every executor.
    pub(super) fn is_closed_to_gang(&self, job: &JobState, executor: ExecutorKey) -> bool {
        let Some(state) = &self.reservations else { return false };
        state.table.on_executor(executor).is_some()
            && self.now < longest_wait_since(job) + priority::STARVED_WAIT
    }

    /// Returns the cost of the CPU of an executor that a task would leave unusable for the sizes in
    /// demand.
    pub(super) fn unusable_cost(&self, executor: &ExecutorState, spec: &JobStep) -> u64 {
        let Some(state) = self.reservations.as_ref().filter(|_| !spec.fills) else { return 0 };
        let capacity = executor.capacity.cpu_millis.max(1);
        let free = capacity.saturating_sub(executor.reserved.cpu_millis);
        let left = free.saturating_sub(spec.needs.cpu_millis);
        let unusable = u64::from(state.demand.unusable_part(left));
        unusable * UNUSABLE_CPU_COST / u64::from(capacity)
    }

    /// Returns whether an executor is reserved for a step.
    pub(super) fn holds_reservation(&self, holder: ReservationHolder) -> bool {
        self.reservations.as_ref().is_some_and(|state| state.table.count(holder) > 0)
    }

    /// Returns the executors reserved for a step.
    pub(super) fn reserved_executors(&self, holder: ReservationHolder) -> Vec<ExecutorKey> {
        let Some(state) = &self.reservations else { return Vec::new() };
        let reservations = state.table.of_step(holder).iter();
        let reservations = reservations.filter_map(|key| state.table.get(*key));
        reservations.map(|reservation| reservation.executor).collect()
    }

    /// Updates the forecasts of the reservations when a pass begins, and ends those that have no
    /// use any more.
    pub(super) fn update_reservations(&mut self, placeable: &[ExecutorKey]) {
        let Some(mut state) = self.reservations.take() else { return };
        state.searches_left = MAX_SEARCHES;
        state.pool = self.pool_size(placeable);
        let keys: Vec<ReservationKey> = state.table.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(end) = self.check_reservation(&mut state, key) {
                self.end_reservation(&mut state, key, end);
            }
        }
        if state.demand.is_due(self.now) {
            self.update_demand(&mut state);
        }
        self.reservations = Some(state);
    }

    fn pool_size(&self, placeable: &[ExecutorKey]) -> PoolSize {
        let passing = placeable.iter().map(|key| {
            let executor = &self.executors[*key];
            u64::from(executor.capacity.cpu_millis.saturating_sub(executor.long_running_cpu))
        });
        PoolSize { executors: placeable.len(), passing_cpu: passing.sum() }
    }

    /// Updates the forecast of a reservation. Returns why it ends, if it does.
    fn check_reservation(
        &mut self,
        state: &mut ReservationState,
        key: ReservationKey,
    ) -> Option<ReservationEnd> {
        let reservation = state.table.get(key)?;
        let (holder, executor, needs) =
            (reservation.holder, reservation.executor, reservation.needs);
        if self.underutilized {
            return Some(ReservationEnd::PoolFree);
        }
        if !self.may_hold_room(holder) || !self.has_ready_tasks(holder, state.table.count(holder)) {
            return Some(ReservationEnd::NotNeeded);
        }
        if !self.executors.get(executor).is_some_and(|executor| self.is_placeable(executor)) {
            return Some(ReservationEnd::ExecutorLost);
        }
        let room = self.forecast_on(executor, &needs);
        let kept = state.table.update(self.now, key, room);
        (!kept).then_some(ReservationEnd::Expired)
    }

    fn update_demand(&mut self, state: &mut ReservationState) {
        let jobs = self.waiting.iter().filter_map(|key| self.jobs.get(*key));
        let mut tasks = 0;
        let sizes = jobs.flat_map(|job| {
            let specs = job.ready.iter().map(|task| job.layout.position(*task).1);
            specs.map(|step| &job.record.steps[step])
        });
        let sizes = sizes.inspect(|_| tasks += 1).filter(|spec| !spec.fills);
        state.demand.update(self.now, sizes.map(|spec| spec.needs.cpu_millis));
        self.charge_units(tasks);
    }

    /// Returns the number of ready tasks of a step, but at most `limit`, since a step may have 20,000
    /// of them. None once its job has ended.
    fn ready_tasks(&self, (key, occurrence, step): ReservationHolder, limit: usize) -> usize {
        let Some(job) = self.jobs.get(key) else { return 0 };
        job.ready.range(job.step_range(occurrence, step)).take(limit).count()
    }

    /// Returns whether a step has at least `count` ready tasks.
    fn has_ready_tasks(&self, holder: ReservationHolder, count: usize) -> bool {
        self.ready_tasks(holder, count) == count
    }

    /// Reserves executors for the ready tasks of a step that found none, if the one with the longest
    /// wait has waited for long enough.
    pub(super) fn reserve_room(
        &mut self,
        holder: ReservationHolder,
        task: TaskIndex,
        placeable: &[ExecutorKey],
    ) {
        let Some(mut state) = self.reservations.take() else { return };
        if state.searches_left > 0 && self.deserves_room(&state, holder, task) {
            self.jobs[holder.0].next_room_search = self.now + SEARCH_PAUSE;
            let quota = self.step_quota(&state, holder, placeable);
            if quota > 0 {
                state.searches_left -= 1;
                let found = self.search_room(&mut state, holder, placeable);
                for (room, executor) in found.into_iter().take(quota) {
                    self.add_reservation(&mut state, holder, executor, room);
                }
            }
        }
        self.reservations = Some(state);
    }

    /// Returns how many further reservations a step may get.
    fn step_quota(
        &mut self,
        state: &ReservationState,
        holder: ReservationHolder,
        placeable: &[ExecutorKey],
    ) -> usize {
        let cpu_millis = self.jobs[holder.0].record.steps[holder.2].needs.cpu_millis;
        let ready = self.ready_tasks(holder, state.pool.step_limit());
        self.charge_units((ready + placeable.len() + state.table.len()) as u32);
        let suitable = self.suitable_executors(state, holder, placeable);
        state.table.quota(holder, state.pool, suitable, cpu_millis, ready)
    }

    fn suitable_executors(
        &self,
        state: &ReservationState,
        (key, _, step): ReservationHolder,
        placeable: &[ExecutorKey],
    ) -> SuitableExecutors {
        let job = &self.jobs[key];
        let spec = &job.record.steps[step];
        let suits = |key: &ExecutorKey| {
            self.executors.get(*key).is_some_and(|executor| self.is_placeable(executor))
                && self.fits_labels(job, spec, *key)
        };
        let reserved = state.table.iter().map(|(_, reservation)| reservation.executor);
        SuitableExecutors {
            count: placeable.iter().filter(|key| suits(key)).count(),
            reserved: reserved.filter(suits).count(),
        }
    }

    fn deserves_room(
        &self,
        state: &ReservationState,
        (key, occurrence, step): ReservationHolder,
        task: TaskIndex,
    ) -> bool {
        let job = &self.jobs[key];
        let spec = &job.record.steps[step];
        let waits = self.now >= job.tasks[task as usize].ready_since + RESERVATION_WAIT
            && self.now >= job.next_room_search;
        waits
            && !spec.fills
            && !spec.gang
            && job.record.terms.advice.is_none()
            && !self.underutilized
            && state.demand.smaller_percent(spec.needs.cpu_millis) >= MIN_SMALLER_PERCENT
            // Long-running work comes after work that can be on time until it is starved, so it may not
            // keep room from others.
            && urgency(job).tier(self.now) != JobTier::LongRunning
            && self.may_hold_room((key, occurrence, step))
    }

    /// Returns whether a step may keep room from others. The result of an overdue job has no value, and
    /// no task of a job starts here while its move to another cell is in flight.
    fn may_hold_room(&self, (key, _, _): ReservationHolder) -> bool {
        self.jobs
            .get(key)
            .is_some_and(|job| job.move_phase != MovePhase::InFlight && !is_overdue(job, self.now))
    }

    /// Returns executors that are expected to have room for a task of a step, the earliest first.
    fn search_room(
        &mut self,
        state: &mut ReservationState,
        holder: ReservationHolder,
        placeable: &[ExecutorKey],
    ) -> Vec<(RoomForecast, ExecutorKey)> {
        let (key, occurrence, step) = holder;
        let job = &self.jobs[key];
        let spec = &job.record.steps[step];
        let counts = self.step_counts(job, occurrence, step);
        let (mut forecasts, mut units) = (0, 0);
        let mut found = Vec::new();
        let first = state.next_executor % placeable.len().max(1);
        let (before, after) = placeable.split_at(first);
        for executor_key in after.iter().chain(before) {
            if forecasts >= MAX_FORECASTS {
                break;
            }
            units += 1;
            state.next_executor += 1;
            let Some(executor) = self.executors.get(*executor_key) else { continue };
            let limit = spec.max_per_executor;
            let runs = counts.get(executor_key).copied().unwrap_or_default();
            let suits = spec.needs.cpu_millis <= executor.capacity.cpu_millis
                && (limit == 0 || runs < limit)
                && state.table.may_reserve(self.now, holder, *executor_key)
                && self.fits_labels(job, spec, *executor_key)
                && self.is_placeable(executor);
            if !suits {
                continue;
            }
            forecasts += 1;
            units += FORECAST_UNITS + executor.runs.len() as u32;
            let room = self.forecast(executor, &spec.needs);
            if let Some(room) = room.filter(|room| room.begins <= self.now + MAX_LEAD) {
                found.push((room, *executor_key));
            }
        }
        self.charge_units(units);
        found.sort_unstable_by_key(|(room, executor)| {
            (room.begins, room.spare.cpu_millis, *executor)
        });
        found
    }

    fn forecast_on(&mut self, key: ExecutorKey, needs: &TaskNeeds) -> Option<RoomForecast> {
        self.charge_units(FORECAST_UNITS + self.executors[key].runs.len() as u32);
        self.forecast(&self.executors[key], needs)
    }

    fn forecast(&self, executor: &ExecutorState, needs: &TaskNeeds) -> Option<RoomForecast> {
        let runs = executor.runs.iter().map(|run| &self.runs[*run]);
        let mut ends: Vec<RunningTask> = runs.filter_map(|run| self.expected_end(run)).collect();
        let free = TaskNeeds {
            cpu_millis: executor.capacity.cpu_millis.saturating_sub(executor.reserved.cpu_millis),
            memory_mb: executor.capacity.memory_mb.saturating_sub(executor.reserved.memory_mb),
            gpus: executor.capacity.gpus.saturating_sub(executor.reserved.gpus),
        };
        forecast_room(self.now, free, &mut ends, needs)
    }

    /// Returns when a run is expected to end, unless it goes on until its job is cancelled.
    fn expected_end(&self, run: &RunState) -> Option<RunningTask> {
        let needs = run.reserved_needs();
        if run.phase == RunPhase::Stopping {
            return Some(RunningTask { ends: self.now + self.bounds.stop_timeout, needs });
        }
        if run.long_running {
            return None;
        }
        let elapsed = self.now.saturating_sub(run.since);
        Some(RunningTask { ends: self.now + remaining_time(elapsed, run.expected), needs })
    }

    /// Returns how long a run of a task is expected to take.
    pub(super) fn expected_run(&self, job: &JobState, spec: &JobStep) -> Option<Duration> {
        let state = self.reservations.as_ref()?;
        Some(state.lengths.expected(&job.record.terms.queue, estimate(spec)).mean)
    }

    /// Counts a started task: it uses the reservation of its executor or runs beside it.
    pub(super) fn note_reserved_start(
        &mut self,
        holder: ReservationHolder,
        task: TaskIndex,
        executor: ExecutorKey,
    ) {
        let Some(mut state) = self.reservations.take() else { return };
        let job = &self.jobs[holder.0];
        let spec = &job.record.steps[holder.2];
        if !spec.fills {
            state.demand.record_start(spec.needs.cpu_millis);
        }
        let used = state.table.on_executor(executor);
        let used = used.filter(|(_, reservation)| reservation.holder == holder);
        let used = used.map(|(key, reservation)| (key, reservation.made_at));
        if let Some((key, made_at)) = used {
            state.table.remove(key);
            let (id, queue) = (job.id, job.record.terms.queue.clone());
            let held = self.now.saturating_sub(made_at);
            let detail = format!(
                "task={task} executor={} held_ms={}",
                self.executors[executor].name,
                held.as_millis()
            );
            self.log(RESERVATION_USED, Some(id), detail);
            self.measure("reservation.used", &queue, Some(held));
        } else {
            let task = BackfillTask {
                needs: reserved_needs(spec),
                longest: longest_run(&state.lengths, job, spec),
            };
            state.table.note_start(self.now, executor, &task);
            let held = state.table.of_step(holder).first().copied();
            let count = state.table.count(holder);
            if let Some(key) = held.filter(|_| !self.has_ready_tasks(holder, count)) {
                self.end_reservation(&mut state, key, ReservationEnd::NotNeeded);
            }
        }
        self.reservations = Some(state);
    }

    /// Learns how far the estimates of a queue are off from the run time of a completed task.
    pub(super) fn learn_length(&mut self, key: JobKey, task: TaskIndex, ran: Duration) {
        let Some(state) = self.reservations.as_mut() else { return };
        let job = &self.jobs[key];
        let (_, step) = job.layout.position(task);
        let estimate = estimate(&job.record.steps[step]);
        state.lengths.record(&job.record.terms.queue, estimate, ran);
    }

    fn add_reservation(
        &mut self,
        state: &mut ReservationState,
        holder: ReservationHolder,
        executor: ExecutorKey,
        room: RoomForecast,
    ) {
        let job = &self.jobs[holder.0];
        let needs = job.record.steps[holder.2].needs;
        let (id, queue) = (job.id, job.record.terms.queue.clone());
        state.table.insert(self.now, holder, executor, needs, room);
        let detail = format!(
            "step={} executor={} cpu={} memory_mb={} wait_ms={} spare_cpu={} reservations={}",
            holder.2,
            self.executors[executor].name,
            needs.cpu_millis,
            needs.memory_mb,
            room.begins.saturating_sub(self.now).as_millis(),
            room.spare.cpu_millis,
            state.table.len(),
        );
        self.log(RESERVATION_MADE, Some(id), detail);
        self.measure("reservation.made", &queue, None);
    }

    fn end_reservation(
        &mut self,
        state: &mut ReservationState,
        key: ReservationKey,
        end: ReservationEnd,
    ) {
        let removed = match end {
            ReservationEnd::Expired => state.table.expire(self.now, key),
            _ => state.table.remove(key),
        };
        let Some(reservation) = removed else { return };
        let (job, _, step) = reservation.holder;
        let job = self.jobs.get(job);
        let queue = job.map(|job| job.record.terms.queue.clone()).unwrap_or_default();
        let id = job.map(|job| job.id);
        let executor = self.executors.get(reservation.executor);
        let detail = format!(
            "step={step} executor={} cause={end:?} held_ms={}",
            executor.map_or("removed", |executor| executor.name.as_str()),
            self.now.saturating_sub(reservation.made_at).as_millis()
        );
        self.log(RESERVATION_ENDED, id, detail);
        self.measure("reservation.ended", &queue, None);
    }
}

/// Returns the run time that a task is unlikely to exceed. `None` if it runs until its job is
/// cancelled, or has no estimate: it may then take any time.
fn longest_run(lengths: &RunLengths, job: &JobState, spec: &JobStep) -> Option<Duration> {
    let length = lengths.expected(&job.record.terms.queue, estimate(spec));
    (!spec.long_running && spec.estimate_ms > 0).then_some(length.longest)
}

fn estimate(spec: &JobStep) -> Duration {
    Duration::from_millis(u64::from(spec.estimate_ms))
}

/// Returns the resources that a task of a step would reserve. Best-effort tasks reserve no CPU.
fn reserved_needs(spec: &JobStep) -> TaskNeeds {
    let cpu_millis = if spec.fills { 0 } else { spec.needs.cpu_millis };
    TaskNeeds { cpu_millis, ..spec.needs }
}
