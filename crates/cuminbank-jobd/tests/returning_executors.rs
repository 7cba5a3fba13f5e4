//! Soak with executors that crash and return under their names, while a share of all orders is carried
//! out late and owners change.
//!
//! `CUMINBANK_SOAK_SEED` runs one seed, `CUMINBANK_SOAK_SEEDS` the given number of new random seeds
//! one after another.

mod support;

use std::{
    ops::Range,
    sync::atomic::AtomicBool,
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::{rngs::StdRng, Rng, SeedableRng};
use support::{
    call,
    history::{incomplete_jobs, submit_jobs, violations, wait_for_jobs, LoadRecord, TASK_MS},
    proxy::LinkMode,
    soak::{soak_seeds, FaultEnd, OpenFaults, StopOnDrop},
    Deployment, PoolShape, EXECUTORS,
};

const INSTANCES: u16 = 3;
/// Duration of the phase in which faults are injected. Longer than the longest absence.
const FAULT_PHASE: Duration = Duration::from_secs(22);
/// Percentage of the orders that are carried out late.
const LATE_SHARE: u32 = 20;
/// Time limit for completing all accepted jobs after the last fault has ended.
const COMPLETION_LIMIT: Duration = Duration::from_secs(60);

/// Faults of one seed.
struct FaultPlan {
    /// Absences of executors, in milliseconds.
    absence_ms: Range<u64>,
    /// Pauses between two crashes, in milliseconds.
    pause_ms: Range<u64>,
    /// Whether instances are disturbed, too.
    on_instances: bool,
}

impl FaultPlan {
    /// A change of owner, or a restart that the owner notices, fences all executors. A third of the seeds
    /// have neither: their executors are away until the owner has removed them, and return while orders
    /// for them may still be carried out.
    fn new(seed: u64) -> Self {
        if seed.is_multiple_of(3) {
            let (absence_ms, pause_ms) = (7_000..9_000, 2_000..5_000);
            return Self { absence_ms, pause_ms, on_instances: false };
        }
        Self { absence_ms: 200..13_000, pause_ms: 500..3_000, on_instances: true }
    }
}

fn tell_standin(deployment: &Deployment, path: &str) {
    call(deployment.store, "GET", path, "").expect("the stand-in replies");
}

/// Starts a random fault of an instance. Returns the action that ends it, with its delay.
fn begin_instance_fault(
    deployment: &mut Deployment,
    random: &mut StdRng,
) -> Option<(Duration, FaultEnd)> {
    let owner = deployment.live_owners().first().copied();
    let any = random.random_range(0..deployment.instances.len());
    let instance = owner.filter(|_| random.random_bool(0.7)).unwrap_or(any);
    if deployment.instances[instance].has_exited() {
        return None;
    }
    let span = Duration::from_millis(random.random_range(200..6_000));
    let process = &mut deployment.instances[instance];
    Some(match random.random_range(0..4) {
        0 => {
            process.kill();
            (span / 4, FaultEnd::Restart(instance))
        }
        1 => {
            process.signal(Signal::SIGTERM);
            (span, FaultEnd::Restart(instance))
        }
        2 => {
            process.signal(Signal::SIGSTOP);
            (span, FaultEnd::Continue(instance))
        }
        _ => {
            deployment.store_links[instance].set(LinkMode::Silent);
            (span, FaultEnd::StoreLink(instance))
        }
    })
}

/// Crashes executors, and disturbs instances beside it if the plan says so.
fn inject_faults(deployment: &mut Deployment, random: &mut StdRng, plan: &FaultPlan) {
    let started = Instant::now();
    let mut faults = OpenFaults::default();
    let mut next_instance_fault = started + Duration::from_secs(3);
    while started.elapsed() < FAULT_PHASE {
        thread::sleep(Duration::from_millis(random.random_range(plan.pause_ms.clone())));
        let now = Instant::now();
        faults.end_due(deployment, now);
        let executor = random.random_range(0..EXECUTORS);
        let absence = random.random_range(plan.absence_ms.clone());
        tell_standin(deployment, &format!("/standin/crash?executor={executor}&ms={absence}"));
        if plan.on_instances && now >= next_instance_fault {
            next_instance_fault = now + Duration::from_millis(random.random_range(2_000..9_000));
            faults.add(now, begin_instance_fault(deployment, random));
        }
    }
    faults.end_all(deployment);
}

fn run_seed(seed: u64) {
    let link_mbps = if seed.is_multiple_of(2) { 2.0 } else { 1_000.0 };
    let shape = PoolShape { link_mbps, ..PoolShape::default() };
    let mut deployment = Deployment::start_with_proxies(INSTANCES, TASK_MS, shape);
    let (record, stop) = (LoadRecord::default(), AtomicBool::new(false));
    (0..usize::from(INSTANCES)).for_each(|instance| record.begin_fault(instance));
    tell_standin(&deployment, &format!("/standin/late-orders?share={LATE_SHARE}&seed={seed}"));
    let clients = deployment.clients.clone();
    let mut random = StdRng::seed_from_u64(seed);
    thread::scope(|scope| {
        for client in 0..2 {
            let (clients, record, stop) = (&clients, &record, &stop);
            scope.spawn(move || submit_jobs(clients, record, seed ^ (client + 1), stop));
        }
        // Ends the other threads also if the injection of faults panics; the test would hang.
        let _stop = StopOnDrop(&stop);
        inject_faults(&mut deployment, &mut random, &FaultPlan::new(seed));
    });
    tell_standin(&deployment, "/standin/late-orders?share=0");
    let faults_ended = Instant::now();
    let open = wait_for_jobs(&deployment, &record, COMPLETION_LIMIT);
    println!(
        "seed {seed}: {} jobs accepted, completed in {:?}",
        record.accepted().len(),
        faults_ended.elapsed()
    );
    assert!(!record.accepted().is_empty(), "seed {seed}: no job was accepted");
    assert!(open.is_empty(), "seed {seed}: accepted but not completed: {open:x?}");
    let incomplete = incomplete_jobs(&deployment, &record);
    assert!(incomplete.is_empty(), "seed {seed}: completed without results: {incomplete:x?}");
    let violations = violations(&deployment, &record);
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

// Guards against tasks that are lost or run twice because an order for an earlier incarnation of an
// executor is carried out by a later one.
#[test]
fn guarantees_hold_while_executors_return() {
    soak_seeds(&[], &[2, 18]).into_iter().for_each(run_seed);
}
