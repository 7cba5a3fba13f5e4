//! Jobs and pools for tests of tasks that wait.

use std::time::Duration;

use cuminbank_jobs::{
    ids::JobId,
    job::{JobRecord, JobStep, TaskName},
    order::RunEnd,
};

use super::{
    jobs::{job, step},
    simulation::SimulatedPool,
};

/// Time at which the first job of a test is submitted.
pub const SUBMITTED: Duration = Duration::from_secs(3);
/// Time after which a long-running task must have started if executors have room for it.
pub const START_LIMIT: Duration = Duration::from_secs(3);
/// Run time of a task that goes on beyond the end of each test.
pub const LASTING: Duration = Duration::from_secs(600);
/// Long-running job of a test, beside others with lower ids.
pub const LASTING_JOB: JobId = 1_000;

/// Returns a step of long-running tasks that need one core each.
pub fn long_running(count: u32) -> JobStep {
    JobStep { long_running: true, ..step(count, &[]) }
}

/// Returns a job that is accepted now, so that it can still meet its objective.
pub fn record(pool: &SimulatedPool, step: JobStep) -> JobRecord {
    // The wall clock of the simulation starts at 1,000 s.
    let accepted_at = Duration::from_secs(1_000) + pool.now;
    JobRecord { accepted_at, ..job(vec![step]) }
}

/// Submits a job that is accepted now.
pub fn submit(pool: &mut SimulatedPool, id: JobId, step: JobStep) {
    let record = record(pool, step);
    pool.submit(id, record);
}

/// Sets how long the runs of a pool take, and runs it until [`SUBMITTED`].
pub fn with_lengths(pool: SimulatedPool, length: fn(TaskName) -> Duration) -> SimulatedPool {
    let plan = move |task, _| (Some(length(task)), RunEnd::Done);
    let mut pool = pool.with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    pool
}

/// Returns the run time of a task in a burst: that of [`LASTING_JOB`] goes on.
pub fn burst_length(task: TaskName) -> Duration {
    match task.job {
        LASTING_JOB => LASTING,
        _ => Duration::from_millis(400),
    }
}

/// Submits short jobs that need twice the 16 cores of two executors, and [`LASTING_JOB`] among
/// them, which has to run after `limit`.
pub fn play_burst(pool: &mut SimulatedPool, jobs: u64, limit: Duration) {
    for id in 0..jobs {
        submit(pool, id, step(8, &[]));
        if id == 20 {
            submit(pool, LASTING_JOB, long_running(1));
        }
        pool.run_until(pool.now + Duration::from_millis(100));
        if id == 20 + limit.as_millis() as u64 / 100 {
            assert_eq!(pool.running(LASTING_JOB), 1);
        }
    }
}
