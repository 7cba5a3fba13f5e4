//! Guards that tests switch off to show that their checks find the faults that the guards prevent.

/// Which guards of the scheduler are on; all of them outside of tests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobGuards {
    /// Earlier jobs wait until every executor of the roster has answered or its leases have ended.
    pub reconciles_first: bool,
    /// Runs out of reach are given up only after a proof that the ownership still stands.
    pub verifies_ownership: bool,
    /// Ends are acknowledged only after they are recorded.
    pub records_before_ack: bool,
}

impl Default for JobGuards {
    fn default() -> Self {
        Self { reconciles_first: true, verifies_ownership: true, records_before_ack: true }
    }
}
