//! Tests of each kind of job, either without faults or with a single one.

mod support;

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use cuminbank_jobs::{
    job::{AdviceTerms, JobOutcome, JobPhase, JobRecord, JobStep, RepeatPlan, TaskName, TaskNeeds},
    order::RunEnd,
    ownership::MAX_STORE_SILENCE,
};
use support::{
    jobs::{job, step},
    simulation::{InjectedFault, SimulatedPool},
};

const SUBMITTED: Duration = Duration::from_secs(3);

/// Starts seen by the executors, each with its run number.
type ObservedStarts = Rc<RefCell<Vec<(TaskName, u32)>>>;

/// Returns a pool in which each run takes `length` and ends with `end`, and the starts that its
/// executors see.
fn pool(length: Duration, end: RunEnd) -> (SimulatedPool, ObservedStarts) {
    let seen = ObservedStarts::default();
    let recorded = Rc::clone(&seen);
    let plan = move |task, run| {
        recorded.borrow_mut().push((task, run));
        (Some(length), end)
    };
    let mut pool = SimulatedPool::new(3, 3, 6).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    (pool, seen)
}

fn ended(outcome: JobOutcome) -> Option<JobPhase> {
    Some(JobPhase::Ended(outcome))
}

fn assert_clean(pool: &SimulatedPool) {
    assert!(pool.checks.violations.is_empty(), "{:#?}", pool.checks.violations);
}

// Guards against a job that can never complete occupying executors forever.
#[test]
fn failing_job_ends_after_its_attempts() {
    let (mut pool, seen) = pool(Duration::from_millis(200), RunEnd::Failed);
    pool.submit(1, job(vec![step(1, &[])]));
    pool.run_until(SUBMITTED + Duration::from_secs(8));
    assert_eq!(pool.phase(1), ended(JobOutcome::Failed));
    assert_eq!(seen.borrow().len(), 3);
    assert_clean(&pool);
}

// Guards against work continuing after its client has cancelled it.
#[test]
fn cancelled_job_stops() {
    let (mut pool, seen) = pool(Duration::from_secs(30), RunEnd::Done);
    pool.submit(1, job(vec![step(4, &[])]));
    pool.run_until(SUBMITTED + Duration::from_secs(1));
    assert_eq!(pool.running(1), 4);
    pool.cancel(1);
    pool.run_until(SUBMITTED + Duration::from_secs(2));
    assert_eq!(pool.running(1), 0);
    assert_eq!(pool.phase(1), ended(JobOutcome::Cancelled));
    assert_eq!(seen.borrow().len(), 4);
}

// Guards against a service that runs with fewer tasks after some of its tasks have ended.
#[test]
fn long_running_tasks_restart() {
    let (mut pool, _) = pool(Duration::from_millis(700), RunEnd::Failed);
    let long_running = JobStep { long_running: true, ..step(3, &[]) };
    pool.submit(1, job(vec![long_running]));
    pool.run_until(SUBMITTED + Duration::from_secs(10));
    assert_eq!(pool.phase(1), Some(JobPhase::Running));
    assert_eq!(pool.running(1), 3);
}

// Guards against members of a gang occupying capacity while they wait for the others.
#[test]
fn gang_starts_all_members_or_none() {
    let (mut pool, seen) = pool(Duration::from_secs(1), RunEnd::Done);
    let needs = TaskNeeds { cpu_millis: 5_000, memory_mb: 1_000, gpus: 0 };
    let gang = JobStep { gang: true, needs, ..step(4, &[]) };
    // Each of the six executors has capacity for one member, so the second gang of four has to
    // wait.
    pool.submit(1, job(vec![gang.clone()]));
    pool.submit(2, job(vec![gang]));
    pool.run_until(SUBMITTED + Duration::from_millis(600));
    assert_eq!((pool.running(1), pool.running(2)), (4, 0));
    pool.run_until(SUBMITTED + Duration::from_secs(5));
    let mut runs: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
    for (task, run) in seen.borrow().iter() {
        runs.entry(task.job).or_default().push(*run);
    }
    assert_eq!(runs[&1], vec![1; 4]);
    assert_eq!(runs[&2], vec![1; 4]);
}

