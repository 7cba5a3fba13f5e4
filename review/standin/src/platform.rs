//! Stand-in for the users' platform: a store and executors in this process, one thread a connection.
//! It follows PROTOCOL.md; faults are switched on by the cases.

use std::{
    collections::{BTreeMap, HashMap},
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{json, Value};

pub const HOLD_MAX_MS: u64 = 6_000;
/// Largest value that the store accepts.
const VALUE_BYTES: usize = 1_048_576;
/// Connections that an executor accepts.
const MAX_CONNECTIONS: usize = 64;
/// Time after which an executor closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
pub const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
pub const CHECKPOINT: Duration = Duration::from_millis(500);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
pub struct Store {
    items: BTreeMap<String, Item>,
    changes: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// A start order as the executor received it.
#[derive(Clone)]
pub struct StartSeen {
    pub at_ms: u64,
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub checkpoint: String,
    pub answer: String,
}

#[derive(Clone)]
struct Run {
    task: String,
    run: u64,
    checkpoint: String,
    /// Begin of the work; `None` while a member of a gang waits for the others.
    began: Option<Instant>,
    arrived: Instant,
    length: Option<Duration>,
    gang: u64,
    cpu: u64,
    /// Work that the checkpoint at the start stands for.
    resumed: Duration,
    saves: bool,
}

pub struct Executor {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem: u64,
    pub up: bool,
    /// Packets to and from it are dropped.
    pub cut: bool,
    /// Open connections, and the largest number of them so far.
    pub connections: usize,
    pub most_connections: usize,
    /// Connections reset because of the cap.
    pub resets: usize,
    born: u64,
    started: Instant,
    token: u64,
    lease_until: u64,
    running: Vec<Run>,
    ended: Vec<Value>,
    last_end: u64,
    closed: HashMap<String, u64>,
    /// Changes with each crash, so that requests to the earlier life are dropped.
    life: u64,
}

pub struct World {
    pub begun: Instant,
    pub store: Store,
    pub executors: Vec<Executor>,
    pub starts: Vec<StartSeen>,
    pub ends: Vec<(u64, String, String, u64, String)>,
}

#[derive(Clone)]
pub struct Platform {
    pub world: Arc<Mutex<World>>,
    pub changed: Arc<Condvar>,
}

pub fn encode64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0u8; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(SET[(number >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

impl World {
    pub fn ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }
}

impl Store {
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    pub fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }

    pub fn put(&mut self, key: &str, value: &Value) {
        self.revision += 1;
        self.write(key, encode64(value.to_string().as_bytes()), 0);
    }

    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((revision, key.to_owned(), Some(item)));
    }

    fn row(key: &str, item: &Item) -> Value {
        json!({"key": key, "value": item.value, "revision": item.revision, "created": item.created,
            "lease": item.lease})
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expected = rows("expected-revision");
        let current = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = expected.iter().all(|row| {
            current(row["key"].as_str().unwrap_or_default())
                == row["revision"].as_u64().unwrap_or(0)
        });
        if !holds {
            let items: Vec<Value> = expected
                .iter()
                .filter_map(|row| {
                    let key = row["key"].as_str()?;
                    self.items.get(key).map(|item| Self::row(key, item))
                })
                .collect();
            return (412, json!({"items": items, "current-rev": self.revision}));
        }
        let puts = rows("puts");
        let size = |put: &Value| put["value"].as_str().map_or(0, str::len) / 4 * 3;
        if puts.iter().any(|put| size(put) > VALUE_BYTES) {
            return (400, json!({}));
        }
        let removes = rows("remove");
        if expected.len() + puts.len() + removes.len() > 32 {
            return (400, json!({}));
        }
        let lease_of = |put: &Value| put["lease"].as_u64().unwrap_or(0);
        if puts.iter().any(|put| lease_of(put) != 0 && !self.leases.contains_key(&lease_of(put))) {
            return (404, json!({}));
        }
        self.revision += 1;
        for key in &removes {
            let key = key.as_str().unwrap_or_default();
            if self.items.remove(key).is_some() {
                self.changes.push((self.revision, key.to_owned(), None));
            }
        }
        for put in &puts {
            let key = put["key"].as_str().unwrap_or_default();
            let value = put["value"].as_str().unwrap_or_default().to_owned();
            self.write(key, value, lease_of(put));
        }
        (200, json!({"revision": self.revision}))
    }
}

impl Executor {
    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1_000
    }

    pub fn used_cpu(&self) -> u64 {
        self.running.iter().map(|run| run.cpu).sum()
    }

    pub fn running(&self) -> Vec<(String, u64)> {
        self.running.iter().map(|run| (run.task.clone(), run.run)).collect()
    }

    fn saved(run: &Run) -> String {
        let Some(began) = run.began.filter(|_| run.saves) else { return run.checkpoint.clone() };
        let work = run.resumed + began.elapsed();
        let steps = work.as_millis() / CHECKPOINT.as_millis();
        if steps == 0 {
            return run.checkpoint.clone();
        }
        let job = run.task.split('.').next().unwrap_or_default();
        format!("{job}-{steps}")
    }

    fn end(&mut self, at: usize, how: &str) -> (String, u64, String) {
        let run = self.running.remove(at);
        self.last_end += 1;
        let saved = if how == "done" { String::new() } else { Self::saved(&run) };
        self.ended.push(json!([self.last_end, run.task, run.run, how, saved]));
        let closed = self.closed.entry(run.task.clone()).or_default();
        *closed = (*closed).max(run.run);
        (run.task, run.run, how.to_owned())
    }

    fn report(&self) -> Value {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|run| {
                let percent = match (run.began, run.length) {
                    (None, _) => 0,
                    (Some(_), None) => 100,
                    (Some(began), Some(length)) => ((run.resumed + began.elapsed()).as_millis()
                        * 99
                        / length.as_millis().max(1))
                    .min(99) as u64,
                };
                json!([run.task, run.run, Self::saved(run), percent, run.cpu])
            })
            .collect();
        json!({"clock-ms": self.clock(), "born": self.born, "running": running,
            "finished": self.ended.iter().take(500).collect::<Vec<_>>()})
    }

    pub fn crash(&mut self) {
        self.up = false;
        self.life += 1;
        self.running.clear();
        self.ended.clear();
        self.closed.clear();
        self.token = 0;
        self.lease_until = 0;
        self.last_end = 0;
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Platform {
    /// Starts the store at an address and executors at the following ports.
    pub fn start(store: SocketAddr, config: &Value, executors: Vec<Executor>) -> Self {
        let world = World {
            begun: Instant::now(),
            store: Store { revision: 100, ..Store::default() },
            executors,
            starts: Vec::new(),
            ends: Vec::new(),
        };
        let platform =
            Self { world: Arc::new(Mutex::new(world)), changed: Arc::new(Condvar::new()) };
        platform.world.lock().unwrap().store.put("op/config", config);
        let listener = TcpListener::bind(store).expect("the store's port is free");
        let shared = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve_store(stream));
            }
        });
        let count = platform.world.lock().unwrap().executors.len();
        for number in 0..count {
            let address = platform.world.lock().unwrap().executors[number].address;
            let listener = TcpListener::bind(address).expect("an executor's port is free");
            let shared = platform.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let shared = shared.clone();
                    let mut world = shared.world.lock().unwrap();
                    let executor = &mut world.executors[number];
                    // A crashed machine's port has no listener.
                    if !executor.up {
                        continue;
                    }
                    if executor.connections >= MAX_CONNECTIONS {
                        executor.resets += 1;
                        continue;
                    }
                    executor.connections += 1;
                    executor.most_connections = executor.most_connections.max(executor.connections);
                    drop(world);
                    thread::spawn(move || {
                        shared.serve_executor(stream, number);
                        shared.world.lock().unwrap().executors[number].connections -= 1;
                    });
                }
            });
            let shared = platform.clone();
            thread::spawn(move || shared.heartbeat(number));
        }
        let shared = platform.clone();
        thread::spawn(move || loop {
            shared.advance();
            thread::sleep(Duration::from_millis(5));
        });
        platform
    }

    fn heartbeat(&self, number: usize) {
        let mut seq = 0;
        let mut silent_since: Option<Instant> = None;
        loop {
            seq += 1;
            {
                let mut world = self.world.lock().unwrap();
                let executor = &world.executors[number];
                let key = format!("servers/{}", executor.id);
                if executor.up && !executor.cut {
                    silent_since = None;
                    let entry = json!({"service": executor.service, "address": executor.address.to_string(),
                        "zone": executor.zone, "version": "v1", "slots": 8, "state": "ready",
                        "cold-remaining-ms": 0, "seq": seq, "labels": executor.labels, "born": executor.born,
                        "capacity": {"cpu": executor.cpu, "mem-mb": executor.mem, "gpus": 0}});
                    world.store.put(&key, &entry);
                } else if silent_since.get_or_insert_with(Instant::now).elapsed()
                    > Duration::from_millis(3_300)
                {
                    world.store.remove(&key);
                }
            }
            self.changed.notify_all();
            thread::sleep(Duration::from_millis(1_100));
        }
    }

    fn advance(&self) {
        let mut world = self.world.lock().unwrap();
        let before = world.store.revision;
        world.store.expire();
        let mut moved = world.store.revision != before;
        // A gang begins once all tasks of one run are present with the same checkpoint.
        let mut present: HashMap<(String, u64, String), u64> = HashMap::new();
        for executor in world.executors.iter().filter(|executor| executor.up) {
            for run in executor.running.iter().filter(|run| run.gang > 0) {
                *present
                    .entry((gang_name(&run.task), run.run, run.checkpoint.clone()))
                    .or_default() += 1;
            }
        }
        let mut done: Vec<(String, u64)> = Vec::new();
        let mut ends = Vec::new();
        let now_ms = world.ms();
        for executor in world.executors.iter_mut().filter(|executor| executor.up) {
            let lapsed = executor.clock() >= executor.lease_until;
            let mut at = 0;
            while at < executor.running.len() {
                let run = &mut executor.running[at];
                let gang = (run.gang > 0).then(|| {
                    present
                        .get(&(gang_name(&run.task), run.run, run.checkpoint.clone()))
                        .copied()
                        .unwrap_or(0)
                });
                if run.began.is_none() && gang.is_none_or(|count| count >= run.gang) {
                    run.began = Some(Instant::now());
                }
                let worked = run.began.map(|began| run.resumed + began.elapsed());
                let how = if lapsed {
                    Some("lapsed")
                } else if worked.zip(run.length).is_some_and(|(worked, length)| worked >= length) {
                    Some("done")
                } else if run.began.is_some() && gang.is_some_and(|count| count < run.gang) {
                    Some("broken")
                } else if run.began.is_none() && run.arrived.elapsed() >= GANG_TIMEOUT {
                    Some("alone")
                } else {
                    None
                };
                match how {
                    Some(how) => {
                        if how == "done" && run.gang > 0 {
                            done.push((gang_name(&run.task), run.run));
                        }
                        let (task, run, how) = executor.end(at, how);
                        ends.push((now_ms, executor.id.clone(), task, run, how));
                    }
                    None => at += 1,
                }
            }
        }
        // The members of a gang end `done` together.
        for executor in world.executors.iter_mut().filter(|executor| executor.up) {
            let mut at = 0;
            while at < executor.running.len() {
                let run = &executor.running[at];
                if run.gang > 0 && done.contains(&(gang_name(&run.task), run.run)) {
                    let (task, run, how) = executor.end(at, "done");
                    ends.push((now_ms, executor.id.clone(), task, run, how));
                } else {
                    at += 1;
                }
            }
        }
        moved |= !ends.is_empty();
        world.ends.extend(ends);
        drop(world);
        if moved {
            self.changed.notify_all();
        }
    }

    fn serve_store(&self, stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        let mut writer = stream;
        let _ = writer.set_nodelay(true);
        while let Some((method, target, body)) = read_request(&mut reader) {
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let field = |name: &str| -> String {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .into_iter()
                    .find(|(key, _)| *key == name)
                    .map_or("", |(_, text)| text)
                    .to_owned()
            };
            thread::sleep(Duration::from_millis(2));
            let (status, reply) = if path == "/kv-watch" {
                self.watch(
                    &field("prefix"),
                    field("after").parse().unwrap_or(0),
                    field("wait-ms").parse().unwrap_or(0),
                )
            } else {
                let mut world = self.world.lock().unwrap();
                world.store.expire();
                let store = &mut world.store;
                let reply = match (method.as_str(), path) {
                    ("GET", "/kv-key") => match store.items.get(&field("key")) {
                        Some(item) => {
                            let mut row = Store::row(&field("key"), item);
                            row["current-rev"] = json!(store.revision);
                            (200, row)
                        }
                        None => (404, json!({"current-rev": store.revision})),
                    },
                    ("GET", "/kv-range") => {
                        let (prefix, after) = (field("prefix"), field("after"));
                        let rows: Vec<Value> = store
                            .items
                            .range(prefix.clone()..)
                            .take_while(|(key, _)| key.starts_with(&prefix))
                            .filter(|(key, _)| after.is_empty() || key.as_str() > after.as_str())
                            .map(|(key, item)| Store::row(key, item))
                            .take(501)
                            .collect();
                        let truncated = rows.len() > 500;
                        (
                            200,
                            json!({"items": rows.into_iter().take(500).collect::<Vec<_>>(),
                            "truncated": truncated, "current-rev": store.revision}),
                        )
                    }
                    ("POST", "/kv-txn") => store.transact(&body),
                    ("POST", "/kv-lease") => {
                        let ttl =
                            Duration::from_millis(body["ttl-ms"].as_u64().unwrap_or(0).max(1_000));
                        store.last_lease += 1;
                        store.leases.insert(store.last_lease, (ttl, Instant::now() + ttl));
                        (200, json!({"lease": store.last_lease, "ttl-ms": ttl.as_millis() as u64}))
                    }
                    ("POST", path) if path.starts_with("/kv-keep/") => {
                        match path[9..].parse::<u64>().ok().and_then(|id| store.leases.get_mut(&id))
                        {
                            Some((ttl, end)) => {
                                *end = Instant::now() + *ttl;
                                (200, json!({}))
                            }
                            None => (404, json!({})),
                        }
                    }
                    ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                        if let Ok(id) = path[14..].parse() {
                            store.end_lease(id);
                        }
                        (200, json!({}))
                    }
                    _ => (400, json!({})),
                };
                drop(world);
                self.changed.notify_all();
                reply
            };
            if !write_reply(&mut writer, status, &reply) {
                return;
            }
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, Value) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut world = self.world.lock().unwrap();
        loop {
            let store = &world.store;
            let from = store.changes.partition_point(|(revision, _, _)| *revision <= after);
            let events: Vec<Value> = store.changes[from..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => Store::row(key, item),
                    None => json!({"key": key, "revision": revision, "removed": true}),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                return (200, json!({"events": events, "current-rev": store.revision}));
            }
            world = self.changed.wait_timeout(world, until - now).unwrap().0;
        }
    }

    fn serve_executor(&self, stream: TcpStream, number: usize) {
        let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
        let life = self.world.lock().unwrap().executors[number].life;
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        let mut writer = stream;
        let _ = writer.set_nodelay(true);
        while let Some((_, path, body)) = read_request(&mut reader) {
            // The way between two zones and back takes 2 ms.
            thread::sleep(Duration::from_millis(2));
            let Some((status, reply)) = self.order(number, life, &path, &body) else { return };
            if !write_reply(&mut writer, status, &reply) {
                return;
            }
        }
    }

    /// Waits while the executor is cut off; `None` if this life of it has ended meanwhile. What
    /// arrives during a cut is lost.
    fn order(&self, number: usize, life: u64, path: &str, body: &Value) -> Option<(u16, Value)> {
        let mut world = self.world.lock().unwrap();
        if world.executors[number].cut {
            while world.executors[number].cut && world.executors[number].life == life {
                world = self.changed.wait_timeout(world, Duration::from_millis(100)).unwrap().0;
            }
            return None;
        }
        let at_ms = world.ms();
        let executor = &mut world.executors[number];
        if !executor.up || executor.life != life {
            return None;
        }
        let token = body["fencing-token"].as_u64().unwrap_or(0);
        let clock = executor.clock();
        let refuse = |reason: &str| Some((409, json!({"clock-ms": clock, "reason": reason})));
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        if token < executor.token {
            if path == "/run-start" {
                let id = executor.id.clone();
                world.starts.push(StartSeen {
                    at_ms,
                    executor: id,
                    task,
                    run,
                    checkpoint: String::new(),
                    answer: "fence".into(),
                });
            }
            return refuse("fence");
        }
        executor.token = token;
        if let Some(until) = body["deadline-ms"].as_u64() {
            if path == "/run-start" && until <= clock {
                return refuse("late");
            }
            executor.lease_until = executor.lease_until.max(until.min(clock + HOLD_MAX_MS));
        }
        match path {
            "/run-start" => {
                let spec: Value = serde_json::from_str(body["spec"].as_str().unwrap_or_default())
                    .unwrap_or_default();
                let checkpoint = body["checkpoint"].as_str().unwrap_or_default().to_owned();
                let cpu = spec["cpu"].as_u64().unwrap_or(100);
                let there =
                    executor.running.iter().any(|other| other.task == task && other.run == run);
                let answer = if there {
                    "again"
                } else if executor.closed.get(&task).is_some_and(|closed| *closed >= run) {
                    "old"
                } else if executor.used_cpu() + cpu > executor.cpu {
                    "room"
                } else {
                    let steps: u64 = checkpoint
                        .rsplit('-')
                        .next()
                        .and_then(|text| text.parse().ok())
                        .unwrap_or(0);
                    executor.running.push(Run {
                        task: task.clone(),
                        run,
                        checkpoint: checkpoint.clone(),
                        began: None,
                        arrived: Instant::now(),
                        length: spec["ms"].as_u64().map(Duration::from_millis),
                        gang: spec["gang"].as_u64().unwrap_or(0),
                        cpu,
                        resumed: CHECKPOINT * steps as u32,
                        saves: spec["saves"].as_bool().unwrap_or(false),
                    });
                    "started"
                };
                let id = executor.id.clone();
                world.starts.push(StartSeen {
                    at_ms,
                    executor: id,
                    task,
                    run,
                    checkpoint,
                    answer: answer.into(),
                });
                match answer {
                    "old" | "room" => refuse(answer),
                    _ => Some((200, json!({"clock-ms": clock}))),
                }
            }
            "/run-stop" => {
                let closed = executor.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(run);
                let found = executor
                    .running
                    .iter()
                    .position(|other| other.task == task && other.run == run);
                if let Some(at) = found {
                    let (task, run, how) = executor.end(at, "stopped");
                    let id = executor.id.clone();
                    world.ends.push((at_ms, id, task, run, how));
                }
                Some((200, json!({"clock-ms": clock})))
            }
            "/pace" => Some((200, json!({"clock-ms": clock}))),
            "/hold" => {
                let seen = body["ack-cursor"].as_u64().unwrap_or(0);
                executor.ended.retain(|end| end[0].as_u64().unwrap_or(0) > seen);
                let until = Instant::now()
                    + Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0).min(2_000));
                loop {
                    let executor = &world.executors[number];
                    if !executor.up || executor.life != life {
                        return None;
                    }
                    if executor.cut {
                        // The connection goes silent; the answer is lost.
                        while world.executors[number].cut && world.executors[number].life == life {
                            world = self
                                .changed
                                .wait_timeout(world, Duration::from_millis(100))
                                .unwrap()
                                .0;
                        }
                        return None;
                    }
                    if !executor.ended.is_empty() || Instant::now() >= until {
                        return Some((200, executor.report()));
                    }
                    world = self.changed.wait_timeout(world, Duration::from_millis(20)).unwrap().0;
                }
            }
            _ => Some((400, json!({}))),
        }
    }
}

