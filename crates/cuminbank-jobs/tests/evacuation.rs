//! Evacuations of availability zones: their executors must get no new work, and the work in the
//! zone must go on or continue elsewhere.

mod support;

use std::{collections::BTreeSet, time::Duration};

use cuminbank_jobs::{
    evacuation::ZoneEvacuations,
    guards::JobGuards,
    job::{JobOutcome, JobPhase, JobRecord, JobStep, TaskNeeds},
    order::RunEnd,
};
use support::{
    jobs::{job, step},
    simulation::{InjectedFault, MessageLosses, SimulatedPool},
};

const SUBMITTED: Duration = Duration::from_secs(3);
const LONG: Duration = Duration::from_secs(600);

/// Returns a pool with two executors in each of the zones `z0` to `z2`.
fn zoned_pool(seed: u64, instances: usize) -> SimulatedPool {
    let mut pool = SimulatedPool::new(seed, instances, 6);
    for (number, executor) in pool.executors.iter_mut().enumerate() {
        executor.zone = format!("z{}", number / 2);
    }
    pool
}

fn evacuate(pool: &mut SimulatedPool, zone: &str, span: Duration) {
    let zone = zone.to_owned();
    pool.fault_at(pool.now, InjectedFault::EvacuateZone { zone, span });
}

/// Returns the number of runs in each zone.
fn runs_by_zone(pool: &SimulatedPool) -> [usize; 3] {
    [0, 2, 4].map(|first| {
        pool.executors[first..first + 2].iter().map(|executor| executor.running.len()).sum()
    })
}

fn service(tasks: u32) -> JobRecord {
    job(vec![JobStep { long_running: true, ..step(tasks, &[]) }])
}

fn assert_clean(pool: &SimulatedPool) {
    assert!(pool.checks.violations.is_empty(), "{:#?}", pool.checks.violations);
}

// Guards against starting work in a zone under evacuation, and against a zone that stays closed
// after the evacuation was taken back.
#[test]
fn evacuated_zone_gets_no_work_until_it_is_reopened() {
    let plan = |_, _| (Some(Duration::from_millis(300)), RunEnd::Done);
    let mut pool = zoned_pool(3, 3).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    evacuate(&mut pool, "z1", Duration::from_secs(6));
    pool.run_until(SUBMITTED + Duration::from_millis(200));
    (0..20).for_each(|id| pool.submit(id, job(vec![step(6, &[])])));
    pool.run_until(SUBMITTED + Duration::from_secs(5));
    assert_eq!(pool.executors[2].last_number + pool.executors[3].last_number, 0);
    assert!((0..20).all(|id| pool.phase(id) == Some(JobPhase::Ended(JobOutcome::Completed))));
    pool.run_until(SUBMITTED + Duration::from_secs(7));
    (20..40).for_each(|id| pool.submit(id, job(vec![step(6, &[])])));
    pool.run_until(SUBMITTED + Duration::from_secs(12));
    assert!(pool.executors[2].last_number > 0 && pool.executors[3].last_number > 0);
    pool.check_end();
    assert_clean(&pool);
}

// Guards against a successor that starts work in a zone whose evacuation began under the owner
// before it.
#[test]
fn evacuation_outlives_its_owner() {
    let plan = |_, _| (Some(Duration::from_millis(300)), RunEnd::Done);
    let mut pool = zoned_pool(5, 3).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    evacuate(&mut pool, "z0", LONG);
    pool.run_until(SUBMITTED + Duration::from_secs(1));
    let instance = pool.owner().expect("an instance owns the pool");
    pool.fault_at(pool.now, InjectedFault::KillInstance { instance, down: LONG });
    pool.run_until(SUBMITTED + Duration::from_secs(8));
    assert_ne!(pool.owner(), Some(instance));
    (0..20).for_each(|id| pool.submit(id, job(vec![step(6, &[])])));
    pool.run_until(SUBMITTED + Duration::from_secs(14));
    pool.check_end();
    assert_clean(&pool);
    assert_eq!(pool.executors[0].last_number + pool.executors[1].last_number, 0);
}

// Guards against discarding running work: an evacuation only forbids starts.
#[test]
fn running_tasks_stay_in_an_evacuated_zone() {
    let plan = |_, _| (Some(LONG), RunEnd::Done);
    let mut pool = zoned_pool(7, 2).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    // Six executors with eight cores each.
    pool.submit(1, service(48));
    pool.run_until(SUBMITTED + Duration::from_secs(1));
    assert_eq!(runs_by_zone(&pool), [16; 3]);
    evacuate(&mut pool, "z0", LONG);
    pool.run_until(SUBMITTED + Duration::from_secs(10));
    assert_eq!(runs_by_zone(&pool), [16; 3]);
    assert_clean(&pool);
}

