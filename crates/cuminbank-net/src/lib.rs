//! Async runtime, HTTP client and server, peer transport and store client of the daemons.

mod body;
pub mod budget_watch;
pub mod client;
mod connection;
pub mod etcd;
mod exchange_limit;
mod fairness;
pub mod http_limit;
pub mod input_budget;
pub mod logging;
pub mod memory_plan;
pub mod memory_report;
mod metered;
mod paced;
pub mod peer;
pub mod process_memory;
pub mod runtime;
pub mod server;
pub mod watch;
