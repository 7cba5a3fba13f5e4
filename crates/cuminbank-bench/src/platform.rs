//! Entry instances, a store and targets in one process and in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use cuminbank::{
    effect::{CallerAnswer, EntryEffect},
    event::{EntryEvent, ExchangeError, ListedInstance, ListedRole},
    ids::{ExchangeId, ReplyId},
    message::encode,
    reducer::{EntryReducer, TICK_INTERVAL},
    settings::EntrySettings,
    store::{StoreReply, StoreRequest, StoreWrite, PROFILE_PREFIX},
    worker::ResourceSize,
};
use cuminbank_standins::{
    store::{StoreCore, StoreLimits},
    worker::{WorkerCore, WorkerSettings},
};
use serde_json::json;

/// Time of an exchange with a target, a peer or the list.
const EXCHANGE_TIME: Duration = Duration::from_millis(1);
/// Time of an exchange with the store.
const STORE_TIME: Duration = Duration::from_millis(3);
/// Size of each worker: 64 cores and 250 GB.
const WORKER_SIZE: ResourceSize =
    ResourceSize { millicores: 64_000, memory_mib: 250 * 1024, accelerators: 0 };

/// Index of an entry instance.
pub type HostIndex = usize;

/// Sizes of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentPlan {
    /// Zones.
    pub zones: usize,
    /// Entry instances in all, spread over the zones.
    pub entries: usize,
    /// Groups of each zone.
    pub groups: u16,
    /// Executors in each zone.
    pub executors: usize,
    /// Workers in each zone.
    pub workers: usize,
    /// Seed.
    pub seed: u64,
}

/// What an entry instance sent and received, and the time that its reducer took.
#[derive(Debug, Default)]
pub struct HostCounters {
    /// Bytes of datagrams sent.
    pub sent: u64,
    /// Bytes of datagrams received.
    pub received: u64,
    /// Datagrams sent and received.
    pub datagrams: u64,
    /// Time of each event in seconds, by its kind.
    pub spent: BTreeMap<&'static str, Vec<f64>>,
    /// Exchanges with workers.
    pub worker_calls: u64,
    /// Probes of executors.
    pub probes: u64,
    /// Answers to callers by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
}

/// An entry instance.
pub struct EntryHost {
    /// Settings.
    pub settings: EntrySettings,
    /// Its state, until it is taken to measure its memory.
    pub reducer: Option<EntryReducer>,
    /// Counters.
    pub counters: HostCounters,
    /// Answers to callers.
    pub answers: VecDeque<(ReplyId, CallerAnswer)>,
    /// Dispatches without an answer yet, oldest first.
    pub dispatches: VecDeque<(ExchangeId, SocketAddr, String)>,
}

/// Calls and bytes that the store received, by the part of the key layout.
#[derive(Clone, Debug, Default)]
pub struct StoreUse {
    /// Writes by part.
    pub writes: BTreeMap<&'static str, u64>,
    /// Reads by part, lease calls included.
    pub reads: BTreeMap<&'static str, u64>,
    /// Bytes of written values by part.
    pub bytes: BTreeMap<&'static str, u64>,
}

/// Entry instances with their platform.
pub struct VirtualDeployment {
    /// Entry instances.
    pub hosts: Vec<EntryHost>,
    /// Calls at the store.
    pub store_use: StoreUse,
    /// Virtual time.
    pub now: Duration,
    store: StoreCore,
    workers: HashMap<SocketAddr, WorkerCore>,
    running: HashMap<SocketAddr, Vec<String>>,
    listed: Vec<ListedInstance>,
    by_peer_address: HashMap<SocketAddr, HostIndex>,
    queue: BinaryHeap<Reverse<(Duration, u64, HostIndex)>>,
    events: HashMap<u64, EntryEvent>,
    asked: HashMap<ReplyId, (HostIndex, ExchangeId)>,
    sequence: u64,
}

impl VirtualDeployment {
    /// Creates a deployment with the profiles "rush" (urgent, idempotent) and "orders" (batch).
    pub fn new(plan: DeploymentPlan) -> Self {
        let mut store = StoreCore::new(StoreLimits::default());
        put_profile(&mut store, "rush", "urgent", 10_000);
        put_profile(&mut store, "orders", "batch", 600_000);
        let mut deployment = Self {
            hosts: Vec::new(),
            store_use: StoreUse::default(),
            now: Duration::ZERO,
            store,
            workers: HashMap::new(),
            running: HashMap::new(),
            listed: Vec::new(),
            by_peer_address: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            asked: HashMap::new(),
            sequence: 1 << 40,
        };
        deployment.add_targets(plan);
        deployment.add_hosts(plan);
        deployment
    }

