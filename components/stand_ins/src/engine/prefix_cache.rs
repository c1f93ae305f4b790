//! Prefix cache of one engine and its cache events.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use types::prelude::*;

/// Events kept; older ones drop out and show as a gap.
const KEPT_EVENTS: usize = 4_096;

/// What happened to a prefix block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block is cached.
    Stored,
    /// The block is no longer cached.
    Evicted,
}

/// One cache event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Number of the event. A missing number is an event that was lost.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The replica.
    pub replica: ReplicaId,
    /// Hash of the prompt up to the end of the block.
    pub prefix: u64,
}

/// Answer of `GET /v1/cache-events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvents {
    /// Events from the number asked for, oldest first.
    pub events: Vec<CacheEvent>,
    /// Number to ask for next.
    pub next: u64,
}

/// Least recently used blocks over all replicas of an engine, and the events about them.
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

    /// Caches the blocks `hashes` of one prompt and returns how many leading ones were cached.
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

    /// Drops the blocks of an unloaded replica.
    pub(crate) fn drop_replica(&mut self, replica: ReplicaId, now: Instant) {
        let (gone, kept) = self.blocks.drain(..).partition::<Vec<_>, _>(|b| b.0 == replica);
        self.blocks = kept.into();
        gone.into_iter().for_each(|block| self.record(now, CacheEventKind::Evicted, block));
    }

    fn record(&mut self, now: Instant, kind: CacheEventKind, (replica, prefix): (ReplicaId, u64)) {
        let event = CacheEvent { sequence: self.next, kind, replica, prefix };
        self.next += 1;
        self.events.push_back((now, event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events from number `since` that are at least `lag` old, without every `gap`-th one.
    pub(crate) fn events(&self, since: u64, lag: Duration, gap: u64, now: Instant) -> CacheEvents {
        let mut answer = CacheEvents { events: Vec::new(), next: since };
        for (at, event) in &self.events {
            if event.sequence < since {
                continue;
            }
            if now.duration_since(*at) < lag {
                break;
            }
            answer.next = event.sequence + 1;
            if gap == 0 || event.sequence % gap != gap - 1 {
                answer.events.push(event.clone());
            }
        }
        answer
    }
}
