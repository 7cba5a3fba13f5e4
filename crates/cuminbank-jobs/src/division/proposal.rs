//! When an instance proposes the division of a new pool, and under which conditions.

use std::time::Duration;

use super::{CellCount, InstanceResources, Redundancy};
use crate::{
    cells::{PlanLimits, PoolPlan},
    ids::{MonotonicTime, StoreRevision},
    keys::{PLAN_KEY, REGISTRATION_KEY},
    order::ExecutorReport,
    store::{encode_value, StorePut, StoreTxn},
};

/// Time for which an instance waits for the entries of others after its own is stored, if more of
/// them can lead to another division. Instances that start together register within 1 s, and an
/// attempt without a reply of the store takes 0.9 s. Traffic starts 14 s after the processes.
pub const ENTRY_WAIT: Duration = Duration::from_secs(2);
/// Number of counts without any executor after which the pool becomes a single cell.
const EMPTY_COUNTS: u32 = 15;

/// What the entries of the instances say about the division.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DivisionEntries {
    /// Resources of the instances whose entries have them.
    pub resources: Vec<InstanceResources>,
    /// Whether the entry of this instance is among them.
    pub has_own: bool,
    /// Revision of the key that every registration replaces.
    pub registration: StoreRevision,
}

/// What an instance does about the division.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalStep {
    /// Decide again later.
    Wait,
    /// Propose this division. The inputs are for the log.
    Propose(StoreTxn, CellCount),
}

/// State of an instance that may propose a division.
#[derive(Clone, Debug)]
pub struct DivisionProposal {
    limits: PlanLimits,
    delay: Duration,
    /// Time at which the entry of this instance was first seen in the store.
    registered_at: Option<MonotonicTime>,
    last_count: Option<usize>,
    empty_counts: u32,
}

impl DivisionProposal {
    /// Creates the state of an instance that proposes after `delay`, which is shorter for
    /// better-equipped instances so that most instances need not propose.
    pub fn new(limits: PlanLimits, delay: Duration) -> Self {
        Self { limits, delay, registered_at: None, last_count: None, empty_counts: 0 }
    }

    /// Returns whether the executors are to be counted. An instance does not propose before its
    /// entry is stored.
    pub fn needs_count(&mut self, now: MonotonicTime, entries: &DivisionEntries) -> bool {
        if entries.has_own {
            self.registered_at.get_or_insert(now);
        }
        self.registered_at.is_some_and(|at| now >= at + self.delay)
    }

    /// Decides after a count of the executors. The pool is divided once two successive counts agree
    /// and either no further entry can lead to fewer cells, or others had time to register.
    pub fn decide(
        &mut self,
        now: MonotonicTime,
        entries: &DivisionEntries,
        reports: &[ExecutorReport],
    ) -> ProposalStep {
        let executors = reports.len();
        self.empty_counts += u32::from(executors == 0);
        let known = executors > 0 || self.empty_counts >= EMPTY_COUNTS;
        let stable = self.last_count.replace(executors) == Some(executors) && known;
        let Some(registered_at) = self.registered_at.filter(|_| stable) else {
            return ProposalStep::Wait;
        };
        let count = CellCount::new(executors, &entries.resources, &self.limits);
        let is_final = self.limits.cells.is_some()
            || (count.minimal && count.redundancy == Redundancy::Double);
        let mut expected = vec![(PLAN_KEY.to_owned(), 0)];
        if !is_final {
            if now < registered_at + ENTRY_WAIT + self.delay {
                return ProposalStep::Wait;
            }
            // An instance that has registered meanwhile may lead to another division.
            expected.push((REGISTRATION_KEY.to_owned(), entries.registration));
        }
        let plan = PoolPlan::new(reports, &PlanLimits { cells: Some(count.cells), ..self.limits });
        let puts = vec![StorePut::new(PLAN_KEY, encode_value(&plan))];
        ProposalStep::Propose(StoreTxn { expected, puts, removes: Vec::new() }, count)
    }
}