// Guards against occurrences that start before they are due, or never.
#[test]
fn occurrences_start_when_they_are_due() {
    let (mut pool, seen) = pool(Duration::from_millis(100), RunEnd::Done);
    let repeat = RepeatPlan {
        count: 3,
        first_due: Duration::from_secs(1_006),
        interval: Duration::from_secs(2),
    };
    let record = JobRecord { repeat: Some(repeat), ..job(vec![step(1, &[])]) };
    pool.submit(1, record);
    for (second, expected) in [(5, 0), (7, 1), (9, 2), (11, 3)] {
        pool.run_until(Duration::from_secs(second));
        assert_eq!(seen.borrow().len(), expected, "at {second} s");
    }
    assert_eq!(pool.phase(1), ended(JobOutcome::Completed));
}

// Guards against starting tasks on executors without a required label, and against exceeding the
// limit of tasks per executor.
#[test]
fn label_and_limit_are_respected() {
    let (mut pool, _) = pool(Duration::from_secs(5), RunEnd::Done);
    for executor in &mut pool.executors[..2] {
        executor.labels.push("b".to_owned());
    }
    // The next executor list contains the labels.
    pool.run_until(SUBMITTED + Duration::from_secs(1));
    let constrained =
        JobStep { required_label: Some("b".to_owned()), max_per_executor: 1, ..step(3, &[]) };
    pool.submit(1, job(vec![constrained]));
    pool.run_until(SUBMITTED + Duration::from_secs(2));
    let counts: Vec<usize> = pool.executors.iter().map(|executor| executor.running.len()).collect();
    assert_eq!(counts, vec![1, 1, 0, 0, 0, 0]);
}

// Guards against starting work on an executor that is about to leave.
#[test]
fn draining_executor_gets_no_work() {
    let (mut pool, _) = pool(Duration::from_millis(300), RunEnd::Done);
    pool.executors[0].draining = true;
    pool.run_until(SUBMITTED + Duration::from_millis(700));
    let ends = pool.executors[0].last_number;
    for id in 0..20 {
        pool.submit(id, job(vec![step(6, &[])]));
    }
    pool.run_until(SUBMITTED + Duration::from_secs(10));
    assert_eq!(pool.executors[0].last_number, ends);
    assert_clean(&pool);
    pool.check_end();
    assert_clean(&pool);
}

// Guards against a run without progress that is never stopped.
#[test]
fn stuck_task_restarts_elsewhere() {
    let mut first = true;
    let plan = move |_, _| {
        let stuck = std::mem::take(&mut first);
        ((!stuck).then_some(Duration::from_millis(300)), RunEnd::Done)
    };
    let mut pool = SimulatedPool::new(3, 3, 6).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    pool.submit(1, job(vec![step(1, &[])]));
    pool.run_until(SUBMITTED + Duration::from_secs(6));
    assert_eq!(pool.phase(1), ended(JobOutcome::Completed));
    assert_clean(&pool);
}

// Guards against a pool that starts no tasks after its owner is killed, and against running tasks
// twice.
#[test]
fn killed_owner_is_replaced() {
    let (mut pool, seen) = pool(Duration::from_secs(4), RunEnd::Done);
    pool.submit(1, job(vec![step(6, &[]), step(2, &[0])]));
    pool.run_until(SUBMITTED + Duration::from_secs(1));
    let instance = pool.owner().expect("an instance owns the pool");
    let down = Duration::from_secs(20);
    pool.fault_at(pool.now, InjectedFault::KillInstance { instance, down });
    pool.run_until(SUBMITTED + Duration::from_secs(12));
    assert_eq!(pool.phase(1), ended(JobOutcome::Completed));
    // The runs continue across the change of owner.
    assert_eq!(seen.borrow().len(), 8);
    assert_clean(&pool);
}

