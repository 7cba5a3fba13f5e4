//! Admission by room: whether a submitted job is accepted, given the room that its cell has.
//!
//! Answers the load of long-running jobs that arrive faster than they end. Each of them holds its
//! cores until it is cancelled, so that all cores end up with them and jobs that end by themselves
//! wait. The queue order cannot prevent that, since an accepted long-running task must run.
//!
//! The owner of a cell learns what work that ends by itself needs at its peak ([`DemandWindow`]) and
//! reports it with the room of the cell ([`RoomReport`]). Each instance decides by the latest report
//! and by what it has admitted since ([`AdmissionState`]). Without a recent report every job is
//! admitted.

mod decision;
mod demand;
mod refusals;
mod report;

pub use decision::{AdmissionDecision, AdmissionRefusal, AdmissionState, RefusalCause};
pub use demand::{reserved_cpu, DemandSample, DemandWindow, NeedsSum, DEMAND_WINDOW};
pub use refusals::{RefusalEpisode, RefusalLog};
pub use report::{QueueRoom, RoomReport, ServiceRoom};
