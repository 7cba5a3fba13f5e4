//! Replaces the daemon processes by another build, instance by instance, and takes the other build
//! back, under load and faults, and checks what clients and executors observe.
//!
//! `CUMINBANK_UPGRADE_FROM` and `CUMINBANK_UPGRADE_TO` name the folders of the two builds, see
//! `scripts/upgrade`; by default, both are the build of the checkout. `CUMINBANK_UPGRADE_SEED` plays
//! one seed, `CUMINBANK_UPGRADE_SEEDS` the given number of new random seeds one after another. Logs
//! of failed seeds are kept in the folder `CUMINBANK_UPGRADE_LOGS`.

mod support;

use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    process::Stdio,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::{rngs::StdRng, seq::SliceRandom, Rng, SeedableRng};

use support::{
    build::DaemonBuild,
    history::{incomplete_jobs, submit_jobs, violations, wait_for_jobs, LoadRecord, TASK_MS},
    proxy::LinkMode,
    Deployment, PoolShape, GRACE_MS,
};

const INSTANCES: u16 = 3;
/// Time limit for completing all accepted jobs after the last step.
const COMPLETION_LIMIT: Duration = Duration::from_secs(45);
/// Time after the request to stop at which a process is killed. A second more than the grace period
/// in the settings.
const STOP_LIMIT: Duration = Duration::from_millis(GRACE_MS + 1_000);
/// Time for which an executor is silent while its cell is handed over. Longer than two takeovers.
const SILENCE: Duration = Duration::from_secs(5);
/// Interval at which due steps are taken and exited processes are noticed.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
const FAULT_MODES: [LinkMode; 3] = [LinkMode::Slow, LinkMode::Silent, LinkMode::AnswersHeld];

/// Step of a play.
#[derive(Clone, Debug)]
enum PlayStep {
    /// Asks an instance to stop, or kills it, to replace it by a build.
    Stop {
        instance: usize,
        build: usize,
        kills: bool,
    },
    /// Starts the assigned build once the process has exited.
    Replace {
        instance: usize,
        start: usize,
        deadline: Instant,
        kills: bool,
    },
    Kill(usize, Duration),
    /// Silences an executor and stops an owner, so that its successor begins while tasks run there.
    HandOver {
        executor: usize,
        kills_successor: bool,
    },
    /// Kills the next owner of the other build than `stopped`, or any owner at the deadline.
    KillSuccessor {
        stopped: usize,
        deadline: Instant,
    },
    Restart(usize),
    Pause(usize, Duration),
    Continue(usize),
    /// Makes the store slow or unreachable for all instances.
    Outage(LinkMode, Duration),
    EndOutage,
    StoreLink(usize, LinkMode, Duration),
    EndStoreLink(usize),
    ExecutorLink(usize, LinkMode, Duration),
    EndExecutorLink(usize),
    /// Resets the connections to the store of an instance, and silences the open ones of an
    /// executor.
    CutConnections(usize, usize),
}

/// Process state of an instance as far as the play decides it.
#[derive(Clone, Debug, Default)]
struct InstancePlan {
    /// Index of the build that runs or is started next.
    build: usize,
    /// Number of starts, which tells processes of an instance apart.
    starts: usize,
    exit_expected: bool,
}

/// Play of one seed.
struct RolloutPlay<'a> {
    deployment: Deployment,
    record: &'a LoadRecord,
    builds: [DaemonBuild; 2],
    plans: Vec<InstancePlan>,
    agenda: Vec<(Instant, PlayStep)>,
    logs: Option<PathBuf>,
    /// Processes that exited by themselves.
    exits: Vec<String>,
    killed_after_grace: usize,
    successors_killed: usize,
}

/// Returns the output of a process: a file of its own, or nothing without a folder.
fn output(logs: Option<&Path>, instance: usize, start: usize, build: &str) -> Stdio {
    let Some(folder) = logs else { return Stdio::null() };
    let path = folder.join(format!("i{instance}-{start:02}-{build}.log"));
    File::create(path).expect("the folder of the logs is writable").into()
}