// Guards against an owner that owns the pool again after a store outage longer than its authority,
// and waits for the leases of its own earlier ownership as long as for those of another process.
#[test]
fn owner_that_owns_the_pool_again_does_not_wait_for_itself() {
    let plan = |_, _| (Some(Duration::from_secs(600)), RunEnd::Done);
    let mut pool = SimulatedPool::new(5, 1, 6).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    let long_running = JobStep { long_running: true, ..step(6, &[]) };
    pool.submit(1, job(vec![long_running]));
    pool.run_until(SUBMITTED + Duration::from_secs(1));
    assert_eq!(pool.running(1), 6);
    let outage = MAX_STORE_SILENCE + Duration::from_secs(3);
    pool.fault_at(pool.now, InjectedFault::CutFromStore { instance: 0, span: outage });
    let busy = pool.executors.iter().position(|executor| !executor.running.is_empty());
    let executor = busy.expect("an executor runs a task");
    pool.fault_at(
        pool.now + MAX_STORE_SILENCE,
        InjectedFault::CrashExecutor { executor, down: None },
    );
    pool.run_until(pool.now + outage + Duration::from_secs(5));
    assert_eq!(pool.running(1), 6);
    assert_clean(&pool);
}

// Guards against counting reserved capacity twice or never releasing it.
#[test]
fn executors_are_fully_used_but_not_overbooked() {
    let (mut pool, _) = pool(Duration::from_millis(400), RunEnd::Done);
    for id in 0..30 {
        pool.submit(id, job(vec![step(8, &[])]));
    }
    for tenth in 0..60 {
        pool.run_until(SUBMITTED + Duration::from_millis(100 * tenth));
        for executor in &pool.executors {
            assert!(executor.running.len() <= 8, "{} runs more than 8 tasks", executor.name);
        }
    }
    pool.run_until(SUBMITTED + Duration::from_secs(12));
    pool.check_end();
    assert_clean(&pool);
}

// Guards against starts without a ticket, and against one request to the advice service per task.
#[test]
fn advised_step_runs_on_allowed_executors() {
    let (mut pool, _) = pool(Duration::from_secs(2), RunEnd::Done);
    pool.advised = ["e1", "e4"].map(str::to_owned).into();
    let mut record = job(vec![step(6, &[])]);
    record.terms.advice = Some(AdviceTerms { decision_ms: 5, per_executor_ms: 1, valid_ms: 3_000 });
    pool.submit(1, record);
    pool.run_until(SUBMITTED + Duration::from_secs(1));
    let counts: Vec<usize> = pool.executors.iter().map(|executor| executor.running.len()).collect();
    assert_eq!((counts[1] + counts[4], counts.iter().sum::<usize>()), (6, 6));
    assert_eq!(pool.advice_requests, vec![6]);
    pool.run_until(SUBMITTED + Duration::from_secs(4));
    assert_eq!(pool.phase(1), ended(JobOutcome::Completed));
}

// Guards against best-effort work that never runs again after an eviction because it interferes
// with a service on every executor.
#[test]
fn late_best_effort_job_is_retried() {
    let seen = ObservedStarts::default();
    let recorded = Rc::clone(&seen);
    let plan = move |task: TaskName, run| {
        recorded.borrow_mut().push((task, run));
        (Some(Duration::from_secs(60)), RunEnd::Done)
    };
    let mut pool = SimulatedPool::new(3, 2, 1).with_plan(Box::new(plan));
    pool.executors[0].contended_tail_ms = Some(200);
    pool.run_until(SUBMITTED);
    let latency_critical =
        JobStep { long_running: true, tail_target_ms: 50, image: "s".to_owned(), ..step(1, &[]) };
    pool.submit(1, job(vec![latency_critical]));
    let best_effort = JobStep { fills: true, image: "f".to_owned(), ..step(1, &[]) };
    pool.submit(2, job(vec![best_effort]));
    pool.run_until(SUBMITTED + Duration::from_secs(20));
    let before = seen.borrow().len();
    pool.run_until(SUBMITTED + Duration::from_secs(30));
    let starts = seen.borrow().len() - before;
    assert!(starts >= 3, "{starts} starts in 10 s");
    // The best-effort task is evicted each time, so the service does not stay over its target for
    // long.
    assert!(pool.executors[0].running.len() <= 2);
}

