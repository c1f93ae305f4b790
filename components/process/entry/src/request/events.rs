//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

#[cfg(test)]
mod tests;

/// Buffers an incomplete event until the rest arrives, so that an interrupted stream can be
/// continued after the last complete event.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<Box<str>>,
}

fn complete_events_len(buf: &[u8]) -> usize {
    let lf = buf.windows(2).rposition(|w| w == b"\n\n").map_or(0, |start| start + 2);
    let crlf = buf.windows(4).rposition(|w| w == b"\r\n\r\n").map_or(0, |start| start + 4);
    lf.max(crlf)
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let complete = self.partial.split_to(complete_events_len(&self.partial)).freeze();
        let mut ids =
            complete.split(|byte| *byte == b'\n').filter_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = ids.next_back().and_then(|id| std::str::from_utf8(id).ok()) {
            self.last_id = Some(id.trim().into());
        }
        complete
    }

    /// Id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether the bytes so far end inside an event.
    pub(crate) fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }
}
