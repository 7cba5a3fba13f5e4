//! Clients under load, and the checks of what they and the executors observed.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Mutex, MutexGuard,
    },
    thread,
    time::{Duration, Instant},
};

use rand::{rngs::StdRng, Rng, SeedableRng};
use serde_json::{json, Value};

use super::{call, Deployment, ExchangeFailure, PersistentConnection, QUEUE_PREFIX};

/// Run time of a task, in milliseconds. Long enough that runs continue across a change of the
/// owner.
pub const TASK_MS: u64 = 1_200;
/// Time after a fault during which an instance is not in touch.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after the acceptance of a job from which each instance in touch has to know it.
const VISIBLE_TIME: Duration = Duration::from_secs(3);
/// Time after its last byte from which a request that was cut off counts as read by the process.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Job as submitted.
struct SubmittedJob {
    /// Number of tasks of each step. Each step waits for the one before.
    counts: Vec<u64>,
    accepted: Option<Instant>,
    /// Whether every attempt was refused.
    refused: bool,
}

/// What excuses a response that breaks a promise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FindingExcuse {
    Nothing,
    /// An unplanned fault of the instance.
    Fault,
    /// A fault or a planned restart of the instance.
    FaultOrRestart,
}

/// Response to a request, or its absence, that breaks a promise unless it is excused.
struct ClientFinding {
    instance: usize,
    excuse: FindingExcuse,
    from: Instant,
    until: Instant,
    what: String,
}

/// Period in which a fault or a planned restart affected an instance.
struct DisturbedPeriod {
    instance: usize,
    planned: bool,
    from: Instant,
    /// `None` while it lasts.
    until: Option<Instant>,
}

#[derive(Default)]
struct ObservedLoad {
    jobs: BTreeMap<u64, SubmittedJob>,
    findings: Vec<ClientFinding>,
    disturbed: Vec<DisturbedPeriod>,
    /// Requests without a response within the timeout of the client.
    timeouts: usize,
}

/// Outcomes of requests as the clients know them, and the faults of the instances.
#[derive(Default)]
pub struct LoadRecord {
    load: Mutex<ObservedLoad>,
}

impl LoadRecord {
    fn load(&self) -> MutexGuard<'_, ObservedLoad> {
        self.load.lock().expect("no thread has panicked with the lock")
    }

    fn begin_period(&self, instance: usize, planned: bool) {
        let period = DisturbedPeriod { instance, planned, from: Instant::now(), until: None };
        self.load().disturbed.push(period);
    }

    fn end_period(&self, instance: usize, planned: bool) {
        let mut load = self.load();
        let mut open = load.disturbed.iter_mut();
        let is_open = |period: &&mut DisturbedPeriod| {
            (period.instance, period.planned) == (instance, planned) && period.until.is_none()
        };
        if let Some(period) = open.find(is_open) {
            period.until = Some(Instant::now());
        }
    }

    /// Records that a fault begins to affect an instance.
    pub fn begin_fault(&self, instance: usize) {
        self.begin_period(instance, false);
    }

    /// Records that a fault of an instance has ended, one for each beginning.
    pub fn end_fault(&self, instance: usize) {
        self.end_period(instance, false);
    }

    /// Records that a planned restart of an instance begins.
    pub fn begin_restart(&self, instance: usize) {
        self.begin_period(instance, true);
    }

    /// Records that a process has been started again after a planned restart.
    pub fn end_restart(&self, instance: usize) {
        self.end_period(instance, true);
    }

    fn is_excused(&self, finding: &ClientFinding) -> bool {
        self.load().disturbed.iter().any(|period| {
            let excuses = match finding.excuse {
                FindingExcuse::Nothing => false,
                FindingExcuse::Fault => !period.planned,
                FindingExcuse::FaultOrRestart => true,
            };
            let ended = period.until.is_some_and(|end| end + CONTACT_TIME < finding.from);
            excuses && period.instance == finding.instance && period.from <= finding.until && !ended
        })
    }

    pub fn accepted(&self) -> Vec<u64> {
        let load = self.load();
        load.jobs.iter().filter(|(_, job)| job.accepted.is_some()).map(|(id, _)| *id).collect()
    }

    pub fn refused(&self) -> usize {
        self.load().jobs.values().filter(|job| job.refused).count()
    }

    /// Returns the number of requests without a response within the timeout of the client.
    pub fn timeouts(&self) -> usize {
        self.load().timeouts
    }

    fn add_finding(&self, instance: usize, from: Instant, excuse: FindingExcuse, what: String) {
        let until = Instant::now();
        self.load().findings.push(ClientFinding { instance, excuse, from, until, what });
    }

    /// Returns the broken promises that nothing excuses.
    fn client_violations(&self) -> Vec<String> {
        let findings = std::mem::take(&mut self.load().findings);
        let open = findings.into_iter().filter(|finding| !self.is_excused(finding));
        open.map(|finding| format!("i{}: {}", finding.instance, finding.what)).collect()
    }
}

