//! A full pool in which small tasks take each piece of capacity as it becomes free, with and without
//! reservations of executors for large tasks.

mod support;

use std::{collections::BTreeMap, ops::Range, time::Duration};

use cuminbank_jobs::{
    ids::{JobId, MonotonicTime},
    job::{JobStep, TaskName, TaskNeeds},
    order::RunEnd,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{
    jobs::step,
    simulation::{InjectedFault, SimulatedPool},
    waiting::{record, submit, LASTING, START_LIMIT, SUBMITTED},
};

/// Ids of the jobs of each kind.
const SMALL_JOBS: Range<JobId> = 0..1_000_000;
const LARGE_JOBS: Range<JobId> = 1_000_000..2_000_000;
const LONG_RUNNING_JOBS: Range<JobId> = 2_000_000..3_000_000;
/// Number of executors of 8 cores, and of the long-running tasks of a core on them.
const EXECUTORS: usize = 48;
const CORES: u32 = 8;
const LONG_RUNNING_TASKS: u64 = 48;
/// Small tasks need 1 or 2 cores, large ones 6, all for 0.1 to 0.9 s. A job of small tasks has five on
/// average.
const SMALL_CORES: f64 = 1.5;
const LARGE_CORES: u32 = 6;
const TASK_SECONDS: f64 = 0.4;
const SMALL_TASKS: f64 = 5.0;
/// Time between two large tasks.
const LARGE_INTERVAL: Duration = Duration::from_millis(200);
/// Part of the capacity that all tasks need together, on average.
const LOAD: f64 = 0.97;
/// Time for which jobs arrive, and time after it until the end.
const STREAM: Duration = Duration::from_secs(20);
const FINISH: Duration = Duration::from_secs(10);
/// Parts of the log entries about reservations.
const EVENTS: [&str; 3] = ["was reserved", "reserved for it", "given up"];

/// Waits of the tasks of a kind, in ascending order. A task that has not started waits until the end.
#[derive(Debug)]
struct KindWaits(Vec<Duration>);

impl KindWaits {
    fn percentile(&self, percent: usize) -> Duration {
        self.0[(self.0.len() - 1) * percent / 100]
    }

    fn mean(&self) -> Duration {
        self.0.iter().sum::<Duration>() / self.0.len() as u32
    }

    fn describe(&self) -> String {
        let [median, ninth, longest] = [50, 90, 100].map(|percent| self.percentile(percent));
        let (count, mean) = (self.0.len(), self.mean());
        format!("{count} tasks: mean {mean:.2?}, {median:.2?}, {ninth:.2?}, {longest:.2?}")
    }
}

/// Stream of small and large tasks beside long-running ones, with the time at which each was
/// submitted.
struct TaskStream {
    pool: SimulatedPool,
    submitted: BTreeMap<TaskName, MonotonicTime>,
    random: ChaCha8Rng,
    next_ids: [JobId; 3],
}

impl TaskStream {
    fn new(seed: u64, reservations: bool) -> Self {
        let mut lengths = ChaCha8Rng::seed_from_u64(seed ^ 1);
        let plan = move |task: TaskName, _| {
            let length = match LONG_RUNNING_JOBS.contains(&task.job) {
                true => LASTING,
                false => estimate_of(task.job).mul_f64(lengths.random_range(0.5..1.5)),
            };
            (Some(length), RunEnd::Done)
        };
        let pool = SimulatedPool::new(seed, 2, EXECUTORS).with_task_reservations(reservations);
        let mut stream = Self {
            pool: pool.with_plan(Box::new(plan)),
            submitted: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            next_ids: [SMALL_JOBS.start, LARGE_JOBS.start, LONG_RUNNING_JOBS.start],
        };
        stream.pool.run_until(SUBMITTED);
        (0..LONG_RUNNING_TASKS).for_each(|_| stream.submit_long_running());
        stream.pool.run_until(SUBMITTED + Duration::from_secs(1));
        stream
    }

    fn submit(&mut self, kind: usize, spec: JobStep) {
        let job = self.next_ids[kind];
        self.next_ids[kind] += 1;
        let estimate_ms = estimate_of(job).as_millis() as u32;
        for index in 0..spec.count {
            let name = TaskName { job, occurrence: 0, step: 0, index };
            self.submitted.insert(name, self.pool.now);
        }
        submit(&mut self.pool, job, JobStep { estimate_ms, ..spec });
    }

    fn submit_small(&mut self) {
        let count = self.random.random_range(1..=9);
        let needs = needs(self.random.random_range(1..=2));
        self.submit(0, JobStep { needs, ..step(count, &[]) });
    }

    fn submit_large(&mut self) {
        self.submit(1, JobStep { needs: needs(LARGE_CORES), ..step(1, &[]) });
    }

    fn submit_long_running(&mut self) {
        self.submit(2, JobStep { needs: needs(1), long_running: true, ..step(1, &[]) });
    }

    /// Plays the stream. Every fifth large task, a long-running one arrives and another one ends.
    fn play(mut self) -> Self {
        let large = f64::from(LARGE_CORES) * TASK_SECONDS / LARGE_INTERVAL.as_secs_f64();
        let capacity = f64::from(CORES) * EXECUTORS as f64 - LONG_RUNNING_TASKS as f64;
        let interval = SMALL_TASKS * SMALL_CORES * TASK_SECONDS / (capacity * LOAD - large);
        let end = self.pool.now + STREAM;
        let (mut next_small, mut next_large) = (self.pool.now, self.pool.now + LARGE_INTERVAL);
        while self.pool.now < end {
            self.pool.run_until(next_small.min(next_large));
            if self.pool.now == next_small {
                self.submit_small();
                let pause = interval * self.random.random_range(0.5..1.5);
                next_small += Duration::from_secs_f64(pause);
                continue;
            }
            self.submit_large();
            next_large += LARGE_INTERVAL;
            if self.next_ids[1].is_multiple_of(5) {
                self.submit_long_running();
                self.pool.cancel(self.next_ids[2] - LONG_RUNNING_TASKS - 1);
            }
        }
        self.pool.run_until(end + FINISH);
        self
    }

    /// Returns the waits of the tasks of some jobs until their first run.
    fn waits(&self, jobs: &Range<JobId>) -> KindWaits {
        let mut started: BTreeMap<TaskName, MonotonicTime> = BTreeMap::new();
        for run in self.pool.executors.iter().flat_map(|executor| &executor.history) {
            let first = started.entry(run.task).or_insert(run.started);
            *first = run.started.min(*first);
        }
        let tasks = self.submitted.iter().filter(|(task, _)| jobs.contains(&task.job));
        let waits = tasks.map(|(task, submitted)| {
            started.get(task).unwrap_or(&self.pool.now).saturating_sub(*submitted)
        });
        let mut waits: Vec<Duration> = waits.collect();
        waits.sort_unstable();
        KindWaits(waits)
    }

    fn kinds(&self) -> [KindWaits; 3] {
        [SMALL_JOBS, LARGE_JOBS, LONG_RUNNING_JOBS].map(|jobs| self.waits(&jobs))
    }

    fn count_events(&self, text: &str) -> usize {
        self.pool.trace.iter().filter(|line| line.contains(text)).count()
    }

    fn describe(&self) -> String {
        let [small, large, long_running] = self.kinds().map(|waits| waits.describe());
        let events = EVENTS.map(|event| self.count_events(event));
        format!("small {small}; large {large}; long-running {long_running}; events {events:?}")
    }
}

/// Returns the estimated run time of a job's tasks, [`TASK_SECONDS`] on average.
fn estimate_of(job: JobId) -> Duration {
    Duration::from_millis(200 + job % 3 * 200)
}

fn needs(cores: u32) -> TaskNeeds {
    TaskNeeds { cpu_millis: cores * 1_000, memory_mb: 100, gpus: 0 }
}

// Guards against large tasks that wait for many times their run time because small ones take each
// piece of capacity, and against reservations that make other tasks wait in their place.
#[test]
fn large_tasks_wait_less_with_reservations() {
    for seed in 0..3 {
        let without = TaskStream::new(seed, false).play();
        let with = TaskStream::new(seed, true).play();
        let described = format!("seed {seed}\n{}\n{}", without.describe(), with.describe());
        eprintln!("{described}");
        let [small_before, large_before, _] = without.kinds();
        let [small, large, long_running] = with.kinds();
        assert!(large_before.percentile(50) >= Duration::from_secs(4), "{described}");
        assert!(large.percentile(50) <= Duration::from_secs(1), "{described}");
        assert!(large.percentile(90) <= Duration::from_secs(2), "{described}");
        assert!(small.mean() <= small_before.mean() * 5 / 4, "{described}");
        assert!(small.percentile(50) <= Duration::from_millis(50), "{described}");
        assert!(long_running.percentile(100) <= START_LIMIT, "{described}");
        for stream in [&without, &with] {
            assert!(
                stream.pool.checks.violations.is_empty(),
                "{:#?}",
                stream.pool.checks.violations
            );
        }
        // Each of these passes was checked for tasks that wait although an executor accepts them.
        assert!(with.pool.settled_passes > 100, "{} passes checked", with.pool.settled_passes);
        assert_eq!(EVENTS.map(|event| without.count_events(event)), [0; 3], "{described}");
    }
}

// Guards against reservations that are not made again after a change of owner, and against
// long-running tasks without a run beside room meanwhile (checked by the pool).
#[test]
fn next_owner_reserves_executors_again() {
    let mut stream = TaskStream::new(3, true);
    let owner = stream.pool.owner().expect("an instance owns the pool");
    let kill = InjectedFault::KillInstance { instance: owner, down: Duration::from_secs(60) };
    stream.pool.fault_at(stream.pool.now + STREAM / 2, kill);
    let stream = stream.play();
    let described = stream.describe();
    eprintln!("{described}");
    let [_, large, _] = stream.kinds();
    assert!(large.percentile(50) <= Duration::from_millis(1_500), "{described}");
    let successor = format!(" i{} ", 1 - owner);
    let made_again = |line: &&String| line.contains(&successor) && line.contains(EVENTS[0]);
    assert!(stream.pool.trace.iter().filter(made_again).count() > 10, "{described}");
    assert!(stream.pool.checks.violations.is_empty(), "{:#?}", stream.pool.checks.violations);
}

/// Returns the executors in the log entries with a text.
fn executors_in(pool: &SimulatedPool, text: &str) -> Vec<String> {
    let lines = pool.trace.iter().filter(|line| line.contains(text));
    let executors = lines.filter_map(|line| line.split("executor=").nth(1)?.split(' ').next());
    executors.map(str::to_owned).collect()
}

// Guards against a reservation that stays on an executor which is gone, so that its task waits for
// room there.
#[test]
fn reservation_ends_with_its_executor() {
    check_lost_executor(|executor| InjectedFault::CrashExecutor { executor, down: None });
}

// Guards against a reservation that stays on an executor which drains and accepts no more tasks.
#[test]
fn reservation_ends_when_its_executor_drains() {
    check_lost_executor(|executor| InjectedFault::DrainExecutor { executor });
}

/// Checks that another executor is reserved once the first one gets no new work because of a fault.
fn check_lost_executor(fault: fn(usize) -> InjectedFault) {
    const SMALL_LENGTH: Duration = Duration::from_secs(2);
    const FEW: usize = 6;
    let plan = |_, _| (Some(SMALL_LENGTH), RunEnd::Done);
    let mut pool =
        SimulatedPool::new(4, 1, FEW).with_task_reservations(true).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    let small = |count| JobStep { needs: needs(1), estimate_ms: 2_000, ..step(count, &[]) };
    submit(&mut pool, 1, small(FEW as u32 * CORES));
    pool.run_until(SUBMITTED + Duration::from_millis(100));
    submit(&mut pool, 2, JobStep { needs: needs(LARGE_CORES), estimate_ms: 2_000, ..step(1, &[]) });
    pool.run_until(SUBMITTED + Duration::from_millis(600));
    let reserved = executors_in(&pool, EVENTS[0]);
    assert_eq!((reserved.len(), pool.running(2)), (1, 0), "{reserved:?}");
    let executor = pool.executors.iter().position(|executor| executor.name == reserved[0]);
    let executor = executor.expect("the reserved executor exists");
    pool.fault_at(pool.now, fault(executor));
    pool.run_until(pool.now + Duration::from_millis(500));
    assert_eq!(executors_in(&pool, "cause=ExecutorLost"), reserved);
    let reserved = executors_in(&pool, EVENTS[0]);
    assert!(reserved.len() == 2 && reserved[0] != reserved[1], "{reserved:?}");
    pool.run_until(SUBMITTED + SMALL_LENGTH + Duration::from_millis(500));
    assert_eq!(pool.running(2), 1);
}

// Guards against an executor that stays reserved for a job whose result has no value any more.
#[test]
fn reservation_ends_when_its_job_is_overdue() {
    const FEW: usize = 6;
    let plan = |_, _| (Some(Duration::from_secs(2)), RunEnd::Done);
    let mut pool =
        SimulatedPool::new(4, 1, FEW).with_task_reservations(true).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    let small = |count| JobStep { needs: needs(1), estimate_ms: 2_000, ..step(count, &[]) };
    submit(&mut pool, 1, small(FEW as u32 * CORES));
    pool.run_until(SUBMITTED + Duration::from_millis(100));
    // Its objective is about 250 ms, so its result has no value after 750 ms.
    submit(&mut pool, 2, JobStep { needs: needs(LARGE_CORES), estimate_ms: 1, ..step(1, &[]) });
    pool.run_until(SUBMITTED + Duration::from_millis(600));
    let reserved = executors_in(&pool, EVENTS[0]);
    assert_eq!((reserved.len(), executors_in(&pool, EVENTS[2]).len()), (1, 0), "{reserved:?}");
    pool.run_until(SUBMITTED + Duration::from_millis(1_200));
    assert_eq!(executors_in(&pool, "cause=NotNeeded"), reserved);
    assert_eq!(executors_in(&pool, EVENTS[0]), reserved, "not reserved again");
}

// Guards against a step that reserves an executor again and again beside runs that hang there.
#[test]
fn executor_with_hanging_runs_is_not_reserved_again_and_again() {
    const FEW: usize = 6;
    let plan = |_, _| (Some(LASTING), RunEnd::Done);
    let mut pool =
        SimulatedPool::new(4, 1, FEW).with_task_reservations(true).with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    let small = |count| JobStep { needs: needs(1), estimate_ms: 400, ..step(count, &[]) };
    submit(&mut pool, 1, small(FEW as u32 * CORES));
    pool.run_until(SUBMITTED + Duration::from_millis(100));
    // Its objective is so long that it does not become overdue.
    let large = JobStep { needs: needs(LARGE_CORES), estimate_ms: 60_000, ..step(1, &[]) };
    submit(&mut pool, 2, large);
    pool.run_until(SUBMITTED + Duration::from_secs(5));
    let mut reserved = executors_in(&pool, EVENTS[0]);
    let made = reserved.len();
    reserved.sort_unstable();
    reserved.dedup();
    assert!(made > 0 && made == reserved.len(), "{made} reservations of {reserved:?}");
}

// Guards against a step that reserves all of the few executors with the label that it requires.
#[test]
fn few_executors_with_a_label_are_reserved() {
    const WIDE_POOL: usize = 130;
    const LABELLED: usize = 4;
    const LENGTH: Duration = Duration::from_secs(2);
    let plan = |_, _| (Some(LENGTH), RunEnd::Done);
    let mut pool =
        SimulatedPool::new(4, 1, WIDE_POOL).with_task_reservations(true).with_plan(Box::new(plan));
    for executor in pool.executors.iter_mut().take(LABELLED) {
        executor.labels.push("few".to_owned());
    }
    pool.run_until(SUBMITTED);
    let small = |count| JobStep { needs: needs(1), estimate_ms: 2_000, ..step(count, &[]) };
    submit(&mut pool, 1, small(WIDE_POOL as u32 * CORES));
    pool.run_until(SUBMITTED + Duration::from_millis(400));
    let large = JobStep { needs: needs(LARGE_CORES), estimate_ms: 2_000, ..step(8, &[]) };
    submit(&mut pool, 2, JobStep { required_label: Some("few".to_owned()), ..large });
    pool.run_until(SUBMITTED + Duration::from_millis(1_200));
    let reserved = executors_in(&pool, EVENTS[0]);
    assert_eq!((reserved.len(), pool.running(2)), (1, 0), "{reserved:?}");
}

// Guards against a reserved executor that stays idle although a short task would end in time, because
// the failed search of a longer task of the same shape stands for it, and against a task without an
// estimate that starts there as if it ended at once.
#[test]
fn short_task_runs_on_a_reserved_executor_meanwhile() {
    const FEW: usize = 6;
    const LENGTH: Duration = Duration::from_secs(4);
    const SHORT_JOB: JobId = 4;
    const UNKNOWN_JOB: JobId = 5;
    let plan = |task: TaskName, _| match task.job {
        SHORT_JOB => (Some(Duration::from_millis(400)), RunEnd::Done),
        _ => (Some(LENGTH), RunEnd::Done),
    };
    let mut pool =
        SimulatedPool::new(4, 1, FEW).with_task_reservations(true).with_plan(Box::new(plan));
    // Jobs prefer one zone each, which would leave room for the large task in another one.
    pool.executors.iter_mut().for_each(|executor| executor.zone = "z".to_owned());
    pool.run_until(SUBMITTED);
    let long =
        |count, cores| JobStep { needs: needs(cores), estimate_ms: 4_000, ..step(count, &[]) };
    submit(&mut pool, 1, long(FEW as u32 * (CORES - 1), 1));
    pool.run_until(SUBMITTED + Duration::from_millis(100));
    submit(&mut pool, 2, long(1, LARGE_CORES));
    pool.run_until(SUBMITTED + Duration::from_millis(600));
    let reserved = executors_in(&pool, EVENTS[0]);
    assert_eq!((reserved.len(), pool.running(2)), (1, 0), "{reserved:?}");
    submit(&mut pool, 3, long(10, 1));
    pool.run_until(SUBMITTED + Duration::from_millis(700));
    assert_eq!(pool.running(3), FEW - 1, "one task on each of the other executors");
    let unknown = JobStep { needs: needs(1), estimate_ms: 0, ..step(1, &[]) };
    submit(&mut pool, UNKNOWN_JOB, unknown);
    pool.run_until(SUBMITTED + Duration::from_millis(750));
    assert_eq!(pool.running(UNKNOWN_JOB), 0);
    let mut short = record(&pool, JobStep { needs: needs(1), ..step(1, &[]) });
    short.terms.priority = 1;
    pool.submit(SHORT_JOB, short);
    pool.run_until(SUBMITTED + Duration::from_millis(800));
    assert_eq!(pool.running(SHORT_JOB), 1);
    pool.run_until(SUBMITTED + LENGTH + Duration::from_millis(300));
    assert_eq!(pool.running(2), 1);
    assert!(pool.checks.violations.is_empty(), "{:#?}", pool.checks.violations);
}

// Guards against a search of all executors for each estimate although none is reserved.
#[test]
fn failed_search_counts_for_shorter_tasks_without_reservations() {
    const WIDE_POOL: u32 = 300;
    const JOBS: JobId = 10;
    let plan = |_, _| (Some(LASTING), RunEnd::Done);
    let pool = SimulatedPool::new(5, 1, WIDE_POOL as usize).with_task_reservations(true);
    let mut pool = pool.with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    // Tasks of one size leave no gaps that only smaller ones can use, so that none is reserved.
    let task =
        |count, estimate_ms| JobStep { needs: needs(CORES - 1), estimate_ms, ..step(count, &[]) };
    let filling = JobStep { long_running: true, max_per_executor: 1, ..task(WIDE_POOL, 60_000) };
    submit(&mut pool, 100, filling);
    pool.run_until(SUBMITTED + Duration::from_secs(5));
    pool.max_units = 0;
    for id in 1..=JOBS {
        let mut shorter = record(&pool, task(1, 50_000 - id as u32 * 1_000));
        shorter.terms.priority = id as u32;
        pool.submit(id, shorter);
    }
    pool.run_until(pool.now + Duration::from_secs(2));
    assert_eq!((pool.running(100), executors_in(&pool, EVENTS[0]).len()), (WIDE_POOL as usize, 0));
    let units = pool.max_units;
    assert!((WIDE_POOL..WIDE_POOL * 5).contains(&units), "{units} units for {JOBS} jobs");
}

// Guards against passes that exceed their budget because of forecasts and demand, on an instance with
// a small share of a core, 490 executors and 1,000 waiting jobs of many sizes.
#[test]
fn reservations_keep_passes_within_their_budget() {
    const WEAK_SHARE: f64 = 0.12;
    const WEAK_UNITS: u32 = 3_840;
    const WIDE_POOL: u32 = 490;
    const JOBS: JobId = 1_000;
    /// Units for evaluating every executor once, and for searching 64 of them for room.
    const SEARCH_UNITS: u32 = WIDE_POOL * 9 + 200 + WIDE_POOL + 64 * (4 + CORES);
    let plan = |task: TaskName, _| match LONG_RUNNING_JOBS.contains(&task.job) {
        true => (Some(LASTING), RunEnd::Done),
        false => (Some(Duration::from_millis(900)), RunEnd::Done),
    };
    let mut pool = SimulatedPool::new(5, 1, WIDE_POOL as usize)
        .with_processor_share(WEAK_SHARE)
        .with_task_reservations(true)
        .with_plan(Box::new(plan));
    pool.run_until(SUBMITTED);
    // Half of the executors have a core left, and the others five.
    for (id, cores) in LONG_RUNNING_JOBS.zip([7, 3]) {
        let spec = JobStep { needs: needs(cores), long_running: true, ..step(WIDE_POOL / 2, &[]) };
        submit(&mut pool, id, JobStep { max_per_executor: 1, ..spec });
        pool.run_until(pool.now + Duration::from_secs(5));
    }
    let begin = pool.now;
    for id in 0..JOBS {
        let cpu_millis = 900 + (id as u32 * 37) % 4_000;
        let needs = TaskNeeds { cpu_millis, memory_mb: 100, gpus: 0 };
        submit(&mut pool, id, JobStep { needs, estimate_ms: 900, ..step(4, &[]) });
    }
    pool.run_until(begin + Duration::from_millis(200));
    pool.max_units = 0;
    pool.run_until(begin + Duration::from_secs(30));
    let done = (0..JOBS).filter(|id| pool.checks.is_done(*id)).count() as u64;
    let made = executors_in(&pool, EVENTS[0]).len();
    let runs = pool.executors.iter().flat_map(|executor| &executor.history);
    let last = runs.map(|run| run.started).max().map(|last| last.saturating_sub(begin));
    eprintln!("{} units, {done} done, {made} reserved, last start {last:?}", pool.max_units);
    assert!(pool.max_units <= WEAK_UNITS + SEARCH_UNITS, "{} units", pool.max_units);
    assert_eq!((done, made > 0), (JOBS, true));
    assert!(pool.checks.violations.is_empty(), "{:#?}", pool.checks.violations);
}
