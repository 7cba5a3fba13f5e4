//! Long queues on many executors: what one turn of the scheduler may take, and what may be in flight.

mod support;

use std::{collections::BTreeMap, time::Duration};

use cuminbank_jobs::{
    job::{JobStep, TaskNeeds},
    order::RunEnd,
};
use support::{
    jobs::{job, step},
    world::SimulatedPool,
};

const EXECUTORS: usize = 150;
const SUBMITTED: Duration = Duration::from_secs(3);
/// Share of a core of the weakest instances, and the units of work that it allows in a turn.
const WEAK_SHARE: f64 = 0.12;
const WEAK_UNITS: u32 = 3_840;
/// Work for one look at every executor, which a part may add before it ends.
const ONE_LOOK: u32 = EXECUTORS as u32 * 9 + 200;

/// A world with one instance, and a backlog of short tasks of many shapes.
fn backlog(world: SimulatedPool, jobs: u64) -> SimulatedPool {
    let plan = |_, _| (Some(Duration::from_millis(300)), RunEnd::Done);
    let mut world = world.with_plan(Box::new(plan));
    world.run_until(SUBMITTED);
    for id in 0..jobs {
        let needs = TaskNeeds { cpu_millis: 900 + id as u32, memory_mb: 500, gpus: 0 };
        world.submit(id, job(vec![JobStep { needs, ..step(20, &[]) }]));
    }
    world
}

// Guards against a turn that lasts so long that the ownership lapses meanwhile: an owner of 610
// executors once stood for a second over a thousand ready tasks.
#[test]
fn long_queue_is_placed_in_parts() {
    let world = SimulatedPool::new(5, 1, EXECUTORS).with_processor_share(WEAK_SHARE);
    let mut world = backlog(world, 100);
    world.run_until(SUBMITTED + Duration::from_secs(10));
    assert!(world.max_units <= WEAK_UNITS + ONE_LOOK, "{} units in a turn", world.max_units);
    for id in 0..100 {
        assert!(world.checks.is_done(id), "job {id} is not done");
    }
    assert!(world.checks.violations.is_empty(), "{:#?}", world.checks.violations);
}

// Guards against starts that fill a narrow link, so that leases and the renewal of the ownership come
// too late: a start takes 1,700 bytes on the owner's link, or 300 if another instance sends it, and
// those in flight may fill the link for 80 ms.
#[test]
fn narrow_link_bounds_the_starts_in_flight() {
    for (mbps, bytes) in [(1.0, 300.0), (2.0, 300.0), (25.0, 1_700.0)] {
        let world = SimulatedPool::new(6, 1, EXECUTORS).with_link(mbps);
        let mut world = backlog(world, 60);
        world.run_until(SUBMITTED + Duration::from_secs(8));
        let filled = world.max_starts as f64 * bytes * 8.0 / (mbps * 1_000_000.0);
        assert!(filled <= 0.08, "{mbps} Mbit/s: {} starts in flight", world.max_starts);
        for id in 0..60 {
            assert!(world.checks.is_done(id), "{mbps} Mbit/s: job {id} is not done");
        }
    }
}

// Guards against executors that are found once for a step and then overfilled.
#[test]
fn tasks_of_a_step_share_what_was_found() {
    let mut world = backlog(SimulatedPool::new(7, 1, 6), 6);
    let mut most = 0;
    for tick in 0..400 {
        world.run_until(SUBMITTED + Duration::from_millis(tick * 10));
        let used = world.executors.iter().map(|executor| executor.running.len()).max();
        most = most.max(used.unwrap_or_default());
    }
    let starts: BTreeMap<u64, bool> = (0..6).map(|id| (id, world.checks.is_done(id))).collect();
    assert!(starts.values().all(|done| *done), "{starts:?}");
    // Eight cores each, and tasks of nine tenths of a core and more.
    assert!(most <= 8, "{most} runs on an executor");
}
