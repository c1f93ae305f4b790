//! Selects the old records to delete.
//!
//! The name of an object contains its hour, and a listing returns the values too. To keep each
//! answer small, a sweep lists the objects of one writer and ten hours at a time, newest first.

use types::prelude::*;

use crate::records::{MINUTE_MS, millis};

/// Extra time for which records are kept after the retention ends. A retained record may depend on
/// an earlier one: a noticed death on the last flush of that run, and an idle minute on the version
/// adopted before it. After an outage of the platform, the two can be far apart.
pub const RETENTION_MARGIN: Duration = Duration::from_secs(24 * 3600);

/// How far before the first retained hour a sweep looks, so that it still finds all old objects
/// after the retention was shortened from 400 days to 40.
pub const LOOK_BACK: Duration = Duration::from_secs(366 * 24 * 3600);

/// Hours in one listing, whose numbers share all digits but the last. At the target scale, their
/// objects hold up to 4 MB.
const BLOCK_HOURS: u64 = 10;

/// An instance or group whose records are in hourly objects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Writer {
    /// Kind of the objects: `work` or `usage`.
    pub kind: &'static str,
    /// Name of the instance or group.
    pub name: Box<str>,
    /// Run that the instance's lease names. The sweep keeps one old object that contains this run:
    /// without any record of it, a report would treat the run as just started and flag its work.
    pub leased_run: Option<Incarnation>,
}

/// An hourly object in the answer to a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedObject {
    /// Name of the object.
    pub name: Box<str>,
    /// Version of the object, on which the delete is conditional.
    pub version: ObjectVersion,
    /// Runs that a `work` object contains.
    pub runs: BTreeSet<Incarnation>,
}

/// A call to the platform that a sweep asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SweepCall {
    /// List the objects of `kind` whose names have the prefix, and pass them to
    /// [`Sweep::on_listed`].
    List {
        /// `work` or `usage`.
        kind: &'static str,
        /// Prefix of the names.
        prefix: Box<str>,
    },
    /// Delete the object if it still has this version.
    Delete {
        /// `work` or `usage`.
        kind: &'static str,
        /// Name of the object.
        name: Box<str>,
        /// Its version.
        version: ObjectVersion,
    },
}

/// One pass over the old objects of a set of writers.
#[derive(Clone, Debug)]
pub struct Sweep {
    writers: Vec<Writer>,
    /// The sweep keeps the objects of this hour and later ones.
    first_retained: u64,
    /// Block of hours to list next; `None` after the block of hour 0.
    next_block: Option<u64>,
    /// Index of the writer to list next.
    next_writer: usize,
    /// Block and writer of the listing in progress.
    listing: Option<(u64, usize)>,
    /// Deletions that the sweep has not asked for yet.
    pending_deletes: Vec<SweepCall>,
}

impl Sweep {
    /// Creates a sweep of the objects that are older than `retention` plus [`RETENTION_MARGIN`].
    pub fn new(now: SystemTime, retention: Duration, writers: Vec<Writer>) -> Self {
        let first_retained = first_retained_hour(now, retention);
        let next_block = first_retained.checked_sub(1).map(|hour| hour / BLOCK_HOURS);
        Self {
            writers,
            first_retained,
            next_block,
            next_writer: 0,
            listing: None,
            pending_deletes: Vec::new(),
        }
    }

    /// Returns the next call, or `None` at the end of the sweep.
    pub fn next_call(&mut self) -> Option<SweepCall> {
        if let Some(delete) = self.pending_deletes.pop() {
            return Some(delete);
        }
        let look_back = LOOK_BACK.as_secs() / 3600;
        let block = self.next_block?;
        if (block + 1) * BLOCK_HOURS + look_back <= self.first_retained {
            return None;
        }
        let writer = self.writers.get(self.next_writer)?;
        let prefix = format!("{}-{block}", writer.name).into();
        let call = SweepCall::List { kind: writer.kind, prefix };
        self.listing = Some((block, self.next_writer));
        self.next_writer += 1;
        if self.next_writer == self.writers.len() {
            self.next_writer = 0;
            self.next_block = block.checked_sub(1);
        }
        Some(call)
    }

    /// Handles the answer to the last listing and queues the deletion of its expired objects.
    pub fn on_listed(&mut self, objects: Vec<ListedObject>) {
        let Some((block, writer)) = self.listing.take() else { return };
        let writer = &mut self.writers[writer];
        let first_retained = self.first_retained;
        for object in objects {
            let hour = hour_of(&object.name, &writer.name);
            if !hour.is_some_and(|hour| hour / BLOCK_HOURS == block && hour < first_retained) {
                continue;
            }
            if writer.leased_run.is_some_and(|run| object.runs.contains(&run)) {
                writer.leased_run = None;
                continue;
            }
            let (kind, ListedObject { name, version, .. }) = (writer.kind, object);
            self.pending_deletes.push(SweepCall::Delete { kind, name, version });
        }
    }
}

/// Returns the first hour whose objects are kept. A minute within the retention needs no object of
/// an earlier hour, since instances write intervals and counted work at their end or later.
fn first_retained_hour(now: SystemTime, retention: Duration) -> u64 {
    let retained = retention.saturating_add(RETENTION_MARGIN);
    now.checked_sub(retained).map_or(0, |from| millis(from) / (60 * MINUTE_MS))
}

/// Returns the hour in the name of a writer's object; `None` if another writer owns the object.
fn hour_of(name: &str, writer: &str) -> Option<u64> {
    name.strip_prefix(writer)?.strip_prefix('-')?.parse().ok()
}
