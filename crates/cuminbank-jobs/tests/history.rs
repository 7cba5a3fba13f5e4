//! Seeded histories of several instances in virtual time: whatever fails, no task runs twice at
//! once or after its result, none starts before the steps that it waits for or after its last
//! attempt, and each job ends.

mod support;

use std::time::Duration;

use cuminbank_jobs::{guards::JobGuards, order::RunEnd};
use support::{
    jobs::{job, step},
    world::{InjectedFault, MessageLosses, SimulatedPool},
};

const FAULTS_UNTIL: Duration = Duration::from_secs(32);
const END: Duration = Duration::from_secs(75);

/// Number of seeds; `CUMINBANK_SEEDS` plays more.
fn seeds() -> u64 {
    std::env::var("CUMINBANK_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(40)
}

fn draw_fault(world: &mut SimulatedPool, instances: u64, executors: u64) -> InjectedFault {
    let instance = world.draw(0..instances) as usize;
    let executor = world.draw(0..executors) as usize;
    let span = Duration::from_millis(world.draw(300..8_000));
    match world.draw(0..10) {
        0 => InjectedFault::KillInstance { instance, down: span / 4 },
        1 => InjectedFault::StopInstance { instance, down: span / 4 },
        2 => InjectedFault::FreezeInstance { instance, span: span / 2 },
        3 => InjectedFault::CutFromStore { instance, span },
        4 => InjectedFault::RevokeOwner,
        5 | 6 => {
            let cut = (0..executors as usize).filter(|_| world.draw(0..2) == 0).collect();
            InjectedFault::CutFromExecutors { instance, executors: cut, span }
        }
        7 => InjectedFault::CrashExecutor { executor, down: Some(span) },
        8 => InjectedFault::CrashExecutor { executor, down: Some(span / 8) },
        _ => InjectedFault::DrainExecutor { executor: world.draw(0..2) as usize },
    }
}

fn simulate(seed: u64, guards: JobGuards, faults: u64) -> SimulatedPool {
    let (instances, executors) = (4, 8);
    let losses = match seed % 3 {
        0 => MessageLosses::default(),
        1 => MessageLosses { orders_lost: 5, orders_late: 0, writes_lost: 10 },
        _ => MessageLosses { orders_lost: 3, orders_late: 5, writes_lost: 20 },
    };
    let mut world =
        SimulatedPool::new(seed, instances, executors).with_losses(losses).with_guards(guards);
    for _ in 0..faults {
        let fault = draw_fault(&mut world, instances as u64, executors as u64);
        let at = Duration::from_millis(world.draw(3_000..FAULTS_UNTIL.as_millis() as u64));
        world.fault_at(at, fault);
    }
    for id in 0..60 {
        let at = Duration::from_millis(2_000 + id * 450);
        world.run_until(at);
        let steps = match id % 3 {
            0 => vec![step(3, &[])],
            1 => vec![step(4, &[]), step(2, &[0])],
            _ => vec![step(2, &[]), step(2, &[0]), step(1, &[0, 1])],
        };
        world.submit(id, job(steps));
        if id % 17 == 16 {
            world.cancel(id - 2);
        }
    }
    world.run_until(END);
    // What was lost answers until here; the end is judged in calm.
    world.losses = MessageLosses::default();
    world.run_until(END + Duration::from_secs(25));
    world.check_end();
    world
}

fn show(seed: u64, world: &SimulatedPool) -> String {
    if let Ok(part) = std::env::var("CUMINBANK_TRACE") {
        for line in world.trace.iter().filter(|line| line.contains(&part)) {
            eprintln!("{line}");
        }
    }
    format!("seed {seed}: {:#?}", world.checks.violations)
}

// Guards against doubled, lost, early and endless runs under faults of every kind.
#[test]
fn rules_hold_under_faults() {
    for seed in 0..seeds() {
        let world = simulate(seed, JobGuards::default(), 14);
        assert!(world.checks.violations.is_empty(), "{}", show(seed, &world));
    }
}

// Guards against a history that finds nothing because nothing runs.
#[test]
fn calm_history_ends_every_job() {
    let world = simulate(0, JobGuards::default(), 0);
    assert!(world.checks.violations.is_empty(), "{}", show(0, &world));
}

fn finds_violation(guards: JobGuards, most_seeds: u64) -> bool {
    (0..most_seeds).any(|seed| !simulate(seed, guards, 14).checks.violations.is_empty())
}

// Guards against checks that miss what each guard prevents: with the guard off, a seed must fail.
#[test]
fn each_guard_is_needed() {
    let on = JobGuards::default();
    assert!(finds_violation(JobGuards { reconciles_first: false, ..on }, 60), "reconciles_first");
    assert!(
        finds_violation(JobGuards { records_before_ack: false, ..on }, 60),
        "records_before_ack"
    );
}

/// The owner's zone is cut off from the store and from the other zones: it reaches one half of the
/// executors, and the next owner the other half.
fn cut_off_owner(guards: JobGuards) -> SimulatedPool {
    let lengths = |_, _| (Some(Duration::from_secs(12)), RunEnd::Done);
    let mut world = SimulatedPool::new(7, 3, 8).with_guards(guards).with_plan(Box::new(lengths));
    world.run_until(Duration::from_secs(3));
    world.submit(1, job(vec![step(16, &[])]));
    world.run_until(Duration::from_secs(5));
    let instance = world.owner().expect("somebody owns the pool");
    let span = Duration::from_secs(7);
    world.fault_at(world.now, InjectedFault::CutFromStore { instance, span });
    for other in 0..3 {
        let executors = if other == instance { (0..4).collect() } else { (4..8).collect() };
        world.fault_at(
            world.now,
            InjectedFault::CutFromExecutors { instance: other, executors, span },
        );
    }
    world.run_until(Duration::from_secs(60));
    world.check_end();
    world
}

// Guards against an owner that restarts what its successor keeps alive on executors out of reach.
#[test]
fn cut_off_owner_restarts_nothing_that_its_successor_holds() {
    let world = cut_off_owner(JobGuards::default());
    assert!(world.checks.violations.is_empty(), "{}", show(7, &world));
    let guards = JobGuards { verifies_ownership: false, ..JobGuards::default() };
    assert!(!cut_off_owner(guards).checks.violations.is_empty(), "the check finds nothing");
}

/// Many runs end at once on executors that drain, more than one write records, and the owner dies
/// soon after.
fn owner_dies_while_ends_wait(after: Duration) -> SimulatedPool {
    let lengths = |_, _| (Some(Duration::from_millis(1_200)), RunEnd::Done);
    let mut world = SimulatedPool::new(11, 3, 6).with_plan(Box::new(lengths));
    let submitted = Duration::from_secs(3);
    world.run_until(submitted);
    (0..40).for_each(|id| world.submit(id, job(vec![step(1, &[])])));
    for executor in 0..3 {
        let at = submitted + Duration::from_millis(600);
        world.fault_at(at, InjectedFault::DrainExecutor { executor });
    }
    world.run_until(submitted + after);
    let instance = world.owner().expect("somebody owns the pool");
    let down = Duration::from_secs(30);
    world.fault_at(world.now, InjectedFault::KillInstance { instance, down });
    world.run_until(submitted + Duration::from_secs(20));
    world.check_end();
    world
}

// Guards against a roster without an executor that lists ends of which no record is stored yet: the
// next owner would start those tasks again before it hears of them.
#[test]
fn draining_executor_stays_known_until_its_ends_are_recorded() {
    for millis in (1_200..1_400).step_by(2) {
        let world = owner_dies_while_ends_wait(Duration::from_millis(millis));
        assert!(world.checks.violations.is_empty(), "{millis} ms: {}", show(11, &world));
    }
}
