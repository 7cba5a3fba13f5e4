//! HTTP/1.1 client with a connection pool per address.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cuminbank::event::ExchangeError;
use http::{header, HeaderMap, Method, Request};
use monoio::{
    io::{sink::SinkExt, stream::Stream},
    net::TcpStream,
    time,
};
use monoio_codec::FramedRead;
use monoio_http::h1::{
    codec::{decoder::ResponseHeadDecoder, encoder::GenericEncoder},
    payload::{FixedPayload, Payload},
};

use crate::{
    body::{read_body, BodyError, BodyFraming},
    connection::{connect, ExchangeStream, IdlePool},
    exchange_limit::ExchangeLimit,
    http_limit::{ByteAllowance, LimitedReader},
    input_budget::InputBudget,
};

/// Lowest status of a response that reports an error.
const FIRST_ERROR_STATUS: u16 = 400;
/// Maximum size of the head of a response, with what arrives in the same reads.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Outgoing request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers; host and content length are added on sending.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl ClientRequest {
    /// Creates a GET request.
    pub fn new_get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), headers: Vec::new(), body: Bytes::new() }
    }

    /// Creates a POST request with a JSON body.
    pub fn new_post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        let headers = vec![("content-type", "application/json".to_owned())];
        Self { method: Method::POST, path: path.into(), headers, body: body.into() }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    fn into_message(self, address: SocketAddr) -> Option<Request<Payload>> {
        let mut builder = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(header::HOST, address.to_string());
        for (name, value) in &self.headers {
            builder = builder.header(*name, value);
        }
        builder.body(Payload::Fixed(FixedPayload::new(self.body))).ok()
    }
}

/// Response that was received completely.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ClientAnswer {
    /// Returns a header as text, if it is present and printable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Connection on which a request was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionOrigin {
    /// Opened for the request.
    New,
    /// Taken from the pool after it had been idle for this long.
    Pooled(Duration),
}

/// Value that the user of a pool attaches to a connection.
pub type ConnectionLabel = u64;

/// Requirement on the connection of an exchange.
pub struct LabelCheck<'a> {
    /// Request that is sent first on a connection without a label, for its response.
    pub probe: ClientRequest,
    /// Returns whether the exchange may take place on a connection with this label.
    pub accepts: &'a dyn Fn(ConnectionLabel) -> bool,
}

/// Labels of the connections to one address.
pub struct ConnectionLabels<'a> {
    /// Returns the label of a connection from the first response on it, if it has one. It also gets
    /// the time since the request was sent.
    pub read: &'a dyn Fn(&ClientAnswer, Duration) -> Option<ConnectionLabel>,
    /// What the exchange requires of the connection, if anything.
    pub check: Option<LabelCheck<'a>>,
}

/// Pool of keep-alive connections. A connection carries one exchange at a time, without pipelining.
/// After an exchange has timed out, the next one to the same address uses a connection that was opened
/// or has answered since.
#[derive(Debug, Default)]
pub struct HttpPool {
    idle: IdlePool,
    limit: Option<ExchangeLimit>,
    budget: InputBudget,
}

