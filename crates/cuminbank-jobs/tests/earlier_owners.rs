//! Tests of earlier owners that still act, cut off from the store and from the executors that their
//! successors have reached.

mod support;

use std::time::Duration;

use cuminbank::log::{POOL_LOADED, POOL_RECONCILED, RUN_STARTED};
use cuminbank_jobs::{
    guards::JobGuards,
    job::{JobStep, TaskName},
    keys::CellKeys,
    order::RunEnd,
    store::{encode_value, StoreCall, StorePut, StoreTxn},
};
use support::{
    jobs::{job, step, terms},
    simulation::{InjectedFault, SimulatedPool},
    waiting::{long_running, submit, with_lengths, LASTING, LASTING_JOB, SUBMITTED},
};

/// Job that keeps the second executor busy, so that tasks prefer it.
const OTHER_JOB: u64 = 7;

/// Returns a step of tasks that run on the second executor only.
fn on_second(step: JobStep) -> JobStep {
    JobStep { required_label: Some("second".to_owned()), ..step }
}

/// Cuts an instance off from the store and from executors.
fn cut(pool: &mut SimulatedPool, instance: usize, executors: &[usize], span: Duration) {
    let executors = executors.to_vec();
    pool.fault_at(pool.now, InjectedFault::CutFromStore { instance, span });
    pool.fault_at(pool.now, InjectedFault::CutFromExecutors { instance, executors, span });
}

// Guards against two runs of a task: its executor restarts and forgets the epoch of the next owner, so
// that the earlier one learns of the end of the run and starts another, unknown to its successor.
#[test]
fn restarted_executor_does_not_tell_an_earlier_owner_to_start_again() {
    for shift in 0..20 {
        let pool = SimulatedPool::new(4, 2, 2);
        let mut pool = with_lengths(pool, |_| LASTING);
        pool.executors[1].labels.insert(0, "second".to_owned());
        pool.run_until(pool.now + Duration::from_secs(1));
        submit(&mut pool, LASTING_JOB, long_running(1));
        pool.run_until(pool.now + Duration::from_millis(500));
        assert_eq!(pool.executors[0].running.len(), 1);
        submit(&mut pool, OTHER_JOB, on_second(long_running(1)));
        pool.run_until(pool.now + Duration::from_secs(1));
        assert_eq!(pool.executors[1].running.len(), 1);
        let earlier = pool.owner().expect("there is an owner");
        let cut_at = pool.now;
        pool.fault_at(
            cut_at,
            InjectedFault::CutFromStore { instance: earlier, span: Duration::from_secs(9) },
        );
        pool.fault_at(
            cut_at,
            InjectedFault::CutFromExecutors {
                instance: earlier,
                executors: vec![0],
                span: Duration::from_millis(7_800) + Duration::from_millis(50) * shift,
            },
        );
        let next = 1 - earlier;
        let span = Duration::from_secs(25);
        let second = InjectedFault::CutFromExecutors { instance: next, executors: vec![1], span };
        pool.fault_at(cut_at, second);
        let crash =
            InjectedFault::CrashExecutor { executor: 0, down: Some(Duration::from_millis(300)) };
        pool.fault_at(cut_at + Duration::from_millis(7_500), crash);
        pool.run_until(cut_at + Duration::from_secs(20));
        assert!(
            pool.checks.violations.is_empty(),
            "{shift}: {:#?}\n{:#?}",
            pool.checks.violations,
            pool.trace
        );
    }
}

// Guards against two runs of a task: the owner before the last one still renews the leases of
// executors that only it reaches.
#[test]
fn owner_before_the_last_one_is_waited_for() {
    let mut pool = with_lengths(SimulatedPool::new(4, 3, 2), |_| LASTING);
    pool.executors[1].labels.insert(0, "second".to_owned());
    submit(&mut pool, LASTING_JOB, long_running(1));
    pool.run_until(pool.now + Duration::from_millis(1_500));
    let busy = usize::from(pool.executors[0].running.is_empty());
    let first = pool.owner().expect("there is an owner");
    let cut_at = pool.now;
    cut(&mut pool, first, &[1 - busy], Duration::from_secs(20));
    for other in (0..3).filter(|other| *other != first) {
        let span = Duration::from_secs(40);
        let fault =
            InjectedFault::CutFromExecutors { instance: other, executors: vec![busy], span };
        pool.fault_at(cut_at, fault);
    }
    pool.run_until(cut_at + Duration::from_millis(4_000));
    let second = (0..3).find(|other| *other != first && pool.owners().contains(other));
    let second = second.expect("another instance has taken over");
    let stop = InjectedFault::StopInstance { instance: second, down: Duration::from_secs(60) };
    pool.fault_at(pool.now, stop);
    pool.run_until(cut_at + Duration::from_secs(30));
    assert!(pool.checks.violations.is_empty(), "{:#?}\n{:#?}", pool.checks.violations, pool.trace);
}

