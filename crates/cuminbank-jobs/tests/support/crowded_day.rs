//! Day on which long-running jobs that hold most of the pool lose many executors at once: some
//! restart by turns, some refuse all starts, the owner is killed, and 30 % of the pool drain
//! while a stream of short jobs arrives. New executors and a calm period follow.

use std::{ops::Range, time::Duration};

use cuminbank_jobs::{
    guards::JobGuards,
    ids::{JobId, MonotonicTime},
    job::{JobRecord, JobStep, TaskName, TaskNeeds},
    order::RunEnd,
};
use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    jobs::{job, step},
    simulation::{InjectedFault, MessageLosses, SimulatedPool, StartFault},
};

/// Number of instances.
const INSTANCES: usize = 3;
/// Id of the first short job. Long-running jobs have lower ids.
const SHORT_JOBS: JobId = 10_000;
/// Id of the gang. Short jobs have lower ids.
const GANG: JobId = 100_000;
/// CPU that each member of a gang needs, in thousandths of a core.
const GANG_CPU_MILLIS: u32 = 4_000;
/// Percentage of short runs that fail.
const FAILED_PERCENT: u32 = 3;
/// Wall clock at the start of the simulation.
const WALL_START: Duration = Duration::from_secs(1_000);
/// Times of the day in milliseconds. Only the faults of a variation last beyond [`FAULTS`].
const LONG_RUNNING_JOBS: Range<u64> = 2_000..5_000;
const FAULTS: Range<u64> = 8_000..16_000;
const OWNER_KILL: Range<u64> = 11_000..13_000;
const BURST_START: u64 = 13_000;
const FIRST_DRAIN: Range<u64> = 13_500..14_500;
const SECOND_DRAIN: Range<u64> = 15_000..16_500;
const GANG_SUBMISSIONS: Range<u64> = 12_000..24_000;
const NEW_EXECUTORS: Range<u64> = 20_000..23_000;
const STREAM_END: u64 = 38_000;
/// Time after the end of the stream by which all jobs must have ended.
const FINISH: Duration = Duration::from_secs(25);

/// Change to the day.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DayVariation {
    /// None.
    Plain,
    /// Instances with slow links and little CPU.
    SlowLinks,
    /// The owner is killed a second time while executors drain.
    SecondTakeover,
    /// A zone is evacuated while executors drain.
    Evacuation,
    /// No instance reaches the store for some seconds before the calm period.
    StoreOutage,
}

enum DayEvent {
    Submit(JobId, JobRecord),
    Fault(InjectedFault),
    KillOwner { down: Duration },
    EndLosses,
    Cancel(JobId),
}

/// Plan of a day, drawn from its seed.
struct CrowdedDay {
    random: ChaCha8Rng,
    executors: usize,
    spares: usize,
    cores: u32,
    images: u32,
    long_running: JobId,
    /// Long-running job whose runs fail soon after their start, if any.
    crashing: Option<JobId>,
    events: Vec<(MonotonicTime, DayEvent)>,
}

