//! Tests of all decoders with truncated and garbled bytes.

mod support;

use std::{collections::BTreeSet, time::Duration};

use cuminbank::{
    log::{JOB_UNREADABLE, STORE_UNREADABLE},
    message::decode,
};
use cuminbank_jobs::{
    cells::PoolPlan,
    job::JobRecord,
    keys::CellKeys,
    order::RunEnd,
    ownership::OwnerRecord,
    peer::{PeerReply, PeerRequest},
    progress::{JobProgress, TaskProgress},
    scheduler::{JobEffect, JobEvent, JobScheduler},
    store::{decode_value, encode_value, StoreItem, TxnOutcome},
};
use cuminbank_platform_standin::executor::{FakeExecutor, StartBehavior};
use proptest::prelude::*;
use support::ownership::{held_ownership, BOUNDS};

const START: Duration = Duration::from_secs(10);
const FIXTURES: &str = include_str!("formats/unversioned.txt");

/// Returns the bytes of the fixtures whose names have a prefix.
fn fixtures(prefix: &str) -> Vec<Vec<u8>> {
    let lines = FIXTURES.lines().filter(|line| line.starts_with(prefix));
    let byte = |pair: &[u8]| {
        let digits = std::str::from_utf8(pair).expect("fixtures are ASCII");
        u8::from_str_radix(digits, 16).expect("fixtures are hexadecimal")
    };
    let hex = lines.filter_map(|line| line.split_once(' ')).map(|(_, hex)| hex.as_bytes());
    hex.map(|hex| hex.chunks(2).map(byte).collect()).collect()
}

/// Returns the values of jobs that are valid as they are.
fn jobs() -> Vec<Vec<u8>> {
    let valid = |bytes: Vec<u8>| {
        let mut job: JobRecord = decode_value(&bytes).expect("fixtures are readable");
        job.steps.iter_mut().for_each(|step| step.after.retain(|earlier| *earlier == 0));
        job.steps.iter_mut().for_each(|step| step.required_label = None);
        assert_eq!(job.check(), Ok(()));
        encode_value(&job)
    };
    fixtures("record.job").into_iter().map(valid).collect()
}

fn garbled(prefix: &str) -> impl Strategy<Value = Vec<u8>> {
    garbled_values(fixtures(prefix))
}

/// Returns a strategy for values that are changed at up to two places, and possibly truncated or
/// extended.
fn garbled_values(values: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let edits = proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..3);
    let length = prop_oneof![2 => Just(None), 1 => any::<prop::sample::Index>().prop_map(Some)];
    let rest =
        prop_oneof![3 => Just(Vec::new()), 1 => proptest::collection::vec(any::<u8>(), 1..4)];
    let value = prop::sample::select(values);
    (value, edits, length, rest).prop_map(|(mut bytes, edits, length, rest)| {
        for (place, byte) in edits {
            let place = place.index(bytes.len());
            bytes[place] = byte;
        }
        if let Some(length) = length {
            bytes.truncate(length.index(bytes.len() + 1));
        }
        bytes.extend(rest);
        bytes
    })
}

