//! Job daemon: runs the job scheduler and cell ownership with real sockets, timers and clocks.

mod admission;
mod cell;
mod clients;
pub mod clock;
mod confirmation;
pub mod daemon;
mod division;
mod handover;
pub mod logging;
mod metrics;
mod moves;
mod operators;
mod owner;
mod registration;
mod relay;
mod store;
mod watches;
mod work_limit;
