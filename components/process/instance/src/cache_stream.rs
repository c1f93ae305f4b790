//! Cache events of one backend server.

use backend_server::{CacheEventKind, CacheEvents};
use routing::{CacheChange, CacheEvent};
use types::prelude::*;

/// Numbers a server's events separately for each replica, as routing expects them.
#[derive(Debug, Default)]
pub(crate) struct CacheStream {
    /// Sequence number of the next event to read.
    position: u64,
    /// Number of the last event of each replica.
    last_sequence: HashMap<ReplicaId, u64>,
}

impl CacheStream {
    /// Returns the sequence number of the next event to read.
    pub(crate) fn position(&self) -> u64 {
        self.position
    }

    /// Numbers events by replica. A missing event may have concerned any replica, so it leaves a
    /// gap in the numbers of all replicas.
    pub(crate) fn consume(&mut self, events: CacheEvents) -> BTreeMap<ReplicaId, Vec<CacheEvent>> {
        let mut by_replica: BTreeMap<ReplicaId, Vec<CacheEvent>> = BTreeMap::new();
        let mut expected = self.position;
        for event in events.events {
            if event.sequence != expected {
                self.last_sequence.values_mut().for_each(|last| *last += 1);
            }
            expected = event.sequence + 1;
            let last = self.last_sequence.entry(event.replica).or_default();
            *last += 1;
            let change = match event.kind {
                CacheEventKind::Stored => CacheChange::Stored(event.prefix),
                CacheEventKind::Evicted => CacheChange::Evicted(event.prefix),
            };
            let event_of_replica = CacheEvent { sequence: *last, change };
            by_replica.entry(event.replica).or_default().push(event_of_replica);
        }
        self.position = events.next.max(expected);
        by_replica
    }
}
