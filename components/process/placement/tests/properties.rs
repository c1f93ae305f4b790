//! Properties of placement over generated demands, arrivals, deaths, slow stores and late
//! completions, with a view that lags behind the decisions.

mod world;

use placement::{Event, ReplicaView};
use proptest::prelude::*;
use types::prelude::*;
use world::steps::{Step, step};
use world::{World, name};

/// Runs a sequence and returns the violations of one property.
fn violations(weight: u8, steps: &[Step], what: &str) -> Vec<String> {
    let mut world = World::new(weight);
    for s in steps {
        world.run(s);
    }
    world.violations.into_iter().filter(|(w, _)| *w == what).map(|(_, d)| d).collect()
}

fn steps() -> impl Strategy<Value = (u8, Vec<Step>)> {
    (0u8..=100, prop::collection::vec(step(), 1..150))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Guards against loads into memory that an earlier decision has taken already.
    #[test]
    fn loads_never_exceed_accelerator_memory((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "memory"), Vec::<String>::new());
    }

    /// Guards against more replicas of a model than its allowance, with loads not yet shown.
    #[test]
    fn loads_never_exceed_the_allowance((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "allowance"), Vec::<String>::new());
    }

    /// Guards against one load for each instance that asks for the same cold model.
    #[test]
    fn demand_of_many_instances_leads_to_one_load((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "second load"), Vec::<String>::new());
    }

    /// Guards against decisions for servers that are leaving, blocked or gone.
    #[test]
    fn unusable_servers_get_no_decision((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "unusable server"), Vec::<String>::new());
    }

    /// Guards against interrupting requests to make room.
    #[test]
    fn only_idle_replicas_are_unloaded((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "unload of a busy replica"), Vec::<String>::new());
    }

    /// Guards against overloading the weight store with loads and prefetches.
    #[test]
    fn the_store_is_kept_within_its_limits((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "store"), Vec::<String>::new());
    }

    /// Guards against a pool beyond its slots and against dropping an adapter in use.
    #[test]
    fn adapter_pools_are_never_overfilled((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "adapter pool"), Vec::<String>::new());
    }

    /// Guards against more adapter loads in flight than the store serves at full speed.
    #[test]
    fn adapters_in_flight_stay_within_the_limit((weight, steps) in steps()) {
        prop_assert_eq!(violations(weight, &steps, "adapters in flight"), Vec::<String>::new());
    }

    /// Guards against admitting a request that cannot be met because running requests hold all
    /// memory. No replica finishes sooner than after the usual time, which was learned; the load
    /// starts after the unload that follows.
    #[test]
    fn the_promise_is_not_earlier_than_the_first_release(
        usual_ms in 500u64..20_000,
        busy_for_ms in 0u64..20_000,
        replicas in prop::collection::vec((0usize..3, 1u32..5, 0u32..3), 3..9),
    ) {
        let mut w = World::new(50);
        let usual = Duration::from_millis(usual_ms);
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
        let mut all: Vec<_> = (0..world::SERVERS as u64).map(|s| busy(s, s as usize, 1, 0)).collect();
        all.extend(replicas.iter().enumerate().map(|(i, (s, r, q))| busy(10 + i as u64, *s, *r, *q)));
        for (s, server) in w.view.servers.iter_mut().enumerate() {
            server.replicas = all.iter().filter(|r| r.0 == s).map(|r| r.1.clone()).collect();
            let n = server.replicas.len() as u64;
            server.replicas.iter_mut().for_each(|r| r.memory_bytes = server.memory_total / n);
            server.memory_free = 0;
        }
        // They become busy and idle often enough for the usual time to be learned.
        for _ in 0..100 {
            let running = w.view.clone();
            w.tell(Event::ViewChanged);
            w.now += usual;
            let replicas = w.view.servers.iter_mut().flat_map(|s| &mut s.replicas);
            replicas.for_each(|r| (r.running, r.queued) = (0, 0));
            // Placement may not act on the idle ones here.
            w.view.servers.iter_mut().for_each(|s| s.blocked = true);
            w.tell(Event::ViewChanged);
            w.view = running;
        }
        w.tell(Event::ViewChanged);
        let busy_since = w.now;
        w.now += Duration::from_millis(busy_for_ms);
        let target = Target { model: name(0), adapter: None };
        let promise = w.placement.expected_ready(&w.view, &target, w.now).expect("can be loaded");
        let released = (busy_since + usual.mul_f64(0.99)).max(w.now);
        let model = &w.catalogue.models[&name(0)];
        prop_assert!(promise >= released + model.load_time.disk.min(model.load_time.remote),
            "promise {:?}, release {:?}", promise - w.now, released - w.now);
    }
}
