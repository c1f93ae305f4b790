//! Which old records may be deleted.
//!
//! Objects are named by hour, and listing them returns their values, so that a sweep lists the
//! objects of one writer and ten hours at a time, newest first.

use types::prelude::*;

use crate::records::{MINUTE_MS, millis};

/// Records are kept this much longer than the retention. A record may refer to an earlier one, as a
/// noticed death does to the last flush and an idle minute to the version adopted before it; after an
/// outage of the platform the two can be far apart.
pub const RETENTION_MARGIN: Duration = Duration::from_secs(24 * 3600);

/// How far before the first kept hour a sweep looks, so that a retention shortened from 400 days to
/// 40 still finds all old objects.
pub const LOOK_BACK: Duration = Duration::from_secs(366 * 24 * 3600);

/// Hours whose names share all digits but the last. At the target scale they hold up to 4 MB.
const BLOCK_HOURS: u64 = 10;

/// Writer of hourly objects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Writer {
    /// `work` or `usage`.
    pub kind: &'static str,
    /// The instance or group.
    pub name: Box<str>,
    /// Run that the instance's lease names. One old object that contains it is kept: without any
    /// record of a run, a report takes the run for one that has just started and flags its work.
    pub leased_run: Option<Incarnation>,
}

/// An hourly object as it was listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedObject {
    /// Name of the object.
    pub name: Box<str>,
    /// Version for the conditional delete.
    pub version: ObjectVersion,
    /// Runs in a `work` object.
    pub runs: BTreeSet<Incarnation>,
}

/// One call of a sweep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SweepCall {
    /// List the objects of `kind` with a prefix and pass them to [`Sweep::on_listed`].
    List {
        /// `work` or `usage`.
        kind: &'static str,
        /// Prefix of the names.
        prefix: Box<str>,
    },
    /// Delete an object if it still has the version.
    Delete {
        /// `work` or `usage`.
        kind: &'static str,
        /// Name of the object.
        name: Box<str>,
        /// Its version.
        version: ObjectVersion,
    },
}

/// One pass over the old objects of some writers.
#[derive(Clone, Debug)]
pub struct Sweep {
    writers: Vec<Writer>,
    /// Objects of this hour and later ones are kept.
    first_kept: u64,
    /// Block and writer that are listed next; `None` after the block of hour 0.
    block: Option<u64>,
    writer: usize,
    /// What the last listing was for.
    listing: Option<(u64, usize)>,
    due: Vec<SweepCall>,
}

impl Sweep {
    /// A sweep that deletes what is older than `retention` and [`RETENTION_MARGIN`].
    pub fn new(now: SystemTime, retention: Duration, writers: Vec<Writer>) -> Self {
        let first_kept = first_kept_hour(now, retention);
        let block = first_kept.checked_sub(1).map(|hour| hour / BLOCK_HOURS);
        Self { writers, first_kept, block, writer: 0, listing: None, due: Vec::new() }
    }

    /// The next call; `None` at the end of the sweep.
    pub fn next_call(&mut self) -> Option<SweepCall> {
        if let Some(delete) = self.due.pop() {
            return Some(delete);
        }
        let look_back = LOOK_BACK.as_secs() / 3600;
        let block = self.block?;
        if (block + 1) * BLOCK_HOURS + look_back <= self.first_kept {
            return None;
        }
        let writer = self.writers.get(self.writer)?;
        let prefix = format!("{}-{block}", writer.name).into();
        let call = SweepCall::List { kind: writer.kind, prefix };
        self.listing = Some((block, self.writer));
        self.writer += 1;
        if self.writer == self.writers.len() {
            self.writer = 0;
            self.block = block.checked_sub(1);
        }
        Some(call)
    }

    /// Takes the answer to the last listing and notes which of its objects are deleted.
    pub fn on_listed(&mut self, objects: Vec<ListedObject>) {
        let Some((block, writer)) = self.listing.take() else { return };
        let writer = &mut self.writers[writer];
        let first_kept = self.first_kept;
        for object in objects {
            let hour = hour_of(&object.name, &writer.name);
            if !hour.is_some_and(|hour| hour / BLOCK_HOURS == block && hour < first_kept) {
                continue;
            }
            if writer.leased_run.is_some_and(|run| object.runs.contains(&run)) {
                writer.leased_run = None;
                continue;
            }
            let (kind, ListedObject { name, version, .. }) = (writer.kind, object);
            self.due.push(SweepCall::Delete { kind, name, version });
        }
    }
}

/// The first hour whose objects are kept. A minute within the retention needs no object of an
/// earlier hour: intervals and counted work are written at their end or later.
fn first_kept_hour(now: SystemTime, retention: Duration) -> u64 {
    let kept = retention.saturating_add(RETENTION_MARGIN);
    now.checked_sub(kept).map_or(0, |from| millis(from) / (60 * MINUTE_MS))
}

/// The hour in the name of a writer's object; `None` if it is another writer's.
fn hour_of(name: &str, writer: &str) -> Option<u64> {
    name.strip_prefix(writer)?.strip_prefix('-')?.parse().ok()
}
