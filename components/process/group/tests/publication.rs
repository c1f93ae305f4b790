//! Tests that receivers follow the owner's state through full states and changes.

use group::{ChangesResult, Publication, Publisher, ReceivedStates};
use proptest::prelude::*;
use types::prelude::*;

fn state(sequence: u64, loads: &[u32], adapters: usize) -> GroupState {
    let replica = |(n, load): (usize, &u32), adapters: usize| ReplicaState {
        replica: n as u64,
        model: format!("model-{n}").into(),
        phase: ReplicaPhase::Ready,
        max_batch: 8,
        running: *load,
        queued: load / 8,
        adapters: (0..adapters).map(|a| format!("adapter-{a}").into()).collect(),
    };
    let server = |name: &str, adapters: usize, loads: &[u32]| ServerState {
        server: name.into(),
        address: "127.0.0.1:1".into(),
        incarnation: 1,
        leaving: false,
        reachable: true,
        load_age_ms: 5,
        replicas: loads.iter().enumerate().map(|load| replica(load, adapters)).collect(),
    };
    GroupState {
        group: "g".into(),
        owner: "entry".into(),
        fencing: 1,
        sequence,
        store: StoreUse { loads: loads[0] / 8, ..StoreUse::default() },
        servers: vec![server("engine-1", adapters, loads), server("engine-2", 1, &loads[..1])],
    }
}

/// Delivers a publication. After a gap, delivers the full state as the owner would send it.
fn deliver(
    publisher: &Publisher,
    received: &mut ReceivedStates,
    publication: &Publication,
    now: Instant,
) {
    match publication {
        Publication::Full(full) => received.apply_full(full),
        Publication::Changes(changes) => {
            if received.apply_changes(changes, now) == ChangesResult::Gap {
                received.apply_full(publisher.last_published().expect("something was published"));
            }
        }
    }
}

proptest! {
    // Guards against receivers that are out of date after a refresh, whichever publications they
    // missed. Fails if changes are applied to a state that they do not refer to, or if a refresh
    // omits loads that were published before.
    #[test]
    fn receivers_follow_the_owner(
        steps in prop::collection::vec(
            (prop::collection::vec(0_u32..40, 3), 0_usize..3, any::<bool>()),
            1..30,
        ),
    ) {
        let (mut publisher, mut received) = (Publisher::default(), ReceivedStates::default());
        let mut now = Instant::now();
        let mut last = None;
        for (sequence, (loads, adapters, is_lost)) in steps.into_iter().enumerate() {
            let state = state(sequence as u64 + 1, &loads, adapters);
            let publication = publisher.publish(state.clone());
            now += Duration::from_secs(1);
            if let Some(publication) = publication.filter(|_| !is_lost) {
                deliver(&publisher, &mut received, &publication, now);
            }
            last = Some(state);
        }
        let last = GroupState { sequence: 1_000, ..last.expect("at least one step") };
        let refresh = publisher.refresh(last.clone()).expect("a refresh is always sent");
        let Publication::Changes(changes) = &refresh else {
            return Err(TestCaseError::fail("the first publication was the full state"));
        };
        let seen = match received.apply_changes(changes, now + Duration::from_secs(1)) {
            ChangesResult::Applied(state) => state.clone(),
            ChangesResult::Gap => {
                publisher.last_published().expect("something was published").state.clone()
            }
            ChangesResult::Ignored => return Err(TestCaseError::fail("a refresh is never old")),
        };
        prop_assert_eq!(seen, last);
    }
}

// Guards against sending a message to every instance for each finished request, and against sending
// full states where the change of one server is enough.
#[test]
fn only_noticeable_changes_are_published() {
    let mut publisher = Publisher::default();
    let mut publish = |sequence, loads: &[u32], adapters| match publisher
        .publish(state(sequence, loads, adapters))
    {
        None => "nothing",
        Some(Publication::Full(_)) => "full",
        Some(Publication::Changes(changes)) if changes.servers.is_empty() => "loads",
        Some(Publication::Changes(changes)) if changes.servers.len() == 1 => "one server",
        Some(Publication::Changes(_)) => "all servers",
    };
    assert_eq!(publish(1, &[10, 0], 0), "full");
    assert_eq!(publish(2, &[11, 0], 0), "nothing");
    assert_eq!(publish(3, &[13, 0], 0), "loads");
    assert_eq!(publish(4, &[13, 1], 0), "loads");
    assert_eq!(publish(5, &[13, 1], 1), "one server");
}

// Guards against a burst of requests for the same full state, and against requests that outdated
// changes cause.
#[test]
fn a_missed_state_is_requested_once_a_second() {
    let (mut publisher, mut received) = (Publisher::default(), ReceivedStates::default());
    let now = Instant::now();
    publisher.publish(state(1, &[10, 0], 0));
    let changes = |publisher: &mut Publisher, sequence, load| match publisher.publish(state(
        sequence,
        &[load, 0],
        0,
    )) {
        Some(Publication::Changes(changes)) => changes,
        _ => panic!("a change of loads"),
    };
    let (first, second) = (changes(&mut publisher, 2, 20), changes(&mut publisher, 3, 30));
    assert_eq!(received.apply_changes(&first, now), ChangesResult::Gap);
    assert_eq!(
        received.apply_changes(&second, now + Duration::from_millis(900)),
        ChangesResult::Ignored
    );
    assert_eq!(
        received.apply_changes(&second, now + Duration::from_millis(1_000)),
        ChangesResult::Gap
    );
    received.apply_full(publisher.last_published().expect("something was published"));
    assert_eq!(
        received.apply_changes(&second, now + Duration::from_secs(9)),
        ChangesResult::Ignored
    );
    let third = changes(&mut publisher, 4, 10);
    assert!(matches!(
        received.apply_changes(&third, now + Duration::from_secs(9)),
        ChangesResult::Applied(_)
    ));
}
