//! Handling of client requests.

use std::{rc::Rc, time::Duration};

use cuminbank::log::JOB_ANSWERED;
use cuminbank_jobs::{
    acceptance::{AcceptState, AcceptStep, ACCEPT_TIMEOUT, RETRY_AFTER_SECONDS, RETRY_PAUSE},
    admission::AdmissionRefusal,
    config::{JobQueue, RouteDecision},
    ids::{CellId, JobId, MonotonicTime, StoreRevision},
    keys::{accepted_key, CellKeys},
    scheduler::DecisionRecord,
    store::{encode_value, StoreCall, StoreFailure, StorePut, StoreReply, StoreTxn, TxnOutcome},
    work_limit::return_seconds,
};
use cuminbank_net::server::{ServerAction, ServerRequest, ServerResponse};
use cuminbank_platform::client::{
    decode_call, decode_job, encode_pending, encode_phase, ClientCall,
};
use monoio::time;
use serde_json::json;

use crate::{
    clock, confirmation, daemon::DaemonState, division::JobLocation, logging::shorten,
    owner::PhaseAnswer,
};

/// Timeout of one attempt of a store call for a client. A slow store replies after about 250 ms.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest text from a request in a log line. An error names what it found, which may be a whole body.
const MAX_LOGGED_BYTES: usize = 256;

/// Response to a client, with its cause for the log.
struct ClientAnswer {
    response: ServerResponse,
    cause: String,
}

impl ClientAnswer {
    fn new(status: u16, cause: impl Into<String>) -> Self {
        let cause = cause.into();
        let body = json!({ "outcome": cause }).to_string();
        Self { response: ServerResponse::new_json(status, body), cause }
    }

    /// Creates a refusal with the header that tells the client when to retry.
    fn new_unavailable(cause: &str) -> Self {
        Self::new(503, cause).with_retry_after(RETRY_AFTER_SECONDS)
    }

    /// Creates the refusal of a job for which there is no room.
    fn new_refusal(refusal: AdmissionRefusal) -> Self {
        Self::new(503, refusal.cause.text()).with_retry_after(refusal.retry_after_s)
    }

    fn with_retry_after(mut self, seconds: u64) -> Self {
        self.response = self.response.with_header("retry-after", seconds.to_string());
        self
    }
}

/// Configuration by which a request is decided.
#[derive(Clone, Copy)]
struct ConfigBasis {
    version: u64,
    /// Time since it was confirmed; `None` if it never was.
    age: Option<Duration>,
}

/// Handles a client request and logs and measures the response.
pub(crate) async fn handle(state: Rc<DaemonState>, request: ServerRequest) -> ServerAction {
    let arrived = clock::now();
    confirmation::confirm_config(&state).await;
    let basis = {
        let config = state.config.borrow();
        ConfigBasis {
            version: config.current().map_or(0, |current| current.version),
            age: config.age(clock::now()),
        }
    };
    let queue = match find_queue(&state, &request) {
        Ok(queue) => queue,
        Err(answer) => return finish(&state, &request, "", basis, arrived, answer),
    };
    let rest = request.path[queue.prefix.len()..].to_owned();
    let answer = match decode_call(&request.method, &rest) {
        ClientCall::Submit(job) => submit(&state, &request, &queue, job, arrived).await,
        ClientCall::State(job) => read_phase(&state, job).await,
        ClientCall::Cancel(job) => cancel(&state, job, arrived).await,
        ClientCall::Pending => read_pending(&state, &queue).await,
        ClientCall::InvalidPath => ClientAnswer::new(410, "the path names no job"),
        ClientCall::UnsupportedMethod => ClientAnswer::new(405, "the method is not known here"),
    };
    finish(&state, &request, &queue.name, basis, arrived, answer)
}

/// Returns the largest body of a request that the configuration in force allows.
pub(crate) fn body_limit(state: &DaemonState) -> usize {
    let config = state.config.borrow();
    let limits = config.current().and_then(|current| current.limits);
    limits.map_or(usize::MAX, |limits| limits.max_body_bytes)
}