/// Loads records into the scheduler of a new owner and lets it work for two seconds. Returns the
/// numbers of the logged events.
fn load(values: Vec<(String, Vec<u8>)>) -> BTreeSet<u16> {
    let mut logged = BTreeSet::new();
    let mut scheduler = JobScheduler::new(BOUNDS, &held_ownership(START), START);
    let item = |(key, value)| StoreItem { key, value, revision: 1, created: 1 };
    let items = values.into_iter().map(item).collect();
    let mut executor = FakeExecutor::new("e", 1_000);
    executor.service = "kiln".to_owned();
    let reports = vec![executor.report()];
    let mut events = vec![
        JobEvent::Listed { reports },
        JobEvent::Loaded { items, written_by: None, handed_over_by: None },
    ];
    let mut now = START;
    let wall = Duration::from_secs(1_700_000_000);
    for _ in 0..40 {
        now += Duration::from_millis(50);
        let event = events.pop().unwrap_or(JobEvent::Tick);
        for effect in scheduler.apply(now, wall, event) {
            match effect {
                JobEffect::Commit { id, .. } => {
                    let result = Ok(TxnOutcome::Committed { revision: 2_000 + id });
                    events.push(JobEvent::CommitCompleted { id, result });
                }
                JobEffect::Order(order) => {
                    let mut plan: StartBehavior =
                        Box::new(|_, _| (Some(Duration::from_millis(100)), RunEnd::Done));
                    let result = Ok(executor.handle_order(now, &order, &mut plan));
                    events.push(JobEvent::OrderCompleted { id: order.id, result });
                }
                JobEffect::Log(record) => {
                    logged.insert(record.code.number);
                }
                _ => {}
            }
        }
    }
    logged
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    // Guards against a stored record that crashes every owner in turn.
    #[test]
    fn garbled_records_do_not_crash_an_owner(
        job in garbled_values(jobs()),
        progress in garbled("record.progress"),
        roster in garbled("record.roster"),
        colocation in garbled("record.colocation"),
        sequence in garbled("record.sequence"),
        bounded_leases in garbled("record.bounded_leases"),
    ) {
        let keys = CellKeys::new(0);
        load(vec![
            (keys.job(1), job),
            (keys.progress(1), progress),
            (keys.roster.clone(), roster),
            (keys.colocation.clone(), colocation),
            (keys.sequence, sequence),
            (keys.bounded_leases, bounded_leases),
        ]);
    }

    // The same for progress that does not fit its readable job.
    #[test]
    fn garbled_progress_does_not_crash_an_owner(progress in garbled("record.progress")) {
        let keys = CellKeys::new(0);
        for job in jobs() {
            load(vec![(keys.job(1), job), (keys.progress(1), progress.clone())]);
        }
    }

    // Guards against a record or message that crashes each instance that reads it.
    #[test]
    fn garbled_bytes_do_not_crash_a_decoder(
        record in garbled("record."),
        message in garbled("message."),
        bytes in proptest::collection::vec(any::<u8>(), 0..80),
    ) {
        for bytes in [record, message, bytes] {
            decode_value::<OwnerRecord>(&bytes);
            decode_value::<u16>(&bytes);
            decode::<PeerReply>(&bytes);
            if let Some(PeerRequest::Carry(bundle)) = decode(&bytes) {
                bundle.wait();
                bundle.into_orders(START);
            }
            if let Some(plan) = decode_value::<PoolPlan>(&bytes).filter(|plan| plan.cells > 0) {
                plan.cell_of(&FakeExecutor::new("e", 1_000).report());
                plan.home_and_fallback(7);
            }
        }
    }
}

/// Returns the progress of a job of two tasks.
fn progress(tasks: Vec<TaskProgress>) -> Vec<u8> {
    encode_value(&JobProgress { tasks, ..JobProgress::default() })
}

// Guards against progress that crashes an owner or ends a job early, since it counts a task twice,
// and against a run number that leaves none for the next run.
#[test]
fn progress_of_another_job_is_not_applied() {
    let single = fixtures("record.job.single").remove(0);
    let done = |task, run| TaskProgress { task, done: true, run, ..TaskProgress::default() };
    let cases = [
        vec![done(0, 1), done(0, 1), done(1, 1)],
        vec![done(2, 1)],
        vec![TaskProgress { done: false, ..done(0, u32::MAX) }],
    ];
    let keys = CellKeys::new(0);
    for tasks in cases {
        let logged =
            load(vec![(keys.job(1), single.clone()), (keys.progress(1), progress(tasks.clone()))]);
        assert!(logged.contains(&JOB_UNREADABLE.number), "{tasks:?}");
    }
    let logged = load(vec![(keys.job(1), single), (keys.progress(1), progress(vec![done(1, 1)]))]);
    assert!(!logged.contains(&JOB_UNREADABLE.number));
}

// Guards against a model that crashes an owner when it places tasks: it names two images and has the
// pairs of none.
#[test]
fn incomplete_colocation_model_is_not_used() {
    let colocation = CellKeys::new(0).colocation;
    let pairless = encode_value(&(vec!["web", "batch"], Vec::<u8>::new()));
    assert!(load(vec![(colocation.clone(), pairless)]).contains(&STORE_UNREADABLE.number));
    let fixture = fixtures("record.colocation").remove(0);
    assert!(!load(vec![(colocation, fixture)]).contains(&STORE_UNREADABLE.number));
}
