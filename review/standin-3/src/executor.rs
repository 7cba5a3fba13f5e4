//! Stand-in of an executor: its lives, its lease, its runs, and the record of all of them.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io::Write as _,
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Reply, Request, Server},
    json::{quote, Json},
    store::Store,
};

/// Interval at which an executor writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_100);
/// Longest lease, in milliseconds on the executor's clock.
const MAX_LEASE_MS: u64 = 6_000;
/// Largest number of ends in one answer.
const MAX_ENDS: usize = 500;

/// Run as the record has it. Times count from the start of the record.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: String,
    pub run: u64,
    pub spec: String,
    pub executor: String,
    pub started: Duration,
    pub ended: Option<(Duration, &'static str)>,
    /// When its end was taken note of.
    pub noted: Option<Duration>,
    /// Whether the lease has expired between the end and its note.
    pub lapsed_since: bool,
}

/// Everything that is seen on the sockets of the stand-ins.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
    pub runs: Mutex<Vec<RunRecord>>,
    /// Start that is still to be carried out late.
    pub late: Mutex<Option<LateStart>>,
    /// Executor that got it, and when.
    pub late_at: Mutex<Option<(String, Duration)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record {
            started: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
            late: Mutex::default(),
            late_at: Mutex::default(),
        })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.now().as_secs_f64(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn save(&self, path: &str) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        let file = std::fs::File::create(path);
        file.and_then(|mut file| file.write_all(text.as_bytes())).expect("the record can be written");
    }
}

struct Run {
    task: String,
    run: u64,
    cpu: u64,
    started: Instant,
    /// Run time, unless it lasts.
    time: Option<Duration>,
    index: usize,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    index: usize,
}

struct Life {
    born: u64,
    started: Instant,
    token: u64,
    lease_until: u64,
    running: Vec<Run>,
    ended: Vec<End>,
    last_number: u64,
    /// Highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
}

/// Start that gets no answer and is carried out late.
pub struct LateStart {
    /// Id of the job of which the first start is late.
    pub job: String,
    pub delay: Duration,
}

pub struct Executor {
    pub id: String,
    pub address: SocketAddr,
    pub cpu: u64,
    pub rack: String,
    pub zone: String,
    pub service: String,
    store: Arc<Store>,
    record: Arc<Record>,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    last_seen: Mutex<Instant>,
    /// Status with which a late start was carried out here.
    pub late_done: AtomicU64,
    /// Whether each call is noted in the record.
    pub traced: Mutex<bool>,
}

impl Life {
    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

fn field(spec: &str, name: &str) -> Option<u64> {
    spec.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl Executor {
    pub fn new(
        number: usize,
        (cpu, racks, zones): (u64, usize, &[&str]),
        service: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Executor> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let rack = number % racks;
        let executor = Arc::new(Executor {
            id: format!("i-{:08x}", 0x5a00_0000 + number),
            address: listener.local_addr().expect("a bound port"),
            cpu,
            rack: format!("r{rack}"),
            zone: zones[rack % zones.len()].to_owned(),
            service: service.to_owned(),
            store: store.clone(),
            record: record.clone(),
            life: Mutex::default(),
            changed: Condvar::new(),
            server: Mutex::default(),
            last_seen: Mutex::new(Instant::now()),
            late_done: AtomicU64::new(0),
            traced: Mutex::new(false),
        });
        executor.begin(listener);
        let copy = executor.clone();
        thread::spawn(move || copy.keep_entry());
        executor
    }

    fn begin(self: &Arc<Self>, listener: TcpListener) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        *self.life.lock().unwrap() = Some(Life {
            born: born.as_millis() as u64,
            started: Instant::now(),
            token: 0,
            lease_until: 0,
            running: Vec::new(),
            ended: Vec::new(),
            last_number: 0,
            closed: BTreeMap::new(),
        });
        let copy = self.clone();
        let server = Server::start(listener, move |request| copy.handle(&request));
        *self.server.lock().unwrap() = server.ok();
    }

    /// Ends the process: what runs is gone, and the port is closed.
    pub fn crash(&self) {
        *self.life.lock().unwrap() = None;
        self.changed.notify_all();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        let now = self.record.now();
        for run in self.record.runs.lock().unwrap().iter_mut() {
            if run.executor == self.id && run.ended.is_none() {
                run.ended = Some((now, "crashed"));
            }
        }
        self.record.note(format!("executor {} crashes", self.id));
    }

    /// Starts it again under its id, at its address.
    pub fn restart(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        };
        self.begin(listener);
        self.record.note(format!("executor {} starts again under its id", self.id));
        self.write_entry(1);
    }

