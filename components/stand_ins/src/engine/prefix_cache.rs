//! Prefix cache of one engine and its cache events.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use types::prelude::*;

/// Number of events in the log; older ones are dropped, which readers see as a gap.
const MAX_EVENTS: usize = 4_096;

/// Type of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block was added to the cache.
    Stored,
    /// The block was removed from the cache.
    Evicted,
}

/// One cache event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Sequence number of the event. A missing number means a lost event.
    pub sequence: u64,
    /// Type of the event.
    pub kind: CacheEventKind,
    /// Replica whose cache holds or held the block.
    pub replica: ReplicaId,
    /// Hash of the prompt up to the end of the block.
    pub prefix: u64,
}

/// Response of `GET /v1/cache-events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvents {
    /// Events from the requested sequence number on, oldest first.
    pub events: Vec<CacheEvent>,
    /// Sequence number to request next.
    pub next: u64,
}

/// LRU cache of prefix blocks over all replicas of an engine, and the log of its events.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    /// Least recently used first.
    blocks: VecDeque<(ReplicaId, u64)>,
    events: VecDeque<(Instant, CacheEvent)>,
    next: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, blocks: VecDeque::new(), events: VecDeque::new(), next: 0 }
    }

    /// Adds the blocks `hashes` of one prompt. Returns how many leading ones were already cached.
    pub(crate) fn touch(&mut self, replica: ReplicaId, hashes: &[u64], now: Instant) -> u64 {
        let mut cached = 0;
        for (n, hash) in hashes.iter().enumerate() {
            let block = (replica, *hash);
            match self.blocks.iter().position(|known| *known == block) {
                Some(position) => {
                    self.blocks.remove(position);
                    cached += u64::from(cached == n as u64);
                }
                None => self.record(now, CacheEventKind::Stored, block),
            }
            self.blocks.push_back(block);
        }
        while self.blocks.len() > self.capacity {
            if let Some(block) = self.blocks.pop_front() {
                self.record(now, CacheEventKind::Evicted, block);
            }
        }
        cached
    }

    /// Evicts the blocks of an unloaded replica.
    pub(crate) fn evict_replica(&mut self, replica: ReplicaId, now: Instant) {
        let (evicted, retained) = self.blocks.drain(..).partition::<Vec<_>, _>(|b| b.0 == replica);
        self.blocks = retained.into();
        evicted.into_iter().for_each(|block| self.record(now, CacheEventKind::Evicted, block));
    }

    fn record(&mut self, now: Instant, kind: CacheEventKind, (replica, prefix): (ReplicaId, u64)) {
        let event = CacheEvent { sequence: self.next, kind, replica, prefix };
        self.next += 1;
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events from sequence number `since` on that are at least `lag` old, without every
    /// `drop_interval`-th one.
    pub(crate) fn events(
        &self,
        since: u64,
        lag: Duration,
        drop_interval: u64,
        now: Instant,
    ) -> CacheEvents {
        let mut page = CacheEvents { events: Vec::new(), next: since };
        for (recorded_at, event) in &self.events {
            if event.sequence < since {
                continue;
            }
            if now.duration_since(*recorded_at) < lag {
                break;
            }
            page.next = event.sequence + 1;
            if drop_interval == 0 || event.sequence % drop_interval != drop_interval - 1 {
                page.events.push(event.clone());
            }
        }
        page
    }
}
