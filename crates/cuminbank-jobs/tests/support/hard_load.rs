//! A tenth of the load of `docs/hard-load.md` (burnett): quick jobs in bursts and best-effort jobs,
//! beside long-running jobs whose demand grows beyond the pool. Clients submit to several instances,
//! return when a refusal tells them to, and give up after four tries.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use cuminbank_jobs::{
    admission::{AdmissionDecision, AdmissionState, RoomReport},
    ids::{JobId, MonotonicTime},
    job::{JobPhase, JobRecord, JobStep, QueueTerms, TaskName, TaskNeeds},
    order::RunEnd,
    peer::{OwnerAnswer, OwnerQuestion},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    jobs::{job, step, terms},
    simulation::SimulatedPool,
};

const EXECUTORS: usize = 49;
/// CPU of all executors in thousandths of a core: a third has 96 cores, the others have 64.
pub const POOL_CPU: u64 = (17 * 96 + 32 * 64) * 1_000;
/// Instances that receive submissions.
pub const INSTANCES: usize = 36;
const POLL_INTERVAL: Duration = Duration::from_millis(500);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const WALL_START: Duration = Duration::from_secs(1_000);
/// Time of the first submission.
pub const TRAFFIC_START: Duration = Duration::from_secs(3);
/// Time after the first submission at which the last one comes, and at which the day ends.
const TRAFFIC_TIME: Duration = Duration::from_secs(42);
const DAY_TIME: Duration = Duration::from_secs(50);
const MAX_TRIES: u32 = 4;
/// First job ids of the queues.
const QUICK: JobId = 1_000_000;
const BATCH: JobId = 2_000_000;
const LASTING: Duration = Duration::from_secs(600);

/// Load of a day.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Long-running jobs at the start, and per second. Each has 10 tasks of 13 cores on average.
    pub first_long_running: u32,
    pub long_running_rate: f64,
    /// Mean time until a long-running job is cancelled.
    pub lifetime: Duration,
    /// Quick jobs per second. Each has 1.6 steps of one task of 10 cores on average.
    pub quick_rate: f64,
    /// Best-effort jobs per second. Each has two steps of two tasks of 7 cores.
    pub batch_rate: f64,
}

impl LoadPlan {
    /// Load under which long-running jobs request 84 % of the pool at the start and 145 % after 41 s,
    /// as measured.
    pub fn overload() -> Self {
        Self {
            first_long_running: 24,
            long_running_rate: 0.906,
            lifetime: Duration::from_secs(70),
            quick_rate: 12.0,
            batch_rate: 0.0,
        }
    }
}

/// Outcomes of the jobs of a queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueResult {
    pub submitted: u32,
    /// Jobs of which every try was refused.
    pub refused: u32,
    /// Quick jobs that ended within their objective, and within three times that.
    pub on_time: u32,
    pub late: u32,
    /// Number of refusals, and of those by a report with room for four more jobs.
    pub refusals: u32,
    pub refused_beside_room: u32,
}

impl QueueResult {
    pub fn share_on_time(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.submitted.max(1))
    }
}

/// Results of a day.
#[derive(Debug, Default)]
pub struct DayResult {
    pub quick: QueueResult,
    pub batch: QueueResult,
    pub long_running: QueueResult,
    /// Long-running jobs of the largest tenth and of the whole queue that were admitted at last, each
    /// as a share of those submitted.
    pub large_admitted: f64,
    pub all_admitted: f64,
    /// Mean share of the pool that long-running tasks run on, from 10 s on.
    pub mean_held: f64,
    /// Longest time for which a long-running task was accepted and not running.
    pub longest_wait: Duration,
    pub violations: Vec<String>,
}

enum DayEvent {
    Submit { id: JobId, tries: u32 },
    Cancel(JobId),
    Poll(usize),
    Sample,
}

struct Submission {
    record: JobRecord,
    first_at: MonotonicTime,
    lifetime: Duration,
    admitted: Option<MonotonicTime>,
}

