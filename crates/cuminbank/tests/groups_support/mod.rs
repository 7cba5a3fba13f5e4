//! Simulated instances, store, platform list and network in virtual time, for tests of groups and
//! configuration.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use cuminbank::{
    effect::{CallerAnswer, EntryEffect},
    event::{EntryEvent, ExchangeError, ListedInstance, ListedRole, StateQuery},
    ids::{LeaseId, ReplyId, StoreRevision},
    message::PeerDatagram,
    reducer::{EntryReducer, TICK_INTERVAL},
    settings::EntrySettings,
    store::{
        StoreCompare, StoreReply, StoreRequest, StoreValue, StoreWrite, WatchChange, CONFIG_PREFIX,
    },
};

/// In-memory store with keys, revisions, transactions and leases like those of the platform's
/// store.
#[derive(Default)]
pub struct FakeStore {
    pub values: BTreeMap<String, (Bytes, StoreRevision, Option<LeaseId>)>,
    pub leases: BTreeMap<LeaseId, (Duration, Duration)>,
    pub revision: StoreRevision,
    pub changes: Vec<WatchChange>,
    granted: LeaseId,
}

impl FakeStore {
    pub fn expire(&mut self, now: Duration) {
        let ended: Vec<_> =
            self.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: LeaseId) {
        self.leases.remove(&id);
        let bound = self.values.iter().filter(|(_, (.., lease))| *lease == Some(id));
        let keys: Vec<_> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.delete(&key);
        }
    }

    fn delete(&mut self, key: &str) {
        if self.values.remove(key).is_some() {
            self.changes.push(WatchChange::Delete(key.to_owned(), self.revision));
        }
    }

    pub fn put(&mut self, key: &str, value: &str) -> StoreRevision {
        self.revision += 1;
        self.write(key, Bytes::from(value.to_owned()), None);
        self.revision
    }

    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.delete(key);
    }

    fn write(&mut self, key: &str, value: Bytes, lease: Option<LeaseId>) {
        self.values.insert(key.to_owned(), (value.clone(), self.revision, lease));
        let (key, mod_revision) = (key.to_owned(), self.revision);
        self.changes.push(WatchChange::Put(StoreValue { key, value, mod_revision }));
    }

    pub fn read(&self, key: &str) -> Option<StoreValue> {
        let (value, mod_revision, _) = self.values.get(key)?;
        Some(StoreValue { key: key.to_owned(), value: value.clone(), mod_revision: *mod_revision })
    }

    pub fn apply(
        &mut self,
        now: Duration,
        request: &StoreRequest,
    ) -> Result<StoreReply, ExchangeError> {
        self.expire(now);
        Ok(match request {
            StoreRequest::Range { key, prefix } => {
                let matches = |found: &String| found == key || (*prefix && found.starts_with(key));
                let keys = self.values.keys().filter(|found| matches(found));
                let values = keys.filter_map(|key| self.read(key)).collect();
                StoreReply::Range { revision: self.revision, values }
            }
            StoreRequest::Txn { compares, then, otherwise } => {
                let holds = |compare: &StoreCompare| match compare {
                    StoreCompare::ModRevision(key, revision) => {
                        self.values.get(key).map_or(0, |(_, found, _)| *found) == *revision
                    }
                    StoreCompare::Value(key, value) => {
                        self.values.get(key).is_some_and(|(found, ..)| found == value)
                    }
                };
                let succeeded = compares.iter().all(holds);
                if succeeded {
                    self.write_all(then)?;
                }
                let read = otherwise.iter().filter(|_| !succeeded);
                let values = read.filter_map(|key| self.read(key)).collect();
                StoreReply::Txn { revision: self.revision, succeeded, values }
            }
            StoreRequest::GrantLease { ttl_seconds } => {
                let ttl = Duration::from_secs(*ttl_seconds as u64);
                self.granted += 1;
                let lease = self.granted;
                self.leases.insert(lease, (now + ttl, ttl));
                StoreReply::Granted { lease }
            }
            StoreRequest::RenewLease { lease } => {
                let granted = self.leases.get_mut(lease);
                let alive = granted.map(|(until, ttl)| *until = now + *ttl).is_some();
                StoreReply::Renewed { alive }
            }
            StoreRequest::RevokeLease { lease } => {
                self.end_lease(*lease);
                StoreReply::Revoked
            }
        })
    }

    fn write_all(&mut self, writes: &[StoreWrite]) -> Result<(), ExchangeError> {
        let has_expired_lease = |write: &StoreWrite| match write {
            StoreWrite::Put { lease: Some(lease), .. } => !self.leases.contains_key(lease),
            _ => false,
        };
        if writes.iter().any(has_expired_lease) {
            return Err(ExchangeError::Refused(400));
        }
        self.revision += 1;
        for write in writes {
            match write {
                StoreWrite::Put { key, value, lease } => self.write(key, value.clone(), *lease),
                StoreWrite::Delete(key) => self.delete(key),
                StoreWrite::DeletePrefix(prefix) => {
                    let keys: Vec<_> =
                        self.values.keys().filter(|key| key.starts_with(prefix)).cloned().collect();
                    keys.iter().for_each(|key| self.delete(key));
                }
            }
        }
        Ok(())
    }
}

