//! Watches, which stream the changes of objects.

use std::marker::PhantomData;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout_at;
use types::prelude::*;

use crate::Error;

/// Longest line of the stream: a value of 1 MB and the fields around it.
const MAX_LINE_BYTES: usize = (1 << 20) + 4_096;

/// One change of an object, as sent by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Change<T> {
    /// Global version of the change, which is also the object's new version.
    pub version: ObjectVersion,
    /// Name of the object.
    pub name: Box<str>,
    /// New value; `None` if the change deleted the object.
    pub value: Option<T>,
}

/// Stream of the changes of objects of one kind, in order.
#[derive(Debug)]
pub struct Watch<T> {
    body: Incoming,
    deadline: Instant,
    buf: Vec<u8>,
    /// Number of bytes at the start of `buf` that are known to contain no line end.
    scanned: usize,
    values: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> Watch<T> {
    pub(crate) fn new(body: Incoming, deadline: Instant) -> Self {
        Self { body, deadline, buf: Vec::new(), scanned: 0, values: PhantomData }
    }

    /// Waits for the next change. Returns `None` once the deadline of the watch has passed. After
    /// `None` or an error, the caller starts a new watch from the version of the last change.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or a line cannot be decoded.
    pub async fn next(&mut self) -> Result<Option<Change<T>>, Error> {
        loop {
            if let Some(line) = self.next_line()? {
                let change = serde_json::from_slice(&line);
                return change.map(Some).map_err(|e| Error::Malformed(e.to_string().into()));
            }
            match timeout_at(self.deadline.into(), self.body.frame()).await {
                Err(_) => return Ok(None),
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        self.buf.extend_from_slice(data);
                    }
                }
                Ok(Some(Err(_)) | None) => return Err(Error::Unavailable),
            }
        }
    }

    fn next_line(&mut self) -> Result<Option<Vec<u8>>, Error> {
        let found = self.buf[self.scanned..].iter().position(|byte| *byte == b'\n');
        match found {
            Some(position) => {
                let rest = self.buf.split_off(self.scanned + position + 1);
                self.scanned = 0;
                Ok(Some(std::mem::replace(&mut self.buf, rest)))
            }
            None if self.buf.len() > MAX_LINE_BYTES => {
                Err(Error::Malformed("line too long".into()))
            }
            None => {
                self.scanned = self.buf.len();
                Ok(None)
            }
        }
    }
}
