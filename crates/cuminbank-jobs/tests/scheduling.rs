//! Kinds of jobs, each played in a calm world or with the one fault that it is about.

mod support;

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use cuminbank_jobs::{
    job::{AdviceTerms, JobOutcome, JobPhase, JobRecord, JobStep, RepeatPlan, TaskName, TaskNeeds},
    order::RunEnd,
    ownership::MAX_STORE_SILENCE,
};
use support::{
    jobs::{job, step},
    world::{InjectedFault, SimulatedPool},
};

const SUBMITTED: Duration = Duration::from_secs(3);

/// Starts that executors saw, with the run.
type ObservedStarts = Rc<RefCell<Vec<(TaskName, u32)>>>;

/// Returns a world in which each run takes a while and ends as told, and what it starts.
fn world(length: Duration, end: RunEnd) -> (SimulatedPool, ObservedStarts) {
    let seen = ObservedStarts::default();
    let acknowledged = Rc::clone(&seen);
    let plan = move |task, run| {
        acknowledged.borrow_mut().push((task, run));
        (Some(length), end)
    };
    let mut world = SimulatedPool::new(3, 3, 6).with_plan(Box::new(plan));
    world.run_until(SUBMITTED);
    (world, seen)
}

fn ended(outcome: JobOutcome) -> Option<JobPhase> {
    Some(JobPhase::Ended(outcome))
}

fn assert_clean(world: &SimulatedPool) {
    assert!(world.checks.violations.is_empty(), "{:#?}", world.checks.violations);
}

// Guards against a job that can never be done and takes executors for ever.
#[test]
fn failing_job_ends_after_its_attempts() {
    let (mut world, seen) = world(Duration::from_millis(200), RunEnd::Failed);
    world.submit(1, job(vec![step(1, &[])]));
    world.run_until(SUBMITTED + Duration::from_secs(8));
    assert_eq!(world.phase(1), ended(JobOutcome::Failed));
    assert_eq!(seen.borrow().len(), 3);
    assert_clean(&world);
}

// Guards against work that goes on after its client has cancelled it.
#[test]
fn cancelled_job_stops() {
    let (mut world, seen) = world(Duration::from_secs(30), RunEnd::Done);
    world.submit(1, job(vec![step(4, &[])]));
    world.run_until(SUBMITTED + Duration::from_secs(1));
    assert_eq!(world.running(1), 4);
    world.cancel(1);
    world.run_until(SUBMITTED + Duration::from_secs(2));
    assert_eq!(world.running(1), 0);
    assert_eq!(world.phase(1), ended(JobOutcome::Cancelled));
    assert_eq!(seen.borrow().len(), 4);
}

// Guards against a service that is left with fewer tasks after some have ended.
#[test]
fn long_running_tasks_restart() {
    let (mut world, _) = world(Duration::from_millis(700), RunEnd::Failed);
    let long_running = JobStep { long_running: true, ..step(3, &[]) };
    world.submit(1, job(vec![long_running]));
    world.run_until(SUBMITTED + Duration::from_secs(10));
    assert_eq!(world.phase(1), Some(JobPhase::Running));
    assert_eq!(world.running(1), 3);
}

// Guards against members of a gang that wait for the others and hold room.
#[test]
fn gang_starts_whole_or_not_at_all() {
    let (mut world, seen) = world(Duration::from_secs(1), RunEnd::Done);
    let needs = TaskNeeds { cpu_millis: 5_000, memory_mb: 1_000, gpus: 0 };
    let gang = JobStep { gang: true, needs, ..step(4, &[]) };
    // Six executors hold one member each, so that the second gang has to wait.
    world.submit(1, job(vec![gang.clone()]));
    world.submit(2, job(vec![gang]));
    world.run_until(SUBMITTED + Duration::from_millis(600));
    assert_eq!((world.running(1), world.running(2)), (4, 0));
    world.run_until(SUBMITTED + Duration::from_secs(5));
    let mut runs: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
    for (task, run) in seen.borrow().iter() {
        runs.entry(task.job).or_default().push(*run);
    }
    assert_eq!(runs[&1], vec![1; 4]);
    assert_eq!(runs[&2], vec![1; 4]);
}

