//! Division of a new pool by the resources of its instances, and moves of jobs between its cells.
//!
//! The number of cells follows from the executors and from the instances that can own cells, and not
//! from the resources of the instance that proposes the division. Every instance appends its
//! resources to its entry, so that all proposers derive the same number from the same entries. Jobs
//! that wait in a full cell move to one with room.

mod count;
mod handover;
mod proposal;
mod relocation;

pub use count::{CellCount, InstanceResources, Redundancy};
pub use handover::{HandoverCandidate, HandoverWatch};
pub use proposal::{DivisionEntries, DivisionProposal, ProposalStep, ENTRY_WAIT};
pub use relocation::{cell_position, CellReport, MoveTargets};
