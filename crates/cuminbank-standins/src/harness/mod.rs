//! History checking: several reducers with fakes of everything around them, in virtual time.
//!
//! [`World`] drives the reducers and records a [`History`]; [`checks`] looks in it for violations
//! of the invariants I1 to I9 of the design page. A seed repeats a run exactly.

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