pub struct SimulatedInstance {
    pub reducer: EntryReducer,
    pub settings: EntrySettings,
    pub up: bool,
    pub paused: bool,
    pub store_up: bool,
    pub logs: Vec<(Duration, u16)>,
    pub exited: Option<Duration>,
    watch_from: Option<usize>,
}

/// Instances of one zone with their store, list and network.
#[derive(Default)]
pub struct GroupSimulation {
    pub now: Duration,
    pub nodes: Vec<SimulatedInstance>,
    pub store: FakeStore,
    pub list: Option<Vec<ListedInstance>>,
    /// Number of next transactions whose response is lost although they are applied.
    pub lost_answers: u32,
    /// Number of next reads of the configuration whose response is lost.
    pub lost_config_reads: u32,
    /// Pairs of instances that cannot reach each other, the lower index first.
    pub partitions: Vec<(usize, usize)>,
    queue: BTreeMap<(Duration, u64), (usize, EntryEvent)>,
    sent: u64,
    peer_requests: HashMap<ReplyId, (usize, u64)>,
    answers: HashMap<ReplyId, CallerAnswer>,
    pub config_offers: Vec<StoreRevision>,
}

pub const NETWORK_DELAY: Duration = Duration::from_millis(2);

pub fn settings(name: &str, port: u16, peer_ports: &[u16]) -> EntrySettings {
    let peers: Vec<_> = peer_ports.iter().map(|port| format!("127.0.0.1:{port}")).collect();
    let text = serde_json::json!({
        "instance": name, "zone": "dublin", "http_address": "127.0.0.1:1",
        "peer_address": format!("127.0.0.1:{port}"), "store_addresses": ["127.0.0.1:2"],
        "list_address": "127.0.0.1:3", "peers": { "dublin": peers }, "drain_ms": 12_000,
    });
    EntrySettings::from_json(text.to_string().as_bytes()).expect("the settings are valid")
}

pub fn listed(name: &str, role: ListedRole) -> ListedInstance {
    ListedInstance {
        name: name.to_owned(),
        role,
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: "dublin".to_owned(),
        rack: "r1".to_owned(),
        machine: format!("m-{name}"),
        leaving: false,
    }
}

impl GroupSimulation {
    /// Creates `count` instances in one zone, all of them in the platform's list.
    pub fn new(count: usize) -> Self {
        let mut simulation = Self { list: Some(Vec::new()), ..Self::default() };
        for index in 0..count {
            simulation.add_node(index as u64 + 1, count);
        }
        simulation
    }