/// A day with its pool, instances and clients.
pub struct HardDay {
    pub pool: SimulatedPool,
    pub instances: Vec<AdmissionState>,
    pub result: DayResult,
    /// Instances that do not reach the owner.
    pub cut_off: std::ops::Range<usize>,
    plan: LoadPlan,
    random: ChaCha8Rng,
    events: BTreeMap<(MonotonicTime, u64), DayEvent>,
    added: u64,
    submissions: BTreeMap<JobId, Submission>,
    open: VecDeque<JobId>,
    waits: BTreeMap<JobId, MonotonicTime>,
    held: Vec<f64>,
}

fn queue_terms(queue: &str, priority: u32, stretch: f64) -> QueueTerms {
    QueueTerms { queue: queue.to_owned(), priority, stretch, ..terms(3) }
}

fn needs(cores: u32) -> TaskNeeds {
    TaskNeeds { cpu_millis: cores * 1_000, memory_mb: cores * 1_000, gpus: 0 }
}

impl HardDay {
    pub fn new(seed: u64, admission: bool, plan: LoadPlan) -> Self {
        let lengths = |task: TaskName, _| match task.job {
            0..QUICK => (Some(LASTING), RunEnd::Done),
            QUICK..BATCH => (Some(Duration::from_millis(1_000)), RunEnd::Done),
            _ => (Some(Duration::from_millis(1_700)), RunEnd::Done),
        };
        let mut pool = SimulatedPool::new(seed, 3, EXECUTORS)
            .with_admission(admission)
            .with_plan(Box::new(lengths));
        for (number, executor) in pool.executors.iter_mut().enumerate() {
            let cores = if number % 3 == 0 { 96 } else { 64 };
            executor.capacity = needs(cores);
            executor.capacity.memory_mb *= 2;
            executor.labels = vec!["a".to_owned(), format!("r{}", number / 7)];
        }
        let mut day = Self {
            pool,
            instances: vec![AdmissionState::default(); INSTANCES],
            result: DayResult::default(),
            cut_off: 0..0,
            plan,
            random: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            added: 0,
            submissions: BTreeMap::new(),
            open: VecDeque::new(),
            waits: BTreeMap::new(),
            held: Vec::new(),
        };
        for instance in 0..INSTANCES {
            let offset = POLL_INTERVAL * instance as u32 / INSTANCES as u32;
            day.at(Duration::from_secs(1) + offset, DayEvent::Poll(instance));
        }
        day.at(TRAFFIC_START, DayEvent::Sample);
        day.plan_traffic();
        day
    }

    fn at(&mut self, at: MonotonicTime, event: DayEvent) {
        self.added += 1;
        self.events.insert((at, self.added), event);
    }

    fn plan_traffic(&mut self) {
        let plan = self.plan;
        for id in 0..JobId::from(plan.first_long_running) {
            let at = TRAFFIC_START + Duration::from_millis(self.random.random_range(0..1_500));
            self.plan_long_running(id, at);
        }
        let mut id = JobId::from(plan.first_long_running);
        let mut at = TRAFFIC_START + self.pause(plan.long_running_rate);
        while at <= TRAFFIC_START + TRAFFIC_TIME {
            self.plan_long_running(id, at);
            id += 1;
            at += self.pause(plan.long_running_rate);
        }
        self.plan_short_jobs(QUICK, plan.quick_rate);
        self.plan_short_jobs(BATCH, plan.batch_rate);
    }

    /// Plans the jobs of a queue, with bursts of 3 to 7 s at 1.5 to 2.5 times the usual rate, about
    /// 10 s apart.
    fn plan_short_jobs(&mut self, first: JobId, rate: f64) {
        let (mut id, mut at) = (first, TRAFFIC_START);
        let (mut begin, mut end, mut factor) = (at, at, 1.0);
        while rate > 0.0 && at <= TRAFFIC_START + TRAFFIC_TIME {
            if at >= end {
                begin = at + Duration::from_millis(self.random.random_range(5_000..8_000));
                end = begin + Duration::from_millis(self.random.random_range(3_000..7_000));
                factor = self.random.random_range(1.5..2.5);
            }
            at += self.pause(if at >= begin { rate * factor } else { rate });
            let record = if first == QUICK { self.quick_job() } else { batch_job() };
            self.plan_job(id, at, record, Duration::ZERO);
            id += 1;
        }
    }

