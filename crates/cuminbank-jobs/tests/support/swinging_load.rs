//! Day on which the load of long-running tasks swings while best-effort jobs arrive, at a fifth of the
//! size of a pool of 490 executors. Some pairs of images interfere, and some best-effort tasks take
//! seven times as long as estimated.

use std::{collections::BTreeMap, time::Duration};

use cuminbank_jobs::{
    ids::{JobId, MonotonicTime},
    job::{JobPhase, JobRecord, JobStep, TaskName, TaskNeeds},
    order::RunEnd,
};
use cuminbank_platform_standin::executor::{FakeExecutor, FakeRun};

use super::{
    jobs::{step, terms},
    simulation::{InjectedFault, SimulatedPool},
    waiting::LASTING,
};

const EXECUTORS: usize = 96;
/// Ids of the jobs: long-running, quick and best-effort ones.
const QUICK: JobId = 10_000;
const BEST_EFFORT: JobId = 100_000;
/// Images of the long-running tasks and of the best-effort ones, chosen by the id of the job.
const SERVICE_IMAGES: u64 = 6;
const BEST_EFFORT_IMAGES: u64 = 9;
const TAIL_TARGET_MS: u32 = 1_000;
/// Period of a swing, and window of a tail latency.
const SWING: Duration = Duration::from_secs(14);
const TAIL_WINDOW_MS: u128 = 500;
const SAMPLE: Duration = Duration::from_millis(100);
/// Time until which jobs arrive, and end of the day. An executor of the simulation keeps no checkpoint
/// of an evicted task, so that the last ones may begin anew several times.
const ARRIVALS_END: Duration = Duration::from_secs(50);
const END: Duration = Duration::from_secs(120);
/// Start of the period that counts: most pairs of images are known by then.
const COUNTED_FROM: Duration = Duration::from_secs(15);
/// Intervals between best-effort jobs of 2 steps of 20 tasks, and between quick jobs of 16 tasks.
const BEST_EFFORT_INTERVAL: Duration = Duration::from_millis(280);
const QUICK_INTERVAL: Duration = Duration::from_millis(415);
/// CPU of a best-effort task, in thousandths of a core.
const BEST_EFFORT_CPU: u32 = 7_000;

/// Load of a day.
#[derive(Clone, Copy, Debug)]
pub struct DayLoad {
    /// Number of long-running jobs that run at the same time, with 14 tasks of 13 cores each.
    pub long_running_jobs: u64,
    /// Share of a core of each instance.
    pub processor_share: f64,
}

/// Results of a day, of several days if added.
#[derive(Clone, Copy, Debug, Default)]
pub struct DayResult {
    /// Time for which long-running tasks were over their target, summed over the tasks.
    pub over_target: Duration,
    /// Time for which long-running tasks were without a run, summed over the tasks.
    pub without_run: Duration,
    /// Time from submission to the end, summed over the best-effort jobs, and over the quick ones.
    pub best_effort_time: Duration,
    pub quick_time: Duration,
    /// Number of best-effort and quick jobs that had not ended at the end of the day.
    pub unfinished: usize,
    /// Highest number of work units in a call of the scheduler.
    pub max_units: u32,
}

impl DayResult {
    /// Returns the sum of two results.
    pub fn plus(self, other: Self) -> Self {
        Self {
            over_target: self.over_target + other.over_target,
            without_run: self.without_run + other.without_run,
            best_effort_time: self.best_effort_time + other.best_effort_time,
            quick_time: self.quick_time + other.quick_time,
            unfinished: self.unfinished + other.unfinished,
            max_units: self.max_units.max(other.max_units),
        }
    }
}

/// Returns the share of its capacity that an image's long-running tasks use.
fn load_at(now: MonotonicTime, image: u64) -> f64 {
    let phase = now.as_secs_f64() / SWING.as_secs_f64() + image as f64 / SERVICE_IMAGES as f64;
    0.45 * (1.0 + 0.5 * (phase * std::f64::consts::TAU).sin())
}

