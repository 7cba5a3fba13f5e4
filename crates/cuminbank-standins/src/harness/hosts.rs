//! Simulated hosts: entry instances with their processes, and machines with their targets.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use cuminbank::{
    event::{ListedInstance, ListedRole},
    ids::{ExchangeId, ReplyId, StartNumber},
    membership::group_of_machine,
    reducer::EntryReducer,
    settings::EntrySettings,
    worker::ResourceSize,
};

use super::{
    plan::HarnessPlan,
    queue::{Action, ReplyOrigin},
};
use crate::{
    executor::ExecutorCore,
    store::WatchCursor,
    worker::{WorkerCore, WorkerSettings},
};

/// Names of the zones.
pub const ZONE_NAMES: [&str; 4] = ["dublin", "kildare", "wicklow", "homagama"];
/// Memory of each worker, in MiB.
const WORKER_MEMORY_MIB: u64 = 64_000;

/// Entry instance; its name and settings outlive its process.
#[derive(Debug)]
pub(super) struct EntryHost {
    pub(super) settings: EntrySettings,
    pub(super) zone: usize,
    pub(super) process: Option<EntryProcess>,
    /// Time at which the process ended. The list removes the instance some time later.
    pub(super) down_since: Option<Duration>,
    /// Result of the load balancer's latest readiness check.
    pub(super) ready: bool,
}

/// Process of an entry instance.
#[derive(Debug)]
pub(super) struct EntryProcess {
    pub(super) reducer: EntryReducer,
    pub(super) start: StartNumber,
    pub(super) started_at: Duration,
    pub(super) clock_rate: f64,
    pub(super) paused: bool,
    pub(super) draining: bool,
    /// Actions that came due during a pause; executed when the process resumes.
    pub(super) deferred: Vec<Action>,
    /// Exchanges that have not ended; the values are empty.
    pub(super) open_exchanges: BTreeMap<ExchangeId, ()>,
    pub(super) replies: BTreeMap<ReplyId, ReplyOrigin>,
    pub(super) next_reply: ReplyId,
    pub(super) watch: Option<WatchState>,
    pub(super) next_watch: u64,
}

/// Store watch of a process.
#[derive(Debug)]
pub(super) struct WatchState {
    pub(super) number: u64,
    pub(super) cursor: Option<WatchCursor>,
    pub(super) unreachable_since: Option<Duration>,
    /// Time at which the client closes the watch because its connection delivers nothing any more.
    pub(super) closes_at: Option<Duration>,
}

impl EntryProcess {
    pub(super) fn new(
        reducer: EntryReducer,
        start: StartNumber,
        started_at: Duration,
        clock_rate: f64,
    ) -> Self {
        Self {
            reducer,
            start,
            started_at,
            clock_rate,
            paused: false,
            draining: false,
            deferred: Vec::new(),
            open_exchanges: BTreeMap::new(),
            replies: BTreeMap::new(),
            next_reply: 0,
            watch: None,
            next_watch: 0,
        }
    }

    /// Converts virtual time to the process's monotonic clock.
    pub(super) fn local_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at).mul_f64(self.clock_rate)
    }
}

/// Machine with an executor and a worker.
#[derive(Debug)]
pub(super) struct TargetHost {
    pub(super) machine: String,
    pub(super) zone: usize,
    pub(super) executor: ExecutorCore,
    pub(super) worker: WorkerCore,
    pub(super) executor_name: String,
    pub(super) worker_name: String,
    pub(super) executor_address: SocketAddr,
    pub(super) worker_address: SocketAddr,
    /// Rate of the worker's clock relative to virtual time.
    pub(super) clock_rate: f64,
    pub(super) down: bool,
    pub(super) leaving: bool,
    /// Running calls by call id, each with the exchange that waits for it and the key of its body.
    pub(super) calls: BTreeMap<String, (super::queue::ExchangeRef, String)>,
    /// Indexes of the running executions in the worker's log.
    pub(super) open_executions: Vec<usize>,
    pub(super) recorded_executions: usize,
    pub(super) next_attempts_due: Option<Duration>,
    pub(super) slots: u32,
    pub(super) size: ResourceSize,
}

impl TargetHost {
    /// Converts virtual time to the worker's clock.
    pub(super) fn local_time(&self, now: Duration) -> Duration {
        now.mul_f64(self.clock_rate)
    }

    /// Converts a time on the worker's clock to virtual time.
    pub(super) fn global_time(&self, local: Duration) -> Duration {
        local.div_f64(self.clock_rate)
    }

