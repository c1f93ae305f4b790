//! Receivers follow the owner's state through whole states and loads.

use group::{Publication, Publisher, Received};
use proptest::prelude::*;
use types::prelude::*;

fn state(sequence: u64, loads: &[u32], adapters: usize) -> GroupState {
    let replica = |(n, load): (usize, &u32)| ReplicaState {
        replica: n as u64,
        model: format!("model-{n}").into(),
        phase: ReplicaPhase::Ready,
        max_batch: 8,
        running: *load,
        queued: load / 8,
        adapters: (0..adapters).map(|a| format!("adapter-{a}").into()).collect(),
    };
    let server = ServerState {
        server: "engine".into(),
        address: "127.0.0.1:1".into(),
        incarnation: 1,
        leaving: false,
        reachable: true,
        load_age_ms: 5,
        replicas: loads.iter().enumerate().map(replica).collect(),
    };
    GroupState {
        group: "g".into(),
        owner: "entry".into(),
        fencing: 1,
        sequence,
        store: StoreUse { loads: loads[0] / 8, ..StoreUse::default() },
        servers: vec![server],
    }
}

proptest! {
    // Guards against receivers whose view drifts from the owner's: adapters and phases must always
    // agree, loads up to the part that is not worth a message. Fails if loads are applied to
    // another whole state than the one that they refer to.
    #[test]
    fn receivers_follow_the_owner(
        steps in prop::collection::vec(
            (prop::collection::vec(0_u32..40, 3), 0_usize..3, any::<bool>()),
            1..30,
        ),
    ) {
        let (mut publisher, mut received) = (Publisher::default(), Received::default());
        let mut known: Option<GroupState> = None;
        for (sequence, (loads, adapters, is_lost)) in steps.into_iter().enumerate() {
            let state = state(sequence as u64 + 1, &loads, adapters);
            let publication = publisher.publish(state.clone());
            if is_lost {
                continue;
            }
            match publication {
                Some(Publication::Whole(whole)) => {
                    received.whole(&whole);
                    known = Some((*whole).clone());
                }
                Some(Publication::Loads(loads)) => {
                    if let Some(merged) = received.loads(&loads) {
                        known = Some(merged.clone());
                        prop_assert_eq!(merged.store, state.store);
                        for (a, b) in merged.servers[0].replicas.iter().zip(&state.servers[0].replicas) {
                            prop_assert_eq!(&a.adapters, &b.adapters);
                        }
                    }
                }
                None => {}
            }
        }
        // Whatever was lost, the next whole state brings the receiver up to date.
        let last = state(1_000, &[1, 2, 3], 1);
        let Publication::Whole(whole) = publisher.whole(last.clone()) else {
            return Err(TestCaseError::fail("not a whole state"));
        };
        received.whole(&whole);
        prop_assert!(known.is_none_or(|known| known.sequence < 1_000));
        prop_assert_eq!(&*whole, &last);
    }
}

// Guards against a message to every instance for each finished request.
#[test]
fn small_changes_of_load_are_not_published() {
    let mut publisher = Publisher::default();
    assert!(matches!(publisher.publish(state(1, &[10, 0], 0)), Some(Publication::Whole(_))));
    assert!(publisher.publish(state(2, &[11, 0], 0)).is_none());
    assert!(matches!(publisher.publish(state(3, &[13, 0], 0)), Some(Publication::Loads(_))));
    assert!(matches!(publisher.publish(state(4, &[13, 1], 0)), Some(Publication::Loads(_))));
    assert!(matches!(publisher.publish(state(5, &[13, 1], 1)), Some(Publication::Whole(_))));
}
