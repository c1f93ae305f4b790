//! The quotas at one instance: decides about requests, and asks the holder of its share for tokens.

use types::prelude::*;

use super::account_tokens::AccountTokens;
use super::decision::{QuotaDecision, QuotaUse, QuotaVerdict, ShareState, Ticket};
use super::messages::{
    AccountKey, InstanceKey, PledgeEcho, QuotaAnswer, QuotaAsk, QuotaGrant, QuotaRequest, RunKey,
};
use super::pledge::{RENEW_INTERVAL, SharePledge};
use super::stock::RefusedCost;
use super::{MAX_RESERVATION, PLEDGE_TERM, QuotaLimits, TOKEN_LIFE};

/// Time until an unanswered request is repeated for the first time; it doubles with each one.
const FIRST_REPEAT: Duration = Duration::from_millis(25);
/// Time without an answer, and without another message, after which a holder counts as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without an answer after which a holder counts as failed although other messages of it arrive.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time for which a refusal of the holder is repeated without asking it again.
const MAX_REFUSAL_REUSE: Duration = Duration::from_millis(250);
/// Pause before a holder is asked again that does not know the account: its configuration may be older
/// than that of this instance.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(40);
/// Most wishes in one request.
const MAX_ASKS: usize = 512;
/// `Retry-After` of requests that no holder answered, or whose holder has too few shares: the next
/// one then has them.
const UNANSWERED_RETRY: Duration = PLEDGE_TERM;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    account: AccountKey,
    cost: u64,
    /// When the request gives up.
    latest: Instant,
    /// Not before is the holder asked again; `None` if it may be asked at once.
    ask_at: Option<Instant>,
}

/// A request to a holder without an answer.
#[derive(Debug)]
struct Unanswered {
    to: InstanceKey,
    req: QuotaRequest,
    /// Requests that wait for the answer, in the order of the wishes. Those that gave up stay.
    waiting: Vec<Waiting>,
    sent_at: Instant,
    /// When the receiver counts as failed.
    fail_at: Instant,
    repeat_at: Instant,
    repeat_after: Duration,
}

/// State of the quotas at one instance.
#[derive(Debug)]
pub struct QuotaShare {
    key: InstanceKey,
    run: RunKey,
    /// Number of registered instances, this one included; `0` if it is not known.
    instances: usize,
    pledge: SharePledge,
    tokens: AccountTokens,
    last_number: u32,
    last_sent_at: Option<Instant>,
    last_ticket: Ticket,
    waiting: VecDeque<Waiting>,
    unanswered: Option<Unanswered>,
}

impl QuotaShare {
    /// Creates the state of one run of an instance that starts now.
    pub fn new(key: InstanceKey, run: RunKey, now: Instant) -> Self {
        Self {
            key,
            run,
            instances: 0,
            pledge: SharePledge::new(now),
            tokens: AccountTokens::new(now),
            last_number: 0,
            last_sent_at: None,
            last_ticket: 0,
            waiting: VecDeque::new(),
            unanswered: None,
        }
    }

    /// Sets the number of registered instances and those that may hold the share, the preferred one
    /// first. An empty list keeps the former one.
    pub fn set_instances(&mut self, instances: usize, holders: &[InstanceKey]) {
        self.instances = instances;
        self.pledge.holders.set(holders);
    }

    /// Records that another message of an instance arrived: it gets more time to answer, and is tried
    /// again if it counts as failed.
    pub fn record_alive(&mut self, holder: InstanceKey, now: Instant) {
        if let Some(sent) = self.unanswered.as_mut().filter(|sent| sent.to == holder) {
            let latest = sent.sent_at + MAX_ANSWER_TIMEOUT;
            sent.fail_at = sent.fail_at.max((now + ANSWER_TIMEOUT).min(latest));
        }
        self.pledge.holders.record_alive(holder, now);
    }

    /// Who counts the share.
    pub fn state(&self, now: Instant) -> ShareState {
        self.pledge.state(now)
    }

    /// Number of accounts with recent use.
    pub fn tracked_accounts(&self) -> usize {
        self.tokens.count()
    }

    /// Tokens of an account that this instance may use without asking.
    pub fn stock(&self, account: AccountKey, now: Instant) -> u64 {
        self.tokens.level(account, now)
    }

