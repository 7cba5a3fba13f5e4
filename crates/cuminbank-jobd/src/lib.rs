//! The job daemon: sockets, timers and the reducers that they feed.

mod cell;
mod clients;
pub mod clock;
pub mod daemon;
mod division;
pub mod logging;
mod metrics;
mod operators;
mod owner;
mod relay;
mod store;
mod watches;
