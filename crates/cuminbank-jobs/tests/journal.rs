//! Tests of the owner's writes to its records.

mod support;

use std::time::Duration;

use cuminbank_jobs::{
    ids::{MonotonicTime, WriteId},
    scheduler::{JobEffect, JobEvent, JobScheduler, SchedulerBounds},
    store::StoreFailure,
};
use cuminbank_platform_standin::executor::FakeExecutor;
use support::ownership::held_ownership;

const START: MonotonicTime = Duration::from_secs(10);

fn commits(effects: &[JobEffect]) -> Vec<WriteId> {
    let ids = effects.iter().filter_map(|effect| match effect {
        JobEffect::Commit { id, .. } => Some(*id),
        _ => None,
    });
    ids.collect()
}

// Guards against an owner flooding a store that resets every connection. Each call is billed.
#[test]
fn write_without_an_answer_is_repeated_after_a_pause() {
    let bounds = SchedulerBounds {
        max_lease: Duration::from_secs(6),
        stop_timeout: Duration::from_millis(200),
        max_violation_time: Duration::from_secs(4),
        retention: Duration::from_secs(120),
    };
    let begun = START + Duration::from_secs(1);
    let mut scheduler = JobScheduler::new(bounds, &held_ownership(begun), begun);
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
