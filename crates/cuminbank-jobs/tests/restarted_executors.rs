//! Tests of executors that start again under their old name and take orders for their earlier
//! incarnation.

mod support;

use std::time::Duration;

use cuminbank::log::EPOCH_RAISED;
use cuminbank_jobs::{
    guards::JobGuards,
    lease_bounds::{is_lease_for, LEASE_TIME},
};
use support::{
    jobs::step,
    simulation::{InjectedFault, MessageLosses, SimulatedPool},
    waiting::{long_running, submit, with_lengths, LASTING, LASTING_JOB},
};

const MAX_LEASE: Duration = Duration::from_secs(10);
/// Time for which a crashed executor is down.
const DOWN: Duration = Duration::from_millis(400);

/// Restarts an executor while its owner waits for the reply to a hold, lets the owner start tasks
/// there, and cuts the executor off before the owner has noticed. Returns the violations.
fn play_unnoticed_restart(seed: u64, binds_leases: bool, owner_killed: bool) -> Vec<String> {
    let pool = SimulatedPool::new(seed, 3, 4).with_max_lease(MAX_LEASE);
    let mut pool = with_lengths(pool, |_| LASTING);
    (pool.binds_leases, pool.silent_crashes) = (binds_leases, true);
    let began = pool.now;
    let after = |millis| began + Duration::from_millis(millis);
    pool.fault_at(began, InjectedFault::CrashExecutor { executor: 0, down: Some(DOWN) });
    pool.run_until(after(450));
    submit(&mut pool, 1, step(20, &[]));
    for instance in 0..3 {
        let span = Duration::from_secs(12);
        let cut = InjectedFault::CutFromExecutors { instance, executors: vec![0], span };
        pool.fault_at(after(650), cut);
    }
    if owner_killed {
        let instance = pool.owner().expect("there is an owner");
        let down = Duration::from_secs(60);
        pool.fault_at(after(600), InjectedFault::KillInstance { instance, down });
    }
    pool.run_until(began + Duration::from_secs(25));
    std::mem::take(&mut pool.checks.violations)
}

// Guards against two runs of a task: a restarted executor takes a start for its earlier incarnation, with
// a lease that is longer than its owner, or the next one, takes it for.
#[test]
fn restarted_executor_gets_no_lease_for_its_earlier_incarnation() {
    for owner_killed in [false, true] {
        for seed in 0..20 {
            let violations = play_unnoticed_restart(seed, true, owner_killed);
            assert_eq!(violations, Vec::<String>::new(), "seed {seed}, killed: {owner_killed}");
        }
        let unbound = (0..20).flat_map(|seed| play_unnoticed_restart(seed, false, owner_killed));
        assert!(unbound.count() > 0, "killed: {owner_killed}");
    }
}

// Guards against a lease that is refused, or accepted, because of the latency or the drift of a clock.
#[test]
fn lease_fits_the_clock_that_it_was_computed_for() {
    let lease = LEASE_TIME.as_millis() as u64;
    assert!(is_lease_for(100_000, 100_000 + lease));
    // The executor's clock is 2 % slow, and its last reply is 1.5 s old.
    assert!(is_lease_for(100_000, 100_030 + lease));
    assert!(!is_lease_for(99_000, 100_000 + lease));
    assert!(!is_lease_for(0, 100_000));
    assert!(is_lease_for(u64::MAX, u64::MAX));
}

/// Restarts executors one after the other, while many orders are carried out seconds late. Returns the
/// violations.
fn play_late_orders(seed: u64, guards: JobGuards) -> Vec<String> {
    let pool = SimulatedPool::new(seed, 2, 4).with_guards(guards);
    let mut pool = with_lengths(pool, |_| Duration::from_secs(2));
    pool.losses = MessageLosses { orders_late: 20, ..MessageLosses::default() };
    pool.late_orders_cross_restarts = true;
    for id in 0..20 {
        submit(&mut pool, id, step(4, &[]));
        let crash = InjectedFault::CrashExecutor { executor: id as usize % 4, down: Some(DOWN) };
        pool.fault_at(pool.now + Duration::from_millis(300), crash);
        pool.run_until(pool.now + Duration::from_millis(700));
    }
    pool.run_until(pool.now + Duration::from_secs(20));
    std::mem::take(&mut pool.checks.violations)
}

// Guards against a task that runs twice, or again after its end: a restarted executor carries out orders
// that its earlier incarnation had received, seconds after its owner has noticed the restart.
#[test]
fn late_orders_of_an_earlier_incarnation_are_harmless() {
    for seed in 0..20 {
        let violations = play_late_orders(seed, JobGuards::default());
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
    let guards = JobGuards { fences_earlier_orders: false, ..JobGuards::default() };
    assert!((0..20).any(|seed| !play_late_orders(seed, guards).is_empty()));
}

// Guards against an owner that takes the rejection of its own overtaken order for that of a successor, and
// against instances that take an owner with a raised epoch for one that they have not seen.
#[test]
fn raised_epochs_do_not_end_or_delay_an_ownership() {
    let mut pool = with_lengths(SimulatedPool::new(4, 3, 4), |_| LASTING);
    submit(&mut pool, LASTING_JOB, long_running(8));
    pool.run_until(pool.now + Duration::from_secs(1));
    let instance = pool.owner().expect("there is an owner");
    for number in 0..12 {
        let crash = InjectedFault::CrashExecutor { executor: number % 4, down: Some(DOWN) };
        pool.fault_at(pool.now, crash);
        pool.run_until(pool.now + Duration::from_millis(400));
        assert_eq!(pool.owners(), [instance], "{:#?}", pool.trace);
    }
    pool.run_until(pool.now + Duration::from_secs(2));
    assert_eq!(pool.running(LASTING_JOB), 8);
    let raised = pool.trace.iter().filter(|line| line.contains(EPOCH_RAISED.summary));
    assert!(raised.count() >= 4, "{:#?}", pool.trace);
    let down = Duration::from_secs(60);
    pool.fault_at(pool.now, InjectedFault::KillInstance { instance, down });
    // The ownership's lease of 1.5 s, and the delay of a claim by an instance that knows the owner.
    pool.run_until(pool.now + Duration::from_millis(2_100));
    assert!(pool.owner().is_some(), "{:#?}", pool.trace);
    pool.run_until(pool.now + Duration::from_secs(2));
    assert_eq!(pool.running(LASTING_JOB), 8);
    assert!(pool.checks.violations.is_empty(), "{:#?}", pool.checks.violations);
}
