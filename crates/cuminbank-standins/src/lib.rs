//! Stand-ins for the systems around cuminbank, for tests and local runs.
//!
//! Each stand-in has a core without clock and I/O ([`store::StoreCore`], [`list::ListCore`],
//! [`executor::ExecutorCore`], [`worker::WorkerCore`]), which history tests drive in virtual time,
//! and a server that a process or a test runs on the runtime of `cuminbank-net`.
//!
//! A local platform is a store and a fleet:
//!
//! ```text
//! cuminbank-standins store --listen 127.0.0.1:2379
//! cuminbank-standins fleet --settings fleet.json
//! cuminbank-standins load --entry 127.0.0.1:8080 --plan crest --rate 100 --label learned --json
//! cuminbank-standins compare learned.json least-loaded.json random.json
//! ```
//!
//! with `fleet.json` such as
//!
//! ```text
//! {"zones": ["dublin", "kildare", "wicklow"], "machines_per_zone": 22, "machines_per_rack": 10,
//!  "slots": 8, "first_port": 32000, "seed": 7,
//!  "factors": [{"victim": "plan", "neighbour": "proving", "factor": 0.12}]}
//! ```
//!
//! Every stand-in answers `GET /control` with its counters and takes a fault by `POST /control`
//! (see [`control::FaultMode`]); the list of a fleet adds the sums over its machines and the
//! faults found in their execution logs (see [`history`]). Loads against the same fleet need
//! different seeds, since a key that runs again under the same name counts as a fault.

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