impl HttpPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Limits the connections to one address. Further exchanges wait until one of them is free; the
    /// wait is part of their timeout.
    pub fn with_max_connections(mut self, count: usize) -> Self {
        self.limit = Some(ExchangeLimit::new(count));
        self
    }

    /// Counts responses towards the budget of the process, which bounds their size.
    pub fn with_budget(mut self, budget: &InputBudget) -> Self {
        self.budget = budget.clone();
        self
    }

    /// Changes the limit of [`Self::with_max_connections`], if the pool has one.
    pub fn set_max_connections(&self, count: usize) {
        if let Some(limit) = &self.limit {
            limit.set(count);
        }
    }

    /// Sends a request and waits for the complete response.
    ///
    /// Fails with [`ExchangeError::NotSent`] if no byte was sent, and with
    /// [`ExchangeError::Lost`] if the request may have arrived but there is no complete response
    /// within `timeout`.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: ClientRequest,
        timeout: Duration,
    ) -> Result<ClientAnswer, ExchangeError> {
        self.exchange_if(address, request, timeout, || true).await
    }

    /// Like [`Self::exchange`], but calls `may_send` directly before the first write and sends
    /// nothing if it returns false.
    pub async fn exchange_if(
        &self,
        address: SocketAddr,
        request: ClientRequest,
        timeout: Duration,
        may_send: impl FnOnce() -> bool,
    ) -> Result<ClientAnswer, ExchangeError> {
        self.exchange_on(address, request, timeout, may_send, |_| (), None).await
    }

    /// Like [`Self::exchange_if`], on a connection whose label passes the check. A connection that
    /// does not pass is closed, and the exchange fails with [`ExchangeError::NotSent`]. If the probe
    /// is answered with an error status, that answer is returned, and the request is not sent.
    pub async fn exchange_labelled(
        &self,
        address: SocketAddr,
        request: ClientRequest,
        timeout: Duration,
        may_send: impl FnOnce() -> bool,
        labels: ConnectionLabels<'_>,
    ) -> Result<ClientAnswer, ExchangeError> {
        self.exchange_on(address, request, timeout, may_send, |_| (), Some(labels)).await
    }

    /// Like [`Self::exchange`], and calls `on_connection` with the origin of the connection before
    /// the first write.
    pub async fn exchange_observed(
        &self,
        address: SocketAddr,
        request: ClientRequest,
        timeout: Duration,
        on_connection: impl FnOnce(ConnectionOrigin),
    ) -> Result<ClientAnswer, ExchangeError> {
        self.exchange_on(address, request, timeout, || true, on_connection, None).await
    }

    async fn exchange_on(
        &self,
        address: SocketAddr,
        request: ClientRequest,
        timeout: Duration,
        may_send: impl FnOnce() -> bool,
        on_connection: impl FnOnce(ConnectionOrigin),
        labels: Option<ConnectionLabels<'_>>,
    ) -> Result<ClientAnswer, ExchangeError> {
        let started = Instant::now();
        let message = request.into_message(address).ok_or(ExchangeError::NotSent)?;
        let _permit = match &self.limit {
            Some(limit) => {
                Some(limit.acquire(address, timeout).await.ok_or(ExchangeError::NotSent)?)
            }
            None => None,
        };
        let (mut stream, origin, mut label) = match self.idle.take(address) {
            Some(pooled) => {
                let stream = ExchangeStream::new(pooled.stream);
                (stream, ConnectionOrigin::Pooled(pooled.idle), pooled.label)
            }
            None => {
                let remaining = timeout.saturating_sub(started.elapsed());
                (connect(address, remaining).await?, ConnectionOrigin::New, None)
            }
        };
        on_connection(origin);
        if let Some(ConnectionLabels { read, check: Some(check) }) = &labels {
            if label.is_none() {
                let remaining = timeout.saturating_sub(started.elapsed());
                let message =
                    check.probe.clone().into_message(address).ok_or(ExchangeError::NotSent)?;
                let sent_at = Instant::now();
                let exchange = send_and_read(stream.stream(), message, &self.budget);
                let Ok(Ok((answer, reusable))) = time::timeout(remaining, exchange).await else {
                    self.idle.close_suspected(address);
                    return Err(ExchangeError::NotSent);
                };
                if answer.status >= FIRST_ERROR_STATUS {
                    return Ok(answer);
                }
                label = read(&answer, sent_at.elapsed()).filter(|_| reusable);
            }
            if !label.is_some_and(check.accepts) {
                return Err(ExchangeError::NotSent);
            }
        }
        if !may_send() {
            self.idle.put(address, stream.finish(), label);
            return Err(ExchangeError::NotSent);
        }
        let remaining = timeout.saturating_sub(started.elapsed());
        let sent_at = Instant::now();
        let outcome =
            time::timeout(remaining, send_and_read(stream.stream(), message, &self.budget)).await;
        // On any error the stream is dropped, which closes the connection: a late response on it
        // must not be mistaken for the response to another request.
        let Ok(outcome) = outcome else {
            self.idle.close_suspected(address);
            return Err(ExchangeError::Lost);
        };
        let (answer, reusable) = outcome?;
        let stream = stream.finish();
        if reusable {
            let read = |labels: ConnectionLabels<'_>| (labels.read)(&answer, sent_at.elapsed());
            self.idle.put(address, stream, label.or_else(|| labels.and_then(read)));
        }
        Ok(answer)
    }

    /// Closes the pooled connections that have been idle for too long.
    pub fn close_idle(&self) {
        self.idle.close_expired();
        if let Some(limit) = &self.limit {
            limit.forget_unused();
        }
    }
}

async fn send_and_read(
    stream: &mut TcpStream,
    message: Request<Payload>,
    budget: &InputBudget,
) -> Result<(ClientAnswer, bool), ExchangeError> {
    let lost = |_| ExchangeError::Lost;
    GenericEncoder::new(&mut *stream).send_and_flush(message).await.map_err(lost)?;
    let allowance = ByteAllowance::default();
    allowance.set(MAX_HEAD_BYTES);
    let reader = LimitedReader::new(&mut *stream, allowance.clone());
    let mut framed = FramedRead::new(reader, ResponseHeadDecoder);
    let lease = budget.answer_lease();
    let Some(Ok(head)) = framed.next().await else {
        if allowance.is_spent() {
            lease.count_lost();
        }
        return Err(ExchangeError::Lost);
    };
    let framing = BodyFraming::from_headers(&head.headers).ok_or(ExchangeError::Lost)?;
    let limit = budget.limits().message_bytes;
    allowance.set(limit);
    // Memory is held until the response has been read; who asked for it decides how long it stays.
    let body = match read_body(&mut framed, framing, limit, &lease, 0).await {
        Ok(body) => body,
        Err(error) => {
            let is_cut_short = error == BodyError::Malformed && allowance.is_spent();
            if error == BodyError::TooLarge || is_cut_short {
                lease.count_lost();
            }
            return Err(ExchangeError::Lost);
        }
    };
    let closes = head
        .headers
        .get(header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    // Without a length, the end of the body cannot be distinguished from a broken connection.
    if !has_length && head.status.as_u16() != 204 {
        return Err(ExchangeError::Lost);
    }
    let answer = ClientAnswer { status: head.status.as_u16(), headers: head.headers, body };
    Ok((answer, !closes))
}
