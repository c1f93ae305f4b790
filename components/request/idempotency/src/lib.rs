//! Records of idempotency keys by key range.
//!
//! A [`KeyRange`] manages the records of one range on the instance that owns it. It grants a claim
//! only after its record is stored, and only a granted call may be dispatched, once. The records
//! form a log of [`Entry`] values in numbered segments, each stored as one object on the platform.
//! The reasons are in `docs/decisions/idempotency.md`.

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
