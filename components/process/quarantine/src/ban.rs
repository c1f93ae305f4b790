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
    /// Whether requests with these properties were answered before, so that only new answers
    /// speak for them.
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
    /// See [`Ban::count`].
    pub count: u8,
    /// See [`Ban::was_answered`].
    pub was_answered: bool,
}

pub(crate) fn term(count: u8) -> Duration {
    FIRST_TERM * 2_u32.pow(u32::from(count.saturating_sub(1).min(MAX_DOUBLINGS)))
}

impl Ban {
    pub(crate) fn new(
        properties: Box<[PropertyKey]>,
        until: Instant,
        now: Instant,
        was_answered: bool,
    ) -> Self {
        let forgotten_at = until + term(1);
        let refuse_from = now + TIME_TO_OBJECT;
        Self { properties, refuse_from, until, forgotten_at, count: 1, was_answered }
    }

    /// Renews the ban after a test has ended another server.
    pub(crate) fn renew(&mut self, now: Instant) {
        self.count = self.count.saturating_add(1);
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
        PublishedBan {
            properties: self.properties.clone(),
            remaining_ms: self.until.saturating_duration_since(now).as_millis() as u32,
            count: self.count,
            was_answered: self.was_answered,
        }
    }

    pub(crate) fn from_published(published: &PublishedBan, now: Instant) -> Self {
        let remaining = Duration::from_millis(u64::from(published.remaining_ms));
        let until = now + remaining.min(term(published.count));
        let ban = Self::new(published.properties.clone(), until, now, published.was_answered);
        Self { count: published.count, forgotten_at: until + term(published.count), ..ban }
    }
}
