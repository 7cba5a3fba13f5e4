//! Entry daemon: turns sockets and timers into events of the reducer and carries out its effects.

pub mod carry;
pub mod daemon;
pub mod list;
pub mod metrics;
pub mod routes;
