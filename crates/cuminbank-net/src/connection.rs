//! What the transports ask of a TCP connection besides reading and writing.

use std::{
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

/// Longest time for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a connection is looked at while nothing is read from it.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that input is discarded after a request was rejected.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens a connection in at most `timeout`, and at most 1 s.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<ExchangeStream, ExchangeError> {
    let opening = TcpStream::connect_addr(address);
    let Ok(Ok(stream)) = time::timeout(timeout.min(CONNECT_TIMEOUT), opening).await else {
        return Err(ExchangeError::NotSent);
    };
    let _ = stream.set_nodelay(true);
    Ok(ExchangeStream::new(stream))
}

/// Connection with an exchange in progress. Dropped before [`ExchangeStream::finish`], it is
/// closed with a reset: after a plain close the kernel would still send what it holds, and work
/// that was given up on could reach the other side long after its time.
#[derive(Debug)]
pub(crate) struct ExchangeStream(Option<TcpStream>);

impl ExchangeStream {
    /// Wraps a connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Some(stream))
    }

    /// Returns the connection for reading and writing.
    pub(crate) fn stream(&mut self) -> &mut TcpStream {
        self.0.as_mut().expect("only finish and drop take the connection")
    }

    /// Ends the exchange and returns the connection.
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

/// Waits until the other side has closed a connection. Input that comes before is left for the
/// next read; while it waits there, a close behind it is not seen.
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

/// Discards input until the other side closes, for a bounded time. Closing with unread input
/// resets the connection, and a reset can overtake the answer that was sent before.
pub(crate) async fn discard_input(socket: RawFd) {
    let started = Instant::now();
    let mut buffer = vec![0; 64 * 1024];
    while started.elapsed() < DISCARD_TIMEOUT {
        match recv(socket, &mut buffer, MsgFlags::MSG_DONTWAIT) {
            Ok(0) => return,
            // A sender that is always ready must not hold up the other tasks of the thread.
            Ok(_) => time::sleep(Duration::from_millis(1)).await,
            Err(Errno::EAGAIN | Errno::EINTR) => time::sleep(POLL_INTERVAL).await,
            Err(_) => return,
        }
    }
}

/// Tells whether an idle connection has bytes or an end of stream to read, and so is of no more use.
/// A wait with a timeout of zero would cost a tick of the runtime's timer, 1 ms, on each exchange.
pub(crate) fn is_readable(stream: &TcpStream) -> bool {
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    !matches!(recv(stream.as_raw_fd(), &mut [0], flags), Err(Errno::EAGAIN | Errno::EINTR))
}
