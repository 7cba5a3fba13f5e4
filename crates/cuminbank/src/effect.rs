//! Effects: everything that the daemon has to carry out for the reducer.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{ExchangeId, MonotonicTime, ReplyId, StoreRevision},
    log::LogRecord,
    message::{PeerDatagram, PeerReply, PeerRequest},
    store::StoreRequest,
    worker::WorkerRequest,
};

/// An effect. Each exchange ends with exactly one event that names it.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEffect {
    /// Answer a caller or an operator.
    Answer {
        /// Who waits.
        reply: ReplyId,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Send a call to an executor; ends with `DispatchEnded`.
    Dispatch {
        /// The exchange.
        exchange: ExchangeId,
        /// Executor.
        address: SocketAddr,
        /// Id that the executor has to repeat.
        call_id: String,
        /// Body.
        body: Bytes,
        /// Checked as the last step before the write: past it the dispatch is `NotSent`.
        valid_until: MonotonicTime,
        /// Longest time to wait for the whole answer.
        timeout: Duration,
    },
    /// Ask an executor which calls it runs, on a connection of its own; ends with `ProbeEnded`.
    Probe {
        /// The exchange.
        exchange: ExchangeId,
        /// Executor.
        address: SocketAddr,
        /// Longest time to wait.
        timeout: Duration,
    },
    /// Close the connection of a dispatch, which ends it with `Lost`.
    AbortDispatch {
        /// The exchange to end.
        exchange: ExchangeId,
    },
    /// Call a worker; ends with `WorkerEnded`.
    CallWorker {
        /// The exchange.
        exchange: ExchangeId,
        /// Worker.
        address: SocketAddr,
        /// Request.
        request: WorkerRequest,
        /// Checked as the last step before the write: past it the call is `NotSent`.
        valid_until: MonotonicTime,
        /// Longest time to wait.
        timeout: Duration,
    },
    /// Call the store; ends with `StoreEnded`.
    CallStore {
        /// The exchange.
        exchange: ExchangeId,
        /// Request.
        request: StoreRequest,
        /// Longest time to wait.
        timeout: Duration,
    },
    /// Start the one watch of the process on the configuration, ending an earlier one.
    WatchConfig {
        /// First revision to report.
        from: StoreRevision,
    },
    /// Fetch the platform's list; ends with `ListFetched`.
    FetchList,
    /// Send a datagram to a peer.
    SendDatagram {
        /// Receiver.
        to: SocketAddr,
        /// Datagram.
        datagram: PeerDatagram,
    },
    /// Ask a peer; ends with `PeerEnded`.
    CallPeer {
        /// The exchange.
        exchange: ExchangeId,
        /// Receiver.
        to: SocketAddr,
        /// Request.
        request: PeerRequest,
        /// Longest time to wait.
        timeout: Duration,
    },
    /// Answer a peer.
    AnswerPeer {
        /// Who waits.
        reply: ReplyId,
        /// The answer.
        answer: PeerReply,
    },
    /// Write a numbered log event.
    Log(LogRecord),
    /// Send a metric.
    Metric(MetricSample),
    /// The planned stop is complete: finish writes to callers and exit.
    Exit,
}

/// A metric for the metrics service.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricSample {
    /// Name, with dots.
    pub name: &'static str,
    /// Class or profile that the sample counts for.
    pub class: String,
    /// Customer that the sample counts for.
    pub customer: String,
    /// Value.
    pub value: MetricValue,
}

/// Value of a metric.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MetricValue {
    /// Adds to a counter.
    Count(u64),
    /// Sets a gauge.
    Gauge(u64),
    /// One sample of a time.
    Time(Duration),
}

/// The final answer for a caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerAnswer {
    /// Outcome.
    pub outcome: CallOutcome,
    /// HTTP status.
    pub status: u16,
    /// Body; JSON unless it comes from an executor.
    pub body: Bytes,
    /// When to come back, for a refusal.
    pub retry_after: Option<Duration>,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The work ran and this is its answer.
    Done,
    /// The task is stored and will run.
    Accepted,
    /// The work did not run and will not run.
    NotRun,
    /// The work may or may not have run.
    Unknown,
}

impl CallOutcome {
    /// Returns the name used in headers and bodies.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Accepted => "accepted",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl CallerAnswer {
    /// Creates the answer of an executor or operator request that was done.
    pub fn new_done(status: u16, body: Bytes) -> Self {
        Self { outcome: CallOutcome::Done, status, body, retry_after: None }
    }

    /// Creates an answer that a task was accepted.
    pub fn new_accepted(task: &str) -> Self {
        let body = serde_json::json!({ "outcome": "accepted", "task": task });
        Self {
            outcome: CallOutcome::Accepted,
            status: 202,
            body: Bytes::from(body.to_string()),
            retry_after: None,
        }
    }

    /// Creates an answer that the work did not run.
    pub fn new_not_run(status: u16, reason: &str) -> Self {
        Self::with_reason(CallOutcome::NotRun, status, reason, None)
    }

    /// Creates a refusal that tells the caller when to come back.
    pub fn new_busy(reason: &str, retry_after: Duration) -> Self {
        Self::with_reason(CallOutcome::NotRun, 503, reason, Some(retry_after))
    }

    /// Creates an answer that the outcome is unknown.
    pub fn new_unknown(reason: &str) -> Self {
        Self::with_reason(CallOutcome::Unknown, 504, reason, None)
    }

    fn with_reason(
        outcome: CallOutcome,
        status: u16,
        reason: &str,
        retry_after: Option<Duration>,
    ) -> Self {
        let mut body = serde_json::json!({ "outcome": outcome.name(), "reason": reason });
        if let Some(delay) = retry_after {
            body["retry_after_ms"] = serde_json::json!(delay.as_millis() as u64);
        }
        Self { outcome, status, body: Bytes::from(body.to_string()), retry_after }
    }
}
