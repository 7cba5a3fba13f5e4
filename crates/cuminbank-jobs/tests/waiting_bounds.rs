//! Tests of bounds, limits and rejections that make tasks wait although executors have room.

mod support;

use std::time::Duration;

use cuminbank_jobs::{
    ids::JobId,
    job::{AdviceTerms, JobStep, TaskName, TaskNeeds},
};
use support::{
    jobs::step,
    simulation::{InjectedFault, SimulatedPool},
    waiting::{
        burst_length, long_running, play_burst, record, submit, with_lengths, LASTING, LASTING_JOB,
        START_LIMIT, SUBMITTED,
    },
};

const LATER_JOB: JobId = 2_000;
const SHORT_JOB: JobId = 3_000;

fn needs(cpu_millis: u32) -> TaskNeeds {
    TaskNeeds { cpu_millis, memory_mb: 10, gpus: 0 }
}

// Guards against a step with a limit of tasks per executor that requests no further tickets while
// it has tickets for executors on which it has reached the limit.
#[test]
fn advised_step_at_its_limit_requests_further_tickets() {
    // More than one request to the advice service may contain.
    const TASKS: u32 = 35;
    let mut pool = with_lengths(SimulatedPool::new(4, 1, 40), |_| LASTING);
    pool.advised = pool.executors.iter().map(|executor| executor.name.clone()).collect();
    let mut record = record(&pool, JobStep { max_per_executor: 1, ..long_running(TASKS) });
    record.terms.advice = Some(AdviceTerms { decision_ms: 5, per_executor_ms: 1, valid_ms: 3_000 });
    pool.submit(1, record);
    pool.run_until(SUBMITTED + START_LIMIT * 4);
    assert_eq!(pool.running(1), TASKS as usize, "requests: {:?}", pool.advice_requests);
}

// Guards against an advised gang that waits for tickets of as many executors as it has members,
// although several members have room on one.
#[test]
fn advised_gang_starts_on_fewer_executors_than_members() {
    let mut pool = with_lengths(SimulatedPool::new(4, 1, 2), |_| LASTING);
    pool.advised = pool.executors.iter().map(|executor| executor.name.clone()).collect();
    let mut record = record(&pool, JobStep { gang: true, ..step(4, &[]) });
    record.terms.advice = Some(AdviceTerms { decision_ms: 5, per_executor_ms: 1, valid_ms: 3_000 });
    pool.submit(1, record);
    pool.run_until(SUBMITTED + Duration::from_secs(1));
    assert_eq!(pool.running(1), 4);
}

// Guards against starts that come to nothing and begin the wait of a long-running task anew, which
// then never counts as starved.
#[test]
fn rejected_starts_do_not_reset_the_wait() {
    const REJECTED_RUNS: u32 = 3;
    /// Time without a run after which the task is lost.
    const RUN_LIMIT: Duration = Duration::from_secs(6);
    let mut pool = with_lengths(SimulatedPool::new(4, 1, 2), burst_length);
    let task = TaskName { job: LASTING_JOB, occurrence: 0, step: 0, index: 0 };
    for executor in &mut pool.executors {
        executor.closed.insert(task, REJECTED_RUNS);
    }
    play_burst(&mut pool, 200, RUN_LIMIT);
}

// Guards against the same as jobs_without_room_do_not_hide_later_ones, for jobs that are not
// long-running, in a pool of which less than half is in use.
#[test]
fn short_jobs_without_room_do_not_hide_later_ones() {
    let mut pool = with_lengths(SimulatedPool::new(4, 1, 2), |_| LASTING);
    submit(&mut pool, LASTING_JOB, JobStep { max_per_executor: 1, ..long_running(2) });
    pool.run_until(SUBMITTED + Duration::from_millis(500));
    assert_eq!(pool.running(LASTING_JOB), 2);
    for id in 1..200 {
        let image = format!("image-{id}");
        submit(&mut pool, id, JobStep { image, needs: needs(8_000), ..step(1, &[]) });
    }
    submit(&mut pool, LATER_JOB, step(1, &[]));
    // Later the run would be stopped, since stand-in runs of this length report no progress.
    pool.run_until(pool.now + Duration::from_secs(1));
    assert_eq!(pool.running(LATER_JOB), 1);
}