    fn write_entry(&self, sequence: u64) {
        let Some(born) = self.life.lock().unwrap().as_ref().map(|life| life.born) else { return };
        let Self { id, address, cpu, rack, zone, service, .. } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"cold-remaining-ms\":0,\"capacity\":{{\"cpu\":{cpu},\
             \"mem-mb\":128000,\"gpus\":0}},\"labels\":[\"a\",\"{rack}\"],\"born\":{born},\
             \"seq\":{sequence}}}"
        );
        self.store.write(&format!("servers/{id}"), &entry);
        *self.last_seen.lock().unwrap() = Instant::now();
    }

    /// Writes the entry; the platform removes it after three intervals of silence.
    fn keep_entry(&self) {
        let mut listed = false;
        for sequence in 1.. {
            if self.life.lock().unwrap().is_some() {
                self.write_entry(sequence);
                listed = true;
            } else if listed && self.last_seen.lock().unwrap().elapsed() >= 3 * HEARTBEAT {
                self.store.erase(&format!("servers/{}", self.id));
                self.record.note(format!("the entry of executor {} is removed", self.id));
                listed = false;
            }
            thread::sleep(if listed && self.life.lock().unwrap().is_some() {
                HEARTBEAT
            } else {
                Duration::from_millis(100)
            });
        }
    }

    /// Ends the runs that are complete, and all others once the lease has expired.
    pub fn advance(&self) {
        if let Some(life) = self.life.lock().unwrap().as_mut() {
            self.advance_life(life);
        }
    }

    fn advance_life(&self, life: &mut Life) {
        let lapsed = life.clock() >= life.lease_until;
        if lapsed && !life.ended.is_empty() {
            let mut runs = self.record.runs.lock().unwrap();
            life.ended.iter().for_each(|end| runs[end.index].lapsed_since = true);
        }
        let mut at = 0;
        while at < life.running.len() {
            let run = &life.running[at];
            let complete = run.time.is_some_and(|time| run.started.elapsed() >= time);
            match (complete, lapsed) {
                (true, _) => self.end(life, at, "done"),
                (_, true) => self.end(life, at, "lapsed"),
                _ => at += 1,
            }
        }
    }

    fn end(&self, life: &mut Life, at: usize, how: &'static str) {
        let run = life.running.remove(at);
        life.last_number += 1;
        let number = life.last_number;
        let closed = life.closed.entry(run.task.clone()).or_default();
        *closed = (*closed).max(run.run);
        self.record.runs.lock().unwrap()[run.index].ended = Some((self.record.now(), how));
        if *self.traced.lock().unwrap() {
            self.record.note(format!("{} ends {} run {} {how}", self.id, run.task, run.run));
        }
        life.ended.push(End { number, task: run.task, run: run.run, how, index: run.index });
        self.changed.notify_all();
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        thread::sleep(Duration::from_millis(1));
        if request.header("cuminbank-expect-instance").is_some_and(|id| id != self.id) {
            return Reply::Answer(421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        if request.path == "/run-start" && self.is_late(&body) {
            return Reply::Silence;
        }
        let traced = *self.traced.lock().unwrap();
        let reply = self.carry_out(&request.path, &body);
        if traced && request.path != "/hold" {
            let Reply::Answer(status, text) = &reply else { return reply };
            self.record.note(format!(
                "{} {} {} run {} token {} -> {status} {text}",
                self.id,
                request.path,
                body.get("task").text().unwrap_or_default(),
                body.get("run").number().unwrap_or_default(),
                body.get("fencing-token").number().unwrap_or_default(),
            ));
        }
        reply
    }

    /// Returns whether a start gets no answer. It is then carried out later, by the process that
    /// has the executor's id and address at that time.
    fn is_late(self: &Arc<Self>, body: &Json) -> bool {
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let mut late = self.record.late.lock().unwrap();
        let Some(LateStart { delay, .. }) = late.take_if(|late| task.starts_with(&late.job)) else {
            return false;
        };
        *self.record.late_at.lock().unwrap() = Some((self.id.clone(), self.record.now()));
        let (run, token) = (body.get("run").number(), body.get("fencing-token").number());
        self.record.note(format!(
            "{} gets the start of {task} run {run:?} token {token:?}, gives no answer",
            self.id
        ));
        let (copy, body) = (self.clone(), body.clone());
        thread::spawn(move || {
            thread::sleep(delay);
            let Reply::Answer(status, text) = copy.carry_out("/run-start", &body) else { return };
            copy.record.note(format!(
                "{} carries out the start of {task} run {run:?} token {token:?} late: {status} {text}",
                copy.id
            ));
            copy.late_done.store(u64::from(status), Ordering::SeqCst);
        });
        true
    }

    fn carry_out(&self, path: &str, body: &Json) -> Reply {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return Reply::Silence };
        self.advance_life(life);
        let token = body.get("fencing-token").number().unwrap_or_default();
        let clock = life.clock();
        let reject =
            |reason| Reply::Answer(409, format!("{{\"clock-ms\":{clock},\"reason\":\"{reason}\"}}"));
        if token < life.token {
            return reject("fence");
        }
        life.token = token;
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let run = body.get("run").number().unwrap_or_default();
        let deadline = body.get("deadline-ms").number();
        let done = Reply::Answer(200, format!("{{\"clock-ms\":{clock}}}"));
        match path {
            "/run-start" => {
                let spec = body.get("spec").text().unwrap_or_default().to_owned();
                let deadline = deadline.unwrap_or_default();
                if deadline <= clock {
                    return reject("late");
                }
                life.lease_until = life.lease_until.max(deadline.min(clock + MAX_LEASE_MS));
                if life.running.iter().any(|other| other.task == task && other.run == run) {
                    return done;
                }
                if life.closed.get(&task).is_some_and(|closed| *closed >= run) {
                    return reject("old");
                }
                let cpu = field(&spec, "cpu").unwrap_or_default();
                if life.running.iter().map(|run| run.cpu).sum::<u64>() + cpu > self.cpu {
                    return reject("room");
                }
                let index = {
                    let mut runs = self.record.runs.lock().unwrap();
                    runs.push(RunRecord {
                        task: task.clone(),
                        run,
                        spec: spec.clone(),
                        executor: self.id.clone(),
                        started: self.record.now(),
                        ended: None,
                        noted: None,
                        lapsed_since: false,
                    });
                    runs.len() - 1
                };
                let time = field(&spec, "ms").map(Duration::from_millis);
                life.running.push(Run { task, run, cpu, started: Instant::now(), time, index });
                done
            }
            "/run-stop" => {
                let closed = life.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(run);
                let at = life.running.iter().position(|other| other.task == task && other.run == run);
                if let Some(at) = at {
                    self.end(life, at, "stopped");
                }
                done
            }
            "/hold" => {
                if let Some(deadline) = deadline {
                    life.lease_until = life.lease_until.max(deadline.min(clock + MAX_LEASE_MS));
                }
                let cursor = body.get("ack-cursor").number().unwrap_or_default();
                let now = self.record.now();
                let mut runs = self.record.runs.lock().unwrap();
                for end in life.ended.iter().filter(|end| end.number <= cursor) {
                    runs[end.index].noted = Some(now);
                }
                drop(runs);
                life.ended.retain(|end| end.number > cursor);
                let wait = body.get("wait-ms").number().unwrap_or_default();
                let until = Instant::now() + Duration::from_millis(wait);
                let born = life.born;
                loop {
                    let Some(life) = guard.as_mut().filter(|life| life.born == born) else {
                        return Reply::Silence;
                    };
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.ended.is_empty() || left.is_zero() {
                        return Reply::Answer(200, report(life));
                    }
                    guard = self.changed.wait_timeout(guard, left).unwrap().0;
                }
            }
            _ => Reply::Answer(200, format!("{{\"clock-ms\":{clock}}}")),
        }
    }

    /// Returns the processor in use.
    pub fn used(&self) -> u64 {
        let life = self.life.lock().unwrap();
        life.as_ref().map_or(0, |life| life.running.iter().map(|run| run.cpu).sum())
    }
}

fn report(life: &Life) -> String {
    let mut text = format!("{{\"clock-ms\":{},\"born\":{},\"running\":[", life.clock(), life.born);
    for (place, run) in life.running.iter().enumerate() {
        let percent = run.time.map_or(100, |time| {
            (run.started.elapsed().as_millis() * 100 / time.as_millis().max(1)).min(99)
        });
        let comma = if place > 0 { "," } else { "" };
        let _ = write!(text, "{comma}[{},{},\"\",{percent},{}]", quote(&run.task), run.run, run.cpu);
    }
    text.push_str("],\"finished\":[");
    for (place, end) in life.ended.iter().take(MAX_ENDS).enumerate() {
        let comma = if place > 0 { "," } else { "" };
        let End { number, run, how, .. } = end;
        let _ = write!(text, "{comma}[{number},{},{run},\"{how}\",\"\"]", quote(&end.task));
    }
    text.push_str("]}");
    text
}
