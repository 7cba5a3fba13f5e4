//! Requests between instances: postcard messages with a 4-byte length prefix over TCP.

use std::{
    future::Future,
    net::SocketAddr,
    os::fd::AsRawFd,
    time::{Duration, Instant},
};

use cuminbank::{event::ExchangeError, message::decode};
use monoio::{
    buf::IoBufMut,
    io::{AsyncReadRent, AsyncReadRentExt, AsyncWriteRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
    time,
};
use serde::{de::DeserializeOwned, Serialize};

use crate::{
    connection::{connect, ExchangeStream, IdlePool},
    fairness::yield_now,
    input_budget::{InputAccount, InputBudget, InputLease, PortKind, FREE_BYTES},
    paced::PacedWriter,
};

/// Size of the buffer of a message before more of it has arrived.
const FIRST_BUFFER_BYTES: usize = 64 * 1024;

/// Pool of connections to peers. A connection carries one exchange at a time. After an exchange has
/// timed out, the next one to the same peer uses a connection that was opened or has answered since.
#[derive(Debug, Default)]
pub struct PeerPool {
    idle: IdlePool,
    budget: InputBudget,
}

impl PeerPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts replies towards the budget of the process, which bounds the size of messages.
    pub fn with_budget(mut self, budget: &InputBudget) -> Self {
        self.budget = budget.clone();
        self
    }

    /// Sends a request and waits for the reply. `timeout` includes the time to connect.
    ///
    /// Fails with [`ExchangeError::NotSent`] if no byte was sent, and with
    /// [`ExchangeError::Lost`] if there is no valid reply within `timeout`.
    pub async fn exchange<Q, R>(
        &self,
        to: SocketAddr,
        request: &Q,
        timeout: Duration,
    ) -> Result<R, ExchangeError>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        self.exchange_if(to, request, timeout, || true).await
    }

    /// Like [`Self::exchange`], but calls `may_send` directly before the first write and sends
    /// nothing if it returns false.
    pub async fn exchange_if<Q, R>(
        &self,
        to: SocketAddr,
        request: &Q,
        timeout: Duration,
        may_send: impl FnOnce() -> bool,
    ) -> Result<R, ExchangeError>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        let deadline = Instant::now() + timeout;
        let mut stream = match self.idle.take(to) {
            Some(pooled) => ExchangeStream::new(pooled.stream),
            None => connect(to, timeout).await?,
        };
        if !may_send() {
            self.idle.put(to, stream.finish(), None);
            return Err(ExchangeError::NotSent);
        }
        let limit = self.budget.limits().message_bytes;
        let lease = self.budget.answer_lease();
        let exchange = async {
            write_message(stream.stream(), encode_message(request, limit)?).await?;
            let length = read_length(stream.stream(), usize::MAX).await?;
            if length > limit {
                lease.count_lost();
                return None;
            }
            read_message(stream.stream(), length, &lease).await
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let Ok(bytes) = time::timeout(left, exchange).await else {
            self.idle.close_suspected(to);
            return Err(ExchangeError::Lost);
        };
        let bytes = bytes.ok_or(ExchangeError::Lost)?;
        let reply = decode(&bytes).ok_or(ExchangeError::Lost)?;
        self.idle.put(to, stream.finish(), None);
        Ok(reply)
    }

    /// Closes the pooled connections that have been idle for too long.
    pub fn close_idle(&self) {
        self.idle.close_expired();
    }
}

/// Accepts connections of peers and answers their requests with `handler`, which gets `None` for a
/// request that cannot be decoded. A `None` from the handler closes the connection.
pub async fn serve<Q, R, H, F>(listener: TcpListener, handler: H)
where
    Q: DeserializeOwned + 'static,
    R: Serialize + 'static,
    H: Fn(Option<Q>) -> F + Clone + 'static,
    F: Future<Output = Option<R>> + 'static,
{
    serve_within(listener, InputBudget::default(), handler).await;
}

/// Like [`serve`], within the budget of the process.
pub async fn serve_within<Q, R, H, F>(listener: TcpListener, budget: InputBudget, handler: H)
where
    Q: DeserializeOwned + 'static,
    R: Serialize + 'static,
    H: Fn(Option<Q>) -> F + Clone + 'static,
    F: Future<Output = Option<R>> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely out of file descriptors: wait for connections to close.
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Some(lease) = budget.admit(&stream, PortKind::Peers).await else { continue };
        let _ = stream.set_nodelay(true);
        monoio::spawn(serve_connection(stream, lease, handler.clone()));
    }
}

async fn serve_connection<Q, R, H, F>(stream: TcpStream, lease: InputLease, handler: H)
where
    Q: DeserializeOwned,
    R: Serialize,
    H: Fn(Option<Q>) -> F,
    F: Future<Output = Option<R>>,
{
    // The lease refers to the descriptor of the connection and is dropped first.
    let (mut stream, lease) = (stream, lease);
    let limit = lease.limits().message_bytes;
    loop {
        let Some(length) = read_length(&mut stream, limit).await else { return };
        lease.begin();
        let Some(bytes) = read_message(&mut stream, length, &lease).await else { return };
        if !lease.complete(bytes.len()) {
            return;
        }
        let request = decode(&bytes);
        // Handling may take long, and the request has its own copy.
        drop(bytes);
        let Some(reply) = handler(request).await else { return };
        let Some(bytes) = encode_message(&reply, limit) else { return };
        lease.begin_response(bytes.len());
        let socket = stream.as_raw_fd();
        let mut writer = PacedWriter::new(&mut stream, socket);
        if write_message(&mut writer, bytes).await.is_none() {
            return;
        }
        lease.finish(0);
        // An instance that always has the next request ready would keep all others waiting.
        yield_now().await;
    }
}

/// Encodes a message with its length; `None` if it is over `limit`.
fn encode_message<T: Serialize>(message: &T, limit: usize) -> Option<Vec<u8>> {
    let mut bytes = postcard::to_extend(message, vec![0; 4]).ok()?;
    let length = Some(bytes.len() - 4).filter(|length| *length <= limit)?;
    bytes[..4].copy_from_slice(&u32::try_from(length).ok()?.to_be_bytes());
    Some(bytes)
}

async fn write_message(writer: &mut impl AsyncWriteRent, bytes: Vec<u8>) -> Option<()> {
    let (result, _) = writer.write_all(bytes).await;
    result.ok().map(|_| ())
}

/// Reads the length of a message; `None` if it is over `limit` or the connection has ended.
async fn read_length(stream: &mut TcpStream, limit: usize) -> Option<usize> {
    let (result, prefix) = stream.read_exact(vec![0; 4]).await;
    result.ok()?;
    let length = u32::from_be_bytes(prefix.try_into().ok()?) as usize;
    (length <= limit).then_some(length)
}

/// Reads a message. The buffer grows with what has arrived, since the length may be a lie.
async fn read_message(
    stream: &mut TcpStream,
    length: usize,
    account: &impl InputAccount,
) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    while bytes.len() < length {
        if bytes.len() == bytes.capacity() {
            let size = bytes.len().saturating_mul(2).max(FIRST_BUFFER_BYTES).min(length);
            if size > FREE_BYTES && !account.reserve(size).await {
                return None;
            }
            bytes.reserve_exact(size - bytes.len());
        }
        let room = bytes.len()..bytes.capacity().min(length);
        let (result, filled) = stream.read(bytes.slice_mut(room)).await;
        bytes = filled.into_inner();
        result.ok().filter(|count| *count > 0)?;
    }
    Some(bytes)
}
