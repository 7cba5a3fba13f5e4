//! Choice of an executor for a task.

use std::time::Duration;

use crate::{ids::MonotonicTime, job::TaskNeeds};

/// Load of an executor as placement sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExecutorLoad {
    /// What it has.
    pub capacity: TaskNeeds,
    /// What tasks hold that count against its capacity.
    pub reserved: TaskNeeds,
    /// Part of the reserved processor share that serving tasks hold.
    pub latency_critical_cpu: u32,
    /// Pressure of filling tasks on serving ones with the task placed here; 1 is the bound.
    pub pressure: f64,
    /// How much filling images depend on what serves here, from 0 to 1: images that suit many
    /// services leave it to those that suit few.
    pub neighbour_demand: f64,
    /// Whether a task of the same image serves here.
    pub same_image: bool,
    /// Processor share wanted by filling tasks, in thousandths of a core.
    pub best_effort_cpu: u32,
    /// Number of filling tasks.
    pub best_effort: u32,
    /// Number of serving tasks.
    pub latency_critical: u32,
    /// Whether it is on the rack of the task's data.
    pub near_data: bool,
    /// Rank among the executors, the same for every decision.
    pub rank: u32,
    /// How much slower than estimated its recent runs were, in percent; 100 is as estimated.
    pub slowness: u32,
    /// Whether the task failed here before, or recent runs of others did.
    pub suspect: bool,
}

/// What placement has to know of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TaskDemand {
    /// Needs.
    pub needs: TaskNeeds,
    /// Whether it only uses what others leave.
    pub best_effort: bool,
    /// Whether it serves users with a bound on its tail latency.
    pub latency_critical: bool,
    /// Whether it has a rack near its data.
    pub wants_rack: bool,
}

/// Part of its reservation that a serving task uses, in percent, at the usual load.
const LATENCY_CRITICAL_USE_PERCENT: u32 = 60;
/// Costs, in ten-thousandths of a whole executor's fullness. Cost of a pressure of 1 on serving
/// tasks.
const PRESSURE_COST: f64 = 20_000.0;
/// Cost of a filling task where nothing serves, and of a task that reserves its share where
/// something does.
const NO_SERVICE_COST: u64 = 10_000;
const BESIDE_SERVICE_COST: u64 = 5_000;
/// Cost of a filling task beside the services that filling images depend on most.
const NEIGHBOUR_DEMAND_COST: f64 = 8_000.0;
/// Cost of taking the share that filling tasks use.
const CONTENTION_COST: u64 = 50_000;
/// Cost of serving beside each filling task, on an executor where nothing serves yet, and beside
/// other images only.
const BEST_EFFORT_NEIGHBOUR_COST: u64 = 1_000;
const EMPTY_EXECUTOR_COST: u64 = 20_000;
const OTHER_IMAGE_COST: u64 = 40_000;
/// Least part of its processor share that must be free before a filling task starts, in percent.
/// Starting on less would slow down all filling tasks there.
const BEST_EFFORT_MIN_CPU_PERCENT: u32 = 75;

/// Returns the processor share of an executor that nobody is expected to use, in thousandths of a core.
/// Serving tasks use only a part of what they reserve.
pub fn idle_cpu(capacity: u32, reserved: u32, latency_critical: u32, best_effort: u32) -> u32 {
    let unused = latency_critical * (100 - LATENCY_CRITICAL_USE_PERCENT) / 100;
    capacity.saturating_sub(reserved - unused + best_effort)
}

impl ExecutorLoad {
    /// Returns the processor share that nobody is expected to use, in thousandths of a core.
    pub fn idle_cpu(&self) -> u32 {
        idle_cpu(
            self.capacity.cpu_millis,
            self.reserved.cpu_millis,
            self.latency_critical_cpu,
            self.best_effort_cpu,
        )
    }

    fn unreserved_cpu(&self) -> u32 {
        self.capacity.cpu_millis.saturating_sub(self.reserved.cpu_millis)
    }

    /// Tells whether the executor has room for a task by its guard and by ours.
    pub fn has_room(&self, demand: &TaskDemand) -> bool {
        let needs = &demand.needs;
        let cpu = match demand.best_effort {
            true => {
                u64::from(self.idle_cpu()) * 100
                    >= u64::from(needs.cpu_millis) * u64::from(BEST_EFFORT_MIN_CPU_PERCENT)
            }
            false => needs.cpu_millis <= self.unreserved_cpu(),
        };
        cpu && needs.fits_beside(&self.reserved, &self.capacity)
    }

