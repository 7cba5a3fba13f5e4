//! Simulated deployment: entry instances, store and targets in one process, in virtual time.

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

/// Simulated latency of a message to or from a target, a peer or the list.
const EXCHANGE_LATENCY: Duration = Duration::from_millis(1);
/// Simulated latency of a store request.
const STORE_LATENCY: Duration = Duration::from_millis(3);
/// Capacity of each worker: 64 cores and 250 GiB.
const WORKER_SIZE: ResourceSize =
    ResourceSize { millicores: 64_000, memory_mib: 250 * 1024, accelerators: 0 };

/// Index of an entry instance in [`VirtualDeployment::hosts`].
pub type HostIndex = usize;

/// Size of a simulated deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentPlan {
    /// Number of zones.
    pub zones: usize,
    /// Number of entry instances, distributed over the zones.
    pub entries: usize,
    /// Number of groups in each zone.
    pub groups: u16,
    /// Number of executors in each zone.
    pub executors: usize,
    /// Number of workers in each zone.
    pub workers: usize,
    /// Seed of the start numbers of the instances.
    pub seed: u64,
}

/// Traffic of an entry instance and processing times of its reducer.
#[derive(Debug, Default)]
pub struct HostCounters {
    /// Bytes of datagrams sent.
    pub sent: u64,
    /// Bytes of datagrams received.
    pub received: u64,
    /// Datagrams sent and received.
    pub datagrams: u64,
    /// Processing time of each event in seconds, by kind of event.
    pub event_times: BTreeMap<&'static str, Vec<f64>>,
    /// Number of exchanges with workers.
    pub worker_calls: u64,
    /// Number of probes of executors.
    pub probes: u64,
    /// Number of answers to callers, by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
}

/// Simulated entry instance.
pub struct EntryHost {
    /// Settings.
    pub settings: EntrySettings,
    /// Reducer; `None` after it was taken to measure its memory.
    pub reducer: Option<EntryReducer>,
    /// Counters.
    pub counters: HostCounters,
    /// Answers to callers, oldest first.
    pub answers: VecDeque<(ReplyId, CallerAnswer)>,
    /// Dispatches in progress, oldest first.
    pub dispatches: VecDeque<(ExchangeId, SocketAddr, String)>,
}

/// Load on the store by section of its key layout.
#[derive(Clone, Debug, Default)]
pub struct StoreUsage {
    /// Number of writes by section.
    pub writes: BTreeMap<&'static str, u64>,
    /// Number of reads by section, with lease requests under "lease".
    pub reads: BTreeMap<&'static str, u64>,
    /// Bytes of written values by section.
    pub bytes: BTreeMap<&'static str, u64>,
}

/// Simulated entry instances with their store and targets.
pub struct VirtualDeployment {
    /// Entry instances.
    pub hosts: Vec<EntryHost>,
    /// Load on the store since the counters were reset.
    pub store_usage: StoreUsage,
    /// Current virtual time.
    pub now: Duration,
    store: StoreCore,
    workers: HashMap<SocketAddr, WorkerCore>,
    running_calls: HashMap<SocketAddr, Vec<String>>,
    listed: Vec<ListedInstance>,
    hosts_by_peer_address: HashMap<SocketAddr, HostIndex>,
    queue: BinaryHeap<Reverse<(Duration, u64, HostIndex)>>,
    events: HashMap<u64, EntryEvent>,
    peer_requests: HashMap<ReplyId, (HostIndex, ExchangeId)>,
    sequence: u64,
}

