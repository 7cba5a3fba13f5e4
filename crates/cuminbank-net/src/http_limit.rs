//! Reader that fails when a connection sends more bytes than allowed.

use std::{cell::Cell, io, rc::Rc};

use monoio::{
    buf::{IoBufMut, IoVecBufMut},
    io::AsyncReadRent,
    BufResult,
};

/// Number of bytes that a [`LimitedReader`] may still read, shared between its clones.
#[derive(Clone, Debug, Default)]
pub struct ByteAllowance(Rc<Cell<usize>>);

impl ByteAllowance {
    /// Sets the number of bytes.
    pub fn set(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Returns the number of bytes that remain.
    pub fn remaining(&self) -> usize {
        self.0.get()
    }

    /// Tells whether no bytes remain.
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

/// Reader that returns an error once its allowance is exceeded. It is needed because the decoder of
/// the HTTP library limits neither the size of a head nor that of a chunked body.
#[derive(Debug)]
pub struct LimitedReader<T> {
    inner: T,
    allowance: ByteAllowance,
}

impl<T> LimitedReader<T> {
    /// Wraps a reader.
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
