//! The segments of one range.

use types::prelude::*;

use crate::api::{Condition, Write};
use crate::record::{Entry, Segment};

/// A segment is sealed with the write that reaches this length. Each write repeats the segment, so
/// that a longer one costs more bytes a claim, and a shorter one more reads in a recovery.
pub const SEGMENT_TARGET_BYTES: usize = 16 * 1024;
/// Length that no segment exceeds. The platform takes values of up to 1 MB; the rest is room for
/// the segment's own fields.
pub const MAX_SEGMENT_BYTES: usize = 900 * 1024;

/// Stored segments, and the one that entries are added to.
///
/// Only the segment with the highest number is ever written. The next one is created only after
/// it was sealed, and each write is conditional on the version known, so two owners cannot both
/// add entries.
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
    /// When the last of its entries expires.
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
    /// Takes all stored segments, sorted by number, and passes on their entries, oldest first.
    pub(crate) fn new(stored: Vec<(ObjectVersion, Segment)>, mut each: impl FnMut(Entry)) -> Self {
        let mut log = Self::default();
        for (version, segment) in stored {
            let bytes = segment.entries.iter().map(Entry::stored_bytes).sum();
            log.bytes += bytes;
            if segment.sealed {
                let expires_at = latest_expiry(&segment.entries);
                segment.entries.into_iter().for_each(&mut each);
                log.sealed.insert(segment.number, Sealed { version, bytes, expires_at });
                log.active = Active { number: segment.number + 1, ..Active::default() };
                continue;
            }
            segment.entries.iter().cloned().for_each(&mut each);
            let entries = segment.entries;
            log.active = Active { number: segment.number, version: Some(version), entries, bytes };
        }
        log
    }

    /// Length of all entries.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn condition(&self) -> Condition {
        self.active.version.map_or(Condition::Absent, Condition::Version)
    }

    /// How many of these entries fit into the next write.
    pub(crate) fn fitting(&self, entries: impl Iterator<Item = usize>) -> usize {
        let mut bytes = self.active.bytes;
        entries
            .take_while(|entry| {
                bytes += entry + 1;
                bytes <= MAX_SEGMENT_BYTES
            })
            .count()
    }

    /// The write that adds `added`.
    pub(crate) fn write(
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

    /// Takes the segment as it was stored.
    pub(crate) fn stored(&mut self, segment: Segment, version: ObjectVersion) {
        self.bytes -= self.active.bytes;
        self.active.bytes = segment.entries.iter().map(Entry::stored_bytes).sum();
        self.bytes += self.active.bytes;
        self.active.entries = segment.entries;
        self.active.version = Some(version);
        if segment.sealed {
            self.seal(version);
        }
    }

    /// A segment whose entries have all expired. The one with the highest number stays, so that
    /// numbers are never used again.
    pub(crate) fn expired(&self, now: SystemTime) -> Option<(u64, ObjectVersion)> {
        let below_active = if self.active.version.is_some() { 0 } else { 1 };
        let count = self.sealed.len().saturating_sub(below_active);
        let expired = self.sealed.iter().take(count).find(|(_, s)| s.expires_at <= now);
        expired.map(|(number, sealed)| (*number, sealed.version))
    }

    pub(crate) fn deleted(&mut self, number: u64) {
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
