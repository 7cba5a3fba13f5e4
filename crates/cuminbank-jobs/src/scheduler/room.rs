//! Room of the cell for further work, observed while submissions are admitted by it (see
//! [`crate::admission`]).

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use slotmap::SecondaryMap;

use super::{
    pass::urgency,
    state::{ExecutorKey, ExecutorState, JobState, RunKey},
    JobScheduler,
};
use crate::{
    admission::{
        reserved_cpu, DemandSample, DemandWindow, NeedsSum, QueueRoom, RoomReport, ServiceRoom,
    },
    ids::{MonotonicTime, ServiceName},
    job::{JobRecord, JobStep},
    peer::OwnerAnswer,
    priority::JobTier,
};

/// Interval at which the room is computed.
const ROOM_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which an accepted long-running job counts as recent, as in
/// [`ServiceRoom::accepted_recently`].
const ACCEPTED_TIME: Duration = Duration::from_secs(1);
/// Percentage of the known executors that must have replied before the room counts as known. A new
/// owner reaches its executors one after the other.
const CONTACTED_PERCENT: usize = 90;
/// Time after which the room counts as known even if fewer have replied, since the others are then
/// unreachable.
const CONTACT_TIME: Duration = Duration::from_secs(7);

/// Room of the cell, and the demand observed during this ownership.
#[derive(Debug, Default)]
pub(super) struct RoomState {
    windows: BTreeMap<ServiceName, DemandWindow>,
    /// Latest report; `None` while the room is not known.
    report: Option<RoomReport>,
    number: u64,
    next_at: MonotonicTime,
    /// Long-running jobs accepted within [`ACCEPTED_TIME`], by service.
    accepted: VecDeque<(MonotonicTime, ServiceName)>,
}

/// Demand on the executors of a service.
#[derive(Debug, Default)]
struct ServiceDemand {
    sample: DemandSample,
    capacity: u64,
    /// CPU that long-running tasks reserve, and that those request which are ready or about to lose
    /// their executor.
    long_running: u64,
    long_running_ready: u64,
    long_running_jobs: u64,
    /// Highest CPU capacity of an executor, of all and of those with a label. No executor has room
    /// for larger tasks, so that they are no demand.
    largest: u32,
    largest_by_label: HashMap<String, u32>,
}

impl ServiceDemand {
    fn has_executor_for(&self, step: &JobStep) -> bool {
        let largest = match &step.required_label {
            Some(label) => self.largest_by_label.get(label).copied().unwrap_or_default(),
            None => self.largest,
        };
        step.needs.cpu_millis <= largest
    }
}

/// CPU and memory of an executor that long-running tasks reserve.
#[derive(Clone, Copy, Debug, Default)]
struct HeldNeeds {
    cpu_millis: u32,
    memory_mb: u32,
}

impl JobScheduler {
    /// Answers the question of another instance for the room of the cell, or for its load while the
    /// room is not known.
    pub(super) fn room_answer(&self) -> OwnerAnswer {
        let report = self.room.as_ref().and_then(|room| room.report.clone());
        report.map_or_else(|| OwnerAnswer::Load(self.load.clone()), OwnerAnswer::Room)
    }

    /// Computes the room of the cell if due, and learns from the present demand.
    pub(super) fn update_room(&mut self) {
        let now = self.now;
        let Some(mut room) = self.room.take_if(|room| now >= room.next_at) else { return };
        room.next_at = now + ROOM_INTERVAL;
        let (mut demands, held) = self.executor_demands();
        let mut queues: BTreeMap<&str, QueueRoom> = BTreeMap::new();
        self.add_runs(&mut demands, &mut queues);
        self.add_ready_tasks(&mut demands, &mut queues);
        let queues: Vec<QueueRoom> = queues.into_values().collect();
        let demands: Vec<(ServiceName, ServiceDemand)> =
            demands.into_iter().map(|(service, demand)| (service.to_owned(), demand)).collect();
        room.number += 1;
        room.accepted.retain(|(at, _)| now < *at + ACCEPTED_TIME);
        let is_known = self.is_room_known();
        // Before that, tasks with runs of an earlier owner count as ready.
        for (service, demand) in demands.iter().filter(|_| is_known) {
            let window =
                room.windows.entry(service.clone()).or_insert_with(|| DemandWindow::new(now));
            window.record_sample(now, &demand.sample);
        }
        room.report = is_known.then(|| {
            let of_service = |(service, demand)| self.service_room(service, demand, &room, &held);
            RoomReport {
                load: self.load.clone(),
                number: room.number,
                instances: 1,
                index: 0,
                services: demands.into_iter().map(of_service).collect(),
                queues,
            }
        });
        self.room = Some(room);
    }

