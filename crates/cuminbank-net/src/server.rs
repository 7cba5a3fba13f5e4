//! HTTP/1.1 server of the daemons and the stand-ins.

use std::{
    cell::Cell,
    future::Future,
    os::fd::{AsRawFd, RawFd},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use cuminbank::effect::CallerAnswer;
use http::{header, HeaderMap, Method, Version};
use monoio::{
    io::{
        sink::SinkExt, stream::Stream, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf,
        OwnedWriteHalf, Splitable,
    },
    net::{TcpListener, TcpStream},
    time,
};
use monoio_codec::FramedRead;
use monoio_http::{
    common::request::RequestHead,
    h1::{
        codec::{decoder::RequestHeadDecoder, encoder::GenericEncoder},
        payload::{FixedPayload, Payload, StreamPayload},
    },
};

use crate::{
    body::{read_body, BodyError, BodyFraming},
    connection::{discard_input, wait_for_close},
    fairness::yield_now,
    http_limit::{ByteAllowance, LimitedReader},
    input_budget::{InputBudget, InputLease, PortKind},
    metered::{begin_request, release_buffer, MeteredReader},
    paced::PacedWriter,
};

/// Maximum size of the head of a request.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes of the body that may arrive in the same reads as the head.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// How long a closing server waits for one more connection before it stops accepting.
const FINAL_ACCEPT_WAIT: Duration = Duration::from_millis(5);
/// Interval at which waiting tasks check whether the gate is closing.
const GATE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for the response to a rejected request.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// After how long a client that was cut off may send its request again. Memory is released within
/// milliseconds, and the header has whole seconds.
const CUT_OFF_RETRY: Duration = Duration::from_secs(1);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum size of a body in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a head to its end, and again for the body.
    pub read_timeout: Duration,
    /// Longest idle time between two requests on a connection.
    pub idle_timeout: Duration,
    /// Maximum number of open connections; further ones are closed on accept.
    pub max_connections: usize,
    /// Whether the handler is cancelled when the caller closes its connection before the answer. A
    /// half-close by the caller counts as a close.
    pub cancels_on_disconnect: bool,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            read_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            max_connections: 4_096,
            cancels_on_disconnect: false,
        }
    }
}

/// What the connections of a server share with the rest of the process.
#[derive(Clone)]
pub struct ServerBounds {
    /// Memory and connections of the process.
    pub budget: InputBudget,
    /// Kind of the port.
    pub port: PortKind,
    /// Returns the maximum size of a body at present, if it can change while the server runs and may
    /// be lower than [`ServerLimits::max_body_bytes`]. A larger body is not read, and its request is
    /// handled as [`ServerRequest::oversized`].
    pub body_limit: Option<Rc<dyn Fn() -> usize>>,
}

impl ServerBounds {
    /// Creates bounds without a changing limit of bodies.
    pub fn new(budget: &InputBudget, port: PortKind) -> Self {
        Self { budget: budget.clone(), port, body_limit: None }
    }

    /// Sets the function that returns the maximum size of a body.
    pub fn with_body_limit(mut self, body_limit: impl Fn() -> usize + 'static) -> Self {
        self.body_limit = Some(Rc::new(body_limit));
        self
    }
}

/// Request that was received completely.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the body is missing because it was larger than [`ServerBounds::body_limit`]. The
    /// connection is closed after the answer.
    pub oversized: bool,
}

impl ServerRequest {
    /// Returns a header as text, if it is present and printable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Reaction of the server to a request.
#[derive(Debug)]
pub enum ServerAction {
    /// Sends a response.
    Respond(ServerResponse),
    /// Sends a chunked response, part by part as they become available, then closes.
    Stream(StreamPayload),
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open but never responds, as a hung server does.
    Hang,
}

/// Response with a complete body.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// Status.
    pub status: u16,
    /// Headers; the content length is added on sending.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl ServerResponse {
    /// Creates a response with a JSON body.
    pub fn new_json(status: u16, body: impl Into<Bytes>) -> Self {
        let headers = vec![("content-type", "application/json".to_owned())];
        Self { status, headers, body: body.into() }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Creates a response from an answer to a caller, with its outcome in `x-outcome`.
    pub fn from_answer(answer: CallerAnswer) -> Self {
        let mut response = Self::new_json(answer.status, answer.body)
            .with_header("x-outcome", answer.outcome.name());
        if let Some(delay) = answer.retry_after {
            // The header has whole seconds; rounded up, so that no caller retries too early.
            let seconds = delay.as_millis().div_ceil(1_000).max(1);
            response = response.with_header("retry-after", seconds.to_string());
        }
        response
    }
}

/// Handle for a graceful shutdown of a server, with counts of its connections and requests.
#[derive(Clone, Debug, Default)]
pub struct ServerGate(Rc<GateState>);

#[derive(Debug, Default)]
struct GateState {
    draining: Cell<bool>,
    closing: Cell<bool>,
    connections: Cell<usize>,
    requests: Cell<usize>,
}

impl ServerGate {
    /// Closes each connection after its next response, so that callers reconnect to another
    /// instance before this server closes.
    pub fn drain(&self) {
        self.0.draining.set(true);
    }

