//! Cost of batch tasks: memory, reducer time, journal size and store requests.

use std::{alloc::System, time::Duration};

use cuminbank::{
    event::{EntryEvent, TaskSubmission},
    ids::RequestTicket,
    worker::ResourceSize,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};

use crate::{
    platform::{DeploymentPlan, HostIndex, VirtualDeployment},
    table::{min_median_max, quantile, ResultTable},
};

const ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;
const SIZES: [usize; 3] = [1_000, 10_000, 100_000];
/// Tasks that run on each worker, of 64 that fit.
const TASKS_PER_WORKER: usize = 50;
/// Virtual time until all groups have an owner and the workers are known.
const SETUP_TIME: Duration = Duration::from_secs(15);
/// Tasks submitted per second until the deployment is full.
const FILL_RATE: f64 = 250.0;
/// Virtual time of the measurement of ticks.
const MEASURED_TIME: Duration = Duration::from_secs(5);

/// Number of zones that share the design load of 360 starts/s, 5,200 workers and 90,000 running
/// batch tasks. The constants for one zone are a sixteenth of it.
const ZONES: f64 = 16.0;
const ZONE_STARTS_PER_SECOND: f64 = 360.0 / ZONES;
const ZONE_WORKERS: usize = 325;
const ZONE_RUNNING: usize = 5_625;
const ZONE_ENTRIES: usize = 4;

/// Generates task submissions in virtual time.
struct TaskSource {
    used_percent: u64,
    rng: ChaCha8Rng,
    tickets: Vec<Vec<RequestTicket>>,
    submitted: usize,
}

impl TaskSource {
    fn new(seed: u64, hosts: usize, used_percent: u64) -> Self {
        Self {
            used_percent,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tickets: vec![Vec::new(); hosts],
            submitted: 0,
        }
    }

    /// Submits one task that runs for `run`, to the instances in turn.
    fn submit(&mut self, deployment: &mut VirtualDeployment, run: Duration) {
        let host = self.submitted % self.tickets.len();
        if self.tickets[host].is_empty() {
            self.tickets[host] = take_tickets(deployment, host);
        }
        let Some(ticket) = self.tickets[host].pop() else { return };
        self.submitted += 1;
        let reply = deployment.next_reply();
        let mut input = json!({ "run_ms": run.as_millis() as u64, "order": self.submitted });
        if self.used_percent > 0 {
            input["used_millicores"] = json!(self.used_percent * 10);
        }
        let submission = TaskSubmission {
            ticket,
            profile: "orders".to_owned(),
            customer: format!("team-{}", self.rng.random_range(0..41)),
            class: format!("orders-{}", self.rng.random_range(0..4)),
            size: ResourceSize { millicores: 1_000, memory_mib: 1_024, accelerators: 0 },
            declared_run_ms: None,
            input: input.to_string(),
        };
        deployment.apply(host, EntryEvent::TaskArrived { reply, submission });
    }

    /// Submits `per_second` tasks per second over a span of virtual time.
    fn submit_for(
        &mut self,
        deployment: &mut VirtualDeployment,
        span: Duration,
        per_second: f64,
        mut run: impl FnMut(&mut ChaCha8Rng) -> Duration,
    ) {
        let end = deployment.now + span;
        let mut due = 0.0;
        while deployment.now < end {
            due += per_second * 0.02;
            while due >= 1.0 {
                due -= 1.0;
                let run = run(&mut self.rng);
                self.submit(deployment, run);
            }
            deployment.run_for(Duration::from_millis(20));
        }
    }
}

fn take_tickets(deployment: &mut VirtualDeployment, host: HostIndex) -> Vec<RequestTicket> {
    let reply = deployment.next_reply();
    deployment.apply(host, EntryEvent::TicketsRequested { reply, count: 100 });
    deployment.run_for(Duration::from_millis(20));
    let answers = &mut deployment.hosts[host].answers;
    let answer = answers.iter().rev().find(|(answered, _)| *answered == reply);
    let body: Value = answer.map_or(Value::Null, |(_, answer)| {
        serde_json::from_slice(&answer.body).unwrap_or(Value::Null)
    });
    answers.clear();
    let tickets = body["tickets"].as_array().cloned().unwrap_or_default();
    tickets.iter().filter_map(|ticket| ticket.as_str()?.parse().ok()).collect()
}

