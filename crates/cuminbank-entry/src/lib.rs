//! Entry daemon: feeds socket input and timers to the reducer as events and executes its effects.

pub mod daemon;
pub mod effects;
pub mod list;
pub mod metrics;
pub mod routes;
