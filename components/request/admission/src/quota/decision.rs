//! What happens to a request of an account with a quota.

use types::prelude::*;

use super::messages::{AccountKey, InstanceKey};

/// Identifies a request that waits for tokens.
pub type Ticket = u64;

/// Tokens that one request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaUse {
    /// Whose quota.
    pub account: AccountKey,
    /// Tokens.
    pub cost: u64,
    /// The tokens may be used from then on.
    pub ready_at: Instant,
    /// When tokens that were not used are void.
    pub void_at: Instant,
}

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It has its tokens.
    Admitted(QuotaUse),
    /// The holder has to be asked.
    Ask,
    /// The quota is used up.
    Refused {
        /// When the tokens will be there; `None` if they never will.
        retry_at: Option<Instant>,
    },
}

/// Answer of a holder to a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// It has its tokens, from `ready_at` on.
    Granted(QuotaUse),
    /// The quota is used up.
    Refused {
        /// When the tokens will be there; `None` if they never will.
        retry_at: Option<Instant>,
        /// Tokens in the holder's bucket.
        level: u64,
    },
}

/// Who counts the share of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareState {
    /// An instance to which it is pledged.
    Pledged(InstanceKey),
    /// An earlier run may have pledged it.
    Blocked,
    /// The instance itself.
    Standing,
}
