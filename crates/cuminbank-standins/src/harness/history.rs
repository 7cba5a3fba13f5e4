//! Record of the events of a run that the checks of the invariants need.

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

/// Text of the fault event that ends all faults.
pub const ALL_FAULTS_ENDED: &str = "all faults ended";

/// Event of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// A caller sent its request, for the first time or again.
    RequestSent {
        /// Request.
        request: RequestIndex,
        /// Key of the body.
        key: String,
        /// Ticket, if the request has one.
        ticket: Option<String>,
        /// Receiving entry instance.
        entry: EntryIndex,
    },
    /// A caller got an answer to its request.
    RequestAnswered {
        /// Request.
        request: RequestIndex,
        /// Key of the body.
        key: String,
        /// Outcome in the answer to the caller.
        outcome: CallOutcome,
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
    /// The connection of a caller ended without an answer.
    RequestLost {
        /// Key of the body.
        key: String,
    },
    /// An entry instance wrote a dispatch to a connection.
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
    /// An executor refused a call.
    CallRefused {
        /// Executor.
        target: TargetName,
        /// Call id.
        call: String,
        /// HTTP status: 503 without a free slot, 409 if the call id runs already, else 400.
        status: u16,
    },
    /// An entry instance wrote the start of a task to a connection.
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
        /// Checkpoint from which the attempt resumes.
        checkpoint: Option<String>,
        /// Resources reserved for the attempt.
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
        /// Reason of the end.
        end: ExecutionEnd,
    },
    /// A worker stopped a running attempt and saved a checkpoint.
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
    /// A caller received the final state of its task.
    TaskResult {
        /// Task id.
        task: String,
        /// Whether the task finished with a result.
        finished: bool,
    },
    /// A caller received the answer that its task is cancelled.
    TaskCancelled {
        /// Task id.
        task: String,
    },
    /// A process received the platform's list.
    ListReceived {
        /// Process.
        process: ProcessId,
        /// Names listed as leaving.
        leaving: Vec<TargetName>,
    },
    /// Readiness and configuration of a process were sampled.
    ConfigSampled {
        /// Process.
        process: ProcessId,
        /// Whether it is ready to serve callers.
        ready: bool,
        /// Whether it can reach the store, directly or through peers.
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
    /// A drain of a process began.
    DrainStarted(ProcessId),
    /// A process exited after its drain.
    ProcessExited {
        /// Process.
        process: ProcessId,
        /// Number of requests of callers and peers that it had read but not answered.
        unanswered: usize,
    },
    /// A target stopped, with everything that ran on it.
    TargetDown(TargetName),
    /// An entry instance was separated from all other nodes.
    InstanceIsolated(EntryIndex),
    /// A process that is still running at the end of the simulation has not answered requests.
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
        /// Number and details of the event.
        text: String,
    },
    /// A fault began or ended.
    Fault(String),
}

impl HistoryEvent {
    /// Tells whether the event recurs at fixed intervals; failure messages omit such events.
    fn is_periodic(&self) -> bool {
        matches!(self, Self::ConfigSampled { .. } | Self::ListReceived { .. })
    }
}

/// Event with its virtual time.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryEntry {
    /// Virtual time.
    pub at: Duration,
    /// What happened.
    pub event: HistoryEvent,
}

/// All recorded events of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// Events in order of time.
    pub entries: Vec<HistoryEntry>,
    /// Virtual time at the end of the run.
    pub end: Duration,
    /// Virtual time at which all faults were ended.
    pub faults_ended_at: Duration,
}

impl History {
    /// Adds an event.
    pub fn add(&mut self, at: Duration, event: HistoryEvent) {
        self.entries.push(HistoryEntry { at, event });
    }

    /// Returns the last `count` non-periodic events up to 500 ms after `at`, one per line, for a
    /// failure message.
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

    /// Returns all events except periodic ones, one per line.
    pub fn listing(&self) -> String {
        let mut text = String::new();
        for entry in self.entries.iter().filter(|entry| !entry.event.is_periodic()) {
            let _ = writeln!(text, "{:>9.3} s {:?}", entry.at.as_secs_f64(), entry.event);
        }
        text
    }

    /// Returns the events whose text contains `word`, except periodic ones, one per line.
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
