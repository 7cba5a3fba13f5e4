//! Demand on the executors of a service over a window of time, as learned by the owner of the cell.

use std::{collections::VecDeque, time::Duration};

use crate::{ids::MonotonicTime, job::TaskNeeds};

/// Length of the window. Bursts come about 10 s apart and last up to 7 s, so that it contains at
/// least one whole burst.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(30);
/// Length of the slots in which the window moves on.
const SLOT_LENGTH: Duration = Duration::from_secs(1);
/// Largest share of the capacity that is kept for work that ends by itself. Long-running tasks may
/// always hold three quarters.
const MAX_RESERVE_DIVISOR: u64 = 4;
/// Share of the capacity that is kept until the demand of a whole window is known. Quick callers use
/// about 5 % of a pool at their usual rate, and come at up to 2.5 times that rate in a burst.
const INITIAL_RESERVE_DIVISOR: u64 = 8;

/// Sum of the needs of several tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NeedsSum {
    /// CPU in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of tasks.
    pub tasks: u64,
}

impl NeedsSum {
    /// Adds the needs of a task.
    pub fn add(&mut self, needs: &TaskNeeds) {
        self.cpu_millis += u64::from(needs.cpu_millis);
        self.memory_mb += u64::from(needs.memory_mb);
        self.tasks += 1;
    }

    fn add_sum(&mut self, other: &Self) {
        self.cpu_millis += other.cpu_millis;
        self.memory_mb += other.memory_mb;
        self.tasks += other.tasks;
    }

    /// Returns how much of some free CPU and memory is of use to tasks with the mean needs. All of
    /// the CPU if the mean needs are not known.
    pub fn usable_cpu(&self, cpu_millis: u64, memory_mb: u64) -> u64 {
        let mean = |sum: u64| sum.checked_div(self.tasks).unwrap_or_default();
        let (cpu, memory) = (mean(self.cpu_millis), mean(self.memory_mb));
        if cpu == 0 {
            return cpu_millis;
        }
        let by_memory = memory_mb.checked_div(memory).unwrap_or(u64::MAX);
        (cpu_millis / cpu).min(by_memory) * cpu
    }
}

/// Demand on the executors of a service at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DemandSample {
    /// Needs of the tasks that reserve CPU and end by themselves.
    pub ending: NeedsSum,
    /// Needs of the long-running tasks.
    pub long_running: NeedsSum,
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowSlot {
    begun_at: MonotonicTime,
    peak: u64,
    sum: DemandSample,
    /// CPU of the long-running jobs that ended, in thousandths of a core.
    ended: u64,
}

/// Demand over the last [`DEMAND_WINDOW`].
#[derive(Clone, Debug)]
pub struct DemandWindow {
    begun_at: MonotonicTime,
    slots: VecDeque<WindowSlot>,
}

impl DemandWindow {
    /// Creates the window of an owner that begins to observe now.
    pub fn new(now: MonotonicTime) -> Self {
        Self { begun_at: now, slots: VecDeque::new() }
    }

    /// Adds a sample of the demand.
    pub fn record_sample(&mut self, now: MonotonicTime, sample: &DemandSample) {
        let slot = self.current_slot(now);
        slot.peak = slot.peak.max(sample.ending.cpu_millis);
        slot.sum.ending.add_sum(&sample.ending);
        slot.sum.long_running.add_sum(&sample.long_running);
    }

    /// Records the end of a long-running job that held some CPU, in thousandths of a core.
    pub fn record_end(&mut self, now: MonotonicTime, cpu_millis: u64) {
        self.current_slot(now).ended += cpu_millis;
    }

    fn current_slot(&mut self, now: MonotonicTime) -> &mut WindowSlot {
        self.slots.retain(|slot| now < slot.begun_at + DEMAND_WINDOW);
        if self.slots.back().is_none_or(|slot| now >= slot.begun_at + SLOT_LENGTH) {
            self.slots.push_back(WindowSlot { begun_at: now, ..WindowSlot::default() });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    /// Returns whether the demand of a whole window is known.
    pub fn is_complete(&self, now: MonotonicTime) -> bool {
        now >= self.begun_at + DEMAND_WINDOW
    }

    /// Returns the highest demand of work that ends by itself, in thousandths of a core.
    pub fn peak(&self) -> u64 {
        self.slots.iter().map(|slot| slot.peak).max().unwrap_or_default()
    }

    /// Returns the needs of all tasks in all samples, which give their mean needs.
    pub fn needs(&self) -> DemandSample {
        let mut sum = DemandSample::default();
        for slot in &self.slots {
            sum.ending.add_sum(&slot.sum.ending);
            sum.long_running.add_sum(&slot.sum.long_running);
        }
        sum
    }

    /// Returns the CPU of the long-running jobs that ended, in thousandths of a core per second.
    pub fn ended_per_second(&self, now: MonotonicTime) -> u64 {
        let observed = now.saturating_sub(self.begun_at).min(DEMAND_WINDOW).max(SLOT_LENGTH);
        let ended: u64 = self.slots.iter().map(|slot| slot.ended).sum();
        (ended as f64 / observed.as_secs_f64()) as u64
    }
}

/// Returns the CPU that is kept for work that ends by itself: its peak demand, bounded by a share of
/// the capacity. `is_complete` tells whether the peak is that of a whole window.
pub fn reserved_cpu(capacity: u64, peak_demand: u64, is_complete: bool) -> u64 {
    let least = if is_complete { 0 } else { capacity / INITIAL_RESERVE_DIVISOR };
    peak_demand.max(least).min(capacity / MAX_RESERVE_DIVISOR)
}
