//! Recent registry changes, which the leader passes on to the other instances. Without them, every
//! instance would ask the registry after every change.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{Entry, Revision, ServerId};

/// How long a change is passed on. Messages may be lost, so several of them carry each change.
const CHANGE_TTL: Duration = Duration::from_millis(1_500);
/// Most changes that are kept. After more changes at once, the instances ask the registry.
const MAX_CHANGES: usize = 40;

/// A change of the registry that affects where requests are sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegistryChange {
    /// A server appeared, changed its state or address, or restarted. The revision is that of its
    /// entry.
    Put(Entry, Revision),
    /// The entry of a server was removed or can no longer be read.
    Removed(ServerId),
}

/// A part of the registry's history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RecentChanges {
    /// Revision after which the changes are complete.
    pub complete_after: Revision,
    /// Changes, oldest first, each with a revision at which the registry contained it.
    pub changes: Vec<(Revision, RegistryChange)>,
}

impl RecentChanges {
    /// Changes that a directory at `revision` lacks; `None` if the oldest of them are missing here.
    pub fn after(
        &self,
        revision: Revision,
    ) -> Option<impl Iterator<Item = (Revision, &RegistryChange)>> {
        let newer = self.changes.iter().filter(move |(at, _)| *at > revision);
        (self.complete_after <= revision).then(|| newer.map(|(at, change)| (*at, change)))
    }
}

/// Changes that this instance has applied recently.
#[derive(Clone, Debug)]
pub struct ChangeLog {
    /// Revision after which `changes` are complete; the highest number before the first list.
    complete_after: Revision,
    /// Oldest first; revisions never decrease.
    changes: VecDeque<(Instant, Revision, RegistryChange)>,
}

impl Default for ChangeLog {
    fn default() -> Self {
        Self { complete_after: Revision::MAX, changes: VecDeque::new() }
    }
}

impl ChangeLog {
    /// Starts afresh after a complete list at `revision`, whose changes are not known one by one.
    pub fn reset(&mut self, revision: Revision) {
        self.complete_after = revision;
        self.changes.clear();
    }

    /// Records a change that was applied at `now`.
    pub fn record(&mut self, revision: Revision, change: RegistryChange, now: Instant) {
        self.changes.push_back((now, revision, change));
        self.expire(now);
    }

    /// Changes of the last [`CHANGE_TTL`].
    pub fn recent(&mut self, now: Instant) -> RecentChanges {
        self.expire(now);
        let changes = self.changes.iter();
        RecentChanges {
            complete_after: self.complete_after,
            changes: changes.map(|(_, revision, change)| (*revision, change.clone())).collect(),
        }
    }

    fn expire(&mut self, now: Instant) {
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= CHANGE_TTL;
        while let Some((at, revision, _)) = self.changes.front()
            && (is_expired(*at) || self.changes.len() > MAX_CHANGES)
        {
            self.complete_after = *revision;
            self.changes.pop_front();
        }
    }
}
