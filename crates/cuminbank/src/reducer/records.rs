//! Day records: counters and histograms for each profile and customer, saved in batches.

use std::time::Duration;

use crate::{
    effect::{CallOutcome, EntryEffect},
    event::ExchangeError,
    ids::{ClassName, CustomerName, ExchangeId, ProfileName, StartNumber},
    settings::EntrySettings,
    store::StoreReply,
};

use super::{groups::GroupPart, step::StepContext};

/// A call that got its final answer at the instance its caller is connected to.
#[derive(Clone, Debug, PartialEq)]
pub struct CallSample {
    /// Profile.
    pub profile: ProfileName,
    /// Customer.
    pub customer: CustomerName,
    /// Class.
    pub class: ClassName,
    /// Outcome.
    pub outcome: CallOutcome,
    /// Whether the answer came within the deadline of the profile.
    pub on_time: bool,
    /// Whether the answer confirms a slot.
    pub confirms_slot: bool,
    /// Time from the arrival to the answer.
    pub elapsed: Duration,
}

/// Something that happened to a batch task, counted by its owner once it is committed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskMark {
    /// Accepted.
    Accepted,
    /// An attempt began.
    Started,
    /// Finished.
    Finished,
    /// Ended without a result.
    Failed,
    /// Cancelled.
    Cancelled,
    /// Evicted.
    Evicted,
    /// Started again after an eviction or a lost worker.
    Resumed,
    /// Two results were reported for one task.
    Doubled,
}

/// Day records.
#[derive(Debug)]
pub struct RecordPart {}

#[allow(unused_variables, reason = "skeleton")]
impl RecordPart {
    /// Creates the part.
    pub fn new(settings: &EntrySettings, start: StartNumber) -> Self {
        Self {}
    }

    /// Counts a call.
    pub fn count_call(&mut self, sample: &CallSample) {}

    /// Counts how long a short call waited while long calls held slots that it could have used.
    pub fn count_short_delay(&mut self, profile: &str, customer: &str, delay: Duration) {}

    /// Counts an event of a batch task; `elapsed` is the time since the task was accepted.
    pub fn count_task(&mut self, profile: &str, customer: &str, mark: TaskMark, elapsed: Duration) {
    }

    /// Handles the end of an exchange with the store.
    pub fn on_store_ended(
        &mut self,
        step: &mut StepContext,
        exchange: ExchangeId,
        result: Result<StoreReply, ExchangeError>,
    ) {
    }

    /// Saves a record when one is due.
    pub fn on_tick(&mut self, step: &mut StepContext, groups: &GroupPart) {}

    /// Saves the final record of a planned stop, then lets the process exit.
    pub fn finish(&mut self, step: &mut StepContext, groups: &GroupPart) {
        step.push(EntryEffect::Exit);
    }

    /// Returns the state shown to operators.
    pub fn status(&self) -> serde_json::Value {
        serde_json::json!({})
    }
}
