//! Stand-in for an executor: runs urgent calls in slots.

mod bookings;
mod core;
mod server;

pub use self::{
    bookings::BookingTable,
    core::{CallExecution, CallStart, ExecutorCore, ExecutorCounters},
    server::ExecutorServer,
};
