//! Randomized faults on real processes, and what clients and executors see meanwhile.
//!
//! `CUMINBANK_SOAK_SEED` plays one seed, `CUMINBANK_SOAK_SEEDS` so many fresh ones after another.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::{rngs::StdRng, Rng, SeedableRng};
use serde_json::json;

use support::{call, proxy::LinkMode, Deployment, PersistentConnection, PoolShape, QUEUE_PREFIX};

const INSTANCES: u16 = 3;
/// Run time of a task in milliseconds: runs outlast a change of the owner.
const TASK_MS: u64 = 1_200;
/// How long faults come.
const FAULT_PHASE: Duration = Duration::from_secs(12);
/// Time in which everything accepted is completed once all faults are over: a takeover with leases
/// to wait for takes up to 15 s, and the work some seconds.
const COMPLETION_LIMIT: Duration = Duration::from_secs(45);
/// Seeds that failed once. 321: the ports of three killed processes were among those that the system
/// gives to connections, another run took them meanwhile, and the processes could not start again.
const REGRESSION_SEEDS: [u64; 1] = [321];

/// What clients know of their jobs.
#[derive(Default)]
struct SubmissionRecord {
    accepted: Mutex<BTreeSet<u64>>,
    /// Jobs of which every try was refused as not accepted.
    refused: Mutex<BTreeSet<u64>>,
}

/// End of a fault that lasts for a while.
enum FaultEnd {
    Continue(usize),
    Restart(usize),
    StoreLink(usize),
    AllStoreLinks,
    ExecutorLink(usize),
}

/// Submits jobs through changing instances until told to stop.
fn submit_jobs(
    clients: &[SocketAddr],
    submissions: &SubmissionRecord,
    seed: u64,
    stop: &AtomicBool,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut connections: Vec<_> = clients.iter().copied().map(PersistentConnection::new).collect();
    while !stop.load(Ordering::Relaxed) {
        let id: u64 = random.random();
        let steps = match random.random_bool(0.5) {
            true => json!([{ "count": random.random_range(1..5), "cpu": 1_000, "mem-mb": 100,
                "estimate-ms": TASK_MS }]),
            false => json!([
                { "count": random.random_range(1..5), "cpu": 1_000, "mem-mb": 100,
                  "estimate-ms": TASK_MS },
                { "count": 2, "cpu": 1_000, "mem-mb": 100, "estimate-ms": TASK_MS, "after": [0] },
            ]),
        };
        let job = json!({ "spec": "p", "steps": steps }).to_string();
        let mut all_refused = true;
        for _ in 0..4 {
            let connection = random.random_range(0..connections.len());
            let path = format!("{QUEUE_PREFIX}{id:016x}");
            match connections[connection].exchange("POST", &path, &job) {
                Some(200) => {
                    submissions.accepted.lock().expect("no panic").insert(id);
                    all_refused = false;
                    break;
                }
                Some(503 | 429) => {}
                _ => all_refused = false,
            }
        }
        if all_refused {
            submissions.refused.lock().expect("no panic").insert(id);
        }
        thread::sleep(Duration::from_millis(random.random_range(50..250)));
    }
}

