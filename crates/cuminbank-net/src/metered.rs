//! Reader of a server connection that counts heads towards the budget of the process.

use std::{io, rc::Rc};

use bytes::BytesMut;
use monoio::{
    buf::{IoBufMut, IoVecBufMut},
    io::AsyncReadRent,
    BufResult,
};
use monoio_codec::FramedRead;

use crate::input_budget::{InputAccount, InputLease, FREE_BYTES};

/// Reader that reserves memory for a head before it reads, and fails once its connection is cut off.
/// The memory of bodies is reserved by who reads them.
#[derive(Debug)]
pub(crate) struct MeteredReader<T> {
    inner: T,
    lease: Rc<InputLease>,
    in_head: bool,
    /// Whether the head needed a larger buffer than usual.
    large_head: bool,
    /// Bytes of the request that were read while its head was not complete.
    consumed: usize,
}

impl<T> MeteredReader<T> {
    /// Wraps the reader of a connection.
    pub(crate) fn new(inner: T, lease: Rc<InputLease>) -> Self {
        Self { inner, lease, in_head: true, large_head: false, consumed: 0 }
    }

    /// Notes that the head is complete.
    pub(crate) fn end_head(&mut self) {
        self.in_head = false;
        self.large_head = self.lease.held() > 0;
    }

    /// Notes that the next request begins, of which `held` bytes have been read.
    fn begin_head(&mut self, held: usize) {
        self.in_head = true;
        self.consumed = held;
    }
}

/// Prepares a connection for its next request. A buffer that has grown for a head is replaced.
pub(crate) fn begin_request<T, D>(framed: &mut FramedRead<MeteredReader<T>, D>) {
    let (lease, large_head) = (Rc::clone(&framed.get_ref().lease), framed.get_ref().large_head);
    let buffer = framed.read_buffer_mut();
    if large_head {
        *buffer = BytesMut::from(&buffer[..]);
    }
    let held = buffer.len();
    lease.finish(if held > FREE_BYTES { held } else { 0 });
    framed.get_mut().begin_head(held);
}

/// Releases the buffer of a connection that is about to be closed.
pub(crate) fn release_buffer<T, D>(framed: &mut FramedRead<MeteredReader<T>, D>) {
    *framed.read_buffer_mut() = BytesMut::new();
    framed.get_ref().lease.shrink(0);
}

fn cut_off<B>(buffer: B) -> BufResult<usize, B> {
    (Err(io::Error::new(io::ErrorKind::ConnectionAborted, "cut off")), buffer)
}

impl<T: AsyncReadRent> AsyncReadRent for MeteredReader<T> {
    async fn read<B: IoBufMut>(&mut self, mut buffer: B) -> BufResult<usize, B> {
        if self.in_head {
            let total = self.consumed + buffer.bytes_total();
            if total > FREE_BYTES && !self.lease.reserve(total).await {
                return cut_off(buffer);
            }
        }
        let (result, buffer) = self.inner.read(buffer).await;
        if self.lease.is_cut() {
            return cut_off(buffer);
        }
        if let (Ok(count @ 1..), true) = (&result, self.in_head) {
            self.lease.begin();
            self.consumed += count;
        }
        (result, buffer)
    }

    async fn readv<B: IoVecBufMut>(&mut self, buffer: B) -> BufResult<usize, B> {
        // The decoder does not use vectored reads.
        (Err(io::ErrorKind::Unsupported.into()), buffer)
    }
}