/// Measures memory and reducer time by the number of tasks in one group, up to `max_tasks`.
pub fn measure_sizes(seed: u64, rounds: usize, used_percent: u64, max_tasks: usize) -> ResultTable {
    let columns = [
        "tasks",
        "running",
        "bytes/task",
        "ended bytes/task",
        "tick p50 us",
        "tick p99 us",
        "tick max us",
        "cpu ms/s",
        "accept us",
        "start us",
        "finish us",
        "segment B/task",
        "snapshot B/task",
    ];
    let title =
        format!("tasks: seed {seed}, one group on one instance, medians of {rounds} rounds");
    let mut table = ResultTable::new(title, &columns);
    for tasks in SIZES.into_iter().filter(|tasks| *tasks <= max_tasks) {
        // The largest size takes long, and its results vary little: two rounds are enough.
        let rounds = if tasks >= 100_000 { rounds.min(2) } else { rounds };
        let runs: Vec<_> =
            (0..rounds).map(|round| run_size(tasks, seed + round as u64, used_percent)).collect();
        let median = |pick: &dyn Fn(&SizeRun) -> f64| {
            min_median_max(&runs.iter().map(pick).collect::<Vec<_>>()).1
        };
        table.push(vec![
            tasks.to_string(),
            format!("{:.0}", median(&|run| run.running)),
            format!("{:.0}", median(&|run| run.bytes)),
            format!("{:.0}", median(&|run| run.ended_bytes)),
            format!("{:.0}", median(&|run| run.tick_p50)),
            format!("{:.0}", median(&|run| run.tick_p99)),
            format!("{:.0}", median(&|run| run.tick_max)),
            format!("{:.1}", median(&|run| run.busy_ms)),
            format!("{:.1}", median(&|run| run.accept)),
            format!("{:.1}", median(&|run| run.start)),
            format!("{:.1}", median(&|run| run.finish)),
            format!("{:.0}", median(&|run| run.segments)),
            format!("{:.0}", median(&|run| run.snapshots)),
        ]);
    }
    table.note("bytes/task: memory freed with the reducer, less that of one without tasks");
    table.note("tick, cpu: 5 s with all tasks running; cpu is all events, worker polls included");
    table.note("accept, start, finish: all events of that step divided by the tasks");
    table.note("segment, snapshot B/task: values written until all tasks run, without base64");
    table
}

#[derive(Default)]
struct SizeRun {
    running: f64,
    bytes: f64,
    ended_bytes: f64,
    tick_p50: f64,
    tick_p99: f64,
    tick_max: f64,
    busy_ms: f64,
    accept: f64,
    start: f64,
    finish: f64,
    segments: f64,
    snapshots: f64,
}

fn run_size(tasks: usize, seed: u64, used_percent: u64) -> SizeRun {
    let empty = reducer_memory(&mut new_deployment(tasks / TASKS_PER_WORKER, seed));
    let mut run = SizeRun::default();
    let mut deployment = fill(tasks, seed, used_percent, &mut run);
    deployment.reset_counters();
    deployment.run_for(MEASURED_TIME);
    run.record_ticks(&deployment);
    run.bytes = (reducer_memory(&mut deployment) - empty) / tasks as f64;
    if tasks < 100_000 {
        let mut deployment = fill(tasks, seed, used_percent, &mut run);
        finish_all(&mut deployment, tasks, &mut run);
        run.ended_bytes = (reducer_memory(&mut deployment) - empty) / tasks as f64;
    }
    run
}

