//! Deterministic simulation tests: several entry reducers run in virtual time against simulated
//! callers, targets, store, list and network.
//!
//! [`Simulation`] drives the reducers and records a [`History`]; [`checks`] searches it for
//! violations of the invariants I1 to I9 of the design document. The same seed gives the same run.

mod callers;
pub mod checks;
mod effects;
mod faults;
mod history;
mod hosts;
mod machines;
mod network;
mod plan;
mod platform;
mod queue;
mod scenario;
pub mod seeds;
mod simulation;

pub use self::{
    callers::{CallerRequest, RequestKind, RequestState, WorkDefect},
    faults::{FaultKind, FaultStep},
    history::{History, HistoryEntry, HistoryEvent, ProcessId},
    network::{NetworkNode, NetworkPartition},
    plan::{FaultPlan, HarnessPlan, LoadPlan},
    platform::{BATCH_PROFILE, IDEMPOTENT_PROFILE, TICKETED_PROFILE},
    queue::{EntryIndex, RequestIndex, TargetIndex},
    simulation::Simulation,
};
