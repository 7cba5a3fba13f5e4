//! Queue order: which job gets free capacity first.
//!
//! Matters in bursts, when many jobs arrive at once and not all can meet their objective. Jobs that
//! can still meet it go first, ordered by priority class and then by the shortest remaining time.
//! Long-running jobs come next: each of their tasks holds its CPU for a minute, in which it could
//! run many short tasks, and they lose little by a short wait. Late jobs follow, shortest first.
//! Jobs that no longer count as served come last, in order of arrival.

use std::cmp::Ordering;

use crate::ids::MonotonicTime;

/// Multiple of its objective up to which a late job still counts as served.
const LATE_MULTIPLE: u32 = 3;
/// Percentage of the estimated remaining time that a feasible job must have left. Less than 100,
/// because estimates are imprecise.
const FEASIBLE_PERCENT: u32 = 80;

/// Properties of a job that determine its position in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobUrgency {
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Arrival time.
    pub arrived: MonotonicTime,
    /// Time by which the job must complete.
    pub deadline: MonotonicTime,
    /// Estimated remaining time.
    pub remaining: MonotonicTime,
    /// Whether its tasks run until the job is cancelled.
    pub long_running: bool,
}

/// Tier of a job in the queue, by the outcome it can still reach.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum JobTier {
    /// Can meet its objective.
    Feasible,
    /// Runs until it is cancelled.
    LongRunning,
    /// Can only complete late.
    Late,
    /// No longer counts as served.
    Overdue,
}

impl JobUrgency {
    /// Returns the tier of the job at a time.
    pub fn tier(&self, now: MonotonicTime) -> JobTier {
        if self.long_running {
            return JobTier::LongRunning;
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

/// Compares two jobs. The lesser one gets capacity first.
pub fn compare(now: MonotonicTime, left: &JobUrgency, right: &JobUrgency) -> Ordering {
    let tier = left.tier(now);
    let within = match tier {
        JobTier::Feasible => {
            left.priority.cmp(&right.priority).then(left.remaining.cmp(&right.remaining))
        }
        JobTier::Late => left.remaining.cmp(&right.remaining),
        JobTier::LongRunning | JobTier::Overdue => left.arrived.cmp(&right.arrived),
    };
    tier.cmp(&right.tier(now)).then(within)
}
