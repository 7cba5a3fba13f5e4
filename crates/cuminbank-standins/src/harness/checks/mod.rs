//! Checks of the invariants I1 to I9 over a recorded history.

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

/// What was violated.
#[derive(Clone, Debug, PartialEq)]
pub enum ViolationKind {
    /// I1: a target got more work than it can hold.
    OverCapacity {
        /// Target.
        target: TargetName,
        /// Call id or task id.
        work: String,
    },
    /// I2: work ran at two places at once.
    ConcurrentRuns {
        /// Key of the call, or task id.
        work: String,
        /// Where it ran.
        targets: (TargetName, TargetName),
    },
    /// I3: evicted work did not go on from its checkpoint.
    NotResumed {
        /// Task id.
        task: String,
        /// Checkpoint of the eviction.
        checkpoint: String,
        /// Checkpoint of the next start.
        resumed_from: Option<String>,
    },
    /// I4: a caller got an answer that is not the whole answer to its request.
    WrongAnswer {
        /// Key of the request.
        key: String,
        /// Body of the answer.
        body: String,
    },
    /// I5: a caller was told "not run" and the work ran.
    RanDespiteRefusal {
        /// Key of the request.
        key: String,
    },
    /// I6: a ticketed call ran more than once.
    TicketRepeated {
        /// Key of the request.
        key: String,
    },
    /// I7: new work went to a leaving target.
    SentToLeavingTarget {
        /// Sender.
        process: ProcessId,
        /// Target.
        target: TargetName,
    },
    /// I8: a process ended its planned stop with unanswered requests.
    UnansweredAtExit {
        /// Process.
        process: ProcessId,
        /// Requests.
        count: usize,
    },
    /// I8: a planned stop did not end within its bound.
    DrainOverdue {
        /// Process.
        process: ProcessId,
    },
    /// I9: an older revision came back into force.
    Reverted {
        /// Process.
        process: ProcessId,
        /// Profile.
        name: ProfileName,
        /// Revision in force before.
        from: StoreRevision,
        /// Revision in force after; 0 if the profile is gone.
        to: StoreRevision,
    },
    /// I9: a committed change was not in force after 6 s.
    NotInForce {
        /// Process.
        process: ProcessId,
        /// Profile.
        name: ProfileName,
        /// Revision.
        revision: StoreRevision,
    },
    /// A request was never answered.
    NeverAnswered {
        /// Process.
        process: ProcessId,
        /// Requests of callers and peers.
        waiting: Vec<String>,
    },
    /// An accepted task has no end.
    LostTask {
        /// Task id.
        task: String,
    },
    /// A task ran on after its caller was told that it is cancelled.
    RanAfterCancel {
        /// Task id.
        task: String,
    },
    /// A finished task was started again.
    TaskRepeated {
        /// Task id.
        task: String,
    },
}

/// A violation with the virtual time at which it shows.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Virtual time.
    pub at: Duration,
    /// What was violated.
    pub kind: ViolationKind,
}

impl ViolationKind {
    /// Returns the invariant.
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

    /// Returns a word to look for in the history.
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

/// Runs every check.
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

/// Describes violations with the seed and the events around the first one.
pub fn describe(seed: u64, history: &History, violations: &[Violation]) -> String {
    let mut text = format!("seed {seed}:\n");
    for violation in violations.iter().take(10) {
        let (at, kind) = (violation.at.as_secs_f64(), &violation.kind);
        text += &format!("{} violated at {at:.3} s: {kind:?}\n", kind.invariant());
    }
    if let Some(first) = violations.first() {
        text += &format!("events before it:\n{}", history.events_before(first.at, 40));
        text += &format!("events about it:\n{}", history.events_mentioning(&first.kind.subject()));
    }
    text
}
