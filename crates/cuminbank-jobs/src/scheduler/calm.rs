//! Room on executors without latency-critical tasks, and the risk of best-effort tasks on the others
//! (see [`crate::calm_placement`]).

use std::{collections::HashMap, time::Duration};

use cuminbank::log::{CLEAR_ROOM_AMPLE, CLEAR_ROOM_SHORT};

use super::{
    state::{ExecutorKey, ExecutorState, JobKey},
    JobScheduler,
};
use crate::{
    calm_placement::{ClearRoom, ImageDemand, NeighbourPressure, NeighbourRisk, SwingRecord},
    colocation::{ImageId, MinorLoss, SlackLoss, MAX_PRESSURE, UNMODELLED_IMAGE},
    ids::MonotonicTime,
    job::JobStep,
    placement::{idle_cpu, opening_cost},
    slack::{lowest_tolerable_loss, PEAK_SLACK},
};

/// Interval at which the room is computed. Starts in between are subtracted.
const ROOM_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which it is computed which images tolerate which. Estimates change with each report,
/// which executors make every 500 ms.
const TOLERANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Work units for the estimate of a pair of images.
const PAIR_UNITS: u32 = 4;
/// Work units for the risk on an executor.
const RISK_UNITS: u32 = 4;
/// Minimum time between two log entries about the room, which may be near its limit for long.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What calm placement has learned, and the room that it found last.
#[derive(Debug, Default)]
pub(super) struct CalmState {
    /// Whether the setting enables it.
    pub(super) enabled: bool,
    /// Swings of the latency-critical images, indexed by image.
    swings: Vec<SwingRecord>,
    room: ClearRoom,
    /// Mean CPU of the latency-critical tasks, in thousandths of a core.
    latency_critical_cpu: u32,
    next_room_at: MonotonicTime,
    /// Share of the executors with latency-critical tasks that tolerate each best-effort image.
    tolerated_shares: HashMap<ImageId, f64>,
    next_tolerance_at: MonotonicTime,
    /// Whether the last log entry told that there is room.
    logged_ample: bool,
    next_log_at: MonotonicTime,
}

impl CalmState {
    /// Returns the loss of slack that an image tolerates at its lowest slack.
    fn tolerable_loss(&self, now: MonotonicTime, victim: ImageId) -> f64 {
        let swing = self.swings.get(victim as usize);
        lowest_tolerable_loss(swing.and_then(|swing| swing.lowest(now)).unwrap_or(PEAK_SLACK))
    }

    fn opening_cost(&self, executor: &ExecutorState) -> u64 {
        opening_cost(executor.capacity.cpu_millis, self.latency_critical_cpu, executor.rank)
    }

    fn tolerated_share(&self, image: ImageId) -> f64 {
        self.tolerated_shares.get(&image).copied().unwrap_or_default()
    }

    /// Records an estimate of the undisturbed slack of a latency-critical image.
    pub(super) fn record_slack(&mut self, now: MonotonicTime, victim: ImageId, slack: f64) {
        if !self.enabled || victim == UNMODELLED_IMAGE {
            return;
        }
        let index = victim as usize;
        if self.swings.len() <= index {
            self.swings.resize(index + 1, SwingRecord::new());
        }
        self.swings[index].record(now, slack);
    }
}

impl JobScheduler {
    /// Returns the cost of a task of a best-effort step on an executor that accepts it, or `None` if
    /// the setting is off.
    pub(super) fn calm_cost(
        &self,
        executor: &ExecutorState,
        image: ImageId,
        spec: &JobStep,
        minor_loss: MinorLoss,
    ) -> Option<u64> {
        if !self.calm.enabled {
            return None;
        }
        let risk = self.neighbour_risk(executor, image, spec, minor_loss);
        Some(self.calm.room.cost(image, risk))
    }

    fn neighbour_risk(
        &self,
        executor: &ExecutorState,
        image: ImageId,
        spec: &JobStep,
        minor_loss: MinorLoss,
    ) -> NeighbourRisk {
        if executor.latency_critical_tasks == 0 {
            return NeighbourRisk::Clear { opening_cost: self.calm.opening_cost(executor) };
        }
        let pressure = self.neighbour_pressure(executor, image, spec, minor_loss);
        NeighbourRisk::beside(pressure, || self.is_untried(executor, image))
    }

