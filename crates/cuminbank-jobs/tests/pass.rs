//! Tests of long queues on many executors: the work done in one call of the scheduler and the
//! number of starts in flight.

mod support;

use std::{collections::BTreeMap, time::Duration};

use cuminbank_jobs::{
    job::{AdviceTerms, JobStep, TaskNeeds},
    order::RunEnd,
};
use support::{
    jobs::{job, step},
    simulation::SimulatedPool,
};

const EXECUTORS: usize = 150;
const SUBMITTED: Duration = Duration::from_secs(3);
/// Smallest share of a core of an instance, and the resulting limit of work units per call.
const WEAK_SHARE: f64 = 0.12;
const WEAK_UNITS: u32 = 3_840;
/// Work units for evaluating every executor once, by which a slice of a pass may exceed its limit.
const FULL_SCAN_UNITS: u32 = EXECUTORS as u32 * 9 + 200;

/// Prepares a pool with a backlog of short tasks with different needs.
fn backlog(pool: SimulatedPool, jobs: u64) -> SimulatedPool {
    let plan = |_, _| (Some(Duration::from_millis(300)), RunEnd::Done);
    let mut pool = pool.with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    for id in 0..jobs {
        let needs = TaskNeeds { cpu_millis: 900 + id as u32, memory_mb: 500, gpus: 0 };
        pool.submit(id, job(vec![JobStep { needs, ..step(20, &[]) }]));
    }
    pool
}

// Guards against a scheduler call that takes so long that the ownership lease expires. An owner of
// 610 executors once spent a second in one call with a thousand ready tasks.
#[test]
fn long_queue_is_placed_in_slices() {
    let pool = SimulatedPool::new(5, 1, EXECUTORS).with_processor_share(WEAK_SHARE);
    let mut pool = backlog(pool, 100);
    pool.run_until(SUBMITTED + Duration::from_secs(10));
    assert!(pool.max_units <= WEAK_UNITS + FULL_SCAN_UNITS, "{} units in a call", pool.max_units);
    for id in 0..100 {
        assert!(pool.checks.is_done(id), "job {id} is not done");
    }
    assert!(pool.checks.violations.is_empty(), "{:#?}", pool.checks.violations);
}

// Guards against starts that occupy a narrow link and delay holds and the renewal of the ownership.
// A start takes 1,700 bytes on the owner's link, or 300 if relayed, and the starts in flight may
// occupy the link for 80 ms.
#[test]
fn narrow_link_limits_the_starts_in_flight() {
    for (mbps, bytes) in [(1.0, 300.0), (2.0, 300.0), (25.0, 1_700.0)] {
        let pool = SimulatedPool::new(6, 1, EXECUTORS).with_link(mbps);
        let mut pool = backlog(pool, 60);
        pool.run_until(SUBMITTED + Duration::from_secs(8));
        let backlog_seconds = pool.max_starts as f64 * bytes * 8.0 / (mbps * 1_000_000.0);
        assert!(backlog_seconds <= 0.08, "{mbps} Mbit/s: {} starts in flight", pool.max_starts);
        for id in 0..60 {
            assert!(pool.checks.is_done(id), "{mbps} Mbit/s: job {id} is not done");
        }
    }
}

// Guards against overbooking executors because the result of one search is used for all tasks of a
// step.
#[test]
fn tasks_of_a_step_share_one_search() {
    let mut pool = backlog(SimulatedPool::new(7, 1, 6), 6);
    let mut max_runs = 0;
    for tick in 0..400 {
        pool.run_until(SUBMITTED + Duration::from_millis(tick * 10));
        let used = pool.executors.iter().map(|executor| executor.running.len()).max();
        max_runs = max_runs.max(used.unwrap_or_default());
    }
    let done: BTreeMap<u64, bool> = (0..6).map(|id| (id, pool.checks.is_done(id))).collect();
    assert!(done.values().all(|done| *done), "{done:?}");
    // Each executor has eight cores, and each task needs at least nine tenths of a core.
    assert!(max_runs <= 8, "{max_runs} runs on an executor");
}

