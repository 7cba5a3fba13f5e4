//! A fleet of machines in one process, each with an executor and a worker, and the list of their
//! instances.

use std::{
    cell::RefCell,
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};

use cuminbank::{
    event::{ListedInstance, ListedRole},
    worker::ResourceSize,
};
use cuminbank_net::runtime;
use serde::{Deserialize, Serialize};

use crate::{
    clock::StandinClock,
    executor::{BookingTable, ExecutorCore, ExecutorServer},
    history::summarize_fleet,
    interference::InterferenceFactors,
    list::{ListServer, ListSettings},
    worker::{WorkerServer, WorkerSettings},
};

/// Most machines in one process. Each machine uses two ports.
const MAX_MACHINES: usize = 2_000;

/// Settings of a fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Machines in each zone.
    pub machines_per_zone: usize,
    /// Machines in each rack.
    #[serde(default = "default_rack")]
    pub machines_per_rack: usize,
    /// Calls that each executor runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connection limit that each executor declares in the list; connections beyond it count as
    /// `over_connections`.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Resources of each worker.
    #[serde(default = "default_size")]
    pub size: ResourceSize,
    /// Port of the list. Machine `n`, counted from 0, serves its executor on `first_port + 1 + 2n`
    /// and its worker on the port after that.
    pub first_port: u16,
    /// Seed of the interference factors and of lost responses.
    #[serde(default)]
    pub seed: u64,
    /// Delay until a change becomes visible in the list, in milliseconds.
    #[serde(default = "default_lag_ms")]
    pub list_lag_ms: u64,
    /// Delay from the end of a usage window to its report, in milliseconds.
    #[serde(default = "default_lag_ms")]
    pub usage_lag_ms: u64,
    /// Interference factors of single pairs that replace the seeded ones.
    #[serde(default)]
    pub factors: Vec<FactorOverride>,
    /// Instances listed in addition to the machines, such as the entry instances.
    #[serde(default)]
    pub instances: Vec<ListedInstance>,
}

/// Interference factor of one pair of classes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FactorOverride {
    /// Urgent class that is slowed.
    pub victim: String,
    /// Batch class that causes the slowdown.
    pub neighbour: String,
    /// Slowdown per core that the batch class uses; 0.1 adds 10 % for each core.
    pub factor: f64,
}

fn default_rack() -> usize {
    10
}

fn default_slots() -> u32 {
    8
}

fn default_connections() -> u32 {
    60
}

fn default_size() -> ResourceSize {
    ResourceSize { millicores: 30_000, memory_mib: 125 * 1024, accelerators: 0 }
}

fn default_lag_ms() -> u64 {
    2_000
}

impl FleetSettings {
    /// Validates the number of machines, the rack size and the port range.
    ///
    /// # Errors
    ///
    /// Returns a message with the setting and the value that is not allowed.
    pub fn check(&self) -> Result<(), String> {
        let machines = self.zones.len().saturating_mul(self.machines_per_zone);
        if !(1..=MAX_MACHINES).contains(&machines) {
            return Err(format!(
                "a fleet of {machines} machines is not allowed: 1 to {MAX_MACHINES}"
            ));
        }
        if self.machines_per_rack == 0 {
            return Err("machines_per_rack: 0 is not allowed: at least 1".to_owned());
        }
        if usize::from(self.first_port) + 2 * machines > usize::from(u16::MAX) {
            return Err(format!(
                "first_port: {} leaves too few ports below 65536 for the fleet",
                self.first_port
            ));
        }
        Ok(())
    }

    fn pair_factors(&self) -> InterferenceFactors {
        let fixed = self.factors.iter();
        fixed.fold(InterferenceFactors::new(self.seed), |factors, pair| {
            factors.with_factor(&pair.victim, &pair.neighbour, pair.factor)
        })
    }

    fn address(&self, offset: usize) -> SocketAddr {
        let port = self.first_port + u16::try_from(offset).unwrap_or(0);
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    }
}

