//! Which versions of the configuration an instance records.
//!
//! The watchers of the configuration record what they adopt, the others only remember it. A version
//! is safe with a watcher that is alive for [`CONFIRM_TIME`] after its adoption: by then, the watcher
//! has adopted and flushed it. If all watchers that were alive at the adoption die or restart before,
//! every instance that remembers the version records it. A restarted watcher alone would not do: it
//! adopts the version at its own start, which may be later by any time.

use types::prelude::*;

use crate::lists::VersionList;
use crate::records::{FLUSH_INTERVAL, VersionRecord, hour};

/// Time after which a version is safe with a live watcher: up to 4 s until the watcher has adopted
/// it, 10 s until its next flush, 8 s for that, and 8 s until its death is noticed everywhere.
pub const CONFIRM_TIME: Duration = Duration::from_secs(30);

/// Time for which an instance that does not record remembers versions, for the case that it becomes
/// a watcher: longer than the flushes of watchers fail while configurations change.
const REMEMBERED: Duration = Duration::from_secs(3600);

/// Runs of the data centre's instances.
pub type Members = BTreeMap<InstanceId, Incarnation>;

/// A version that no watcher is known to have flushed.
#[derive(Clone, Debug)]
struct Unconfirmed {
    /// The version is safe if a watcher is alive then.
    until: Instant,
    /// Watchers at the adoption that have lived since.
    watchers: Members,
}

/// Versions that one run of an instance adopted.
#[derive(Clone, Debug)]
pub struct VersionLog {
    instance: InstanceId,
    versions: VersionList,
    watchers: Members,
    /// An instance that knows nobody else by then is the only one.
    knows_others_by: Instant,
    knows_others: bool,
    unconfirmed: Vec<Unconfirmed>,
    /// When the instance last had a reason to record.
    recorded_at: Option<SystemTime>,
    /// Time of the flush in progress, if it contains the versions.
    in_flight: Option<SystemTime>,
    /// Time of the last written flush that contains the versions.
    written_at: Option<SystemTime>,
}

impl VersionLog {
    /// Nothing adopted, nobody known.
    pub fn new(instance: InstanceId, now: Instant) -> Self {
        Self {
            instance,
            versions: VersionList::default(),
            watchers: Members::new(),
            knows_others_by: now + FLUSH_INTERVAL,
            knows_others: false,
            unconfirmed: Vec::new(),
            recorded_at: None,
            in_flight: None,
            written_at: None,
        }
    }

    /// Sets the live instances of the data centre, this one included, and which of them watch.
    /// Returns whether the instance records from now on and did not before.
    pub fn set_members(
        &mut self,
        live: &Members,
        watchers: &BTreeSet<&InstanceId>,
        now: Instant,
        wall: SystemTime,
    ) -> bool {
        let recorded = self.is_recording(wall);
        self.knows_others |= live.keys().any(|instance| *instance != self.instance);
        self.watchers = live.clone();
        self.watchers.retain(|instance, _| watchers.contains(instance));
        self.unconfirmed.retain(|version| now < version.until);
        for version in &mut self.unconfirmed {
            version.watchers.retain(|instance, run| live.get(instance) == Some(run));
        }
        self.note_reason(now, wall);
        !recorded && self.is_recording(wall)
    }

    /// Notes a version. Returns whether the instance records it.
    pub fn append(&mut self, record: VersionRecord, now: Instant, wall: SystemTime) -> bool {
        self.versions.push(record);
        // Without any known watcher the instance has just started, and others have the version.
        if !self.watchers.is_empty() {
            let watchers = self.watchers.clone();
            self.unconfirmed.push(Unconfirmed { until: now + CONFIRM_TIME, watchers });
        }
        self.is_recording(wall)
    }

    /// The versions for a flush; none if the instance does not record.
    pub fn begin_flush(&mut self, now: Instant, wall: SystemTime) -> VersionList {
        self.unconfirmed.retain(|version| now < version.until);
        self.note_reason(now, wall);
        self.forget(wall);
        let is_recording = self.is_recording(wall);
        self.in_flight = is_recording.then_some(wall);
        if is_recording { self.versions.clone() } else { VersionList::default() }
    }

    /// Notes that the last flush was written.
    pub fn on_written(&mut self) {
        self.written_at = self.in_flight.take().or(self.written_at);
    }

    /// A flush replaces the one before it in the object of its hour, so that a reason to record
    /// holds until the object of the next hour has what came after the last flush of this one.
    fn is_recording(&self, wall: SystemTime) -> bool {
        self.recorded_at.is_some_and(|at| hour(wall) <= hour(at) + 1)
    }

    fn note_reason(&mut self, now: Instant, wall: SystemTime) {
        let knows_members = self.knows_others || now >= self.knows_others_by;
        let is_watcher = knows_members && self.watchers.contains_key(&self.instance);
        if is_watcher || self.unconfirmed.iter().any(|version| version.watchers.is_empty()) {
            self.recorded_at = Some(wall);
        }
    }

    /// Drops what the object of an earlier hour holds, or what nobody will ask for.
    fn forget(&mut self, wall: SystemTime) {
        if !self.is_recording(wall) {
            self.versions.prune_before(wall.checked_sub(REMEMBERED).unwrap_or(wall));
        } else if let Some(at) = self.written_at.filter(|at| hour(*at) < hour(wall)) {
            self.versions.prune_before(at);
        }
    }
}
