//! Drains: long-running tasks must go on for as long as their executor stays, and must be stopped
//! before it leaves.

mod support;

use std::time::Duration;

use cuminbank_jobs::{
    ids::MonotonicTime,
    job::{JobOutcome, JobPhase, TaskName},
};
use support::{
    jobs::step,
    simulation::SimulatedPool,
    waiting::{burst_length, long_running, submit, with_lengths, LASTING, LASTING_JOB, SUBMITTED},
};

/// Tasks that each executor of a pool can run.
const CORES: u32 = 8;
/// Time until the list of executors shows a change.
const LIST_DELAY: Duration = Duration::from_secs(1);

/// Returns a pool whose executors are all full of long-running tasks.
fn full_pool(executors: u32, length: fn(TaskName) -> Duration) -> SimulatedPool {
    let mut pool = with_lengths(SimulatedPool::new(4, 1, executors as usize), length);
    submit(&mut pool, LASTING_JOB, long_running(executors * CORES));
    pool.run_until(SUBMITTED + Duration::from_secs(1));
    assert_eq!(pool.running(LASTING_JOB), (executors * CORES) as usize);
    pool
}

/// Drains an executor that stays for the given time and returns when it leaves.
fn drain(pool: &mut SimulatedPool, executor: usize, remaining: Duration) -> MonotonicTime {
    pool.executors[executor].draining = true;
    pool.executors[executor].remaining = remaining;
    pool.now + remaining
}

// Guards against long-running tasks that are stopped when a drain begins and then wait without
// room, although their executor stays for seconds.
#[test]
fn long_running_tasks_go_on_while_their_executor_drains() {
    let mut pool = full_pool(2, |_| LASTING);
    let leaves_at = drain(&mut pool, 0, Duration::from_secs(10));
    pool.run_until(leaves_at - Duration::from_secs(3));
    assert_eq!(pool.running(LASTING_JOB), 2 * CORES as usize);
}

// Guards against long-running tasks of a draining executor that take the room of short jobs while
// it stays.
#[test]
fn drains_leave_room_to_short_jobs() {
    const SHORT_JOBS: u64 = 15;
    let mut pool = with_lengths(SimulatedPool::new(4, 1, 2), burst_length);
    pool.executors[1].draining = true;
    pool.run_until(SUBMITTED + LIST_DELAY);
    submit(&mut pool, LASTING_JOB, long_running(CORES));
    pool.run_until(pool.now + LIST_DELAY);
    assert_eq!(pool.running(LASTING_JOB), CORES as usize);
    pool.executors[1].draining = false;
    drain(&mut pool, 0, Duration::from_secs(10));
    pool.run_until(pool.now + LIST_DELAY);
    for id in 0..SHORT_JOBS {
        submit(&mut pool, id, step(CORES, &[]));
        pool.run_until(pool.now + Duration::from_millis(500));
    }
    let completed = (0..SHORT_JOBS)
        .filter(|id| pool.phase(*id) == Some(JobPhase::Ended(JobOutcome::Completed)));
    assert_eq!(completed.count() as u64, SHORT_JOBS);
}

// Guards against long-running tasks that stay on a draining executor, where a fault may cut them off
// before they are stopped, although the pool has room to spare.
#[test]
fn long_running_tasks_leave_a_draining_executor_early_if_the_pool_has_room() {
    let mut pool = with_lengths(SimulatedPool::new(4, 1, 4), |_| LASTING);
    submit(&mut pool, LASTING_JOB, long_running(CORES));
    pool.run_until(SUBMITTED + LIST_DELAY);
    let busy = pool.executors.iter().position(|executor| !executor.running.is_empty());
    let busy = busy.expect("an executor runs the tasks");
    drain(&mut pool, busy, Duration::from_secs(10));
    pool.run_until(pool.now + LIST_DELAY * 3);
    assert!(pool.executors[busy].running.is_empty(), "{:?}", pool.executors[busy].running);
    assert_eq!(pool.running(LASTING_JOB), CORES as usize);
}

// Guards against long-running tasks that are lost with their executor.
#[test]
fn long_running_tasks_are_stopped_before_their_executor_leaves() {
    let mut pool = full_pool(2, |_| LASTING);
    let leaves_at = drain(&mut pool, 0, Duration::from_secs(10));
    pool.run_until(leaves_at - Duration::from_millis(100));
    assert!(pool.executors[0].running.is_empty(), "{:?}", pool.executors[0].running);
}

// Guards against the same if the first report of the drain was received late, with the time that
// was left when it was sent.
#[test]
fn late_report_of_a_drain_does_not_delay_the_stop() {
    const LATE: Duration = Duration::from_secs(4);
    let mut pool = full_pool(2, |_| LASTING);
    drain(&mut pool, 0, Duration::from_secs(10));
    pool.run_until(pool.now + LIST_DELAY);
    let leaves_at = drain(&mut pool, 0, Duration::from_secs(9) - LATE);
    pool.run_until(leaves_at - Duration::from_millis(100));
    assert!(pool.executors[0].running.is_empty(), "{:?}", pool.executors[0].running);
}
