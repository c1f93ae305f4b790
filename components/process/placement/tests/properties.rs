//! Properties of placement over generated demand, arrivals, server failures, slow stores and late
//! completions, with a view that lags behind the decisions.

mod simulation;

use placement::{Event, ReplicaView};
use proptest::prelude::*;
use simulation::steps::{Step, step};
use simulation::{Simulation, name};
use types::prelude::*;

/// Runs a sequence of steps and returns the violations of one property.
fn violations(weight: u8, steps: &[Step], property: &str) -> Vec<String> {
    let mut sim = Simulation::new(weight);
    for s in steps {
        sim.run_step(s);
    }
    sim.violations.into_iter().filter(|(p, _)| *p == property).map(|(_, d)| d).collect()
}

fn steps() -> impl Strategy<Value = (u8, Vec<Step>)> {
    (0u8..=100, prop::collection::vec(step(), 1..150))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Guards against loads into memory that an earlier decision has already used.
    #[test]
    fn loads_never_exceed_accelerator_memory((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "memory"), Vec::<String>::new());
    }

    /// Guards against more replicas of a model than its allowance while the view does not show all
    /// loads.
    #[test]
    fn loads_never_exceed_the_allowance((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "allowance"), Vec::<String>::new());
    }

    /// Guards against a separate load for each instance that needs the same cold model.
    #[test]
    fn demand_of_many_instances_leads_to_one_load((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "second load"), Vec::<String>::new());
    }

    /// Guards against decisions for servers that are leaving, blocked or gone.
    #[test]
    fn unusable_servers_get_no_decision((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "unusable server"), Vec::<String>::new());
    }

    /// Guards against interrupting requests to free memory.
    #[test]
    fn only_idle_replicas_are_unloaded((weight, steps) in steps()) {
        prop_assert_eq!(
            violations(weight, &steps, "unload of a busy replica"),
            Vec::<String>::new()
        );
    }

    /// Guards against overloading the weight store with loads and prefetches.
    #[test]
    fn store_loads_stay_within_the_limits((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "store"), Vec::<String>::new());
    }

    /// Guards against more adapters in a pool than it has slots, and against evicting an adapter in
    /// use.
    #[test]
    fn adapter_pools_are_never_overfilled((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "adapter pool"), Vec::<String>::new());
    }

    /// Guards against more adapter loads in flight than the store serves at full speed.
    #[test]
    fn adapters_in_flight_stay_within_the_limit((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "adapters in flight"), Vec::<String>::new());
    }

    /// Guards against admitting a request that cannot be served in time because running requests
    /// hold all memory. No replica finishes before the learned mean busy time; the load starts
    /// after the unload that follows.
    #[test]
    fn expected_ready_is_not_before_the_first_release(
        mean_busy_ms in 500u64..20_000,
        busy_for_ms in 0u64..20_000,
        replicas in prop::collection::vec((0usize..3, 1u32..5, 0u32..3), 3..9),
    ) {
        let mut sim = Simulation::new(50);
        let mean_busy = Duration::from_millis(mean_busy_ms);
        let busy = |id: u64, server: usize, running: u32, queued: u32| (server, ReplicaView {
            replica: id,
            model: name(5),
            phase: ReplicaPhase::Ready,
            memory_bytes: 0,
            last_used: Instant::now(),
            running,
            queued,
            adapters: Vec::new(),
        });
        // Every server is full of busy replicas.
        let mut all: Vec<_> =
            (0..simulation::SERVERS as u64).map(|s| busy(s, s as usize, 1, 0)).collect();
        all.extend(
            replicas.iter().enumerate().map(|(i, (s, r, q))| busy(10 + i as u64, *s, *r, *q))
        );
        for (s, server) in sim.view.servers.iter_mut().enumerate() {
            server.replicas = all.iter().filter(|r| r.0 == s).map(|r| r.1.clone()).collect();
            let n = server.replicas.len() as u64;
            server.replicas.iter_mut().for_each(|r| r.memory_bytes = server.memory_total / n);
            server.memory_free = 0;
        }
        // The replicas become busy and idle often enough for placement to learn the mean busy time.
        for _ in 0..100 {
            let running = sim.view.clone();
            sim.send(Event::ViewChanged);
            sim.now += mean_busy;
            let replicas = sim.view.servers.iter_mut().flat_map(|s| &mut s.replicas);
            replicas.for_each(|r| (r.running, r.queued) = (0, 0));
            // The servers are blocked so that placement does not unload the idle replicas.
            sim.view.servers.iter_mut().for_each(|s| s.blocked = true);
            sim.send(Event::ViewChanged);
            sim.view = running;
        }
        sim.send(Event::ViewChanged);
        let busy_since = sim.now;
        sim.now += Duration::from_millis(busy_for_ms);
        let target = Target { model: name(0), adapter: None };
        let expected_ready =
            sim.placement.expected_ready(&sim.view, &target, sim.now).expect("can be loaded");
        let released = (busy_since + mean_busy.mul_f64(0.99)).max(sim.now);
        let model = &sim.catalogue.models[&name(0)];
        prop_assert!(expected_ready >= released + model.load_time.disk.min(model.load_time.remote),
            "expected {:?}, release {:?}", expected_ready - sim.now, released - sim.now);
    }
}
