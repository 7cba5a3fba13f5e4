//! Simulations of several instances in virtual time with random faults, reproducible by seed. Under
//! any faults no task may run twice at the same time or again after its result, start before the
//! steps that it depends on are complete, or start after its last attempt, and every job must end.

mod support;

use std::time::Duration;

use cuminbank_jobs::{guards::JobGuards, order::RunEnd};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{
    jobs::{job, step},
    seed_count,
    simulation::{InjectedFault, MessageLosses, SimulatedPool},
};

const FAULTS_UNTIL: Duration = Duration::from_secs(32);
const END: Duration = Duration::from_secs(75);

/// Number of seeds to run by default.
const SEEDS: u64 = 40;

fn random_fault(pool: &mut SimulatedPool, instances: u64, executors: u64) -> InjectedFault {
    let instance = pool.random_number(0..instances) as usize;
    let executor = pool.random_number(0..executors) as usize;
    let span = Duration::from_millis(pool.random_number(300..8_000));
    match pool.random_number(0..10) {
        0 => InjectedFault::KillInstance { instance, down: span / 4 },
        1 => InjectedFault::StopInstance { instance, down: span / 4 },
        2 => InjectedFault::FreezeInstance { instance, span: span / 2 },
        3 => InjectedFault::CutFromStore { instance, span },
        4 => InjectedFault::RevokeOwner,
        5 | 6 => {
            let cut = (0..executors as usize).filter(|_| pool.random_number(0..2) == 0).collect();
            InjectedFault::CutFromExecutors { instance, executors: cut, span }
        }
        7 => InjectedFault::CrashExecutor { executor, down: Some(span) },
        8 => InjectedFault::CrashExecutor { executor, down: Some(span / 8) },
        _ => InjectedFault::DrainExecutor { executor: pool.random_number(0..2) as usize },
    }
}

fn simulate(seed: u64, guards: JobGuards, faults: u64) -> SimulatedPool {
    simulate_jobs(seed, guards, faults, |pool| pool, 1)
}

/// Simulates runs that outlast a change of owner.
fn simulate_long_runs(seed: u64) -> SimulatedPool {
    let mut lengths = ChaCha8Rng::seed_from_u64(seed);
    let plan = move |_, _| {
        let end = if lengths.random_range(0..10) == 0 { RunEnd::Failed } else { RunEnd::Done };
        (Some(Duration::from_millis(lengths.random_range(3_000..9_000))), end)
    };
    simulate_jobs(seed, JobGuards::default(), 14, |pool| pool.with_plan(Box::new(plan)), 2)
}

/// Simulates random faults, and one of `every` jobs.
fn simulate_jobs(
    seed: u64,
    guards: JobGuards,
    faults: u64,
    adapt: impl FnOnce(SimulatedPool) -> SimulatedPool,
    every: usize,
) -> SimulatedPool {
    let (instances, executors) = (4, 8);
    let losses = match seed % 3 {
        0 => MessageLosses::default(),
        1 => MessageLosses { orders_lost: 5, orders_late: 0, writes_lost: 10 },
        _ => MessageLosses { orders_lost: 3, orders_late: 5, writes_lost: 20 },
    };
    let pool =
        SimulatedPool::new(seed, instances, executors).with_losses(losses).with_guards(guards);
    let mut pool = adapt(pool);
    for _ in 0..faults {
        let fault = random_fault(&mut pool, instances as u64, executors as u64);
        let at = Duration::from_millis(pool.random_number(3_000..FAULTS_UNTIL.as_millis() as u64));
        pool.fault_at(at, fault);
    }
    for id in (0..60).step_by(every) {
        let at = Duration::from_millis(2_000 + id * 450);
        pool.run_until(at);
        let steps = match id % 3 {
            0 => vec![step(3, &[])],
            1 => vec![step(4, &[]), step(2, &[0])],
            _ => vec![step(2, &[]), step(2, &[0]), step(1, &[0, 1])],
        };
        pool.submit(id, job(steps));
        if id % 17 == 16 {
            pool.cancel(id - 2);
        }
    }
    pool.run_until(END);
    // No messages are lost from here on, so that all jobs can end before the final check.
    pool.losses = MessageLosses::default();
    pool.run_until(END + Duration::from_secs(25));
    pool.check_end();
    pool
}

fn describe_violations(seed: u64, pool: &SimulatedPool) -> String {
    if let Ok(part) = std::env::var("CUMINBANK_TRACE") {
        for line in pool.trace.iter().filter(|line| line.contains(&part)) {
            eprintln!("{line}");
        }
    }
    format!("seed {seed}: {:#?}", pool.checks.violations)
}

