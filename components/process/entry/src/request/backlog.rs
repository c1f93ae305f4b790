//! What a server has sent of a stream and its caller has not taken yet.

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

/// Holds a stream for a caller that reads slowly, so that its server is not held back. All backlogs
/// together take at most half of the memory for bodies, so that they leave room for requests.
pub(super) struct Backlog {
    tx: mpsc::Sender<Piece>,
    /// Follows the pieces in the channel.
    joined: BodyBuffer,
    memory: BodyMemory,
}

/// Empties a buffer.
fn take(joined: &mut BodyBuffer, memory: &BodyMemory) -> Piece {
    Ok(Frame::data(std::mem::replace(joined, BodyBuffer::new(memory)).into_bytes()))
}

impl Backlog {
    /// An empty backlog, and the end from which the caller takes its pieces.
    pub(super) fn new(memory: &BodyMemory) -> (Self, mpsc::Receiver<Piece>) {
        let (tx, rx) = mpsc::channel(MAX_PIECES);
        (Self { tx, joined: BodyBuffer::new(memory), memory: memory.clone() }, rx)
    }

    /// Adds data that is ready for the caller.
    ///
    /// # Errors
    ///
    /// Returns the data if there is no memory for it.
    pub(super) fn push(&mut self, data: Bytes) -> Result<(), Bytes> {
        if !self.joined.is_empty()
            && let Ok(permit) = self.tx.try_reserve()
        {
            permit.send(take(&mut self.joined, &self.memory));
        }
        if self.joined.is_empty()
            && let Ok(permit) = self.tx.try_reserve()
        {
            permit.send(Ok(Frame::data(data)));
            return Ok(());
        }
        let has_room = self.memory.used() + data.len() <= self.memory.limit() / 2;
        if !has_room || self.joined.extend(&data, usize::MAX).is_err() {
            return Err(data);
        }
        Ok(())
    }

    /// Passes joined data on as soon as the caller takes it; waits until the caller has left if there
    /// is none. Nothing is lost if the future is dropped.
    pub(super) async fn advance(&mut self) -> Result<(), CallerLeft> {
        if self.joined.is_empty() {
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
        while !self.joined.is_empty() {
            self.advance().await?;
        }
        Ok(())
    }

    /// Passes all data on and then ends the response as incomplete.
    pub(super) async fn break_off(mut self) -> Result<(), CallerLeft> {
        while !self.joined.is_empty() {
            self.advance().await?;
        }
        self.tx.send(Err(BodyError::Incomplete)).await.map_err(|_| CallerLeft)
    }
}
