//! Limits the bytes that a server may send before the head of its response is complete.
//!
//! The HTTP library skips interim responses without a limit on their number, and reads as long as
//! bytes are ready.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

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

/// A stream that fails once its budget is exceeded.
#[derive(Debug)]
pub(super) struct BudgetedStream<S> {
    pub(super) stream: S,
    pub(super) budget: ReadBudget,
}

impl<S: AsyncRead + Unpin> AsyncRead for BudgetedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
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

impl<S: AsyncWrite + Unpin> AsyncWrite for BudgetedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