    /// Returns whether the runs on the executors are known.
    fn is_room_known(&self) -> bool {
        let known = self.executors.len();
        let contacted = self.executors.values().filter(|executor| executor.contacted).count();
        let reached = contacted * 100 >= known * CONTACTED_PERCENT;
        let elapsed = self.now.saturating_sub(self.started_at);
        known > 0 && self.unreconciled.is_empty() && (reached || elapsed >= CONTACT_TIME)
    }

    /// Returns whether the long-running tasks on an executor will need another one. They survive a
    /// short loss of contact, in which the platform still lists the executor, and a gap in the list
    /// while the executor replies.
    fn is_vacated(&self, executor: &ExecutorState) -> bool {
        let is_gone = executor.absent_since.is_some() && executor.hold.failures > 0;
        executor.draining || is_gone || self.is_absent(executor) || self.is_evacuated(executor)
    }

    /// Returns the capacity by service, and what long-running tasks reserve on each executor.
    fn executor_demands(
        &self,
    ) -> (BTreeMap<&str, ServiceDemand>, SecondaryMap<ExecutorKey, HeldNeeds>) {
        let mut demands: BTreeMap<&str, ServiceDemand> = BTreeMap::new();
        let mut held = SecondaryMap::new();
        for (key, executor) in &self.executors {
            if !self.is_placeable(executor) {
                continue;
            }
            held.insert(key, HeldNeeds::default());
            let demand = demands.entry(&executor.service).or_default();
            let cpu_millis = executor.capacity.cpu_millis;
            demand.capacity += u64::from(cpu_millis);
            demand.largest = demand.largest.max(cpu_millis);
            for label in &executor.labels {
                match demand.largest_by_label.get_mut(label) {
                    Some(largest) => *largest = cpu_millis.max(*largest),
                    None => _ = demand.largest_by_label.insert(label.clone(), cpu_millis),
                }
            }
        }
        for run in self.runs.values().filter(|run| run.long_running && !run.best_effort) {
            if let Some(needs) = held.get_mut(run.executor) {
                let HeldNeeds { cpu_millis, memory_mb } = needs;
                *cpu_millis = cpu_millis.saturating_add(run.needs.cpu_millis);
                *memory_mb = memory_mb.saturating_add(run.needs.memory_mb);
            }
        }
        (demands, held)
    }

