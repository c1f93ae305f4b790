//! Who counts the share of an instance: to which holder it is pledged, and until when.

use types::prelude::*;

use super::PLEDGE_TERM;
use super::decision::ShareState;
use super::holders::Holders;
use super::messages::{InstanceKey, PledgeEcho};

/// Longest time between two requests to the holder of the share. The holder then counts the share
/// for more than half of [`PLEDGE_TERM`] after each request.
pub(super) const RENEW_INTERVAL: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
struct Pledge {
    to: InstanceKey,
    until: Instant,
}

/// The newest grant of a holder.
#[derive(Clone, Copy, Debug)]
struct LastGrant {
    from: InstanceKey,
    echo: PledgeEcho,
    received_at: Instant,
}

/// State of the pledge of one share.
#[derive(Debug)]
pub(super) struct SharePledge {
    pub(super) holders: Holders,
    /// An earlier run may have pledged the share until then.
    blocked_until: Instant,
    pledge: Option<Pledge>,
    last_grant: Option<LastGrant>,
}

impl SharePledge {
    /// Creates the state of a run that starts now.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            holders: Holders::default(),
            blocked_until: now + PLEDGE_TERM,
            pledge: None,
            last_grant: None,
        }
    }

    pub(super) fn state(&self, now: Instant) -> ShareState {
        match self.pledge.filter(|pledge| pledge.until > now) {
            Some(pledge) => ShareState::Pledged(pledge.to),
            None if self.blocked_until > now => ShareState::Blocked,
            None => ShareState::Standing,
        }
    }

    /// When the share is free, or since when it is.
    pub(super) fn free_at(&self) -> Instant {
        self.pledge.map_or(self.blocked_until, |pledge| pledge.until)
    }

    /// The holder to ask: the one that has the share, until the pledge ends.
    pub(super) fn target(&self, now: Instant) -> Option<InstanceKey> {
        match self.state(now) {
            ShareState::Pledged(holder) if !self.holders.is_failed(holder) => Some(holder),
            _ => self.holders.preferred(now),
        }
    }

    /// Records an answer of a holder.
    pub(super) fn record_grant(&mut self, from: InstanceKey, echo: PledgeEcho, now: Instant) {
        self.last_grant = Some(LastGrant { from, echo, received_at: now });
        self.holders.record_answer(from);
    }

    /// When the next request to `to` is due if no request of a caller waits and the last one was
    /// sent at `last_sent_at`.
    pub(super) fn renewal_due(
        &self,
        to: InstanceKey,
        last_sent_at: Instant,
        now: Instant,
    ) -> Instant {
        // A holder has to answer once before the share can be pledged to it.
        if self.last_grant.is_none_or(|last| last.from != to) {
            return now;
        }
        let renewal = last_sent_at + RENEW_INTERVAL;
        match (self.state(now), self.pledge) {
            (ShareState::Standing, _) => now,
            (ShareState::Blocked, _) => renewal.min(self.blocked_until),
            (ShareState::Pledged(holder), Some(pledge)) if holder != to => {
                renewal.min(pledge.until)
            }
            (ShareState::Pledged(_), _) => renewal,
        }
    }

    /// Pledges the share to the receiver of the next request, if it is free and the receiver is the
    /// preferred holder.
    pub(super) fn renew(&mut self, to: InstanceKey, now: Instant) -> Option<PledgeEcho> {
        let last = self.last_grant.filter(|last| last.from == to)?;
        let is_free = match self.state(now) {
            ShareState::Standing => true,
            ShareState::Pledged(holder) => holder == to,
            ShareState::Blocked => false,
        };
        let until = last.received_at + PLEDGE_TERM;
        if !is_free || until <= now || self.holders.preferred(now) != Some(to) {
            return None;
        }
        self.pledge = Some(Pledge { to, until });
        Some(last.echo)
    }
}
