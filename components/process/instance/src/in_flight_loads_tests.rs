//! Tests of in-flight loads, of the numbering of cache events and of expected load times.

use backend_server::{CacheEvent, CacheEventKind, CacheEvents};
use placement::{Decision, Event};
use types::prelude::*;

use crate::cache_stream::CacheStream;
use crate::expected::ExpectedReady;
use crate::in_flight_loads::InFlightLoads;

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

// Placement measures load times by these events. Guards against a load that is reported as ended
// while it is still loading, and against a failed load that is not reported.
#[test]
fn a_load_ends_when_the_replica_is_ready_or_gone() {
    let now = Instant::now();
    let load =
        Decision::Load { server: "engine".into(), model: "tally".into(), source: LoadSource::Disk };
    for (phase, succeeded) in [(Some(ReplicaPhase::Ready), true), (None, false)] {
        let mut loads = InFlightLoads::default();
        loads.record_started(&load, Some(7), now);
        assert!(loads.remove_ended(&view(Some(ReplicaPhase::Loading), &[]), now).is_empty());
        let ended = loads.remove_ended(&view(phase, &[]), now);
        assert!(matches!(&ended[..], [Event::LoadEnded(e)] if e.succeeded == succeeded));
        assert!(loads.remove_ended(&view(phase, &[]), now).is_empty());
    }
}

// Guards against adapter loads that count against the store's limit after they have ended.
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
        let mut loads = InFlightLoads::default();
        loads.record_started(&load, None, now);
        assert_eq!(loads.store_counts(), (0, 1));
        assert!(loads.remove_ended(&view(Some(ReplicaPhase::Ready), &[]), now).is_empty());
        let ended = loads.remove_ended(&view(phase, adapters), now);
        assert!(matches!(&ended[..], [Event::AdapterLoadEnded(e)] if e.succeeded == succeeded));
        assert_eq!(loads.store_counts(), (0, 0));
    }
}

// A lost event may have concerned any replica. Guards against numbers that show a gap at some of
// the replicas only.
#[test]
fn a_lost_cache_event_shows_as_a_gap_at_every_replica() {
    let event = |sequence, replica| CacheEvent {
        sequence,
        kind: CacheEventKind::Stored,
        replica,
        prefix: sequence,
    };
    let mut stream = CacheStream::default();
    let first = stream.consume(CacheEvents { next: 2, events: vec![event(0, 1), event(1, 2)] });
    assert_eq!((first[&1][0].sequence, first[&2][0].sequence), (1, 1));
    let second = stream.consume(CacheEvents { next: 5, events: vec![event(3, 1), event(4, 2)] });
    assert_eq!((second[&1][0].sequence, second[&2][0].sequence), (3, 3));
    assert_eq!(stream.position(), 5);
}

// Guards against refusals because of an owner's answer that is out of date.
#[test]
fn an_expected_time_expires() {
    let now = Instant::now();
    let mut expected = ExpectedReady::default();
    expected.set("tally".into(), Some(now + Duration::from_secs(1)), now);
    assert_eq!(expected.get("tally", now), Some(now + Duration::from_secs(1)));
    assert_eq!(expected.get("tally", now + Duration::from_secs(3)), None);
}
