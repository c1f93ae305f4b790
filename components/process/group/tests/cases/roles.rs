//! Tests the possible results of an order that changes a server's role.

use group::Decision;
use types::prelude::*;

use crate::simulation::{DECLARED, Simulation, secs};

/// One server that checks fencing numbers and one that ignores them.
const SERVERS: [&str; 2] = ["checks0", "ignores0"];

fn set_role(sim: &mut Simulation, owner: usize, server: &str) -> bool {
    let role = ServerRole::Prefill;
    sim.decide(owner, Decision::SetRole { server: server.into(), role })
}

/// The role that the owner sees, and whether the server must not get an order.
fn role_and_blocked(sim: &Simulation, owner: usize, server: &str) -> (ServerRole, bool) {
    let view = sim.owners[owner].machine.view(sim.now);
    (view.servers[server].role, view.servers[server].is_blocked)
}

fn role_changes(sim: &Simulation, server: &str) -> usize {
    sim.servers.iter().find(|s| *s.name == *server).expect("a server").role_changes
}

fn restart(sim: &mut Simulation, server: &str) {
    sim.servers.iter_mut().find(|s| *s.name == *server).expect("a server").restart();
}

/// Guards against an order that stays unresolved although the report shows the new role, so that a
/// server that ignores fencing numbers would get no other order.
#[test]
fn accepted_change_is_shown_and_resolved() {
    for server in SERVERS {
        let mut sim = Simulation::idle(21);
        sim.allot(0, "m0", DECLARED);
        assert!(set_role(&mut sim, 0, server));
        sim.run_for(1.0);
        assert_eq!(role_and_blocked(&sim, 0, server), (ServerRole::Prefill, false), "{server}");
        assert_eq!(role_changes(&sim, server), 1);
        assert!(sim.load(0, server, "m0"), "{server} gets no other order");
    }
}

/// Guards against treating a refused change as made, and against a server that stays blocked by it.
#[test]
fn refused_change_leaves_the_role_and_frees_the_server() {
    for server in SERVERS {
        let mut sim = Simulation::idle(22);
        sim.allot(0, "m0", DECLARED);
        sim.servers.iter_mut().for_each(|s| s.refuses_role_changes = true);
        assert!(set_role(&mut sim, 0, server));
        sim.run_for(1.0);
        assert_eq!(role_and_blocked(&sim, 0, server), (ServerRole::Mixed, false), "{server}");
        assert_eq!(role_changes(&sim, server), 0);
        assert!(sim.load(0, server, "m0"), "{server} gets no other order");
    }
}

/// Guards against a second order, or a server that stays blocked, after the answer to the order was
/// lost. The outcome in the server's report must resolve the order.
#[test]
fn change_whose_answer_is_lost_is_resolved_by_the_report() {
    for server in SERVERS {
        let mut sim = Simulation::idle(23);
        sim.lost_results = 1.0;
        assert!(set_role(&mut sim, 0, server));
        sim.run_for(1.0);
        assert_eq!(role_and_blocked(&sim, 0, server), (ServerRole::Prefill, false), "{server}");
        sim.run_for(30.0);
        assert_eq!(role_changes(&sim, server), 1, "{server} was ordered again");
    }
}

/// Guards against another order, by the owner or its successor, to a server that ignores fencing
/// numbers while a role change may still arrive. At a server that checks them, a seal resolves the
/// order and the server refuses the late change.
#[test]
fn change_with_an_unknown_result_blocks_only_servers_that_ignore_fencing() {
    for server in SERVERS {
        let ignores = server == "ignores0";
        let mut sim = Simulation::idle(24);
        sim.late_orders = (1.0, secs(1_000.0));
        assert!(set_role(&mut sim, 0, server));
        sim.run_for(0.1);
        sim.late_orders.0 = 0.0;
        sim.run_for(20.0);
        assert_eq!(role_and_blocked(&sim, 0, server), (ServerRole::Mixed, ignores), "{server}");
        sim.kill(0);
        sim.run_for(11.0);
        assert!(sim.take_over(0));
        sim.run_for(5.0);
        assert_eq!(
            role_and_blocked(&sim, 1, server),
            (ServerRole::Mixed, ignores),
            "{server}, successor"
        );
        assert_eq!(set_role(&mut sim, 1, server), !ignores, "{server}");
        sim.run_for(1_000.0);
        assert_eq!(role_and_blocked(&sim, 1, server), (ServerRole::Prefill, false), "{server}");
        assert_eq!(role_changes(&sim, server), 1, "{server}: the late order and another one ran");
    }
}

/// Guards against an order that stays unresolved because the server restarted after it had accepted
/// the change. The new incarnation has the initial role again.
#[test]
fn change_that_was_accepted_before_a_restart_is_dropped() {
    for server in SERVERS {
        let mut sim = Simulation::idle(25);
        assert!(set_role(&mut sim, 0, server));
        while role_changes(&sim, server) == 0 {
            sim.run_for(0.001);
        }
        restart(&mut sim, server);
        sim.run_for(2.0);
        assert_eq!(role_and_blocked(&sim, 0, server), (ServerRole::Mixed, false), "{server}");
        assert!(set_role(&mut sim, 0, server), "{server} gets no other order");
        sim.run_for(1.0);
        assert_eq!(role_and_blocked(&sim, 0, server), (ServerRole::Prefill, false), "{server}");
    }
}

/// Guards against dropping an order that was in flight when the server restarted, because it may
/// still change the role of the new incarnation.
#[test]
fn change_in_flight_during_a_restart_stays_unresolved_until_its_outcome_is_reported() {
    for server in SERVERS {
        let ignores = server == "ignores0";
        let mut sim = Simulation::idle(26);
        sim.late_orders_survive_restart = true;
        sim.late_orders = (1.0, secs(100.0));
        assert!(set_role(&mut sim, 0, server));
        sim.run_for(0.1);
        sim.late_orders.0 = 0.0;
        restart(&mut sim, server);
        sim.run_for(1.0);
        assert_eq!(role_and_blocked(&sim, 0, server), (ServerRole::Mixed, ignores), "{server}");
        sim.run_for(100.0);
        // A server that checks fencing numbers refuses the order if a seal arrived before it.
        let role = if ignores { ServerRole::Prefill } else { ServerRole::Mixed };
        assert_eq!(role_and_blocked(&sim, 0, server), (role, false), "{server}");
        assert_eq!(role_changes(&sim, server), usize::from(ignores), "{server}");
    }
}
