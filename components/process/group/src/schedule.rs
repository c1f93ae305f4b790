//! When the state of an owned group is published.

use types::prelude::*;

use crate::{FullState, Group, Publication, Publisher};

/// How long changes are gathered before they are published. Reports of idle servers are read at the
/// same moment and arrive within a few milliseconds.
const PUBLISH_DELAY: Duration = Duration::from_millis(10);
/// Time after which something is published in any case, so that instances notice what they missed.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(20);

/// When the state of an owned group is published, and whether as a whole.
#[derive(Debug)]
pub struct PublishSchedule {
    publisher: Publisher,
    at: Instant,
    /// When something is published in any case.
    refresh_at: Instant,
    /// When the last state was looked at.
    looked_at: Instant,
}

impl PublishSchedule {
    /// A schedule on which the first publication is whole.
    pub fn new(now: Instant) -> Self {
        let at = now + REPUBLISH_INTERVAL;
        Self { publisher: Publisher::default(), at, refresh_at: at, looked_at: now }
    }

    /// The state has changed.
    pub fn mark_changed(&mut self, now: Instant) {
        self.at = self.at.min(now + PUBLISH_DELAY);
    }

    /// The use of the weight store is to be published, also if it has not changed.
    pub fn resend_store_use(&mut self, now: Instant) {
        self.publisher.resend_store_use();
        self.mark_changed(now);
    }

    /// When [`PublishSchedule::publish_due`] has to be called.
    pub fn next_at(&self) -> Instant {
        self.at
    }

    /// What is to be published now.
    pub fn publish_due(&mut self, group: &mut Group, now: Instant) -> Option<Publication> {
        if now < self.at {
            return None;
        }
        self.at = now + REPUBLISH_INTERVAL;
        let state = group.state_to_publish(now)?;
        self.looked_at = now;
        if now < self.refresh_at {
            return self.publisher.publish(state);
        }
        self.refresh_at = now + REPUBLISH_INTERVAL;
        self.publisher.refresh(state)
    }

    /// The last state, for instances that missed it.
    pub fn last_published(&self, now: Instant) -> Option<FullState> {
        let mut last = self.publisher.last_published()?.clone();
        let passed = now.saturating_duration_since(self.looked_at).as_millis();
        let passed = u64::try_from(passed).unwrap_or(u64::MAX);
        for server in &mut last.state.servers {
            server.load_age_ms = server.load_age_ms.saturating_add(passed);
        }
        Some(last)
    }
}
