//! Report of the owner of a cell about its room.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    cells::CellLoad,
    ids::{QueueName, ServiceName},
};

/// Room of the executors of a service. All amounts of CPU are in thousandths of a core.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceRoom {
    /// Name of the service.
    pub service: ServiceName,
    /// Capacity of the executors that may get new work.
    pub capacity: u64,
    /// CPU that long-running tasks reserve on executors that are not being vacated.
    pub long_running: u64,
    /// CPU requested by long-running tasks that wait for an executor, or that run on one that drains,
    /// is under evacuation or is gone from the platform's list. They will need another one.
    pub long_running_ready: u64,
    /// CPU that work that ends by itself can use beside the long-running tasks. On each executor it
    /// is a multiple of the mean needs of such a task, since smaller remainders are of no use to it.
    pub usable: u64,
    /// CPU that further long-running tasks could use if no other work ran. On each executor it is a
    /// multiple of the mean needs of a long-running task.
    pub fitting: u64,
    /// Recent highest demand of work that reserves CPU and ends by itself.
    pub peak_demand: u64,
    /// CPU that is kept for work that ends by itself.
    pub reserve: u64,
    /// CPU of the long-running jobs that have ended recently, per second.
    pub ended_per_second: u64,
    /// Mean CPU of a long-running job, or 0 if there is none.
    pub mean_job: u64,
    /// Number of long-running jobs that were accepted in the last second.
    pub accepted_recently: u64,
}

impl ServiceRoom {
    /// Returns how much CPU further long-running jobs may take. Negative if they hold more than the
    /// reserve leaves.
    pub fn long_running_room(&self) -> i64 {
        let signed = |amount: u64| i64::try_from(amount).unwrap_or(i64::MAX);
        let room = signed(self.usable).saturating_sub(signed(self.reserve));
        room.min(signed(self.fitting)).saturating_sub(signed(self.long_running_ready))
    }
}

/// Demand of a queue in a cell. All amounts of CPU are in thousandths of a core.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QueueRoom {
    /// Name of the queue.
    pub queue: QueueName,
    /// Service whose executors run its tasks.
    pub service: ServiceName,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// CPU that its tasks reserve.
    pub reserved: u64,
    /// CPU requested by its ready tasks.
    pub ready: u64,
    /// Number of its ready tasks.
    pub ready_tasks: u32,
    /// Longest wait of the ready tasks that count in [`Self::ready_work`].
    pub longest_wait: Duration,
    /// CPU time of its ready tasks in thousandths of a core times milliseconds. Only tasks that
    /// reserve CPU, have an executor that is large enough, and belong to jobs that end by themselves
    /// and can still meet their objective, as these are placed before late ones.
    pub ready_work: u64,
}

/// Room of a cell as reported by its owner.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RoomReport {
    /// Load of the cell.
    pub load: CellLoad,
    /// Number of the report. Higher numbers are later.
    pub number: u64,
    /// Number of live instances, including the owner.
    pub instances: u32,
    /// Index of the asking instance among them.
    pub index: u32,
    /// Room by service.
    pub services: Vec<ServiceRoom>,
    /// Demand by queue, of those with jobs.
    pub queues: Vec<QueueRoom>,
}

impl RoomReport {
    /// Sets the place of the asking instance among the live ones. `live` are the addresses of those
    /// that have asked the owner recently.
    pub fn with_asker(
        mut self,
        owner: SocketAddr,
        asker: SocketAddr,
        live: impl IntoIterator<Item = SocketAddr>,
    ) -> Self {
        let mut instances: Vec<SocketAddr> = live.into_iter().chain([owner, asker]).collect();
        instances.sort_unstable();
        instances.dedup();
        self.index = instances.partition_point(|address| *address < asker) as u32;
        self.instances = instances.len() as u32;
        self
    }

    /// Returns the room of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceRoom> {
        self.services.iter().find(|room| room.service == name)
    }
}
