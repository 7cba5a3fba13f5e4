//! Runtime, HTTP, peer transport and store client that the cuminbank daemons share.

pub mod client;
mod connection;
pub mod etcd;
pub mod http_limit;
pub mod logging;
pub mod peer;
pub mod runtime;
pub mod server;
pub mod watch;
