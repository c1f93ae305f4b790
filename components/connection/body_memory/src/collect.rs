//! Collects a body until its end.

use std::fmt::Display;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use quick_error::quick_error;

use crate::{BodyBuffer, BodyMemory, OutOfMemory};

quick_error! {
    /// Why a body was not collected.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CollectError {
        /// It is longer than allowed.
        TooLong {
            display("the body is too long")
        }
        /// The other bodies in the process leave no room for it.
        OutOfMemory {
            from(OutOfMemory)
            display("the memory for message bodies is in use")
        }
        /// It ended early.
        Broken(reason: Box<str>) {
            display("the body broke off: {reason}")
        }
    }
}

/// Collects a body of at most `max_bytes`, without its trailers.
///
/// # Errors
///
/// Fails if the body is too long, breaks off, or finds no room in `memory`.
pub async fn collect<B>(
    body: B,
    max_bytes: usize,
    memory: &BodyMemory,
) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes, Error: Display>,
{
    collect_waiting(body, max_bytes, memory, async || false).await
}

/// Collects a body like [`collect`]. If it finds no room in `memory`, calls `wait` and tries again if
/// that returns true.
///
/// # Errors
///
/// Fails if the body is too long, breaks off, or finds no room and may not wait any longer.
pub async fn collect_waiting<B>(
    body: B,
    max_bytes: usize,
    memory: &BodyMemory,
    mut wait: impl AsyncFnMut() -> bool,
) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes, Error: Display>,
{
    let size = body.size_hint();
    if size.lower() > max_bytes as u64 {
        return Err(CollectError::TooLong);
    }
    let expected = size.upper().map_or(max_bytes, |upper| upper.min(max_bytes as u64) as usize);
    let mut buffer = BodyBuffer::new(memory);
    let mut body = std::pin::pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CollectError::Broken(error.to_string().into()))?;
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > max_bytes {
            return Err(CollectError::TooLong);
        }
        while let Err(error) = buffer.extend(&data, expected) {
            if !wait().await {
                return Err(error.into());
            }
        }
    }
    Ok(buffer.into_bytes())
}
