//! Async runtime, HTTP client and server, peer transport and store client of the daemons.

pub mod client;
mod connection;
pub mod etcd;
mod exchange_limit;
pub mod http_limit;
pub mod logging;
pub mod peer;
pub mod runtime;
pub mod server;
pub mod watch;
