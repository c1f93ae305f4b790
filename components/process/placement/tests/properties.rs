//! Properties of placement over generated demands, arrivals, deaths, slow stores and late
//! completions, with a view that lags behind the decisions.

mod world;

use proptest::prelude::*;
use world::World;
use world::steps::{Step, step};

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
}