impl CrowdedDay {
    fn new(seed: u64, variation: DayVariation) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(2) ^ 0x5eed);
        let executors = random.random_range(30..=60);
        let spares = executors * random.random_range(8..=15) / 100;
        let cores = [12, 16, 24][random.random_range(0..3)];
        let images = random.random_range(2..=5);
        let mut day = Self {
            random,
            executors,
            spares,
            cores,
            images,
            long_running: 0,
            crashing: None,
            events: Vec::new(),
        };
        day.add_long_running_jobs();
        day.add_gang();
        day.add_short_jobs();
        day.add_executor_faults();
        day.add_drains();
        day.vary(variation);
        day.events.sort_by_key(|(at, _)| *at);
        day
    }

    fn at(&mut self, millis: u64, event: DayEvent) {
        self.events.push((Duration::from_millis(millis), event));
    }

    fn total_cpu(&self) -> u32 {
        self.executors as u32 * self.cores * 1_000
    }

    /// Adds long-running jobs of several images that need most of the pool.
    fn add_long_running_jobs(&mut self) {
        let wanted = self.total_cpu() / 100 * self.random.random_range(45..=85);
        let mut needed = 0;
        while needed < wanted {
            let millis = self.random.random_range(LONG_RUNNING_JOBS);
            let cpu_millis = [500, 1_000, 2_000, 4_000][self.random.random_range(0..4)];
            let max_per_executor = [0, 0, 1, 1, 2][self.random.random_range(0..5)];
            // Jobs with a limit occupy most executors, so that they reach it when many leave.
            let count = match max_per_executor {
                0 => self.random.random_range(5..=30),
                limit => limit * self.executors as u32 * self.random.random_range(50..=95) / 100,
            };
            let labelled = self.random.random_range(0..100) < 15;
            let serving = self.random.random_range(0..2) == 0;
            let spec = JobStep {
                needs: TaskNeeds { cpu_millis, memory_mb: cpu_millis / 4, gpus: 0 },
                image: self.random_image(),
                long_running: true,
                max_per_executor,
                required_label: labelled.then(|| "a".to_owned()),
                tail_target_ms: if serving { 100 } else { 0 },
                ..step(count, &[])
            };
            needed += count * cpu_millis;
            self.at(millis, DayEvent::Submit(self.long_running, record(millis, spec)));
            self.long_running += 1;
        }
        if self.random.random_range(0..2) == 0 {
            let spec = JobStep {
                image: self.random_image(),
                long_running: true,
                ..step(self.random.random_range(1..=4), &[])
            };
            let millis = self.random.random_range(LONG_RUNNING_JOBS);
            self.at(millis, DayEvent::Submit(self.long_running, record(millis, spec)));
            self.crashing = Some(self.long_running);
            self.long_running += 1;
        }
        (0..self.long_running).for_each(|id| self.at(STREAM_END, DayEvent::Cancel(id)));
    }

    fn random_image(&mut self) -> String {
        format!("image-{}", self.random.random_range(0..self.images))
    }

    /// Adds a gang with more members than the pool has room for, which waits until it is cancelled.
    fn add_gang(&mut self) {
        if self.random.random_range(0..2) == 0 {
            return;
        }
        let millis = self.random.random_range(GANG_SUBMISSIONS);
        let spec = JobStep {
            needs: TaskNeeds { cpu_millis: GANG_CPU_MILLIS, memory_mb: 1_000, gpus: 0 },
            image: self.random_image(),
            gang: true,
            ..step(
                (self.executors + self.spares) as u32 * self.cores * 1_000 / GANG_CPU_MILLIS + 1,
                &[],
            )
        };
        self.at(millis, DayEvent::Submit(GANG, record(millis, spec)));
        self.at(STREAM_END, DayEvent::Cancel(GANG));
    }

    /// Adds a slow stream of short jobs, and a fast one from [`BURST_START`].
    fn add_short_jobs(&mut self) {
        let share = f64::from(self.random.random_range(2..=25)) / 100.0;
        let best_effort_percent = [0, 20, 60][self.random.random_range(0..3)];
        // A job has 4.5 tasks of 1.1 cores and 0.25 s on average.
        let work = 4.5 * 1.1 * 0.25;
        let interval = work / (share * f64::from(self.total_cpu()) / 1_000.0) * 1_000.0;
        let (mut at, mut id) = (LONG_RUNNING_JOBS.start as f64, SHORT_JOBS);
        while at < STREAM_END as f64 {
            let cpu_millis = [500, 1_000, 1_000, 2_000][self.random.random_range(0..4)];
            let count = self.random.random_range(1..=8);
            let spec = JobStep {
                needs: TaskNeeds { cpu_millis, memory_mb: cpu_millis / 8, gpus: 0 },
                image: format!("short-{}", self.random.random_range(0..4)),
                fills: self.random.random_range(0..100) < best_effort_percent,
                estimate_ms: 250,
                ..step(count, &[])
            };
            self.at(at as u64, DayEvent::Submit(id, record(at as u64, spec)));
            id += 1;
            let pause = if at < BURST_START as f64 { interval * 5.0 } else { interval };
            at += pause * self.random.random_range(0.3..1.7);
        }
    }

    fn add_executor_faults(&mut self) {
        let mut members: Vec<usize> = (0..self.executors).collect();
        members.shuffle(&mut self.random);
        let flapping = self.executors * self.random.random_range(15..=25) / 100;
        let refusing = self.executors * self.random.random_range(10..=20) / 100;
        for executor in members.drain(..flapping) {
            let mut at = self.random.random_range(FAULTS.start..FAULTS.start + 3_000);
            loop {
                let down = self.random.random_range(600..3_000);
                if at + down >= FAULTS.end {
                    break;
                }
                let down_time = Some(Duration::from_millis(down));
                let crash = InjectedFault::CrashExecutor { executor, down: down_time };
                self.at(at, DayEvent::Fault(crash));
                at += down + self.random.random_range(500..2_500);
            }
        }
        for executor in members.drain(..refusing) {
            let from = self.random.random_range(FAULTS.start + 1_000..FAULTS.end - 3_000);
            let until = self.random.random_range(FAULTS.end - 2_000..FAULTS.end);
            let kinds = [StartFault::Unhealthy, StartFault::Rejected, StartFault::Fails];
            let how = kinds[self.random.random_range(0..3)];
            let span = Duration::from_millis(until - from);
            let fault = InjectedFault::FailStarts { executor, span, how };
            self.at(from, DayEvent::Fault(fault));
        }
        let millis = self.random.random_range(OWNER_KILL);
        let down = Duration::from_millis(self.random.random_range(500..2_500));
        self.at(millis, DayEvent::KillOwner { down });
        self.at(FAULTS.end, DayEvent::EndLosses);
    }

    fn add_drains(&mut self) {
        let mut members: Vec<usize> = (0..self.executors).collect();
        members.shuffle(&mut self.random);
        let (first, second) = (self.executors / 10, self.executors / 5);
        for (part, times) in [(first, FIRST_DRAIN), (second, SECOND_DRAIN)] {
            let millis = self.random.random_range(times);
            for executor in members.drain(..part) {
                self.at(millis, DayEvent::Fault(InjectedFault::DrainExecutor { executor }));
            }
        }
        let millis = self.random.random_range(NEW_EXECUTORS);
        for executor in self.executors..self.executors + self.spares {
            self.at(millis, DayEvent::Fault(InjectedFault::JoinExecutor { executor }));
        }
    }

    fn vary(&mut self, variation: DayVariation) {
        match variation {
            DayVariation::Plain | DayVariation::SlowLinks => {}
            DayVariation::SecondTakeover => {
                let millis = self.random.random_range(SECOND_DRAIN.start..FAULTS.end + 2_000);
                let down = Duration::from_millis(self.random.random_range(500..2_500));
                self.at(millis, DayEvent::KillOwner { down });
            }
            DayVariation::Evacuation => {
                let millis = self.random.random_range(FIRST_DRAIN.start..SECOND_DRAIN.end);
                let zone = format!("z{}", self.random.random_range(0..3));
                let span = Duration::from_millis(self.random.random_range(4_000..18_000));
                let fault = InjectedFault::EvacuateZone { zone, span };
                self.at(millis, DayEvent::Fault(fault));
            }
            DayVariation::StoreOutage => {
                let millis = self.random.random_range(SECOND_DRAIN.start..FAULTS.end + 1_000);
                let span = Duration::from_millis(self.random.random_range(1_000..6_000));
                for instance in 0..INSTANCES {
                    let fault = InjectedFault::CutFromStore { instance, span };
                    self.at(millis, DayEvent::Fault(fault));
                }
            }
        }
    }
}