/// Begins a random fault; returns how its parts end and when.
fn begin_fault(deployment: &mut Deployment, random: &mut StdRng) -> Vec<(Duration, FaultEnd)> {
    let instance = random.random_range(0..deployment.instances.len());
    let executor = random.random_range(0..deployment.executor_links.len());
    let span = Duration::from_millis(random.random_range(200..7_000));
    let modes = [LinkMode::Slow, LinkMode::Silent, LinkMode::AnswersHeld];
    let mode = modes[random.random_range(0..modes.len())];
    match random.random_range(0..12) {
        0 | 1 if !deployment.instances[instance].has_exited() => {
            deployment.instances[instance].signal(Signal::SIGSTOP);
            vec![(span, FaultEnd::Continue(instance))]
        }
        2 | 3 if !deployment.instances[instance].has_exited() => {
            deployment.instances[instance].kill();
            vec![(span / 4, FaultEnd::Restart(instance))]
        }
        4 if !deployment.instances[instance].has_exited() => {
            deployment.instances[instance].signal(Signal::SIGTERM);
            vec![(span / 2, FaultEnd::Restart(instance))]
        }
        5 => {
            deployment.store_links[instance].set(mode);
            vec![(span, FaultEnd::StoreLink(instance))]
        }
        6 => {
            deployment.executor_links[executor].set(mode);
            vec![(span, FaultEnd::ExecutorLink(executor))]
        }
        7 => {
            deployment.store_links[instance].reset();
            deployment.executor_links[executor].blackhole();
            Vec::new()
        }
        8 => {
            deployment.store_links[instance].blackhole();
            deployment.executor_links[executor].reset();
            Vec::new()
        }
        9 | 10 => {
            // All processes are lost while an executor is out of reach.
            deployment.executor_links[executor].set(LinkMode::Silent);
            let mut ends = vec![(span, FaultEnd::ExecutorLink(executor))];
            for (number, process) in deployment.instances.iter_mut().enumerate() {
                process.kill();
                ends.push((span / 8, FaultEnd::Restart(number)));
            }
            ends
        }
        _ => {
            // The store is away for everybody.
            deployment.store_links.iter().for_each(|link| link.set(mode));
            vec![(span, FaultEnd::AllStoreLinks)]
        }
    }
}

fn end_fault(deployment: &mut Deployment, end: &FaultEnd) {
    match *end {
        FaultEnd::Continue(instance) => {
            if !deployment.instances[instance].has_exited() {
                deployment.instances[instance].signal(Signal::SIGCONT);
            }
        }
        FaultEnd::Restart(instance) => {
            // A process that is stopping for long is killed, as the platform does.
            deployment.instances[instance].kill();
            deployment.instances[instance].restart();
        }
        FaultEnd::AllStoreLinks => {
            deployment.store_links.iter().for_each(|link| link.set(LinkMode::Pass));
        }
        FaultEnd::StoreLink(instance) => deployment.store_links[instance].set(LinkMode::Pass),
        FaultEnd::ExecutorLink(executor) => {
            deployment.executor_links[executor].set(LinkMode::Pass);
        }
    }
}

/// Lets faults come and go, overlapping, and ends all of them.
fn inject_faults(deployment: &mut Deployment, random: &mut StdRng) {
    let started = Instant::now();
    let mut ends: Vec<(Instant, FaultEnd)> = Vec::new();
    while started.elapsed() < FAULT_PHASE {
        thread::sleep(Duration::from_millis(random.random_range(100..900)));
        let now = Instant::now();
        let (due, later) = ends.into_iter().partition(|(at, _)| *at <= now);
        ends = later;
        let due: Vec<(Instant, FaultEnd)> = due;
        due.iter().for_each(|(_, end)| end_fault(deployment, end));
        let begun = begin_fault(deployment, random);
        ends.extend(begun.into_iter().map(|(span, end)| (now + span, end)));
    }
    ends.iter().for_each(|(_, end)| end_fault(deployment, end));
}

/// A run as an executor saw it.
struct ObservedRun {
    executor: String,
    number: u64,
    started: u64,
    /// When it ended, and whether with a result that was acknowledged in time.
    ended: Option<u64>,
    done_acknowledged: bool,
}

fn observed_runs(deployment: &Deployment) -> BTreeMap<String, Vec<ObservedRun>> {
    let (_, rows) = call(deployment.store, "GET", "/standin/history", "").expect("it answers");
    let mut runs: BTreeMap<String, Vec<ObservedRun>> = BTreeMap::new();
    for row in rows.as_array().expect("a list of rows") {
        let text = |at: usize| row[at].as_str().unwrap_or_default().to_owned();
        runs.entry(text(1)).or_default().push(ObservedRun {
            executor: text(0),
            number: row[2].as_u64().unwrap_or_default(),
            started: row[3].as_u64().unwrap_or_default(),
            ended: row[4].as_u64(),
            done_acknowledged: row[5] == json!("done") && row[6] == json!(true),
        });
    }
    runs
}

