//! Reasons why an executor is not chosen for a task.

use super::{state::ExecutorState, JobScheduler};

/// Reason why a task cannot start on an executor. The first one that applies is reported.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum PlacementRefusal {
    /// Not enough free capacity.
    Capacity,
    /// The executor drains or is no longer listed.
    Leaving,
    /// Its zone is under evacuation.
    Evacuated,
    /// The stored roster does not contain it yet.
    Unlisted,
    /// It has not replied during this ownership, its last holds failed, or it may get no leases yet.
    Unreachable,
    /// It recently rejected a start for lack of capacity.
    Paused,
    /// It is quarantined, or not quarantined although the task is on probation.
    Quarantined,
    /// It is quarantined, and its last failure is too recent for a task on probation.
    ProbationPause,
    /// Another service, or without the required label.
    Labels,
    /// As many tasks of the step as allowed run on it.
    Limit,
    /// No valid ticket of the advice service.
    Ticket,
    /// It is reserved for a task of another step.
    Reserved,
    /// Best-effort tasks on it may not start now, or would interfere with latency-critical ones.
    Interference,
}

impl PlacementRefusal {
    /// Returns what a search that ends with this refusal shows.
    pub(super) fn failure(self) -> SearchFailure {
        match self {
            Self::Limit | Self::Ticket => SearchFailure::Step,
            _ => SearchFailure::Shape,
        }
    }
}

/// What the failure of a search shows. If executors differ, the greatest value counts.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum SearchFailure {
    /// No executor can run a task of this shape, whichever its job.
    #[default]
    Shape,
    /// Only this step is refused: by its limit of tasks per executor, its tickets or the size of
    /// its gang.
    Step,
}

impl JobScheduler {
    /// Returns why no task of any job may start on an executor, if so.
    pub(super) fn general_refusal(&self, executor: &ExecutorState) -> Option<PlacementRefusal> {
        if executor.draining || self.is_absent(executor) {
            return Some(PlacementRefusal::Leaving);
        }
        if self.is_evacuated(executor) {
            return Some(PlacementRefusal::Evacuated);
        }
        if !executor.in_roster {
            return Some(PlacementRefusal::Unlisted);
        }
        let in_contact = executor.contacted && executor.hold.failures == 0;
        if !in_contact || executor.clock.is_none() || !executor.may_get_leases() {
            return Some(PlacementRefusal::Unreachable);
        }
        (self.now < executor.no_starts_until).then_some(PlacementRefusal::Paused)
    }

    /// Returns whether tasks may start on an executor, as far as that does not depend on the task.
    pub(super) fn is_usable(&self, executor: &ExecutorState) -> bool {
        self.general_refusal(executor).is_none()
    }
}
