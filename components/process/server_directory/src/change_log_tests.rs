//! Tests of passing on registry changes.

use std::time::{Duration, Instant};

use crate::{ChangeLog, RegistryChange};

fn removed(name: &str) -> RegistryChange {
    RegistryChange::Removed(name.into())
}

fn revisions(log: &mut ChangeLog, at: u64, now: Instant) -> Option<Vec<u64>> {
    let recent = log.recent(now);
    Some(recent.after(at)?.map(|(revision, _)| revision).collect())
}

/// Guards against an instance that misses a change: one that lacks changes from before the log must
/// ask the registry, the others get exactly those that they lack.
#[test]
fn changes_are_complete_or_not_offered() {
    let now = Instant::now();
    let mut log = ChangeLog::default();
    log.reset(100);
    for revision in [110, 120, 130] {
        log.record(revision, removed("s"), now);
    }
    assert_eq!(revisions(&mut log, 99, now), None);
    assert_eq!(revisions(&mut log, 100, now), Some(vec![110, 120, 130]));
    assert_eq!(revisions(&mut log, 120, now), Some(vec![130]));
    assert_eq!(revisions(&mut log, 140, now), Some(vec![]));
    log.reset(150);
    assert_eq!(revisions(&mut log, 140, now), None);
    assert_eq!(revisions(&mut log, 150, now), Some(vec![]));
}

/// Guards against a gap after old changes were dropped, and against messages that grow without
/// bound while many servers change at once.
#[test]
fn dropped_changes_are_not_skipped() {
    let now = Instant::now();
    let mut log = ChangeLog::default();
    log.reset(1);
    log.record(2, removed("s"), now);
    let later = now + Duration::from_secs(5);
    log.record(3, removed("s"), later);
    assert_eq!(revisions(&mut log, 1, later), None);
    assert_eq!(revisions(&mut log, 2, later), Some(vec![3]));
    for revision in 4..1_000 {
        log.record(revision, removed("s"), later);
    }
    let recent = log.recent(later);
    assert!(recent.changes.len() <= 64, "{}", recent.changes.len());
    assert!(recent.after(2).is_none());
    assert!(recent.after(999).is_some());
}
