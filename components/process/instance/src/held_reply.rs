//! The end of a recorded call, held back until the owner of its key range knows of it.
//!
//! A caller that repeats a call right after its answer may reach another instance. Without the hold
//! the repeat can arrive at the owner before the end of the first call, and is refused although the
//! answer is known.

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use idempotency::{Answer, EntryState};
use types::prelude::*;

use crate::pending::ReplySlot;

/// Longest time that an end is held. The message to the owner takes a round trip of some
/// milliseconds; if the owner is away, the caller gets its answer all the same.
const MAX_HOLD: Duration = Duration::from_millis(250);

/// What the caller is told.
pub(crate) enum End {
    /// The whole answer.
    Answer { status: StatusCode, content_type: Box<str>, body: Bytes },
    /// A refusal.
    Refusal { refusal: Refusal, detail: Box<str> },
}

impl End {
    /// What is recorded under the call's key. After a server error nobody knows whether it ran.
    pub(crate) fn entry_state(&self) -> EntryState {
        match self {
            Self::Answer { status, .. } if status.is_server_error() => EntryState::Unknown,
            Self::Answer { status, content_type, body } => match std::str::from_utf8(body) {
                Ok(body) => EntryState::Finished(Arc::new(Answer {
                    status: status.as_u16(),
                    content_type: content_type.clone(),
                    body: body.into(),
                })),
                Err(_) => EntryState::Unknown,
            },
            Self::Refusal { refusal, .. } => match refusal.verdict {
                Verdict::NotRun => EntryState::Released,
                Verdict::MayHaveRun => EntryState::Unknown,
            },
        }
    }
}

/// The end of a call that goes to the caller later.
pub(crate) struct HeldReply {
    slot: ReplySlot,
    end: End,
    /// Never after the call's own deadline.
    until: Instant,
}

impl HeldReply {
    /// Holds an end back, at most until the call's deadline.
    pub(crate) fn new(slot: ReplySlot, end: End, deadline: Instant, now: Instant) -> Self {
        Self { slot, end, until: deadline.min(now + MAX_HOLD) }
    }

    /// Tells the caller.
    pub(crate) fn send(self) {
        match self.end {
            End::Answer { status, content_type, body } => {
                self.slot.answer(status, &content_type, body);
            }
            End::Refusal { refusal, detail } => self.slot.refuse(refusal, detail),
        }
    }

    /// Tells the caller once `is_told` ends, or when the time is over. Returns the output of
    /// `is_told`.
    pub(crate) async fn send_after<T>(held: Option<Self>, is_told: impl Future<Output = T>) -> T {
        let Some(held) = held else { return is_told.await };
        let mut is_told = std::pin::pin!(is_told);
        match tokio::time::timeout_at(held.until.into(), is_told.as_mut()).await {
            Ok(output) => {
                held.send();
                output
            }
            Err(_) => {
                held.send();
                is_told.await
            }
        }
    }
}
