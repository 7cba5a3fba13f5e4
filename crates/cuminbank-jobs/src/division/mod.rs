//! Division of a new pool by the resources of its instances.
//!
//! The number of cells follows from the executors and from the instances that can own cells, and not
//! from the resources of the instance that proposes the division. Every instance appends its
//! resources to its entry, so that all proposers derive the same number from the same entries.

mod count;
mod proposal;

pub use count::{CellCount, InstanceResources, Redundancy};
pub use proposal::{DivisionEntries, DivisionProposal, ProposalStep, ENTRY_WAIT};
