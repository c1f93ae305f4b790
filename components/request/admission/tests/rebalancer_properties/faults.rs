//! Faults of the moves, each by itself.

use super::*;

/// Guards against a client account that gets only its data centre's part of a limit although nobody uses
/// the rest.
#[test]
fn unused_parts_of_others_arrive_where_they_are_wanted() {
    let mut world = World::new();
    for at in 0..CENTRES * INSTANCES {
        world.run(Step::Want { at, concurrent: if at < INSTANCES { 6 } else { 0 } });
    }
    world.settle(60);
    assert!(world.held(0) > SPAN_LENGTH / 10 * 9, "{} of {SPAN_LENGTH}", world.held(0));
    let moves = world.moves;
    world.settle(60);
    assert!(world.moves <= moves + 8, "{} more writes with steady wants", world.moves - moves);
}

/// Guards against moves for a burst that is over before they are.
#[test]
fn want_of_less_than_ten_seconds_moves_nothing() {
    let mut world = World::new();
    world.run(Step::Want { at: 0, concurrent: 7 });
    world.settle(2);
    world.run(Step::Want { at: 0, concurrent: 0 });
    world.settle(20);
    assert_eq!(world.moves, 0);
}

/// Guards against parts that swing between data centres whose wants rise and fall in turn.
#[test]
fn received_parts_are_kept_for_some_time() {
    let mut world = World::new();
    for at in 0..CENTRES * INSTANCES {
        world.run(Step::Want { at, concurrent: if at < INSTANCES { 6 } else { 0 } });
    }
    world.settle(8);
    let received = world.held(0);
    assert!(received > SPAN_LENGTH / 3 + MIN_TRANSFER_LENGTH);
    for at in 0..2 * INSTANCES {
        world.run(Step::Want { at, concurrent: if at < INSTANCES { 0 } else { 6 } });
    }
    // Less than the time since the first parts arrived. More may arrive that was promised before.
    world.settle(7);
    assert!(world.held(0) >= received, "given away before {RETENTION_TIME:?}");
    world.settle(30);
    assert!(world.held(1) > SPAN_LENGTH / 2, "never given away: {}", world.held(1));
}

/// Guards against moves while the platform is away, and by a holder whose lease lapsed.
#[test]
fn nothing_moves_without_the_platform_or_the_lease() {
    let mut world = World::new();
    for at in 0..INSTANCES {
        world.run(Step::Want { at, concurrent: 7 });
    }
    world.settle(1);
    world.run(Step::Pass { ms: 30_000 });
    let it = &mut world.runs[0];
    let tick =
        |it: &mut Run, is_away, now| it.mover.on_timer(&mut it.holder, &[name(1)], is_away, 9, now);
    world.now += MIN_UNMET_TIME;
    assert_eq!(tick(it, true, world.now), []);
    it.mover.on_lease_lost();
    assert_eq!(tick(it, false, world.now + MIN_UNMET_TIME), []);
}

/// A world in which `d1` has withheld parts for `d0` that its instances, which missed the change
/// of their grants, may still use.
fn promised() -> World {
    let mut world = World::new();
    for at in 0..2 * INSTANCES {
        world.run(Step::Want { at, concurrent: 7 });
    }
    world.run(Step::Renew { centre: 0, lost: false });
    world.run(Step::Renew { centre: 1, lost: false });
    for at in INSTANCES..2 * INSTANCES {
        world.run(Step::Want { at, concurrent: 0 });
    }
    world.run(Step::Renew { centre: 1, lost: true });
    let unmet = BTreeMap::from([("c0".into(), SPAN_LENGTH)]);
    let donor = &mut world.runs[1];
    let lengths = donor.mover.on_parts_requested(&mut donor.holder, &name(0), &unmet, world.now);
    assert!(lengths["c0"] >= SPAN_LENGTH / 7, "{lengths:?}");
    world
}

/// Guards against giving parts away that an instance may still use because its grant was lost.
#[test]
fn promised_parts_are_given_once_no_instance_can_use_them() {
    let mut world = promised();
    world.run(Step::Tick { run: 1 });
    assert!(world.calls.is_empty(), "written while in use: {:?}", world.calls[0].action);
    world.now += GRANT_TERM + GRANT_MARGIN;
    world.run(Step::Tick { run: 1 });
    assert!(matches!(world.calls[0].action, RebalanceAction::Write { .. }));
}

/// Guards against granting parts again because the answer to the write that gave them away was
/// lost and the platform could not be read since.
#[test]
fn parts_stay_withheld_while_the_outcome_of_their_transfer_is_unknown() {
    let mut world = promised();
    world.now += GRANT_TERM + GRANT_MARGIN;
    world.run(Step::Tick { run: 1 });
    world.run(Step::Serve { pick: 0, lost: true });
    world.run(Step::Tick { run: 1 });
    world.run(Step::Serve { pick: 0, lost: true });
    world.runs[0].mover.on_other_share_changed("d1");
    world.run(Step::Tick { run: 0 });
    world.arrive();
    world.now += Duration::from_secs(60);
    let it = &mut world.runs[1];
    assert_eq!(it.mover.on_timer(&mut it.holder, &[], true, 9, world.now), []);
    for at in 0..CENTRES * INSTANCES {
        world.run(Step::Want { at, concurrent: 7 });
    }
    // Every part is in use now, so that one that is used twice exceeds the limit.
    (0..CENTRES).for_each(|centre| world.run(Step::Renew { centre, lost: false }));
    world.check();
    world.settle(20);
    assert!(world.stored.iter().all(|(_, share)| share.given.is_empty()));
}
