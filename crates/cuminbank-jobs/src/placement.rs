//! Selection of an executor for a task.

use std::time::Duration;

use crate::{ids::MonotonicTime, job::TaskNeeds};

/// Load of an executor and the other inputs on which its cost for a task depends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExecutorLoad {
    /// Total capacity.
    pub capacity: TaskNeeds,
    /// Capacity reserved by tasks.
    pub reserved: TaskNeeds,
    /// CPU reserved by latency-critical tasks, in thousandths of a core.
    pub latency_critical_cpu: u32,
    /// Pressure of best-effort tasks on latency-critical ones if the task is placed here. The limit
    /// is 1.
    pub pressure: f64,
    /// Cost of a best-effort task by the risk for the latency-critical tasks here (see
    /// [`crate::calm_placement`]); `None` if it is placed by the pressure.
    pub calm_cost: Option<u64>,
    /// How much best-effort images depend on running next to the latency-critical tasks here, from
    /// 0 to 1. Images that tolerate many others avoid these executors, which leaves them to images
    /// that tolerate few.
    pub neighbour_demand: f64,
    /// Whether a latency-critical task of the same image runs here.
    pub same_image: bool,
    /// Number of tasks of the same latency-critical step that run here; 0 if steps are not spread.
    pub same_step_tasks: u32,
    /// CPU requested by best-effort tasks, in thousandths of a core.
    pub best_effort_cpu: u32,
    /// Number of best-effort tasks.
    pub best_effort_tasks: u32,
    /// Number of latency-critical tasks.
    pub latency_critical_tasks: u32,
    /// Whether the executor is on the rack of the task's data.
    pub near_data: bool,
    /// Whether the executor is outside the zone in which the job's tasks are gathered.
    pub outside_zone: bool,
    /// Cost of the CPU that the task would leave free but unusable for the tasks in demand.
    pub unusable_cost: u64,
    /// Number of executors that were known when it was added, used as a tie-breaker.
    pub rank: u32,
    /// Recent run time in percent of the estimate; 100 means as estimated.
    pub slowness: u32,
    /// Whether the executor is suspect (see [`ExecutorRecord::is_suspect`]).
    pub suspect: bool,
    /// Whether this task failed here before.
    pub failed_here: bool,
}

/// Requirements of a task, as far as placement depends on them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TaskDemand {
    /// Resources required.
    pub needs: TaskNeeds,
    /// Whether the task is best-effort and so only uses CPU that others leave idle.
    pub best_effort: bool,
    /// Whether the task runs until its job is cancelled, as every latency-critical task does.
    pub latency_critical: bool,
    /// Whether the task prefers the rack of its data.
    pub prefers_rack: bool,
}

/// Percentage of its reservation that a latency-critical task uses under typical load.
const LATENCY_CRITICAL_USE_PERCENT: u32 = 60;
/// Cost of a pressure of 1 on latency-critical tasks. The unit of all costs is a ten-thousandth of
/// a fully used executor.
const PRESSURE_COST: f64 = 20_000.0;
/// Cost of an executor that is suspect, and of one on which the task failed before. The latter is
/// higher, since all quarantined executors are suspect.
const SUSPECT_COST: u64 = 1_000_000;
const FAILED_HERE_COST: u64 = 2_000_000;
/// Cost of an executor outside the zone in which the job's tasks are gathered. It outweighs the load
/// of executors, but not contention for CPU.
const OUTSIDE_ZONE_COST: u64 = 30_000;
/// Cost of a best-effort task on an executor without latency-critical tasks, and of a task that
/// reserves CPU on an executor with them.
const NO_SERVICE_COST: u64 = 10_000;
const BESIDE_SERVICE_COST: u64 = 5_000;
/// Cost of a best-effort task next to the latency-critical images that other best-effort images
/// depend on most.
const NEIGHBOUR_DEMAND_COST: f64 = 8_000.0;
/// Cost of a task that needs more CPU than is idle and so slows down best-effort tasks.
const CONTENTION_COST: u64 = 50_000;
/// Costs of a latency-critical task: for each best-effort task on the executor, on an executor
/// without latency-critical tasks, and on one with latency-critical tasks of other images only.
const BEST_EFFORT_NEIGHBOUR_COST: u64 = 1_000;
const EMPTY_EXECUTOR_COST: u64 = 20_000;
const OTHER_IMAGE_COST: u64 = 40_000;
/// Cost of a latency-critical task for each task of its step on the executor. What disturbs or ends
/// an executor affects all tasks there, and a service that loses a third of its tasks at once serves
/// nobody well. One such task costs less than an empty executor, since a service that takes more
/// executors leaves fewer to best-effort images that interfere with it; two cost about as much.
const SAME_STEP_COST: u64 = 12_000;
/// Percentage of its requested CPU that must be idle before a best-effort task starts. Starting
/// with less would slow down all best-effort tasks on the executor.
const BEST_EFFORT_MIN_CPU_PERCENT: u32 = 75;

