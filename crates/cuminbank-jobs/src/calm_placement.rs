//! Placement of best-effort tasks where no latency-critical task is at risk.
//!
//! Answers a load in which best-effort tasks keep latency-critical ones over their targets while
//! much of the pool is idle. The slack of a moment says little about a task that outlasts its
//! estimate, since a swing of the load takes the slack from its highest to its lowest value within a
//! few task lengths, while a report is up to a second old. Executors without latency-critical tasks
//! carry no such risk.
//!
//! The decisions only order the executors that accept a task, and never exclude one, so that no task
//! waits for a safer place. An image uses executors without latency-critical tasks first while the CPU
//! that is idle there exceeds what the images need that can run on fewer other executors.

use std::{collections::HashMap, time::Duration};

use crate::{
    colocation::{ImageId, MAX_PRESSURE},
    ids::MonotonicTime,
};

/// Period over which the lowest slack is kept. It covers a swing of the load, which takes 14 s at
/// the users' sites.
const SWING_WINDOW: Duration = Duration::from_secs(16);
/// Number of intervals into which the window is divided.
const SWING_INTERVALS: usize = 8;

/// Lowest undisturbed slack of a latency-critical image in the recent past.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwingRecord {
    /// Lowest slack in each interval, infinite in intervals without a report.
    lowest: [f64; SWING_INTERVALS],
    /// Number of the latest interval since the start of the clock.
    latest: u64,
}

impl SwingRecord {
    /// Creates a record without reports.
    pub fn new() -> Self {
        Self { lowest: [f64::INFINITY; SWING_INTERVALS], latest: 0 }
    }

    /// Adds an estimate of the undisturbed slack.
    pub fn record(&mut self, now: MonotonicTime, slack: f64) {
        let number = interval_number(now);
        let outdated = number.saturating_sub(self.latest).min(SWING_INTERVALS as u64);
        for offset in 0..outdated {
            self.lowest[slot(number - offset)] = f64::INFINITY;
        }
        self.latest = self.latest.max(number);
        let lowest = &mut self.lowest[slot(self.latest)];
        *lowest = lowest.min(slack);
    }

    /// Returns the lowest slack, or `None` unless reports cover the whole window: an image of which
    /// only a part of the swing is known may be near its highest slack.
    pub fn lowest(&self, now: MonotonicTime) -> Option<f64> {
        let is_covered = self.latest + 1 >= interval_number(now)
            && self.lowest.iter().all(|low| low.is_finite());
        is_covered.then(|| self.lowest.iter().copied().fold(f64::INFINITY, f64::min))
    }
}

impl Default for SwingRecord {
    fn default() -> Self {
        Self::new()
    }
}

fn interval_number(now: MonotonicTime) -> u64 {
    (now.as_millis() * SWING_INTERVALS as u128 / SWING_WINDOW.as_millis()) as u64
}

fn slot(interval: u64) -> usize {
    (interval % SWING_INTERVALS as u64) as usize
}

/// Growth of the running best-effort work, as a fraction, for which room is kept. Bursts reach 1.5
/// times the usual rate.
const GROWTH_RESERVE: f64 = 0.5;

/// Best-effort work of one image.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ImageDemand {
    /// CPU of its ready tasks, in thousandths of a core.
    pub waiting_cpu: u64,
    /// CPU of its running tasks, in thousandths of a core.
    pub running_cpu: u64,
    /// Share of the executors with latency-critical tasks that tolerate it, from 0 to 1. An
    /// uncertain pair counts as not tolerated.
    pub tolerated_share: f64,
}

impl ImageDemand {
    /// Returns the CPU that the work is expected to need beyond what it uses, in thousandths of a
    /// core.
    fn needed_cpu(&self) -> u64 {
        self.waiting_cpu + (self.running_cpu as f64 * GROWTH_RESERVE) as u64
    }
}

/// Executors without latency-critical tasks, and the best-effort work that depends on them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClearRoom {
    idle_cpu: u64,
    /// CPU that each best-effort image leaves to those that fewer other executors tolerate.
    needed_cpu: HashMap<ImageId, u64>,
    /// Lowest and highest opening cost (see [`crate::placement::opening_cost`]) of these executors.
    opening_costs: Option<(u64, u64)>,
}

impl ClearRoom {
    /// Creates the room of no executors, for the best-effort work of all images.
    pub fn new(mut demands: Vec<(ImageId, ImageDemand)>) -> Self {
        demands.sort_by(|(_, left), (_, right)| {
            left.tolerated_share.total_cmp(&right.tolerated_share)
        });
        let (mut total_cpu, mut equal_cpu, mut last_share) = (0, 0, 0.0);
        let mut needed_cpu = HashMap::new();
        for (image, demand) in demands {
            if demand.tolerated_share > last_share {
                (total_cpu, equal_cpu) = (total_cpu + equal_cpu, 0);
                last_share = demand.tolerated_share;
            }
            equal_cpu += demand.needed_cpu();
            needed_cpu.insert(image, total_cpu);
        }
        Self { needed_cpu, ..Self::default() }
    }

    /// Adds an executor without latency-critical tasks, with its idle CPU in thousandths of a core.
    /// Only whole tasks of the typical size count.
    pub fn add_executor(&mut self, opening_cost: u64, idle_cpu: u32, typical_cpu: u32) {
        self.idle_cpu += u64::from(idle_cpu - idle_cpu % typical_cpu.max(1));
        let (lowest, highest) = self.opening_costs.unwrap_or((opening_cost, opening_cost));
        self.opening_costs = Some((lowest.min(opening_cost), highest.max(opening_cost)));
    }