// Guards against best-effort jobs that make no progress for seconds in a mostly idle pool because
// only one at a time may start where it interferes with a service.
#[test]
fn many_interfering_jobs_run_while_the_pool_is_idle() {
    let seen = ObservedStarts::default();
    let recorded = Rc::clone(&seen);
    let plan = move |task: TaskName, run| {
        recorded.borrow_mut().push((task, run));
        (Some(Duration::from_secs(60)), RunEnd::Done)
    };
    let mut pool = SimulatedPool::new(3, 2, 6).with_plan(Box::new(plan));
    pool.executors.iter_mut().for_each(|executor| executor.contended_tail_ms = Some(200));
    pool.run_until(SUBMITTED);
    let latency_critical =
        JobStep { long_running: true, tail_target_ms: 50, image: "s".to_owned(), ..step(6, &[]) };
    pool.submit(100, job(vec![JobStep { max_per_executor: 1, ..latency_critical }]));
    for id in 0..24 {
        let best_effort = JobStep { fills: true, image: "f".to_owned(), ..step(1, &[]) };
        pool.submit(id, job(vec![best_effort]));
    }
    pool.run_until(SUBMITTED + Duration::from_secs(30));
    seen.borrow_mut().clear();
    pool.run_until(SUBMITTED + Duration::from_secs(45));
    for id in 0..24 {
        let starts = seen.borrow().iter().filter(|(task, _)| task.job == id).count();
        assert!(starts >= 4, "job {id}: {starts} starts in 15 s");
    }
}

// Guards against a long-running task waiting for too long while the only free capacity is on a
// quarantined executor. Quarantine lasts for 4 s, but the task must start within 3 s.
#[test]
fn long_running_task_starts_on_quarantined_executor_after_a_wait() {
    let plan = |task: TaskName, _| match task.job {
        1 | 2 => (Some(Duration::from_millis(200)), RunEnd::Failed),
        _ => (None, RunEnd::Done),
    };
    let mut pool = SimulatedPool::new(3, 1, 1).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    pool.submit(1, job(vec![step(1, &[])]));
    pool.submit(2, job(vec![step(1, &[])]));
    // Both jobs have had failed runs by then, which quarantine the executor.
    pool.run_until(SUBMITTED + Duration::from_millis(700));
    let long_running = JobStep { long_running: true, ..step(1, &[]) };
    pool.submit(3, job(vec![long_running]));
    pool.run_until(SUBMITTED + Duration::from_millis(1_200));
    assert_eq!(pool.running(3), 0, "the executor is not quarantined");
    pool.run_until(SUBMITTED + Duration::from_millis(3_500));
    assert_eq!(pool.running(3), 1);
}

// Guards against a long-running task that is started again and again on an executor that fails
// everything at once and therefore stays empty, while a healthy executor has room.
#[test]
fn long_running_task_leaves_failing_executor() {
    let plan = |task: TaskName, _| match task.job {
        1 => (Some(Duration::from_millis(200)), RunEnd::Failed),
        _ => (Some(Duration::from_secs(600)), RunEnd::Done),
    };
    let mut pool = SimulatedPool::new(3, 1, 2).with_plan(Box::new(plan));
    pool.executors[0].failing = true;
    pool.run_until(SUBMITTED);
    // Quarantines both executors.
    pool.submit(1, job(vec![step(16, &[])]));
    pool.run_until(SUBMITTED + Duration::from_millis(900));
    let long_running = JobStep { long_running: true, ..step(3, &[]) };
    pool.submit(2, job(vec![long_running]));
    let failed = |pool: &SimulatedPool| {
        pool.executors[0].history.iter().filter(|run| run.task.job == 2).count()
    };
    pool.run_until(SUBMITTED + Duration::from_secs(6));
    assert_eq!((pool.running(2), pool.executors[1].running.len()), (3, 3));
    assert!(failed(&pool) <= 3, "{} runs on the failing executor", failed(&pool));
}

// Guards against a task that stays without a run because every executor with room fails it, after
// one of them has recovered.
#[test]
fn long_running_task_returns_to_recovered_executor() {
    let plan = |_, _| (Some(Duration::from_secs(600)), RunEnd::Done);
    let mut pool = SimulatedPool::new(3, 1, 2).with_plan(Box::new(plan));
    pool.executors.iter_mut().for_each(|executor| executor.failing = true);
    pool.run_until(SUBMITTED);
    pool.submit(1, job(vec![JobStep { long_running: true, ..step(2, &[]) }]));
    pool.run_until(SUBMITTED + Duration::from_secs(20));
    let failed = pool.executors.iter().map(|executor| executor.history.len()).sum::<usize>();
    assert!(failed <= 40, "{failed} runs in 20 s");
    pool.executors[1].failing = false;
    pool.run_until(SUBMITTED + Duration::from_secs(25));
    assert_eq!(pool.running(1), 2);
}

