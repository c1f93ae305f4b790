//! Tests of the groups that are asked for models, and of the candidates for key ranges.

use rstest::rstest;
use types::prelude::*;

use crate::demand::DemandRouting;
use crate::directory::Directory;

fn state(group: &str, model: &str, phase: ReplicaPhase) -> GroupState {
    let replica = ReplicaState {
        replica: 1,
        model: model.into(),
        phase,
        max_batch: 8,
        running: 0,
        queued: 0,
        adapters: Vec::new(),
    };
    let server = ServerState {
        server: "engine".into(),
        address: "127.0.0.1:1".into(),
        incarnation: 1,
        leaving: false,
        reachable: true,
        load_age_ms: 0,
        replicas: vec![replica],
    };
    GroupState {
        group: group.into(),
        owner: "entry".into(),
        fencing: 1,
        store: StoreUse::default(),
        sequence: 1,
        servers: vec![server],
    }
}

fn engine(name: &str, group: &str) -> ListedInstance {
    ListedInstance {
        name: name.into(),
        role: ListedRole::Engine,
        data_centre: "north".into(),
        group: group.into(),
        address: "127.0.0.1:1".into(),
        state: ListedState::Live,
        checks_fencing: true,
    }
}

// Guards against instances that ask different groups, so that one burst causes several loads.
#[test]
fn every_instance_asks_the_same_group() {
    let candidates = |list: Vec<ListedInstance>| {
        let mut directory = Directory::default();
        directory.update(list, &"north".into());
        directory.groups_by_preference("tally")
    };
    let list: Vec<_> = (0..5).map(|n| engine(&format!("e{n}"), &format!("g{n}"))).collect();
    let reversed = list.iter().rev().cloned().collect();
    assert_eq!(candidates(list), candidates(reversed));
}

// Guards against a second load in another group while the first is in progress or ready.
#[rstest]
#[case(ReplicaPhase::Loading, "g2")]
#[case(ReplicaPhase::Ready, "g2")]
#[case(ReplicaPhase::Unloading, "g1")]
fn a_group_that_holds_the_model_is_asked_first(
    #[case] phase: ReplicaPhase,
    #[case] expected: &str,
) {
    let mut demand = DemandRouting::default();
    let candidates: Vec<GroupId> = vec!["g1".into(), "g2".into()];
    demand.apply_state(&state("g2", "tally", phase));
    let group = demand.group_for(&"tally".into(), &candidates, Instant::now());
    assert_eq!(group.as_deref(), Some(expected));
}

// Guards against asking a full group for ever, and against never asking it again.
#[test]
fn a_group_that_refused_is_skipped_for_a_while() {
    let mut demand = DemandRouting::default();
    let (now, model) = (Instant::now(), "tally".into());
    let candidates: Vec<GroupId> = vec!["g1".into(), "g2".into()];
    demand.record_refusal(&model, &"g1".into(), now);
    assert_eq!(demand.group_for(&model, &candidates, now).as_deref(), Some("g2"));
    demand.record_refusal(&model, &"g2".into(), now);
    assert_eq!(demand.group_for(&model, &candidates, now), None);
    let later = now + Duration::from_secs(3);
    assert_eq!(demand.group_for(&model, &candidates, later).as_deref(), Some("g1"));
}

// Guards against a key range for which two data centres, or none, are candidates.
#[test]
fn each_key_range_has_one_candidate_data_centre() {
    let entry = |name: &str, data_centre: &str| ListedInstance {
        role: ListedRole::Entry,
        data_centre: data_centre.into(),
        ..engine(name, "")
    };
    let list = vec![entry("a", "north"), entry("b", "south"), entry("c", "west")];
    let mut owned = Vec::new();
    for own in ["north", "south", "west"] {
        let mut directory = Directory::default();
        directory.update(list.clone(), &own.into());
        let groups = directory.candidate_groups(&own.into());
        owned.extend(groups.into_iter().filter(|g| g.starts_with("keys/")));
    }
    let distinct: BTreeSet<_> = owned.iter().collect();
    assert_eq!((owned.len(), distinct.len()), (32, 32));
}