    fn neighbour_pressure(
        &self,
        executor: &ExecutorState,
        image: ImageId,
        spec: &JobStep,
        minor_loss: MinorLoss,
    ) -> NeighbourPressure {
        let share = executor.share_of(spec.needs.cpu_millis);
        let mut pressure = NeighbourPressure::default();
        for loss in &executor.losses {
            let victim = loss.victim;
            let added = self.colocation.loss_with(minor_loss, self.now, victim, image, share);
            let sum = loss.with(minor_loss).plus(added);
            let current = sum.pressure(self.tolerable_loss_until_end(executor, victim, spec));
            let lowest_slack = sum.pressure(self.calm.tolerable_loss(self.now, victim));
            pressure.current = pressure.current.max(current);
            pressure.lowest_slack = pressure.lowest_slack.max(lowest_slack);
        }
        pressure
    }

    /// Returns whether a best-effort image would form an uncertain pair on an executor, and all such
    /// pairs run on no executor.
    fn is_untried(&self, executor: &ExecutorState, image: ImageId) -> bool {
        let victims = executor.latency_critical_images.iter().map(|(victim, _)| *victim);
        let mut uncertain = victims
            .filter(|victim| self.colocation.is_uncertain(self.now, *victim, image))
            .peekable();
        image != UNMODELLED_IMAGE
            && uncertain.peek().is_some()
            && uncertain.all(|victim| {
                victim != UNMODELLED_IMAGE
                    && self.pair_counts.get(&(victim, image)).is_none_or(|count| *count == 0)
            })
    }

    /// Records the start of a task of a best-effort step on an executor, before it is counted there.
    pub(super) fn record_calm_start(&mut self, key: ExecutorKey, job: JobKey, step: usize) {
        let spec = &self.jobs[job].record.steps[step];
        if !self.calm.enabled || !spec.fills {
            return;
        }
        let (image, cpu_millis) = (self.jobs[job].images[step], spec.needs.cpu_millis);
        let risk = self.neighbour_risk(&self.executors[key], image, spec, MinorLoss::Ignored);
        let name = match risk {
            NeighbourRisk::Clear { .. } => "calm.clear",
            NeighbourRisk::Trial => "calm.trial",
            NeighbourRisk::Tolerated { .. } => "calm.tolerated",
            NeighbourRisk::Exposed { .. } => "calm.exposed",
        };
        if matches!(risk, NeighbourRisk::Clear { .. }) {
            self.calm.room.record_start(cpu_millis);
        }
        self.measure(name, "", None);
    }

    /// Charges the work units for the risk on executors that accept a task of a step.
    pub(super) fn charge_risk_units(&mut self, job: JobKey, step: usize, executors: u32) {
        if self.calm.enabled && self.jobs[job].record.steps[step].fills {
            self.charge_units(executors * RISK_UNITS);
        }
    }

    /// Recomputes, if due and best-effort work waits, the room on executors without latency-critical
    /// tasks.
    pub(super) fn update_calm_room(&mut self) {
        if !self.calm.enabled || self.now < self.calm.next_room_at || !self.best_effort_waits() {
            return;
        }
        self.calm.next_room_at = self.now + ROOM_INTERVAL;
        self.calm.latency_critical_cpu = self.mean_latency_critical_cpu();
        let (demands, tasks) = self.best_effort_demands();
        if self.now >= self.calm.next_tolerance_at {
            self.calm.next_tolerance_at = self.now + TOLERANCE_INTERVAL;
            self.update_tolerated_shares(demands.keys().copied().collect());
        }
        let cpu = demands.values().map(|demand| demand.waiting_cpu + demand.running_cpu);
        let typical_cpu = cpu.sum::<u64>().checked_div(tasks).unwrap_or_default() as u32;
        let with_share = |(image, demand)| {
            let tolerated_share = self.calm.tolerated_share(image);
            (image, ImageDemand { tolerated_share, ..demand })
        };
        let mut room = ClearRoom::new(demands.into_iter().map(with_share).collect());
        for executor in self.executors.values() {
            if executor.latency_critical_tasks == 0 && self.is_placeable(executor) {
                room.add_executor(
                    self.calm.opening_cost(executor),
                    executor.idle_cpu(),
                    typical_cpu,
                );
            }
        }
        self.calm.room = room;
        self.log_calm_room();
    }