// Guards against a second scan of the executors after a failed search of a step with a limit of
// tasks per executor.
#[test]
fn step_at_its_limit_is_searched_once_in_a_pass() {
    let plan = |_, _| (Some(Duration::from_secs(600)), RunEnd::Done);
    let mut pool = SimulatedPool::new(8, 1, EXECUTORS).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    let count = EXECUTORS as u32 + 1;
    pool.submit(
        1,
        job(vec![JobStep { max_per_executor: 1, long_running: true, ..step(count, &[]) }]),
    );
    pool.run_until(SUBMITTED + Duration::from_secs(1));
    assert_eq!(pool.running(1), EXECUTORS);
    pool.max_units = 0;
    pool.run_until(pool.now + Duration::from_secs(1));
    // A unit for the job, and one per executor when the pass begins and for the search.
    assert_eq!(pool.max_units, 1 + 2 * EXECUTORS as u32);
}

// Guards against evaluating executors without free capacity in full for a waiting gang, which makes
// a pass over many gangs slow in a full pool.
#[test]
fn gang_without_room_costs_one_unit_per_executor() {
    let mut pool = SimulatedPool::new(9, 1, EXECUTORS);
    pool.run_until(SUBMITTED);
    let needs = TaskNeeds { cpu_millis: 9_000, memory_mb: 500, gpus: 0 };
    pool.submit(1, job(vec![JobStep { gang: true, needs, ..step(2, &[]) }]));
    pool.run_until(SUBMITTED + Duration::from_millis(500));
    pool.max_units = 0;
    pool.run_until(pool.now + Duration::from_secs(1));
    // A unit for the job, and one per executor when the pass begins and for the search.
    assert_eq!(pool.max_units, 1 + 2 * EXECUTORS as u32);
}

// Guards against a pass that searches for tickets for each of many steps that the advice service
// allows nowhere.
#[test]
fn searches_for_tickets_in_a_pass_are_bounded() {
    const JOBS: u32 = 100;
    const SEARCHES: u32 = 32;
    let mut pool = SimulatedPool::new(10, 1, EXECUTORS);
    pool.run_until(SUBMITTED);
    for id in 1..=JOBS {
        let mut record = job(vec![step(1, &[])]);
        record.terms.advice =
            Some(AdviceTerms { decision_ms: 5, per_executor_ms: 1, valid_ms: 3_000 });
        pool.submit(u64::from(id), record);
    }
    pool.run_until(SUBMITTED + Duration::from_secs(10));
    pool.max_units = 0;
    let requests = pool.advice_requests.len();
    pool.run_until(pool.now + Duration::from_secs(1));
    assert_eq!(pool.advice_requests.len(), requests);
    // Two units per job, and one per executor when the pass begins and for each search.
    let limit = JOBS * 2 + EXECUTORS as u32 * (1 + SEARCHES);
    assert!((1..=limit).contains(&pool.max_units), "{} units in a call", pool.max_units);
}

// Guards against a pass that skips thousands of steps in one call, as if they cost nothing.
#[test]
fn skipped_steps_are_counted() {
    const STEPS: usize = 1_000;
    let mut pool = SimulatedPool::new(11, 1, EXECUTORS).with_processor_share(WEAK_SHARE);
    pool.run_until(SUBMITTED);
    let needs = TaskNeeds { cpu_millis: 9_000, memory_mb: 500, gpus: 0 };
    for id in 1..=20 {
        pool.submit(id, job(vec![JobStep { needs, ..step(1, &[]) }; STEPS]));
    }
    pool.run_until(SUBMITTED + Duration::from_secs(1));
    pool.max_units = 0;
    pool.run_until(pool.now + Duration::from_secs(1));
    // Without the skipped steps, the whole pass takes a unit for each job, and two per executor.
    assert!(pool.max_units > WEAK_UNITS, "{} units in a call", pool.max_units);
    assert!(pool.max_units <= WEAK_UNITS + FULL_SCAN_UNITS, "{} units in a call", pool.max_units);
}