/// Client with a connection to each instance, used until it fails.
struct LoadClient<'a> {
    connections: Vec<PersistentConnection>,
    record: &'a LoadRecord,
    random: StdRng,
}

impl LoadClient<'_> {
    /// Sends a request to an instance and records a response that was cut off.
    fn exchange(
        &mut self,
        instance: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, Value)> {
        let sent = Instant::now();
        match self.connections[instance].request(method, path, body) {
            Ok(response) => return Some(response),
            Err(ExchangeFailure::Broken) if sent.elapsed() > LOSS_SLACK => {
                let what = format!("{method} {path} cut off after {:?}", sent.elapsed());
                self.record.add_finding(instance, sent, FindingExcuse::Fault, what);
            }
            Err(ExchangeFailure::TimedOut) => self.record.load().timeouts += 1,
            Err(ExchangeFailure::Broken | ExchangeFailure::NotConnected) => {}
        }
        None
    }

    /// Submits a job to randomly chosen instances, up to four times.
    fn submit(&mut self) {
        let id: u64 = self.random.random();
        let mut counts = vec![self.random.random_range(1..5)];
        if self.random.random_bool(0.5) {
            counts.push(2);
        }
        let step = |(number, count): (usize, &u64)| {
            let after: Vec<_> = number.checked_sub(1).into_iter().collect();
            json!({ "count": count, "cpu": 1_000, "mem-mb": 100, "estimate-ms": TASK_MS,
                "after": after })
        };
        let steps: Vec<_> = counts.iter().enumerate().map(step).collect();
        let body = json!({ "spec": "p", "steps": steps }).to_string();
        let job = SubmittedJob { counts, accepted: None, refused: false };
        self.record.load().jobs.insert(id, job);
        let mut all_refused = true;
        for _ in 0..4 {
            let instance = self.random.random_range(0..self.connections.len());
            let path = format!("{QUEUE_PREFIX}{id:016x}");
            let response = self.exchange(instance, "POST", &path, &body);
            match response.map(|(status, _)| status) {
                Some(200) => {
                    if let Some(job) = self.record.load().jobs.get_mut(&id) {
                        job.accepted = Some(Instant::now());
                    }
                    return;
                }
                Some(503 | 429) => {}
                _ => all_refused = false,
            }
        }
        if let Some(job) = self.record.load().jobs.get_mut(&id) {
            job.refused = all_refused;
        }
    }

    /// Asks a randomly chosen instance for the state of an accepted job.
    fn ask(&mut self) {
        let now = Instant::now();
        let visible: Vec<u64> = {
            let load = self.record.load();
            let known = |at: Instant| now.duration_since(at) > VISIBLE_TIME;
            let jobs = load.jobs.iter().filter(|(_, job)| job.accepted.is_some_and(known));
            jobs.map(|(id, _)| *id).collect()
        };
        if visible.is_empty() {
            return;
        }
        let id = visible[self.random.random_range(0..visible.len())];
        let instance = self.random.random_range(0..self.connections.len());
        let path = format!("{QUEUE_PREFIX}{id:016x}");
        let Some((status, body)) = self.exchange(instance, "GET", &path, "") else { return };
        let ended = body["state"] == json!("failed") || body["state"] == json!("cancelled");
        if status == 410 || ended {
            let excuse = match ended {
                true => FindingExcuse::Nothing,
                false => FindingExcuse::FaultOrRestart,
            };
            let what = format!("accepted job {id:x} is shown as {status} {body}");
            self.record.add_finding(instance, now, excuse, what);
        }
    }
}

/// Submits jobs and asks for their states through randomly chosen instances until `stop` is set.
pub fn submit_jobs(clients: &[SocketAddr], record: &LoadRecord, seed: u64, stop: &AtomicBool) {
    let mut client = LoadClient {
        connections: clients.iter().copied().map(PersistentConnection::new).collect(),
        record,
        random: StdRng::seed_from_u64(seed),
    };
    while !stop.load(Ordering::Relaxed) {
        client.submit();
        client.ask();
        thread::sleep(Duration::from_millis(client.random.random_range(50..250)));
    }
}

/// Run as recorded by an executor. Times are in milliseconds.
struct ObservedRun {
    executor: String,
    number: u64,
    started: u64,
    /// When it ended, if it has.
    ended: Option<u64>,
    done: bool,
    /// Whether it ended with a result that was acknowledged before the lease expired.
    done_acknowledged: bool,
}

/// Runs of each task, by job, step and index.
type ObservedRuns = BTreeMap<(u64, u64, u64), Vec<ObservedRun>>;

fn parse_task(name: &str) -> Option<(u64, u64, u64)> {
    let mut parts = name.split('.');
    let id = u64::from_str_radix(parts.next()?, 16).ok()?;
    let _occurrence = parts.next()?;
    Some((id, parts.next()?.parse().ok()?, parts.next()?.parse().ok()?))
}

