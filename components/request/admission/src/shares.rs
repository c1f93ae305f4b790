//! Division of limits that apply across all data centres.
//!
//! A limit is modelled as the span from 0 to [`SPAN_LENGTH`]. Each data centre holds a part of the
//! span, and grants sub-parts of it to its instances; the parts are disjoint. Unit `k` of a limit
//! of `n` units belongs to whoever holds the point `k * SPAN_LENGTH / n`. Together the units
//! therefore never exceed the limit, whatever its value, and a change of the limit needs no change
//! of shares.

mod data_centre_share;
mod grantee;
mod hand_over;
mod holder;
mod interval_set;
mod rebalancer;
mod requested_totals;

pub use data_centre_share::{DataCentreShare, Holding, Transfer};
pub use grantee::Grantee;
pub use hand_over::{HolderState, PartsInUse};
pub use holder::{
    GRANT_MARGIN, GRANT_TERM, Holder, OUTAGE_GRANT_TERM, RENEW_INTERVAL, ShareGrant, ShareRequest,
};
pub use interval_set::{IntervalSet, SPAN_LENGTH};
pub use rebalancer::{
    MAX_ACCOUNTS_PER_REQUEST, MIN_TRANSFER_LENGTH, MIN_UNMET_TIME, RETENTION_TIME, RebalanceAction,
    Rebalancer,
};
