//! Checks of a recorded history for violations of the invariants I1 to I9; [`ViolationKind`]
//! describes each.

mod calls;
mod fleet;
mod tasks;

use std::time::Duration;

use cuminbank::ids::{ProfileName, StoreRevision, TargetName};

use super::history::{History, ProcessId};

pub use self::{
    calls::{
        check_answers, check_call_capacity, check_call_concurrency, check_not_run,
        check_ticket_repeats,
    },
    fleet::{check_answered, check_config, check_drains, check_leaving},
    tasks::{
        check_cancelled, check_evictions, check_task_capacity, check_task_concurrency,
        check_tasks_end,
    },
};

/// Kind of a violation, with the facts that prove it.
#[derive(Clone, Debug, PartialEq)]
pub enum ViolationKind {
    /// I1: a target was sent more work than it has capacity for.
    OverCapacity {
        /// Target.
        target: TargetName,
        /// Call id or task id.
        work: String,
    },
    /// I2: two runs of the same work overlapped.
    ConcurrentRuns {
        /// Key of the call, call id (if an executor refused a repeated one), or task id.
        work: String,
        /// Targets of the two runs.
        targets: (TargetName, TargetName),
    },
    /// I3: an evicted task was not resumed from the checkpoint of its eviction.
    NotResumed {
        /// Task id.
        task: String,
        /// Checkpoint saved at the eviction.
        checkpoint: String,
        /// Checkpoint that the next start used.
        resumed_from: Option<String>,
    },
    /// I4: a caller got an incomplete answer, or the answer to another request.
    WrongAnswer {
        /// Key of the request.
        key: String,
        /// Body of the answer.
        body: String,
    },
    /// I5: work ran although its caller received the answer "not run".
    RanDespiteRefusal {
        /// Key of the request.
        key: String,
    },
    /// I6: a call with a ticket ran more than once.
    TicketRepeated {
        /// Key of the request.
        key: String,
    },
    /// I7: new work was sent to a target that the list showed as leaving.
    SentToLeavingTarget {
        /// Sender.
        process: ProcessId,
        /// Target.
        target: TargetName,
    },
    /// I8: a process exited after a drain with unanswered requests.
    UnansweredAtExit {
        /// Process.
        process: ProcessId,
        /// Number of unanswered requests.
        count: usize,
    },
    /// I8: a drained process did not exit in time.
    DrainOverdue {
        /// Process.
        process: ProcessId,
    },
    /// I9: an older revision of a profile replaced a newer one.
    Reverted {
        /// Process.
        process: ProcessId,
        /// Profile.
        name: ProfileName,
        /// Revision before.
        from: StoreRevision,
        /// Revision after; 0 if the profile is missing.
        to: StoreRevision,
    },
    /// I9: a committed change had not reached a process after 6 s.
    NotInForce {
        /// Process.
        process: ProcessId,
        /// Profile.
        name: ProfileName,
        /// Revision.
        revision: StoreRevision,
    },
    /// A process still ran at the end without having answered requests.
    NeverAnswered {
        /// Process.
        process: ProcessId,
        /// Requests of callers and peers.
        waiting: Vec<String>,
    },
    /// The result of an accepted task was never reported.
    LostTask {
        /// Task id.
        task: String,
    },
    /// A task started or finished after its caller received the answer that it is cancelled.
    RanAfterCancel {
        /// Task id.
        task: String,
    },
    /// A task was started again after it had finished.
    TaskRepeated {
        /// Task id.
        task: String,
    },
}

/// Violation with the virtual time at which it was detected.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Virtual time.
    pub at: Duration,
    /// Kind of the violation.
    pub kind: ViolationKind,
}

impl ViolationKind {
    /// Returns the violated invariant: its number, or its text if it has none.
    pub fn invariant(&self) -> &'static str {
        match self {
            Self::OverCapacity { .. } => "I1",
            Self::ConcurrentRuns { .. } => "I2",
            Self::NotResumed { .. } => "I3",
            Self::WrongAnswer { .. } => "I4",
            Self::RanDespiteRefusal { .. } => "I5",
            Self::TicketRepeated { .. } => "I6",
            Self::SentToLeavingTarget { .. } => "I7",
            Self::UnansweredAtExit { .. } | Self::DrainOverdue { .. } => "I8",
            Self::Reverted { .. } | Self::NotInForce { .. } => "I9",
            Self::NeverAnswered { .. } => "requests are answered",
            Self::LostTask { .. } => "accepted tasks finish",
            Self::RanAfterCancel { .. } => "cancelled tasks stay cancelled",
            Self::TaskRepeated { .. } => "finished tasks stay finished",
        }
    }

    /// Returns the id or name under which the history mentions the subject of the violation.
    pub fn subject(&self) -> String {
        match self {
            Self::OverCapacity { work, .. } | Self::ConcurrentRuns { work, .. } => work.clone(),
            Self::NotResumed { task, .. }
            | Self::LostTask { task }
            | Self::RanAfterCancel { task }
            | Self::TaskRepeated { task } => task.clone(),
            Self::WrongAnswer { key, .. }
            | Self::RanDespiteRefusal { key }
            | Self::TicketRepeated { key } => key.clone(),
            Self::SentToLeavingTarget { target, .. } => target.clone(),
            Self::UnansweredAtExit { process, .. }
            | Self::DrainOverdue { process }
            | Self::NeverAnswered { process, .. }
            | Self::Reverted { process, .. }
            | Self::NotInForce { process, .. } => process.1.to_string(),
        }
    }
}

/// Runs all checks and returns the violations in order of time.
pub fn check_all(history: &History) -> Vec<Violation> {
    let checks = [
        check_call_capacity,
        check_task_capacity,
        check_call_concurrency,
        check_task_concurrency,
        check_evictions,
        check_answers,
        check_not_run,
        check_ticket_repeats,
        check_leaving,
        check_drains,
        check_config,
        check_tasks_end,
        check_answered,
        check_cancelled,
    ];
    let mut violations: Vec<_> = checks.iter().flat_map(|check| check(history)).collect();
    violations.sort_by_key(|violation| violation.at);
    violations
}

/// Describes the first ten violations, with the seed and the events before and about the first.
pub fn describe(seed: u64, history: &History, violations: &[Violation]) -> String {
    let mut text = format!("seed {seed}:\n");
    for violation in violations.iter().take(10) {
        let (at, kind) = (violation.at.as_secs_f64(), &violation.kind);
        text += &format!("invariant \"{}\" violated at {at:.3} s: {kind:?}\n", kind.invariant());
    }
    if let Some(first) = violations.first() {
        text += &format!(
            "last events before the first violation:\n{}",
            history.events_before(first.at, 40)
        );
        let subject = first.kind.subject();
        text += &format!("events about {subject}:\n{}", history.events_mentioning(&subject));
    }
    text
}
