//! Entry daemon: turns sockets and timers into events of the reducer and carries out its effects.

pub mod daemon;
pub mod effects;
pub mod list;
pub mod metrics;
pub mod routes;