// Guards against duplicate, lost and premature runs, and jobs that never end, under all kinds of
// faults.
#[test]
fn guarantees_are_kept_under_faults() {
    for seed in 0..seed_count(SEEDS) {
        let pool = simulate(seed, JobGuards::default(), 14);
        assert!(pool.checks.violations.is_empty(), "{}", describe_violations(seed, &pool));
    }
}

// Guards against the same for runs that the next owner knows and starts again before it knows all
// runs.
#[test]
fn guarantees_are_kept_for_long_runs_under_faults() {
    for seed in 0..seed_count(SEEDS) {
        let pool = simulate_long_runs(seed);
        assert!(pool.checks.violations.is_empty(), "{}", describe_violations(seed, &pool));
    }
}

// Guards against a simulation that finds no violations because nothing runs.
#[test]
fn every_job_ends_without_faults() {
    let pool = simulate(0, JobGuards::default(), 0);
    assert!(pool.checks.violations.is_empty(), "{}", describe_violations(0, &pool));
}

fn finds_violation(guards: JobGuards, max_seeds: u64) -> bool {
    (0..max_seeds).any(|seed| !simulate(seed, guards, 14).checks.violations.is_empty())
}

// Guards against checks that miss the faults prevented by the safety mechanisms: with one of them
// off, some seed must fail.
#[test]
fn each_guard_is_needed() {
    let on = JobGuards::default();
    assert!(
        finds_violation(JobGuards { reconciles_first: false, ..on }, 60),
        "no violation found without reconciles_first"
    );
    assert!(
        finds_violation(JobGuards { records_before_ack: false, ..on }, 60),
        "no violation found without records_before_ack"
    );
}

/// Simulates an owner that is cut off from the store and from the other instances. The owner
/// reaches one half of the executors, the other instances reach the other half.
fn cut_off_owner(guards: JobGuards) -> SimulatedPool {
    let lengths = |_, _| (Some(Duration::from_secs(12)), RunEnd::Done);
    let mut pool = SimulatedPool::new(7, 3, 8).with_guards(guards).with_plan(Box::new(lengths));
    pool.run_until(Duration::from_secs(3));
    pool.submit(1, job(vec![step(16, &[])]));
    pool.run_until(Duration::from_secs(5));
    let instance = pool.owner().expect("an instance owns the pool");
    let span = Duration::from_secs(7);
    pool.fault_at(pool.now, InjectedFault::CutFromStore { instance, span });
    for other in 0..3 {
        let executors = if other == instance { (0..4).collect() } else { (4..8).collect() };
        pool.fault_at(
            pool.now,
            InjectedFault::CutFromExecutors { instance: other, executors, span },
        );
    }
    pool.run_until(Duration::from_secs(60));
    pool.check_end();
    pool
}

// Guards against an owner restarting runs of unreachable executors whose leases its successor still
// renews.
#[test]
fn cut_off_owner_does_not_restart_runs_leased_by_its_successor() {
    let pool = cut_off_owner(JobGuards::default());
    assert!(pool.checks.violations.is_empty(), "{}", describe_violations(7, &pool));
    let guards = JobGuards { verifies_ownership: false, ..JobGuards::default() };
    assert!(
        !cut_off_owner(guards).checks.violations.is_empty(),
        "no violation found without verifies_ownership"
    );
}

/// Simulates an owner that is killed shortly after more runs have ended on draining executors than
/// one write can record.
fn kill_owner_with_unrecorded_runs(after: Duration) -> SimulatedPool {
    let lengths = |_, _| (Some(Duration::from_millis(1_200)), RunEnd::Done);
    let mut pool = SimulatedPool::new(11, 3, 6).with_plan(Box::new(lengths));
    let submitted = Duration::from_secs(3);
    pool.run_until(submitted);
    (0..40).for_each(|id| pool.submit(id, job(vec![step(1, &[])])));
    for executor in 0..3 {
        let at = submitted + Duration::from_millis(600);
        pool.fault_at(at, InjectedFault::DrainExecutor { executor });
    }
    pool.run_until(submitted + after);
    let instance = pool.owner().expect("an instance owns the pool");
    let down = Duration::from_secs(30);
    pool.fault_at(pool.now, InjectedFault::KillInstance { instance, down });
    pool.run_until(submitted + Duration::from_secs(20));
    pool.check_end();
    pool
}

// Guards against removing an executor from the roster while it reports ended runs that are not
// recorded yet. The next owner would restart their tasks, because it would not wait for the report.
#[test]
fn draining_executor_stays_in_roster_until_its_ended_runs_are_recorded() {
    for millis in (1_200..1_400).step_by(2) {
        let pool = kill_owner_with_unrecorded_runs(Duration::from_millis(millis));
        assert!(
            pool.checks.violations.is_empty(),
            "{millis} ms: {}",
            describe_violations(11, &pool)
        );
    }
}
