//! Queue order: which job is placed first.
//!
//! The order matters in bursts, when many jobs arrive at once and not all can meet their latency
//! objective. Jobs that can still meet it come first, ordered by priority and then by the shortest
//! remaining time. Long-running jobs come next: each of their tasks occupies its CPU for a minute,
//! in which the CPU could run many short tasks, and a short wait costs them little. A task that has
//! waited longer makes its job starved, which puts it before all others, since jobs that can meet
//! their objective may arrive without end. Late jobs follow, those with the shortest remaining time
//! first. Jobs so late that their results have no value come last, in order of arrival.

use std::{cmp::Ordering, time::Duration};

use crate::ids::MonotonicTime;

/// Multiple of its latency objective up to which the result of a late job still has value.
const LATE_MULTIPLE: u32 = 3;
/// Percentage of the estimated remaining time that must be left until the deadline for a job to
/// count as feasible. Less than 100, because estimates are imprecise.
const FEASIBLE_PERCENT: u32 = 80;

/// Wait of a long-running task after which its job comes first. A long-running task must not be
/// without a run for 6 s while executors have room.
pub const STARVED_WAIT: Duration = Duration::from_secs(2);

/// Properties of a job that determine its position in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobUrgency {
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Arrival time.
    pub arrived: MonotonicTime,
    /// Time by which the job must complete to meet its latency objective.
    pub deadline: MonotonicTime,
    /// Estimated time that the job still needs to run.
    pub remaining: MonotonicTime,
    /// Whether its tasks run until the job is cancelled.
    pub long_running: bool,
    /// Since when its ready task with the longest wait has been ready.
    pub ready_since: MonotonicTime,
}

/// Tier of a job in the queue, by the outcome it can still reach.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum JobTier {
    /// Runs until it is cancelled and has a task that has waited too long.
    Starved,
    /// Can meet its latency objective.
    Feasible,
    /// Runs until it is cancelled.
    LongRunning,
    /// Can only complete late.
    Late,
    /// Can only complete so late that its result has no value.
    Overdue,
}

impl JobUrgency {
    /// Returns the tier of the job at a time.
    pub fn tier(&self, now: MonotonicTime) -> JobTier {
        if self.long_running {
            return match now >= self.ready_since + STARVED_WAIT {
                true => JobTier::Starved,
                false => JobTier::LongRunning,
            };
        }
        let ready = now + self.remaining * FEASIBLE_PERCENT / 100;
        let objective = self.deadline.saturating_sub(self.arrived);
        if ready <= self.deadline {
            JobTier::Feasible
        } else if ready <= self.arrived + objective * LATE_MULTIPLE {
            JobTier::Late
        } else {
            JobTier::Overdue
        }
    }
}

/// Compares two jobs. The lesser one is placed first.
pub fn compare(now: MonotonicTime, left: &JobUrgency, right: &JobUrgency) -> Ordering {
    let tier = left.tier(now);
    let within = match tier {
        JobTier::Feasible => {
            left.priority.cmp(&right.priority).then(left.remaining.cmp(&right.remaining))
        }
        JobTier::Starved => left.ready_since.cmp(&right.ready_since),
        JobTier::Late => left.remaining.cmp(&right.remaining),
        JobTier::LongRunning | JobTier::Overdue => left.arrived.cmp(&right.arrived),
    };
    tier.cmp(&right.tier(now)).then(within)
}