    fn pause(&mut self, rate: f64) -> Duration {
        let part: f64 = self.random.random_range(1e-6..1.0);
        Duration::from_secs_f64(-part.ln() / rate)
    }

    fn plan_long_running(&mut self, id: JobId, at: MonotonicTime) {
        let spec = JobStep {
            needs: needs(self.random.random_range(10..=16)),
            image: format!("bench-{}", id % 3),
            long_running: true,
            ..step(self.random.random_range(4..=16), &[])
        };
        let lifetime = self.pause(1.0 / self.plan.lifetime.as_secs_f64());
        let record = JobRecord { terms: queue_terms("bench", 0, 2.0), ..job(vec![spec]) };
        self.plan_job(id, at, record, lifetime);
    }

    fn quick_job(&mut self) -> JobRecord {
        let steps = if self.random.random_range(0..10) < 6 { 2 } else { 1 };
        let cores = [5, 6, 8, 10, 14, 17][self.random.random_range(0..6)];
        let after: [&[u32]; 2] = [&[], &[0]];
        let step_of = |number: usize| JobStep {
            needs: needs(cores),
            estimate_ms: 1_000,
            ..step(1, after[number])
        };
        let steps = (0..steps).map(step_of).collect();
        JobRecord { terms: queue_terms("quick", 0, 1.5), ..job(steps) }
    }

    fn plan_job(&mut self, id: JobId, at: MonotonicTime, record: JobRecord, lifetime: Duration) {
        let submission = Submission { record, first_at: at, lifetime, admitted: None };
        self.submissions.insert(id, submission);
        self.at(at, DayEvent::Submit { id, tries: 1 });
    }

    fn counts(&mut self, id: JobId) -> &mut QueueResult {
        match id {
            0..QUICK => &mut self.result.long_running,
            QUICK..BATCH => &mut self.result.quick,
            _ => &mut self.result.batch,
        }
    }

