//! Limit on accepted work: whether an owner has the memory for a submitted job.
//!
//! Answers clients that submit more work than the pool can finish. The owner of a cell keeps every
//! accepted job in memory until it ends, and other instances accept jobs for it. It grants each of them
//! memory in advance ([`WorkLedger`]), and an instance accepts a job only within a grant
//! ([`WorkAllowance`]). What was accepted is never given up.
//!
//! An instance accepts a small share without a grant, so that jobs are also accepted while the cell has
//! no owner. An owner of an earlier build grants nothing, and sets no limit.

mod allowance;
mod footprint;
mod ledger;

pub use allowance::{return_seconds, AllowanceDecision, WorkAllowance};
pub use ledger::{WorkGrant, WorkLedger, WorkRequest};