/// Returns the queue that receives a request, or the answer if the request cannot be served.
fn find_queue(state: &DaemonState, request: &ServerRequest) -> Result<JobQueue, ClientAnswer> {
    let config = state.config.borrow();
    let target = (request.header("host").unwrap_or_default(), request.path.as_str());
    let concerns_job = |queue: &JobQueue| {
        let call = decode_call(&request.method, &request.path[queue.prefix.len()..]);
        matches!(call, ClientCall::State(_) | ClientCall::Cancel(_))
    };
    let decision = config.route(target, concerns_job, clock::now(), state.settings.config_apply());
    let max_body_bytes = body_limit(state);
    match decision {
        RouteDecision::NoConfig => Err(ClientAnswer::new_unavailable("no configuration yet")),
        _ if state.is_behind() => {
            Err(ClientAnswer::new_unavailable("this build cannot read the records of the pool"))
        }
        RouteDecision::Unconfirmed => {
            Err(ClientAnswer::new_unavailable("the configuration is not confirmed"))
        }
        _ if request.oversized || request.body.len() > max_body_bytes => {
            Err(ClientAnswer::new(413, "the body is larger than the configuration allows"))
        }
        RouteDecision::NoQueue => Err(ClientAnswer::new(404, "no such queue")),
        RouteDecision::Queue(queue) => Ok(queue),
    }
}

fn finish(
    state: &Rc<DaemonState>,
    request: &ServerRequest,
    queue: &str,
    basis: ConfigBasis,
    arrived: MonotonicTime,
    answer: ClientAnswer,
) -> ServerAction {
    let took = clock::now().saturating_sub(arrived);
    let status = answer.response.status;
    let name = match (request.method.as_str(), status) {
        ("POST", 200) => "submit.accepted",
        ("POST", 503 | 429) => "submit.refused",
        ("POST", _) => "submit.other",
        ("DELETE", _) => "cancel",
        _ => "read",
    };
    state.metrics.observe(name, queue, took);
    if let Some(age) = basis.age {
        state.metrics.observe("config.age", "", age);
    }
    // Successful reads change nothing, so they are only measured and not logged.
    if request.method != http::Method::GET || status != 200 {
        let path = request.path.as_str();
        let (logged_path, cause) =
            (shorten(path, MAX_LOGGED_BYTES), shorten(&answer.cause, MAX_LOGGED_BYTES));
        let id = path.rsplit('/').next().and_then(|id| JobId::from_str_radix(id, 16).ok());
        let detail = format!(
            "method={} path={logged_path} queue={queue} status={status} cause={cause:?} took_ms={} \
             config_version={} config_age_ms={} store_silent_ms={}",
            request.method,
            took.as_millis(),
            basis.version,
            basis.age.map_or(-1, |age| age.as_millis() as i64),
            state.store.silence().as_millis(),
        );
        state.log(&DecisionRecord { code: JOB_ANSWERED, job: id, detail });
    }
    ServerAction::Respond(answer.response)
}