    /// Decides about a request that arrives.
    pub fn decide(
        &mut self,
        account: AccountKey,
        limits: QuotaLimits,
        cost: u64,
        now: Instant,
    ) -> QuotaDecision {
        if cost > limits.burst {
            return QuotaDecision::Refused { retry_at: None };
        }
        if let Some(used) = self.tokens.take(account, cost, now) {
            return QuotaDecision::Admitted(used);
        }
        let refused = self.tokens.refusal(account, cost);
        let standing = self.take_standing(account, limits, cost, now);
        match (standing, refused) {
            (Ok(used), _) => QuotaDecision::Admitted(used),
            (_, Some(refused)) => QuotaDecision::Refused { retry_at: Some(refused.retry_at) },
            (Err(_), None) if self.pledge.target(now).is_some() => QuotaDecision::Ask,
            (Err(at), None) => {
                QuotaDecision::Refused { retry_at: Some(at.unwrap_or(now + UNANSWERED_RETRY)) }
            }
        }
    }

    /// Takes the tokens of a request from the share of this instance, if it is not pledged.
    /// Otherwise returns when it has them, if that is known.
    pub fn take_standing(
        &mut self,
        account: AccountKey,
        limits: QuotaLimits,
        cost: u64,
        now: Instant,
    ) -> Result<QuotaUse, Option<Instant>> {
        match self.state(now) {
            ShareState::Standing => {
                let (since, instances) = (self.pledge.free_at(), self.instances);
                self.tokens.take_standing(account, limits, cost, since, now, instances)
            }
            ShareState::Pledged(_) | ShareState::Blocked => Err(Some(self.pledge.free_at())),
        }
    }

    /// Queues a request until the holder answers. It gives up at `latest`.
    pub fn enqueue(&mut self, account: AccountKey, cost: u64, latest: Instant) -> Ticket {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.waiting.push_back(Waiting { ticket, account, cost, latest, ask_at: None });
        ticket
    }

