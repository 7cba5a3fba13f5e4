//! Injects random faults into daemon processes and checks what clients and executors observe.
//!
//! `CUMINBANK_SOAK_SEED` runs one seed, `CUMINBANK_SOAK_SEEDS` the given number of new random seeds
//! one after another.

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
/// Run time of a task, in milliseconds. Long enough that runs continue across a change of the
/// owner.
const TASK_MS: u64 = 1_200;
/// Duration of the phase in which faults are injected.
const FAULT_PHASE: Duration = Duration::from_secs(12);
/// Time limit for completing all accepted jobs after the last fault has ended. A takeover that has
/// to wait for leases takes up to 15 s, and the work some seconds.
const COMPLETION_LIMIT: Duration = Duration::from_secs(45);
/// Seeds that have failed before. With 321, the ports of three killed processes were in the
/// system's ephemeral range, another test run took them, and the processes could not start again.
const REGRESSION_SEEDS: [u64; 1] = [321];

/// Outcomes of submissions as the clients know them, by job id.
#[derive(Default)]
struct SubmissionRecord {
    accepted: Mutex<BTreeSet<u64>>,
    /// Jobs for which every attempt was refused.
    refused: Mutex<BTreeSet<u64>>,
}

/// Action that ends a fault, with the number of the instance or executor.
enum FaultEnd {
    Continue(usize),
    Restart(usize),
    StoreLink(usize),
    AllStoreLinks,
    ExecutorLink(usize),
}

/// Submits jobs through randomly chosen instances until `stop` is set.
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
                    submissions
                        .accepted
                        .lock()
                        .expect("no thread has panicked with the lock")
                        .insert(id);
                    all_refused = false;
                    break;
                }
                Some(503 | 429) => {}
                _ => all_refused = false,
            }
        }
        if all_refused {
            submissions.refused.lock().expect("no thread has panicked with the lock").insert(id);
        }
        thread::sleep(Duration::from_millis(random.random_range(50..250)));
    }
}

/// Starts a random fault. Returns the actions that end it, each with its delay.
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
            // Kills all instances while an executor is unreachable.
            deployment.executor_links[executor].set(LinkMode::Silent);
            let mut ends = vec![(span, FaultEnd::ExecutorLink(executor))];
            for (number, process) in deployment.instances.iter_mut().enumerate() {
                process.kill();
                ends.push((span / 8, FaultEnd::Restart(number)));
            }
            ends
        }
        _ => {
            // Makes the store slow or unreachable for all instances.
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
            // Like the platform, kills a process that takes long to stop.
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

/// Injects overlapping random faults for [`FAULT_PHASE`] and then ends all of them.
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

/// Run as recorded by an executor. Times are in milliseconds.
struct ObservedRun {
    executor: String,
    number: u64,
    started: u64,
    /// When it ended, if it has.
    ended: Option<u64>,
    /// Whether it ended with a result that was acknowledged before the lease expired.
    done_acknowledged: bool,
}

fn observed_runs(deployment: &Deployment) -> BTreeMap<String, Vec<ObservedRun>> {
    let (_, rows) =
        call(deployment.store, "GET", "/standin/history", "").expect("the stand-in replies");
    let mut runs: BTreeMap<String, Vec<ObservedRun>> = BTreeMap::new();
    for row in rows.as_array().expect("the history is a list of rows") {
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

/// Returns the violated guarantees: two simultaneous runs of a task, a run that starts after an
/// acknowledged result, or a run of a job that was refused at every attempt.
fn violations(deployment: &Deployment, submissions: &SubmissionRecord) -> Vec<String> {
    let mut violations = Vec::new();
    let refused = submissions.refused.lock().expect("no thread has panicked with the lock");
    for (task, runs) in &observed_runs(deployment) {
        let id = task.split('.').next().and_then(|id| u64::from_str_radix(id, 16).ok());
        if id.is_some_and(|id| refused.contains(&id)) {
            violations.push(format!("{task} ran although its job was refused"));
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
    let accepted: Vec<u64> = submissions
        .accepted
        .lock()
        .expect("no thread has panicked with the lock")
        .iter()
        .copied()
        .collect();
    accepted.into_iter().filter(|id| !deployment.is_completed(*id)).collect()
}

fn run_seed(seed: u64) {
    // Half of the seeds divide the pool into two cells with separate owners, and half of them make
    // the owners relay their starts.
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
    let accepted = submissions.accepted.lock().expect("no thread has panicked with the lock").len();
    let refused = submissions.refused.lock().expect("no thread has panicked with the lock").len();
    println!(
        "seed {seed}: {accepted} jobs accepted, {refused} refused, completed in {:?}",
        faults_ended.elapsed()
    );
    assert!(accepted > 0, "seed {seed}: no job was accepted");
    assert!(open.is_empty(), "seed {seed}: accepted but not completed: {open:x?}");
    let violations = violations(&deployment, &submissions);
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

// Guards against tasks that are lost, run twice, or run although their job was refused. Meanwhile,
// processes are killed, stopped and frozen, and links are slow, reset or silent, also at the same
// time.
#[test]
fn guarantees_hold_under_random_faults() {
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