/// One machine of a fleet, with its executor and its worker.
#[derive(Clone)]
pub struct FleetMachine {
    /// Executor for urgent calls.
    pub executor: ExecutorServer,
    /// Worker for batch tasks.
    pub worker: WorkerServer,
    /// List entries of the executor and the worker, in this order.
    pub listed: [ListedInstance; 2],
}

/// Machines and the list of their instances.
pub struct Fleet {
    /// All machines, zone by zone.
    pub machines: Rc<[FleetMachine]>,
    /// List of all instances.
    pub list: ListServer,
    list_address: SocketAddr,
    table: Rc<RefCell<BookingTable>>,
}

impl Fleet {
    /// Creates a fleet without opening its ports. `settings` must have passed
    /// [`FleetSettings::check`].
    pub fn new(settings: &FleetSettings) -> Self {
        let table = Rc::new(RefCell::new(BookingTable::default()));
        let clock = StandinClock::new();
        let mut machines = Vec::new();
        for zone in &settings.zones {
            for index in 0..settings.machines_per_zone {
                let number = machines.len();
                machines.push(new_machine(settings, zone, [index, number], clock, &table));
            }
        }
        let listed = machines.iter().flat_map(|machine| machine.listed.clone());
        let instances = settings.instances.iter().cloned().chain(listed).collect();
        let list = ListSettings { lag_ms: settings.list_lag_ms, instances };
        let list = ListServer::new(list, settings.seed);
        Self { machines: machines.into(), list, list_address: settings.address(0), table }
    }

    /// Opens all ports and spawns the servers on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the first port that can't be opened; servers spawned before it keep
    /// running.
    pub fn spawn(&self) -> io::Result<()> {
        let listener = runtime::listen(self.list_address)?;
        let (machines, table) = (Rc::clone(&self.machines), Rc::clone(&self.table));
        let counters = move || summarize_fleet(&machines, &table.borrow());
        monoio::spawn(self.list.clone().serve(listener, counters));
        for machine in self.machines.iter() {
            let [executor, worker] = &machine.listed;
            let listener = runtime::listen(executor.address)?;
            monoio::spawn(machine.executor.clone().serve(listener));
            let listener = runtime::listen(worker.address)?;
            monoio::spawn(machine.worker.clone().serve(listener));
        }
        Ok(())
    }

    /// Returns the address of the list.
    pub fn list_address(&self) -> SocketAddr {
        self.list_address
    }
}

fn new_machine(
    settings: &FleetSettings,
    zone: &str,
    [index, number]: [usize; 2],
    clock: StandinClock,
    table: &Rc<RefCell<BookingTable>>,
) -> FleetMachine {
    let machine = format!("{zone}-m{index:03}");
    let listed = |name: String, role, offset| ListedInstance {
        name,
        role,
        address: settings.address(offset),
        zone: zone.to_owned(),
        rack: format!("{zone}-r{:02}", index / settings.machines_per_rack),
        machine: machine.clone(),
        leaving: false,
    };
    let executor_role =
        ListedRole::Executor { slots: settings.slots, connections: settings.connections };
    let executor_listed = listed(format!("{machine}-executor"), executor_role, 1 + 2 * number);
    let worker_role = ListedRole::Worker { size: settings.size };
    let worker_listed = listed(format!("{machine}-worker"), worker_role, 2 + 2 * number);
    let mut worker_settings = WorkerSettings::new(worker_listed.name.clone(), settings.size);
    worker_settings.usage_lag = std::time::Duration::from_millis(settings.usage_lag_ms);
    let seed = settings.seed.wrapping_add(2 * number as u64 + 1);
    let worker = WorkerServer::new(worker_settings, clock, seed);
    let core = ExecutorCore::new(executor_listed.name.clone(), settings.slots as usize);
    let factors = settings.pair_factors();
    let table = Rc::clone(table);
    let executor = ExecutorServer::new(core, table, Some(worker.clone()), factors, clock, seed + 1);
    executor.control().set_connection_limit(settings.connections as usize);
    FleetMachine { executor, worker, listed: [executor_listed, worker_listed] }
}
