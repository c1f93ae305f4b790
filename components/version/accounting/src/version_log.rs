//! Decides which versions of the configuration an instance records.
//!
//! The instances that watch the configuration (watchers) record the versions that they adopt. The
//! other instances only hold them in memory. A version is confirmed once a watcher has stayed alive
//! for [`CONFIRM_TIME`] after the adoption: by then, the watcher has adopted and flushed it. If all
//! watchers that were alive at the adoption die or restart earlier, every instance that holds the
//! version records it. The record of a restarted watcher would not be enough: it adopts the version
//! at its own start, which may be any time later.

use types::prelude::*;

use crate::lists::VersionList;
use crate::records::{FLUSH_INTERVAL, VersionRecord, hour};

/// Time after which a live watcher confirms a version: up to 4 s until the watcher adopts it, 10 s
/// until its next flush, 8 s for the flush, and 8 s until all instances notice the watcher's death.
pub const CONFIRM_TIME: Duration = Duration::from_secs(30);

/// Time for which an instance that doesn't record holds versions in memory, in case it becomes a
/// watcher. It is longer than the flushes of watchers fail while configurations change.
const UNRECORDED_RETENTION: Duration = Duration::from_secs(3600);

/// Instances of the data centre with their current runs.
pub type Members = BTreeMap<InstanceId, Incarnation>;

/// State of a version that no watcher is known to have flushed.
#[derive(Clone, Debug)]
struct UnconfirmedVersion {
    /// A watcher that is still alive at this time confirms the version.
    confirmed_at: Instant,
    /// Watchers at the adoption that have neither died nor restarted since.
    watchers: Members,
}

/// Versions that one run of an instance adopted, and whether it has to record them.
#[derive(Clone, Debug)]
pub struct VersionLog {
    instance: InstanceId,
    versions: VersionList,
    watchers: Members,
    /// An instance that has seen no other one by this time considers itself the only one.
    discovery_deadline: Instant,
    has_seen_others: bool,
    unconfirmed: Vec<UnconfirmedVersion>,
    /// Last time at which the instance had a reason to record.
    last_reason_at: Option<SystemTime>,
    /// Time of the flush in progress, if it contains the versions.
    flushing_at: Option<SystemTime>,
    /// Time of the last written flush that contains the versions.
    written_at: Option<SystemTime>,
}

impl VersionLog {
    /// Creates a log without versions, for an instance that knows no other one yet.
    pub fn new(instance: InstanceId, now: Instant) -> Self {
        Self {
            instance,
            versions: VersionList::default(),
            watchers: Members::new(),
            discovery_deadline: now + FLUSH_INTERVAL,
            has_seen_others: false,
            unconfirmed: Vec::new(),
            last_reason_at: None,
            flushing_at: None,
            written_at: None,
        }
    }

    /// Sets the live instances of the data centre, including this one, and which of them are
    /// watchers. Returns whether the instance has to record from now on and didn't before.
    pub fn set_members(
        &mut self,
        live: &Members,
        watchers: &BTreeSet<&InstanceId>,
        now: Instant,
        wall: SystemTime,
    ) -> bool {
        let was_recording = self.is_recording(wall);
        self.has_seen_others |= live.keys().any(|instance| *instance != self.instance);
        self.watchers = live.clone();
        self.watchers.retain(|instance, _| watchers.contains(instance));
        self.unconfirmed.retain(|version| now < version.confirmed_at);
        for version in &mut self.unconfirmed {
            version.watchers.retain(|instance, run| live.get(instance) == Some(run));
        }
        self.update_last_reason(now, wall);
        !was_recording && self.is_recording(wall)
    }

    /// Appends a version that the instance has adopted. Returns whether the instance has to record
    /// it.
    pub fn append(&mut self, record: VersionRecord, now: Instant, wall: SystemTime) -> bool {
        self.versions.push(record);
        // An instance that knows no watcher has just started, and others have the version.
        if !self.watchers.is_empty() {
            let watchers = self.watchers.clone();
            self.unconfirmed
                .push(UnconfirmedVersion { confirmed_at: now + CONFIRM_TIME, watchers });
        }
        self.is_recording(wall)
    }

    /// Begins a flush and returns its versions, which are none if the instance doesn't record.
    pub fn begin_flush(&mut self, now: Instant, wall: SystemTime) -> VersionList {
        self.unconfirmed.retain(|version| now < version.confirmed_at);
        self.update_last_reason(now, wall);
        self.prune(wall);
        let is_recording = self.is_recording(wall);
        self.flushing_at = is_recording.then_some(wall);
        if is_recording { self.versions.clone() } else { VersionList::default() }
    }

    /// Handles the success of the last flush.
    pub fn on_written(&mut self) {
        self.written_at = self.flushing_at.take().or(self.written_at);
    }

    /// Returns whether the instance records its versions. A flush replaces the previous one in the
    /// object of its hour, so the instance goes on recording through the hour after the last
    /// reason. The object of that hour then holds the versions adopted after the last flush of this
    /// one.
    fn is_recording(&self, wall: SystemTime) -> bool {
        self.last_reason_at.is_some_and(|at| hour(wall) <= hour(at) + 1)
    }

    /// Updates `last_reason_at` if the instance is a watcher, or if all watchers of a version are
    /// lost.
    fn update_last_reason(&mut self, now: Instant, wall: SystemTime) {
        let is_membership_known = self.has_seen_others || now >= self.discovery_deadline;
        let is_watcher = is_membership_known && self.watchers.contains_key(&self.instance);
        if is_watcher || self.unconfirmed.iter().any(|version| version.watchers.is_empty()) {
            self.last_reason_at = Some(wall);
        }
    }

    /// Removes versions that the object of an earlier hour holds, or, if the instance doesn't
    /// record, versions older than [`UNRECORDED_RETENTION`].
    fn prune(&mut self, wall: SystemTime) {
        if !self.is_recording(wall) {
            self.versions.prune_before(wall.checked_sub(UNRECORDED_RETENTION).unwrap_or(wall));
        } else if let Some(at) = self.written_at.filter(|at| hour(*at) < hour(wall)) {
            self.versions.prune_before(at);
        }
    }
}
