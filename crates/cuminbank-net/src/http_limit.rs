//! A reader that ends a connection which sends more than it may.

use std::{cell::Cell, io, rc::Rc};

use monoio::{
    buf::{IoBufMut, IoVecBufMut},
    io::AsyncReadRent,
    BufResult,
};

/// Bytes that a reader may still take in.
#[derive(Clone, Debug, Default)]
pub struct ByteAllowance(Rc<Cell<usize>>);

impl ByteAllowance {
    /// Sets the allowance.
    pub fn set(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Returns the bytes that are left.
    pub fn remaining(&self) -> usize {
        self.0.get()
    }

    /// Tells whether the allowance is used up.
    pub fn is_spent(&self) -> bool {
        self.0.get() == 0
    }

    fn consume(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.0.get().checked_sub(bytes) else {
            self.0.set(0);
            return Err(io::Error::new(io::ErrorKind::InvalidData, "message too large"));
        };
        self.0.set(left);
        Ok(())
    }
}

/// Reader with an allowance. The decoder of the HTTP library has no limit of its own on the
/// length of a head or of a chunked body.
#[derive(Debug)]
pub struct LimitedReader<T> {
    inner: T,
    allowance: ByteAllowance,
}

impl<T> LimitedReader<T> {
    /// Limits a reader.
    pub fn new(inner: T, allowance: ByteAllowance) -> Self {
        Self { inner, allowance }
    }

    fn account<B>(&self, outcome: BufResult<usize, B>) -> BufResult<usize, B> {
        let (result, buffer) = outcome;
        let checked = result.and_then(|count| self.allowance.consume(count).map(|()| count));
        (checked, buffer)
    }
}

impl<T: AsyncReadRent> AsyncReadRent for LimitedReader<T> {
    async fn read<B: IoBufMut>(&mut self, buffer: B) -> BufResult<usize, B> {
        let outcome = self.inner.read(buffer).await;
        self.account(outcome)
    }

    async fn readv<B: IoVecBufMut>(&mut self, buffer: B) -> BufResult<usize, B> {
        let outcome = self.inner.readv(buffer).await;
        self.account(outcome)
    }
}