// Guards against a start after the last attempt: the next owner does not know yet that an earlier run
// of the task has failed too.
#[test]
fn unknown_failures_are_waited_for_before_another_attempt() {
    const FAILING_JOB: u64 = 1;
    let plan = |task: TaskName, run: u32| match (task.job, run) {
        (FAILING_JOB, 1) => (Some(Duration::from_millis(2_000)), RunEnd::Failed),
        (FAILING_JOB, _) => (Some(Duration::from_millis(9_000)), RunEnd::Failed),
        _ => (Some(LASTING), RunEnd::Done),
    };
    let mut pool = SimulatedPool::new(4, 2, 2).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    let mut record = job(vec![step(1, &[])]);
    record.terms = terms(2);
    pool.submit(FAILING_JOB, record);
    pool.run_until(pool.now + Duration::from_millis(300));
    let failing = usize::from(pool.executors[0].running.is_empty());
    let earlier = pool.owner().expect("there is an owner");
    let cut_at = pool.now;
    let span = Duration::from_secs(8);
    pool.fault_at(cut_at, InjectedFault::CutFromStore { instance: earlier, span });
    let span = Duration::from_secs(13);
    let next = 1 - earlier;
    let fault = InjectedFault::CutFromExecutors { instance: next, executors: vec![failing], span };
    pool.fault_at(cut_at, fault);
    pool.run_until(cut_at + Duration::from_secs(20));
    assert!(pool.checks.violations.is_empty(), "{:#?}\n{:#?}", pool.checks.violations, pool.trace);
}

// Guards against tasks that are lost with their executors and stay without a run for 18 s, because
// the owner is lost soon after and its successor waits for executors that are gone.
#[test]
fn tasks_of_lost_executors_run_again_after_a_lost_owner() {
    const TASKS: u32 = 8;
    /// Time without a run after which a task is lost, in milliseconds.
    const RUN_LIMIT_MS: u64 = 9_000;
    for owner_lost_ms in [0, 500, 900, 1_300] {
        let mut pool = with_lengths(SimulatedPool::new(4, 4, 12), |_| LASTING);
        submit(&mut pool, LASTING_JOB, JobStep { max_per_executor: 1, ..long_running(TASKS) });
        pool.run_until(pool.now + Duration::from_secs(3));
        assert_eq!(pool.running(LASTING_JOB), TASKS as usize);
        let lost_at = pool.now;
        let busy = (0..12).filter(|executor| !pool.executors[*executor].running.is_empty());
        for executor in busy.take(3).collect::<Vec<_>>() {
            pool.fault_at(lost_at, InjectedFault::CrashExecutor { executor, down: None });
        }
        let instance = pool.owner().expect("there is an owner");
        let down = Duration::from_secs(60);
        let kill = InjectedFault::KillInstance { instance, down };
        pool.fault_at(lost_at + Duration::from_millis(owner_lost_ms), kill);
        pool.run_until(lost_at + Duration::from_millis(RUN_LIMIT_MS));
        assert_eq!(pool.running(LASTING_JOB), TASKS as usize, "{owner_lost_ms}: {:#?}", pool.trace);
        pool.run_until(lost_at + Duration::from_secs(30));
        assert!(pool.checks.violations.is_empty(), "{:#?}", pool.checks.violations);
    }
}

// Guards against tasks that stay without a run while owners follow each other: what an owner has learned
// about lost executors was forgotten with it.
#[test]
fn series_of_owners_does_not_restart_the_wait() {
    const TASKS: u32 = 8;
    /// Time without a run after which a task is lost.
    const RUN_LIMIT: Duration = Duration::from_secs(9);
    for (planned, first_ms, interval_ms) in
        [(true, 3_500, 3_500), (true, 500, 2_500), (true, 900, 3_000), (false, 500, 5_500)]
    {
        let mut pool = with_lengths(SimulatedPool::new(4, 5, 12), |_| LASTING);
        submit(&mut pool, LASTING_JOB, JobStep { max_per_executor: 1, ..long_running(TASKS) });
        pool.run_until(pool.now + Duration::from_secs(3));
        let lost_at = pool.now;
        let busy = (0..12).filter(|executor| !pool.executors[*executor].running.is_empty());
        for executor in busy.take(2).collect::<Vec<_>>() {
            pool.fault_at(lost_at, InjectedFault::CrashExecutor { executor, down: None });
        }
        let mut next = lost_at + Duration::from_millis(first_ms);
        while next < lost_at + RUN_LIMIT {
            pool.run_until(next);
            let instance = pool.owner().expect("there is an owner");
            let down = Duration::from_secs(1);
            let end = match planned {
                true => InjectedFault::StopInstance { instance, down },
                false => InjectedFault::KillInstance { instance, down },
            };
            pool.fault_at(next, end);
            next += Duration::from_millis(interval_ms);
        }
        pool.run_until(lost_at + RUN_LIMIT);
        let case = (planned, first_ms, interval_ms);
        assert_eq!(pool.running(LASTING_JOB), TASKS as usize, "{case:?}: {:#?}", pool.trace);
        pool.run_until(lost_at + Duration::from_secs(30));
        assert!(pool.checks.violations.is_empty(), "{case:?}: {:#?}", pool.checks.violations);
    }
}

