//! How an order to change a server's role can end.

use group::Decision;
use types::prelude::*;

use crate::world::{DECLARED, World, secs};

/// One server that checks fencing numbers and one that ignores them.
const SERVERS: [&str; 2] = ["checks0", "ignores0"];

fn set_role(world: &mut World, owner: usize, server: &str) -> bool {
    let role = ServerRole::Prefill;
    world.decide(owner, Decision::SetRole { server: server.into(), role })
}

/// The role that the owner sees, and whether the server can be given no order.
fn seen(world: &World, owner: usize, server: &str) -> (ServerRole, bool) {
    let view = world.owners[owner].machine.view(world.now);
    (view.servers[server].role, view.servers[server].is_blocked)
}

fn roles_set(world: &World, server: &str) -> usize {
    world.servers.iter().find(|s| *s.name == *server).expect("a server").roles_set
}

fn restart(world: &mut World, server: &str) {
    world.servers.iter_mut().find(|s| *s.name == *server).expect("a server").restart();
}

/// Guards against a change that is shown but leaves its order unresolved, so that a server that
/// ignores fencing numbers would get no other order.
#[test]
fn accepted_change_is_shown_and_resolved() {
    for server in SERVERS {
        let mut world = World::idle(21);
        world.allot(0, "m0", DECLARED);
        assert!(set_role(&mut world, 0, server));
        world.run_for(1.0);
        assert_eq!(seen(&world, 0, server), (ServerRole::Prefill, false), "{server}");
        assert_eq!(roles_set(&world, server), 1);
        assert!(world.load(0, server, "m0"), "{server} gets no other order");
    }
}

/// Guards against a refused change that is taken as made, or that blocks the server.
#[test]
fn refused_change_leaves_the_role_and_frees_the_server() {
    for server in SERVERS {
        let mut world = World::idle(22);
        world.allot(0, "m0", DECLARED);
        world.servers.iter_mut().for_each(|s| s.refuses_roles = true);
        assert!(set_role(&mut world, 0, server));
        world.run_for(1.0);
        assert_eq!(seen(&world, 0, server), (ServerRole::Mixed, false), "{server}");
        assert_eq!(roles_set(&world, server), 0);
        assert!(world.load(0, server, "m0"), "{server} gets no other order");
    }
}

/// Guards against a second order, or a lasting block, after an answer that was lost: the outcome
/// in the server's report resolves the order.
#[test]
fn change_whose_answer_is_lost_is_resolved_by_the_report() {
    for server in SERVERS {
        let mut world = World::idle(23);
        world.lost_results = 1.0;
        assert!(set_role(&mut world, 0, server));
        world.run_for(1.0);
        assert_eq!(seen(&world, 0, server), (ServerRole::Prefill, false), "{server}");
        world.run_for(30.0);
        assert_eq!(roles_set(&world, server), 1, "{server} was ordered again");
    }
}

/// Guards against another order to a server that ignores fencing numbers while a change may still
/// arrive, by the owner and by its successor. At a server that checks them a seal ends the wait,
/// and the late change is refused.
#[test]
fn change_that_leaves_no_trace_blocks_only_servers_that_ignore_fencing() {
    for server in SERVERS {
        let ignores = server == "ignores0";
        let mut world = World::idle(24);
        world.late = (1.0, secs(1_000.0));
        assert!(set_role(&mut world, 0, server));
        world.run_for(0.1);
        world.late.0 = 0.0;
        world.run_for(20.0);
        assert_eq!(seen(&world, 0, server), (ServerRole::Mixed, ignores), "{server}");
        world.kill(0);
        world.run_for(11.0);
        assert!(world.take_over(0));
        world.run_for(5.0);
        assert_eq!(seen(&world, 1, server), (ServerRole::Mixed, ignores), "{server}, successor");
        assert_eq!(set_role(&mut world, 1, server), !ignores, "{server}");
        world.run_for(1_000.0);
        assert_eq!(seen(&world, 1, server), (ServerRole::Prefill, false), "{server}");
        assert_eq!(roles_set(&world, server), 1, "{server}: the late order and another one ran");
    }
}

/// Guards against a change that is expected for good although the server restarted after it had
/// accepted it: the new incarnation has the first role again.
#[test]
fn change_that_was_accepted_before_a_restart_is_forgotten() {
    for server in SERVERS {
        let mut world = World::idle(25);
        assert!(set_role(&mut world, 0, server));
        while roles_set(&world, server) == 0 {
            world.run_for(0.001);
        }
        restart(&mut world, server);
        world.run_for(2.0);
        assert_eq!(seen(&world, 0, server), (ServerRole::Mixed, false), "{server}");
        assert!(set_role(&mut world, 0, server), "{server} gets no other order");
        world.run_for(1.0);
        assert_eq!(seen(&world, 0, server), (ServerRole::Prefill, false), "{server}");
    }
}

/// Guards against releasing an order that was on its way when the server restarted: it may reach
/// the new incarnation, and then it counts.
#[test]
fn change_on_its_way_over_a_restart_is_counted_until_its_outcome_is_shown() {
    for server in SERVERS {
        let ignores = server == "ignores0";
        let mut world = World::idle(26);
        world.late_survives_restart = true;
        world.late = (1.0, secs(100.0));
        assert!(set_role(&mut world, 0, server));
        world.run_for(0.1);
        world.late.0 = 0.0;
        restart(&mut world, server);
        world.run_for(1.0);
        assert_eq!(seen(&world, 0, server), (ServerRole::Mixed, ignores), "{server}");
        world.run_for(100.0);
        // A server that checks fencing numbers refuses the order once a seal has passed it.
        let role = if ignores { ServerRole::Prefill } else { ServerRole::Mixed };
        assert_eq!(seen(&world, 0, server), (role, false), "{server}");
        assert_eq!(roles_set(&world, server), usize::from(ignores), "{server}");
    }
}
