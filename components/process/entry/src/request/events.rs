//! Splits a stream of server-sent events at event boundaries.

use body_memory::{BodyBuffer, BodyMemory, OutOfMemory};
use bytes::Bytes;
use quick_error::quick_error;

#[cfg(test)]
mod tests;

/// Largest event that is accepted from a server, in bytes.
pub(super) const MAX_EVENT_BYTES: usize = 1 << 20;

/// The longest separator between two events is four bytes long, so up to three of its bytes may
/// arrive before the rest.
const SEPARATOR_OVERLAP: usize = 3;

quick_error! {
    /// Why an event was not buffered.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum EventError {
        /// The server sent more than [`MAX_EVENT_BYTES`] without the end of an event.
        TooLong {
            display("event too long")
        }
        /// The bodies in the process leave no room for it.
        OutOfMemory {
            from(OutOfMemory)
            display("no memory for an event")
        }
    }
}

/// Buffers an incomplete event until the rest arrives, so that an interrupted stream can be
/// continued after the last complete event.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    /// At most [`MAX_EVENT_BYTES`] after a successful `push`.
    partial: BodyBuffer,
    /// Length of the prefix of `partial` in which no separator begins.
    searched: usize,
    last_id: Option<Box<str>>,
    /// Complete events with an id so far.
    event_count: u64,
}

/// Length of the complete events in `buf`, whose first `searched` bytes begin no separator.
fn complete_events_len(buf: &[u8], searched: usize) -> usize {
    let new = &buf[searched..];
    let lf = new.windows(2).rposition(|w| w == b"\n\n").map_or(0, |start| searched + start + 2);
    let crlf =
        new.windows(4).rposition(|w| w == b"\r\n\r\n").map_or(0, |start| searched + start + 4);
    lf.max(crlf)
}

impl EventSplitter {
    pub(crate) fn new(memory: &BodyMemory) -> Self {
        Self { partial: BodyBuffer::new(memory), searched: 0, last_id: None, event_count: 0 }
    }

    /// Appends bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Fails if an event is longer than [`MAX_EVENT_BYTES`], or finds no memory; then nothing was
    /// appended.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        let before = self.partial.len();
        self.partial.extend(bytes, MAX_EVENT_BYTES)?;
        let len = complete_events_len(&self.partial, self.searched);
        // Blank lines between events belong to no event.
        let rest = self.partial[len..].iter();
        let len = len + rest.take_while(|byte| matches!(byte, b'\n' | b'\r')).count();
        let complete = match self.partial.take_front(len) {
            Ok(complete) => complete,
            Err(error) => {
                self.partial.truncate(before);
                return Err(error.into());
            }
        };
        self.searched = self.partial.len().saturating_sub(SEPARATOR_OVERLAP);
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        let ids = complete.split(|byte| matches!(byte, b'\n' | b'\r'));
        let ids = ids.filter_map(|line| std::str::from_utf8(line.strip_prefix(b"id:")?).ok());
        let mut last_id = None;
        for id in ids {
            self.event_count += 1;
            last_id = Some(id);
        }
        if let Some(id) = last_id {
            self.last_id = Some(id.trim().into());
        }
        Ok(complete)
    }

    /// Id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events with an id so far.
    pub(crate) fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Whether the bytes so far end inside an event.
    pub(crate) fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }
}
