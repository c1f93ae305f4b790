//! Schedule for publishing the state of an owned group.

use types::prelude::*;

use crate::{FullState, Group, Publication, Publisher};

/// Time for which changes are collected before they are published. Reports of idle servers are
/// requested at the same time and arrive within a few milliseconds of each other.
const PUBLISH_DELAY: Duration = Duration::from_millis(10);
/// Time after which the state is published even if it has not changed, so that instances detect
/// missed publications.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(20);

/// Decides when the state of an owned group is published.
#[derive(Debug)]
pub struct PublishSchedule {
    publisher: Publisher,
    publish_at: Instant,
    /// When all loads are published even if nothing has changed.
    refresh_at: Instant,
    /// When the state was last taken from the group.
    sampled_at: Instant,
}

impl PublishSchedule {
    /// Creates a schedule whose first publication is the full state.
    pub fn new(now: Instant) -> Self {
        let at = now + REPUBLISH_INTERVAL;
        Self { publisher: Publisher::default(), publish_at: at, refresh_at: at, sampled_at: now }
    }

    /// Schedules a publication because the state has changed.
    pub fn mark_changed(&mut self, now: Instant) {
        self.publish_at = self.publish_at.min(now + PUBLISH_DELAY);
    }

    /// Schedules a publication that carries the use of the weight store even if it has not changed.
    pub fn resend_store_use(&mut self, now: Instant) {
        self.publisher.resend_store_use();
        self.mark_changed(now);
    }

    /// When [`PublishSchedule::publish_due`] must be called.
    pub fn next_at(&self) -> Instant {
        self.publish_at
    }

    /// Returns the publication that is due now, if any.
    pub fn publish_due(&mut self, group: &mut Group, now: Instant) -> Option<Publication> {
        if now < self.publish_at {
            return None;
        }
        self.publish_at = now + REPUBLISH_INTERVAL;
        let state = group.state_to_publish(now)?;
        self.sampled_at = now;
        if now < self.refresh_at {
            return self.publisher.publish(state);
        }
        self.refresh_at = now + REPUBLISH_INTERVAL;
        self.publisher.refresh(state)
    }

    /// The last state, for instances that missed it, with the age of its loads brought up to date.
    pub fn last_published(&self, now: Instant) -> Option<FullState> {
        let mut last = self.publisher.last_published()?.clone();
        let elapsed = now.saturating_duration_since(self.sampled_at).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        for server in &mut last.state.servers {
            server.load_age_ms = server.load_age_ms.saturating_add(elapsed);
        }
        Some(last)
    }
}