/// Returns a pool of an instance with a small share of a core, with 500 long-running jobs that each
/// have a task which waits because of the limit of its step.
fn pool_with_jobs_at_their_limit() -> SimulatedPool {
    const EXECUTORS: usize = 500;
    const JOBS: u64 = 500;
    const SHARE: f64 = 0.12;
    let length = |task: TaskName| match task.job {
        SHORT_JOB => Duration::from_millis(400),
        _ => LASTING,
    };
    let pool = SimulatedPool::new(4, 1, EXECUTORS).with_processor_share(SHARE);
    let mut pool = with_lengths(pool, length);
    for executor in &mut pool.executors[..2] {
        executor.capacity = TaskNeeds { cpu_millis: 128_000, memory_mb: 64_000, gpus: 0 };
        executor.labels.insert(0, "large".to_owned());
    }
    pool.run_until(SUBMITTED + Duration::from_secs(2));
    for id in 1..=JOBS {
        let step = JobStep {
            max_per_executor: 1,
            required_label: Some("large".to_owned()),
            needs: needs(100),
            image: format!("image-{id}"),
            ..long_running(3)
        };
        submit(&mut pool, id, step);
    }
    pool.run_until(pool.now + Duration::from_secs(10));
    assert_eq!((1..=JOBS).map(|id| pool.running(id)).sum::<usize>() as u64, JOBS * 2);
    pool
}

/// Returns an idle pool of an instance with a small share of a core.
fn weak_pool(seed: u64, executors: usize, share: f64) -> SimulatedPool {
    let length = |task: TaskName| match task.job {
        SHORT_JOB => Duration::from_millis(400),
        _ => LASTING,
    };
    let pool = SimulatedPool::new(seed, 1, executors).with_processor_share(share);
    let mut pool = with_lengths(pool, length);
    pool.run_until(SUBMITTED + Duration::from_secs(2));
    pool
}

/// Returns after what time a job has a run, if it has one within 10 s.
fn time_to_start(pool: &mut SimulatedPool, id: JobId) -> Option<Duration> {
    let submitted = pool.now;
    while pool.running(id) == 0 && pool.now < submitted + Duration::from_secs(10) {
        pool.run_until(pool.now + Duration::from_millis(10));
    }
    (pool.running(id) > 0).then_some(pool.now - submitted)
}

// Guards against jobs that miss their objective although executors have room, because each pass
// first searches for many starved jobs that have reached their limit.
#[test]
fn starved_jobs_at_their_limit_do_not_delay_urgent_ones() {
    // The objective of the job is 1,050 ms, of which it runs for 400 ms.
    const URGENT_START: Duration = Duration::from_millis(650);
    let mut pool = pool_with_jobs_at_their_limit();
    submit(&mut pool, SHORT_JOB, step(1, &[]));
    let started = time_to_start(&mut pool, SHORT_JOB);
    assert!(started.is_some_and(|after| after <= URGENT_START), "{started:?}");
}

// Guards against long-running tasks that wait for the end of a long pass over starved jobs that
// have reached their limit.
#[test]
fn starved_jobs_at_their_limit_do_not_delay_long_running_ones() {
    let mut pool = pool_with_jobs_at_their_limit();
    let started: Vec<Option<Duration>> = (0..3)
        .map(|number| {
            // The passes and the jobs are to begin at different times.
            pool.run_until(pool.now + Duration::from_millis(700));
            submit(&mut pool, LATER_JOB + number, long_running(1));
            time_to_start(&mut pool, LATER_JOB + number)
        })
        .collect();
    let in_time = |after: &Option<Duration>| after.is_some_and(|after| after <= START_LIMIT);
    assert!(started.iter().all(in_time), "{started:?}");
}

// Guards against a long-running task that is sent again and again to an executor which refuses it
// as unhealthy.
#[test]
fn refusal_as_unhealthy_pauses_probation() {
    const TIME: Duration = Duration::from_secs(6);
    // The start before the quarantine, and one per 0.75 s from then on.
    const MAX_STARTS: usize = 8;
    let mut pool = with_lengths(SimulatedPool::new(4, 1, 1), |_| LASTING);
    pool.refusing.insert(pool.executors[0].name.clone());
    submit(&mut pool, LASTING_JOB, long_running(1));
    pool.run_until(SUBMITTED + TIME);
    assert!((2..=MAX_STARTS).contains(&pool.refused_starts), "{} starts", pool.refused_starts);
    pool.refusing.clear();
    pool.run_until(pool.now + Duration::from_secs(1));
    assert_eq!(pool.running(LASTING_JOB), 1);
}

/// Pool in which a single search for [`gang_without_room`] exceeds the budget of a slice.
const GANG_EXECUTORS: usize = 150;
const GANG_SHARE: f64 = 0.03;

/// Returns a gang with a member more than there are executors, each of which has room for one.
fn gang_without_room() -> JobStep {
    JobStep { gang: true, needs: needs(6_000), ..step(GANG_EXECUTORS as u32 + 1, &[]) }
}

