//! Tests of the room that the owner of a cell reports.

mod support;

use std::{net::SocketAddr, time::Duration};

use cuminbank_jobs::{
    admission::{RoomReport, ServiceRoom},
    cells::CellLoad,
    job::{JobStep, TaskName, TaskNeeds},
    peer::{OwnerAnswer, OwnerQuestion},
};
use support::{
    jobs::step,
    simulation::{InjectedFault, SimulatedPool},
    waiting::{long_running, submit, with_lengths, LASTING, SUBMITTED},
};

const QUICK_JOB: u64 = 100;
const QUICK_TIME: Duration = Duration::from_millis(800);

fn length(task: TaskName) -> Duration {
    if task.job >= QUICK_JOB {
        QUICK_TIME
    } else {
        LASTING
    }
}

/// Creates a pool of executors with 10 cores each.
fn pool(executors: usize) -> SimulatedPool {
    let mut pool = SimulatedPool::new(7, 2, executors).with_admission(true);
    for executor in &mut pool.executors {
        executor.capacity = TaskNeeds { cpu_millis: 10_000, memory_mb: 100_000, gpus: 0 };
    }
    with_lengths(pool, length)
}

fn answer(pool: &SimulatedPool) -> Option<OwnerAnswer> {
    let asker = SocketAddr::from(([10, 0, 0, 1], 1));
    pool.ask_owner(&OwnerQuestion::Room { cell: 0, asker })
}

fn report(pool: &SimulatedPool) -> RoomReport {
    match answer(pool) {
        Some(OwnerAnswer::Room(report)) => report,
        other => panic!("no room is reported: {other:?}"),
    }
}

fn room(pool: &SimulatedPool) -> ServiceRoom {
    report(pool).services[0].clone()
}

fn cores(count: u32) -> TaskNeeds {
    TaskNeeds { cpu_millis: count * 1_000, memory_mb: 500, gpus: 0 }
}

fn run_for(pool: &mut SimulatedPool, time: Duration) {
    pool.run_until(pool.now + time);
}

// Guards against a report that counts runs or waiting tasks of one kind as another, or cores as room
// that are too few for a task.
#[test]
fn report_tells_the_demand_by_kind() {
    let mut pool = pool(4);
    submit(&mut pool, 1, JobStep { needs: cores(7), ..long_running(3) });
    run_for(&mut pool, Duration::from_millis(500));
    submit(&mut pool, QUICK_JOB, JobStep { needs: cores(4), estimate_ms: 800, ..step(3, &[]) });
    let best_effort = JobStep { needs: cores(1), fills: true, ..step(2, &[]) };
    submit(&mut pool, QUICK_JOB + 1, best_effort);
    run_for(&mut pool, Duration::from_millis(500));
    let report = report(&pool);
    let room = &report.services[0];
    assert_eq!((room.capacity, room.long_running, room.long_running_ready), (40_000, 21_000, 0));
    // The first executors have 3 cores each beside the long-running tasks, the last one has 10.
    assert_eq!((room.usable, room.fitting), (8_000, 7_000));
    assert_eq!((room.peak_demand, room.reserve), (12_000, 10_000));
    assert_eq!((room.mean_job, room.ended_per_second), (21_000, 0));
    assert_eq!(room.long_running_room(), -2_000);
    let queue = &report.queues[0];
    assert_eq!((queue.queue.as_str(), queue.reserved), ("plans", 21_000 + 8_000));
    assert_eq!((queue.ready, queue.ready_tasks, queue.ready_work), (4_000, 1, 4_000 * 800));
    assert!(queue.longest_wait >= Duration::from_millis(200), "{queue:?}");
    run_for(&mut pool, Duration::from_millis(1_500));
    pool.cancel(1);
    run_for(&mut pool, Duration::from_millis(1_000));
    let room = self::room(&pool);
    assert_eq!((room.long_running, room.mean_job, room.peak_demand), (0, 0, 12_000));
    assert!(room.ended_per_second > 3_000, "{room:?}");
}