fn record(millis: u64, spec: JobStep) -> JobRecord {
    let accepted_at = WALL_START + Duration::from_millis(millis);
    JobRecord { accepted_at, ..job(vec![spec]) }
}

/// Plays a day until all its jobs have ended.
pub fn play_crowded_day(seed: u64, variation: DayVariation, guards: JobGuards) -> SimulatedPool {
    let day = CrowdedDay::new(seed, variation);
    let (members, total) = (day.executors, day.executors + day.spares);
    let losses = match seed % 3 {
        0 => MessageLosses { orders_lost: 3, orders_late: 0, writes_lost: 10 },
        _ => MessageLosses::default(),
    };
    let mut lengths = ChaCha8Rng::seed_from_u64(seed ^ 1);
    let crashing = day.crashing;
    let plan = move |task: TaskName, _| match task.job {
        job if Some(job) == crashing => {
            (Some(Duration::from_millis(lengths.random_range(50..900))), RunEnd::Failed)
        }
        0..SHORT_JOBS => (Some(Duration::from_secs(600)), RunEnd::Done),
        _ => {
            let failed = lengths.random_range(0..100) < FAILED_PERCENT;
            let end = if failed { RunEnd::Failed } else { RunEnd::Done };
            (Some(Duration::from_millis(lengths.random_range(100..400))), end)
        }
    };
    let mut pool = SimulatedPool::new(seed, INSTANCES, total)
        .with_absent(members..total)
        .with_losses(losses)
        .with_guards(guards)
        .with_plan(Box::new(plan));
    if variation == DayVariation::SlowLinks {
        pool = pool.with_link(2.0).with_processor_share(0.25);
    }
    for (number, executor) in pool.executors.iter_mut().enumerate() {
        executor.capacity.cpu_millis = day.cores * 1_000;
        executor.zone = format!("z{}", number % 3);
        let kind = if number % 4 == 0 { "b" } else { "a" };
        executor.labels = vec![kind.to_owned(), format!("r{}", number / 6)];
    }
    for (at, event) in day.events {
        pool.run_until(at);
        match event {
            DayEvent::Submit(id, record) => pool.submit(id, record),
            DayEvent::Fault(fault) => pool.fault_at(pool.now, fault),
            DayEvent::KillOwner { down } => {
                if let Some(instance) = pool.owner() {
                    pool.fault_at(pool.now, InjectedFault::KillInstance { instance, down });
                }
            }
            DayEvent::EndLosses => pool.losses = MessageLosses::default(),
            DayEvent::Cancel(id) => pool.cancel(id),
        }
    }
    pool.run_until(pool.now + FINISH);
    pool.check_end();
    pool
}