    /// Stops accepting connections and closes idle ones; requests in progress are still answered.
    pub fn close(&self) {
        self.drain();
        self.0.closing.set(true);
    }

    /// Tells whether the server is closing.
    pub fn is_closing(&self) -> bool {
        self.0.closing.get()
    }

    /// Returns the number of requests that were read and are not yet answered.
    pub fn requests(&self) -> usize {
        self.0.requests.get()
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.0.connections.get()
    }

    fn is_draining(&self) -> bool {
        self.0.draining.get()
    }
}

/// Accepts connections until the gate closes and handles their requests with `handler`.
pub async fn serve<H, F>(listener: TcpListener, limits: ServerLimits, gate: ServerGate, handler: H)
where
    H: Fn(ServerRequest) -> F + Clone + 'static,
    F: Future<Output = ServerAction> + 'static,
{
    let bounds = ServerBounds::new(&InputBudget::default(), PortKind::Clients);
    serve_within(listener, limits, bounds, gate, handler).await;
}

/// Like [`serve`], within the budget of the process.
pub async fn serve_within<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    bounds: ServerBounds,
    gate: ServerGate,
    handler: H,
) where
    H: Fn(ServerRequest) -> F + Clone + 'static,
    F: Future<Output = ServerAction> + 'static,
{
    while let Some(stream) = accept(&listener, &gate).await {
        if gate.connections() >= limits.max_connections {
            continue;
        }
        let Some(lease) = bounds.budget.admit(&stream, bounds.port).await else { continue };
        let _ = stream.set_nodelay(true);
        gate.0.connections.set(gate.0.connections.get() + 1);
        let (bounds, gate, handler) = (bounds.clone(), gate.clone(), handler.clone());
        monoio::spawn(async move {
            ServerConnection::new(stream, limits, bounds, lease, gate.clone()).run(handler).await;
            gate.0.connections.set(gate.0.connections.get() - 1);
        });
    }
}

/// Accepts a connection; `None` once the gate is closing and the backlog is empty. A connection
/// that the kernel completes after the last accept is reset when the listener closes; only a load
/// balancer that no longer routes connections here prevents that.
async fn accept(listener: &TcpListener, gate: &ServerGate) -> Option<TcpStream> {
    loop {
        let closing = gate.is_closing();
        // The last accept needs a short wait: with none, the driver would not poll the socket.
        let wait = if closing { FINAL_ACCEPT_WAIT } else { GATE_POLL_INTERVAL };
        match time::timeout(wait, listener.accept()).await {
            Ok(Ok((stream, _))) => return Some(stream),
            // Most likely out of file descriptors: wait for connections to close.
            Ok(Err(_)) => time::sleep(Duration::from_millis(10)).await,
            Err(_) if closing => return None,
            Err(_) => {}
        }
    }
}

type ConnectionReader = MeteredReader<LimitedReader<OwnedReadHalf<TcpStream>>>;

struct ServerConnection {
    /// Declared before the halves of the connection, whose descriptor it refers to.
    lease: Rc<InputLease>,
    framed: FramedRead<ConnectionReader, RequestHeadDecoder>,
    writer: PacedWriter<OwnedWriteHalf<TcpStream>>,
    /// File descriptor shared by both halves; valid as long as this value exists.
    socket: RawFd,
    allowance: ByteAllowance,
    limits: ServerLimits,
    bounds: ServerBounds,
    gate: ServerGate,
}

enum ReadOutcome {
    Request(ServerRequest, bool),
    Rejected(u16, &'static str),
    /// The budget of the process had no memory for the request.
    CutOff,
    Closed,
}

impl ServerConnection {
    fn new(
        stream: TcpStream,
        limits: ServerLimits,
        bounds: ServerBounds,
        lease: InputLease,
        gate: ServerGate,
    ) -> Self {
        let socket = stream.as_raw_fd();
        let (read, write) = stream.into_split();
        let allowance = ByteAllowance::default();
        let lease = Rc::new(lease);
        let reader = LimitedReader::new(read, allowance.clone());
        let reader = MeteredReader::new(reader, Rc::clone(&lease));
        Self {
            lease,
            framed: FramedRead::new(reader, RequestHeadDecoder),
            writer: PacedWriter::new(write, socket),
            socket,
            allowance,
            limits,
            bounds,
            gate,
        }
    }