    /// Records the start of a best-effort task on one of these executors.
    pub fn record_start(&mut self, cpu_millis: u32) {
        self.idle_cpu = self.idle_cpu.saturating_sub(u64::from(cpu_millis));
    }

    /// Returns whether there is more room than the images need that can run on fewer other executors
    /// than this one. Always true for the image that can run on the fewest, while any room is left.
    pub fn is_ample_for(&self, image: ImageId) -> bool {
        self.idle_cpu > self.needed_cpu.get(&image).copied().unwrap_or_default()
    }

    /// Returns the idle CPU in thousandths of a core.
    pub fn idle_cpu(&self) -> u64 {
        self.idle_cpu
    }

    /// Returns the CPU above which there is ample room for every image, in thousandths of a core.
    pub fn highest_need(&self) -> u64 {
        self.needed_cpu.values().copied().max().unwrap_or_default()
    }

    /// Returns the cost of a task of a best-effort image on an executor, in the unit of
    /// [`crate::placement::ExecutorLoad::cost`]. With ample room, the executor without
    /// latency-critical tasks costs less than one that tolerates the image; otherwise it costs more.
    pub fn cost(&self, image: ImageId, risk: NeighbourRisk) -> u64 {
        let (clear_cost, tolerated_cost) = match self.is_ample_for(image) {
            true => AMPLE_COSTS,
            false => SHORT_COSTS,
        };
        match risk {
            NeighbourRisk::Trial => TRIAL_COST,
            NeighbourRisk::Clear { opening_cost } => clear_cost + self.space_cost(opening_cost),
            NeighbourRisk::Tolerated { pressure } => tolerated_cost + pressure_cost(pressure),
            NeighbourRisk::Exposed { pressure } => EXPOSED_COST + pressure_cost(pressure),
        }
    }

    /// Returns the cost of taking space that latency-critical tasks may need. Best-effort tasks fill
    /// the executors first that latency-critical tasks open last, so that the executor that is opened
    /// next is nearly without best-effort tasks.
    fn space_cost(&self, opening_cost: u64) -> u64 {
        let Some((lowest, highest)) = self.opening_costs else { return 0 };
        let distance = highest.saturating_sub(opening_cost.max(lowest));
        distance * MAX_SPACE_COST / (highest - lowest).max(1)
    }
}

/// Costs of an executor without latency-critical tasks, and of one that tolerates the task, with
/// ample room and without it. With ample room the second is above the first with the full load and
/// [`MAX_SPACE_COST`]; without it, a pressure of 1 makes them equal.
const AMPLE_COSTS: (u64, u64) = (10_000, 40_000);
const SHORT_COSTS: (u64, u64) = (20_000, 0);
/// Cost of an executor whose latency-critical tasks are at risk. The load of an executor costs up to
/// 10,000, one outside the zone of the job 30,000, contention for CPU 50,000, and one of half speed
/// 140,000: a task rather takes any of these, as a missed target costs five times its value.
const EXPOSED_COST: u64 = 200_000;
const TRIAL_COST: u64 = 5_000;
/// Cost of the executor that latency-critical tasks open next. At twice the cost of the load, part of
/// the executors stay empty when best-effort tasks need half of the CPU.
const MAX_SPACE_COST: u64 = 20_000;
/// Cost of a pressure of 1.
const PRESSURE_COST: f64 = 20_000.0;

fn pressure_cost(pressure: f64) -> u64 {
    (pressure * PRESSURE_COST) as u64
}

/// Pressures (see [`crate::colocation::SlackLoss::pressure`]) on the latency-critical tasks of an
/// executor if a best-effort task started there, the highest one of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NeighbourPressure {
    /// Pressure until the estimated end of the task, with the full uncertainty of the loss.
    pub current: f64,
    /// The same at the lowest slack that the images have shown.
    pub lowest_slack: f64,
}

/// Risk of a best-effort task for the latency-critical tasks of an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NeighbourRisk {
    /// No latency-critical task.
    Clear {
        /// Cost of the executor for a latency-critical task, if it were empty.
        opening_cost: u64,
    },
    /// First executor of an uncertain pair of images, at a time at which the slack suffices for a
    /// loss within the uncertainty. Without such trials little would be known of the pairs when room
    /// runs short, and latency-critical tasks are then over their targets more often than without
    /// placement by risk.
    Trial,
    /// The lowest slack of the images suffices, however long the task runs.
    Tolerated {
        /// Pressure at the lowest slack.
        pressure: f64,
    },
    /// The slack suffices only until the estimated end of the task, or not at all.
    Exposed {
        /// Pressure at the lowest slack.
        pressure: f64,
    },
}

impl NeighbourRisk {
    /// Returns the risk on an executor with latency-critical tasks. `is_untried` tells whether the
    /// task would form an uncertain pair that runs on no executor.
    pub fn beside(pressure: NeighbourPressure, is_untried: impl FnOnce() -> bool) -> Self {
        let NeighbourPressure { current, lowest_slack } = pressure;
        if lowest_slack <= MAX_PRESSURE {
            return Self::Tolerated { pressure: lowest_slack };
        }
        match current <= MAX_PRESSURE && is_untried() {
            true => Self::Trial,
            false => Self::Exposed { pressure: lowest_slack },
        }
    }
}