    /// Removes a request that gave up. Tokens that it still gets go into the stock.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        let unanswered = self.unanswered.iter_mut().flat_map(|sent| &mut sent.waiting);
        for waiting in unanswered.filter(|waiting| waiting.ticket == ticket) {
            waiting.ticket = 0;
        }
    }

    /// Puts back the tokens of a request that certainly did not run.
    pub fn put_back(&mut self, used: QuotaUse, now: Instant) {
        self.tokens.put(used, now);
    }

    /// The request to send now, if one is due, and its receiver.
    pub fn next_request(&mut self, now: Instant) -> Option<(InstanceKey, QuotaRequest)> {
        if let Some(sent) = &mut self.unanswered {
            if now < sent.fail_at {
                if now < sent.repeat_at {
                    return None;
                }
                sent.repeat_after *= 2;
                sent.repeat_at = now + sent.repeat_after;
                return Some((sent.to, sent.req.clone()));
            }
            self.record_no_answer(now);
        }
        let to = self.pledge.target(now)?;
        if now < self.next_request_at(to, now) {
            return None;
        }
        let pledge = self.pledge.renew(to, now);
        if pledge.is_some() {
            self.tokens.end_standing();
        }
        let is_due = |waiting: &Waiting| waiting.ask_at.is_none_or(|at| at <= now);
        let (due, later): (VecDeque<Waiting>, _) = self.waiting.drain(..).partition(is_due);
        let mut waiting = Vec::from(due);
        self.waiting = later;
        for rest in waiting.drain(waiting.len().min(MAX_ASKS)..).rev() {
            self.waiting.push_front(rest);
        }
        let mut asks: Vec<QuotaAsk> = waiting
            .iter()
            .map(|Waiting { account, cost, latest, .. }| {
                let wait = latest.saturating_duration_since(now).min(MAX_RESERVATION);
                let wait_ms = wait.as_millis() as u16;
                QuotaAsk::Request { account: *account, cost: *cost, wait_ms }
            })
            .collect();
        asks.extend(self.tokens.stock_asks(MAX_ASKS, now));
        self.last_number += 1;
        self.last_sent_at = Some(now);
        let req =
            QuotaRequest { from: self.key, run: self.run, number: self.last_number, pledge, asks };
        self.unanswered = Some(Unanswered {
            to,
            req: req.clone(),
            waiting,
            sent_at: now,
            fail_at: now + ANSWER_TIMEOUT,
            repeat_at: now + FIRST_REPEAT,
            repeat_after: FIRST_REPEAT,
        });
        Some((to, req))
    }

    /// When [`Self::next_request`] is to be called again, if nothing happens until then.
    pub fn next_due(&self, now: Instant) -> Instant {
        if let Some(sent) = &self.unanswered {
            return sent.repeat_at.min(sent.fail_at);
        }
        match self.pledge.target(now) {
            Some(to) => self.next_request_at(to, now),
            None => now + RENEW_INTERVAL,
        }
    }

    /// Counts the recent use of the accounts and drops those without any.
    pub fn count_use(&mut self, now: Instant) {
        self.tokens.count_use(now);
    }

    /// Applies an answer of a holder. Returns the requests that it decides.
    pub fn receive(&mut self, grant: &QuotaGrant, now: Instant) -> Vec<(Ticket, QuotaVerdict)> {
        let is_answer = |sent: &mut Unanswered| {
            grant.to_run == sent.req.run
                && grant.number == sent.req.number
                && grant.answers.len() == sent.req.asks.len()
        };
        let Some(sent) = self.unanswered.take_if(is_answer) else { return Vec::new() };
        let echo = PledgeEcho { holder_run: grant.holder_run, stamp: grant.stamp };
        self.pledge.record_grant(sent.to, echo, now);
        let mut verdicts = Vec::new();
        let mut unusable = Vec::new();
        let stock_asks = &sent.req.asks[sent.waiting.len()..];
        let (answers, stock_answers) = grant.answers.split_at(sent.waiting.len());
        for (waiting, answer) in sent.waiting.iter().zip(answers) {
            let ask_at = now + UNKNOWN_PAUSE;
            if *answer == QuotaAnswer::Unknown && ask_at < waiting.latest {
                unusable.push(Waiting { ask_at: Some(ask_at), ..*waiting });
                continue;
            }
            match self.apply_answer(waiting, *answer, sent.sent_at, now) {
                Some(verdict) => verdicts.push((waiting.ticket, verdict)),
                None => unusable.push(*waiting),
            }
        }
        for (ask, answer) in stock_asks.iter().zip(stock_answers) {
            if let (QuotaAsk::Stock { account, .. }, QuotaAnswer::Stock(tokens @ 1..)) =
                (ask, answer)
            {
                let void_at = sent.sent_at + TOKEN_LIFE;
                let granted = QuotaUse { account: *account, cost: *tokens, ready_at: now, void_at };
                self.tokens.put(granted, now);
            }
        }
        self.requeue(unusable);
        verdicts
    }

    /// Returns the verdict, or `None` if the request has to be asked for again.
    fn apply_answer(
        &mut self,
        waiting: &Waiting,
        answer: QuotaAnswer,
        sent_at: Instant,
        now: Instant,
    ) -> Option<QuotaVerdict> {
        let Waiting { ticket, account, cost, .. } = *waiting;
        match answer {
            QuotaAnswer::Granted { wait_ms } => {
                let wait = Duration::from_millis(wait_ms.into());
                let ready_at = now + wait;
                // Counted from when the request was sent, which is before the tokens were taken.
                let void_at = sent_at + wait + TOKEN_LIFE;
                let used = QuotaUse { account, cost, ready_at, void_at };
                if ready_at >= void_at {
                    return None;
                }
                match ticket {
                    0 => self.tokens.put(used, now),
                    _ => self.tokens.record_use(account, cost),
                }
                Some(QuotaVerdict::Granted(used))
            }
            QuotaAnswer::Refused { wait_ms, level } => {
                let retry_at = wait_ms.map(|ms| sent_at + Duration::from_millis(ms.into()));
                if let Some(retry_at) = retry_at {
                    let until = retry_at.min(now + MAX_REFUSAL_REUSE);
                    let refused = RefusedCost { cost, retry_at, until };
                    self.tokens.record_refusal(account, refused, now);
                }
                let retry_at = retry_at.or(Some(now + UNANSWERED_RETRY));
                Some(QuotaVerdict::Refused { retry_at, level })
            }
            QuotaAnswer::Stock(_) | QuotaAnswer::Unknown => {
                let retry_at = Some(now + UNANSWERED_RETRY);
                Some(QuotaVerdict::Refused { retry_at, level: 0 })
            }
        }
    }

    fn requeue(&mut self, waiting: Vec<Waiting>) {
        for waiting in waiting.into_iter().rev().filter(|waiting| waiting.ticket != 0) {
            self.waiting.push_front(waiting);
        }
    }

    /// Marks the holder as failed that did not answer, and asks the next one for its requests.
    fn record_no_answer(&mut self, now: Instant) {
        let Some(sent) = self.unanswered.take() else { return };
        self.pledge.holders.record_failed(sent.to, now);
        self.requeue(sent.waiting);
    }

    fn next_request_at(&self, to: InstanceKey, now: Instant) -> Instant {
        let renewal = || self.last_sent_at.map_or(now, |at| self.pledge.renewal_due(to, at, now));
        match self.waiting.iter().map(|waiting| waiting.ask_at).min() {
            None => renewal(),
            Some(None) => now,
            Some(Some(ask_at)) => ask_at.min(renewal()).max(now),
        }
    }
}
