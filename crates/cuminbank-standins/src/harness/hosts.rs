//! Entry processes and targets.

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
/// Memory of a worker in MiB.
const WORKER_MEMORY_MIB: u64 = 64_000;

/// A process of an entry instance and its name, which outlives the process.
#[derive(Debug)]
pub(super) struct EntryHost {
    pub(super) settings: EntrySettings,
    pub(super) zone: usize,
    pub(super) process: Option<EntryProcess>,
    /// Process that ended or never started; the list drops its instance after the lag.
    pub(super) down_since: Option<Duration>,
    /// Readiness as the load balancer saw it last.
    pub(super) ready: bool,
}

/// A running process.
#[derive(Debug)]
pub(super) struct EntryProcess {
    pub(super) reducer: EntryReducer,
    pub(super) start: StartNumber,
    pub(super) started_at: Duration,
    pub(super) clock_rate: f64,
    pub(super) paused: bool,
    pub(super) draining: bool,
    /// What arrived in the sockets during a pause.
    pub(super) deferred: Vec<Action>,
    /// Exchanges that have not ended, with the event that ends them as lost.
    pub(super) open_exchanges: BTreeMap<ExchangeId, ()>,
    pub(super) replies: BTreeMap<ReplyId, ReplyOrigin>,
    pub(super) next_reply: ReplyId,
    pub(super) watch: Option<WatchState>,
    pub(super) next_watch: u64,
}

/// The watch of a process.
#[derive(Debug)]
pub(super) struct WatchState {
    pub(super) number: u64,
    pub(super) cursor: Option<WatchCursor>,
    pub(super) unreachable_since: Option<Duration>,
    /// Set while the connection of the watch is silent for good; then the client ends it.
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

    /// Returns the process's own monotonic time.
    pub(super) fn local_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at).mul_f64(self.clock_rate)
    }
}

/// Executor and worker of one machine.
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
    /// Rate of the worker's clock.
    pub(super) clock_rate: f64,
    pub(super) down: bool,
    pub(super) leaving: bool,
    /// Running calls with the exchanges that wait for them.
    pub(super) calls: BTreeMap<String, (super::queue::ExchangeRef, String)>,
    /// Index of each open execution of the worker's log.
    pub(super) open_executions: Vec<usize>,
    pub(super) recorded_executions: usize,
    pub(super) next_attempts_due: Option<Duration>,
    pub(super) slots: u32,
    pub(super) size: ResourceSize,
}

impl TargetHost {
    /// Returns the time on the worker's clock.
    pub(super) fn local_time(&self, now: Duration) -> Duration {
        now.mul_f64(self.clock_rate)
    }

    /// Returns the virtual time at which the worker's clock shows `local`.
    pub(super) fn global_time(&self, local: Duration) -> Duration {
        local.div_f64(self.clock_rate)
    }

    /// Returns the entries of the platform's list.
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

/// Creates the entry instances of a plan; index modulo zones is the zone.
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
    EntrySettings::from_json(text.to_string().as_bytes()).expect("the settings are in range")
}

/// Returns the name of an entry instance, such as `d1` for the first one of Dublin.
pub(super) fn entry_name(plan: &HarnessPlan, index: usize) -> String {
    let letter = &ZONE_NAMES[index % plan.zones][..1];
    format!("{letter}{}", index / plan.zones + 1)
}

/// Creates the targets of a plan; names are chosen so that machines spread over the groups.
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
    fitting.next().expect("some name hashes to the group")
}
