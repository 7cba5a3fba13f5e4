//! Writes of the owner's records.

use std::time::Duration;

use cuminbank_jobs::{
    ids::{MonotonicTime, WriteId},
    scheduler::{JobEffect, JobEvent, JobScheduler, SchedulerBounds},
    store::{StoreCall, StoreFailure, StoreReply},
    tenure::{HeldTenure, TenureEffect, TenureState},
};
use cuminbank_platform_standin::{executor::FakeExecutor, store::FakeStore};

const START: MonotonicTime = Duration::from_secs(10);

/// Returns an ownership that has just begun.
fn tenure() -> HeldTenure {
    let (mut store, address) = (FakeStore::default(), "127.0.0.1:2".parse().expect("an address"));
    let mut state = TenureState::new("a".to_owned(), 1, address);
    let mut effects = state.observe(START, store.revision, None);
    effects.extend(state.tick(START + Duration::from_secs(1)));
    while let Some(effect) = effects.pop() {
        match effect {
            TenureEffect::Began(held, _) => return held,
            TenureEffect::Call { id, call, .. } => {
                let reply: StoreReply = store.call(START, &call as &StoreCall);
                effects.extend(state.ended(START + Duration::from_secs(1), id, Ok(reply)));
            }
            _ => {}
        }
    }
    panic!("the pool was not claimed");
}

fn commits(effects: &[JobEffect]) -> Vec<WriteId> {
    let ids = effects.iter().filter_map(|effect| match effect {
        JobEffect::Commit { id, .. } => Some(*id),
        _ => None,
    });
    ids.collect()
}

// Guards against an owner that floods a store which resets every connection: each call has its price.
#[test]
fn write_without_an_answer_is_repeated_after_a_pause() {
    let bounds = SchedulerBounds {
        max_lease: Duration::from_secs(6),
        stop_timeout: Duration::from_millis(200),
        harm_time: Duration::from_secs(4),
        retention: Duration::from_secs(120),
    };
    let begun = START + Duration::from_secs(1);
    let mut scheduler = JobScheduler::new(bounds, &tenure(), begun);
    let mut effects = scheduler.apply(begun, begun, JobEvent::Loaded { items: Vec::new() });
    let reports = vec![FakeExecutor::new("e", 1_000).report()];
    effects.extend(scheduler.apply(begun, begun, JobEvent::Listed { reports }));
    let mut open = commits(&effects);
    let mut tries = open.len();
    for tick in 1..=100 {
        let now = begun + Duration::from_millis(10) * tick;
        let mut effects = Vec::new();
        for id in std::mem::take(&mut open) {
            let event = JobEvent::CommitEnded { id, result: Err(StoreFailure::Unknown) };
            effects.extend(scheduler.apply(now, now, event));
        }
        effects.extend(scheduler.apply(now, now, JobEvent::Tick));
        open = commits(&effects);
        tries += open.len();
    }
    assert!((5..=20).contains(&tries), "{tries} tries in a second");
}