    fn add_targets(&mut self, plan: DeploymentPlan) {
        for zone in 0..plan.zones {
            for index in 0..plan.executors {
                let address = target_address(10, zone, index);
                self.running.insert(address, Vec::new());
                let role = ListedRole::Executor { slots: 8, connections: 60 };
                self.listed.push(listed("executor", zone, index, role, address));
            }
            for index in 0..plan.workers {
                let address = target_address(11, zone, index);
                let instance = ListedRole::Worker { size: WORKER_SIZE };
                let instance = listed("worker", zone, index, instance, address);
                let settings = WorkerSettings::new(instance.name.clone(), WORKER_SIZE);
                self.workers.insert(address, WorkerCore::new(settings));
                self.listed.push(instance);
            }
        }
    }

    fn add_hosts(&mut self, plan: DeploymentPlan) {
        let mut peers: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
        for index in 0..plan.entries {
            peers.entry(zone_name(index % plan.zones)).or_default().push(peer_address(index));
        }
        for index in 0..plan.entries {
            let settings = json!({
                "instance": format!("{}-{index}", zone_name(index % plan.zones)),
                "zone": zone_name(index % plan.zones),
                "http_address": "10.255.0.1:80",
                "peer_address": peer_address(index),
                "store_addresses": ["10.255.0.2:80"],
                "list_address": "10.255.0.3:80",
                "peers": peers,
                "groups_per_zone": plan.groups,
            });
            let settings = EntrySettings::from_json(settings.to_string().as_bytes())
                .expect("the settings are valid");
            let start = plan.seed.wrapping_mul(1_000) + index as u64 + 1;
            self.by_peer_address.insert(settings.peer_address, index);
            self.hosts.push(EntryHost {
                reducer: Some(EntryReducer::new(settings.clone(), start)),
                settings,
                counters: HostCounters::default(),
                answers: VecDeque::new(),
                dispatches: VecDeque::new(),
            });
            let tick = EntryEvent::Tick { wall: SystemTime::UNIX_EPOCH };
            // Processes do not tick in step.
            self.push(Duration::from_micros(300 * index as u64), index, tick);
        }
    }

