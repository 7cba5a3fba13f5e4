//! Injects random faults into daemon processes and checks what clients and executors observe.
//!
//! `CUMINBANK_SOAK_SEED` runs one seed, `CUMINBANK_SOAK_SEEDS` the given number of new random seeds
//! one after another.

mod support;

use std::{
    sync::{atomic::AtomicBool, Mutex},
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::{rngs::StdRng, Rng, SeedableRng};
use serde_json::json;

use support::{
    config_changes::{change_configuration, ConfigRecord},
    history::{incomplete_jobs, submit_jobs, violations, wait_for_jobs, LoadRecord, TASK_MS},
    misbehaving::{find_excess, flood_ports},
    proxy::LinkMode,
    soak::{soak_seeds, FaultEnd, OpenFaults, StopOnDrop},
    Deployment, PoolShape,
};

const INSTANCES: u16 = 3;
/// Memory of an instance in MB. Clients that do not behave must not make it hold more.
const MEMORY_MB: u64 = 48;
/// Duration of the phase in which faults are injected.
const FAULT_PHASE: Duration = Duration::from_secs(12);
/// Time limit for completing all accepted jobs after the last fault has ended. A takeover that has
/// to wait for leases takes up to 15 s, and the work some seconds.
const COMPLETION_LIMIT: Duration = Duration::from_secs(45);
/// Seeds that have failed before. With 321, the ports of three killed processes were in the
/// system's ephemeral range, another test run took them, and the processes could not start again.
const REGRESSION_SEEDS: [u64; 1] = [321];

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

/// Injects overlapping random faults for [`FAULT_PHASE`] and then ends all of them. Returns the instances
/// that held too much memory meanwhile.
fn inject_faults(deployment: &mut Deployment, random: &mut StdRng) -> Vec<String> {
    let mut excess = Vec::new();
    let started = Instant::now();
    let mut faults = OpenFaults::default();
    while started.elapsed() < FAULT_PHASE {
        thread::sleep(Duration::from_millis(random.random_range(100..900)));
        let now = Instant::now();
        faults.end_due(deployment, now);
        faults.add(now, begin_fault(deployment, random));
        excess.extend(find_excess(deployment, MEMORY_MB));
    }
    faults.end_all(deployment);
    excess
}

fn run_seed(seed: u64) {
    // Half of the seeds divide the pool into two cells with separate owners, half of them make the
    // owners relay their starts, and half of them let jobs move between the cells.
    let shape = PoolShape {
        cells: if seed.is_multiple_of(2) { 2 } else { 1 },
        link_mbps: if (seed / 2).is_multiple_of(2) { 2.0 } else { 1_000.0 },
        adaptive_division: !(seed / 4).is_multiple_of(2),
        ..PoolShape::default()
    };
    let settings = json!({ "memory_mb": MEMORY_MB });
    let mut deployment =
        Deployment::start_with_proxies_and_settings(INSTANCES, TASK_MS, shape, &settings);
    let (record, stop) = (LoadRecord::default(), AtomicBool::new(false));
    // Faults overlap all the time, so that no response of an instance is certain.
    (0..usize::from(INSTANCES)).for_each(|instance| record.begin_fault(instance));
    let (clients, store) = (deployment.clients.clone(), deployment.store);
    let configs = Mutex::new(ConfigRecord::default());
    let mut random = StdRng::seed_from_u64(seed);
    let excess = thread::scope(|scope| {
        for client in 0..2 {
            let (clients, record, stop) = (&clients, &record, &stop);
            scope.spawn(move || submit_jobs(clients, record, seed ^ (client + 1), stop));
        }
        scope.spawn(|| change_configuration(store, &clients, &configs, &stop));
        scope.spawn(|| flood_ports(&clients, !seed, &stop));
        // Ends the other threads also if the injection of faults panics; the test would hang.
        let _stop = StopOnDrop(&stop);
        inject_faults(&mut deployment, &mut random)
    });
    let faults_ended = Instant::now();
    let open = wait_for_jobs(&deployment, &record, COMPLETION_LIMIT);
    let configs = configs.into_inner().expect("no thread has panicked with the lock");
    let answered = configs.current;
    let (accepted, refused) = (record.accepted().len(), record.refused());
    println!(
        "seed {seed}: {accepted} jobs accepted, {refused} refused, completed in {:?}; {answered} \
         answers by the version in force",
        faults_ended.elapsed()
    );
    assert!(accepted > 0, "seed {seed}: no job was accepted");
    assert!(excess.is_empty(), "seed {seed}: more than {MEMORY_MB} MB: {excess:#?}");
    assert!(open.is_empty(), "seed {seed}: accepted but not completed: {open:x?}");
    let incomplete = incomplete_jobs(&deployment, &record);
    assert!(incomplete.is_empty(), "seed {seed}: completed without results: {incomplete:x?}");
    assert!(configs.violations.is_empty(), "seed {seed}: {:#?}", configs.violations);
    assert!(answered > 0, "seed {seed}: no request was answered by the version in force");
    let violations = violations(&deployment, &record);
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

// Guards against tasks that are lost, run twice, or run although their job was refused, and against
// answers by an older configuration than the bound allows. Meanwhile, processes are killed, stopped
// and frozen, links are slow, reset or silent, and clients flood the ports, also at the same time.
#[test]
fn guarantees_hold_under_random_faults() {
    soak_seeds(&REGRESSION_SEEDS, &[1, 2, 4]).into_iter().for_each(run_seed);
}
