//! Status of calls and executors for operators.

use serde_json::{json, Value};

use crate::ids::MonotonicTime;

use super::{state::CallStage, CallPart};

impl CallPart {
    /// Returns the status of calls, groups and executors as JSON.
    pub fn status(&self, now: MonotonicTime) -> Value {
        let stage = |stage| self.calls.values().filter(|record| record.stage == stage).count();
        let groups: Vec<Value> = self
            .terms
            .iter()
            .map(|(group, term)| {
                json!({
                    "group": group,
                    "epoch": term.epoch,
                    "waiting": term.queued(),
                    "tickets": term.tickets.len(),
                    "usable_slots": self.executors.usable_slots(*group),
                    "long_calls": self.executors.long_occupied(*group),
                    "expected_wait_ms": self.expected_wait(*group, now).as_millis() as u64,
                })
            })
            .collect();
        let executors: Vec<Value> = self
            .executors
            .iter()
            .map(|(_, executor)| {
                json!({
                    "name": executor.spec.name,
                    "group": executor.spec.group,
                    "slots": executor.spec.slots,
                    "held": executor.reserved(),
                    "long": executor.long_occupied(),
                    "inherited": executor.inherited(),
                    "assumed_full": executor.is_assumed_full(),
                    "takes_calls": executor.is_accepting(),
                })
            })
            .collect();
        json!({
            "queued": stage(CallStage::Queued),
            "running": stage(CallStage::Running),
            "settling": stage(CallStage::AwaitingProbe),
            "forwarded": self.forwards.len(),
            "without_owner": self.pending.len(),
            "quarantined": self.health.quarantined(),
            "groups": groups,
            "executors": executors,
        })
    }
}