    fn add_runs<'a>(
        &'a self,
        demands: &mut BTreeMap<&'a str, ServiceDemand>,
        queues: &mut BTreeMap<&'a str, QueueRoom>,
    ) {
        for job in self.jobs.values().filter(|job| job.outcome.is_none()) {
            queue_of(queues, job);
            if let (true, Some(demand)) =
                (job.record.holds_cpu(), demands.get_mut(job.record.terms.service.as_str()))
            {
                demand.long_running_jobs += 1;
            }
        }
        for run in self.runs.values().filter(|run| !run.best_effort) {
            let job = &self.jobs[run.job];
            let cpu_millis = u64::from(run.needs.cpu_millis);
            queue_of(queues, job).reserved += cpu_millis;
            let Some(demand) = demands.get_mut(job.record.terms.service.as_str()) else { continue };
            if run.needs.cpu_millis > demand.largest {
                continue;
            }
            match run.long_running {
                true => {
                    match self.is_vacated(&self.executors[run.executor]) {
                        true => demand.long_running_ready += cpu_millis,
                        false => demand.long_running += cpu_millis,
                    }
                    demand.sample.long_running.add(&run.needs);
                }
                false => demand.sample.ending.add(&run.needs),
            }
        }
    }

    fn add_ready_tasks<'a>(
        &'a self,
        demands: &mut BTreeMap<&'a str, ServiceDemand>,
        queues: &mut BTreeMap<&'a str, QueueRoom>,
    ) {
        for job in self.waiting.iter().filter_map(|key| self.jobs.get(*key)) {
            let is_feasible = urgency(job).tier(self.now) == JobTier::Feasible;
            let queue = queue_of(queues, job);
            let mut demand = demands.get_mut(job.record.terms.service.as_str());
            for task in &job.ready {
                let (_, step) = job.layout.position(*task);
                let spec = &job.record.steps[step];
                let cpu_millis = u64::from(spec.needs.cpu_millis);
                let wait = self.now.saturating_sub(job.tasks[*task as usize].ready_since);
                queue.ready += cpu_millis;
                queue.ready_tasks += 1;
                let Some(demand) = &mut demand else { continue };
                if spec.fills || !demand.has_executor_for(spec) {
                    continue;
                }
                let run_time = Duration::from_millis(u64::from(spec.estimate_ms));
                if spec.long_running {
                    demand.long_running_ready += cpu_millis;
                    demand.sample.long_running.add(&spec.needs);
                } else if wait < run_time.max(ROOM_INTERVAL) {
                    // With enough room, a task that has waited for longer would have ended by now.
                    demand.sample.ending.add(&spec.needs);
                }
                // A new job is placed before those that can only be late, whatever their priority.
                if is_feasible && cpu_millis > 0 {
                    queue.longest_wait = queue.longest_wait.max(wait);
                    queue.ready_work = queue
                        .ready_work
                        .saturating_add(cpu_millis.saturating_mul(u64::from(spec.estimate_ms)));
                }
            }
        }
    }

    fn service_room(
        &self,
        service: ServiceName,
        demand: ServiceDemand,
        room: &RoomState,
        held: &SecondaryMap<ExecutorKey, HeldNeeds>,
    ) -> ServiceRoom {
        let now = self.now;
        let window = room.windows.get(&service);
        let needs = window.map(DemandWindow::needs).unwrap_or_default();
        let peak_demand = window.map(DemandWindow::peak).unwrap_or_default();
        let is_complete = window.is_some_and(|window| window.is_complete(now));
        let usable_for = |sum: &NeedsSum| {
            let of_service = |(key, held): (ExecutorKey, &HeldNeeds)| {
                let executor = self.executors.get(key).filter(|other| other.service == service)?;
                let capacity = &executor.capacity;
                let cpu_millis = capacity.cpu_millis.saturating_sub(held.cpu_millis);
                let memory_mb = capacity.memory_mb.saturating_sub(held.memory_mb);
                Some(sum.usable_cpu(u64::from(cpu_millis), u64::from(memory_mb)))
            };
            held.iter().filter_map(of_service).sum()
        };
        ServiceRoom {
            capacity: demand.capacity,
            long_running: demand.long_running,
            long_running_ready: demand.long_running_ready,
            usable: usable_for(&needs.ending),
            fitting: usable_for(&needs.long_running),
            peak_demand,
            reserve: reserved_cpu(demand.capacity, peak_demand, is_complete),
            ended_per_second: window.map_or(0, |window| window.ended_per_second(now)),
            mean_job: (demand.long_running + demand.long_running_ready)
                .checked_div(demand.long_running_jobs)
                .unwrap_or_default(),
            accepted_recently: room.accepted.iter().filter(|(_, of)| *of == service).count() as u64,
            service,
        }
    }

    /// Counts a job that was accepted during this ownership.
    pub(super) fn note_accepted(&mut self, record: &JobRecord) {
        let now = self.now;
        if let (Some(room), true) = (&mut self.room, record.holds_cpu()) {
            room.accepted.push_back((now, record.terms.service.clone()));
        }
    }

    /// Records the CPU of the long-running runs of a job that has ended.
    pub(super) fn note_room_freed(&mut self, runs: &[RunKey]) {
        let (now, jobs, all) = (self.now, &self.jobs, &self.runs);
        let Some(room) = &mut self.room else { return };
        for run in runs.iter().filter_map(|run| all.get(*run)) {
            let service = &jobs[run.job].record.terms.service;
            if let (true, Some(window)) =
                (run.long_running && !run.best_effort, room.windows.get_mut(service))
            {
                window.record_end(now, u64::from(run.needs.cpu_millis));
            }
        }
    }
}

fn queue_of<'a, 'b>(
    queues: &'b mut BTreeMap<&'a str, QueueRoom>,
    job: &'a JobState,
) -> &'b mut QueueRoom {
    let terms = &job.record.terms;
    queues.entry(&terms.queue).or_insert_with(|| QueueRoom {
        queue: terms.queue.clone(),
        service: terms.service.clone(),
        priority: terms.priority,
        ..QueueRoom::default()
    })
}
