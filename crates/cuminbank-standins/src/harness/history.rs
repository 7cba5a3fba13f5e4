//! What happened in a run, as far as the invariants speak of it.

use std::{fmt::Write, time::Duration};

use bytes::Bytes;
use cuminbank::{
    effect::CallOutcome,
    ids::{AttemptNumber, ProfileName, StartNumber, StoreRevision, TargetName},
    worker::ResourceSize,
};

use super::queue::{EntryIndex, RequestIndex};
use crate::worker::ExecutionEnd;

/// A process of an entry instance.
pub type ProcessId = (EntryIndex, StartNumber);

/// An event of the history.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// A caller sent a copy of its request.
    RequestSent {
        /// Request.
        request: RequestIndex,
        /// Its body's key.
        key: String,
        /// Its ticket, if it has one.
        ticket: Option<String>,
        /// Receiver.
        entry: EntryIndex,
    },
    /// A caller got an answer to its request.
    RequestAnswered {
        /// Request.
        request: RequestIndex,
        /// Its body's key.
        key: String,
        /// Outcome.
        outcome: CallOutcome,
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
    /// The connection of a caller ended without an answer.
    RequestLost {
        /// Its body's key.
        key: String,
    },
    /// The bytes of a dispatch left an entry instance.
    DispatchSent {
        /// Sender.
        process: ProcessId,
        /// Executor.
        target: TargetName,
        /// Call id.
        call: String,
    },
    /// An executor started a call.
    CallStarted {
        /// Executor.
        target: TargetName,
        /// Call id.
        call: String,
        /// Key of the body.
        key: String,
    },
    /// A call ended at an executor.
    CallEnded {
        /// Executor.
        target: TargetName,
        /// Call id.
        call: String,
        /// Key of the body.
        key: String,
    },
    /// An executor had no free slot for a call, or ran the call id already.
    CallRefused {
        /// Executor.
        target: TargetName,
        /// Call id.
        call: String,
        /// 503 for no slot, 409 for a call id that runs.
        status: u16,
    },
    /// The bytes of a task start left an entry instance.
    StartSent {
        /// Sender.
        process: ProcessId,
        /// Worker.
        target: TargetName,
        /// Task id.
        task: String,
        /// Attempt.
        attempt: AttemptNumber,
    },
    /// A worker started an attempt.
    TaskStarted {
        /// Worker.
        target: TargetName,
        /// Task id.
        task: String,
        /// Attempt.
        attempt: AttemptNumber,
        /// Checkpoint that it resumes from.
        checkpoint: Option<String>,
        /// Size set aside.
        size: ResourceSize,
    },
    /// A worker refused a start.
    TaskRefused {
        /// Worker.
        target: TargetName,
        /// Task id.
        task: String,
        /// Attempt.
        attempt: AttemptNumber,
        /// HTTP status.
        status: u16,
    },
    /// An attempt ended at a worker.
    TaskEnded {
        /// Worker.
        target: TargetName,
        /// Task id.
        task: String,
        /// Attempt.
        attempt: AttemptNumber,
        /// How it ended.
        end: ExecutionEnd,
    },
    /// A worker stopped a running attempt and took a checkpoint.
    TaskEvicted {
        /// Worker.
        target: TargetName,
        /// Task id.
        task: String,
        /// Attempt.
        attempt: AttemptNumber,
        /// Checkpoint.
        checkpoint: String,
    },
    /// A caller read the final state of its task.
    TaskResult {
        /// Task id.
        task: String,
        /// Whether the task finished with a result.
        finished: bool,
    },
    /// A caller was told that its task is cancelled.
    TaskCancelled {
        /// Task id.
        task: String,
    },
    /// A process was shown the platform's list.
    ListReceived {
        /// Process.
        process: ProcessId,
        /// Targets listed as leaving.
        leaving: Vec<TargetName>,
    },
    /// A process has readiness and a configuration.
    ConfigSampled {
        /// Process.
        process: ProcessId,
        /// Whether it serves callers.
        ready: bool,
        /// Whether it reaches the store, directly or over peers.
        reaches_store: bool,
        /// Revision of each profile.
        revisions: Vec<(ProfileName, StoreRevision)>,
    },
    /// A change of a profile was committed.
    ConfigCommitted {
        /// Profile.
        name: ProfileName,
        /// Revision.
        revision: StoreRevision,
    },
    /// A process started.
    ProcessStarted(ProcessId),
    /// A process was killed.
    ProcessKilled(ProcessId),
    /// A process was paused.
    ProcessPaused(ProcessId),
    /// A process was resumed.
    ProcessResumed(ProcessId),
    /// A planned stop of a process began.
    DrainStarted(ProcessId),
    /// A process ended its planned stop.
    ProcessExited {
        /// Process.
        process: ProcessId,
        /// Requests of callers and peers that it had read and not answered.
        unanswered: usize,
    },
    /// A target ended with everything that it ran.
    TargetDown(TargetName),
    /// An entry instance was cut off from everything.
    InstanceIsolated(EntryIndex),
    /// A process that still runs at the end of a run has not answered requests.
    NeverAnswered {
        /// Process.
        process: ProcessId,
        /// Requests of callers and peers.
        waiting: Vec<String>,
    },
    /// A process wrote a log event.
    Logged {
        /// Process.
        process: ProcessId,
        /// Number and details.
        text: String,
    },
    /// Another fault began or ended.
    Fault(String),
}

impl HistoryEvent {
    /// Tells whether the event repeats in every run, so that failure messages leave it out.
    fn is_periodic(&self) -> bool {
        matches!(self, Self::ConfigSampled { .. } | Self::ListReceived { .. })
    }
}

/// An event with its virtual time.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryEntry {
    /// Virtual time.
    pub at: Duration,
    /// What happened.
    pub event: HistoryEvent,
}

/// Everything that happened in a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// Events in order of time.
    pub entries: Vec<HistoryEntry>,
    /// Virtual time at the end of the run.
    pub end: Duration,
    /// Virtual time after which no fault is active.
    pub faults_ended_at: Duration,
}

impl History {
    /// Adds an event.
    pub fn add(&mut self, at: Duration, event: HistoryEvent) {
        self.entries.push(HistoryEntry { at, event });
    }

    /// Returns the events in the seconds before `at`, for a failure message.
    pub fn events_before(&self, at: Duration, count: usize) -> String {
        let mut text = String::new();
        let shown = |entry: &&HistoryEntry| {
            entry.at <= at + Duration::from_millis(500) && !entry.event.is_periodic()
        };
        let entries: Vec<_> = self.entries.iter().filter(shown).collect();
        for entry in entries.iter().skip(entries.len().saturating_sub(count)) {
            let _ = writeln!(text, "  {:>9.3} s {:?}", entry.at.as_secs_f64(), entry.event);
        }
        text
    }

    /// Returns all events but the periodic ones, one in a line.
    pub fn listing(&self) -> String {
        let mut text = String::new();
        for entry in self.entries.iter().filter(|entry| !entry.event.is_periodic()) {
            let _ = writeln!(text, "{:>9.3} s {:?}", entry.at.as_secs_f64(), entry.event);
        }
        text
    }

    /// Returns the events that mention `word`, for a failure message.
    pub fn events_mentioning(&self, word: &str) -> String {
        let mut text = String::new();
        for entry in self.entries.iter().filter(|entry| !entry.event.is_periodic()) {
            let line = format!("{:?}", entry.event);
            if line.contains(word) {
                let _ = writeln!(text, "  {:>9.3} s {line}", entry.at.as_secs_f64());
            }
        }
        text
    }
}
