//! Stand-ins of the platform, running on a thread of the test.

use std::{
    collections::BTreeMap, future::pending, io::ErrorKind, net::SocketAddr, sync::mpsc, thread,
    time::Instant,
};

use base64::{engine::general_purpose::STANDARD, Engine};
use cuminbank_net::runtime;
use cuminbank_standins::{
    executor::CallExecution,
    fleet::{Fleet, FleetSettings},
    store::{StoreLimits, StoreServer},
    worker::TaskExecution,
};
use serde_json::{json, Value};

use super::{
    http::{get, post},
    ports::PortBlock,
};

/// Indices of ports in the block: the store, then the list; the machines follow.
const STORE_PORT: usize = 1;
const LIST_PORT: usize = 2;

const PROFILES: [&str; 3] = [
    r#"{"name":"plans","kind":"urgent","deadline_ms":5000,"idempotent":true}"#,
    r#"{"name":"bookings","kind":"urgent","deadline_ms":5000}"#,
    r#"{"name":"orders","kind":"batch","deadline_ms":600000}"#,
];

/// Addresses of the store, list, executors and workers.
pub struct Platform {
    pub store: SocketAddr,
    pub list: SocketAddr,
    pub executors: Vec<SocketAddr>,
    pub workers: Vec<SocketAddr>,
    started: Instant,
}

impl Platform {
    /// Starts the stand-ins and stores the profiles. Returns `None` if another process took a port
    /// of the block after it was found free.
    pub fn start(ports: &PortBlock, machines: usize) -> Option<Self> {
        let settings = json!({
            "zones": ["dublin"], "machines_per_zone": machines, "first_port": ports.port(LIST_PORT),
            "list_lag_ms": 100, "usage_lag_ms": 100,
        });
        let settings = serde_json::from_value(settings).expect("the settings are valid");
        let store = ports.address(STORE_PORT);
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || runtime::run(serve(store, settings, sender)));
        let started = receiver.recv().ok()?;
        let machine = |index: usize| LIST_PORT + 1 + 2 * index;
        let platform = Self {
            store,
            list: ports.address(LIST_PORT),
            executors: (0..machines).map(|index| ports.address(machine(index))).collect(),
            workers: (0..machines).map(|index| ports.address(machine(index) + 1)).collect(),
            started,
        };
        PROFILES.iter().for_each(|profile| platform.put_profile(profile));
        Some(platform)
    }

    /// Stores a profile.
    pub fn put_profile(&self, profile: &str) {
        let document: Value = serde_json::from_str(profile).expect("the profile is JSON");
        let name = document["name"].as_str().expect("the profile has a name");
        let key = STANDARD.encode(format!("/cuminbank/config/profiles/{name}"));
        let put = json!({ "key": key, "value": STANDARD.encode(profile) });
        let body = json!({ "success": [{ "requestPut": put }] });
        let answer = post(self.store, "/v3/kv/txn", &[], &body).expect("the store is up");
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    /// Returns the execution logs of all executors.
    pub fn calls(&self) -> Vec<CallExecution> {
        self.executors.iter().flat_map(|address| read_log(*address)).collect()
    }

    /// Returns the execution logs of all workers.
    pub fn tasks(&self) -> Vec<TaskExecution> {
        self.workers.iter().flat_map(|address| read_log(*address)).collect()
    }

    /// Returns the sum of a counter over all executors.
    pub fn executor_counter(&self, name: &str) -> u64 {
        let summary = get(self.list, "/control").expect("the list is up").body;
        summary["counters"]["executors"][name].as_u64().unwrap_or(0)
    }

    /// Checks that no executor ran more calls than it has slots, and that no call or task ran twice
    /// or in two places at once.
    pub fn assert_history(&self) {
        let summary = get(self.list, "/control").expect("the list is up").body;
        let faults = &summary["counters"]["faults"];
        for name in ["calls_at_once", "calls_repeated", "tasks_at_once", "tasks_doubled"] {
            assert_eq!(faults[name], json!([]), "{name}");
        }
        assert_eq!(self.executor_counter("overfilled"), 0, "an executor was overfilled");
        assert_eq!(self.executor_counter("repeated"), 0, "a running call was sent again");
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        self.calls().into_iter().for_each(|call| *runs.entry(call.call).or_default() += 1);
        runs.retain(|_, count| *count > 1);
        assert!(runs.is_empty(), "call ids that ran more than once: {runs:?}");
    }

    /// Returns the current time on the clock of the execution logs, in milliseconds.
    pub fn executor_clock(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).expect("the test is short")
    }
}

async fn serve(store: SocketAddr, settings: FleetSettings, ready: mpsc::Sender<Instant>) {
    let Ok(listener) = runtime::listen(store) else { return };
    monoio::spawn(StoreServer::new(StoreLimits::default(), 1).serve(listener));
    let started = Instant::now();
    let fleet = Fleet::new(&settings);
    if let Err(error) = fleet.spawn() {
        assert_eq!(error.kind(), ErrorKind::AddrInUse, "{error}");
        return;
    }
    ready.send(started).expect("the test waits");
    pending::<()>().await;
}

fn read_log<T: serde::de::DeserializeOwned>(address: SocketAddr) -> Vec<T> {
    let answer = get(address, "/v1/executions").expect("the stand-in is up");
    serde_json::from_value(answer.body).expect("the log is a list")
}