    /// Returns the executor and the worker as entries of the platform's list.
    pub(super) fn listed(&self) -> [ListedInstance; 2] {
        let listed = |name: &str, role: ListedRole, address: SocketAddr| ListedInstance {
            name: name.to_owned(),
            role,
            address,
            zone: ZONE_NAMES[self.zone].to_owned(),
            rack: format!("rack-{}", self.zone),
            machine: self.machine.clone(),
            leaving: self.leaving,
        };
        let executor = ListedRole::Executor { slots: self.slots, connections: 60 };
        [
            listed(&self.executor_name, executor, self.executor_address),
            listed(&self.worker_name, ListedRole::Worker { size: self.size }, self.worker_address),
        ]
    }
}

/// Creates the entry instances of a plan. An instance's zone is its index modulo the zone count.
pub(super) fn new_entries(plan: &HarnessPlan) -> Vec<EntryHost> {
    let count = plan.zones * plan.entries;
    let addresses: Vec<_> = (0..count).map(peer_address).collect();
    let mut peers: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
    for (index, address) in addresses.iter().enumerate() {
        peers.entry(ZONE_NAMES[index % plan.zones].to_owned()).or_default().push(*address);
    }
    let host = |index: usize| EntryHost {
        settings: entry_settings(plan, index, &peers),
        zone: index % plan.zones,
        process: None,
        down_since: None,
        ready: false,
    };
    (0..count).map(host).collect()
}

/// Returns the peer address of an entry instance.
pub(super) fn peer_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 8081))
}

fn entry_settings(
    plan: &HarnessPlan,
    index: usize,
    peers: &BTreeMap<String, Vec<SocketAddr>>,
) -> EntrySettings {
    let zone = ZONE_NAMES[index % plan.zones];
    let text = serde_json::json!({
        "instance": entry_name(plan, index),
        "zone": zone,
        "http_address": SocketAddr::from(([10, 0, 0, index as u8 + 1], 8080)),
        "peer_address": peer_address(index),
        "store_addresses": ["10.9.0.1:2379"],
        "list_address": "10.9.0.2:8500",
        "groups_per_zone": plan.groups,
        "peers": peers,
    });
    EntrySettings::from_json(text.to_string().as_bytes())
        .expect("the settings derived from a plan are valid")
}

/// Returns the name of an entry instance, such as `d1` for the first one of Dublin.
pub(super) fn entry_name(plan: &HarnessPlan, index: usize) -> String {
    let letter = &ZONE_NAMES[index % plan.zones][..1];
    format!("{letter}{}", index / plan.zones + 1)
}

/// Creates the machines of a plan, named so that they spread evenly over the target groups.
pub(super) fn new_targets(plan: &HarnessPlan) -> Vec<TargetHost> {
    (0..plan.zones * plan.machines).map(|index| new_target(plan, index)).collect()
}

fn new_target(plan: &HarnessPlan, index: usize) -> TargetHost {
    let (zone, place) = (index % plan.zones, index / plan.zones);
    let machine = machine_name(plan, zone, place);
    let (executor_name, worker_name) = (format!("{machine}-executor"), format!("{machine}-worker"));
    let size = ResourceSize {
        millicores: plan.cores * 1_000,
        memory_mib: WORKER_MEMORY_MIB,
        accelerators: 0,
    };
    TargetHost {
        zone,
        executor: ExecutorCore::new(&executor_name, plan.slots as usize),
        worker: WorkerCore::new(WorkerSettings::new(&worker_name, size)),
        executor_name,
        worker_name,
        executor_address: SocketAddr::from(([10, 1, 0, index as u8 + 1], 9000)),
        worker_address: SocketAddr::from(([10, 1, 0, index as u8 + 1], 9001)),
        clock_rate: 0.99 + 0.005 * (index % 5) as f64,
        down: false,
        leaving: false,
        calls: BTreeMap::new(),
        open_executions: Vec::new(),
        recorded_executions: 0,
        next_attempts_due: None,
        slots: plan.slots,
        size,
        machine,
    }
}

fn machine_name(plan: &HarnessPlan, zone: usize, place: usize) -> String {
    let wanted = place as u16 % plan.groups;
    let candidates = (0..).map(|number| format!("{}-m{place}x{number}", &ZONE_NAMES[zone][..1]));
    let mut fitting = candidates.filter(|name| group_of_machine(name, plan.groups) == wanted);
    fitting.next().expect("some machine name hashes to the wanted group")
}
