//! Watches.

use std::marker::PhantomData;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout_at;
use types::prelude::*;

use crate::Error;

/// Longest line: a value of 1 MB and what stands around it.
const MAX_LINE_BYTES: usize = (1 << 20) + 4_096;

/// One change of an object.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Change<T> {
    /// Global version of the change, which is also the object's new version.
    pub version: ObjectVersion,
    /// Name of the object.
    pub name: Box<str>,
    /// New value; `None` if the object was deleted.
    pub value: Option<T>,
}

/// Changes of the objects of one kind, in order.
#[derive(Debug)]
pub struct Watch<T> {
    body: Incoming,
    deadline: Instant,
    buf: Vec<u8>,
    /// Bytes of `buf` that hold no line end.
    searched: usize,
    values: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> Watch<T> {
    pub(crate) fn new(body: Incoming, deadline: Instant) -> Self {
        Self { body, deadline, buf: Vec::new(), searched: 0, values: PhantomData }
    }

    /// Waits for the next change; `None` once the deadline of the watch has passed. After either
    /// `None` or an error, watch again from the version of the last change.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or a line cannot be read.
    pub async fn next(&mut self) -> Result<Option<Change<T>>, Error> {
        loop {
            if let Some(line) = self.take_line()? {
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

    fn take_line(&mut self) -> Result<Option<Vec<u8>>, Error> {
        let found = self.buf[self.searched..].iter().position(|byte| *byte == b'\n');
        match found {
            Some(position) => {
                let rest = self.buf.split_off(self.searched + position + 1);
                self.searched = 0;
                Ok(Some(std::mem::replace(&mut self.buf, rest)))
            }
            None if self.buf.len() > MAX_LINE_BYTES => Err(Error::Malformed("long line".into())),
            None => {
                self.searched = self.buf.len();
                Ok(None)
            }
        }
    }
}
