//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

#[cfg(test)]
mod tests;

/// Keeps the beginning of an event until the rest arrives, so that a stream that breaks off can
/// be continued after the last whole event.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<Box<str>>,
}

fn end_of_events(buf: &[u8]) -> usize {
    let lf = buf.windows(2).rposition(|w| w == b"\n\n").map_or(0, |at| at + 2);
    let crlf = buf.windows(4).rposition(|w| w == b"\r\n\r\n").map_or(0, |at| at + 4);
    lf.max(crlf)
}

impl EventSplitter {
    /// Adds bytes and returns the whole events that are now complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let whole = self.partial.split_to(end_of_events(&self.partial)).freeze();
        let mut ids =
            whole.split(|byte| *byte == b'\n').filter_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = ids.next_back().and_then(|id| std::str::from_utf8(id).ok()) {
            self.last_id = Some(id.trim().into());
        }
        whole
    }

    /// Id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether an event has begun and not ended.
    pub(crate) fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }
}
