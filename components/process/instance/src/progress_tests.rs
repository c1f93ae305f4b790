//! What placement is told of loads, prefetches and adapters, and the numbers of cache events.

use backend_server::{CacheEvent, CacheEventKind, CacheEvents};
use placement::{Decision, Event};
use types::prelude::*;

use crate::cache_stream::CacheStream;
use crate::expected::ExpectedReady;
use crate::progress::Progress;

fn view(phase: Option<ReplicaPhase>, adapters: &[&str]) -> group::GroupView {
    let replica = |phase| group::ReplicaView {
        model: "tally".into(),
        version: "1".into(),
        memory_bytes: 1,
        phase,
        decided_at: SystemTime::UNIX_EPOCH,
        adapters: adapters.iter().map(|a| (*a).into()).collect(),
        adapter_slots: 2,
        running: 0,
        queued: 0,
    };
    let server = group::ServerView {
        memory_total: 10,
        memory_free: 9,
        role: ServerRole::Mixed,
        is_blocked: false,
        is_leaving: false,
        checks_fencing: true,
        replicas: phase.map(|phase| (7, replica(phase))).into_iter().collect(),
        cached_in_memory: BTreeSet::new(),
        cached_on_disk: BTreeSet::new(),
        permit_loads: BTreeMap::new(),
    };
    group::GroupView {
        is_writable: true,
        servers: BTreeMap::from([("engine".into(), server)]),
        allowance_left: BTreeMap::new(),
    }
}

// Guards against measured load times that include time before the end or miss failed loads.
#[test]
fn a_load_ends_when_the_replica_is_ready_or_gone() {
    let now = Instant::now();
    let load =
        Decision::Load { server: "engine".into(), model: "tally".into(), source: LoadSource::Disk };
    for (phase, succeeded) in [(Some(ReplicaPhase::Ready), true), (None, false)] {
        let mut progress = Progress::default();
        progress.started(&load, Some(7), now);
        assert!(progress.ended(&view(Some(ReplicaPhase::Loading), &[]), now).is_empty());
        let ended = progress.ended(&view(phase, &[]), now);
        assert!(matches!(&ended[..], [Event::LoadEnded(e)] if e.succeeded == succeeded));
        assert!(progress.ended(&view(phase, &[]), now).is_empty());
    }
}

// Guards against adapter loads that count against the store's limit for ever.
#[test]
fn an_adapter_load_ends_when_it_is_seen_or_its_replica_is_gone() {
    let now = Instant::now();
    let load = Decision::LoadAdapter {
        server: "engine".into(),
        replica: 7,
        adapter: "bagged".into(),
        evict: None,
    };
    for (phase, adapters, succeeded) in
        [(Some(ReplicaPhase::Ready), &["bagged"][..], true), (None, &[][..], false)]
    {
        let mut progress = Progress::default();
        progress.started(&load, None, now);
        assert_eq!(progress.store_load(), (0, 1));
        assert!(progress.ended(&view(Some(ReplicaPhase::Ready), &[]), now).is_empty());
        let ended = progress.ended(&view(phase, adapters), now);
        assert!(matches!(&ended[..], [Event::AdapterEnded(e)] if e.succeeded == succeeded));
        assert_eq!(progress.store_load(), (0, 0));
    }
}

// Guards against a lost event of one replica that goes unnoticed at all others.
#[test]
fn a_lost_cache_event_shows_as_a_gap_at_every_replica() {
    let event = |sequence, replica| CacheEvent {
        sequence,
        kind: CacheEventKind::Stored,
        replica,
        prefix: sequence,
    };
    let mut stream = CacheStream::default();
    let first = stream.take(CacheEvents { next: 2, events: vec![event(0, 1), event(1, 2)] });
    assert_eq!((first[&1][0].sequence, first[&2][0].sequence), (1, 1));
    let second = stream.take(CacheEvents { next: 5, events: vec![event(3, 1), event(4, 2)] });
    assert_eq!((second[&1][0].sequence, second[&2][0].sequence), (3, 3));
    assert_eq!(stream.position(), 5);
}

// Guards against refusals because of an answer that is out of date.
#[test]
fn an_expected_time_is_used_for_a_while_only() {
    let now = Instant::now();
    let mut expected = ExpectedReady::default();
    expected.set("tally".into(), Some(now + Duration::from_secs(1)), now);
    assert_eq!(expected.get("tally", now), Some(now + Duration::from_secs(1)));
    assert_eq!(expected.get("tally", now + Duration::from_secs(3)), None);
}
