//! Buckets of a holder, filled from the shares that are pledged to it.

use types::prelude::*;

use super::messages::{
    AccountKey, InstanceKey, QuotaAnswer, QuotaAsk, QuotaGrant, QuotaRequest, RunKey,
};
use super::{MAX_RESERVATION, PLEDGE_MARGIN, PLEDGE_TERM, QuotaLimits};
use crate::token_bucket::TokenBucket;

/// Time without use after which a full bucket is dropped, and without a message after which an
/// instance is.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Number of changes of the pledged shares that are kept for buckets without recent use.
const MAX_CHANGES: usize = 64;
/// No stock is granted below this part of the burst.
const STOCK_RESERVE: u64 = 4;

/// An instance that sent a request.
#[derive(Debug)]
struct Asker {
    run: RunKey,
    /// Answer to its newest request.
    grant: QuotaGrant,
    heard_at: Instant,
    /// Until when its share is pledged to this holder; `None` if it is not counted.
    counted_until: Option<Instant>,
}

/// Shares pledged to this holder, from a point of time on.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Instant,
    counted: usize,
    instances: usize,
}

#[derive(Debug)]
struct PoolBucket {
    bucket: TokenBucket,
    limits: QuotaLimits,
    used_at: Instant,
}

/// What a holder hands out of the quotas. It starts empty.
#[derive(Debug)]
pub struct QuotaPool {
    run: RunKey,
    started_at: Instant,
    askers: HashMap<InstanceKey, Asker>,
    /// Never empty; the last one is in force.
    changes: VecDeque<Change>,
    /// Accounts with recent use. A dropped bucket was full, and is built again from `changes`.
    buckets: HashMap<AccountKey, PoolBucket>,
    clean_up_at: Instant,
}

impl QuotaPool {
    /// Creates the pool of one run of an instance.
    pub fn new(run: RunKey, now: Instant) -> Self {
        Self {
            run,
            started_at: now,
            askers: HashMap::new(),
            changes: VecDeque::from([Change { at: now, counted: 0, instances: 0 }]),
            buckets: HashMap::new(),
            clean_up_at: now + IDLE_TIME,
        }
    }

    /// Number of shares that are pledged to this holder.
    pub fn counted_shares(&self) -> usize {
        self.in_force().counted
    }

    /// Number of accounts with a bucket.
    pub fn tracked_accounts(&self) -> usize {
        self.buckets.len()
    }

    /// Answers a request. `limits` are the quotas of the newest configuration, and `instances` is
    /// the number of registered instances, `0` if it is not known. Returns `None` if a newer request was answered already.
    pub fn handle(
        &mut self,
        req: &QuotaRequest,
        limits: impl Fn(AccountKey) -> Option<QuotaLimits>,
        instances: usize,
        now: Instant,
    ) -> Option<QuotaGrant> {
        self.expire(now);
        self.set_shares(self.in_force().counted, instances, now);
        if let Some(asker) = self.askers.get_mut(&req.from).filter(|asker| asker.run == req.run) {
            if req.number < asker.grant.number {
                return None;
            }
            if req.number == asker.grant.number {
                return Some(asker.grant.clone());
            }
        }
        self.count_pledge(req, now);
        let answers = req.asks.iter().map(|ask| self.answer(ask, &limits, now)).collect();
        let grant = QuotaGrant {
            to_run: req.run,
            number: req.number,
            holder_run: self.run,
            stamp: now.saturating_duration_since(self.started_at).as_micros() as u64,
            answers,
        };
        if let Some(asker) = self.askers.get_mut(&req.from) {
            asker.run = req.run;
            asker.heard_at = now;
            asker.grant = grant.clone();
        } else {
            let grant = grant.clone();
            let asker = Asker { run: req.run, grant, heard_at: now, counted_until: None };
            self.askers.insert(req.from, asker);
        }
        Some(grant)
    }

    fn in_force(&self) -> Change {
        self.changes[self.changes.len() - 1]
    }

