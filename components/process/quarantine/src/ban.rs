//! Bans of requests.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::PropertyKey;

/// Length of the first ban. Each further one is twice as long.
const FIRST_TERM: Duration = Duration::from_secs(30);
/// Time in which answers elsewhere reach an instance.
const TIME_TO_OBJECT: Duration = Duration::from_millis(300);
/// Number of terms after which their length stays the same.
const MAX_DOUBLINGS: u8 = 5;

/// Keeps the requests that have all of some properties from the servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ban {
    /// Sorted and not empty. Several if the ends of servers do not tell them apart.
    pub properties: Box<[PropertyKey]>,
    /// When it began or was last renewed.
    pub(crate) began_at: Instant,
    /// The first end of a server that speaks against the properties. Answers since then speak for
    /// them. Not after `began_at`.
    pub(crate) first_end_at: Instant,
    /// Until then, requests wait instead of being refused, because answers elsewhere may still show
    /// that the ban is wrong or too wide.
    pub refuse_from: Instant,
    /// After this time, single requests are let through as a test: an answer lifts the ban, and one
    /// more end of a server renews it. All others are still refused.
    pub until: Instant,
    /// The ban is forgotten at this time, a term after it ended and after the last request that it
    /// refused.
    pub(crate) forgotten_at: Instant,
    /// Number of bans of these properties so far, this one included.
    pub count: u8,
    /// Whether requests with these properties were answered before the first end, so that only
    /// answers since then speak for them.
    pub was_answered: bool,
}

/// A ban as instances tell each other of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PublishedBan {
    /// See [`Ban::properties`].
    pub properties: Box<[PropertyKey]>,
    /// Milliseconds until [`Ban::until`]; 0 afterwards.
    pub remaining_ms: u32,
    /// Milliseconds since the ban began or was last renewed.
    pub age_ms: u32,
    /// Milliseconds since the first end of a server that speaks against the properties.
    pub since_first_end_ms: u32,
    /// See [`Ban::count`].
    pub count: u8,
    /// See [`Ban::was_answered`].
    pub was_answered: bool,
}

/// Milliseconds as in messages, at most `u32::MAX`.
pub fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

pub(crate) fn term(count: u8) -> Duration {
    FIRST_TERM * 2_u32.pow(u32::from(count.saturating_sub(1).min(MAX_DOUBLINGS)))
}

impl Ban {
    /// A first ban. `first_end_at` is not after `now`.
    pub(crate) fn new(
        properties: Box<[PropertyKey]>,
        first_end_at: Instant,
        now: Instant,
        was_answered: bool,
    ) -> Self {
        let until = now + term(1);
        let (refuse_from, forgotten_at) = (now + TIME_TO_OBJECT, until + term(1));
        Self {
            properties,
            began_at: now,
            first_end_at,
            refuse_from,
            until,
            forgotten_at,
            count: 1,
            was_answered,
        }
    }

    /// Renews the ban after a test has ended another server. Only answers since then speak for the
    /// properties.
    pub(crate) fn renew(&mut self, now: Instant) {
        self.count = self.count.saturating_add(1);
        (self.began_at, self.first_end_at) = (now, now);
        self.until = now + term(self.count);
        self.forgotten_at = self.until + term(self.count);
    }

    /// Records that a request was refused, so that the ban is kept for another term.
    pub(crate) fn record_refusal(&mut self, now: Instant) {
        self.forgotten_at = self.forgotten_at.max(now + term(self.count));
    }

    /// When an instance other than the leader may test the ban, which it does only if the leader
    /// has not done so in a term. `spread` in `0..1` keeps the instances apart.
    pub(crate) fn late_test_at(&self, spread: f64) -> Instant {
        self.until + term(self.count).mul_f64(1.0 + spread)
    }

    /// Whether a request with these sorted properties has all that are banned.
    pub(crate) fn covers(&self, properties: &[PropertyKey]) -> bool {
        self.properties.iter().all(|key| properties.binary_search(key).is_ok())
    }

    /// The ban as other instances learn of it.
    pub(crate) fn published(&self, now: Instant) -> PublishedBan {
        let ago_ms = |at: Instant| millis(now.saturating_duration_since(at));
        PublishedBan {
            properties: self.properties.clone(),
            remaining_ms: millis(self.until.saturating_duration_since(now)),
            age_ms: ago_ms(self.began_at),
            since_first_end_ms: ago_ms(self.first_end_at),
            count: self.count,
            was_answered: self.was_answered,
        }
    }

    /// A ban that was published at `sent_at`.
    pub(crate) fn from_published(published: &PublishedBan, sent_at: Instant, now: Instant) -> Self {
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        let ago = |time: u32| sent_at.checked_sub(ms(time)).unwrap_or(sent_at);
        let began_at = ago(published.age_ms);
        let until = sent_at + ms(published.remaining_ms).min(term(published.count));
        Self {
            properties: published.properties.clone(),
            began_at,
            first_end_at: ago(published.since_first_end_ms).min(began_at),
            refuse_from: now + TIME_TO_OBJECT,
            until,
            forgotten_at: until + term(published.count),
            count: published.count,
            was_answered: published.was_answered,
        }
    }
}