async fn submit(
    state: &Rc<DaemonState>,
    request: &ServerRequest,
    queue: &JobQueue,
    job: JobId,
    arrived: MonotonicTime,
) -> ClientAnswer {
    let record = match decode_job(&request.body, queue, clock::wall()) {
        Ok(record) => record,
        Err(error) => {
            let cause = format!("{}: allowed is {}", error.field, error.allowed);
            return ClientAnswer::new(400, cause);
        }
    };
    let Some(chosen) = state.choose_cell(job, &record) else {
        return ClientAnswer::new_unavailable("not accepted: the pool is not divided yet");
    };
    let cell = match state.admit(&chosen, job, &record) {
        Ok(cell) => cell,
        // The write answers as without admission.
        Err(_) if state.store.is_unresponsive() => chosen,
        // An earlier copy of the request may have been accepted.
        Err(refusal) => match state.find_job(job).await {
            JobLocation::Cell(_) => return ClientAnswer::new(200, "accepted"),
            JobLocation::Missing => {
                state.note_refusal(chosen.id, &record, refusal);
                return ClientAnswer::new_refusal(refusal);
            }
            JobLocation::Unknown => chosen,
        },
    };
    let bytes = record.held_bytes();
    // The write answers as without the limit while the store is away.
    if !state.store.is_unresponsive() && !state.admit_work(&cell, bytes).await {
        // An earlier copy of the request may have been accepted.
        return match state.find_job(job).await {
            JobLocation::Cell(_) => ClientAnswer::new(200, "accepted"),
            JobLocation::Missing => {
                state.note_work_refusal(&cell, &record.terms.queue, bytes);
                let cause = "not accepted, not stored and never run: the pool holds too much work";
                ClientAnswer::new(503, cause).with_retry_after(return_seconds(job))
            }
            JobLocation::Unknown => ClientAnswer::new(504, "unknown: the store has not answered"),
        };
    }
    let txn = StoreTxn {
        // This key is shared by all cells and outlives the job record, since another instance may
        // choose another cell when the client repeats the request.
        expected: vec![(accepted_key(job), 0)],
        puts: vec![
            StorePut::new(accepted_key(job), encode_value(&cell.id)),
            StorePut::new(cell.keys.job(job), encode_value(&record)),
        ],
        removes: Vec::new(),
    };
    let written = write(state, txn, arrived).await;
    if written.conflicted || written.step == AcceptStep::Refused {
        state.refund_work(&cell, bytes);
    }
    match written.step {
        AcceptStep::Accepted => ClientAnswer::new(200, "accepted"),
        AcceptStep::Refused => ClientAnswer::new_unavailable("not accepted: the store is away"),
        AcceptStep::Unknown | AcceptStep::Retry => {
            ClientAnswer::new(504, "unknown: the store has not answered")
        }
    }
}

/// Result of a transaction for a client.
struct WriteResult {
    step: AcceptStep,
    /// Whether the last attempt conflicted, so that the store may differ from what was read before.
    conflicted: bool,
}

/// Commits a transaction, with retries until the outcome is known or [`ACCEPT_TIMEOUT`] has passed
/// since the request arrived.
async fn write(state: &Rc<DaemonState>, txn: StoreTxn, arrived: MonotonicTime) -> WriteResult {
    // Nothing has been sent yet, so it is certain that the request was not accepted.
    if state.store.is_unresponsive() {
        return WriteResult { step: AcceptStep::Refused, conflicted: false };
    }
    let call = StoreCall::Commit(txn);
    let mut accept = AcceptState::new(arrived);
    loop {
        let left = ACCEPT_TIMEOUT.saturating_sub(clock::now().saturating_sub(arrived));
        let result = match state.call_store(&call, CALL_TIMEOUT.min(left)).await {
            Ok(StoreReply::Txn(outcome)) => Ok(outcome),
            Ok(_) => Err(StoreFailure::Unknown),
            Err(failure) => Err(failure),
        };
        let conflicted = matches!(result, Ok(TxnOutcome::Conflict { .. }));
        match accept.handle_result(clock::now(), &result) {
            // Report the unknown outcome at once, so that the client can ask another instance.
            AcceptStep::Retry if accept.is_uncertain() && state.store.is_unresponsive() => {
                return WriteResult { step: AcceptStep::Unknown, conflicted };
            }
            AcceptStep::Retry => time::sleep(RETRY_PAUSE).await,
            step => return WriteResult { step, conflicted },
        }
    }
}

async fn read_phase(state: &Rc<DaemonState>, job: JobId) -> ClientAnswer {
    match state.phase_of(job).await {
        PhaseAnswer::Known(phase) => {
            ClientAnswer { response: encode_phase(phase), cause: format!("{phase:?}") }
        }
        PhaseAnswer::Missing => ClientAnswer::new(410, "no such job"),
        PhaseAnswer::Unavailable => {
            ClientAnswer::new_unavailable("neither the owner nor the store answers")
        }
    }
}