// Guards against long-running tasks that never start because a pass over the queue ends before it
// reaches them: hundreds of jobs ahead of them can still meet their objective but fit on no
// executor.
#[test]
fn full_queue_does_not_starve_long_running_tasks() {
    let (mut pool, _) = pool(Duration::from_secs(60), RunEnd::Done);
    // Leaves one of eight cores free on each of the six executors.
    let wide = TaskNeeds { cpu_millis: 7_000, memory_mb: 1_000, gpus: 0 };
    pool.submit(1, job(vec![JobStep { needs: wide, ..step(6, &[]) }]));
    pool.run_until(SUBMITTED + Duration::from_millis(500));
    assert_eq!(pool.running(1), 6);
    for id in 2..302 {
        let needs = TaskNeeds { cpu_millis: 2_000, memory_mb: 1_000, gpus: 0 };
        let image = format!("image-{id}");
        let waiting = JobStep { needs, image, estimate_ms: 20_000, ..step(1, &[]) };
        pool.submit(id, job(vec![waiting]));
    }
    let long_running = JobStep { long_running: true, ..step(6, &[]) };
    pool.submit(400, job(vec![long_running]));
    pool.run_until(SUBMITTED + Duration::from_secs(3));
    assert_eq!(pool.running(400), 6);
}

// Guards against a count of waiting jobs without those whose only start went to an executor that is cut
// off, and has not been carried out.
#[test]
fn jobs_whose_start_was_lost_count_as_waiting() {
    let (mut pool, _) = pool(Duration::from_secs(60), RunEnd::Done);
    for instance in 0..3 {
        let span = Duration::from_millis(5_500);
        let cut = InjectedFault::CutFromExecutors { instance, executors: vec![0], span };
        pool.fault_at(pool.now, cut);
    }
    pool.run_until(pool.now + Duration::from_millis(50));
    for id in 1..=30 {
        pool.submit(id, job(vec![step(1, &[])]));
    }
    for _ in 0..30 {
        pool.run_until(pool.now + Duration::from_millis(200));
        let begun = |id: &u64| pool.running(*id) > 0;
        let (running, waiting): (Vec<u64>, Vec<u64>) = (1..=30).partition(begun);
        assert!(!running.is_empty());
        for id in waiting {
            assert_eq!(pool.phase(id), Some(JobPhase::Queued), "job {id}, {:?}", pool.now);
        }
    }
    pool.run_until(pool.now + Duration::from_secs(3));
    assert!((1..=30).all(|id| pool.phase(id) == Some(JobPhase::Running)));
}

// Guards against losing runs because their executors are unreachable for a few seconds. With leases
// of 5 s, the leases expired before the connection was restored.
#[test]
fn runs_survive_a_network_cut_of_a_few_seconds() {
    let plan = |_, _| (Some(Duration::from_secs(9)), RunEnd::Done);
    let seen = ObservedStarts::default();
    let recorded = Rc::clone(&seen);
    let plan = move |task, run| {
        recorded.borrow_mut().push((task, run));
        plan(task, run)
    };
    let mut pool = SimulatedPool::new(3, 1, 6).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    pool.submit(1, job(vec![step(12, &[])]));
    pool.run_until(SUBMITTED + Duration::from_secs(1));
    let cut = InjectedFault::CutFromExecutors {
        instance: 0,
        executors: vec![0, 1, 2],
        span: Duration::from_millis(4_800),
    };
    pool.fault_at(pool.now, cut);
    pool.run_until(SUBMITTED + Duration::from_secs(12));
    assert_eq!(seen.borrow().len(), 12, "{:?}", seen.borrow());
    assert_eq!(pool.phase(1), ended(JobOutcome::Completed));
    assert_clean(&pool);
}