/// Returns the name of a gang, which is the task's name without its index.
pub fn gang_name(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(gang, _)| gang).to_owned()
}

pub fn executor(
    id: &str,
    address: SocketAddr,
    service: &str,
    labels: &[&str],
    cpu: u64,
) -> Executor {
    Executor {
        id: id.to_owned(),
        address,
        service: service.to_owned(),
        zone: "z1".to_owned(),
        labels: labels.iter().map(|label| (*label).to_owned()).collect(),
        cpu,
        mem: 64_000,
        up: true,
        cut: false,
        connections: 0,
        most_connections: 0,
        resets: 0,
        born: unix_ms(),
        started: Instant::now(),
        token: 0,
        lease_until: 0,
        running: Vec::new(),
        ended: Vec::new(),
        last_end: 0,
        closed: HashMap::new(),
        life: 0,
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String, Value)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|count| *count > 0)?;
        if header.trim().is_empty() {
            break;
        }
        if let Some((name, text)) = header.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = text.trim().parse().ok()?;
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((method, path, serde_json::from_slice(&body).unwrap_or_default()))
}

fn write_reply(writer: &mut TcpStream, status: u16, body: &Value) -> bool {
    let text = body.to_string();
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        text.len()
    );
    writer.write_all((head + &text).as_bytes()).is_ok()
}