/// Returns the CPU that is expected to stay idle, in thousandths of a core. Latency-critical tasks
/// use only part of their reservation.
pub fn idle_cpu(capacity: u32, reserved: u32, latency_critical: u32, best_effort: u32) -> u32 {
    let unused = latency_critical * (100 - LATENCY_CRITICAL_USE_PERCENT) / 100;
    capacity.saturating_sub(reserved - unused + best_effort)
}

/// Returns the part of the cost of a latency-critical task on an executor without tasks that differs
/// between such executors. The one with the lowest is opened first.
pub fn opening_cost(capacity: u32, needs: u32, rank: u32) -> u64 {
    fullness_cost(u64::from(capacity.max(1)), u64::from(needs)) + u64::from(rank)
}

/// Returns the cost by the CPU that a latency-critical task would leave unreserved.
fn fullness_cost(capacity: u64, used: u64) -> u64 {
    capacity.saturating_sub(used) * 10_000 / capacity
}

impl ExecutorLoad {
    /// Returns the CPU that is expected to stay idle, in thousandths of a core.
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

    /// Returns whether the executor has free capacity for the task. Executors check memory and
    /// accelerators too; CPU is only limited by this check.
    pub fn has_capacity_for(&self, demand: &TaskDemand) -> bool {
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

    /// Returns the cost of placing a task here. The executor with the lowest cost is chosen.
    pub fn cost(&self, demand: &TaskDemand) -> u64 {
        let mut cost = self.unusable_cost;
        if self.suspect {
            cost += SUSPECT_COST;
        }
        if self.failed_here {
            cost += FAILED_HERE_COST;
        }
        if self.outside_zone {
            cost += OUTSIDE_ZONE_COST;
        }
        cost += u64::from(self.slowness.saturating_sub(130)) * 2_000;
        if demand.prefers_rack && !self.near_data {
            cost += 400_000;
        }
        let capacity = u64::from(self.capacity.cpu_millis.max(1));
        if demand.latency_critical {
            return cost + self.latency_critical_cost(demand, capacity);
        }
        let idle = u64::from(self.idle_cpu());
        let needed = u64::from(demand.needs.cpu_millis);
        let fullness = (capacity - idle.saturating_sub(needed)) * 10_000 / capacity;
        // Executors without latency-critical tasks are kept free for best-effort tasks that would
        // interfere with such tasks.
        cost += match (demand.best_effort, self.latency_critical_tasks, self.calm_cost) {
            (true, 0, Some(calm_cost)) => calm_cost,
            (true, _, Some(calm_cost)) => {
                calm_cost + (self.neighbour_demand * NEIGHBOUR_DEMAND_COST) as u64
            }
            (true, 0, None) => NO_SERVICE_COST,
            (true, _, None) => {
                (self.pressure * PRESSURE_COST + self.neighbour_demand * NEIGHBOUR_DEMAND_COST)
                    as u64
            }
            (false, 0, _) => 0,
            (false, _, _) => BESIDE_SERVICE_COST,
        };
        // A task that reserves CPU should not slow down best-effort tasks while other executors
        // have idle CPU.
        if needed > idle {
            cost += CONTENTION_COST;
        }
        cost + fullness
    }

    /// Returns the cost of placing a latency-critical task here. These tasks do not interfere with
    /// each other and are grouped by image, so that each executor tolerates as many best-effort
    /// images as possible.
    fn latency_critical_cost(&self, demand: &TaskDemand, capacity: u64) -> u64 {
        let used = u64::from(self.reserved.cpu_millis) + u64::from(demand.needs.cpu_millis);
        let mut cost = fullness_cost(capacity, used);
        cost += u64::from(self.best_effort_tasks) * BEST_EFFORT_NEIGHBOUR_COST;
        cost += u64::from(self.same_step_tasks) * SAME_STEP_COST;
        cost += (self.pressure * PRESSURE_COST) as u64;
        cost += match (self.same_image, self.latency_critical_tasks) {
            (true, _) => 0,
            (false, 0) => EMPTY_EXECUTOR_COST + u64::from(self.rank),
            (false, _) => OTHER_IMAGE_COST,
        };
        cost
    }
}

/// Results of recent runs on an executor.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExecutorRecord {
    failures: u32,
    quarantined_until: MonotonicTime,
    /// Earliest time at which a long-running task may be tried here during the quarantine.
    probation_from: MonotonicTime,
    slowness_percent: f64,
}