    /// Plays until a time.
    pub fn run_until(&mut self, end: MonotonicTime) {
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let event = entry.remove();
            self.pool.run_until(at);
            match event {
                DayEvent::Submit { id, tries } => self.submit(id, tries),
                DayEvent::Cancel(id) => self.pool.cancel(id),
                DayEvent::Poll(instance) => self.poll(instance),
                DayEvent::Sample => self.sample(),
            }
        }
        self.pool.run_until(end);
    }

    /// Plays the whole day.
    pub fn finish(&mut self) -> &DayResult {
        self.run_until(TRAFFIC_START + DAY_TIME);
        let long_running = self.submissions.range(..QUICK).map(|(_, submission)| submission);
        let mut sized: Vec<(u32, bool)> = long_running
            .map(|job| {
                (
                    job.record.steps[0].count * job.record.steps[0].needs.cpu_millis,
                    job.admitted.is_some(),
                )
            })
            .collect();
        sized.sort_unstable();
        let share = |part: &[(u32, bool)]| {
            part.iter().filter(|(_, admitted)| *admitted).count() as f64 / part.len().max(1) as f64
        };
        let result = &mut self.result;
        result.all_admitted = share(&sized);
        result.large_admitted = share(&sized[sized.len() * 9 / 10..]);
        result.mean_held = self.held.iter().sum::<f64>() / self.held.len().max(1) as f64;
        result.violations = self.pool.checks.violations.clone();
        result
    }

    fn submit(&mut self, id: JobId, tries: u32) {
        let now = self.pool.now;
        let instance = self.random.random_range(0..INSTANCES);
        let mut record = self.submissions[&id].record.clone();
        record.accepted_at = WALL_START + now;
        let decision = self.instances[instance].decide(now, 0, &record);
        let room = self.report(instance).map_or(i64::MAX, |report| {
            let room = &report.services[0];
            room.long_running_room() / room.mean_job.max(1).cast_signed()
        });
        let counts = self.counts(id);
        counts.submitted += u32::from(tries == 1);
        match decision {
            AdmissionDecision::Admit => {
                self.pool.submit(id, record);
                let Some(submission) = self.submissions.get_mut(&id) else { return };
                submission.admitted = Some(now);
                let ends = now + submission.lifetime;
                match id {
                    0..QUICK => self.at(ends, DayEvent::Cancel(id)),
                    _ => self.open.push_back(id),
                }
            }
            AdmissionDecision::Refuse(refusal) => {
                counts.refusals += 1;
                counts.refused_beside_room += u32::from(room >= 4);
                if tries >= MAX_TRIES {
                    counts.refused += 1;
                    return;
                }
                let returns = now + Duration::from_secs(refusal.retry_after_s);
                self.at(returns, DayEvent::Submit { id, tries: tries + 1 });
            }
        }
    }

    fn poll(&mut self, instance: usize) {
        let now = self.pool.now;
        self.at(now + POLL_INTERVAL, DayEvent::Poll(instance));
        if self.cut_off.contains(&instance) {
            return;
        }
        let address = |number: usize| SocketAddr::from(([10, 0, 0, 1], number as u16));
        let asker = address(instance);
        match self.pool.ask_owner(&OwnerQuestion::Room { cell: 0, asker }) {
            Some(OwnerAnswer::Room(report)) => {
                let live = (0..INSTANCES).filter(|number| !self.cut_off.contains(number));
                let report: RoomReport = report.with_asker(address(0), asker, live.map(address));
                self.instances[instance].update(now, 0, report);
            }
            Some(_) => self.instances[instance].forget(0),
            None => {}
        }
    }

    /// Returns the latest report that an instance may decide by.
    pub fn report(&self, instance: usize) -> Option<&RoomReport> {
        self.instances[instance].report(self.pool.now, 0)
    }

    fn sample(&mut self) {
        let now = self.pool.now;
        self.at(now + SAMPLE_INTERVAL, DayEvent::Sample);
        let has_ended = |id: &JobId| matches!(self.pool.phase(*id), Some(JobPhase::Ended(_)));
        let ended: Vec<JobId> = self.open.iter().copied().filter(has_ended).collect();
        for id in ended {
            self.open.retain(|open| *open != id);
            let submission = &self.submissions[&id];
            let took = now.saturating_sub(submission.first_at);
            let objective = Duration::from_millis(submission.record.objective_ms());
            let counts = self.counts(id);
            counts.on_time += u32::from(took <= objective);
            counts.late += u32::from(took > objective && took <= objective * 3);
        }
        let capacity: u32 = self.pool.executors.iter().map(|other| other.capacity.cpu_millis).sum();
        let mut held = 0;
        for executor in &self.pool.executors {
            for run in executor.running.iter().filter(|run| run.task.job < QUICK) {
                held += self.submissions[&run.task.job].record.steps[0].needs.cpu_millis;
            }
        }
        let ids: Vec<JobId> = self.submissions.range(..QUICK).map(|(id, _)| *id).collect();
        for id in ids {
            let submission = &self.submissions[&id];
            let Some(admitted) = submission.admitted else { continue };
            let over = now >= admitted + submission.lifetime;
            let all = self.pool.running(id) as u32 == submission.record.steps[0].count;
            if all || over {
                self.waits.remove(&id);
            } else {
                let since = *self.waits.entry(id).or_insert(now);
                let wait = now.saturating_sub(since);
                self.result.longest_wait = self.result.longest_wait.max(wait);
            }
        }
        if now >= TRAFFIC_START + Duration::from_secs(10) && now < TRAFFIC_START + TRAFFIC_TIME {
            self.held.push(f64::from(held) / f64::from(capacity));
        }
    }
}

fn batch_job() -> JobRecord {
    let spec = |after: &[u32]| JobStep {
        needs: needs(7),
        estimate_ms: 1_700,
        image: "batch".to_owned(),
        fills: true,
        ..step(2, after)
    };
    JobRecord { terms: queue_terms("batch", 2, 3.0), ..job(vec![spec(&[]), spec(&[0])]) }
}
