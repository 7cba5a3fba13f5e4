//! Switches for the safety mechanisms of the scheduler. Tests turn them off to show that their
//! checks detect the faults that the mechanisms prevent.

/// Enabled safety mechanisms. Outside of tests all of them are enabled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobGuards {
    /// Tasks of jobs accepted under an earlier owner are only started once every executor in the
    /// roster has replied or its leases have expired.
    pub reconciles_first: bool,
    /// Runs on unreachable executors are only treated as lost after the owner has verified, once
    /// their leases have expired, that it still owns the cell.
    pub verifies_ownership: bool,
    /// Ended runs are acknowledged to executors only after they are stored.
    pub records_before_ack: bool,
    /// Leases are only granted on an executor once the store no longer tells the next owner that
    /// there are none.
    pub hands_over_leases: bool,
    /// After a restart, an executor only gets work once it rejects orders for its earlier incarnation.
    pub fences_earlier_orders: bool,
    /// Executors in a zone under evacuation get no new work.
    pub heeds_evacuations: bool,
    /// Long-running jobs with a task that has waited for long come before all other jobs.
    pub starved_first: bool,
}

impl Default for JobGuards {
    fn default() -> Self {
        Self {
            reconciles_first: true,
            verifies_ownership: true,
            records_before_ack: true,
            hands_over_leases: true,
            fences_earlier_orders: true,
            heeds_evacuations: true,
            starved_first: true,
        }
    }
}
