//! Tests with records in the store that the owner cannot read, as a build with other formats or a
//! damaged value would leave them.

mod support;

use std::time::Duration;

use cuminbank_jobs::{
    ids::JobId,
    job::{JobOutcome, JobPhase, TaskName},
    keys::CellKeys,
    order::RunEnd,
    store::{StoreCall, StorePut, StoreTxn},
};
use cuminbank_platform_standin::executor::FakeExecutor;
use support::{
    jobs::{job, step},
    simulation::{InjectedFault, SimulatedPool},
};

const JOB: JobId = 7;
/// Not a record of any kind: its first byte is neither an option nor a length of what follows.
const UNREADABLE: [u8; 2] = [0xff, 0xff];
/// Time within which a new owner takes over, and runs everything that it may run.
const TAKEOVER_TIME: Duration = Duration::from_secs(25);

fn replace(pool: &mut SimulatedPool, key: &str, value: &[u8]) {
    let puts = vec![StorePut::new(key, value.to_vec())];
    let txn = StoreTxn { puts, ..StoreTxn::default() };
    pool.store.call(pool.now, &StoreCall::Commit(txn));
}

fn stored(pool: &SimulatedPool, key: &str) -> Option<Vec<u8>> {
    pool.store.read(key).into_iter().next().map(|item| item.value)
}

/// Kills the owner for a second and replaces a record while the cell has no owner. Returns the
/// record that was replaced.
fn take_over_with(pool: &mut SimulatedPool, key: &str, value: &[u8]) -> Vec<u8> {
    let instance = pool.owner().expect("the cell has an owner");
    pool.fault_at(pool.now, InjectedFault::KillInstance { instance, down: Duration::from_secs(1) });
    pool.run_until(pool.now + Duration::from_millis(100));
    let before = stored(pool, key).expect("the record exists");
    replace(pool, key, value);
    before
}

/// Returns a pool in which the first task of a job has ended and the second one, which takes ten
/// seconds, is running.
fn pool_with_progress() -> SimulatedPool {
    let plan = |task: TaskName, _| {
        let length = if task.step == 0 { 300 } else { 10_000 };
        (Some(Duration::from_millis(length)), RunEnd::Done)
    };
    let mut pool = SimulatedPool::new(5, 2, 3).with_plan(Box::new(plan));
    pool.run_until(Duration::from_secs(4));
    pool.submit(JOB, job(vec![step(1, &[]), step(1, &[0])]));
    pool.run_until(Duration::from_secs(6));
    assert_eq!(pool.running(JOB), 1);
    pool
}

// Guards against a task that runs again after its result was acknowledged: a successor took progress
// that it could not read for missing.
#[test]
fn tasks_of_a_job_with_unreadable_progress_do_not_start() {
    let mut pool = pool_with_progress();
    let key = CellKeys::new(0).progress(JOB);
    take_over_with(&mut pool, &key, &UNREADABLE);
    pool.run_until(pool.now + TAKEOVER_TIME);
    assert_eq!(pool.checks.violations, Vec::<String>::new());
    assert_eq!(pool.phase(JOB), None);
    assert_eq!(stored(&pool, &key).as_deref(), Some(&UNREADABLE[..]));
}

/// Lets an owner that cannot read a record keep the cell until the second task of the job has ended,
/// and then one that can.
fn continue_after(key: &str) {
    let mut pool = pool_with_progress();
    let record = take_over_with(&mut pool, key, &UNREADABLE);
    pool.run_until(pool.now + Duration::from_secs(4));
    assert_eq!(pool.running(JOB), 1, "the run of an unreadable job was stopped");
    pool.run_until(pool.now + TAKEOVER_TIME);
    assert_eq!(pool.running(JOB), 0);
    take_over_with(&mut pool, key, &record);
    pool.run_until(pool.now + TAKEOVER_TIME);
    assert_eq!(pool.checks.violations, Vec::<String>::new());
    assert_eq!(pool.phase(JOB), Some(JobPhase::Ended(JobOutcome::Completed)));
    let starts = pool.executors.iter().flat_map(|executor| &executor.history).count();
    assert_eq!(starts, 2, "a task was started again");
}

// Guards against work that is lost because an owner that cannot read a job stopped its runs, and
// against a task that runs twice because that owner acknowledged its end.
#[test]
fn runs_of_a_job_with_unreadable_progress_keep_their_results() {
    continue_after(&CellKeys::new(0).progress(JOB));
}

// The same for a job whose record cannot be read.
#[test]
fn runs_of_a_job_with_an_unreadable_record_keep_their_results() {
    continue_after(&CellKeys::new(0).job(JOB));
}

// Guards against two runs of a task at the same time: a successor took a roster that it could not
// read for empty, and so did not wait for an executor that it could not reach.
#[test]
fn unreadable_roster_delays_tasks_until_all_leases_have_expired() {
    let plan = |_, _| (Some(Duration::from_secs(20)), RunEnd::Done);
    let mut pool = SimulatedPool::new(5, 2, 3).with_plan(Box::new(plan));
    pool.run_until(Duration::from_secs(4));
    pool.submit(JOB, job(vec![step(1, &[])]));
    pool.run_until(Duration::from_secs(6));
    let runs = |executor: &FakeExecutor| !executor.running.is_empty();
    let executor = pool.executors.iter().position(runs).expect("the task is running");
    let instance = 1 - pool.owner().expect("the cell has an owner");
    let cut = Duration::from_secs(60);
    let executors = vec![executor];
    pool.fault_at(pool.now, InjectedFault::CutFromExecutors { instance, executors, span: cut });
    let roster = CellKeys::new(0).roster;
    take_over_with(&mut pool, &roster, &UNREADABLE);
    pool.run_until(pool.now + Duration::from_secs(5));
    let kept = stored(&pool, &roster);
    pool.run_until(pool.now + Duration::from_secs(60));
    assert_eq!(pool.checks.violations, Vec::<String>::new());
    // The roster is not replaced while leases of earlier owners may exist.
    assert_eq!(kept.as_deref(), Some(&UNREADABLE[..]));
    assert_eq!(pool.phase(JOB), Some(JobPhase::Ended(JobOutcome::Completed)));
    assert!(pool.trace.iter().any(|line| line.contains("An item in the store cannot be decoded.")));
}

// Guards against the loss of what another build has added to a record: the rest after the known
// fields was ignored, and the next write of the owner dropped it.
#[test]
fn record_with_unknown_fields_at_its_end_is_not_replaced() {
    let mut pool = pool_with_progress();
    let key = CellKeys::new(0).progress(JOB);
    let longer = [stored(&pool, &key).expect("the progress is stored"), vec![1]].concat();
    take_over_with(&mut pool, &key, &longer);
    pool.run_until(pool.now + TAKEOVER_TIME);
    assert_eq!(stored(&pool, &key), Some(longer));
}

// Guards against the loss of what earlier owners have learned: the owner replaced a model that it
// could not read with its own.
#[test]
fn unreadable_colocation_model_is_not_replaced() {
    let mut pool = pool_with_progress();
    let key = CellKeys::new(0).colocation;
    take_over_with(&mut pool, &key, &UNREADABLE);
    pool.run_until(pool.now + TAKEOVER_TIME);
    assert_eq!(pool.phase(JOB), Some(JobPhase::Ended(JobOutcome::Completed)));
    assert_eq!(stored(&pool, &key).as_deref(), Some(&UNREADABLE[..]));
}
