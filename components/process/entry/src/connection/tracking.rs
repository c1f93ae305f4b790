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
use super::relayed_calls::{CallReader, Progress};

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
    /// Set if the requests are passed on as bytes, so that each write counts as an answer.
    pub(super) relayed: Option<RelayedCalls>,
}

/// The calls of a connection that is passed on.
#[derive(Default)]
pub(super) struct RelayedCalls {
    reader: CallReader,
    /// Whether the body of the last call is incomplete.
    is_in_body: bool,
}

impl RelayedCalls {
    /// Records how much of a call was read. These connections have no limit on their memory, so there
    /// is room for each call.
    fn record(&mut self, bytes: &[u8], tracked: &Tracked) {
        let progress = self.reader.read(bytes);
        let was_in_body = std::mem::replace(&mut self.is_in_body, progress == Progress::Body);
        match progress {
            Progress::Complete if was_in_body => tracked.end_body(),
            Progress::Complete => {
                let _ = tracked.begin_request(0, false, Instant::now());
            }
            Progress::Body if !was_in_body => {
                let _ = tracked.begin_request(0, true, Instant::now());
                tracked.begin_body(Instant::now);
            }
            Progress::Body | Progress::Head => {}
        }
    }
}

impl TrackedStream {
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(len)) => {
                self.tracked.wrote(*len);
                if self.relayed.is_some() {
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
        let this = &mut *self;
        let result = Pin::new(&mut this.stream).poll_read(cx, buf);
        if result.is_pending() {
            this.tracked.read_all();
        }
        let read = &buf.filled()[before..];
        if !read.is_empty() {
            if this.tracked.read(read.len(), Instant::now).is_err() {
                return Poll::Ready(Err(io::Error::other("no room for the head of a request")));
            }
            if let Some(relayed) = &mut this.relayed {
                relayed.record(read, &this.tracked);
            }
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
    body: Incoming,
    tracked: Tracked,
    /// Whether the body was read to its end.
    has_ended: bool,
}

impl CallerBody {
    pub(super) fn new(body: Incoming, tracked: Tracked) -> Self {
        Self { has_ended: body.is_end_stream(), body, tracked }
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        if self.has_ended || self.body.is_end_stream() {
            self.tracked.end_body();
        } else {
            self.tracked.abandon_body();
        }
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
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        self.has_ended |= matches!(frame, Poll::Ready(None));
        frame
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
