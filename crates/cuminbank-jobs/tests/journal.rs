//! Tests of the writes in which an owner records the progress of jobs in the store.

mod support;

use std::time::Duration;

use cuminbank_jobs::{
    ids::{JobId, MonotonicTime, WriteId},
    job::{JobOutcome, JobPhase},
    keys::CellKeys,
    order::RunEnd,
    scheduler::{JobEffect, JobEvent, JobScheduler},
    store::{encode_value, StoreChange, StoreFailure, StoreItem, StorePut, StoreTxn, TxnOutcome},
};
use cuminbank_platform_standin::executor::FakeExecutor;
use support::{
    jobs::{job, step},
    ownership::{held_ownership, BOUNDS},
    simulation::SimulatedPool,
};

const START: MonotonicTime = Duration::from_secs(10);
const JOB: JobId = 7;

fn commits(effects: &[JobEffect]) -> Vec<WriteId> {
    let ids = effects.iter().filter_map(|effect| match effect {
        JobEffect::Commit { id, .. } => Some(*id),
        _ => None,
    });
    ids.collect()
}

// Guards against an owner sending writes without a pause to a store that resets every connection.
// Each call is billed.
#[test]
fn write_without_a_reply_is_repeated_after_a_pause() {
    let begun = START + Duration::from_secs(1);
    let mut scheduler = JobScheduler::new(BOUNDS, &held_ownership(begun), begun);
    let mut effects = scheduler.apply(
        begun,
        begun,
        JobEvent::Loaded { items: Vec::new(), written_by: None, handed_over_by: None },
    );
    let reports = vec![FakeExecutor::new("e", 1_000).report()];
    effects.extend(scheduler.apply(begun, begun, JobEvent::Listed { reports }));
    let mut in_flight = commits(&effects);
    let mut attempts = in_flight.len();
    for tick in 1..=100 {
        let now = begun + Duration::from_millis(10) * tick;
        let mut effects = Vec::new();
        for id in std::mem::take(&mut in_flight) {
            let event = JobEvent::CommitCompleted { id, result: Err(StoreFailure::Unknown) };
            effects.extend(scheduler.apply(now, now, event));
        }
        effects.extend(scheduler.apply(now, now, JobEvent::Tick));
        in_flight = commits(&effects);
        attempts += in_flight.len();
    }
    assert!((5..=20).contains(&attempts), "{attempts} attempts in a second");
}

// Guards against ended runs that are noticed late under load. When more jobs changed than fit into
// one write, nothing was acknowledged, and executors with unacknowledged ends were polled only every
// 300 ms.
#[test]
fn steps_follow_each_other_when_many_jobs_change() {
    let plan = |_, _| (Some(Duration::from_millis(400)), RunEnd::Done);
    let mut pool = SimulatedPool::new(17, 2, 40).with_plan(Box::new(plan));
    pool.run_until(Duration::from_secs(3));
    // Four steps of 400 ms on nearly all of the 320 cores.
    let jobs = 300;
    for id in 0..jobs {
        pool.submit(id, job(vec![step(1, &[]), step(1, &[0]), step(1, &[1]), step(1, &[2])]));
        pool.run_until(pool.now + Duration::from_millis(2));
    }
    pool.run_until(Duration::from_secs(3) + Duration::from_millis(2 * jobs + 4 * 500));
    let done = Some(JobPhase::Ended(JobOutcome::Completed));
    let completed = (0..jobs).filter(|id| pool.phase(*id) == done).count();
    assert_eq!(completed as u64, jobs);
}

fn transactions(effects: Vec<JobEffect>) -> Vec<(WriteId, StoreTxn)> {
    let writes = effects.into_iter().filter_map(|effect| match effect {
        JobEffect::Commit { id, txn } => Some((id, txn)),
        _ => None,
    });
    writes.collect()
}

fn item(key: String, value: Vec<u8>) -> StoreItem {
    StoreItem { key, value, revision: 100, created: 100 }
}

/// Returns a scheduler that has loaded the given items shortly before `now`.
fn owner_with(items: Vec<StoreItem>, now: MonotonicTime) -> JobScheduler {
    let began = now - Duration::from_millis(100);
    let mut scheduler = JobScheduler::new(BOUNDS, &held_ownership(began), began);
    let effects = scheduler.apply(
        began,
        began,
        JobEvent::Loaded { items, written_by: None, handed_over_by: None },
    );
    // The first write only confirms the ownership.
    let writes = transactions(effects);
    let [(id, txn)] = writes.as_slice() else { panic!("{writes:?}") };
    let keys = CellKeys::new(0);
    let written: Vec<&str> = txn.puts.iter().map(|put| put.key.as_str()).collect();
    let expected = [
        &keys.sequence,
        &keys.bounded_epoch,
        &keys.bounded_leases,
        &keys.lease_handover,
        &keys.colocation,
    ];
    assert_eq!(written, expected);
    assert_eq!(txn.removes, Vec::<String>::new());
    let result = Ok(TxnOutcome::Committed { revision: 100 });
    let effects = scheduler.apply(began, began, JobEvent::CommitCompleted { id: *id, result });
    assert_eq!(commits(&effects), Vec::<WriteId>::new());
    scheduler
}

/// Cancels [`JOB`] and returns the write of its outcome, which is not answered yet.
fn cancel(scheduler: &mut JobScheduler, now: MonotonicTime) -> (WriteId, StorePut) {
    let keys = CellKeys::new(0);
    let record = encode_value(&job(vec![step(1, &[])]));
    let changes = [item(keys.job(JOB), record), item(keys.cancel(JOB), Vec::new())];
    let changes = changes.map(StoreChange::Written).to_vec();
    let effects = scheduler.apply(now, now, JobEvent::PoolChanged { changes });
    let (id, txn) = transactions(effects).pop().expect("the outcome is written");
    let outcome = txn.puts.into_iter().find(|put| put.key == keys.progress(JOB));
    (id, outcome.expect("the write contains the outcome"))
}

fn commit(scheduler: &mut JobScheduler, now: MonotonicTime, id: WriteId) {
    let result = Ok(TxnOutcome::Committed { revision: 200 });
    scheduler.apply(now, now, JobEvent::CommitCompleted { id, result });
}

/// Returns when the scheduler no longer knows [`JOB`].
fn forgets_at(scheduler: &mut JobScheduler, mut now: MonotonicTime) -> MonotonicTime {
    while scheduler.phase(JOB).is_some() {
        now += Duration::from_millis(500);
        scheduler.apply(now, now, JobEvent::Tick);
    }
    now
}

// Guards against an outcome that is kept for longer by the owner under which the job ended than by
// its successor.
#[test]
fn outcome_is_kept_as_long_by_each_owner() {
    let ended = START + Duration::from_secs(1);
    let recorded = ended + Duration::from_secs(3);
    let mut first = owner_with(Vec::new(), ended);
    let (id, outcome) = cancel(&mut first, ended);
    commit(&mut first, recorded, id);
    let mut second = owner_with(vec![item(outcome.key, outcome.value)], recorded);
    let kept = [&mut first, &mut second].map(|scheduler| forgets_at(scheduler, recorded) - ended);
    assert_eq!(kept, [BOUNDS.retention + Duration::from_millis(500); 2]);
}