// Guards against gangs without room whose failed search exceeds the budget of a slice, so that the
// pass searches for the first one again in each slice and reaches no other step or job.
#[test]
fn waiting_gang_does_not_stop_the_pass() {
    let mut pool = weak_pool(5, GANG_EXECUTORS, GANG_SHARE);
    let mut record = record(&pool, gang_without_room());
    record.steps.push(gang_without_room());
    pool.submit(1, record);
    pool.run_until(pool.now + Duration::from_millis(500));
    submit(&mut pool, SHORT_JOB, step(1, &[]));
    let started = time_to_start(&mut pool, SHORT_JOB);
    assert!(started.is_some_and(|after| after <= Duration::from_millis(650)), "{started:?}");
}

// Guards against jobs that start late although executors have room, because each pass searches for
// tickets for many jobs whose steps the advice service allows nowhere.
#[test]
fn searches_for_tickets_do_not_delay_other_jobs() {
    let mut pool = weak_pool(6, 500, 0.12);
    for id in 1..=300 {
        let mut record = record(&pool, JobStep { needs: needs(100), ..long_running(2) });
        record.terms.advice =
            Some(AdviceTerms { decision_ms: 5, per_executor_ms: 1, valid_ms: 3_000 });
        pool.submit(id, record);
    }
    pool.run_until(pool.now + Duration::from_secs(30));
    let started: Vec<Option<Duration>> = (0..3)
        .map(|number| {
            pool.run_until(pool.now + Duration::from_millis(700));
            submit(&mut pool, LATER_JOB + number, long_running(1));
            time_to_start(&mut pool, LATER_JOB + number)
        })
        .collect();
    let in_time = |after: &Option<Duration>| after.is_some_and(|after| after <= START_LIMIT);
    assert!(started.iter().all(in_time), "{started:?}");
}

/// Returns a pool of a weak instance in which a pass takes seconds, with gangs without room and
/// [`LATER_JOB`], a gang that follows them and whose only executors are the first two.
fn pool_with_waiting_gangs(seed: u64, gangs: u64) -> SimulatedPool {
    let mut pool = weak_pool(seed, GANG_EXECUTORS, GANG_SHARE);
    for executor in &mut pool.executors[..2] {
        executor.labels.insert(0, "large".to_owned());
    }
    // Until the list with the labels has been read.
    pool.run_until(pool.now + Duration::from_secs(1));
    for id in 1..=gangs {
        submit(&mut pool, id, gang_without_room());
    }
    let required_label = Some("large".to_owned());
    let mut last = record(&pool, JobStep { gang: true, required_label, ..step(2, &[]) });
    last.terms.priority = 1;
    pool.submit(LATER_JOB, last);
    pool.run_until(pool.now + Duration::from_millis(100));
    assert_eq!(pool.running(LATER_JOB), 0);
    pool
}

// Guards against a gang that starts on executors which drain since the pass began.
#[test]
fn gang_does_not_start_on_an_executor_that_drains_during_the_pass() {
    let mut pool = pool_with_waiting_gangs(7, 100);
    for executor in &mut pool.executors[..2] {
        executor.draining = true;
    }
    pool.run_until(pool.now + Duration::from_secs(8));
    let started: usize = pool.executors[..2].iter().map(|executor| executor.history.len()).sum();
    assert_eq!(started, 0);
}

// Guards against a panic of the pass because an executor that it knows was removed meanwhile.
#[test]
fn removal_of_an_executor_during_the_pass_is_survived() {
    let mut pool = pool_with_waiting_gangs(8, 600);
    pool.fault_at(pool.now, InjectedFault::CrashExecutor { executor: 2, down: None });
    pool.run_until(pool.now + Duration::from_secs(20));
    assert_eq!(pool.running(LATER_JOB), 2);
}

// Guards against a long-running task whose wait begins only when the lease of its silent executor has
// expired, so that other jobs come first for another 2 s.
#[test]
fn wait_counts_from_the_last_report_of_a_silent_executor() {
    /// Lease of at most 6 s on a clock up to 2 % slow, the time for stops, and a pass.
    const RESTART_LIMIT: Duration = Duration::from_millis(7_500);
    let mut pool = with_lengths(SimulatedPool::new(4, 1, 3), burst_length);
    submit(&mut pool, LASTING_JOB, long_running(1));
    pool.run_until(pool.now + Duration::from_secs(2));
    let executor = pool.executors.iter().position(|executor| !executor.running.is_empty());
    let executor = executor.expect("the task runs");
    pool.fault_at(pool.now, InjectedFault::CrashExecutor { executor, down: None });
    let crashed_at = pool.now;
    for id in 0..RESTART_LIMIT.as_millis() as u64 / 100 {
        submit(&mut pool, id, step(8, &[]));
        pool.run_until(crashed_at + Duration::from_millis(100) * (id as u32 + 1));
    }
    assert_eq!(pool.running(LASTING_JOB), 1);
}