    /// Runs until a virtual time.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, sequence, host))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let Some(event) = self.events.remove(&sequence) else { continue };
            if let EntryEvent::Tick { .. } = event {
                let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000) + at;
                self.push(at + TICK_INTERVAL, host, EntryEvent::Tick { wall });
            }
            self.apply(host, event);
        }
        self.now = end;
    }

    /// Runs for a span of virtual time.
    pub fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    /// Applies an event and carries out its effects; returns the time of the reducer alone.
    pub fn apply(&mut self, host: HostIndex, event: EntryEvent) -> Duration {
        let kind = kind_of(&event);
        let now = self.now;
        let entry = &mut self.hosts[host];
        let Some(reducer) = entry.reducer.as_mut() else { return Duration::ZERO };
        let started = Instant::now();
        let effects = reducer.apply(now, event);
        let elapsed = started.elapsed();
        entry.counters.spent.entry(kind).or_default().push(elapsed.as_secs_f64());
        for effect in effects {
            self.carry_out(host, effect);
        }
        elapsed
    }

    /// Ends the oldest dispatch of an instance; returns the time of the reducer.
    pub fn end_oldest_dispatch(&mut self, host: HostIndex) -> Option<Duration> {
        let (exchange, address, call) = self.hosts[host].dispatches.pop_front()?;
        if let Some(running) = self.running.get_mut(&address) {
            running.retain(|id| *id != call);
        }
        let answer = cuminbank::event::ExecutorAnswer {
            status: 200,
            body: Bytes::from_static(b"{}"),
            elapsed: Duration::from_millis(50),
        };
        Some(self.apply(host, EntryEvent::DispatchCompleted { exchange, result: Ok(answer) }))
    }

    /// Returns a number for a reply.
    pub fn next_reply(&mut self) -> ReplyId {
        self.sequence += 1;
        self.sequence
    }

    /// Forgets what was counted so far.
    pub fn reset_counters(&mut self) {
        self.store_use = StoreUse::default();
        for host in &mut self.hosts {
            host.counters = HostCounters::default();
        }
    }

    /// Returns the number of attempts that run on all workers.
    pub fn running_tasks(&self) -> u64 {
        let counters = self.workers.values().map(WorkerCore::counters);
        counters.map(|counters| counters.started - counters.finished - counters.lapsed).sum()
    }

    /// Returns the number of attempts that finished on all workers.
    pub fn finished_tasks(&self) -> u64 {
        self.workers.values().map(|worker| worker.counters().finished).sum()
    }

    fn push(&mut self, at: Duration, host: HostIndex, event: EntryEvent) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        self.queue.push(Reverse((at, self.sequence, host)));
    }

    fn push_after(&mut self, delay: Duration, host: HostIndex, event: EntryEvent) {
        self.push(self.now + delay, host, event);
    }

    fn carry_out(&mut self, host: HostIndex, effect: EntryEffect) {
        match effect {
            EntryEffect::Answer { reply, answer } => {
                let outcomes = &mut self.hosts[host].counters.outcomes;
                *outcomes.entry(answer.outcome.name()).or_default() += 1;
                self.hosts[host].answers.push_back((reply, answer));
            }
            EntryEffect::Dispatch { exchange, address, call_id, .. } => {
                self.running.entry(address).or_default().push(call_id.clone());
                self.hosts[host].dispatches.push_back((exchange, address, call_id));
            }
            EntryEffect::Probe { exchange, address, .. } => {
                self.hosts[host].counters.probes += 1;
                let result = self.running.get(&address).cloned().ok_or(ExchangeError::NotSent);
                let event = EntryEvent::ProbeCompleted { exchange, result };
                self.push_after(EXCHANGE_TIME, host, event);
            }
            EntryEffect::CallWorker { exchange, address, request, .. } => {
                self.hosts[host].counters.worker_calls += 1;
                let now = self.now;
                let worker = self.workers.get_mut(&address);
                let reply = worker.map(|worker| worker.apply(now, request));
                let result = reply.ok_or(ExchangeError::NotSent);
                let event = EntryEvent::WorkerCallCompleted { exchange, result };
                self.push_after(EXCHANGE_TIME, host, event);
            }
            EntryEffect::CallStore { exchange, request, .. } => {
                self.call_store(host, exchange, &request);
            }
            EntryEffect::FetchList => {
                let event = EntryEvent::ListFetched { result: Ok(self.listed.clone()) };
                self.push_after(EXCHANGE_TIME, host, event);
            }
            effect => self.carry_to_peer(host, effect),
        }
    }

    fn carry_to_peer(&mut self, host: HostIndex, effect: EntryEffect) {
        match effect {
            EntryEffect::SendDatagram { to, datagram } => {
                let bytes = encode(&datagram).len() as u64;
                let counters = &mut self.hosts[host].counters;
                counters.sent += bytes;
                counters.datagrams += 1;
                let Some(&receiver) = self.by_peer_address.get(&to) else { return };
                let counters = &mut self.hosts[receiver].counters;
                counters.received += bytes;
                counters.datagrams += 1;
                let from = self.hosts[host].settings.peer_address;
                let event = EntryEvent::DatagramReceived { from, datagram };
                self.push_after(EXCHANGE_TIME, receiver, event);
            }
            EntryEffect::CallPeer { exchange, to, request, .. } => {
                let Some(&receiver) = self.by_peer_address.get(&to) else { return };
                let reply = self.next_reply();
                self.asked.insert(reply, (host, exchange));
                let event = EntryEvent::PeerRequestReceived { reply, request };
                self.push_after(EXCHANGE_TIME, receiver, event);
            }
            EntryEffect::AnswerPeer { reply, answer } => {
                let Some((asker, exchange)) = self.asked.remove(&reply) else { return };
                let event = EntryEvent::PeerCallCompleted { exchange, result: Ok(answer) };
                self.push_after(EXCHANGE_TIME, asker, event);
            }
            _ => {}
        }
    }

    fn call_store(&mut self, host: HostIndex, exchange: ExchangeId, request: &StoreRequest) {
        self.store_use.count(request);
        let result = self.store.apply(self.now, request).map_err(|_| ExchangeError::Refused(400));
        self.push_after(STORE_TIME, host, EntryEvent::StoreCallCompleted { exchange, result });
    }
}

