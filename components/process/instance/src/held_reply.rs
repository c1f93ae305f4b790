//! Holds back the reply of a recorded call until the owner of its key range knows the outcome.
//!
//! A caller that retries a call right after the reply may reach another instance. Without the hold,
//! the retry can arrive at the owner before the outcome of the first call, and is refused although
//! the answer is known.

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use idempotency::{Answer, EntryState};
use types::prelude::*;

use crate::pending::ReplySlot;

/// Maximum time that a reply is held back. The message to the owner takes a round trip of some
/// milliseconds; if the owner is unreachable, the caller gets its reply nevertheless.
const MAX_HOLD: Duration = Duration::from_millis(250);

/// Outcome of a call, which is sent to the caller.
pub(crate) enum CallOutcome {
    /// The complete answer.
    Answer { status: StatusCode, content_type: Box<str>, body: Bytes },
    /// A refusal.
    Refusal { refusal: Refusal, detail: Box<str> },
}

impl CallOutcome {
    /// Returns the state to record under the call's key. After a server error it is unknown whether
    /// the call ran.
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

/// A reply that is sent to the caller later.
pub(crate) struct HeldReply {
    slot: ReplySlot,
    outcome: CallOutcome,
    /// Latest time to send the reply; never after the call's deadline.
    send_by: Instant,
}

impl HeldReply {
    /// Holds a reply back, at most until the call's deadline.
    pub(crate) fn new(
        slot: ReplySlot,
        outcome: CallOutcome,
        deadline: Instant,
        now: Instant,
    ) -> Self {
        Self { slot, outcome, send_by: deadline.min(now + MAX_HOLD) }
    }

    /// Sends the reply to the caller.
    pub(crate) fn send(self) {
        match self.outcome {
            CallOutcome::Answer { status, content_type, body } => {
                self.slot.answer(status, &content_type, body);
            }
            CallOutcome::Refusal { refusal, detail } => self.slot.refuse(refusal, detail),
        }
    }

    /// Sends the reply once `notify_owner` completes, or at `send_by` if that is earlier. Returns
    /// the output of `notify_owner`.
    pub(crate) async fn send_after<T>(
        held: Option<Self>,
        notify_owner: impl Future<Output = T>,
    ) -> T {
        let Some(held) = held else { return notify_owner.await };
        let mut notify_owner = std::pin::pin!(notify_owner);
        match tokio::time::timeout_at(held.send_by.into(), notify_owner.as_mut()).await {
            Ok(output) => {
                held.send();
                output
            }
            Err(_) => {
                held.send();
                notify_owner.await
            }
        }
    }
}
