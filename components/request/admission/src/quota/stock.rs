//! Tokens that an instance has in stock for one account.

use types::prelude::*;

/// A refusal of the holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefusedCost {
    pub(super) cost: u64,
    /// When the bucket of the holder has these tokens.
    pub(super) retry_at: Instant,
    /// Until when it is repeated without asking the holder.
    pub(super) until: Instant,
}

/// Tokens of one grant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lot {
    /// They may be used from then on.
    pub(super) ready_at: Instant,
    pub(super) void_at: Instant,
    pub(super) tokens: u64,
}

impl Lot {
    fn is_usable(&self, now: Instant) -> bool {
        self.ready_at <= now && now < self.void_at
    }
}

/// Tokens in stock and the recent use of one account at this instance.
#[derive(Debug, Default)]
pub(super) struct Stock {
    pub(super) lots: Vec<Lot>,
    /// The refusal that requests of at least its cost repeat.
    pub(super) refused: Option<RefusedCost>,
    /// Requests and tokens since the use was last counted.
    pub(super) requests: u32,
    pub(super) tokens: u64,
}

impl Stock {
    pub(super) fn drop_void(&mut self, now: Instant) {
        self.lots.retain(|lot| lot.void_at > now && lot.tokens > 0);
        self.refused = self.refused.filter(|refused| refused.until > now);
    }

    /// Records a refusal, unless a cheaper request was refused just before.
    pub(super) fn record_refusal(&mut self, refused: RefusedCost, now: Instant) {
        let is_cheaper = |known: RefusedCost| known.until > now && known.cost < refused.cost;
        if !self.refused.is_some_and(is_cheaper) {
            self.refused = Some(refused);
        }
    }

    pub(super) fn level(&self, now: Instant) -> u64 {
        self.lots.iter().filter(|lot| lot.is_usable(now)).map(|lot| lot.tokens).sum()
    }

    pub(super) fn record_use(&mut self, cost: u64) {
        self.requests += 1;
        self.tokens += cost;
    }

    /// Takes the tokens of a request, and returns when the first of them would have been void.
    pub(super) fn take(&mut self, cost: u64, now: Instant) -> Option<Instant> {
        self.drop_void(now);
        if self.lots.is_empty() || self.level(now) < cost {
            return None;
        }
        let usable = || self.lots.iter().filter(|lot| lot.is_usable(now));
        let void_at = usable().map(|lot| lot.void_at).min()?;
        let mut missing = cost;
        for lot in self.lots.iter_mut().filter(|lot| lot.is_usable(now)) {
            let taken = missing.min(lot.tokens);
            lot.tokens -= taken;
            missing -= taken;
        }
        Some(void_at)
    }
}
