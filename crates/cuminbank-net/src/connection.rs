//! TCP connection helpers: connect, reset on abort, detection of a close, discarding of input.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    os::fd::{AsRawFd, RawFd},
    time::{Duration, Instant},
};

use cuminbank::event::ExchangeError;
use monoio::{net::TcpStream, time};
use nix::{
    errno::Errno,
    libc,
    sys::socket::{recv, setsockopt, sockopt, MsgFlags},
};

use crate::client::ConnectionLabel;

/// Upper limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Size that the socket buffers of a connection to the store, an executor or another instance are set
/// to. The kernel takes up to twice as much, and by default megabytes if the other side sends them.
const OWN_SOCKET_BUFFER: usize = 32 * 1024;
/// Interval at which a connection is polled for input or a close.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which input is discarded after a rejected request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the buffer for discarded input. Many connections may have one at the same time.
const DISCARD_BYTES: usize = 4 * 1024;
/// Reads of discarded input without a pause.
const DISCARD_READS: usize = 16;
/// Idle time after which a pooled connection is closed. It is shorter than the idle timeout of
/// servers, so that a request does not race with their close.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Idle connections for each address.
#[derive(Debug, Default)]
pub(crate) struct IdlePool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    since: Instant,
    label: Option<ConnectionLabel>,
}

/// Connection taken from the pool.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(crate) stream: TcpStream,
    /// How long it has been idle.
    pub(crate) idle: Duration,
    pub(crate) label: Option<ConnectionLabel>,
}

impl IdlePool {
    /// Takes a connection that is not expired and that the other side has not closed.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<PooledConnection> {
        loop {
            let connection = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            if !connection.is_expired() && !is_readable(&connection.stream) {
                let IdleConnection { stream, since, label } = connection;
                return Some(PooledConnection { stream, idle: since.elapsed(), label });
            }
        }
    }

    /// Keeps a connection for the next exchange, or closes it if there are 64 to the address.
    pub(crate) fn put(
        &self,
        address: SocketAddr,
        stream: TcpStream,
        label: Option<ConnectionLabel>,
    ) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection { stream, since: Instant::now(), label });
        }
    }

    /// Closes all idle connections to an address after an exchange with it has timed out. What
    /// silenced its connection may have silenced these as well, and an idle connection does not
    /// show it.
    pub(crate) fn close_suspected(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes the connections that have been idle for 20 s.
    pub(crate) fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| !connection.is_expired());
            !connections.is_empty()
        });
    }
}

impl IdleConnection {
    fn is_expired(&self) -> bool {
        self.since.elapsed() > MAX_IDLE_TIME
    }
}

/// Opens a connection within `timeout` or 1 s, whichever is shorter.
///
/// Every failure is [`ExchangeError::NotSent`].
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<ExchangeStream, ExchangeError> {
    let opening = TcpStream::connect_addr(address);
    let Ok(Ok(stream)) = time::timeout(timeout.min(CONNECT_TIMEOUT), opening).await else {
        return Err(ExchangeError::NotSent);
    };
    let _ = stream.set_nodelay(true);
    bound_buffers(&stream);
    Ok(ExchangeStream::new(stream))
}

/// Bounds what the kernel holds for a connection that this process has opened.
pub(crate) fn bound_buffers(stream: &TcpStream) {
    // The connection also works with the default sizes.
    let _ = setsockopt(stream.as_raw_fd(), sockopt::RcvBuf, &OWN_SOCKET_BUFFER);
    let _ = setsockopt(stream.as_raw_fd(), sockopt::SndBuf, &OWN_SOCKET_BUFFER);
}

/// Connection with an exchange in progress. Dropping it before [`ExchangeStream::finish`] resets
/// the connection: after a normal close the kernel would still send its buffer, and abandoned work
/// could arrive long after its timeout.
#[derive(Debug)]
pub(crate) struct ExchangeStream(Option<TcpStream>);

impl ExchangeStream {
    /// Wraps a connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Some(stream))
    }

    /// Returns the connection to read from and write to.
    pub(crate) fn stream(&mut self) -> &mut TcpStream {
        self.0.as_mut().expect("only finish and drop take the connection")
    }

    /// Marks the exchange as complete and returns the connection, which stays open.
    pub(crate) fn finish(mut self) -> TcpStream {
        self.0.take().expect("only finish and drop take the connection")
    }
}

impl Drop for ExchangeStream {
    fn drop(&mut self) {
        if let Some(stream) = &self.0 {
            let reset = libc::linger { l_onoff: 1, l_linger: 0 };
            let _ = setsockopt(stream.as_raw_fd(), sockopt::Linger, &reset);
        }
    }
}

/// Waits until the peer closes the connection, or it fails. Pending input is only peeked at and
/// stays unread; a close behind pending input is not detected.
pub(crate) async fn wait_for_close(socket: RawFd) {
    loop {
        time::sleep(POLL_INTERVAL).await;
        let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
        match recv(socket, &mut [0], flags) {
            Ok(0) => return,
            Ok(_) | Err(Errno::EAGAIN | Errno::EINTR) => {}
            Err(_) => return,
        }
    }
}

/// Discards input until the peer closes, for at most 2 s. Closing a socket with unread input sends
/// a reset, which can reach the peer before the answer that was already written.
pub(crate) async fn discard_input(socket: RawFd) {
    let started = Instant::now();
    // On the heap: an array would be part of the task of each connection.
    let mut buffer = vec![0; DISCARD_BYTES];
    while started.elapsed() < DISCARD_TIMEOUT {
        match discard_available(socket, &mut buffer) {
            Discarded::Ended => return,
            // Yields, so that a fast sender does not block the other tasks of the thread.
            Discarded::More => time::sleep(Duration::from_millis(1)).await,
            Discarded::All => time::sleep(POLL_INTERVAL).await,
        }
    }
}

enum Discarded {
    /// Everything that has arrived.
    All,
    /// As much as is discarded at once.
    More,
    /// The peer has closed the connection, or it has failed.
    Ended,
}

/// Discards what has arrived, up to [`DISCARD_READS`] buffers.
fn discard_available(socket: RawFd, buffer: &mut [u8]) -> Discarded {
    for _ in 0..DISCARD_READS {
        match recv(socket, buffer, MsgFlags::MSG_DONTWAIT) {
            Ok(0) => return Discarded::Ended,
            Ok(_) => {}
            Err(Errno::EAGAIN | Errno::EINTR) => return Discarded::All,
            Err(_) => return Discarded::Ended,
        }
    }
    Discarded::More
}

/// Tells whether an idle connection has input or an end of stream to read; it must not be reused
/// then. Polled with `recv`, as a read with a timeout of zero costs each exchange a timer tick of
/// the runtime, 1 ms.
fn is_readable(stream: &TcpStream) -> bool {
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    !matches!(recv(stream.as_raw_fd(), &mut [0], flags), Err(Errno::EAGAIN | Errno::EINTR))
}
