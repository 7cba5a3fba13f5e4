//! Stand-in for an executor: runs urgent calls in slots.

mod core;
mod server;
mod slots;

pub use self::{
    core::{CallExecution, CallStart, ExecutorCore, ExecutorCounters},
    server::ExecutorServer,
    slots::SlotTable,
};