// Guards against an occurrence that starts before it is due, or never.
#[test]
fn occurrences_start_when_they_are_due() {
    let (mut world, seen) = world(Duration::from_millis(100), RunEnd::Done);
    let repeat = RepeatPlan {
        count: 3,
        first_due: Duration::from_secs(1_006),
        interval: Duration::from_secs(2),
    };
    let record = JobRecord { repeat: Some(repeat), ..job(vec![step(1, &[])]) };
    world.submit(1, record);
    for (second, expected) in [(5, 0), (7, 1), (9, 2), (11, 3)] {
        world.run_until(Duration::from_secs(second));
        assert_eq!(seen.borrow().len(), expected, "at {second} s");
    }
    assert_eq!(world.phase(1), ended(JobOutcome::Completed));
}

// Guards against tasks on executors without what they need.
#[test]
fn label_and_limit_are_kept() {
    let (mut world, _) = world(Duration::from_secs(5), RunEnd::Done);
    for executor in &mut world.executors[..2] {
        executor.labels.push("b".to_owned());
    }
    // The list brings the labels.
    world.run_until(SUBMITTED + Duration::from_secs(1));
    let constrained =
        JobStep { required_label: Some("b".to_owned()), max_per_executor: 1, ..step(3, &[]) };
    world.submit(1, job(vec![constrained]));
    world.run_until(SUBMITTED + Duration::from_secs(2));
    let counts: Vec<usize> =
        world.executors.iter().map(|executor| executor.running.len()).collect();
    assert_eq!(counts, vec![1, 1, 0, 0, 0, 0]);
}

// Guards against work for an executor that is about to leave.
#[test]
fn draining_executor_gets_no_work() {
    let (mut world, _) = world(Duration::from_millis(300), RunEnd::Done);
    world.executors[0].draining = true;
    world.run_until(SUBMITTED + Duration::from_millis(700));
    let ends = world.executors[0].last_number;
    for id in 0..20 {
        world.submit(id, job(vec![step(6, &[])]));
    }
    world.run_until(SUBMITTED + Duration::from_secs(10));
    assert_eq!(world.executors[0].last_number, ends);
    assert_clean(&world);
    world.check_end();
    assert_clean(&world);
}

// Guards against a task that stands still on its executor for ever.
#[test]
fn stuck_task_restarts_elsewhere() {
    let mut first = true;
    let plan = move |_, _| {
        let stuck = std::mem::take(&mut first);
        ((!stuck).then_some(Duration::from_millis(300)), RunEnd::Done)
    };
    let mut world = SimulatedPool::new(3, 3, 6).with_plan(Box::new(plan));
    world.run_until(SUBMITTED);
    world.submit(1, job(vec![step(1, &[])]));
    world.run_until(SUBMITTED + Duration::from_secs(6));
    assert_eq!(world.phase(1), ended(JobOutcome::Completed));
    assert_clean(&world);
}

// Guards against a pool that stands still after its owner was killed, or that runs things twice.
#[test]
fn killed_owner_is_replaced() {
    let (mut world, seen) = world(Duration::from_secs(4), RunEnd::Done);
    world.submit(1, job(vec![step(6, &[]), step(2, &[0])]));
    world.run_until(SUBMITTED + Duration::from_secs(1));
    let instance = world.owner().expect("somebody owns the pool");
    let down = Duration::from_secs(20);
    world.fault_at(world.now, InjectedFault::KillInstance { instance, down });
    world.run_until(SUBMITTED + Duration::from_secs(12));
    assert_eq!(world.phase(1), ended(JobOutcome::Completed));
    // The runs outlast the change of the owner.
    assert_eq!(seen.borrow().len(), 8);
    assert_clean(&world);
}

// Guards against an owner that, after an outage of the store longer than its right, waits for
// orders of its own earlier tenure as if another process gave them.
#[test]
fn owner_that_returns_does_not_wait_for_itself() {
    let plan = |_, _| (Some(Duration::from_secs(600)), RunEnd::Done);
    let mut world = SimulatedPool::new(5, 1, 6).with_plan(Box::new(plan));
    world.run_until(SUBMITTED);
    let long_running = JobStep { long_running: true, ..step(6, &[]) };
    world.submit(1, job(vec![long_running]));
    world.run_until(SUBMITTED + Duration::from_secs(1));
    assert_eq!(world.running(1), 6);
    let outage = MAX_STORE_SILENCE + Duration::from_secs(3);
    world.fault_at(world.now, InjectedFault::CutFromStore { instance: 0, span: outage });
    let busy = world.executors.iter().position(|executor| !executor.running.is_empty());
    let executor = busy.expect("the tasks run somewhere");
    world.fault_at(
        world.now + MAX_STORE_SILENCE,
        InjectedFault::CrashExecutor { executor, down: None },
    );
    world.run_until(world.now + outage + Duration::from_secs(5));
    assert_eq!(world.running(1), 6);
    assert_clean(&world);
}

