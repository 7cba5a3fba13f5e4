//! Stand-ins for the systems around cuminbank, for tests and local runs.
//!
//! Each stand-in has a core without clock and I/O ([`store::StoreCore`],
//! [`executor::ExecutorCore`], [`worker::WorkerCore`]), which history tests drive in virtual time.

pub mod executor;
pub mod machine;
pub mod store;
pub mod worker;