    async fn run<H, F>(mut self, handler: H)
    where
        H: Fn(ServerRequest) -> F,
        F: Future<Output = ServerAction>,
    {
        loop {
            self.allowance.set(MAX_HEAD_BYTES + READ_AHEAD_BYTES);
            let (request, keep_alive) = match self.read_request().await {
                ReadOutcome::Request(request, keep_alive) => (request, keep_alive),
                ReadOutcome::Rejected(status, reason) => {
                    self.reject(CallerAnswer::new_not_run(status, reason)).await;
                    return;
                }
                ReadOutcome::CutOff => {
                    let reason = "the memory for requests is used up";
                    self.reject(CallerAnswer::new_busy(reason, CUT_OFF_RETRY)).await;
                    return;
                }
                ReadOutcome::Closed => return,
            };
            let oversized = request.oversized;
            let requests = &self.gate.clone().0.requests;
            requests.set(requests.get() + 1);
            let action = self.run_handler(handler(request)).await;
            let open = self.perform(action, keep_alive && !oversized).await;
            requests.set(requests.get() - 1);
            if oversized {
                self.end_with_unread_input().await;
            }
            if !open {
                return;
            }
            begin_request(&mut self.framed);
            // A client that always has the next request ready would keep all others waiting.
            yield_now().await;
        }
    }

    /// Runs a handler, and cancels it on a disconnect of the caller if the limits say so.
    async fn run_handler(&self, handling: impl Future<Output = ServerAction>) -> ServerAction {
        if !self.limits.cancels_on_disconnect {
            return handling.await;
        }
        monoio::select! {
            action = handling => action,
            () = wait_for_close(self.socket) => ServerAction::Close,
        }
    }

    /// Responds to a request that was not read completely, then closes the connection.
    async fn reject(&mut self, answer: CallerAnswer) {
        release_buffer(&mut self.framed);
        let response = self.respond(ServerResponse::from_answer(answer), false);
        // A client that reads nothing must not hold the connection.
        if time::timeout(REJECTION_TIMEOUT, response).await == Ok(true) {
            self.end_with_unread_input().await;
        }
    }

    /// Ends a connection on which the client may still be sending, so that it gets the response.
    async fn end_with_unread_input(&mut self) {
        let _ = self.writer.shutdown().await;
        discard_input(self.socket).await;
    }

    /// Waits for the head of a request, in steps short enough for an idle connection to notice that
    /// the gate is closing. `None` ends the connection without a response.
    async fn wait_for_head(&mut self) -> Option<Result<RequestHead, ReadOutcome>> {
        let gate = self.gate.clone();
        let limits = self.limits;
        let lease = Rc::clone(&self.lease);
        let allowance = self.allowance.clone();
        let initial = allowance.remaining();
        let mut head = std::pin::pin!(self.framed.next());
        let (mut idle, mut reading) = (Duration::ZERO, Duration::ZERO);
        loop {
            match time::timeout(GATE_POLL_INTERVAL, head.as_mut()).await {
                Ok(None) => return None,
                Ok(Some(Ok(request))) => return Some(Ok(request)),
                Ok(Some(Err(_))) if lease.is_cut() && allowance.remaining() == initial => {
                    return None;
                }
                Ok(Some(Err(_))) if lease.is_cut() => return Some(Err(ReadOutcome::CutOff)),
                Ok(Some(Err(_))) if allowance.is_spent() => {
                    return Some(Err(ReadOutcome::Rejected(431, "the head is too large")));
                }
                Ok(Some(Err(_))) => {
                    return Some(Err(ReadOutcome::Rejected(400, "malformed HTTP request")));
                }
                Err(_) => {}
            }
            // As long as no byte was consumed the connection is idle, else a head is being read.
            if allowance.remaining() == initial {
                idle += GATE_POLL_INTERVAL;
                if idle >= limits.idle_timeout || gate.is_closing() {
                    return None;
                }
                continue;
            }
            reading += GATE_POLL_INTERVAL;
            if reading >= limits.read_timeout {
                return Some(Err(ReadOutcome::Rejected(408, "the head did not arrive in time")));
            }
        }
    }

