//! Limits the bytes that a server may send before the head of its response is complete.
//!
//! The HTTP library skips interim responses without a limit on their number, and reads as long as
//! bytes are ready.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};

/// Number of bytes that may still be read; shared by a stream and the connection that uses it.
#[derive(Clone, Debug)]
pub(super) struct ReadBudget(Rc<Cell<usize>>);

impl ReadBudget {
    /// Starts without a limit.
    pub(super) fn unlimited() -> Self {
        Self(Rc::new(Cell::new(usize::MAX)))
    }

    /// Allows `bytes` until the next call.
    pub(super) fn limit(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Allows any number of bytes.
    pub(super) fn lift(&self) {
        self.0.set(usize::MAX);
    }

    /// Whether more bytes came than allowed.
    pub(super) fn is_exceeded(&self) -> bool {
        self.0.get() == 0
    }
}

/// Most bytes of one read. The HTTP library doubles its buffer after a read that fills the present
/// one, of at least 8 KiB; streams whose callers do not read would each hold the largest buffer.
const MAX_READ_BYTES: u64 = 8_191;

/// A stream that fails once its budget is exceeded, and reads a bounded number of bytes at a time.
#[derive(Debug)]
pub(super) struct BudgetedStream<S> {
    stream: Take<S>,
    budget: ReadBudget,
}

impl<S: AsyncRead> BudgetedStream<S> {
    pub(super) fn new(stream: S, budget: ReadBudget) -> Self {
        Self { stream: stream.take(MAX_READ_BYTES), budget }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BudgetedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        self.stream.set_limit(MAX_READ_BYTES);
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let budget = &self.budget.0;
        if budget.get() < usize::MAX {
            budget.set(budget.get().saturating_sub(buf.filled().len() - before));
            if self.budget.is_exceeded() {
                return Poll::Ready(Err(io::Error::other("head of the response too long")));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for BudgetedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }
}
