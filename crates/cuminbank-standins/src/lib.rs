//! Simulated versions ("stand-ins") of the services that cuminbank depends on, for tests and local
//! runs: the key-value store, the list of instances, executors and workers.
//!
//! Each stand-in consists of a core without clock or I/O ([`store::StoreCore`],
//! [`list::ListCore`], [`executor::ExecutorCore`], [`worker::WorkerCore`]) and a server around it.
//! History tests drive the cores in virtual time; a process or a test runs the servers on the
//! runtime of `cuminbank-net`.
//!
//! A store and a fleet make up a local platform:
//!
//! ```text
//! cuminbank-standins store --listen 127.0.0.1:2379
//! cuminbank-standins fleet --settings fleet.json
//! cuminbank-standins load --entry 127.0.0.1:8080 --plan crest --rate 100 --label learned --json
//! cuminbank-standins compare learned.json least-loaded.json random.json
//! ```
//!
//! An example of `fleet.json`:
//!
//! ```text
//! {"zones": ["dublin", "kildare", "wicklow"], "machines_per_zone": 22, "machines_per_rack": 10,
//!  "slots": 8, "first_port": 32000, "seed": 7,
//!  "factors": [{"victim": "plan", "neighbour": "proving", "factor": 0.12}]}
//! ```
//!
//! Every stand-in returns its counters for `GET /control` and sets a fault mode for
//! `POST /control` (see [`control::FaultMode`]). The list of a fleet also returns the counters
//! summed over all machines and the faults found in their execution logs (see [`history`]). Each
//! load against the same fleet needs its own seed: the seed is part of the keys, and a key that runs
//! twice counts as a fault.

pub mod clock;
pub mod control;
pub mod executor;
pub mod fleet;
pub mod harness;
pub mod history;
pub mod interference;
pub mod list;
pub mod load;
pub mod store;
pub mod worker;