// Guards against room that is counted twice or never given back.
#[test]
fn executors_are_filled_and_not_overfilled() {
    let (mut world, _) = world(Duration::from_millis(400), RunEnd::Done);
    for id in 0..30 {
        world.submit(id, job(vec![step(8, &[])]));
    }
    for tenth in 0..60 {
        world.run_until(SUBMITTED + Duration::from_millis(100 * tenth));
        for executor in &world.executors {
            assert!(executor.running.len() <= 8, "{} holds too much", executor.name);
        }
    }
    world.run_until(SUBMITTED + Duration::from_secs(12));
    world.check_end();
    assert_clean(&world);
}

// Guards against starts without a ticket, and against a question for each task.
#[test]
fn advised_step_runs_where_it_may() {
    let (mut world, _) = world(Duration::from_secs(2), RunEnd::Done);
    world.advised = ["e1", "e4"].map(str::to_owned).into();
    let mut record = job(vec![step(6, &[])]);
    record.terms.advice = Some(AdviceTerms { decision_ms: 5, per_executor_ms: 1, valid_ms: 3_000 });
    world.submit(1, record);
    world.run_until(SUBMITTED + Duration::from_secs(1));
    let counts: Vec<usize> =
        world.executors.iter().map(|executor| executor.running.len()).collect();
    assert_eq!((counts[1] + counts[4], counts.iter().sum::<usize>()), (6, 6));
    assert_eq!(world.questions, vec![6]);
    world.run_until(SUBMITTED + Duration::from_secs(4));
    assert_eq!(world.phase(1), ended(JobOutcome::Completed));
}

// Guards against filling work that never runs again, since every executor serves something that it
// disturbs.
#[test]
fn late_best_effort_job_is_retried() {
    let seen = ObservedStarts::default();
    let acknowledged = Rc::clone(&seen);
    let plan = move |task: TaskName, run| {
        acknowledged.borrow_mut().push((task, run));
        (Some(Duration::from_secs(60)), RunEnd::Done)
    };
    let mut world = SimulatedPool::new(3, 2, 1).with_plan(Box::new(plan));
    world.executors[0].crowded_tail_ms = Some(200);
    world.run_until(SUBMITTED);
    let serving =
        JobStep { long_running: true, tail_target_ms: 50, image: "s".to_owned(), ..step(1, &[]) };
    world.submit(1, job(vec![serving]));
    let filling = JobStep { fills: true, image: "f".to_owned(), ..step(1, &[]) };
    world.submit(2, job(vec![filling]));
    world.run_until(SUBMITTED + Duration::from_secs(20));
    let before = seen.borrow().len();
    world.run_until(SUBMITTED + Duration::from_secs(30));
    let tries = seen.borrow().len() - before;
    assert!(tries >= 3, "{tries} tries in 10 s");
    // It is moved on each time, so that the service is not over its bound for long.
    assert!(world.executors[0].running.len() <= 2);
}

// Guards against jobs that stand still for seconds while most of the pool is idle, because each
// waits for its turn to disturb a service.
#[test]
fn many_disturbing_jobs_run_while_the_pool_is_idle() {
    let seen = ObservedStarts::default();
    let acknowledged = Rc::clone(&seen);
    let plan = move |task: TaskName, run| {
        acknowledged.borrow_mut().push((task, run));
        (Some(Duration::from_secs(60)), RunEnd::Done)
    };
    let mut world = SimulatedPool::new(3, 2, 6).with_plan(Box::new(plan));
    world.executors.iter_mut().for_each(|executor| executor.crowded_tail_ms = Some(200));
    world.run_until(SUBMITTED);
    let serving =
        JobStep { long_running: true, tail_target_ms: 50, image: "s".to_owned(), ..step(6, &[]) };
    world.submit(100, job(vec![JobStep { max_per_executor: 1, ..serving }]));
    for id in 0..24 {
        let filling = JobStep { fills: true, image: "f".to_owned(), ..step(1, &[]) };
        world.submit(id, job(vec![filling]));
    }
    world.run_until(SUBMITTED + Duration::from_secs(30));
    seen.borrow_mut().clear();
    world.run_until(SUBMITTED + Duration::from_secs(45));
    for id in 0..24 {
        let tries = seen.borrow().iter().filter(|(task, _)| task.job == id).count();
        assert!(tries >= 4, "job {id}: {tries} tries in 15 s");
    }
}

