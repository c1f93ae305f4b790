//! Tokens of the accounts at one instance: the stock from grants, the recent use, and the buckets of
//! the instance's own share.

use types::prelude::*;

use super::decision::QuotaUse;
use super::messages::{AccountKey, QuotaAsk};
use super::stock::{Lot, RefusedCost, Stock};
use super::{QuotaLimits, TOKEN_LIFE};
use crate::token_bucket::TokenBucket;

/// Interval over which the recent use of an account is counted.
const USE_INTERVAL: Duration = Duration::from_millis(400);
/// Requests of an account in [`USE_INTERVAL`] from which on a stock of tokens is asked for.
const MIN_STOCK_REQUESTS: u32 = 4;

/// Tokens of the accounts with recent use.
#[derive(Debug)]
pub(super) struct AccountTokens {
    stocks: HashMap<AccountKey, Stock>,
    /// Stock that the accounts with many requests need until the next renewal.
    wanted: Vec<(AccountKey, u64)>,
    count_use_at: Instant,
    /// Buckets of the share while it is not pledged. They were empty when that began.
    standing: HashMap<AccountKey, TokenBucket>,
}

impl AccountTokens {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            stocks: HashMap::new(),
            wanted: Vec::new(),
            count_use_at: now + USE_INTERVAL,
            standing: HashMap::new(),
        }
    }

    pub(super) fn count(&self) -> usize {
        self.stocks.len()
    }

    pub(super) fn level(&self, account: AccountKey, now: Instant) -> u64 {
        self.stocks.get(&account).map_or(0, |stock| stock.level(now))
    }

    /// Takes the tokens of a request from the stock.
    pub(super) fn take(
        &mut self,
        account: AccountKey,
        cost: u64,
        now: Instant,
    ) -> Option<QuotaUse> {
        let stock = self.stocks.entry(account).or_default();
        let void_at = stock.take(cost, now)?;
        stock.record_use(cost);
        Some(QuotaUse { account, cost, ready_at: now, void_at })
    }

    /// The refusal of the holder that a request of this cost repeats.
    pub(super) fn refusal(&self, account: AccountKey, cost: u64) -> Option<RefusedCost> {
        self.stocks.get(&account)?.refused.filter(|refused| cost >= refused.cost)
    }

    pub(super) fn record_refusal(
        &mut self,
        account: AccountKey,
        refused: RefusedCost,
        now: Instant,
    ) {
        self.stocks.entry(account).or_default().record_refusal(refused, now);
    }

    pub(super) fn record_use(&mut self, account: AccountKey, cost: u64) {
        self.stocks.entry(account).or_default().record_use(cost);
    }

    /// Puts tokens into the stock, until they are void.
    pub(super) fn put(&mut self, used: QuotaUse, now: Instant) {
        let QuotaUse { account, cost: tokens, ready_at, void_at } = used;
        if void_at > now {
            self.stocks.entry(account).or_default().lots.push(Lot { ready_at, void_at, tokens });
        }
    }

    /// Takes the tokens of a request from the share of the instance, which is free since `since`.
    pub(super) fn take_standing(
        &mut self,
        account: AccountKey,
        part: QuotaLimits,
        cost: u64,
        since: Instant,
        now: Instant,
        instances: usize,
    ) -> Result<QuotaUse, Option<Instant>> {
        let part = part.part(1, instances);
        let bucket =
            self.standing.entry(account).or_insert_with(|| TokenBucket::empty(part, since));
        bucket.set_limits(part, now);
        bucket.try_take(cost, now)?;
        Ok(QuotaUse { account, cost, ready_at: now, void_at: now + TOKEN_LIFE })
    }

    /// Forgets the buckets of the share, which is pledged.
    pub(super) fn end_standing(&mut self) {
        self.standing.clear();
    }

    /// What to ask for besides the requests that wait; at most `most` wishes.
    pub(super) fn stock_asks(&self, most: usize, now: Instant) -> Vec<QuotaAsk> {
        let asks = self.wanted.iter().take(most).filter_map(|(account, wanted)| {
            let tokens = wanted.saturating_sub(self.level(*account, now));
            (tokens > wanted / 2).then_some(QuotaAsk::Stock { account: *account, tokens })
        });
        asks.collect()
    }

    /// Counts the recent use of the accounts and drops those without any.
    pub(super) fn count_use(&mut self, now: Instant) {
        if now < self.count_use_at {
            return;
        }
        self.count_use_at = now + USE_INTERVAL;
        self.wanted.clear();
        for (account, stock) in &mut self.stocks {
            if stock.requests >= MIN_STOCK_REQUESTS {
                self.wanted.push((*account, stock.tokens / 2));
            }
        }
        self.stocks.retain(|_, stock| {
            stock.drop_void(now);
            let is_used = stock.requests > 0;
            (stock.requests, stock.tokens) = (0, 0);
            is_used || !stock.lots.is_empty() || stock.refused.is_some()
        });
    }
}
