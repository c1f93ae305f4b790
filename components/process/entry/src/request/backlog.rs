//! What a server has sent of a stream and its caller has not taken yet.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use body_memory::{BodyBuffer, BodyMemory};
use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::connection::BodyError;

#[cfg(test)]
mod tests;

/// Pieces that are passed on as they came. Later ones are joined, so that each takes no memory of its
/// own.
const MAX_PIECES: usize = 16;

/// Part of a response body, or its early end.
pub(super) type Piece = Result<Frame<Bytes>, BodyError>;

/// The caller has left, or its connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallerLeft;

/// Memory of the backlogs of all streams, as part of the memory for bodies. Together they take at most
/// half of that, so that they leave room for requests.
pub(crate) struct BacklogMemory {
    bodies: BodyMemory,
    /// Sum of all shares.
    used: Arc<AtomicUsize>,
}

impl BacklogMemory {
    pub(crate) fn new(bodies: &BodyMemory) -> Self {
        Self { bodies: bodies.clone(), used: Arc::default() }
    }

    fn empty_buffer(&self) -> Joined {
        Joined {
            buf: BodyBuffer::new(&self.bodies),
            share: Share { used: self.used.clone(), bytes: 0 },
        }
    }
}

/// Part of the memory of the backlogs that one buffer takes, until it is dropped.
struct Share {
    used: Arc<AtomicUsize>,
    /// Included in `used`.
    bytes: usize,
}

impl Share {
    fn resize(&mut self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
        self.used.fetch_sub(std::mem::replace(&mut self.bytes, bytes), Ordering::Relaxed);
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Joined data. Its share counts until the last reference to the data is dropped.
struct Joined {
    buf: BodyBuffer,
    /// The memory of `buf`.
    share: Share,
}

impl AsRef<[u8]> for Joined {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

/// Holds a stream for a caller that reads slowly, so that its server is not held back.
pub(super) struct Backlog {
    tx: mpsc::Sender<Piece>,
    /// Follows the pieces in the channel.
    joined: Joined,
    memory: Rc<BacklogMemory>,
}

/// Empties a buffer.
fn take(joined: &mut Joined, memory: &BacklogMemory) -> Piece {
    let taken = std::mem::replace(joined, memory.empty_buffer());
    Ok(Frame::data(Bytes::from_owner(taken)))
}

impl Backlog {
    /// An empty backlog, and the end from which the caller takes its pieces.
    pub(super) fn new(memory: &Rc<BacklogMemory>) -> (Self, mpsc::Receiver<Piece>) {
        let (tx, rx) = mpsc::channel(MAX_PIECES);
        (Self { tx, joined: memory.empty_buffer(), memory: memory.clone() }, rx)
    }

    /// Adds data that is ready for the caller.
    ///
    /// # Errors
    ///
    /// Returns the data if there is no memory for it: the backlogs, or all bodies, have used theirs up.
    pub(super) fn push(&mut self, data: Bytes) -> Result<(), Bytes> {
        if !self.joined.buf.is_empty()
            && let Ok(permit) = self.tx.try_reserve()
        {
            permit.send(take(&mut self.joined, &self.memory));
        }
        if self.joined.buf.is_empty()
            && let Ok(permit) = self.tx.try_reserve()
        {
            permit.send(Ok(Frame::data(data)));
            return Ok(());
        }
        let used = self.memory.used.load(Ordering::Relaxed);
        let has_room = used + data.len() <= self.memory.bodies.limit() / 2;
        if !has_room || self.joined.buf.extend(&data, usize::MAX).is_err() {
            return Err(data);
        }
        self.joined.share.resize(self.joined.buf.reserved());
        Ok(())
    }

    /// Passes joined data on as soon as the caller takes it; waits until the caller has left if there
    /// is none. Nothing is lost if the future is dropped.
    pub(super) async fn advance(&mut self) -> Result<(), CallerLeft> {
        if self.joined.buf.is_empty() {
            self.tx.closed().await;
            return Err(CallerLeft);
        }
        let permit = self.tx.reserve().await.map_err(|_| CallerLeft)?;
        permit.send(take(&mut self.joined, &self.memory));
        Ok(())
    }

    /// Waits until the caller takes a piece.
    pub(super) async fn wait_for_room(&self) -> Result<(), CallerLeft> {
        self.tx.reserve().await.map(drop).map_err(|_| CallerLeft)
    }

    /// Waits until the caller has left.
    pub(super) async fn closed(&self) -> CallerLeft {
        self.tx.closed().await;
        CallerLeft
    }

    /// Passes all data on.
    pub(super) async fn finish(mut self) -> Result<(), CallerLeft> {
        while !self.joined.buf.is_empty() {
            self.advance().await?;
        }
        Ok(())
    }

    /// Passes all data on and then ends the response as incomplete.
    pub(super) async fn break_off(mut self) -> Result<(), CallerLeft> {
        while !self.joined.buf.is_empty() {
            self.advance().await?;
        }
        self.tx.send(Err(BodyError::Incomplete)).await.map_err(|_| CallerLeft)
    }
}