    async fn read_request(&mut self) -> ReadOutcome {
        let head = match self.wait_for_head().await {
            None => return ReadOutcome::Closed,
            Some(Err(outcome)) => return outcome,
            Some(Ok(head)) => head,
        };
        self.framed.get_mut().end_head();
        // Not only when bytes arrive: the head may have been read together with the request before.
        self.lease.begin();
        if has_conflicting_framing(&head) {
            return ReadOutcome::Rejected(400, "the length of the body is given in two ways");
        }
        let Some(framing) = BodyFraming::from_headers(&head.headers) else {
            return ReadOutcome::Rejected(400, "malformed HTTP request");
        };
        // Also bounds what chunks may take on the wire in addition to their data.
        self.allowance.set(self.limits.max_body_bytes + MAX_HEAD_BYTES);
        let max_body_bytes = self.limits.max_body_bytes;
        let present = self.bounds.body_limit.as_ref().map_or(usize::MAX, |limit| limit());
        let limit = max_body_bytes.min(present);
        let base = self.lease.held();
        let reading = read_body(&mut self.framed, framing, limit, &*self.lease, base);
        let body = match time::timeout(self.limits.read_timeout, reading).await {
            Ok(body) => body,
            Err(_) => return ReadOutcome::Rejected(408, "the body did not arrive in time"),
        };
        if !self.lease.complete(body.as_ref().map_or(0, Bytes::len)) {
            return ReadOutcome::CutOff;
        }
        let spent = self.allowance.is_spent();
        let (body, oversized) = match body {
            Ok(body) => (body, false),
            Err(BodyError::TooLarge) if limit < max_body_bytes => (Bytes::new(), true),
            Err(BodyError::Malformed) if !spent => {
                return ReadOutcome::Rejected(400, "the body is incomplete or malformed");
            }
            Err(BodyError::TooLarge | BodyError::Malformed) => {
                return ReadOutcome::Rejected(413, "the body is too large");
            }
            Err(BodyError::NoMemory) => return ReadOutcome::CutOff,
        };
        let keep_alive = requests_keep_alive(&head);
        let request = ServerRequest {
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            method: head.method,
            headers: head.headers,
            body,
            oversized,
        };
        ReadOutcome::Request(request, keep_alive)
    }

    /// Performs an action; returns whether the connection can be used for another request.
    async fn perform(&mut self, action: ServerAction, keep_alive: bool) -> bool {
        match action {
            ServerAction::Respond(response) => {
                let keep_alive = keep_alive && !self.gate.is_draining();
                self.respond(response, keep_alive).await && keep_alive
            }
            ServerAction::Stream(parts) => {
                self.stream(parts).await;
                false
            }
            ServerAction::Close => false,
            ServerAction::Hang => loop {
                // Sleeps instead of pending forever: the runtime frees a task that nothing can
                // wake, which would close its connection.
                time::sleep(Duration::from_secs(3_600)).await;
            },
        }
    }

    async fn respond(&mut self, response: ServerResponse, keep_alive: bool) -> bool {
        let mut builder = http::Response::builder().status(response.status);
        for (name, value) in &response.headers {
            builder = builder.header(*name, value);
        }
        if !keep_alive {
            builder = builder.header(header::CONNECTION, "close");
        }
        self.lease.begin_response(response.body.len());
        let payload: Payload = Payload::Fixed(FixedPayload::new(response.body));
        let Ok(message) = builder.body(payload) else {
            return false;
        };
        GenericEncoder::new(&mut self.writer).send_and_flush(message).await.is_ok()
    }

    /// Sends the parts of a stream as chunks. They are written directly, as the encoder of the
    /// library flushes only at the end of a body.
    async fn stream(&mut self, mut parts: StreamPayload) {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
                    transfer-encoding: chunked\r\nconnection: close\r\n\r\n";
        let writer = &mut self.writer;
        let (result, _) = writer.write_all(head.as_bytes().to_vec()).await;
        if result.is_err() {
            return;
        }
        while let Some(Ok(part)) = parts.next().await {
            let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
            chunk.extend_from_slice(&part);
            chunk.extend_from_slice(b"\r\n");
            let (result, _) = writer.write_all(chunk).await;
            if result.is_err() {
                return;
            }
        }
        let _ = writer.write_all(b"0\r\n\r\n".to_vec()).await;
    }
}

/// Tells whether a request states the length of its body more than once, in conflict. Servers on
/// the path could disagree about where such a body ends and take the rest for another request
/// (request smuggling).
fn has_conflicting_framing(head: &RequestHead) -> bool {
    let mut lengths = head.headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(first) = lengths.next() else { return false };
    let listed = first.as_bytes().contains(&b',');
    listed
        || lengths.any(|other| other != first)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
}

fn requests_keep_alive(head: &RequestHead) -> bool {
    let connection = head.headers.get(header::CONNECTION).and_then(|value| value.to_str().ok());
    match connection {
        Some(value) if value.eq_ignore_ascii_case("close") => false,
        Some(value) if value.eq_ignore_ascii_case("keep-alive") => true,
        _ => head.version != Version::HTTP_10,
    }
}
