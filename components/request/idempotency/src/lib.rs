//! Records of idempotency keys by key range.
//!
//! [`KeyRange`] holds one range on its owner. A claim is granted only after the record is stored,
//! and only a granted call may be dispatched, once. The records are a log of [`Entry`] values in
//! numbered segments, each one object of the platform; `docs/decisions/idempotency.md` says why.

mod api;
mod key;
mod log;
mod pending;
mod range;
mod record;
mod state;
mod table;

pub use api::{Action, Claim, ClaimReply, Condition, Decision, Token, Write, WriteResult};
pub use key::{Fingerprint, KEY_RANGES, KeyHash, range_of};
pub use log::{MAX_SEGMENT_BYTES, SEGMENT_TARGET_BYTES};
pub use range::{KeyRange, MAX_RANGE_BYTES, PLATFORM_BACKOFF, RETENTION, WRITE_INTERVAL};
pub use record::{Answer, ClaimId, Entry, EntryState, MAX_ENTRY_BYTES, Segment, segment_name};
