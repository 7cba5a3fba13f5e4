//! Effects: the actions that the reducer requests from the daemon.

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

/// Action that the daemon performs. Each exchange results in exactly one event with its id.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEffect {
    /// Answers a caller or an operator.
    Answer {
        /// Request of the caller or operator.
        reply: ReplyId,
        /// Answer to send.
        answer: CallerAnswer,
    },
    /// Sends a call to an executor; answered by `DispatchCompleted`.
    Dispatch {
        /// Id of the exchange.
        exchange: ExchangeId,
        /// Address of the executor.
        address: SocketAddr,
        /// Id of the call, which the executor repeats in its answer.
        call_id: String,
        /// Body of the request.
        body: Bytes,
        /// Time after which the call must not be sent. It is checked immediately before the write;
        /// an expired dispatch fails with `NotSent`.
        valid_until: MonotonicTime,
        /// Longest time to wait for the complete answer.
        timeout: Duration,
    },
    /// Queries on a separate connection which calls an executor runs; answered by `ProbeCompleted`.
    Probe {
        /// Id of the exchange.
        exchange: ExchangeId,
        /// Address of the executor.
        address: SocketAddr,
        /// Longest time to wait for the answer.
        timeout: Duration,
    },
    /// Closes the connection of a dispatch, which then fails with `Lost`.
    AbortDispatch {
        /// Id of the exchange to abort.
        exchange: ExchangeId,
    },
    /// Sends a request to a worker; answered by `WorkerCallCompleted`.
    CallWorker {
        /// Id of the exchange.
        exchange: ExchangeId,
        /// Address of the worker.
        address: SocketAddr,
        /// Request to send.
        request: WorkerRequest,
        /// Time after which the request must not be sent. It is checked immediately before the
        /// write; an expired request fails with `NotSent`.
        valid_until: MonotonicTime,
        /// Longest time to wait for the answer.
        timeout: Duration,
    },
    /// Sends a request to the store; answered by `StoreCallCompleted`.
    CallStore {
        /// Id of the exchange.
        exchange: ExchangeId,
        /// Request to send.
        request: StoreRequest,
        /// Longest time to wait for the answer.
        timeout: Duration,
    },
    /// Starts the configuration watch and cancels an earlier one, since a process has only one.
    WatchConfig {
        /// First store revision whose changes are reported.
        from: StoreRevision,
    },
    /// Fetches the platform's list of instances; answered by `ListFetched`.
    FetchList,
    /// Sends a datagram to a peer.
    SendDatagram {
        /// Address of the peer.
        to: SocketAddr,
        /// Datagram to send.
        datagram: PeerDatagram,
    },
    /// Sends a request to a peer; answered by `PeerCallCompleted`.
    CallPeer {
        /// Id of the exchange.
        exchange: ExchangeId,
        /// Address of the peer.
        to: SocketAddr,
        /// Request to send.
        request: PeerRequest,
        /// Longest time to wait for the answer.
        timeout: Duration,
    },
    /// Answers a peer.
    AnswerPeer {
        /// Request of the peer.
        reply: ReplyId,
        /// Answer to send.
        answer: PeerReply,
    },
    /// Writes a numbered log event.
    Log(LogRecord),
    /// Sends a metric to the metrics service.
    Metric(MetricSample),
    /// Exits after all answers to callers are written; the planned stop is complete.
    Exit,
}

/// Sample of a metric for the metrics service.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricSample {
    /// Dotted name of the metric.
    pub name: &'static str,
    /// Class or profile that the sample belongs to.
    pub class: String,
    /// Customer that the sample belongs to.
    pub customer: String,
    /// Value of the sample.
    pub value: MetricValue,
}

/// Value of a metric.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MetricValue {
    /// Increment of a counter.
    Count(u64),
    /// New value of a gauge.
    Gauge(u64),
    /// Measured duration.
    Time(Duration),
}

/// Final answer to a caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerAnswer {
    /// Outcome of the request.
    pub outcome: CallOutcome,
    /// HTTP status code.
    pub status: u16,
    /// Body; JSON unless it comes from an executor.
    pub body: Bytes,
    /// For a refusal, the delay after which the caller should retry.
    pub retry_after: Option<Duration>,
}

/// Outcome of a caller's request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The work ran; the answer carries its result.
    Done,
    /// The batch task is stored and will run.
    Accepted,
    /// The work did not run and will not run.
    NotRun,
    /// It is not known whether the work ran.
    Unknown,
}

impl CallOutcome {
    /// Returns the name of the outcome in HTTP headers and bodies.
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
    /// Creates the answer to a call that an executor ran, or to an operator's request that
    /// succeeded.
    pub fn new_done(status: u16, body: Bytes) -> Self {
        Self { outcome: CallOutcome::Done, status, body, retry_after: None }
    }

    /// Creates the answer that a batch task was accepted, with status 202.
    pub fn new_accepted(task: &str) -> Self {
        let body = serde_json::json!({ "outcome": "accepted", "task": task });
        Self {
            outcome: CallOutcome::Accepted,
            status: 202,
            body: Bytes::from(body.to_string()),
            retry_after: None,
        }
    }

    /// Creates the answer that the work did not run, without a retry delay.
    pub fn new_not_run(status: u16, reason: &str) -> Self {
        Self::with_reason(CallOutcome::NotRun, status, reason, None)
    }

    /// Creates a temporary refusal, with status 503 and a retry delay.
    pub fn new_busy(reason: &str, retry_after: Duration) -> Self {
        Self::with_reason(CallOutcome::NotRun, 503, reason, Some(retry_after))
    }

    /// Creates the answer that the outcome is unknown, with status 504.
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
