//! Records in a table of connections what happens on a connection.

use std::cell::OnceCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use caller_limits::{Close, ConnectionTable, TrackedConnection};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};

use super::Body;

/// Closes a connection by ending its task.
#[derive(Clone, Default)]
pub(crate) struct TaskCloser(Rc<OnceCell<AbortHandle>>);

impl TaskCloser {
    /// Sets the task, once.
    fn set(&self, task: AbortHandle) {
        if self.0.set(task).is_err() {
            tracing::error!("connections: task set twice");
        }
    }
}

impl Close for TaskCloser {
    fn close(&self) {
        if let Some(task) = self.0.get() {
            task.abort();
        }
    }
}

pub(crate) type Connections = ConnectionTable<TaskCloser>;
pub(crate) type Tracked = TrackedConnection<TaskCloser>;

/// Takes a connection into the table and serves it in a task of its own. Without room, `task` is not
/// called, and the connection that it holds is closed.
pub(super) fn spawn_tracked<F>(connections: &Connections, task: impl FnOnce(Tracked) -> F)
where
    F: Future<Output = ()> + 'static,
{
    let closer = TaskCloser::default();
    if let Ok(tracked) = connections.accept(closer.clone(), Instant::now()) {
        closer.set(spawn_local(task(tracked)).abort_handle());
    }
}

/// A stream that records its reads and writes.
pub(super) struct TrackedStream {
    pub(super) stream: TcpStream,
    pub(super) tracked: Tracked,
    /// The requests are passed on as bytes, so that each write counts as an answer.
    pub(super) is_relayed: bool,
}

impl TrackedStream {
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(len)) => {
                self.tracked.wrote(*len);
                if self.is_relayed {
                    self.tracked.end_answer(Instant::now);
                }
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.tracked.blocked(Instant::now),
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let len = buf.filled().len() - before;
        if len > 0 && self.tracked.read(len, Instant::now).is_err() {
            return Poll::Ready(Err(io::Error::other("no room for the head of a request")));
        }
        result
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Body of a request, which records its end.
pub(crate) struct CallerBody {
    pub(super) body: Incoming,
    pub(super) tracked: Tracked,
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        self.tracked.end_body();
    }
}

impl HttpBody for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        self.tracked.begin_body(Instant::now);
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Body of a response, which records its end.
pub(super) struct AnswerBody {
    pub(super) body: Body,
    pub(super) tracked: Tracked,
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.tracked.end_answer(Instant::now);
    }
}

impl HttpBody for AnswerBody {
    type Data = Bytes;
    type Error = super::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
