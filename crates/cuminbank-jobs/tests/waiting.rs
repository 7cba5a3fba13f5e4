//! Tests of tasks that wait although executors have room for them.

mod support;

use std::time::Duration;

use cuminbank_jobs::{
    ids::JobId,
    job::{JobStep, TaskName, TaskNeeds},
    order::RunEnd,
};
use support::{
    jobs::step,
    simulation::SimulatedPool,
    waiting::{
        burst_length, long_running, play_burst, record, submit, with_lengths, LASTING, START_LIMIT,
        SUBMITTED,
    },
};

fn cores(count: u32) -> TaskNeeds {
    TaskNeeds { cpu_millis: count * 1_000, memory_mb: 500, gpus: 0 }
}

fn pool(executors: usize, length: fn(TaskName) -> Duration) -> SimulatedPool {
    with_lengths(SimulatedPool::new(4, 1, executors), length)
}

// Guards against a job that has reached its limit on each executor with room and so makes every
// later job of the same shape wait.
#[test]
fn job_at_its_limit_does_not_hide_other_jobs() {
    let mut pool = pool(2, |_| LASTING);
    submit(&mut pool, 1, JobStep { max_per_executor: 1, ..long_running(3) });
    pool.run_until(SUBMITTED + Duration::from_millis(500));
    assert_eq!(pool.running(1), 2);
    submit(&mut pool, 2, JobStep { max_per_executor: 1, ..long_running(2) });
    pool.run_until(pool.now + START_LIMIT);
    assert_eq!(pool.running(2), 2);
}

// Guards against a gang without room for all its members that makes single tasks of the same shape
// wait.
#[test]
fn waiting_gang_does_not_hide_single_tasks() {
    let mut pool = pool(6, |_| LASTING);
    let gang = JobStep { gang: true, needs: cores(5), ..step(4, &[]) };
    submit(&mut pool, 1, gang.clone());
    submit(&mut pool, 2, gang);
    pool.run_until(SUBMITTED + Duration::from_millis(500));
    assert_eq!((pool.running(1), pool.running(2)), (4, 0));
    submit(&mut pool, 3, JobStep { needs: cores(5), ..step(1, &[]) });
    pool.run_until(pool.now + Duration::from_millis(150));
    assert_eq!(pool.running(3), 1);
}

// Guards against a task that has just become ready and may not start on a quarantined executor yet
// from keeping an earlier one of its step from starting there.
#[test]
fn newly_ready_task_does_not_hide_the_probation_of_another() {
    const FIRST_RUN: Duration = Duration::from_millis(1_800);
    let plan = |task: TaskName, run| match (task.index, run) {
        (0, 1) => (Some(FIRST_RUN), RunEnd::Failed),
        _ => (Some(LASTING), RunEnd::Done),
    };
    let mut pool = SimulatedPool::new(4, 1, 2).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    pool.executors[1].failing = true;
    submit(&mut pool, 1, JobStep { needs: cores(8), ..long_running(2) });
    // The first task runs on the sound executor. The second has failed twice on the other one,
    // which quarantines it.
    pool.run_until(SUBMITTED + Duration::from_millis(400));
    assert_eq!(pool.running(1), 1);
    assert_eq!(pool.executors[1].history.len(), 2);
    pool.executors[1].failing = false;
    pool.executors[0].draining = true;
    // The first task fails at 1.8 s and has no executor from then on.
    pool.run_until(SUBMITTED + Duration::from_millis(2_300));
    assert_eq!(pool.executors[1].running.len(), 1);
}

// Guards against long-running tasks that wait for as long as jobs arrive that can still meet their
// objective.
#[test]
fn long_running_task_starts_during_a_burst() {
    play_burst(&mut pool(2, burst_length), 100, START_LIMIT);
}

// Guards against jobs that no pass reaches, because each pass ends after the same jobs that find no
// room.
#[test]
fn jobs_without_room_do_not_hide_later_ones() {
    const CANCELLED_JOB: JobId = 1_000;
    const LATER_JOB: JobId = 1_001;
    let mut pool = pool(2, |_| LASTING);
    let large = JobStep { needs: cores(6), ..long_running(1) };
    submit(&mut pool, 0, JobStep { count: 2, ..large.clone() });
    submit(&mut pool, CANCELLED_JOB, long_running(4));
    pool.run_until(SUBMITTED + Duration::from_millis(500));
    for id in 1..400 {
        let image = format!("image-{id}");
        submit(&mut pool, id, JobStep { image, ..large.clone() });
    }
    submit(&mut pool, LATER_JOB, long_running(1));
    pool.run_until(pool.now + START_LIMIT);
    assert_eq!(pool.running(LATER_JOB), 0);
    pool.cancel(CANCELLED_JOB);
    pool.run_until(pool.now + START_LIMIT);
    assert_eq!(pool.running(LATER_JOB), 1);
}

// Guards against a long best-effort task that a latency-critical one does not tolerate and that
// makes shorter ones of its image wait.
#[test]
fn long_best_effort_task_does_not_hide_shorter_ones() {
    const SERVICE_JOB: JobId = 1;
    let length = |task: TaskName| match task.job {
        SERVICE_JOB => LASTING,
        _ => Duration::from_millis(400),
    };
    let mut pool = pool(1, length);
    pool.executors[0].contended_tail_ms = Some(25);
    submit(&mut pool, SERVICE_JOB, JobStep { tail_target_ms: 100, ..long_running(1) });
    pool.run_until(SUBMITTED + Duration::from_secs(2));
    assert_eq!(pool.running(SERVICE_JOB), 1);
    let short = JobStep { fills: true, image: "f".to_owned(), needs: cores(4), ..step(1, &[]) };
    submit(&mut pool, 2, JobStep { estimate_ms: 10_000, ..short.clone() });
    let mut later = record(&pool, short);
    later.terms.priority = 1;
    pool.submit(3, later);
    pool.run_until(pool.now + Duration::from_millis(200));
    assert_eq!((pool.running(2), pool.running(3)), (0, 1));
}