    fn best_effort_waits(&self) -> bool {
        let mut waiting = self.waiting.iter().map(|key| &self.jobs[*key].record);
        waiting.any(|record| record.steps.iter().any(|spec| spec.fills))
    }

    fn mean_latency_critical_cpu(&self) -> u32 {
        let executors = self.executors.values();
        let (cpu, tasks) = executors.fold((0, 0), |(cpu, tasks), executor| {
            (
                cpu + u64::from(executor.latency_critical_cpu),
                tasks + u64::from(executor.latency_critical_tasks),
            )
        });
        cpu.checked_div(tasks).unwrap_or_default() as u32
    }

    /// Returns the ready and running best-effort work of each image, and its number of tasks.
    fn best_effort_demands(&mut self) -> (HashMap<ImageId, ImageDemand>, u64) {
        let mut demands: HashMap<ImageId, ImageDemand> = HashMap::new();
        let (mut tasks, mut looked_at) = (0, self.executors.len() * 3);
        for executor in self.executors.values() {
            tasks += u64::from(executor.best_effort_tasks);
            for (image, cpu_millis) in &executor.best_effort_images {
                demands.entry(*image).or_default().running_cpu += u64::from(*cpu_millis);
            }
        }
        for key in &self.waiting {
            let job = &self.jobs[*key];
            if job.is_long_running() {
                continue;
            }
            looked_at += job.ready.len();
            for task in &job.ready {
                let (_, step) = job.layout.position(*task);
                let spec = &job.record.steps[step];
                if spec.fills {
                    let demand = demands.entry(job.images[step]).or_default();
                    demand.waiting_cpu += u64::from(spec.needs.cpu_millis);
                    tasks += 1;
                }
            }
        }
        self.charge_units(looked_at as u32);
        (demands, tasks)
    }

    /// Computes which share of the executors with latency-critical tasks tolerates each of the given
    /// best-effort images.
    fn update_tolerated_shares(&mut self, images: Vec<ImageId>) {
        let mut victims: HashMap<ImageId, u32> = HashMap::new();
        for executor in self.executors.values() {
            for (victim, _) in &executor.latency_critical_images {
                *victims.entry(*victim).or_default() += 1;
            }
        }
        let total: u32 = victims.values().sum();
        let share_of = |image: ImageId| {
            let tolerating = victims.iter().filter(|(victim, _)| self.tolerates(**victim, image));
            let count: u32 = tolerating.map(|(_, count)| *count).sum();
            f64::from(count) / f64::from(total.max(1))
        };
        let shares = images.iter().map(|image| (*image, share_of(*image))).collect();
        self.calm.tolerated_shares = shares;
        self.charge_units((images.len() * victims.len()) as u32 * PAIR_UNITS);
    }

    fn tolerates(&self, victim: ImageId, image: ImageId) -> bool {
        let model = &self.colocation;
        let loss: SlackLoss = model.typical_loss(self.now, victim, image);
        !model.is_uncertain(self.now, victim, image)
            && loss.pressure(self.calm.tolerable_loss(self.now, victim)) <= MAX_PRESSURE
    }

    fn log_calm_room(&mut self) {
        let room = &self.calm.room;
        let (idle_cpu, needed_cpu) = (room.idle_cpu(), room.highest_need());
        let ample = idle_cpu > needed_cpu;
        if ample == self.calm.logged_ample || self.now < self.calm.next_log_at {
            return;
        }
        self.calm.logged_ample = ample;
        self.calm.next_log_at = self.now + LOG_INTERVAL;
        let detail = format!("idle_cpu={idle_cpu} needed_cpu={needed_cpu}");
        self.log(if ample { CLEAR_ROOM_AMPLE } else { CLEAR_ROOM_SHORT }, None, detail);
    }
}

impl ExecutorState {
    /// Returns the CPU that is expected to stay idle, in thousandths of a core.
    fn idle_cpu(&self) -> u32 {
        idle_cpu(
            self.capacity.cpu_millis,
            self.reserved.cpu_millis,
            self.latency_critical_cpu,
            self.best_effort_cpu,
        )
    }
}
