//! Executors of the platform, as PROTOCOL.md describes them, and a record of all that they were told
//! and ran. Tasks last as long as the client's plan of the job says.

use std::{
    collections::HashMap,
    fs::File,
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Gate, Request},
    json::Json,
    obj,
    store::Store,
};

const HOLD_MAX_MS: u64 = 6_000;
const CHECKPOINT_MS: u64 = 2_000;
const RESTORE_MS: u64 = 250;
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Service of the executors if a case doesn't say.
pub const SERVICE: &str = "planner";
const HEARTBEAT: Duration = Duration::from_millis(1_100);
const STARTUP: Duration = Duration::from_millis(420);

/// What a client's job consists of.
#[derive(Clone, Default)]
pub struct StepPlan {
    pub count: u64,
    pub cpu: u64,
    pub work_ms: u64,
    pub gang: bool,
    pub saves: bool,
    pub lasts: bool,
    /// Whether its cpu isn't counted: the tasks take what others leave.
    pub fills: bool,
    /// Memory of a task; 100 MB if it is 0.
    pub mem_mb: u64,
    pub image: String,
    pub after: Vec<u64>,
    /// Number of first runs that end `failed`.
    pub fails: u64,
}

#[derive(Clone, Default)]
pub struct JobPlan {
    pub steps: Vec<StepPlan>,
    /// Whether it is handed in to the queue of the second service.
    pub other_queue: bool,
}

#[derive(Clone)]
struct Run {
    task: String,
    number: u64,
    started: Instant,
    carried: String,
    /// Saved value, and the work that it stands for.
    saved: String,
    saved_ms: u64,
    base_ms: u64,
    begun: Option<Instant>,
}

#[derive(Clone, PartialEq)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

struct Executor {
    id: String,
    address: SocketAddr,
    zone: String,
    rack: String,
    service: String,
    born_ms: u64,
    started: Instant,
    cpu: u64,
    token: u64,
    lease_until: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    closed: HashMap<String, u64>,
    draining_until: Option<Instant>,
    gone: bool,
    /// Whether it crashed for good: it says nothing any more.
    lost: bool,
    seq: u64,
}

