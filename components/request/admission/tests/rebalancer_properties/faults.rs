//! Tests of single failure modes of transfers between data centres.

use super::*;

/// Guards against a client account that is limited to its data centre's part of a limit although
/// the rest is unused.
#[test]
fn unused_parts_move_to_the_data_centre_with_demand() {
    let mut sim = Simulation::new();
    for instance in 0..DATA_CENTRES * INSTANCES {
        sim.apply(Step::SetNeed { instance, concurrent: if instance < INSTANCES { 6 } else { 0 } });
    }
    sim.settle(60);
    assert!(sim.held_length(0) > SPAN_LENGTH / 10 * 9, "{} of {SPAN_LENGTH}", sim.held_length(0));
    let earlier_writes = sim.transfer_writes;
    sim.settle(60);
    assert!(
        sim.transfer_writes <= earlier_writes + 8,
        "{} more writes under steady demand",
        sim.transfer_writes - earlier_writes
    );
}

/// Guards against transfers for a burst that ends before they would.
#[test]
fn demand_of_less_than_ten_seconds_moves_nothing() {
    let mut sim = Simulation::new();
    sim.apply(Step::SetNeed { instance: 0, concurrent: 7 });
    sim.settle(2);
    sim.apply(Step::SetNeed { instance: 0, concurrent: 0 });
    sim.settle(20);
    assert_eq!(sim.transfer_writes, 0);
}

/// Guards against parts that oscillate between data centres with alternating demand.
#[test]
fn received_parts_are_retained_for_some_time() {
    let mut sim = Simulation::new();
    for instance in 0..DATA_CENTRES * INSTANCES {
        sim.apply(Step::SetNeed { instance, concurrent: if instance < INSTANCES { 6 } else { 0 } });
    }
    sim.settle(8);
    let received = sim.held_length(0);
    assert!(received > SPAN_LENGTH / 3 + MIN_TRANSFER_LENGTH);
    for instance in 0..2 * INSTANCES {
        sim.apply(Step::SetNeed { instance, concurrent: if instance < INSTANCES { 0 } else { 6 } });
    }
    // The retention of the first received parts has not ended. More parts may arrive, because they
    // were promised before.
    sim.settle(7);
    assert!(sim.held_length(0) >= received, "given away before {RETENTION_TIME:?}");
    sim.settle(30);
    assert!(sim.held_length(1) > SPAN_LENGTH / 2, "never given away: {}", sim.held_length(1));
}

/// Guards against transfers while the platform is unreachable or after the holder has lost its
/// lease.
#[test]
fn nothing_moves_without_the_platform_or_the_lease() {
    let mut sim = Simulation::new();
    for instance in 0..INSTANCES {
        sim.apply(Step::SetNeed { instance, concurrent: 7 });
    }
    sim.settle(1);
    sim.apply(Step::AdvanceTime { ms: 30_000 });
    let run = &mut sim.runs[0];
    let tick = |run: &mut HolderRun, is_unreachable, now| {
        run.rebalancer.on_timer(&mut run.holder, &[data_centre_name(1)], is_unreachable, 9, now)
    };
    sim.now += MIN_UNMET_TIME;
    assert_eq!(tick(run, true, sim.now), []);
    run.rebalancer.on_lease_lost();
    assert_eq!(tick(run, false, sim.now + MIN_UNMET_TIME), []);
}

/// Creates a simulation in which `d1` withholds parts for `d0`. Its instances may still use the
/// parts, because they missed the change of their grants.
fn simulation_with_promise() -> Simulation {
    let mut sim = Simulation::new();
    for instance in 0..2 * INSTANCES {
        sim.apply(Step::SetNeed { instance, concurrent: 7 });
    }
    sim.apply(Step::Renew { data_centre: 0, is_lost: false });
    sim.apply(Step::Renew { data_centre: 1, is_lost: false });
    for instance in INSTANCES..2 * INSTANCES {
        sim.apply(Step::SetNeed { instance, concurrent: 0 });
    }
    sim.apply(Step::Renew { data_centre: 1, is_lost: true });
    let unmet = BTreeMap::from([("c0".into(), SPAN_LENGTH)]);
    let donor = &mut sim.runs[1];
    let lengths = donor.rebalancer.on_parts_requested(
        &mut donor.holder,
        &data_centre_name(0),
        &unmet,
        sim.now,
    );
    assert!(lengths["c0"] >= SPAN_LENGTH / 7, "{lengths:?}");
    sim
}

/// Guards against giving away parts that an instance may still use because it missed a newer grant.
#[test]
fn promised_parts_are_given_once_no_instance_can_use_them() {
    let mut sim = simulation_with_promise();
    sim.apply(Step::Tick { run: 1 });
    assert!(sim.calls.is_empty(), "written while in use: {:?}", sim.calls[0].action);
    sim.now += GRANT_TERM + GRANT_MARGIN;
    sim.apply(Step::Tick { run: 1 });
    assert!(matches!(sim.calls[0].action, RebalanceAction::Write { .. }));
}

/// Guards against granting parts that were given away: the reply to the write was lost and the
/// platform could not be read since.
#[test]
fn parts_stay_withheld_while_the_outcome_of_their_transfer_is_unknown() {
    let mut sim = simulation_with_promise();
    sim.now += GRANT_TERM + GRANT_MARGIN;
    sim.apply(Step::Tick { run: 1 });
    sim.apply(Step::ExecuteCall { index: 0, is_lost: true });
    sim.apply(Step::Tick { run: 1 });
    sim.apply(Step::ExecuteCall { index: 0, is_lost: true });
    sim.runs[0].rebalancer.on_other_share_changed("d1");
    sim.apply(Step::Tick { run: 0 });
    sim.deliver_all();
    sim.now += Duration::from_secs(60);
    let run = &mut sim.runs[1];
    assert_eq!(run.rebalancer.on_timer(&mut run.holder, &[], true, 9, sim.now), []);
    for instance in 0..DATA_CENTRES * INSTANCES {
        sim.apply(Step::SetNeed { instance, concurrent: 7 });
    }
    // All parts are in use now, so a part that is granted twice exceeds the limit.
    (0..DATA_CENTRES)
        .for_each(|data_centre| sim.apply(Step::Renew { data_centre, is_lost: false }));
    sim.check();
    sim.settle(20);
    assert!(sim.stored.iter().all(|(_, share)| share.given.is_empty()));
}