    /// Counts the sender's share from now on until its pledge ends.
    fn count_pledge(&mut self, req: &QuotaRequest, now: Instant) {
        let Some(echo) = req.pledge.filter(|echo| echo.holder_run == self.run) else { return };
        let sent_at = self.started_at + Duration::from_micros(echo.stamp);
        let until = sent_at + PLEDGE_TERM - PLEDGE_MARGIN;
        // A sender that is not known yet cannot have had a grant of this run.
        let Some(asker) = self.askers.get_mut(&req.from) else { return };
        if until <= now {
            return;
        }
        let former = asker.counted_until.replace(until);
        if former.is_none() {
            let Change { counted, instances, .. } = self.in_force();
            self.set_shares(counted + 1, instances, now);
        }
    }

    /// Stops counting shares whose pledge has ended: all of them from when the first one ended, so
    /// that one pass over the buckets is enough.
    fn expire(&mut self, now: Instant) {
        let mut expired = 0;
        let mut first = now;
        for asker in self.askers.values_mut() {
            if let Some(until) = asker.counted_until.filter(|until| *until <= now) {
                asker.counted_until = None;
                expired += 1;
                first = first.min(until);
            }
        }
        if expired > 0 {
            let Change { counted, instances, .. } = self.in_force();
            self.set_shares(counted - expired, instances, first);
        }
        if now >= self.clean_up_at {
            self.clean_up_at = now + IDLE_TIME;
            let is_idle = |at: Instant| now.saturating_duration_since(at) >= IDLE_TIME;
            self.buckets.retain(|_, b| !is_idle(b.used_at) || !b.bucket.is_full(now));
            self.askers.retain(|_, a| a.counted_until.is_some() || !is_idle(a.heard_at));
        }
    }

    fn set_shares(&mut self, counted: usize, instances: usize, at: Instant) {
        let last = self.in_force();
        if (counted, instances) == (last.counted, last.instances) {
            return;
        }
        self.changes.push_back(Change { at, counted, instances });
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        for entry in self.buckets.values_mut() {
            entry.bucket.set_limits(entry.limits.part(counted, instances), at);
        }
    }

    /// The bucket of an account as the configuration in force has it.
    fn bucket(
        &mut self,
        account: AccountKey,
        limits: QuotaLimits,
        now: Instant,
    ) -> &mut PoolBucket {
        let changes = &self.changes;
        let entry = self.buckets.entry(account).or_insert_with(|| {
            let part = |change: &Change| limits.part(change.counted, change.instances);
            let mut bucket = TokenBucket::empty(part(&changes[0]), changes[0].at);
            for change in changes.iter().skip(1) {
                bucket.set_limits(part(change), change.at);
            }
            PoolBucket { bucket, limits, used_at: now }
        });
        entry.used_at = now;
        if entry.limits != limits {
            let Change { counted, instances, .. } = changes[changes.len() - 1];
            entry.limits = limits;
            entry.bucket.set_limits(limits.part(counted, instances), now);
        }
        entry
    }

    fn answer(
        &mut self,
        ask: &QuotaAsk,
        limits: impl Fn(AccountKey) -> Option<QuotaLimits>,
        now: Instant,
    ) -> QuotaAnswer {
        let (QuotaAsk::Request { account, .. } | QuotaAsk::Stock { account, .. }) = *ask;
        let Some(limits) = limits(account) else { return QuotaAnswer::Unknown };
        let millis_until = |at: Instant| {
            at.saturating_duration_since(now).as_micros().div_ceil(1_000).min(u32::MAX.into())
                as u32
        };
        let bucket = &mut self.bucket(account, limits, now).bucket;
        match *ask {
            QuotaAsk::Request { cost, wait_ms, .. } => {
                let wait = Duration::from_millis(wait_ms.into()).min(MAX_RESERVATION);
                match bucket.reserve(cost, now + wait, now) {
                    Ok(ready_at) => QuotaAnswer::Granted { wait_ms: millis_until(ready_at) as u16 },
                    Err(at) => QuotaAnswer::Refused {
                        wait_ms: at.map(millis_until),
                        level: bucket.level(now),
                    },
                }
            }
            QuotaAsk::Stock { tokens, .. } => {
                let reserve = limits.burst / STOCK_RESERVE;
                let tokens = tokens.min(bucket.level(now).saturating_sub(reserve));
                let is_taken = tokens > 0 && bucket.try_take(tokens, now).is_ok();
                QuotaAnswer::Stock(if is_taken { tokens } else { 0 })
            }
        }
    }
}