impl RolloutPlay<'_> {
    fn schedule(&mut self, delay: Duration, step: PlayStep) {
        self.agenda.push((Instant::now() + delay, step));
    }

    /// Takes due steps until none is left.
    fn play(&mut self) {
        while !self.agenda.is_empty() {
            thread::sleep(STEP_INTERVAL);
            self.note_exits();
            let now = Instant::now();
            let (mut due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.agenda).into_iter().partition(|(at, _)| *at <= now);
            self.agenda = later;
            due.sort_by_key(|(at, _)| *at);
            due.into_iter().for_each(|(_, step)| self.take_step(step));
        }
    }

    fn is_running(&mut self, instance: usize) -> bool {
        !self.deployment.instances[instance].has_exited()
    }

    /// Notes processes that exited by themselves, and starts them again as the platform does.
    fn note_exits(&mut self) {
        for instance in 0..self.plans.len() {
            if !self.plans[instance].exit_expected && !self.is_running(instance) {
                let plan = &self.plans[instance];
                let build = &self.builds[plan.build].name;
                self.exits.push(format!("i{instance} start {} ({build})", plan.starts));
                self.start(instance);
            }
        }
    }

    fn start(&mut self, instance: usize) {
        let plan = &mut self.plans[instance];
        plan.starts += 1;
        plan.exit_expected = false;
        let build = &self.builds[plan.build];
        let output = output(self.logs.as_deref(), instance, plan.starts, &build.name);
        self.deployment.instances[instance].start_build(build, output);
    }

    fn kill(&mut self, instance: usize) {
        self.plans[instance].exit_expected = true;
        self.deployment.instances[instance].kill();
    }

    fn stop(&mut self, instance: usize, build: usize, kills: bool) {
        if kills {
            self.record.begin_fault(instance);
            self.kill(instance);
        } else {
            self.record.begin_restart(instance);
            self.plans[instance].exit_expected = true;
            if self.is_running(instance) {
                self.deployment.instances[instance].signal(Signal::SIGTERM);
            }
        }
        self.plans[instance].build = build;
        let deadline = Instant::now() + STOP_LIMIT;
        let start = self.plans[instance].starts;
        self.schedule(STEP_INTERVAL, PlayStep::Replace { instance, start, deadline, kills });
    }

    fn replace(&mut self, instance: usize, start: usize, deadline: Instant, kills: bool) {
        // A restart after a kill may have started the new build already.
        if self.plans[instance].starts == start {
            if self.is_running(instance) {
                if Instant::now() < deadline {
                    let step = PlayStep::Replace { instance, start, deadline, kills };
                    return self.schedule(STEP_INTERVAL, step);
                }
                self.killed_after_grace += 1;
                self.kill(instance);
            }
            self.start(instance);
        }
        match kills {
            true => self.record.end_fault(instance),
            false => self.record.end_restart(instance),
        }
    }

    fn take_step(&mut self, step: PlayStep) {
        match step {
            PlayStep::Stop { instance, build, kills } => self.stop(instance, build, kills),
            PlayStep::Replace { instance, start, deadline, kills } => {
                self.replace(instance, start, deadline, kills);
            }
            PlayStep::Kill(instance, span) => {
                self.record.begin_fault(instance);
                self.kill(instance);
                self.schedule(span, PlayStep::Restart(instance));
            }
            PlayStep::HandOver { executor, kills_successor } => {
                let Some(owner) = self.deployment.live_owners().first().copied() else { return };
                self.take_step(PlayStep::ExecutorLink(executor, LinkMode::Silent, SILENCE));
                self.stop(owner, self.plans[owner].build, false);
                if kills_successor {
                    let deadline = Instant::now() + SILENCE;
                    self.take_step(PlayStep::KillSuccessor { stopped: owner, deadline });
                }
            }
            PlayStep::KillSuccessor { stopped, deadline } => {
                let late = Instant::now() > deadline;
                let owners = self.deployment.live_owners();
                let build = self.plans[stopped].build;
                let mut others = owners.iter().filter(|owner| **owner != stopped);
                match others.find(|owner| late || self.plans[**owner].build != build) {
                    Some(&successor) => {
                        self.successors_killed += 1;
                        self.take_step(PlayStep::Kill(successor, Duration::from_millis(300)));
                    }
                    None if late => {}
                    None => {
                        let step = PlayStep::KillSuccessor { stopped, deadline };
                        self.schedule(STEP_INTERVAL, step);
                    }
                }
            }
            PlayStep::Restart(instance) => {
                if !self.is_running(instance) {
                    self.start(instance);
                }
                self.record.end_fault(instance);
            }
            PlayStep::Pause(instance, span) => {
                if self.is_running(instance) {
                    self.record.begin_fault(instance);
                    self.deployment.instances[instance].signal(Signal::SIGSTOP);
                    self.schedule(span, PlayStep::Continue(instance));
                }
            }
            PlayStep::Continue(instance) => {
                if self.is_running(instance) {
                    self.deployment.instances[instance].signal(Signal::SIGCONT);
                }
                self.record.end_fault(instance);
            }
            PlayStep::Outage(mode, span) => {
                (0..self.plans.len()).for_each(|instance| self.record.begin_fault(instance));
                self.deployment.store_links.iter().for_each(|link| link.set(mode));
                self.schedule(span, PlayStep::EndOutage);
            }
            PlayStep::EndOutage => {
                self.deployment.store_links.iter().for_each(|link| link.set(LinkMode::Pass));
                (0..self.plans.len()).for_each(|instance| self.record.end_fault(instance));
            }
            PlayStep::StoreLink(instance, mode, span) => {
                self.record.begin_fault(instance);
                self.deployment.store_links[instance].set(mode);
                self.schedule(span, PlayStep::EndStoreLink(instance));
            }
            PlayStep::EndStoreLink(instance) => {
                self.deployment.store_links[instance].set(LinkMode::Pass);
                self.record.end_fault(instance);
            }
            PlayStep::ExecutorLink(executor, mode, span) => {
                self.deployment.executor_links[executor].set(mode);
                self.schedule(span, PlayStep::EndExecutorLink(executor));
            }
            PlayStep::EndExecutorLink(executor) => {
                self.deployment.executor_links[executor].set(LinkMode::Pass);
            }
            PlayStep::CutConnections(instance, executor) => {
                self.record.begin_fault(instance);
                self.deployment.store_links[instance].reset();
                self.deployment.executor_links[executor].blackhole();
                self.record.end_fault(instance);
            }
        }
    }

    /// Replaces the given instances by a build. Meanwhile, two owners hand over while an
    /// executor is silent, one of their successors is killed, one instance is killed, one paused and
    /// the store fails, and up to three further faults begin.
    fn replace_instances(&mut self, instances: &[usize], build: usize, random: &mut StdRng) {
        let mut at = Duration::ZERO;
        for &instance in instances {
            at += millis(random, 600, 2_500);
            let kills = random.random_bool(0.25);
            self.schedule(at, PlayStep::Stop { instance, build, kills });
        }
        let span = (at + Duration::from_secs(1)).as_millis() as u64;
        for kills_successor in [false, true] {
            let executor = random.random_range(0..self.deployment.executor_links.len());
            let step = PlayStep::HandOver { executor, kills_successor };
            self.schedule(millis(random, 500, span), step);
        }
        let extra = random.random_range(0..4);
        for fault in (0..3).chain((0..extra).map(|_| random.random_range(0..6)).collect::<Vec<_>>())
        {
            let instance = random.random_range(0..self.plans.len());
            let executor = random.random_range(0..self.deployment.executor_links.len());
            let mode = FAULT_MODES[random.random_range(0..FAULT_MODES.len())];
            let step = match fault {
                0 => PlayStep::Kill(instance, millis(random, 100, 1_500)),
                1 => PlayStep::Pause(instance, millis(random, 500, 7_000)),
                2 => PlayStep::Outage(mode, millis(random, 500, 5_000)),
                3 => PlayStep::StoreLink(instance, mode, millis(random, 500, 5_000)),
                4 => PlayStep::ExecutorLink(executor, mode, millis(random, 500, 5_000)),
                _ => PlayStep::CutConnections(instance, executor),
            };
            self.schedule(millis(random, 0, span), step);
        }
        self.play();
    }
}

