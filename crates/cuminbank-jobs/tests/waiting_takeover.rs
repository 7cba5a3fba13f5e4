//! Tests of tasks that wait although executors have room, after a change of owner or because of
//! other jobs.

mod support;

use std::time::Duration;

use cuminbank_jobs::{
    ids::JobId,
    job::{JobPhase, JobStep, TaskName, TaskNeeds},
    order::RunEnd,
};
use support::{
    jobs::step,
    simulation::{InjectedFault, SimulatedPool},
    waiting::{long_running, submit, with_lengths, LASTING, LASTING_JOB, START_LIMIT, SUBMITTED},
};

// Guards against long-running tasks that are stopped with a draining executor after a change of
// owner, and then wait for 17 s because an unrelated executor has crashed before the change.
#[test]
fn crashed_executor_does_not_keep_tasks_with_known_runs_waiting() {
    const TASKS: u32 = 4;
    /// Time without a run after which the task is lost.
    const RUN_LIMIT: Duration = Duration::from_secs(6);
    let mut pool = with_lengths(SimulatedPool::new(4, 2, TASKS as usize + 2), |_| LASTING);
    submit(&mut pool, LASTING_JOB, JobStep { max_per_executor: 1, ..long_running(TASKS) });
    pool.run_until(SUBMITTED + START_LIMIT);
    assert_eq!(pool.running(LASTING_JOB), TASKS as usize);
    let idle = pool.executors.iter().position(|executor| executor.running.is_empty());
    let executor = idle.expect("two executors are idle");
    let instance = pool.owner().expect("there is an owner");
    pool.fault_at(pool.now, InjectedFault::CrashExecutor { executor, down: None });
    let down = Duration::from_secs(60);
    pool.fault_at(pool.now, InjectedFault::KillInstance { instance, down });
    // Until the next owner knows the runs.
    pool.run_until(pool.now + Duration::from_secs(8));
    assert!(pool.owner().is_some_and(|owner| owner != instance));
    let busy = pool.executors.iter().position(|executor| !executor.running.is_empty());
    pool.executors[busy.expect("four executors are busy")].draining = true;
    pool.run_until(pool.now + RUN_LIMIT);
    assert_eq!(pool.running(LASTING_JOB), TASKS as usize);
    assert!(pool.checks.violations.is_empty(), "{:#?}", pool.checks.violations);
}

// Guards against jobs that wait for the end of the quarantine of all executors, which one job with
// failing tasks has caused.
#[test]
fn failing_job_does_not_close_the_pool_to_other_jobs() {
    const FAILING_JOB: JobId = 1;
    const LATER_JOB: JobId = 2;
    let plan = |task: TaskName, _| match task.job {
        FAILING_JOB => (Some(Duration::from_millis(50)), RunEnd::Failed),
        _ => (Some(Duration::from_millis(400)), RunEnd::Done),
    };
    let mut pool = SimulatedPool::new(4, 1, 2).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    submit(&mut pool, FAILING_JOB, step(12, &[]));
    pool.run_until(SUBMITTED + Duration::from_millis(500));
    submit(&mut pool, LATER_JOB, step(1, &[]));
    pool.run_until(pool.now + START_LIMIT);
    assert_ne!(pool.phase(LATER_JOB), Some(JobPhase::Queued));
}

// Guards against jobs that get no start because starts without a reply are sent again and again and
// use up the limit on starts in flight.
#[test]
fn repeated_starts_leave_room_for_others() {
    const SILENT: usize = 60;
    /// Tasks that fill the other two executors.
    const TASKS: u32 = 16;
    const LATER_JOB: JobId = 2;
    let pool = SimulatedPool::new(4, 1, SILENT + 2).with_link(0.3);
    let mut pool = with_lengths(pool, |_| LASTING);
    for executor in &mut pool.executors[2..] {
        executor.labels.insert(0, "silent".to_owned());
        pool.without_starts.insert(executor.name.clone());
    }
    pool.run_until(pool.now + Duration::from_secs(1));
    for number in 0..SILENT as u64 {
        let required_label = Some("silent".to_owned());
        let needs = TaskNeeds { cpu_millis: 8_000, memory_mb: 1_000, gpus: 0 };
        submit(&mut pool, LASTING_JOB + number, JobStep { required_label, needs, ..step(1, &[]) });
        pool.run_until(pool.now + Duration::from_millis(50));
    }
    pool.run_until(pool.now + Duration::from_secs(5));
    submit(&mut pool, LATER_JOB, long_running(TASKS));
    pool.run_until(pool.now + START_LIMIT);
    assert_eq!(pool.running(LATER_JOB), TASKS as usize);
}
