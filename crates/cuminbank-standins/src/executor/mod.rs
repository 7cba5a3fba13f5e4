//! Stand-in for an executor: runs urgent calls in slots.

mod core;
mod slots;

pub use self::{
    core::{CallExecution, CallStart, ExecutorCore, ExecutorCounters},
    slots::SlotTable,
};