// Guards against long-running jobs that are refused for tasks which no executor can ever run, or for
// work that waits only because the pool is full.
#[test]
fn tasks_without_an_executor_are_no_demand() {
    let mut pool = pool(4);
    submit(&mut pool, 1, JobStep { needs: cores(11), ..long_running(3) });
    let label = Some("absent".to_owned());
    submit(&mut pool, 2, JobStep { required_label: label, ..long_running(3) });
    submit(&mut pool, QUICK_JOB, JobStep { needs: cores(4_000_000), ..step(3, &[]) });
    run_for(&mut pool, Duration::from_millis(500));
    let room = room(&pool);
    assert_eq!((room.long_running_ready, room.peak_demand, room.usable), (0, 0, 40_000));
    assert_eq!(room.reserve, 40_000 / 8);
    submit(&mut pool, 3, JobStep { needs: cores(10), ..long_running(4) });
    run_for(&mut pool, Duration::from_millis(500));
    let waiting = |count| JobStep { needs: cores(1), estimate_ms: 800, ..step(count, &[]) };
    submit(&mut pool, QUICK_JOB + 1, waiting(9));
    run_for(&mut pool, Duration::from_millis(300));
    assert_eq!(self::room(&pool).peak_demand, 9_000);
    submit(&mut pool, QUICK_JOB + 2, waiting(5));
    run_for(&mut pool, Duration::from_millis(300));
    assert_eq!(self::room(&pool).peak_demand, 14_000, "both jobs would be running");
    run_for(&mut pool, Duration::from_millis(600));
    submit(&mut pool, QUICK_JOB + 3, waiting(12));
    run_for(&mut pool, Duration::from_millis(300));
    assert_eq!(self::room(&pool).peak_demand, 14_000, "the other jobs would have ended");
}

// Guards against capacity in the report that gets no new work.
#[test]
fn capacity_of_draining_and_lost_executors_is_removed() {
    let mut pool = pool(4);
    pool.fault_at(pool.now, InjectedFault::DrainExecutor { executor: 0 });
    pool.fault_at(pool.now, InjectedFault::CrashExecutor { executor: 1, down: None });
    run_for(&mut pool, Duration::from_secs(2));
    assert_eq!(room(&pool).capacity, 20_000);
}