/// Plays an owner that loses an executor, tells the store so, and reaches it again once it is cut off
/// from the store. Returns the violations.
fn play_regained_executor(guards: JobGuards) -> Vec<String> {
    let mut pool = with_lengths(SimulatedPool::new(4, 2, 4).with_guards(guards), |_| LASTING);
    submit(&mut pool, LASTING_JOB, long_running(1));
    pool.run_until(pool.now + Duration::from_millis(1_500));
    let busy = pool.executors.iter().position(|executor| !executor.running.is_empty());
    let busy = busy.expect("the task runs");
    let first = pool.owner().expect("there is an owner");
    let cut_at = pool.now;
    let cut_off = |instance, span_ms| InjectedFault::CutFromExecutors {
        instance,
        executors: vec![busy],
        span: Duration::from_millis(span_ms),
    };
    pool.fault_at(cut_at, cut_off(first, 2_500));
    pool.fault_at(cut_at, cut_off(1 - first, 20_000));
    let span = Duration::from_secs(20);
    let isolated = InjectedFault::CutFromStore { instance: first, span };
    pool.fault_at(cut_at + Duration::from_millis(2_300), isolated);
    pool.run_until(cut_at + Duration::from_secs(30));
    std::mem::take(&mut pool.checks.violations)
}

// Guards against two runs of a task: the record says until when leases last on a silent executor, and the
// owner grants further ones.
#[test]
fn no_lease_is_granted_beyond_the_handover() {
    assert_eq!(play_regained_executor(JobGuards::default()), Vec::<String>::new());
    let guards = JobGuards { hands_over_leases: false, ..JobGuards::default() };
    assert!(!play_regained_executor(guards).is_empty());
}

// Guards against tasks that stay without a run for 15 s, because an owner that ended before its first
// write, and so granted nothing, is taken for one whose leases are not bounded.
#[test]
fn owners_without_a_write_do_not_lengthen_the_wait() {
    const TASKS: u32 = 8;
    for short_owners in 1..=2 {
        let mut pool = with_lengths(SimulatedPool::new(4, 5, 12), |_| LASTING);
        submit(&mut pool, LASTING_JOB, JobStep { max_per_executor: 1, ..long_running(TASKS) });
        pool.run_until(pool.now + Duration::from_secs(3));
        let busy = (0..12).find(|executor| !pool.executors[*executor].running.is_empty());
        let executor = busy.expect("the tasks run");
        pool.fault_at(pool.now, InjectedFault::CrashExecutor { executor, down: None });
        let mut down = Duration::from_secs(60);
        for _ in 0..=short_owners {
            let instance = pool.owner().expect("there is an owner");
            pool.fault_at(pool.now, InjectedFault::KillInstance { instance, down });
            pool.run_until(pool.now + Duration::from_millis(10));
            while pool.owner().is_none() {
                pool.run_until(pool.now + Duration::from_micros(200));
            }
            down = Duration::from_secs(1);
        }
        // The leases end 5.1 s after the contact with a majority, or earlier.
        let last_began = pool.now;
        pool.run_until(last_began + Duration::from_secs(7));
        assert_eq!(pool.running(LASTING_JOB), TASKS as usize, "{short_owners}: {:#?}", pool.trace);
        pool.run_until(last_began + Duration::from_secs(30));
        assert!(pool.checks.violations.is_empty(), "{:#?}", pool.checks.violations);
    }
}