// Guards against a long_running task that waits beside room: an executor that fails what it starts is shunned
// for 4 s, empties meanwhile, and no long_running task may wait for 3 s while there is room.
#[test]
fn long_running_task_uses_quarantined_executor_rather_than_wait() {
    let plan = |task: TaskName, _| match task.job {
        1 | 2 => (Some(Duration::from_millis(200)), RunEnd::Failed),
        _ => (None, RunEnd::Done),
    };
    let mut world = SimulatedPool::new(3, 1, 1).with_plan(Box::new(plan));
    world.run_until(SUBMITTED);
    world.submit(1, job(vec![step(1, &[])]));
    world.submit(2, job(vec![step(1, &[])]));
    // By now both have failed, one after the other.
    world.run_until(SUBMITTED + Duration::from_millis(700));
    let long_running = JobStep { long_running: true, ..step(1, &[]) };
    world.submit(3, job(vec![long_running]));
    world.run_until(SUBMITTED + Duration::from_millis(1_200));
    assert_eq!(world.running(3), 0, "the executor is not shunned");
    world.run_until(SUBMITTED + Duration::from_millis(3_500));
    assert_eq!(world.running(3), 1);
}

// Guards against long_running tasks that get no turn since the pass ends over hundreds of jobs that can still
// be on time and fit nowhere.
#[test]
fn full_queue_does_not_starve_long_running_tasks() {
    let (mut world, _) = world(Duration::from_secs(60), RunEnd::Done);
    // Six executors of eight cores have one left each.
    let wide = TaskNeeds { cpu_millis: 7_000, memory_mb: 1_000, gpus: 0 };
    world.submit(1, job(vec![JobStep { needs: wide, ..step(6, &[]) }]));
    world.run_until(SUBMITTED + Duration::from_millis(500));
    assert_eq!(world.running(1), 6);
    for id in 2..302 {
        let needs = TaskNeeds { cpu_millis: 2_000, memory_mb: 1_000, gpus: 0 };
        let image = format!("image-{id}");
        let waiting = JobStep { needs, image, estimate_ms: 20_000, ..step(1, &[]) };
        world.submit(id, job(vec![waiting]));
    }
    let long_running = JobStep { long_running: true, ..step(6, &[]) };
    world.submit(400, job(vec![long_running]));
    world.run_until(SUBMITTED + Duration::from_secs(3));
    assert_eq!(world.running(400), 6);
}

// Guards against running work that is started again elsewhere, or given up, because its executor was only
// cut off for some seconds: leases of 5 s ended before the cut did.
#[test]
fn running_work_outlasts_a_cut_of_some_seconds() {
    let plan = |_, _| (Some(Duration::from_secs(9)), RunEnd::Done);
    let seen = ObservedStarts::default();
    let acknowledged = Rc::clone(&seen);
    let plan = move |task, run| {
        acknowledged.borrow_mut().push((task, run));
        plan(task, run)
    };
    let mut world = SimulatedPool::new(3, 1, 6).with_plan(Box::new(plan));
    world.run_until(SUBMITTED);
    world.submit(1, job(vec![step(12, &[])]));
    world.run_until(SUBMITTED + Duration::from_secs(1));
    let cut = InjectedFault::CutFromExecutors {
        instance: 0,
        executors: vec![0, 1, 2],
        span: Duration::from_millis(4_800),
    };
    world.fault_at(world.now, cut);
    world.run_until(SUBMITTED + Duration::from_secs(12));
    assert_eq!(seen.borrow().len(), 12, "{:?}", seen.borrow());
    assert_eq!(world.phase(1), ended(JobOutcome::Completed));
    assert_clean(&world);
}
