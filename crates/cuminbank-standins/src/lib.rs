//! Stand-ins for the systems around cuminbank, for tests and local runs.
//!
//! Each stand-in has a core without clock and I/O ([`store::StoreCore`], [`list::ListCore`],
//! [`executor::ExecutorCore`], [`worker::WorkerCore`]), which history tests drive in virtual time,
//! and a server that a process or a test runs on the runtime of `cuminbank-net`.

pub mod clock;
pub mod control;
pub mod executor;
pub mod fleet;
pub mod harness;
pub mod history;
pub mod list;
pub mod load;
pub mod machine;
pub mod store;
pub mod worker;
