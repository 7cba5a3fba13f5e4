//! Stand-in for a worker: runs batch tasks under leases.

mod checkpoint;
mod core;
mod types;
mod usage;

pub use self::{
    checkpoint::TaskCheckpoint,
    core::WorkerCore,
    types::{ExecutionEnd, TaskExecution, WorkerCounters, WorkerSettings},
};
