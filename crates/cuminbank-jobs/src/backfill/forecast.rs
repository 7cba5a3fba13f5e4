//! Forecast of when an executor has room for a task.

use std::time::Duration;

use crate::{ids::MonotonicTime, job::TaskNeeds};

/// Divisor of the time that a run has taken, for the time that it is still expected to take once it
/// has exceeded its expected run time.
const OVERRUN_DIVISOR: u32 = 4;
/// Minimum time that a run is expected to go on, which includes the report of its end.
const MIN_REMAINING: Duration = Duration::from_millis(20);

/// Returns the expected remaining time of a run that has lasted for `elapsed`. Long runs are
/// underestimated most, so the longer a run has exceeded its expected time, the longer it goes on.
pub fn remaining_time(elapsed: Duration, expected: Duration) -> Duration {
    let remaining = match elapsed < expected {
        true => expected - elapsed,
        false => elapsed / OVERRUN_DIVISOR,
    };
    remaining.max(MIN_REMAINING)
}

/// Run that is expected to end, with what it reserves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunningTask {
    /// Expected end.
    pub ends: MonotonicTime,
    /// Reserved resources.
    pub needs: TaskNeeds,
}

/// Room for a task on an executor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomForecast {
    /// When there is room for the first time.
    pub begins: MonotonicTime,
    /// Resources that are then free in addition to those of the task.
    pub spare: TaskNeeds,
}

/// Returns when an executor with some free resources is expected to have room for a task, or `None`
/// if the runs that end by themselves do not leave enough. Sorts these runs by their end.
pub fn forecast_room(
    now: MonotonicTime,
    free: TaskNeeds,
    runs: &mut [RunningTask],
    needs: &TaskNeeds,
) -> Option<RoomForecast> {
    runs.sort_unstable_by_key(|run| run.ends);
    let mut free = free;
    let mut begins = now;
    let mut ends = runs.iter();
    loop {
        if let Some(spare) = subtract(&free, needs) {
            return Some(RoomForecast { begins, spare });
        }
        let run = ends.next()?;
        begins = begins.max(run.ends);
        free = add(&free, &run.needs);
    }
}

/// Returns what is left of some resources, or `None` if they do not suffice.
pub(super) fn subtract(free: &TaskNeeds, needs: &TaskNeeds) -> Option<TaskNeeds> {
    Some(TaskNeeds {
        cpu_millis: free.cpu_millis.checked_sub(needs.cpu_millis)?,
        memory_mb: free.memory_mb.checked_sub(needs.memory_mb)?,
        gpus: free.gpus.checked_sub(needs.gpus)?,
    })
}

fn add(free: &TaskNeeds, needs: &TaskNeeds) -> TaskNeeds {
    TaskNeeds {
        cpu_millis: free.cpu_millis.saturating_add(needs.cpu_millis),
        memory_mb: free.memory_mb.saturating_add(needs.memory_mb),
        gpus: free.gpus.saturating_add(needs.gpus),
    }
}
