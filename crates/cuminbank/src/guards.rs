//! Guards that tests switch off to show that a check finds the fault which the guard prevents.

use crate::ownership;

/// Guards of the reducer; all are on except in tests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GuardSwitches {
    /// Guards of takeovers; an elector with an unexpired promise does not take over.
    pub ownership: ownership::OwnershipGuards,
    /// Work that a former owner left on an executor counts as occupying its slots.
    pub inherited_calls_counted: bool,
    /// The next attempt of a task waits until the lease of a lost attempt has lapsed.
    pub lost_lease_awaited: bool,
    /// A ticket of an earlier epoch without a handed-over state is not run.
    pub earlier_epoch_refused: bool,
    /// A refusal is final for its ticket.
    pub refusals_final: bool,
    /// The right to act is checked as the last step before a write.
    pub authority_checked_at_send: bool,
    /// Targets that are leaving get no new work.
    pub leaving_excluded: bool,
    /// Profiles are merged by the highest revision.
    pub revision_merge: bool,
    /// An answer of an executor is accepted only with the call id that was sent.
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