/// Returns the loss of slack if the best-effort image used an entire executor. More than half of the
/// pairs lose 3 to 20, the others almost nothing.
fn effect(service: u64, best_effort: u64) -> f64 {
    let losses = [3.0, 0.2, 6.0, 0.2, 10.0, 0.2, 15.0, 20.0, 0.2];
    losses[((service * 7 + best_effort * 5) % 9) as usize]
}

fn slack_on(now: MonotonicTime, executor: &FakeExecutor, service: u64) -> f64 {
    let best_effort = executor.running.iter().filter(|run| run.task.job >= BEST_EFFORT);
    let share = f64::from(BEST_EFFORT_CPU) / f64::from(executor.capacity.cpu_millis);
    let lost = best_effort.map(|run| effect(service, run.task.job % BEST_EFFORT_IMAGES) * share);
    (5.0 * (1.0 - load_at(now, service)) - lost.sum::<f64>()).max(0.2)
}

/// Returns the tail latency that a run reports, which differs by up to a fifth from the true one.
fn reported_tail(now: MonotonicTime, executor: &FakeExecutor, run: &FakeRun) -> Option<u64> {
    if run.task.job >= QUICK {
        return None;
    }
    let window = now.as_millis() / TAIL_WINDOW_MS;
    let noise = crc32fast::hash(format!("{window} {} {:?}", executor.name, run.task).as_bytes());
    let factor = 0.8 + f64::from(noise % 1_000) / 2_500.0;
    let slack = slack_on(now, executor, run.task.job % SERVICE_IMAGES) * factor;
    Some((f64::from(TAIL_TARGET_MS) / slack) as u64)
}

fn run_time(task: TaskName) -> Duration {
    if task.job < QUICK {
        return LASTING;
    }
    if task.job < BEST_EFFORT {
        return Duration::from_millis(680);
    }
    let hash = crc32fast::hash(format!("{task:?}").as_bytes());
    Duration::from_millis(if hash % 100 < 3 { 13_300 } else { 1_900 })
}

fn needs(cpu_millis: u32) -> TaskNeeds {
    TaskNeeds { cpu_millis, memory_mb: 1_000, gpus: 0 }
}

fn record(now: MonotonicTime, priority: u32, steps: Vec<JobStep>) -> JobRecord {
    let mut terms = terms(3);
    terms.priority = priority;
    let accepted_at = Duration::from_secs(1_000) + now;
    JobRecord { payload: "p".to_owned(), steps, repeat: None, terms, accepted_at }
}

/// Simulated day.
struct SwingingDay {
    pool: SimulatedPool,
    result: DayResult,
    submitted: BTreeMap<JobId, MonotonicTime>,
}

impl SwingingDay {
    fn new(seed: u64, calm_placement: bool, load: DayLoad) -> Self {
        let plan = move |task, _| (Some(run_time(task)), RunEnd::Done);
        let mut pool = SimulatedPool::new(seed, 2, EXECUTORS)
            .with_plan(Box::new(plan))
            .with_processor_share(load.processor_share)
            .with_calm_placement(calm_placement);
        for (number, executor) in pool.executors.iter_mut().enumerate() {
            let cores = if number % 3 == 2 { 96 } else { 64 };
            executor.capacity =
                TaskNeeds { cpu_millis: cores * 1_000, memory_mb: 256_000, gpus: 0 };
            executor.zone = format!("z{}", number / 4 % 3);
            executor.tails = Some(Box::new(reported_tail));
        }
        Self { pool, result: DayResult::default(), submitted: BTreeMap::new() }
    }

    fn submit(&mut self, id: JobId, priority: u32, steps: Vec<JobStep>) {
        let now = self.pool.now;
        self.pool.submit(id, record(now, priority, steps));
        self.submitted.insert(id, now);
    }

    fn submit_long_running(&mut self, id: JobId) {
        let spec = JobStep {
            needs: needs(13_000),
            image: format!("service-{}", id % SERVICE_IMAGES),
            long_running: true,
            tail_target_ms: TAIL_TARGET_MS,
            max_per_executor: (id % 2) as u32 * 2,
            ..step(14, &[])
        };
        self.submit(id, 0, vec![spec]);
    }