/// One start that an executor carried out.
#[derive(Clone)]
pub struct Start {
    pub at: Instant,
    pub task: String,
    pub run: u64,
    pub executor: String,
    pub ended: Option<(Instant, &'static str)>,
}

pub struct State {
    began: Instant,
    jobs: HashMap<String, JobPlan>,
    executors: Vec<Executor>,
    saved_ms: HashMap<String, u64>,
    last_value: u64,
    pub starts: Vec<Start>,
    record: File,
}

#[derive(Clone)]
pub struct Pool(Arc<(Mutex<State>, Condvar)>);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

fn parse_task(task: &str) -> Option<(String, usize)> {
    let mut parts = task.split('.');
    let (job, _, step) = (parts.next()?, parts.next()?, parts.next()?);
    Some((job.to_owned(), step.parse().ok()?))
}

fn step_name(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

impl Executor {
    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

impl State {
    pub fn note(&mut self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.record, "{at:9.3} {line}");
    }

    pub fn is_of_other_queue(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|job| job.other_queue)
    }

    fn plan(&self, task: &str) -> StepPlan {
        let found = parse_task(task).and_then(|(job, step)| {
            self.jobs.get(&job).and_then(|job| job.steps.get(step)).cloned()
        });
        found.unwrap_or(StepPlan { count: 1, cpu: 1, work_ms: 100, ..StepPlan::default() })
    }

    fn new_value(&mut self, work_ms: u64) -> String {
        self.last_value += 1;
        let value = format!(
            "{:08x}{:08x}",
            (self.last_value as u32).wrapping_mul(2_654_435_761),
            self.last_value
        );
        self.saved_ms.insert(value.clone(), work_ms);
        value
    }

    fn end(&mut self, place: usize, task: &str, number: u64, how: &'static str) {
        let Some(at) = self.executors[place]
            .runs
            .iter()
            .position(|run| run.task == task && run.number == number)
        else {
            return;
        };
        let run = self.executors[place].runs.remove(at);
        let plan = self.plan(task);
        let mut saved = run.saved.clone();
        if plan.saves && how == "stopped" {
            if let Some(begun) = run.begun {
                saved = self.new_value(run.base_ms + begun.elapsed().as_millis() as u64);
            }
        }
        let executor = &mut self.executors[place];
        executor.last_end += 1;
        let end = End { number: executor.last_end, task: task.to_owned(), run: number, how, saved };
        let closed = executor.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(number);
        let line = format!("{} ends {task} run {number}: {how} saved={}", executor.id, end.saved);
        executor.ends.push(end);
        self.note(&line);
        let now = Instant::now();
        let start = self
            .starts
            .iter_mut()
            .rev()
            .find(|start| start.task == task && start.run == number && start.ended.is_none());
        if let Some(start) = start {
            start.ended = Some((now, how));
        }
        if plan.gang && matches!(how, "stopped" | "lapsed" | "failed") {
            self.break_gang(task, number);
        }
    }

    fn gang_members(&self, task: &str, number: u64) -> Vec<(usize, usize)> {
        let step = step_name(task);
        let mut members = Vec::new();
        for (place, executor) in self.executors.iter().enumerate() {
            for (at, run) in executor.runs.iter().enumerate() {
                if step_name(&run.task) == step && run.number == number {
                    members.push((place, at));
                }
            }
        }
        members
    }

    fn break_gang(&mut self, task: &str, number: u64) {
        let members: Vec<(usize, String)> = self
            .gang_members(task, number)
            .into_iter()
            .map(|(place, at)| (place, self.executors[place].runs[at].task.clone()))
            .collect();
        for (place, member) in members {
            self.end(place, &member, number, "broken");
        }
    }

    /// Ends what is over, lets gangs begin and keeps checkpoints.
    fn advance(&mut self) {
        let now = Instant::now();
        for place in 0..self.executors.len() {
            let executor = &self.executors[place];
            if executor.gone {
                continue;
            }
            let lapsed = executor.clock() >= executor.lease_until;
            let runs: Vec<Run> = executor.runs.clone();
            for run in runs {
                if lapsed {
                    self.end(place, &run.task, run.number, "lapsed");
                    continue;
                }
                let plan = self.plan(&run.task);
                if plan.gang && run.begun.is_none() {
                    let members = self.gang_members(&run.task, run.number);
                    let values: Vec<&str> = members
                        .iter()
                        .map(|(place, at)| self.executors[*place].runs[*at].carried.as_str())
                        .collect();
                    // All members must carry the same value; with others they don't work together.
                    let same = values.windows(2).all(|pair| pair[0] == pair[1]);
                    if members.len() as u64 == plan.count && same {
                        for (place, at) in members {
                            self.executors[place].runs[at].begun = Some(now);
                        }
                    } else if now >= run.started + GANG_TIMEOUT {
                        self.end(place, &run.task, run.number, "alone");
                    }
                    continue;
                }
                let Some(begun) = run.begun else { continue };
                let worked = run.base_ms + begun.elapsed().as_millis() as u64;
                if plan.saves && !plan.lasts && worked >= run.saved_ms + CHECKPOINT_MS {
                    let kept = worked / CHECKPOINT_MS * CHECKPOINT_MS;
                    let value = self.new_value(kept);
                    let found = self.executors[place]
                        .runs
                        .iter_mut()
                        .find(|other| other.task == run.task && other.number == run.number);
                    if let Some(found) = found {
                        found.saved = value;
                        found.saved_ms = kept;
                    }
                }
                if plan.lasts {
                    continue;
                }
                let failing = run.number <= plan.fails;
                let length = if failing { plan.work_ms / 2 } else { plan.work_ms };
                if worked >= length {
                    let how = if failing { "failed" } else { "done" };
                    if plan.gang && !failing {
                        let members: Vec<(usize, String)> = self
                            .gang_members(&run.task, run.number)
                            .into_iter()
                            .map(|(place, at)| (place, self.executors[place].runs[at].task.clone()))
                            .collect();
                        for (place, member) in members {
                            self.end(place, &member, run.number, "done");
                        }
                    } else {
                        self.end(place, &run.task, run.number, how);
                    }
                }
            }
            let executor = &mut self.executors[place];
            if executor.draining_until.is_some_and(|until| now >= until) && !executor.gone {
                executor.gone = true;
                let id = executor.id.clone();
                let left: Vec<(String, u64)> =
                    executor.runs.drain(..).map(|run| (run.task, run.number)).collect();
                self.note(&format!("{id} leaves, with runs of {left:?}"));
                for (task, number) in left {
                    if self.plan(&task).gang {
                        self.break_gang(&task, number);
                    }
                }
                for start in self.starts.iter_mut() {
                    if start.executor == id && start.ended.is_none() {
                        start.ended = Some((now, "left"));
                    }
                }
            }
        }
    }

    fn extend(&mut self, place: usize, deadline: u64) {
        let executor = &mut self.executors[place];
        let limit = executor.clock() + HOLD_MAX_MS;
        executor.lease_until = executor.lease_until.max(deadline.min(limit));
    }

    fn listing(&self, place: usize) -> Json {
        let executor = &self.executors[place];
        let running = executor.runs.iter().map(|run| {
            let plan = self.plan(&run.task);
            let worked = run.base_ms + run.begun.map_or(0, |at| at.elapsed().as_millis() as u64);
            let percent = match plan.lasts {
                true if run.started.elapsed() >= STARTUP => 100,
                true => 0,
                false => worked * 100 / plan.work_ms.max(1),
            };
            let usage = if plan.lasts { 10 } else { plan.cpu };
            Json::Arr(vec![
                run.task.as_str().into(),
                run.number.into(),
                run.saved.as_str().into(),
                percent.min(100).into(),
                usage.into(),
            ])
        });
        let finished = executor.ends.iter().take(500).map(|end| {
            Json::Arr(vec![
                end.number.into(),
                end.task.as_str().into(),
                end.run.into(),
                end.how.into(),
                end.saved.as_str().into(),
            ])
        });
        obj! {
            "clock-ms" => executor.clock(),
            "born" => executor.born_ms,
            "running" => running.collect::<Vec<Json>>(),
            "finished" => finished.collect::<Vec<Json>>(),
        }
    }

    fn rejected(&mut self, place: usize, what: &str, reason: &str) -> (u16, String) {
        let id = self.executors[place].id.clone();
        self.note(&format!("{id} rejects {what}: {reason}"));
        let clock = self.executors[place].clock();
        (409, obj! { "clock-ms" => clock, "reason" => reason }.to_string())
    }

    fn start(&mut self, place: usize, body: &Json) -> Option<(u16, String)> {
        let (task, number) = (body.str("task").to_owned(), body.num("run")?);
        let deadline = body.num("deadline-ms")?;
        let what = format!("start of {task} run {number} token {:?}", body.num("fencing-token"));
        let clock = self.executors[place].clock();
        if deadline <= clock {
            return Some(self.rejected(place, &what, "late"));
        }
        self.extend(place, deadline);
        let executor = &self.executors[place];
        let done = Some((200, obj! { "clock-ms" => clock }.to_string()));
        if executor.runs.iter().any(|run| run.task == task && run.number == number) {
            return done;
        }
        if executor.closed.get(&task).is_some_and(|closed| *closed >= number) {
            return Some(self.rejected(place, &what, "old"));
        }
        let plan = self.plan(&task);
        let counted = |plan: &StepPlan| if plan.fills { 0 } else { plan.cpu };
        let used: u64 = executor.runs.iter().map(|run| counted(&self.plan(&run.task))).sum();
        if used + counted(&plan) > executor.cpu {
            return Some(self.rejected(place, &what, "room"));
        }
        let carried = body.str("checkpoint").to_owned();
        let base_ms = self.saved_ms.get(&carried).copied().unwrap_or(0);
        let now = Instant::now();
        let run = Run {
            task: task.clone(),
            number,
            started: now,
            carried: carried.clone(),
            saved: carried.clone(),
            saved_ms: base_ms,
            base_ms,
            begun: match (plan.gang, carried.is_empty()) {
                (true, _) => None,
                (false, true) => Some(now),
                (false, false) => Some(now + Duration::from_millis(RESTORE_MS)),
            },
        };
        let id = executor.id.clone();
        self.executors[place].runs.push(run);
        self.note(&format!("{id} carries out {what} checkpoint={carried}"));
        self.starts.push(Start { at: now, task, run: number, executor: id, ended: None });
        done
    }
}

impl Pool {
    pub fn new(record: File) -> Self {
        let state = State {
            began: Instant::now(),
            jobs: HashMap::new(),
            executors: Vec::new(),
            saved_ms: HashMap::new(),
            last_value: 0,
            starts: Vec::new(),
            record,
        };
        let pool = Pool(Arc::new((Mutex::new(state), Condvar::new())));
        let timer = pool.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(5));
            let mut state = timer.lock();
            let before: u64 = state.executors.iter().map(|executor| executor.last_end).sum();
            state.advance();
            let after: u64 = state.executors.iter().map(|executor| executor.last_end).sum();
            if after > before {
                timer.0 .1.notify_all();
            }
        });
        pool
    }

    pub fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0 .0.lock().expect("no thread panics")
    }

    pub fn note(&self, line: &str) {
        self.lock().note(line);
    }

    pub fn plan_job(&self, id: &str, plan: JobPlan) {
        self.lock().jobs.insert(id.to_owned(), plan);
    }

    /// Starts an executor that registers itself, and returns its id and its gate.
    pub fn add(&self, store: &Store, zone: &str, rack: &str, cpu: u64) -> (String, Gate) {
        self.add_to(store, SERVICE, zone, rack, cpu)
    }

    /// Starts an executor of a service.
    pub fn add_to(
        &self,
        store: &Store,
        service: &str,
        zone: &str,
        rack: &str,
        cpu: u64,
    ) -> (String, Gate) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let address = listener.local_addr().expect("the socket is bound");
        let id = format!("i-{:08x}", u32::from(address.port()).wrapping_mul(2_654_435_761));
        let place = {
            let mut state = self.lock();
            state.executors.push(Executor {
                id: id.clone(),
                address,
                zone: zone.to_owned(),
                rack: rack.to_owned(),
                service: service.to_owned(),
                born_ms: unix_ms(),
                started: Instant::now(),
                cpu,
                token: 0,
                lease_until: 0,
                runs: Vec::new(),
                ends: Vec::new(),
                last_end: 0,
                closed: HashMap::new(),
                draining_until: None,
                gone: false,
                lost: false,
                seq: 0,
            });
            state.executors.len() - 1
        };
        let gate = Gate::default();
        let pool = self.clone();
        http::serve(listener, gate.clone(), move |request| pool.handle(place, &request));
        let (pool, store) = (self.clone(), store.clone());
        thread::spawn(move || loop {
            if !pool.register(&store, place) {
                return;
            }
            thread::sleep(HEARTBEAT);
        });
        (id, gate)
    }

    /// Writes the entry of an executor; removes it once the executor has left.
    fn register(&self, store: &Store, place: usize) -> bool {
        let (key, entry) = {
            let mut state = self.lock();
            let executor = &mut state.executors[place];
            executor.seq += 1;
            let key = format!("servers/{}", executor.id);
            if executor.gone {
                let silent = executor.lost;
                drop(state);
                if !silent {
                    store.erase(&key);
                }
                return false;
            }
            let capacity = obj! { "cpu" => executor.cpu, "mem-mb" => 125_000u64, "gpus" => 0u64 };
            let mut fields = vec![
                ("service".to_owned(), Json::from(executor.service.as_str())),
                ("address".to_owned(), executor.address.to_string().into()),
                ("zone".to_owned(), executor.zone.as_str().into()),
                ("version".to_owned(), "v1".into()),
                ("slots".to_owned(), 8u64.into()),
                ("cold-remaining-ms".to_owned(), 0u64.into()),
                ("capacity".to_owned(), capacity),
                ("labels".to_owned(), Json::Arr(vec!["a".into(), executor.rack.as_str().into()])),
                ("born".to_owned(), executor.born_ms.into()),
                ("clock-ms".to_owned(), executor.clock().into()),
                ("seq".to_owned(), executor.seq.into()),
            ];
            match executor.draining_until {
                Some(until) => {
                    let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
                    fields.push(("state".to_owned(), "draining".into()));
                    fields.push(("remaining-ms".to_owned(), left.into()));
                }
                None => fields.push(("state".to_owned(), "ready".into())),
            }
            (key, Json::Obj(fields))
        };
        store.write(&key, &entry);
        true
    }

    /// Ends an executor for good, without a word. Its entry goes after three heartbeat intervals.
    pub fn lose(&self, store: &Store, id: &str) {
        let place = {
            let mut state = self.lock();
            let place = state.executors.iter().position(|executor| executor.id == id);
            let place = place.expect("the id was returned by add");
            let now = Instant::now();
            state.note(&format!("{id} crashes for good"));
            for start in state.starts.iter_mut() {
                if start.executor == id && start.ended.is_none() {
                    start.ended = Some((now, "crashed"));
                }
            }
            state.executors[place].runs.clear();
            state.executors[place].gone = true;
            state.executors[place].lost = true;
            place
        };
        let (pool, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            let key = format!("servers/{}", pool.lock().executors[place].id);
            store.erase(&key);
        });
    }

    fn handle(&self, place: usize, request: &Request) -> Option<(u16, String)> {
        if request.path == "/health" {
            return Some((200, "{}".to_owned()));
        }
        let body = Json::parse(&request.body)?;
        let mut state = self.lock();
        state.advance();
        if state.executors[place].gone {
            return None;
        }
        let wanted = request.header("cuminbank-expect-instance");
        if !wanted.is_empty() && wanted != state.executors[place].id {
            return Some((421, "{}".to_owned()));
        }
        let token = body.num("fencing-token").unwrap_or(0);
        if token < state.executors[place].token {
            let what = format!("{} with token {token}", request.path);
            return Some(state.rejected(place, &what, "fence"));
        }
        state.executors[place].token = token;
        match request.path.as_str() {
            "/run-start" => state.start(place, &body),
            "/run-stop" => {
                let (task, number) = (body.str("task").to_owned(), body.num("run")?);
                let closed = state.executors[place].closed.entry(task.clone()).or_default();
                *closed = (*closed).max(number);
                let line =
                    format!("{} is told to stop {task} run {number}", state.executors[place].id);
                state.note(&line);
                state.end(place, &task, number, "stopped");
                let clock = state.executors[place].clock();
                drop(state);
                self.0 .1.notify_all();
                Some((200, obj! { "clock-ms" => clock }.to_string()))
            }
            "/pace" => {
                let clock = state.executors[place].clock();
                Some((200, obj! { "clock-ms" => clock }.to_string()))
            }
            "/hold" => {
                if let Some(deadline) = body.num("deadline-ms") {
                    state.extend(place, deadline);
                }
                let acknowledged = body.num("ack-cursor").unwrap_or(0);
                state.executors[place].ends.retain(|end| end.number > acknowledged);
                let wait = Duration::from_millis(body.num("wait-ms").unwrap_or(0).min(2_000));
                let until = Instant::now() + wait;
                loop {
                    let now = Instant::now();
                    if !state.executors[place].ends.is_empty() || now >= until {
                        break;
                    }
                    state = self.0 .1.wait_timeout(state, until - now).expect("no thread panics").0;
                    state.advance();
                }
                if state.executors[place].gone {
                    return None;
                }
                Some((200, state.listing(place).to_string()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }
}