async fn cancel(state: &Rc<DaemonState>, job: JobId, arrived: MonotonicTime) -> ClientAnswer {
    if state.store.is_unresponsive() {
        return ClientAnswer::new_unavailable("the store is away");
    }
    loop {
        let (cell, revision) = match find_record(state, job).await {
            RecordLocation::At(cell, revision) => (cell, revision),
            RecordLocation::Missing => {
                return ClientAnswer::new(410, "no such job, or it has ended");
            }
            RecordLocation::Unknown => {
                return ClientAnswer::new_unavailable("the store does not answer");
            }
        };
        let keys = CellKeys::new(cell);
        let txn = StoreTxn {
            expected: vec![(keys.cancel(job), 0), (keys.job(job), revision)],
            puts: vec![StorePut::new(keys.cancel(job), Vec::new())],
            removes: Vec::new(),
        };
        let written = write(state, txn, arrived).await;
        let step = match written.step {
            // A conflict also occurs if the job has moved to another cell, where it is not cancelled.
            AcceptStep::Accepted if written.conflicted => match state.has_left(job, cell).await {
                Some(true) if clock::now().saturating_sub(arrived) < ACCEPT_TIMEOUT => continue,
                Some(false) => AcceptStep::Accepted,
                Some(true) | None => AcceptStep::Unknown,
            },
            step => step,
        };
        return match step {
            AcceptStep::Accepted => ClientAnswer::new(200, "cancelled"),
            AcceptStep::Refused => ClientAnswer::new_unavailable("the store is away"),
            AcceptStep::Unknown | AcceptStep::Retry => {
                ClientAnswer::new(504, "unknown: the store has not answered")
            }
        };
    }
}

/// Location of the record of a job that has not ended.
enum RecordLocation {
    /// Cell and revision of the record.
    At(CellId, StoreRevision),
    /// There is no record: no such job, or it has ended.
    Missing,
    /// The store did not reply.
    Unknown,
}

/// Reads the record of a job from its likely cell, or else from the cell that the store names.
async fn find_record(state: &Rc<DaemonState>, job: JobId) -> RecordLocation {
    let Some(likely) = state.likely_cell(job) else { return RecordLocation::Unknown };
    match read_record(state, likely, job).await {
        RecordLocation::Missing => {}
        location => return location,
    }
    let mut cell = match state.find_job(job).await {
        JobLocation::Cell(cell) if cell == likely && !state.has_movable_jobs() => {
            return RecordLocation::Missing;
        }
        JobLocation::Cell(cell) => cell,
        JobLocation::Missing => return RecordLocation::Missing,
        JobLocation::Unknown => return RecordLocation::Unknown,
    };
    // The job may move on between the two reads, but never back.
    loop {
        match read_record(state, cell, job).await {
            RecordLocation::Missing => {}
            location => return location,
        }
        match state.has_left(job, cell).await {
            Some(true) => {}
            Some(false) => return RecordLocation::Missing,
            None => return RecordLocation::Unknown,
        }
        match state.find_job(job).await {
            JobLocation::Cell(found) => cell = found,
            JobLocation::Missing => return RecordLocation::Missing,
            JobLocation::Unknown => return RecordLocation::Unknown,
        }
    }
}

async fn read_record(state: &Rc<DaemonState>, cell: CellId, job: JobId) -> RecordLocation {
    let read = StoreCall::ReadKey { key: CellKeys::new(cell).job(job) };
    match state.call_store(&read, CALL_TIMEOUT).await {
        Ok(StoreReply::Items { items, .. }) => match items.first() {
            Some(item) => RecordLocation::At(cell, item.revision),
            None => RecordLocation::Missing,
        },
        _ => RecordLocation::Unknown,
    }
}

async fn read_pending(state: &Rc<DaemonState>, queue: &JobQueue) -> ClientAnswer {
    match state.pending_jobs(&queue.name).await {
        Some(count) => {
            ClientAnswer { response: encode_pending(count), cause: "counted".to_owned() }
        }
        None => ClientAnswer::new_unavailable("not every owner answers"),
    }
}
