//! Observation of the executors for the check of tasks that wait beside room.

use std::time::Duration;

use cuminbank_jobs::ids::MonotonicTime;

use super::{Action, InjectedFault, MessageLosses, SimulatedPool};

/// Interval between two observations.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

impl SimulatedPool {
    /// Records when a fault ends for the check. Planned changes, such as drains, are no faults.
    pub(super) fn note_fault(&mut self, fault: &InjectedFault) {
        let lasts = match fault {
            InjectedFault::KillInstance { down, .. } => *down,
            InjectedFault::FreezeInstance { span, .. }
            | InjectedFault::CutFromStore { span, .. }
            | InjectedFault::CutFromExecutors { span, .. }
            | InjectedFault::CutOffExecutor { span, .. }
            | InjectedFault::FailStarts { span, .. } => *span,
            InjectedFault::StopInstance { .. }
            | InjectedFault::RevokeOwner
            | InjectedFault::CrashExecutor { .. } => Duration::ZERO,
            InjectedFault::DrainExecutor { .. }
            | InjectedFault::RemoveExecutor { .. }
            | InjectedFault::JoinExecutor { .. }
            | InjectedFault::RelistExecutor { .. }
            | InjectedFault::EvacuateZone { .. }
            | InjectedFault::ReopenZone { .. } => return,
        };
        self.checks.lost_tasks.disturbed(self.now + lasts);
    }

    pub(super) fn sample_waits(&mut self) {
        self.push(self.now + SAMPLE_INTERVAL, Action::SampleWaits);
        if self.losses != MessageLosses::default() {
            self.checks.lost_tasks.disturbed(self.now);
        }
        let (now, failing_until) = (self.now, &self.starts_fail_until);
        let usable = self.executors.iter().enumerate().filter(|(index, executor)| {
            let healthy = failing_until.get(index).is_none_or(|(until, _)| now >= *until);
            executor.up
                && healthy
                && !executor.failing
                && !executor.draining
                && !self.evacuations.contains_key(&executor.zone)
        });
        let usable = usable.map(|(_, executor)| executor);
        let checks = &mut self.checks;
        let found = checks.lost_tasks.sample(now, &checks.records, &self.executors, usable);
        checks.violations.extend(found);
    }

    /// Records that a message sent during a fault takes effect later.
    pub(super) fn note_late_message(&mut self, at: MonotonicTime) {
        self.checks.lost_tasks.disturbed(at);
    }
}
