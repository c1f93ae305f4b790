//! Shares of limits that hold over all data centres.
//!
//! A limit is thought of as the span from 0 to [`WHOLE`]. Data centres, and instances within one,
//! hold disjoint parts of the span; unit `k` of a limit of `n` belongs to whoever holds the point
//! `k * WHOLE / n`. The units of all holders therefore never exceed the limit, whatever its value,
//! and a changed limit needs no change of shares.

mod grantee;
mod hand_over;
mod holder;
mod mover;
mod parts;
mod standing;
mod wants;

pub use grantee::Grantee;
pub use hand_over::{HolderState, PartsInUse};
pub use holder::{
    GRANT_MARGIN, GRANT_TERM, Holder, OUTAGE_TERM, RENEW_INTERVAL, ShareGrant, ShareRequest,
};
pub use mover::{KEEP_TIME, MAX_ASKED, MIN_PART, MoveAction, Mover, UNMET_TIME};
pub use parts::{Parts, WHOLE};
pub use standing::{Holding, StandingShare, Transfer};