// Guards against work that waits for ever when the whole pool was evacuated for a while.
#[test]
fn work_goes_on_after_all_zones_were_evacuated() {
    let plan = |_, _| (Some(Duration::from_millis(300)), RunEnd::Done);
    let mut pool = zoned_pool(11, 2).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    for zone in ["z0", "z1", "z2", "no-such-zone"] {
        evacuate(&mut pool, zone, Duration::from_secs(8));
    }
    pool.run_until(SUBMITTED + Duration::from_millis(200));
    (0..10).for_each(|id| pool.submit(id, job(vec![step(4, &[]), step(2, &[0])])));
    pool.run_until(SUBMITTED + Duration::from_secs(7));
    assert_eq!(pool.executors.iter().map(|executor| executor.last_number).sum::<u64>(), 0);
    pool.run_until(SUBMITTED + Duration::from_secs(14));
    pool.check_end();
    assert_clean(&pool);
}

// Guards against a gang of which some members were started and the others withdrawn, because only
// these were to run in the evacuated zone.
#[test]
fn gang_is_withdrawn_whole() {
    let plan = |_, _| (Some(LONG), RunEnd::Done);
    let mut pool = zoned_pool(13, 1).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    // Starts on these executors get no reply, so the owner does not know whether they run.
    let cut = InjectedFault::CutFromExecutors {
        instance: 0,
        executors: vec![0, 1],
        span: Duration::from_millis(900),
    };
    pool.fault_at(pool.now, cut);
    let needs = TaskNeeds { cpu_millis: 7_000, memory_mb: 1_000, gpus: 0 };
    pool.submit(1, job(vec![JobStep { gang: true, needs, ..step(6, &[]) }]));
    pool.run_until(SUBMITTED + Duration::from_millis(300));
    assert_eq!(runs_by_zone(&pool), [0, 2, 2]);
    evacuate(&mut pool, "z0", Duration::from_secs(4));
    pool.run_until(SUBMITTED + Duration::from_millis(1_300));
    assert_eq!(pool.running(1), 0, "{:?}", runs_by_zone(&pool));
    pool.run_until(SUBMITTED + Duration::from_secs(7));
    assert_eq!(pool.running(1), 6);
}

/// Simulates evacuations beside other faults, with orders that are lost and repeated.
fn simulate(seed: u64, guards: JobGuards) -> SimulatedPool {
    let losses =
        MessageLosses { orders_lost: 8, orders_late: (seed % 2) as u32 * 4, writes_lost: 5 };
    let mut pool = zoned_pool(seed, 4).with_losses(losses).with_guards(guards);
    for _ in 0..10 {
        let instance = pool.random_number(0..4) as usize;
        let span = Duration::from_millis(pool.random_number(300..9_000));
        let zone = format!("z{}", pool.random_number(0..3));
        let executor = pool.random_number(0..6) as usize;
        let fault = match pool.random_number(0..9) {
            0 => InjectedFault::KillInstance { instance, down: span / 4 },
            1 => InjectedFault::StopInstance { instance, down: span / 4 },
            2 => InjectedFault::FreezeInstance { instance, span: span / 2 },
            3 => InjectedFault::CutFromStore { instance, span },
            4 => InjectedFault::CrashExecutor { executor, down: Some(span) },
            _ => InjectedFault::EvacuateZone { zone, span },
        };
        let at = Duration::from_millis(pool.random_number(3_000..28_000));
        pool.fault_at(at, fault);
    }
    for id in 0..60 {
        pool.run_until(Duration::from_millis(2_000 + id * 400));
        let steps = match id % 3 {
            0 => vec![step(4, &[])],
            1 => vec![step(2, &[]), step(4, &[0])],
            _ => vec![step(5, &[]), step(2, &[0])],
        };
        pool.submit(id, job(steps));
    }
    pool.run_until(Duration::from_secs(60));
    // No messages are lost from here on, so that all jobs can end before the final check.
    pool.losses = MessageLosses::default();
    pool.run_until(Duration::from_secs(85));
    pool.check_end();
    pool
}

// Guards against starts in an evacuated zone, and against duplicate or lost work because starts
// were withdrawn, under faults. Without the guard the check must find starts.
#[test]
fn evacuations_hold_under_faults() {
    for seed in 0..16 {
        let pool = simulate(seed, JobGuards::default());
        assert!(pool.checks.violations.is_empty(), "seed {seed}: {:#?}", pool.checks.violations);
    }
    let guards = JobGuards { heeds_evacuations: false, ..JobGuards::default() };
    let found = (0..10).any(|seed| !simulate(seed, guards).checks.violations.is_empty());
    assert!(found, "no violation found without heeds_evacuations");
}

// Guards against a zone that stays closed because its evacuation was taken back while the history
// of the store was lost, or at once.
#[test]
fn full_read_replaces_earlier_changes() {
    let mut evacuations = ZoneEvacuations::default();
    assert!(!evacuations.update("z0", true) && evacuations.zones().is_none());
    assert!(evacuations.replace(BTreeSet::from(["z0".to_owned()])));
    assert!(evacuations.update("z1", true) && !evacuations.update("z1", true));
    assert!(evacuations.update("z1", false) && !evacuations.update("z1", false));
    assert!(evacuations.replace(BTreeSet::new()));
    assert_eq!(evacuations.zones(), Some(&BTreeSet::new()));
}