fn new_deployment(workers: usize, seed: u64) -> VirtualDeployment {
    let plan = DeploymentPlan { zones: 1, entries: 1, groups: 1, executors: 0, workers, seed };
    let mut deployment = VirtualDeployment::new(plan);
    deployment.run_until(SETUP_TIME);
    deployment
}

/// Submits `tasks` tasks and waits until they run.
fn fill(tasks: usize, seed: u64, used_percent: u64, run: &mut SizeRun) -> VirtualDeployment {
    let mut deployment = new_deployment(tasks / TASKS_PER_WORKER, seed);
    deployment.reset_counters();
    let mut source = TaskSource::new(seed, 1, used_percent);
    let end = deployment.now + Duration::from_secs_f64(tasks as f64 / FILL_RATE + 30.0);
    let step = Duration::from_millis(20);
    while source.submitted < tasks {
        // All attempts end at about the same time, after the measurement, at `end`.
        let left = end.saturating_sub(deployment.now);
        source.submit_for(&mut deployment, step, FILL_RATE, |_| left);
    }
    deployment.run_for(Duration::from_secs(5));
    let event_times = &deployment.hosts[0].counters.event_times;
    let micros = |kind: &str| {
        event_times.get(kind).map_or(0.0, |samples| samples.iter().sum::<f64>()) * 1e6
            / tasks as f64
    };
    run.accept = micros("accept") + micros("committed");
    run.start = micros("started");
    let bytes = |part: &str| {
        deployment.store_usage.bytes.get(part).copied().unwrap_or(0) as f64 / tasks as f64
    };
    run.segments = bytes("segments");
    run.snapshots = bytes("snapshots");
    run.running = deployment.running_tasks() as f64;
    deployment
}

fn finish_all(deployment: &mut VirtualDeployment, tasks: usize, run: &mut SizeRun) {
    let deadline = deployment.now + Duration::from_secs(200);
    while deployment.finished_tasks() == 0 && deployment.now < deadline {
        deployment.run_for(Duration::from_millis(20));
    }
    deployment.reset_counters();
    while deployment.finished_tasks() < tasks as u64 && deployment.now < deadline {
        deployment.run_for(Duration::from_secs(1));
    }
    deployment.run_for(Duration::from_secs(3));
    let event_times = &deployment.hosts[0].counters.event_times;
    let sum = |kind: &str| event_times.get(kind).map_or(0.0, |samples| samples.iter().sum::<f64>());
    run.finish = (sum("listed") + sum("committed")) * 1e6 / tasks as f64;
}

/// Drops the reducer of the first instance and returns the number of bytes that this freed.
fn reducer_memory(deployment: &mut VirtualDeployment) -> f64 {
    let reducer = deployment.hosts[0].reducer.take();
    let before = ALLOCATOR.stats().bytes_deallocated;
    drop(reducer);
    (ALLOCATOR.stats().bytes_deallocated - before) as f64
}

impl SizeRun {
    fn record_ticks(&mut self, deployment: &VirtualDeployment) {
        let event_times = &deployment.hosts[0].counters.event_times;
        let ticks: Vec<f64> =
            event_times.get("tick").into_iter().flatten().map(|seconds| seconds * 1e6).collect();
        self.tick_p50 = quantile(&ticks, 0.5);
        self.tick_p99 = quantile(&ticks, 0.99);
        self.tick_max = quantile(&ticks, 1.0);
        let all: f64 = event_times.values().flatten().sum();
        self.busy_ms = all * 1e3 / MEASURED_TIME.as_secs_f64();
    }
}

/// Parameters of the load on one zone.
#[derive(Clone, Copy, Debug)]
pub struct ZoneLoad {
    /// Virtual time under load before the measurement.
    pub warm_up: Duration,
    /// Virtual time of the measurement.
    pub span: Duration,
    /// Percentage of its declared core that a task uses; with 0 it uses all that is reserved.
    pub used_percent: u64,
}

