//! History checking: several reducers with fakes of everything around them, in virtual time.
//!
//! [`World`] drives the reducers and records a [`History`]; [`checks`] looks in it for violations
//! of the invariants I1 to I9 of the design page. A seed repeats a run exactly.

mod callers;
mod carry;
pub mod checks;
mod faults;
mod history;
mod machines;
mod network;
mod parties;
mod plan;
mod platform;
mod queue;
mod scenario;
pub mod seeds;
mod world;

pub use self::{
    callers::{CallerRequest, RequestKind, RequestState, WorkDefect},
    faults::{FaultKind, FaultStep},
    history::{History, HistoryEntry, HistoryEvent, ProcessId},
    network::{Cut, Party},
    plan::{FaultPlan, HarnessPlan, LoadPlan},
    platform::{BOOKINGS, MORNING_RUSH, STANDING_ORDERS},
    queue::{EntryIndex, RequestIndex, TargetIndex},
    world::World,
};
