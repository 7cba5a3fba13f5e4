//! Writing to clients that may not read.
//!
//! The kernel checks the size of a send buffer only when it begins a segment of up to 64 KiB. A
//! connection therefore waits until most of its buffer is free before it writes a small part more.

use std::{
    io,
    os::fd::RawFd,
    time::{Duration, Instant},
};

use monoio::{
    buf::{IoBuf, IoVecBuf},
    io::AsyncWriteRent,
    time, BufResult,
};
use nix::poll::{poll, PollFd, PollFlags};

/// Most bytes that are written at once.
const MAX_WRITE_BYTES: usize = 4 * 1024;
/// Interval at which a connection checks whether its client has read.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time for which a client may read nothing of a response before its connection is closed.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(30);

/// Waits until the client of a connection has read most of what was written, or the socket was shut
/// down. Returns false if it reads nothing for too long.
async fn wait_for_reader(socket: RawFd) -> bool {
    let started = Instant::now();
    while !is_writable(socket) {
        if started.elapsed() >= MAX_UNREAD_TIME {
            return false;
        }
        time::sleep(READ_CHECK_INTERVAL).await;
    }
    true
}

/// Tells whether most of the send buffer is free. A socket that has failed counts as writable, as
/// writing to it shows the error.
fn is_writable(socket: RawFd) -> bool {
    let mut sockets = [PollFd::new(socket, PollFlags::POLLOUT)];
    poll(&mut sockets, 0) != Ok(0)
}

/// Writer of a connection that writes a small part at a time.
#[derive(Debug)]
pub(crate) struct PacedWriter<W> {
    inner: W,
    /// Socket of the writer; valid as long as it exists.
    socket: RawFd,
}

impl<W> PacedWriter<W> {
    /// Wraps the writer of a socket.
    pub(crate) fn new(inner: W, socket: RawFd) -> Self {
        Self { inner, socket }
    }
}

impl<W: AsyncWriteRent> AsyncWriteRent for PacedWriter<W> {
    async fn write<T: IoBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        if !wait_for_reader(self.socket).await {
            return (Err(io::ErrorKind::TimedOut.into()), buffer);
        }
        let length = buffer.bytes_init().min(MAX_WRITE_BYTES);
        let (result, part) = self.inner.write(buffer.slice(..length)).await;
        (result, part.into_inner())
    }

    async fn writev<T: IoVecBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        // Writers of responses do not use vectored writes.
        (Err(io::ErrorKind::Unsupported.into()), buffer)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.inner.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.inner.shutdown().await
    }
}