    fn submit_best_effort(&mut self, id: JobId) {
        let spec = |after: &[u32]| JobStep {
            needs: needs(BEST_EFFORT_CPU),
            image: format!("best-effort-{}", id % BEST_EFFORT_IMAGES),
            fills: true,
            estimate_ms: 1_900,
            ..step(20, after)
        };
        self.submit(id, 2, vec![spec(&[]), spec(&[0])]);
    }

    fn submit_quick(&mut self, id: JobId) {
        let spec = JobStep {
            needs: needs(11_000),
            image: "quick".to_owned(),
            estimate_ms: 680,
            ..step(16, &[])
        };
        self.submit(id, 0, vec![spec]);
    }

    fn sample(&mut self) {
        let now = self.pool.now;
        let wanted = self.submitted.range(..QUICK).count() as u32 * 14;
        let mut running = 0;
        for executor in self.pool.executors.iter().filter(|executor| executor.up) {
            for run in executor.running.iter().filter(|run| run.task.job < QUICK) {
                running += 1;
                let over = slack_on(now, executor, run.task.job % SERVICE_IMAGES) < 1.0;
                if over && now >= COUNTED_FROM {
                    self.result.over_target += SAMPLE;
                }
            }
        }
        self.result.without_run += SAMPLE * wanted.saturating_sub(running);
        for (id, since) in self.submitted.clone() {
            if !self.is_over(id) {
                continue;
            }
            self.submitted.remove(&id);
            let time = match id {
                id if id >= BEST_EFFORT => &mut self.result.best_effort_time,
                id if id >= QUICK => &mut self.result.quick_time,
                _ => continue,
            };
            if since >= COUNTED_FROM {
                *time += now - since;
            }
        }
    }

    fn is_over(&mut self, id: JobId) -> bool {
        matches!(self.pool.phase(id), Some(JobPhase::Ended(_)))
    }
}

/// Simulates a day.
pub fn simulate_day(
    seed: u64,
    calm_placement: bool,
    load: DayLoad,
    faults: &[(MonotonicTime, InjectedFault)],
) -> DayResult {
    let mut day = SwingingDay::new(seed, calm_placement, load);
    for (at, fault) in faults {
        day.pool.fault_at(*at, fault.clone());
    }
    day.pool.run_until(Duration::from_secs(3));
    let start = day.pool.now;
    (0..load.long_running_jobs).for_each(|id| day.submit_long_running(id));
    let (mut long_running, mut quick, mut best_effort) =
        (load.long_running_jobs, QUICK, BEST_EFFORT);
    // Long-running jobs are cancelled after 70 s on average, and others take their place.
    let replaced_each = Duration::from_secs(70) / load.long_running_jobs as u32;
    let mut oldest = 0;
    while day.pool.now < END {
        let now = day.pool.now;
        if now < ARRIVALS_END {
            if now >= start + replaced_each * (oldest as u32 + 1) {
                day.pool.cancel(oldest);
                day.submitted.remove(&oldest);
                day.submit_long_running(long_running);
                (oldest, long_running) = (oldest + 1, long_running + 1);
            }
            let due = |interval: Duration, number: u64| now >= start + interval * number as u32;
            if due(QUICK_INTERVAL, quick - QUICK) {
                day.submit_quick(quick);
                quick += 1;
            }
            let number = best_effort - BEST_EFFORT;
            if due(BEST_EFFORT_INTERVAL, number) {
                day.submit_best_effort(best_effort);
                best_effort += 1;
            }
        }
        day.pool.run_until(now + SAMPLE);
        day.sample();
    }
    let unfinished = day.submitted.range(QUICK..).map(|(id, since)| (*id, *since));
    for (id, since) in unfinished.collect::<Vec<_>>() {
        day.result.unfinished += 1;
        let is_quick = id < BEST_EFFORT;
        let DayResult { best_effort_time, quick_time, .. } = &mut day.result;
        *(if is_quick { quick_time } else { best_effort_time }) += END - since;
    }
    day.result.max_units = day.pool.max_units;
    assert_eq!(day.pool.checks.violations, Vec::<String>::new());
    day.result
}
