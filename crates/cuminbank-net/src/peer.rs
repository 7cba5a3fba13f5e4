//! Requests between instances: postcard messages with a 4-byte length prefix over TCP.

use std::{
    future::Future,
    net::SocketAddr,
    time::{Duration, Instant},
};

use cuminbank::{
    event::ExchangeError,
    message::{decode, encode},
};
use monoio::{
    io::{AsyncReadRentExt, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
    time,
};
use serde::{de::DeserializeOwned, Serialize};

use crate::connection::{connect, ExchangeStream, IdlePool};

/// Maximum size of a message. The largest is a handover of tickets with their answers.
const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;

/// Pool of connections to peers. A connection carries one exchange at a time. After an exchange has
/// timed out, the next one to the same peer uses a connection that was opened or has answered since.
#[derive(Debug, Default)]
pub struct PeerPool {
    idle: IdlePool,
}

impl PeerPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
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
        let exchange = async {
            write_message(stream.stream(), &encode(request)).await?;
            read_message(stream.stream()).await
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
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely out of file descriptors: wait for connections to close.
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        monoio::spawn(serve_connection(stream, handler.clone()));
    }
}

async fn serve_connection<Q, R, H, F>(mut stream: TcpStream, handler: H)
where
    Q: DeserializeOwned,
    R: Serialize,
    H: Fn(Option<Q>) -> F,
    F: Future<Output = Option<R>>,
{
    while let Some(bytes) = read_message(&mut stream).await {
        let Some(reply) = handler(decode(&bytes)).await else { return };
        if write_message(&mut stream, &encode(&reply)).await.is_none() {
            return;
        }
    }
}

async fn write_message(stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    let length = u32::try_from(bytes.len()).ok().filter(|length| *length <= MAX_MESSAGE_BYTES)?;
    let mut message = Vec::with_capacity(bytes.len() + 4);
    message.extend_from_slice(&length.to_be_bytes());
    message.extend_from_slice(bytes);
    let (result, _) = stream.write_all(message).await;
    result.ok().map(|_| ())
}

async fn read_message(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let (result, prefix) = stream.read_exact(vec![0; 4]).await;
    result.ok()?;
    let length = u32::from_be_bytes(prefix.try_into().ok()?);
    if length > MAX_MESSAGE_BYTES {
        return None;
    }
    let (result, bytes) = stream.read_exact(vec![0; length as usize]).await;
    result.ok()?;
    Some(bytes)
}
