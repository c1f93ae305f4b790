//! Finds the end of each call in the bytes of a connection that is passed on.

#[cfg(test)]
mod tests;

/// Longest head of a call, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Most fields of a head.
const MAX_FIELDS: usize = 64;
/// Ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// How much of the last call has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Its head is incomplete.
    Head,
    /// Its head is complete, its body is not.
    Body,
    /// All of it.
    Complete,
}

/// Reads the calls of a connection. A call whose end cannot be found stays incomplete, like the ones
/// after it: instances send short heads and state the length of each body.
#[derive(Debug)]
pub(super) enum CallReader {
    /// Bytes of an incomplete head, at most [`MAX_HEAD_BYTES`].
    Head(Vec<u8>),
    /// Number of bytes of the body that are still to come; at least one.
    Body(u64),
    /// A head that cannot be read.
    UnknownHead,
    /// A body of unknown length.
    UnknownBody,
}

impl Default for CallReader {
    fn default() -> Self {
        Self::Head(Vec::new())
    }
}

/// Finds out what follows a complete head.
fn after_head(head: &[u8]) -> CallReader {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    if httparse::Request::new(&mut fields).parse(head).is_err() {
        return CallReader::UnknownHead;
    }
    let value = |name: &str| {
        fields.iter().find(|field| field.name.eq_ignore_ascii_case(name)).map(|field| field.value)
    };
    if value("transfer-encoding").is_some() {
        return CallReader::UnknownBody;
    }
    let len = match value("content-length") {
        Some(len) => std::str::from_utf8(len).ok().and_then(|len| len.trim().parse().ok()),
        None => Some(0),
    };
    match len {
        Some(0) => CallReader::default(),
        Some(len) => CallReader::Body(len),
        None => CallReader::UnknownBody,
    }
}

impl CallReader {
    /// Reads the next bytes, at least one.
    pub(super) fn read(&mut self, mut bytes: &[u8]) -> Progress {
        let mut progress = Progress::Head;
        while !bytes.is_empty() {
            (progress, bytes) = self.step(bytes);
        }
        progress
    }

    /// Reads the bytes of one head or body, and returns the rest.
    fn step<'a>(&mut self, bytes: &'a [u8]) -> (Progress, &'a [u8]) {
        match self {
            Self::UnknownHead => (Progress::Head, &[]),
            Self::UnknownBody => (Progress::Body, &[]),
            Self::Body(left) => {
                let len = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                *left -= len as u64;
                if *left > 0 {
                    return (Progress::Body, &[]);
                }
                *self = Self::default();
                (Progress::Complete, &bytes[len..])
            }
            Self::Head(head) => {
                let before = head.len();
                head.extend_from_slice(&bytes[..bytes.len().min(MAX_HEAD_BYTES - before)]);
                let searched = before.saturating_sub(HEAD_END.len() - 1);
                let end = head[searched..].windows(HEAD_END.len()).position(|w| w == HEAD_END);
                let Some(end) = end.map(|start| searched + start + HEAD_END.len()) else {
                    if head.len() == MAX_HEAD_BYTES {
                        *self = Self::UnknownHead;
                    }
                    return (Progress::Head, &[]);
                };
                let next = after_head(&head[..end]);
                let progress = match &next {
                    Self::Head(_) => Progress::Complete,
                    Self::Body(_) | Self::UnknownBody => Progress::Body,
                    Self::UnknownHead => Progress::Head,
                };
                *self = next;
                (progress, &bytes[end - before..])
            }
        }
    }
}
