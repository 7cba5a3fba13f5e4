//! Simulates a zone that is cut off while jobs are in flight.

mod support;

use std::time::Duration;

use cuminbank_jobs::{
    job::{JobOutcome, JobPhase},
    order::RunEnd,
};
use support::{
    jobs::{job, step},
    simulation::{InjectedFault, SimulatedPool},
};

const SUBMITTED: Duration = Duration::from_secs(3);
const JOBS: u64 = 24;
const ZONES: usize = 3;

/// Returns a pool with four executors in each zone.
fn zoned_pool(seed: u64) -> SimulatedPool {
    let plan = |_, _| (Some(Duration::from_millis(800)), RunEnd::Done);
    let mut pool = SimulatedPool::new(seed, 2, 4 * ZONES).with_plan(Box::new(plan));
    for (number, executor) in pool.executors.iter_mut().enumerate() {
        executor.zone = format!("z{}", number % ZONES);
    }
    pool.run_until(SUBMITTED);
    pool
}

fn completed(pool: &SimulatedPool) -> usize {
    let done = Some(JobPhase::Ended(JobOutcome::Completed));
    (0..JOBS).filter(|id| pool.phase(*id) == done).count()
}

// Guards against a cut zone that delays nearly every job in flight, because each has tasks in all
// zones. Its share of the pool is a third.
#[test]
fn cut_zone_delays_only_the_jobs_gathered_there() {
    for seed in 0..6 {
        let mut pool = zoned_pool(seed);
        // Three quarters of the 96 cores.
        (0..JOBS).for_each(|id| pool.submit(id, job(vec![step(3, &[])])));
        pool.run_until(SUBMITTED + Duration::from_millis(300));
        let executors: Vec<usize> = (0..4 * ZONES).filter(|number| number % ZONES == 1).collect();
        for instance in 0..2 {
            let span = Duration::from_secs(5);
            let executors = executors.clone();
            let cut = InjectedFault::CutFromExecutors { instance, executors, span };
            pool.fault_at(pool.now, cut);
        }
        pool.run_until(SUBMITTED + Duration::from_secs(2));
        let in_time = completed(&pool);
        assert!(in_time >= 14, "seed {seed}: {in_time} of {JOBS} jobs in time");
        pool.run_until(SUBMITTED + Duration::from_secs(12));
        assert_eq!(completed(&pool), JOBS as usize);
        assert!(pool.checks.violations.is_empty(), "{:#?}", pool.checks.violations);
    }
}

// Guards against tasks that wait for room in the zone of their job while other zones have room.
#[test]
fn job_wider_than_a_zone_runs_at_once() {
    let mut pool = zoned_pool(1);
    pool.submit(1, job(vec![step(96, &[])]));
    pool.run_until(SUBMITTED + Duration::from_millis(500));
    assert_eq!(pool.running(1), 96);
}
