//! Stand-in for a worker, which runs batch tasks under leases.

mod checkpoint;
mod core;
mod server;
mod types;
mod usage;

pub(crate) use self::server::new_delay_histogram;

pub use self::{
    checkpoint::TaskCheckpoint,
    core::WorkerCore,
    server::WorkerServer,
    types::{ExecutionEnd, TaskExecution, WorkerCounters, WorkerSettings},
};