fn observed_runs(deployment: &Deployment) -> ObservedRuns {
    let (_, rows) =
        call(deployment.store, "GET", "/standin/history", "").expect("the stand-in replies");
    let mut runs = ObservedRuns::new();
    for row in rows.as_array().expect("the history is a list of rows") {
        let name = row[1].as_str().unwrap_or_default();
        let task = parse_task(name).expect("the stand-in writes task names");
        runs.entry(task).or_default().push(ObservedRun {
            executor: row[0].as_str().unwrap_or_default().to_owned(),
            number: row[2].as_u64().unwrap_or_default(),
            started: row[3].as_u64().unwrap_or_default(),
            ended: row[4].as_u64(),
            done: row[5] == json!("done"),
            done_acknowledged: row[5] == json!("done") && row[6] == json!(true),
        });
    }
    runs
}

/// Returns the runs of a task that overlap or start after an acknowledged result.
fn repeated_runs(runs: &[ObservedRun]) -> Vec<String> {
    let mut violations = Vec::new();
    // A late start repeats a run under its number on a later incarnation of its executor.
    let pairs = (0..runs.len()).flat_map(|first| (0..runs.len()).map(move |other| (first, other)));
    for (first, second) in pairs.filter(|(first, second)| first != second) {
        let (run, other) = (&runs[first], &runs[second]);
        let later = other.started >= run.started;
        let until = run.ended.unwrap_or(u64::MAX);
        if later && (other.started < until || run.done_acknowledged) {
            violations.push(format!(
                "run {} on {} from {} to {until}, run {} on {} from {}",
                run.number, run.executor, run.started, other.number, other.executor, other.started
            ));
        }
    }
    violations
}

/// Returns the number of tasks of a step that had ended as done at a time.
fn done_tasks(runs: &ObservedRuns, id: u64, step: u64, at: u64) -> u64 {
    let done = |run: &ObservedRun| run.done && run.ended.is_some_and(|ended| ended <= at);
    let tasks = runs.range((id, step, 0)..=(id, step, u64::MAX));
    tasks.filter(|(_, runs)| runs.iter().any(done)).count() as u64
}

/// Returns the violated guarantees: two simultaneous runs of a task, a run that starts after an
/// acknowledged result, a run of a job that was refused at every attempt or never submitted, a run
/// before the steps that it waits for, and responses of instances in touch that are cut off or do
/// not know an accepted job.
pub fn violations(deployment: &Deployment, record: &LoadRecord) -> Vec<String> {
    let mut violations = record.client_violations();
    let load = record.load();
    let observed = observed_runs(deployment);
    for (&(id, step, index), runs) in &observed {
        let name = format!("{id:016x} step {step} task {index}");
        let repeated = repeated_runs(runs);
        violations.extend(repeated.into_iter().map(|what| format!("{name}: {what}")));
        let Some(job) = load.jobs.get(&id) else {
            violations.push(format!("{name} ran although nobody submitted its job"));
            continue;
        };
        if job.refused {
            violations.push(format!("{name} ran although its job was refused"));
        }
        let Some(previous) = step.checked_sub(1) else { continue };
        let expected = job.counts[previous as usize];
        let early =
            runs.iter().find(|run| done_tasks(&observed, id, previous, run.started) < expected);
        if let Some(run) = early {
            violations.push(format!("{name} started at {} before step {previous}", run.started));
        }
    }
    violations
}

/// Returns the accepted jobs of which a task has no result although an instance shows the job as
/// completed.
pub fn incomplete_jobs(deployment: &Deployment, record: &LoadRecord) -> Vec<u64> {
    let observed = observed_runs(deployment);
    let complete = |id: u64, counts: &[u64]| {
        let steps = (0..).zip(counts);
        steps.into_iter().all(|(step, count)| done_tasks(&observed, id, step, u64::MAX) == *count)
    };
    let load = record.load();
    let accepted = load.jobs.iter().filter(|(_, job)| job.accepted.is_some());
    let open = accepted.filter(|(id, job)| !complete(**id, &job.counts)).map(|(id, _)| *id);
    let open: BTreeSet<u64> = open.collect();
    open.into_iter().filter(|id| deployment.is_completed(*id)).collect()
}

/// Returns the accepted jobs that no instance shows as completed.
pub fn open_jobs(deployment: &Deployment, record: &LoadRecord) -> Vec<u64> {
    record.accepted().into_iter().filter(|id| !deployment.is_completed(*id)).collect()
}

/// Waits until all accepted jobs are completed. Returns those that are still open at the limit.
pub fn wait_for_jobs(deployment: &Deployment, record: &LoadRecord, limit: Duration) -> Vec<u64> {
    let started = Instant::now();
    let mut open = open_jobs(deployment, record);
    while !open.is_empty() && started.elapsed() < limit {
        thread::sleep(Duration::from_millis(200));
        open = open_jobs(deployment, record);
    }
    open
}
