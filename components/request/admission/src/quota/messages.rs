//! Messages between an instance and the holder of its share.

use serde::{Deserialize, Serialize};

/// Hash of the name of a client account.
pub type AccountKey = u64;
/// Hash of the name of an instance.
pub type InstanceKey = u32;
/// Random number that an instance draws at each start.
pub type RunKey = u32;

/// Asks a holder for tokens and renews the pledge of a share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuotaRequest {
    /// Sender.
    pub from: InstanceKey,
    /// Run of the sender.
    pub run: RunKey,
    /// Grows with each new request of the run. A request that is repeated keeps its number and is
    /// answered as before.
    pub number: u32,
    /// Set if the sender's share is pledged to the receiver.
    pub pledge: Option<PledgeEcho>,
    /// What is asked for. The requests that wait come first.
    pub asks: Vec<QuotaAsk>,
}

/// The newest grant that the sender of a request had from the holder. The pledge counts from when
/// that grant was sent, so that a request that was held up does not extend it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PledgeEcho {
    /// Run of the holder.
    pub holder_run: RunKey,
    /// When the holder sent the grant, by its own clock.
    pub stamp: u64,
}

/// One wish of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaAsk {
    /// All tokens of a request that waits, within some milliseconds, or none.
    Request {
        /// Whose quota.
        account: AccountKey,
        /// Tokens of the request.
        cost: u64,
        /// Longest time that the request may wait for them, in milliseconds.
        wait_ms: u16,
    },
    /// Up to this many tokens for requests to come.
    Stock {
        /// Whose quota.
        account: AccountKey,
        /// Tokens.
        tokens: u64,
    },
}

/// Answers a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuotaGrant {
    /// Run of the receiver.
    pub to_run: RunKey,
    /// Number of the request.
    pub number: u32,
    /// Run of the holder.
    pub holder_run: RunKey,
    /// When the holder sent this, by its own clock, in microseconds.
    pub stamp: u64,
    /// One answer to each wish, in their order.
    pub answers: Vec<QuotaAnswer>,
}

/// Answer to one wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaAnswer {
    /// The request has its tokens in this many milliseconds.
    Granted {
        /// `0` if it has them now.
        wait_ms: u16,
    },
    /// The bucket does not have the tokens in time.
    Refused {
        /// Milliseconds until it has them; `None` if its part of the burst is too small.
        wait_ms: Option<u32>,
        /// Tokens in the bucket.
        level: u64,
    },
    /// Tokens for requests to come.
    Stock(u64),
    /// The holder's configuration has no quota for this account.
    Unknown,
}