// Guards against a bound that needs the contact with a majority, although the wait for some executors has
// ended without one.
#[test]
fn executors_without_a_reply_are_no_majority() {
    let mut pool = with_lengths(SimulatedPool::new(4, 2, 5), |_| LASTING);
    let first = pool.owner().expect("there is an owner");
    let began = pool.now;
    let after = |secs| began + Duration::from_secs(secs);
    let cut_off = |instance, executors: &[usize], secs| InjectedFault::CutFromExecutors {
        instance,
        executors: executors.to_vec(),
        span: Duration::from_secs(secs),
    };
    pool.fault_at(began, cut_off(first, &[0, 1, 2], 60));
    pool.fault_at(began, cut_off(1 - first, &[0, 1, 2, 4], 60));
    pool.fault_at(began, cut_off(1 - first, &[3], 9));
    let down = Duration::from_secs(60);
    pool.fault_at(after(4), InjectedFault::KillInstance { instance: first, down });
    // The wait for three executors ends after 7 s; one replies after 9 s, and one never.
    pool.run_until(after(18));
    assert!(!is_reconciled(&pool), "{:#?}", pool.trace);
    pool.run_until(after(24));
    assert!(is_reconciled(&pool), "{:#?}", pool.trace);
}

// Guards against runs that are lost in an outage of the store, although their owner and their
// executors reach each other.
#[test]
fn runs_survive_an_outage_of_the_store() {
    const TASKS: u32 = 12;
    let mut pool = with_lengths(SimulatedPool::new(4, 3, 6), |_| LASTING);
    submit(&mut pool, LASTING_JOB, long_running(TASKS));
    pool.run_until(pool.now + Duration::from_secs(2));
    let seen = started(&pool);
    for instance in 0..3 {
        let span = Duration::from_millis(9_200);
        pool.fault_at(pool.now, InjectedFault::CutFromStore { instance, span });
    }
    pool.run_until(pool.now + Duration::from_secs(20));
    assert_eq!(pool.running(LASTING_JOB), TASKS as usize);
    assert_eq!(started(&pool), seen, "{:#?}", pool.trace);
    assert!(pool.checks.violations.is_empty(), "{:#?}", pool.checks.violations);
}

// Guards against two runs of a task while a build is replaced: owners of the earlier build renew
// leases without evidence that they still own the cell.
#[test]
fn owner_of_an_earlier_build_is_waited_for() {
    let keys = CellKeys::new(0);
    let mut pool = with_lengths(SimulatedPool::new(4, 2, 4), |_| LASTING);
    submit(&mut pool, LASTING_JOB, long_running(1));
    pool.run_until(pool.now + Duration::from_millis(1_500));
    let instance = pool.owner().expect("there is an owner");
    let idle = pool.executors.iter().position(|executor| executor.running.is_empty());
    let crash = InjectedFault::CrashExecutor { executor: idle.expect("idle"), down: None };
    pool.fault_at(pool.now, crash);
    let down = Duration::from_secs(60);
    pool.fault_at(pool.now, InjectedFault::KillInstance { instance, down });
    pool.store.remove(&keys.bounded_epoch);
    pool.store.remove(&keys.bounded_leases);
    pool.run_until(pool.now + Duration::from_secs(16));
    assert!(!is_reconciled(&pool), "{:#?}", pool.trace);
    pool.run_until(pool.now + Duration::from_secs(4));
    assert!(is_reconciled(&pool), "{:#?}", pool.trace);
    // From now on, all owners bound their leases.
    assert_eq!(pool.store.read(&keys.bounded_leases).len(), 1);
}

fn started(pool: &SimulatedPool) -> usize {
    pool.trace.iter().filter(|line| line.contains(RUN_STARTED.summary)).count()
}

fn is_reconciled(pool: &SimulatedPool) -> bool {
    let mut events = pool.trace.iter().rev();
    let last = events
        .find(|line| line.contains(POOL_LOADED.summary) || line.contains(POOL_RECONCILED.summary));
    last.is_some_and(|line| line.contains(POOL_RECONCILED.summary))
}

// Guards against a stored epoch that ends the process of each next owner.
#[test]
fn extreme_mark_of_bounded_leases_is_not_trusted() {
    let keys = CellKeys::new(0);
    let mut pool = with_lengths(SimulatedPool::new(4, 2, 2), |_| LASTING);
    let instance = pool.owner().expect("there is an owner");
    let put = StorePut::new(keys.bounded_leases.clone(), encode_value(&u64::MAX));
    let txn = StoreTxn { puts: vec![put], ..StoreTxn::default() };
    pool.store.call(pool.now, &StoreCall::Commit(txn));
    let down = Duration::from_secs(60);
    pool.fault_at(pool.now, InjectedFault::KillInstance { instance, down });
    pool.run_until(pool.now + Duration::from_secs(5));
    assert!(is_reconciled(&pool), "{:#?}", pool.trace);
}