// Guards against a room reported by an owner that does not know yet what runs, or that does not
// observe it.
#[test]
fn room_is_not_reported_while_it_is_unknown() {
    let mut pool = pool(8);
    submit(&mut pool, 1, JobStep { needs: cores(9), ..long_running(8) });
    run_for(&mut pool, Duration::from_secs(1));
    assert_eq!(room(&pool).long_running, 72_000);
    let instance = pool.owner().expect("the pool has an owner");
    // An executor that the next owner does not reach may still run a task.
    let fault = InjectedFault::CutFromExecutors {
        instance: 1 - instance,
        executors: vec![3],
        span: Duration::from_secs(5),
    };
    pool.fault_at(pool.now, fault);
    let down = Duration::from_secs(60);
    pool.fault_at(pool.now, InjectedFault::KillInstance { instance, down });
    let mut unknown = 0;
    for _ in 0..120 {
        run_for(&mut pool, Duration::from_millis(100));
        match answer(&pool) {
            None | Some(OwnerAnswer::NotOwner) => {}
            Some(OwnerAnswer::Load(load)) => {
                assert_eq!(load, CellLoad::default());
                unknown += 1;
            }
            Some(OwnerAnswer::Room(report)) => {
                let room = &report.services[0];
                assert_eq!(room.long_running + room.long_running_ready, 72_000, "{room:?}");
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(unknown > 20, "the executor that is cut off was not waited for: {unknown}");
    assert_eq!(room(&pool).long_running, 72_000);
    let mut off = with_lengths(SimulatedPool::new(7, 1, 4), length);
    submit(&mut off, 1, long_running(4));
    run_for(&mut off, SUBMITTED);
    assert_eq!(answer(&off), Some(OwnerAnswer::Load(CellLoad::default())));
}

// Guards against the refusal of a quick job for work that is placed after it: late jobs, best-effort
// tasks, and tasks that no executor can run.
#[test]
fn only_feasible_work_counts_as_work_ahead() {
    let mut pool = pool(4);
    submit(&mut pool, 1, JobStep { needs: cores(10), ..long_running(4) });
    run_for(&mut pool, Duration::from_millis(500));
    let quick = |count| JobStep { needs: cores(4), estimate_ms: 800, ..step(count, &[]) };
    submit(&mut pool, QUICK_JOB, quick(3));
    submit(&mut pool, QUICK_JOB + 1, JobStep { needs: cores(11), estimate_ms: 60_000, ..quick(1) });
    submit(&mut pool, QUICK_JOB + 2, JobStep { fills: true, estimate_ms: 60_000, ..quick(1) });
    run_for(&mut pool, Duration::from_millis(500));
    let queue = report(&pool).queues[0].clone();
    assert_eq!((queue.ready_tasks, queue.ready_work), (5, 3 * 4_000 * 800));
    // The objective of the first job is over, its result still has value.
    run_for(&mut pool, Duration::from_millis(1_500));
    submit(&mut pool, QUICK_JOB + 3, quick(1));
    run_for(&mut pool, Duration::from_millis(300));
    let queue = report(&pool).queues[0].clone();
    assert_eq!((queue.ready_tasks, queue.ready_work), (6, 4_000 * 800));
    assert!(queue.longest_wait < Duration::from_millis(600), "{queue:?}");
}

// Guards against room that is given away although long-running tasks need it, which their executors
// leave them no longer: draining, evacuated and removed ones, but not one that is out of contact.
#[test]
fn tasks_that_lose_their_executor_need_room() {
    let held = |fault: fn(&SimulatedPool) -> InjectedFault, wait| {
        let mut pool = pool(4);
        for (number, executor) in pool.executors.iter_mut().enumerate() {
            executor.zone = format!("z{}", number / 2);
        }
        submit(&mut pool, 1, JobStep { needs: cores(9), ..long_running(4) });
        run_for(&mut pool, Duration::from_millis(500));
        pool.fault_at(pool.now, fault(&pool));
        run_for(&mut pool, wait);
        let report = report(&pool);
        let room = &report.services[0];
        assert_eq!((report.queues[0].ready_tasks, room.mean_job), (0, 36_000));
        (room.capacity, room.long_running, room.long_running_ready)
    };
    let wait = Duration::from_secs(1);
    let drain = |_: &SimulatedPool| InjectedFault::DrainExecutor { executor: 0 };
    assert_eq!(held(drain, wait), (30_000, 27_000, 9_000));
    let evacuate = |_: &SimulatedPool| InjectedFault::EvacuateZone {
        zone: "z0".to_owned(),
        span: Duration::from_secs(60),
    };
    assert_eq!(held(evacuate, wait), (20_000, 18_000, 18_000));
    let remove = |_: &SimulatedPool| InjectedFault::RemoveExecutor { executor: 0 };
    assert_eq!(held(remove, 4 * wait), (30_000, 27_000, 9_000));
    let cut = |pool: &SimulatedPool| InjectedFault::CutFromExecutors {
        instance: pool.owner().expect("the pool has an owner"),
        executors: vec![0],
        span: Duration::from_secs(5),
    };
    assert_eq!(held(cut, wait), (30_000, 36_000, 0));
}

// Guards against best-effort jobs that count as long-running ones that hold CPU, which makes the
// mean job too small and the expected number of jobs too large.
#[test]
fn best_effort_jobs_are_no_long_running_jobs() {
    let mut pool = pool(4);
    submit(&mut pool, 1, JobStep { needs: cores(5), ..long_running(2) });
    run_for(&mut pool, Duration::from_millis(1_500));
    submit(&mut pool, 2, JobStep { needs: cores(1), fills: true, ..long_running(2) });
    submit(&mut pool, 3, JobStep { needs: cores(0), ..long_running(2) });
    run_for(&mut pool, Duration::from_millis(500));
    let room = room(&pool);
    assert_eq!((room.mean_job, room.accepted_recently), (10_000, 0));
}