/// Returns what breaks a promise: two runs of a task at a time, a run after an acknowledged result,
/// or a run of a job that no client was told to be accepted.
fn violations(deployment: &Deployment, submissions: &SubmissionRecord) -> Vec<String> {
    let mut violations = Vec::new();
    let refused = submissions.refused.lock().expect("no panic");
    for (task, runs) in &observed_runs(deployment) {
        let id = task.split('.').next().and_then(|id| u64::from_str_radix(id, 16).ok());
        if id.is_some_and(|id| refused.contains(&id)) {
            violations.push(format!("{task} ran, and its job was refused"));
        }
        for (run, other) in runs.iter().flat_map(|run| runs.iter().map(move |other| (run, other))) {
            let same = run.number == other.number && run.executor == other.executor;
            let later = other.started >= run.started && !same;
            let until = run.ended.unwrap_or(u64::MAX);
            if later && (other.started < until || run.done_acknowledged) {
                violations.push(format!(
                    "{task}: run {} on {} from {} to {until}, run {} on {} from {}",
                    run.number,
                    run.executor,
                    run.started,
                    other.number,
                    other.executor,
                    other.started
                ));
            }
        }
    }
    violations
}

fn open_jobs(deployment: &Deployment, submissions: &SubmissionRecord) -> Vec<u64> {
    let accepted: Vec<u64> =
        submissions.accepted.lock().expect("no panic").iter().copied().collect();
    accepted.into_iter().filter(|id| !deployment.is_completed(*id)).collect()
}

fn run_seed(seed: u64) {
    // Two cells with an owner each, and starts that are carried, each in half of the seeds.
    let shape = PoolShape {
        cells: if seed.is_multiple_of(2) { 2 } else { 1 },
        link_mbps: if (seed / 2).is_multiple_of(2) { 2.0 } else { 1_000.0 },
    };
    let mut deployment = Deployment::start_with_proxies(INSTANCES, TASK_MS, shape);
    let (submissions, stop) = (SubmissionRecord::default(), AtomicBool::new(false));
    let clients = deployment.clients.clone();
    let mut random = StdRng::seed_from_u64(seed);
    thread::scope(|scope| {
        for client in 0..2 {
            let (clients, submissions, stop) = (&clients, &submissions, &stop);
            scope.spawn(move || submit_jobs(clients, submissions, seed ^ (client + 1), stop));
        }
        inject_faults(&mut deployment, &mut random);
        stop.store(true, Ordering::Relaxed);
    });
    let faults_ended = Instant::now();
    let mut open = open_jobs(&deployment, &submissions);
    while !open.is_empty() && faults_ended.elapsed() < COMPLETION_LIMIT {
        thread::sleep(Duration::from_millis(200));
        open = open_jobs(&deployment, &submissions);
    }
    let accepted = submissions.accepted.lock().expect("no panic").len();
    let refused = submissions.refused.lock().expect("no panic").len();
    println!(
        "seed {seed}: {accepted} jobs accepted, {refused} refused, settled in {:?}",
        faults_ended.elapsed()
    );
    assert!(accepted > 0, "seed {seed}: no job was accepted");
    assert!(open.is_empty(), "seed {seed}: accepted and not completed: {open:x?}");
    let violations = violations(&deployment, &submissions);
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

// Guards against work that is lost, doubled, or run though it was refused, while processes are
// killed, stopped and frozen and links are cut, slow, reset or silent, in series and overlapping.
#[test]
fn promises_hold_under_random_faults() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    if let Some(seed) = number("CUMINBANK_SOAK_SEED") {
        return run_seed(seed);
    }
    REGRESSION_SEEDS.into_iter().for_each(run_seed);
    match number("CUMINBANK_SOAK_SEEDS") {
        Some(count) => (0..count).for_each(|_| run_seed(rand::random())),
        None => [1, 2].into_iter().for_each(run_seed),
    }
}