/// Measures store requests and processor time of one zone at its share of the design load, and
/// extrapolates to all zones.
pub fn measure_load(seed: u64, load: ZoneLoad) -> ResultTable {
    let plan = DeploymentPlan {
        zones: 1,
        entries: ZONE_ENTRIES,
        groups: 4,
        executors: 0,
        workers: ZONE_WORKERS,
        seed,
    };
    let mut deployment = VirtualDeployment::new(plan);
    deployment.run_until(SETUP_TIME);
    let mut source = TaskSource::new(seed, ZONE_ENTRIES, load.used_percent);
    let run_time = Duration::from_secs_f64(ZONE_RUNNING as f64 / ZONE_STARTS_PER_SECOND);
    let fill = Duration::from_secs(40);
    let fill_rate = ZONE_RUNNING as f64 / fill.as_secs_f64();
    // All tasks have the same run time, so in steady state the remaining run times of running tasks
    // are uniformly distributed.
    let residual = move |rng: &mut ChaCha8Rng| run_time.mul_f64(rng.random_range(0.1..1.0));
    source.submit_for(&mut deployment, fill, fill_rate, residual);
    source.submit_for(&mut deployment, load.warm_up, ZONE_STARTS_PER_SECOND, |_| run_time);
    deployment.reset_counters();
    let (started, finished) = (deployment.running_tasks(), deployment.finished_tasks());
    let span = load.span;
    source.submit_for(&mut deployment, span, ZONE_STARTS_PER_SECOND, |_| run_time);
    let ended = deployment.finished_tasks() - finished;
    let starts = deployment.running_tasks() + ended - started;
    load_table(&deployment, seed, span, starts, ended)
}

fn load_table(
    deployment: &VirtualDeployment,
    seed: u64,
    span: Duration,
    starts: u64,
    ended: u64,
) -> ResultTable {
    let seconds = span.as_secs_f64();
    let columns = ["calls", "part", "zone calls/s", "16 zones calls/s", "16 zones KB/s"];
    let title = format!(
        "store calls of one zone: seed {seed}, {seconds} s, {ZONE_ENTRIES} entry instances, 4 \
         groups, {ZONE_WORKERS} workers"
    );
    let mut table = ResultTable::new(title, &columns);
    let store = &deployment.store_usage;
    for (what, counts) in [("writes", &store.writes), ("reads", &store.reads)] {
        for (part, count) in counts {
            let rate = *count as f64 / seconds;
            let bytes = store.bytes.get(part).filter(|_| what == "writes").copied().unwrap_or(0);
            table.push(vec![
                what.to_owned(),
                (*part).to_owned(),
                format!("{rate:.2}"),
                format!("{:.1}", rate * ZONES),
                format!("{:.1}", bytes as f64 / seconds * ZONES / 1e3),
            ]);
        }
    }
    let rate = |count: u64| count as f64 / seconds * ZONES;
    table.note(format!(
        "16 zones: {:.0} writes/s (target under 300), {:.0} reads/s with {} open watches counted \
         as one a second (target under 1,000)",
        rate(store.total_writes()),
        rate(store.total_reads()) + ZONE_ENTRIES as f64 * ZONES,
        ZONE_ENTRIES as f64 * ZONES,
    ));
    table.note(format!(
        "{:.1} starts/s and {:.1} ends/s in the zone, {:.0} starts/s in 16; {} tasks running",
        starts as f64 / seconds,
        ended as f64 / seconds,
        rate(starts),
        deployment.running_tasks(),
    ));
    let busy: Vec<f64> = deployment
        .hosts
        .iter()
        .map(|host| host.counters.event_times.values().flatten().sum::<f64>() / seconds * 100.0)
        .collect();
    let (low, median, high) = min_median_max(&busy);
    table.note(format!(
        "reducer time of an instance: {median:.2} % of a core ({low:.2} to {high:.2})"
    ));
    let calls: u64 = deployment.hosts.iter().map(|host| host.counters.worker_calls).sum();
    table.note(format!("exchanges with workers: {:.0}/s in the zone", calls as f64 / seconds));
    table
}
