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

/// Tokens in stock and the recent use of one account at this instance.
#[derive(Debug, Default)]
pub(super) struct Stock {
    /// Tokens and when they are void.
    pub(super) lots: VecDeque<(Instant, u64)>,
    /// The refusal that requests of at least its cost repeat.
    pub(super) refused: Option<RefusedCost>,
    /// Requests and tokens since the use was last counted.
    pub(super) requests: u32,
    pub(super) tokens: u64,
}

impl Stock {
    pub(super) fn drop_void(&mut self, now: Instant) {
        self.lots.retain(|(void_at, _)| *void_at > now);
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
        let usable = self.lots.iter().filter(|(void_at, _)| *void_at > now);
        usable.map(|(_, tokens)| tokens).sum()
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
        let void_at = self.lots.iter().map(|(void_at, _)| *void_at).min()?;
        let mut missing = cost;
        while missing > 0 {
            let (_, tokens) = self.lots.front_mut()?;
            let taken = missing.min(*tokens);
            *tokens -= taken;
            missing -= taken;
            if *tokens == 0 {
                self.lots.pop_front();
            }
        }
        Some(void_at)
    }
}