    pub fn add_node(&mut self, start: u64, count: usize) -> usize {
        let index = self.nodes.len();
        let ports: Vec<_> = (0..count).map(|index| 7_000 + index as u16).collect();
        let settings = settings(&format!("d{index}"), 7_000 + index as u16, &ports);
        if let Some(list) = &mut self.list {
            list.push(listed(&settings.instance, ListedRole::Entry));
        }
        self.nodes.push(SimulatedInstance {
            reducer: EntryReducer::new(settings.clone(), start),
            settings,
            up: true,
            paused: false,
            store_up: true,
            logs: Vec::new(),
            exited: None,
            watch_from: None,
        });
        index
    }

    /// Restarts an instance under the same name with a new start number.
    pub fn restart(&mut self, index: usize, start: u64) {
        let node = &mut self.nodes[index];
        node.reducer = EntryReducer::new(node.settings.clone(), start);
        node.up = true;
        node.watch_from = None;
    }

    /// Ends the watch of an instance and notifies it.
    pub fn lose_watch(&mut self, node: usize) {
        self.nodes[node].watch_from = None;
        self.deliver(node, EntryEvent::WatchLost);
    }

    /// Ends the watch of an instance without notifying it.
    pub fn silence_watch(&mut self, node: usize) {
        self.nodes[node].watch_from = None;
    }

    pub fn send(&mut self, node: usize, after: Duration, event: EntryEvent) {
        self.sent += 1;
        self.queue.insert((self.now + after, self.sent), (node, event));
    }