fn millis(random: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..to))
}

/// Replaces the instances by the second build and takes it back, on half of the seeds after only
/// some of the instances.
fn roll_out(play: &mut RolloutPlay<'_>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut order: Vec<usize> = (0..usize::from(INSTANCES)).collect();
    order.shuffle(&mut random);
    if (seed / 4).is_multiple_of(2) {
        order.truncate(random.random_range(1..order.len()));
    }
    // Runs of the first build are under way when the first instance is replaced.
    thread::sleep(Duration::from_millis(TASK_MS));
    play.replace_instances(&order, 1, &mut random);
    order.shuffle(&mut random);
    play.replace_instances(&order, 0, &mut random);
}

/// Plays one seed. Returns the violated guarantees.
fn run_seed(seed: u64, builds: &[DaemonBuild; 2]) -> Vec<String> {
    let logs = std::env::var_os("CUMINBANK_UPGRADE_LOGS").map(|folder| {
        PathBuf::from(folder).join(format!("{}-{}-{seed}", builds[0].name, builds[1].name))
    });
    if let Some(folder) = &logs {
        fs::create_dir_all(folder).expect("the folder of the logs is writable");
    }
    let shape = PoolShape {
        cells: if seed.is_multiple_of(2) { 2 } else { 1 },
        link_mbps: if (seed / 2).is_multiple_of(2) { 2.0 } else { 1_000.0 },
        ..PoolShape::default()
    };
    let first = |number| output(logs.as_deref(), usize::from(number), 0, &builds[0].name);
    let deployment = Deployment::start_build(&builds[0], INSTANCES, TASK_MS, first, shape);
    let (record, stop) = (LoadRecord::default(), AtomicBool::new(false));
    let clients = deployment.clients.clone();
    let mut play = RolloutPlay {
        deployment,
        record: &record,
        builds: builds.clone(),
        plans: vec![InstancePlan::default(); usize::from(INSTANCES)],
        agenda: Vec::new(),
        logs: logs.clone(),
        exits: Vec::new(),
        killed_after_grace: 0,
        successors_killed: 0,
    };
    thread::scope(|scope| {
        for client in 0..2 {
            let (clients, record, stop) = (&clients, &record, &stop);
            scope.spawn(move || submit_jobs(clients, record, seed ^ (client + 1), stop));
        }
        roll_out(&mut play, seed);
        stop.store(true, Ordering::Relaxed);
    });
    let ended = Instant::now();
    let open = wait_for_jobs(&play.deployment, &record, COMPLETION_LIMIT);
    let completed = ended.elapsed();
    play.note_exits();
    let mut found = violations(&play.deployment, &record);
    found.extend(open.iter().map(|id| format!("{id:x} accepted but not completed")));
    let incomplete = incomplete_jobs(&play.deployment, &record);
    found.extend(incomplete.iter().map(|id| format!("{id:x} completed without all results")));
    found.extend(play.exits.iter().map(|exit| format!("{exit} exited by itself")));
    let accepted = record.accepted().len();
    if accepted == 0 {
        found.push("no job was accepted".to_owned());
    }
    println!(
        "seed {seed}: {accepted} jobs accepted, {} refused, {} requests without a response in \
         time, {} processes killed after the grace period, {} successors killed, completed in {completed:?}, {} \
         violations",
        record.refused(),
        record.timeouts(),
        play.killed_after_grace,
        play.successors_killed,
        found.len()
    );
    found.iter().for_each(|violation| println!("seed {seed}: {violation}"));
    if let (Some(folder), true) = (logs, found.is_empty()) {
        let _ = fs::remove_dir_all(folder);
    }
    found.into_iter().map(|violation| format!("seed {seed}: {violation}")).collect()
}

// Guards against tasks that are lost, run twice, before their turn or although their job was
// refused, and against responses that are cut off, while two builds run side by side.
#[test]
fn guarantees_hold_while_builds_are_replaced() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let builds = [
        DaemonBuild::from_variable("from", "CUMINBANK_UPGRADE_FROM"),
        DaemonBuild::from_variable("to", "CUMINBANK_UPGRADE_TO"),
    ];
    let seeds: Vec<u64> =
        match (number("CUMINBANK_UPGRADE_SEED"), number("CUMINBANK_UPGRADE_SEEDS")) {
            (Some(seed), _) => vec![seed],
            (None, Some(count)) => (0..count).map(|_| rand::random::<u32>().into()).collect(),
            (None, None) => vec![5],
        };
    let found: Vec<String> = seeds.into_iter().flat_map(|seed| run_seed(seed, &builds)).collect();
    assert!(found.is_empty(), "{found:#?}");
}