impl VirtualDeployment {
    /// Creates a deployment at virtual time zero, with the profiles "rush" (urgent, idempotent) and
    /// "orders" (batch).
    pub fn new(plan: DeploymentPlan) -> Self {
        let mut store = StoreCore::new(StoreLimits::default());
        put_profile(&mut store, "rush", "urgent", 10_000);
        put_profile(&mut store, "orders", "batch", 600_000);
        let mut deployment = Self {
            hosts: Vec::new(),
            store_usage: StoreUsage::default(),
            now: Duration::ZERO,
            store,
            workers: HashMap::new(),
            running_calls: HashMap::new(),
            listed: Vec::new(),
            hosts_by_peer_address: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            peer_requests: HashMap::new(),
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
                self.running_calls.insert(address, Vec::new());
                let role = ListedRole::Executor { slots: 8, connections: 60 };
                self.listed.push(listed_instance("executor", zone, index, role, address));
            }
            for index in 0..plan.workers {
                let address = target_address(11, zone, index);
                let instance = ListedRole::Worker { size: WORKER_SIZE };
                let instance = listed_instance("worker", zone, index, instance, address);
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
                .expect("the generated settings are valid");
            let start = plan.seed.wrapping_mul(1_000) + index as u64 + 1;
            self.hosts_by_peer_address.insert(settings.peer_address, index);
            self.hosts.push(EntryHost {
                reducer: Some(EntryReducer::new(settings.clone(), start)),
                settings,
                counters: HostCounters::default(),
                answers: VecDeque::new(),
                dispatches: VecDeque::new(),
            });
            let tick = EntryEvent::Tick { wall: SystemTime::UNIX_EPOCH };
            // Offset the ticks, as real processes do not tick at the same time.
            self.schedule(Duration::from_micros(300 * index as u64), index, tick);
        }
    }

    /// Processes all events up to and including a virtual time.
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
                self.schedule(at + TICK_INTERVAL, host, EntryEvent::Tick { wall });
            }
            self.apply(host, event);
        }
        self.now = end;
    }

    /// Processes all events within a span of virtual time.
    pub fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    /// Applies an event and executes its effects; returns the real time that the reducer took.
    pub fn apply(&mut self, host: HostIndex, event: EntryEvent) -> Duration {
        let kind = event_kind(&event);
        let now = self.now;
        let entry = &mut self.hosts[host];
        let Some(reducer) = entry.reducer.as_mut() else { return Duration::ZERO };
        let started = Instant::now();
        let effects = reducer.apply(now, event);
        let elapsed = started.elapsed();
        entry.counters.event_times.entry(kind).or_default().push(elapsed.as_secs_f64());
        for effect in effects {
            self.execute(host, effect);
        }
        elapsed
    }

    /// Ends the oldest dispatch of an instance with success; returns the real time that the reducer
    /// took, or `None` without a dispatch in progress.
    pub fn end_oldest_dispatch(&mut self, host: HostIndex) -> Option<Duration> {
        let (exchange, address, call) = self.hosts[host].dispatches.pop_front()?;
        if let Some(running) = self.running_calls.get_mut(&address) {
            running.retain(|id| *id != call);
        }
        let answer = cuminbank::event::ExecutorAnswer {
            status: 200,
            body: Bytes::from_static(b"{}"),
            elapsed: Duration::from_millis(50),
        };
        Some(self.apply(host, EntryEvent::DispatchCompleted { exchange, result: Ok(answer) }))
    }

    /// Returns an unused reply id.
    pub fn next_reply(&mut self) -> ReplyId {
        self.sequence += 1;
        self.sequence
    }

    /// Resets the counters of all instances and of the store.
    pub fn reset_counters(&mut self) {
        self.store_usage = StoreUsage::default();
        for host in &mut self.hosts {
            host.counters = HostCounters::default();
        }
    }

    /// Returns the number of attempts that are running, over all workers.
    pub fn running_tasks(&self) -> u64 {
        let counters = self.workers.values().map(WorkerCore::counters);
        counters.map(|counters| counters.started - counters.finished - counters.lapsed).sum()
    }

    /// Returns the number of attempts that have finished, over all workers.
    pub fn finished_tasks(&self) -> u64 {
        self.workers.values().map(|worker| worker.counters().finished).sum()
    }

    fn schedule(&mut self, at: Duration, host: HostIndex, event: EntryEvent) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        self.queue.push(Reverse((at, self.sequence, host)));
    }

    fn schedule_after(&mut self, delay: Duration, host: HostIndex, event: EntryEvent) {
        self.schedule(self.now + delay, host, event);
    }

    fn execute(&mut self, host: HostIndex, effect: EntryEffect) {
        match effect {
            EntryEffect::Answer { reply, answer } => {
                let outcomes = &mut self.hosts[host].counters.outcomes;
                *outcomes.entry(answer.outcome.name()).or_default() += 1;
                self.hosts[host].answers.push_back((reply, answer));
            }
            EntryEffect::Dispatch { exchange, address, call_id, .. } => {
                self.running_calls.entry(address).or_default().push(call_id.clone());
                self.hosts[host].dispatches.push_back((exchange, address, call_id));
            }
            EntryEffect::Probe { exchange, address, .. } => {
                self.hosts[host].counters.probes += 1;
                let result =
                    self.running_calls.get(&address).cloned().ok_or(ExchangeError::NotSent);
                let event = EntryEvent::ProbeCompleted { exchange, result };
                self.schedule_after(EXCHANGE_LATENCY, host, event);
            }
            EntryEffect::CallWorker { exchange, address, request, .. } => {
                self.hosts[host].counters.worker_calls += 1;
                let now = self.now;
                let worker = self.workers.get_mut(&address);
                let reply = worker.map(|worker| worker.apply(now, request));
                let result = reply.ok_or(ExchangeError::NotSent);
                let event = EntryEvent::WorkerCallCompleted { exchange, result };
                self.schedule_after(EXCHANGE_LATENCY, host, event);
            }
            EntryEffect::CallStore { exchange, request, .. } => {
                self.call_store(host, exchange, &request);
            }
            EntryEffect::FetchList => {
                let event = EntryEvent::ListFetched { result: Ok(self.listed.clone()) };
                self.schedule_after(EXCHANGE_LATENCY, host, event);
            }
            effect => self.execute_peer_effect(host, effect),
        }
    }

    fn execute_peer_effect(&mut self, host: HostIndex, effect: EntryEffect) {
        match effect {
            EntryEffect::SendDatagram { to, datagram } => {
                let bytes = encode(&datagram).len() as u64;
                let counters = &mut self.hosts[host].counters;
                counters.sent += bytes;
                counters.datagrams += 1;
                let Some(&receiver) = self.hosts_by_peer_address.get(&to) else { return };
                let counters = &mut self.hosts[receiver].counters;
                counters.received += bytes;
                counters.datagrams += 1;
                let from = self.hosts[host].settings.peer_address;
                let event = EntryEvent::DatagramReceived { from, datagram };
                self.schedule_after(EXCHANGE_LATENCY, receiver, event);
            }
            EntryEffect::CallPeer { exchange, to, request, .. } => {
                let Some(&receiver) = self.hosts_by_peer_address.get(&to) else { return };
                let reply = self.next_reply();
                self.peer_requests.insert(reply, (host, exchange));
                let event = EntryEvent::PeerRequestReceived { reply, request };
                self.schedule_after(EXCHANGE_LATENCY, receiver, event);
            }
            EntryEffect::AnswerPeer { reply, answer } => {
                let Some((sender, exchange)) = self.peer_requests.remove(&reply) else { return };
                let event = EntryEvent::PeerCallCompleted { exchange, result: Ok(answer) };
                self.schedule_after(EXCHANGE_LATENCY, sender, event);
            }
            _ => {}
        }
    }

    fn call_store(&mut self, host: HostIndex, exchange: ExchangeId, request: &StoreRequest) {
        self.store_usage.count(request);
        let result = self.store.apply(self.now, request).map_err(|_| ExchangeError::Refused(400));
        self.schedule_after(
            STORE_LATENCY,
            host,
            EntryEvent::StoreCallCompleted { exchange, result },
        );
    }
}

