//! Log of entries in the stored segments of one range.

use types::prelude::*;

use crate::api::{Condition, Write};
use crate::record::{Entry, Segment};

/// Length of the entries at which a write seals its segment. Each write sends the whole segment, so
/// that longer segments cost more bytes per claim; shorter ones cost more reads in a recovery.
pub const SEGMENT_TARGET_BYTES: usize = 16 * 1024;
/// Maximum length of the entries of a segment. The platform accepts values of up to 1 MB; the
/// difference leaves room for the segment's other fields.
pub const MAX_SEGMENT_BYTES: usize = 900 * 1024;

/// Sealed segments, and the active segment that receives new entries.
///
/// Only the segment with the highest number is ever written. The next one is created only after
/// that segment is sealed, and each write is conditional on the last known version, so that two
/// owners cannot both add entries.
#[derive(Debug, Default)]
pub(crate) struct Log {
    sealed: BTreeMap<u64, Sealed>,
    active: Active,
    bytes: usize,
}

#[derive(Debug)]
struct Sealed {
    version: ObjectVersion,
    bytes: usize,
    /// Time at which the last of its entries expires.
    expires_at: SystemTime,
}

#[derive(Debug, Default)]
struct Active {
    number: u64,
    /// `None` if the segment does not exist yet.
    version: Option<ObjectVersion>,
    entries: Vec<Entry>,
    bytes: usize,
}

impl Log {
    /// Builds the log from all stored segments, sorted by number, and calls `visit` for each entry,
    /// oldest first.
    pub(crate) fn new(stored: Vec<(ObjectVersion, Segment)>, mut visit: impl FnMut(Entry)) -> Self {
        let mut log = Self::default();
        for (version, segment) in stored {
            let bytes = segment.entries.iter().map(Entry::stored_bytes).sum();
            log.bytes += bytes;
            if segment.sealed {
                let expires_at = latest_expiry(&segment.entries);
                segment.entries.into_iter().for_each(&mut visit);
                log.sealed.insert(segment.number, Sealed { version, bytes, expires_at });
                log.active = Active { number: segment.number + 1, ..Active::default() };
                continue;
            }
            segment.entries.iter().cloned().for_each(&mut visit);
            let entries = segment.entries;
            log.active = Active { number: segment.number, version: Some(version), entries, bytes };
        }
        log
    }

    /// Length of all entries in their stored form.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn condition(&self) -> Condition {
        self.active.version.map_or(Condition::Absent, Condition::Version)
    }

    /// Number of leading entries, given by their stored lengths, that fit into the next write.
    pub(crate) fn count_fitting(&self, entry_bytes: impl Iterator<Item = usize>) -> usize {
        let mut bytes = self.active.bytes;
        entry_bytes
            .take_while(|entry| {
                bytes += entry + 1;
                bytes <= MAX_SEGMENT_BYTES
            })
            .count()
    }

    /// Builds the write that appends entries to the active segment.
    pub(crate) fn next_write(
        &self,
        range: u32,
        fencing: FencingNumber,
        nonce: Nonce,
        added: &[Entry],
    ) -> Write {
        let bytes = self.active.bytes + added.iter().map(Entry::stored_bytes).sum::<usize>();
        let entries = self.active.entries.iter().chain(added).cloned().collect();
        let segment = Segment {
            range,
            number: self.active.number,
            fencing,
            nonce,
            sealed: bytes >= SEGMENT_TARGET_BYTES,
            entries,
        };
        Write { condition: self.condition(), segment }
    }

    /// Updates the log after a successful write of the active segment.
    pub(crate) fn apply_write(&mut self, segment: Segment, version: ObjectVersion) {
        self.bytes -= self.active.bytes;
        self.active.bytes = segment.entries.iter().map(Entry::stored_bytes).sum();
        self.bytes += self.active.bytes;
        self.active.entries = segment.entries;
        self.active.version = Some(version);
        if segment.sealed {
            self.seal(version);
        }
    }

    /// The first sealed segment whose entries have all expired. The stored segment with the highest
    /// number is never deleted, so that numbers are never reused.
    pub(crate) fn expired_segment(&self, now: SystemTime) -> Option<(u64, ObjectVersion)> {
        let retained = if self.active.version.is_some() { 0 } else { 1 };
        let count = self.sealed.len().saturating_sub(retained);
        let expired = self.sealed.iter().take(count).find(|(_, s)| s.expires_at <= now);
        expired.map(|(number, sealed)| (*number, sealed.version))
    }

    pub(crate) fn remove_segment(&mut self, number: u64) {
        if let Some(sealed) = self.sealed.remove(&number) {
            self.bytes -= sealed.bytes;
        }
    }

    fn seal(&mut self, version: ObjectVersion) {
        let active = std::mem::take(&mut self.active);
        let expires_at = latest_expiry(&active.entries);
        self.active.number = active.number + 1;
        self.sealed.insert(active.number, Sealed { version, bytes: active.bytes, expires_at });
    }
}

fn latest_expiry(entries: &[Entry]) -> SystemTime {
    let latest = entries.iter().map(|entry| entry.expires_at).max();
    latest.unwrap_or(SystemTime::UNIX_EPOCH)
}
