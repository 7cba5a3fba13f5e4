//! Stand-in for an executor, which runs urgent calls in a fixed number of slots.

mod bookings;
mod core;
mod server;

pub use self::{
    bookings::BookingTable,
    core::{CallExecution, CallStart, ExecutorCore, ExecutorCounters},
    server::ExecutorServer,
};