impl StoreUse {
    fn count(&mut self, request: &StoreRequest) {
        match request {
            StoreRequest::Range { key, .. } => {
                *self.reads.entry(part_of(key)).or_default() += 1;
            }
            StoreRequest::Txn { then, otherwise, .. } => {
                let keys = then.iter().map(|write| match write {
                    StoreWrite::Put { key, .. } => key,
                    StoreWrite::Delete(key) | StoreWrite::DeletePrefix(key) => key,
                });
                let part = keys.chain(otherwise).map(|key| part_of(key)).next().unwrap_or("other");
                let counts = if then.is_empty() { &mut self.reads } else { &mut self.writes };
                *counts.entry(part).or_default() += 1;
                for write in then {
                    if let StoreWrite::Put { key, value, .. } = write {
                        *self.bytes.entry(part_of(key)).or_default() += value.len() as u64;
                    }
                }
            }
            StoreRequest::GrantLease { .. }
            | StoreRequest::RenewLease { .. }
            | StoreRequest::RevokeLease { .. } => {
                *self.reads.entry("lease").or_default() += 1;
            }
        }
    }

    /// Returns all writes.
    pub fn total_writes(&self) -> u64 {
        self.writes.values().sum()
    }

    /// Returns all reads, lease calls included.
    pub fn total_reads(&self) -> u64 {
        self.reads.values().sum()
    }
}

fn part_of(key: &str) -> &'static str {
    let parts = [
        ("/cuminbank/batch/", "/segment/", "segments"),
        ("/cuminbank/batch/", "", "snapshots"),
        ("/cuminbank/days/", "", "day records"),
        ("/cuminbank/config/", "", "configuration"),
    ];
    let found =
        parts.iter().find(|(prefix, middle, _)| key.starts_with(prefix) && key.contains(middle));
    found.map_or("ownership", |(_, _, part)| *part)
}

fn kind_of(event: &EntryEvent) -> &'static str {
    match event {
        EntryEvent::Tick { .. } => "tick",
        EntryEvent::CallArrived { .. } => "call",
        EntryEvent::TaskArrived { .. } => "accept",
        EntryEvent::DispatchCompleted { .. } => "dispatch ended",
        EntryEvent::ProbeCompleted { .. } => "probe ended",
        EntryEvent::WorkerCallCompleted { result: Ok(reply), .. } => match reply {
            cuminbank::worker::WorkerReply::Accepted => "started",
            cuminbank::worker::WorkerReply::Renewed { .. } => "renewed",
            cuminbank::worker::WorkerReply::Listed(_) => "listed",
            _ => "worker ended",
        },
        EntryEvent::StoreCallCompleted { result: Ok(StoreReply::Txn { .. }), .. } => "committed",
        EntryEvent::ListFetched { .. } => "list fetched",
        EntryEvent::DatagramReceived { .. } => "datagram",
        _ => "other",
    }
}

fn put_profile(store: &mut StoreCore, name: &str, kind: &str, deadline_ms: u64) {
    let profile = json!({
        "name": name, "kind": kind, "deadline_ms": deadline_ms, "idempotent": kind == "urgent",
        "max_run_ms": 30_000,
    });
    let put = StoreWrite::Put {
        key: format!("{PROFILE_PREFIX}{name}"),
        value: Bytes::from(profile.to_string()),
        lease: None,
    };
    let request =
        StoreRequest::Txn { compares: Vec::new(), then: vec![put], otherwise: Vec::new() };
    store.apply(Duration::ZERO, &request).expect("the store has no limits");
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

fn peer_address(index: usize) -> SocketAddr {
    ([10, 254, 0, 1], 20_000 + index as u16).into()
}

fn target_address(network: u8, zone: usize, index: usize) -> SocketAddr {
    let [high, low] = ((index / 50_000) as u16).to_be_bytes();
    let address = [network, zone as u8, high, low];
    (address, 10_000 + (index % 50_000) as u16).into()
}

fn listed(
    what: &str,
    zone: usize,
    index: usize,
    role: ListedRole,
    address: SocketAddr,
) -> ListedInstance {
    ListedInstance {
        name: format!("{what}-{zone}-{index}"),
        role,
        address,
        zone: zone_name(zone),
        rack: format!("rack-{zone}-{}", index / 10),
        machine: format!("machine-{zone}-{index}"),
        leaving: false,
    }
}