impl StoreUsage {
    fn count(&mut self, request: &StoreRequest) {
        match request {
            StoreRequest::Range { key, .. } => {
                *self.reads.entry(store_section(key)).or_default() += 1;
            }
            StoreRequest::Txn { then, otherwise, .. } => {
                let keys = then.iter().map(|write| match write {
                    StoreWrite::Put { key, .. } => key,
                    StoreWrite::Delete(key) | StoreWrite::DeletePrefix(key) => key,
                });
                let part =
                    keys.chain(otherwise).map(|key| store_section(key)).next().unwrap_or("other");
                let counts = if then.is_empty() { &mut self.reads } else { &mut self.writes };
                *counts.entry(part).or_default() += 1;
                for write in then {
                    if let StoreWrite::Put { key, value, .. } = write {
                        *self.bytes.entry(store_section(key)).or_default() += value.len() as u64;
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

    /// Returns the number of writes over all sections.
    pub fn total_writes(&self) -> u64 {
        self.writes.values().sum()
    }

    /// Returns the number of reads over all sections, including lease requests.
    pub fn total_reads(&self) -> u64 {
        self.reads.values().sum()
    }
}

fn store_section(key: &str) -> &'static str {
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

fn event_kind(event: &EntryEvent) -> &'static str {
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
    store.apply(Duration::ZERO, &request).expect("the store stand-in is created without limits");
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

fn listed_instance(
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
