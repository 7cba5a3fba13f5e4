//! Safety rules that tests switch off one at a time, to show that their checks detect the fault
//! that the rule prevents.

use crate::ownership;

/// Safety rules of the reducer. All are on outside of tests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GuardSwitches {
    /// Safety rules of ownership, for instance that an elector does not claim a group before its
    /// promise has expired.
    pub ownership: ownership::OwnershipGuards,
    /// Calls that a previous owner started count as occupied slots of their executor.
    pub inherited_calls_counted: bool,
    /// A task is not started again before the lease of a lost attempt has expired.
    pub lost_lease_awaited: bool,
    /// A ticket of an earlier epoch is refused unless the previous owner handed over its state.
    pub earlier_epoch_refused: bool,
    /// A refused ticket is never run later.
    pub refusals_final: bool,
    /// The authority to act for a group is checked immediately before a request is sent.
    pub authority_checked_at_send: bool,
    /// Targets that are leaving receive no new work.
    pub leaving_excluded: bool,
    /// Of two versions of a profile, the one with the higher revision is in force.
    pub revision_merge: bool,
    /// An answer of an executor is accepted only if it carries the call id that was sent.
    pub answers_matched: bool,
}

impl Default for GuardSwitches {
    fn default() -> Self {
        Self {
            ownership: ownership::OwnershipGuards::default(),
            inherited_calls_counted: true,
            lost_lease_awaited: true,
            earlier_epoch_refused: true,
            refusals_final: true,
            authority_checked_at_send: true,
            leaving_excluded: true,
            revision_merge: true,
            answers_matched: true,
        }
    }
}
