//! Records of idempotency keys by key range.
//!
//! [`KeyRange`] holds one range on its owner. A claim is granted only after the record is stored,
//! and only a granted call may be dispatched.

mod key;
mod range;
mod record;

pub use key::{Fingerprint, KEY_RANGES, KeyHash, range_of};
pub use range::{
    Action, Claim, ClaimReply, Condition, Decision, KeyRange, Token, Write, WriteResult,
};
pub use record::{Answer, Entry, EntryState, MAX_ANSWER_BYTES, Segment, segment_name};