    /// Advances the time by `time` and delivers events and ticks to all instances.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK_INTERVAL;
            self.store.expire(self.now);
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (node, event) = entry.remove();
                if self.nodes[node].paused {
                    self.send(node, TICK_INTERVAL, event);
                    continue;
                }
                self.deliver(node, event);
            }
            for node in 0..self.nodes.len() {
                self.deliver_watch(node);
                if !self.nodes[node].paused {
                    self.deliver(node, EntryEvent::Tick { wall: SystemTime::UNIX_EPOCH });
                }
            }
        }
    }

    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&mut Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.run(TICK_INTERVAL);
        }
        condition(self)
    }

    pub fn deliver(&mut self, node: usize, event: EntryEvent) {
        if !self.nodes[node].up {
            return;
        }
        let effects = self.nodes[node].reducer.apply(self.now, event);
        for effect in effects {
            self.apply_effect(node, effect);
        }
    }

    fn deliver_watch(&mut self, node: usize) {
        let Some(from) = self.nodes[node].watch_from.filter(|_| self.nodes[node].store_up) else {
            return;
        };
        self.nodes[node].watch_from = Some(self.store.changes.len());
        let changes = self.store.changes[from..].iter().filter(|change| match change {
            WatchChange::Put(value) => value.key.starts_with(CONFIG_PREFIX),
            WatchChange::Delete(key, _) => key.starts_with(CONFIG_PREFIX),
        });
        let changes: Vec<_> = changes.cloned().collect();
        if !changes.is_empty() {
            let revision = self.store.revision;
            self.deliver(node, EntryEvent::WatchChanged { revision, changes });
        }
    }

    fn apply_effect(&mut self, node: usize, effect: EntryEffect) {
        match effect {
            EntryEffect::CallStore { exchange, request, timeout } => {
                let mut after = NETWORK_DELAY;
                let mut result = Err(ExchangeError::Lost);
                if self.nodes[node].store_up {
                    result = self.store.apply(self.now, &request);
                    let txn = matches!(request, StoreRequest::Txn { .. });
                    if txn && self.lost_answers > 0 {
                        self.lost_answers -= 1;
                        result = Err(ExchangeError::Lost);
                        after = timeout;
                    }
                    let reads_config = matches!(
                        &request,
                        StoreRequest::Range { key, .. } if key == CONFIG_PREFIX
                    );
                    if reads_config && self.lost_config_reads > 0 {
                        self.lost_config_reads -= 1;
                        result = Err(ExchangeError::Lost);
                        after = timeout;
                    }
                } else {
                    after = timeout;
                }
                self.send(node, after, EntryEvent::StoreCallCompleted { exchange, result });
            }
            EntryEffect::WatchConfig { .. } => {
                self.nodes[node].watch_from = Some(self.store.changes.len());
            }
            EntryEffect::FetchList => {
                let result = self.list.clone().ok_or(ExchangeError::Lost);
                self.send(node, NETWORK_DELAY, EntryEvent::ListFetched { result });
            }
            EntryEffect::SendDatagram { to, datagram } => {
                if let Some(receiver) = self.reachable(node, to) {
                    let from = self.nodes[node].settings.peer_address;
                    let datagram: PeerDatagram = datagram;
                    self.send(
                        receiver,
                        NETWORK_DELAY,
                        EntryEvent::DatagramReceived { from, datagram },
                    );
                }
            }
            EntryEffect::CallPeer { exchange, to, request, timeout } => {
                let Some(receiver) = self.reachable(node, to) else {
                    let result = Err(ExchangeError::NotSent);
                    self.send(node, timeout, EntryEvent::PeerCallCompleted { exchange, result });
                    return;
                };
                let reply = 1_000_000 + self.sent;
                self.peer_requests.insert(reply, (node, exchange));
                self.send(
                    receiver,
                    NETWORK_DELAY,
                    EntryEvent::PeerRequestReceived { reply, request },
                );
            }
            EntryEffect::AnswerPeer { reply, answer } => {
                if let Some((requester, exchange)) = self.peer_requests.remove(&reply) {
                    let result = Ok(answer);
                    self.send(
                        requester,
                        NETWORK_DELAY,
                        EntryEvent::PeerCallCompleted { exchange, result },
                    );
                }
            }
            EntryEffect::Answer { reply, answer } => {
                self.answers.insert(reply, answer);
            }
            EntryEffect::Log(record) => {
                self.nodes[node].logs.push((self.now, record.code.number));
            }
            EntryEffect::Exit => {
                self.nodes[node].exited = Some(self.now);
                self.nodes[node].up = false;
            }
            _ => {}
        }
    }

    fn reachable(&self, from: usize, to: SocketAddr) -> Option<usize> {
        let receiver = self.nodes.iter().position(|node| node.settings.peer_address == to)?;
        let pair = (from.min(receiver), from.max(receiver));
        Some(receiver)
            .filter(|receiver| self.nodes[*receiver].up && !self.partitions.contains(&pair))
    }

    /// Queries the state of an instance. Returns the status and JSON body of the answer.
    pub fn query(&mut self, node: usize, query: StateQuery) -> (u16, serde_json::Value) {
        let reply = 500_000 + self.sent;
        self.deliver(node, EntryEvent::StateRequested { reply, query });
        let answer =
            self.answers.remove(&reply).expect("a state query is answered in the same step");
        (answer.status, serde_json::from_slice(&answer.body).expect("the body is JSON"))
    }

    /// Removes the answer to a request of a caller, if there is one.
    pub fn take_answer(&mut self, reply: ReplyId) -> Option<CallerAnswer> {
        self.answers.remove(&reply)
    }

    /// Returns the groups over which an instance has authority.
    pub fn owned(&mut self, node: usize) -> Vec<u64> {
        if !self.nodes[node].up {
            return Vec::new();
        }
        let (_, status) = self.query(node, StateQuery::Status);
        let groups =
            status["groups"]["groups"].as_array().expect("the status has a list of groups").iter();
        let owned = groups.filter(|group| !group["right_left_ms"].is_null());
        owned.map(|group| group["group"].as_u64().expect("a group has an index")).collect()
    }

    /// Returns the epoch of a group in the store.
    pub fn stored_epoch(&self, group: u16) -> Option<String> {
        let key = cuminbank::store::epoch_key("dublin", group);
        let (value, ..) = self.store.values.get(&key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    pub fn logged(&self, node: usize, number: u16) -> bool {
        self.nodes[node].logs.iter().any(|(_, logged)| *logged == number)
    }
}
