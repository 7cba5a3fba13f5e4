//! Tests of the writes in which an owner records the progress of jobs in the store.

mod support;

use std::time::Duration;

use cuminbank_jobs::{
    ids::{MonotonicTime, WriteId},
    job::{JobOutcome, JobPhase},
    order::RunEnd,
    scheduler::{JobEffect, JobEvent, JobScheduler, SchedulerBounds},
    store::StoreFailure,
};
use cuminbank_platform_standin::executor::FakeExecutor;
use support::{
    jobs::{job, step},
    ownership::held_ownership,
    simulation::SimulatedPool,
};

const START: MonotonicTime = Duration::from_secs(10);

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
