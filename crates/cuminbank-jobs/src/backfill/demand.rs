//! Sizes of the tasks that are waiting or were started recently.

use std::time::Duration;

use crate::ids::MonotonicTime;

/// Width of a size class, in thousandths of a core.
const CLASS_MILLIS: u32 = 1_000;
/// Number of size classes. The last one includes all larger tasks.
const CLASSES: usize = 128;
/// Interval between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Divisor of the part of the remembered starts that each update forgets. Half of a start is
/// forgotten after 5.4 s, which is several times the run time of the tasks in question.
const FORGOTTEN_DIVISOR: u64 = 32;
/// Parts into which the total demand is divided.
const WHOLE: u64 = 1_000;

/// Demand for CPU by the size of the tasks, of the tasks that reserve CPU.
#[derive(Clone, Debug, PartialEq)]
pub struct SizeDemand {
    /// CPU of the started tasks of each class, in thousandths of a core, less what is forgotten.
    started: [u64; CLASSES],
    /// Part of the demand that needs less than each class, in thousandths.
    smaller: [u64; CLASSES],
    /// Part of the demand that needs more than each class, in thousandths.
    larger: [u64; CLASSES],
    next_update_at: MonotonicTime,
}

impl Default for SizeDemand {
    fn default() -> Self {
        Self {
            started: [0; CLASSES],
            smaller: [0; CLASSES],
            larger: [0; CLASSES],
            next_update_at: MonotonicTime::ZERO,
        }
    }
}

impl SizeDemand {
    /// Counts a started task.
    pub fn record_start(&mut self, cpu_millis: u32) {
        self.started[class_of(cpu_millis)] += weight_of(cpu_millis);
    }

    /// Returns whether an update is due.
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.next_update_at
    }

    /// Computes the demand from the started tasks and the CPU that each waiting task needs.
    pub fn update(&mut self, now: MonotonicTime, waiting: impl Iterator<Item = u32>) {
        self.next_update_at = now + UPDATE_INTERVAL;
        self.started.iter_mut().for_each(|cpu| *cpu -= cpu.div_ceil(FORGOTTEN_DIVISOR));
        let mut demand = self.started;
        for cpu_millis in waiting {
            demand[class_of(cpu_millis)] += weight_of(cpu_millis);
        }
        let total = demand.iter().sum::<u64>();
        let part = |cpu: u64| (cpu * WHOLE).checked_div(total).unwrap_or_default();
        let mut below = 0;
        for (class, cpu) in demand.into_iter().enumerate() {
            self.smaller[class] = part(below);
            below += cpu;
            self.larger[class] = part(total - below);
        }
    }

    /// Returns the part of some free CPU of an executor that is of no use, since the tasks in demand
    /// need more, in thousandths of a core.
    pub fn unusable_part(&self, free_millis: u32) -> u32 {
        // A class contains the sizes up to its upper limit, which the free CPU may not reach.
        let fitting = (free_millis / CLASS_MILLIS) as usize;
        let larger = match fitting.checked_sub(1) {
            Some(class) => self.larger[class.min(CLASSES - 1)],
            None => WHOLE,
        };
        (u64::from(free_millis) * larger / WHOLE) as u32
    }

    /// Returns the part of the demand by tasks of smaller size classes, in percent. These take the
    /// pieces of capacity that are too small for a task of this size.
    pub fn smaller_percent(&self, cpu_millis: u32) -> u32 {
        (self.smaller[class_of(cpu_millis)] * 100 / WHOLE) as u32
    }
}

/// Returns what a task adds to the demand. Limited, since clients may request any amount.
fn weight_of(cpu_millis: u32) -> u64 {
    u64::from(cpu_millis.min(CLASS_MILLIS * CLASSES as u32))
}

fn class_of(cpu_millis: u32) -> usize {
    (cpu_millis.div_ceil(CLASS_MILLIS) as usize).clamp(1, CLASSES) - 1
}
