//! When the state of an owned group is published.

use std::sync::Arc;

use types::prelude::*;

use crate::{Group, Publication, Publisher};

/// How long changes are gathered before they are published.
const PUBLISH_DELAY: Duration = Duration::from_millis(5);
/// Time after which the state is published again for instances that missed it.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(20);

/// When the state of an owned group is published, and whether as a whole.
#[derive(Debug)]
pub struct PublishSchedule {
    publisher: Publisher,
    at: Instant,
    /// When the whole state is published in any case.
    whole_at: Instant,
}

impl PublishSchedule {
    /// A schedule on which the first publication is whole.
    pub fn new(now: Instant) -> Self {
        Self { publisher: Publisher::default(), at: now + REPUBLISH_INTERVAL, whole_at: now }
    }

    /// The state has changed.
    pub fn changed(&mut self, now: Instant) {
        self.at = self.at.min(now + PUBLISH_DELAY);
    }

    /// The use of the weight store is to be published, also if it has not changed.
    pub fn repeat_store(&mut self, now: Instant) {
        self.publisher.repeat_store();
        self.changed(now);
    }

    /// When [`PublishSchedule::due`] has to be called.
    pub fn next(&self) -> Instant {
        self.at
    }

    /// What is to be published now.
    pub fn due(&mut self, group: &mut Group, now: Instant) -> Option<Publication> {
        if now < self.at {
            return None;
        }
        self.at = now + REPUBLISH_INTERVAL;
        let state = group.publish(now)?;
        if now < self.whole_at {
            return self.publisher.publish(state);
        }
        self.whole_at = now + REPUBLISH_INTERVAL;
        Some(self.publisher.whole(state))
    }

    /// The state that was published last.
    pub fn last(&self) -> Option<&Arc<GroupState>> {
        self.publisher.last()
    }
}