/// Consecutive failures of different tasks after which an executor is quarantined. One run in
/// twenty fails because of the task itself, so two failures in a row are rare on a healthy
/// executor.
const QUARANTINE_FAILURES: u32 = 2;
/// How long an executor is quarantined. A series of failures lasts about as long.
const QUARANTINE_TIME: Duration = Duration::from_secs(4);
/// Pause after a failure before a long-running task is tried on a quarantined executor. It doubles
/// with each further failure, up to [`MAX_PROBATION_DOUBLINGS`] times: an executor that fails
/// everything at once is always empty and would otherwise be chosen each time.
const PROBATION_PAUSE: Duration = Duration::from_millis(750);
const MAX_PROBATION_DOUBLINGS: u32 = 2;
/// Weight of the latest run in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.35;

impl ExecutorRecord {
    /// Records a run that completed with a result. `ratio` is its run time divided by the estimate.
    pub fn record_completion(&mut self, ratio: f64) {
        self.failures = 0;
        let percent = (ratio * 100.0).clamp(10.0, 2_000.0);
        let last = if self.slowness_percent == 0.0 { percent } else { self.slowness_percent };
        self.slowness_percent = last + (percent - last) * SLOWNESS_WEIGHT;
    }

    /// Records a failure that the executor may have caused, and quarantines the executor after
    /// several in a row.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.failures += 1;
        if self.failures >= QUARANTINE_FAILURES {
            self.quarantined_until = now + QUARANTINE_TIME;
            let doublings = (self.failures - QUARANTINE_FAILURES).min(MAX_PROBATION_DOUBLINGS);
            self.probation_from = now + PROBATION_PAUSE * (1 << doublings);
        }
    }

    /// Records that a long-running task has become ready, which ends a series of failures.
    pub fn record_ready(&mut self) {
        self.failures = 0;
    }

    /// Returns whether a long-running task may be tried here despite a quarantine.
    pub fn allows_probation(&self, now: MonotonicTime) -> bool {
        now >= self.probation_from
    }

    /// Quarantines the executor at once, because it is unhealthy or a run on it made no progress, and
    /// tries no long-running task there for a pause.
    pub fn quarantine(&mut self, now: MonotonicTime) {
        self.quarantined_until = now + QUARANTINE_TIME;
        self.probation_from = self.probation_from.max(now + PROBATION_PAUSE);
    }

    /// Returns whether the executor is quarantined and so gets no new work.
    pub fn is_quarantined(&self, now: MonotonicTime) -> bool {
        now < self.quarantined_until
    }

    /// Returns whether a failure that the executor may have caused is more recent than the last
    /// completed run.
    pub fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Returns the average run time in percent of the estimate; 100 if nothing has run yet.
    pub fn slowness(&self) -> u32 {
        if self.slowness_percent == 0.0 {
            100
        } else {
            self.slowness_percent as u32
        }
    }
}