    /// Returns the cost of placing a task here; the least cost wins.
    pub fn cost(&self, demand: &TaskDemand) -> u64 {
        let mut cost = 0;
        if self.suspect {
            cost += 1_000_000;
        }
        cost += u64::from(self.slowness.saturating_sub(130)) * 2_000;
        if demand.wants_rack && !self.near_data {
            cost += 400_000;
        }
        let capacity = u64::from(self.capacity.cpu_millis.max(1));
        if demand.latency_critical {
            return cost + self.latency_critical_cost(demand, capacity);
        }
        let idle = u64::from(self.idle_cpu());
        let needed = u64::from(demand.needs.cpu_millis);
        let fullness = (capacity - idle.saturating_sub(needed)) * 10_000 / capacity;
        // Executors without serving tasks are for filling tasks that would disturb some.
        cost += match (demand.best_effort, self.latency_critical) {
            (true, 0) => NO_SERVICE_COST,
            (true, _) => {
                (self.pressure * PRESSURE_COST + self.neighbour_demand * NEIGHBOUR_DEMAND_COST)
                    as u64
            }
            (false, 0) => 0,
            (false, _) => BESIDE_SERVICE_COST,
        };
        // Work that reserves its share should not squeeze filling tasks while others are idle.
        if needed > idle {
            cost += CONTENTION_COST;
        }
        cost + fullness
    }

    /// Serving tasks do not disturb each other. They gather by image, so that each executor admits
    /// as many filling images as possible.
    fn latency_critical_cost(&self, demand: &TaskDemand, capacity: u64) -> u64 {
        let used = u64::from(self.reserved.cpu_millis) + u64::from(demand.needs.cpu_millis);
        let mut cost = capacity.saturating_sub(used) * 10_000 / capacity;
        cost += u64::from(self.best_effort) * BEST_EFFORT_NEIGHBOUR_COST;
        cost += (self.pressure * PRESSURE_COST) as u64;
        cost += match (self.same_image, self.latency_critical) {
            (true, _) => 0,
            (false, 0) => EMPTY_EXECUTOR_COST + u64::from(self.rank),
            (false, _) => OTHER_IMAGE_COST,
        };
        cost
    }
}

/// Recent results of an executor.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExecutorRecord {
    failures: u32,
    quarantined_until: MonotonicTime,
    slowness_percent: f64,
}

/// Failures in a row, of different tasks, after which an executor is shunned. One failure in
/// twenty is the task's own, so that two in a row are rare on a sound executor.
const QUARANTINE_FAILURES: u32 = 2;
/// How long an executor is shunned: about as long as a spell of failures lasts.
const QUARANTINE_TIME: Duration = Duration::from_secs(4);
/// Weight of the newest run in the average slowness.
const SLOWNESS_WEIGHT: f64 = 0.35;

impl ExecutorRecord {
    /// Takes the result of a run that ended by itself, with its run time in multiples of the
    /// estimate.
    pub fn record_completion(&mut self, ratio: f64) {
        self.failures = 0;
        let percent = (ratio * 100.0).clamp(10.0, 2_000.0);
        let last = if self.slowness_percent == 0.0 { percent } else { self.slowness_percent };
        self.slowness_percent = last + (percent - last) * SLOWNESS_WEIGHT;
    }

    /// Takes a failure that may be the executor's.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.failures += 1;
        if self.failures >= QUARANTINE_FAILURES {
            self.quarantined_until = now + QUARANTINE_TIME;
        }
    }

    /// Shuns the executor for its own fault.
    pub fn quarantine(&mut self, now: MonotonicTime) {
        self.quarantined_until = now + QUARANTINE_TIME;
    }

    /// Tells whether the executor gets no new work.
    pub fn is_quarantined(&self, now: MonotonicTime) -> bool {
        now < self.quarantined_until
    }

    /// Tells whether its last run failed.
    pub fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Returns the average run time in percent of the estimates.
    pub fn slowness(&self) -> u32 {
        if self.slowness_percent == 0.0 {
            100
        } else {
            self.slowness_percent as u32
        }
    }
}
