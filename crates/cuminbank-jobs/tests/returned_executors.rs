//! Tests of executors that return under their name after an absence, while orders for their earlier
//! incarnations are carried out late.

mod support;

use std::time::Duration;

use cuminbank_jobs::guards::JobGuards;
use support::{
    checks::count_broken,
    jobs::step,
    seed_count,
    simulation::{InjectedFault, MessageLosses, SimulatedPool},
    waiting::{long_running, submit, with_lengths, LASTING, LASTING_JOB},
};

/// Absences of an executor, in milliseconds: from those that its owner hardly notices to those after
/// which it has been removed. After the longest one, no order of before is still carried out.
const ABSENCES_MS: [u64; 14] = [
    200, 500, 1_000, 2_000, 3_000, 4_500, 5_500, 6_000, 6_500, 7_000, 8_000, 9_500, 11_000, 13_000,
];

/// How executors crash, and whether their owner is lost meanwhile.
#[derive(Clone, Copy, Debug)]
struct CrashKind {
    silent: bool,
    owner_killed: bool,
}

const CRASH_KINDS: [CrashKind; 3] = [
    CrashKind { silent: false, owner_killed: false },
    CrashKind { silent: true, owner_killed: false },
    CrashKind { silent: false, owner_killed: true },
];

/// Crashes executors in turn for `down` each, while a fifth of all orders is carried out late. Returns
/// the violations, and the executors that get no work when the orders are no longer late.
fn play_absences(seed: u64, down: Duration, kind: CrashKind, guards: JobGuards) -> Vec<String> {
    let pool = SimulatedPool::new(seed, 2, 4).with_guards(guards);
    let mut pool = with_lengths(pool, |task| match task.job {
        LASTING_JOB => LASTING,
        _ => Duration::from_secs(1),
    });
    pool.losses = MessageLosses { orders_late: 20, ..MessageLosses::default() };
    (pool.late_orders_cross_restarts, pool.silent_crashes) = (true, kind.silent);
    for id in 0..20 {
        submit(&mut pool, id, step(4, &[]));
        let crash_at = pool.now + Duration::from_millis(300);
        let crash = InjectedFault::CrashExecutor { executor: id as usize % 4, down: Some(down) };
        pool.fault_at(crash_at, crash);
        if let Some(instance) = pool.owner().filter(|_| kind.owner_killed) {
            let kill = InjectedFault::KillInstance { instance, down: Duration::from_secs(2) };
            pool.fault_at(crash_at + down / 2, kill);
        }
        pool.run_until(pool.now + down / 2 + Duration::from_millis(700));
    }
    pool.run_until(pool.now + Duration::from_secs(20));
    pool.losses = MessageLosses::default();
    submit(&mut pool, LASTING_JOB, long_running(32));
    pool.run_until(pool.now + Duration::from_secs(4));
    let mut violations = std::mem::take(&mut pool.checks.violations);
    let idle = pool.executors.iter().filter(|executor| executor.running.is_empty());
    violations.extend(idle.map(|executor| format!("{} gets no work", executor.name)));
    violations
}

// Guards against a task that runs twice, or again after its end: an executor returns after its owner
// has removed it, or has its first reply before the epoch is raised, and then carries out a start that
// its earlier incarnation had received.
#[test]
fn late_orders_are_harmless_after_absences_of_any_length() {
    for kind in CRASH_KINDS {
        let play = |seed, down| play_absences(seed, down, kind, JobGuards::default());
        assert_eq!(count_broken(&ABSENCES_MS, 0..seed_count(4), play), 0, "{kind:?}");
    }
    let guards = JobGuards { fences_earlier_orders: false, ..JobGuards::default() };
    let down = Duration::from_millis(6_500);
    assert!((0..4).any(|seed| !play_absences(seed, down, CRASH_KINDS[0], guards).is_empty()));
}

// Guards against a returned executor that waits for work, since it is fenced, longer than a new one.
#[test]
fn returned_executor_gets_work_as_soon_as_a_new_one() {
    let first_run_after = |returns: bool| {
        let mut pool = SimulatedPool::new(1, 2, 1);
        if !returns {
            pool = pool.with_absent(0..1);
        }
        let mut pool = with_lengths(pool, |_| Duration::from_secs(1));
        let down = Duration::from_secs(9);
        let restarts = pool.now + down;
        if returns {
            let crash = InjectedFault::CrashExecutor { executor: 0, down: Some(down) };
            pool.fault_at(pool.now, crash);
        } else {
            pool.fault_at(restarts, InjectedFault::JoinExecutor { executor: 0 });
        }
        pool.run_until(restarts);
        submit(&mut pool, 1, step(1, &[]));
        pool.run_until(restarts + Duration::from_secs(2));
        pool.executors[0].history[0].started - restarts
    };
    let (returned, joined) = (first_run_after(true), first_run_after(false));
    println!("first run after {returned:?}, on a new executor after {joined:?}");
    assert!(returned <= joined + Duration::from_millis(50), "{returned:?}, {joined:?}");
}
