//! Property test of quotas under losses, delays, cuts, freezes, restarts, new instances, changes of
//! the holder and changes of the quota.

mod quota_support;

use admission::quota::*;
use proptest::prelude::*;
use quota_support::{Sim, assert_within};
use types::prelude::*;

const INSTANCES: usize = 5;
const LIMITS: QuotaLimits = QuotaLimits { per_second: 4_200, burst: 4_200 };
const LOWERED: QuotaLimits = QuotaLimits { per_second: 1_000, burst: 2_500 };

#[derive(Clone, Debug)]
enum Step {
    Requests {
        instance: usize,
        cost: u64,
        count: usize,
    },
    /// All instances send more than the quota.
    Load {
        cost: u64,
        ms: u64,
    },
    Run {
        ms: u64,
    },
    Network {
        loss_percent: u64,
        delay_ms: u64,
    },
    Cut {
        instance: usize,
        is_cut: bool,
    },
    Freeze {
        instance: usize,
        ms: u64,
    },
    Restart {
        instance: usize,
    },
    RestartAll,
    Holders {
        first: InstanceKey,
        second: InstanceKey,
    },
    Quota {
        instance: usize,
        is_lowered: bool,
    },
    Add,
    LearnInstances,
}

fn step() -> impl Strategy<Value = Step> {
    let instance = || 0..INSTANCES;
    prop_oneof![
        30 => (instance(), 20..4_200u64, 1..12usize)
            .prop_map(|(instance, cost, count)| Step::Requests { instance, cost, count }),
        12 => (prop_oneof![3 => 40..400u64, 1 => 800..4_200u64], 100..1_500u64)
            .prop_map(|(cost, ms)| Step::Load { cost, ms }),
        12 => (5..400u64).prop_map(|ms| Step::Run { ms }),
        3 => (400..4_000u64).prop_map(|ms| Step::Run { ms }),
        2 => (0..40u64, prop_oneof![3 => 1..20u64, 1 => 100..2_000u64])
            .prop_map(|(loss_percent, delay_ms)| Step::Network { loss_percent, delay_ms }),
        2 => (instance(), any::<bool>())
            .prop_map(|(instance, is_cut)| Step::Cut { instance, is_cut }),
        2 => (instance(), 50..3_000u64).prop_map(|(instance, ms)| Step::Freeze { instance, ms }),
        2 => instance().prop_map(|instance| Step::Restart { instance }),
        1 => Just(Step::RestartAll),
        2 => (0..INSTANCES as InstanceKey, 0..INSTANCES as InstanceKey)
            .prop_map(|(first, second)| Step::Holders { first, second }),
        1 => (instance(), any::<bool>())
            .prop_map(|(instance, is_lowered)| Step::Quota { instance, is_lowered }),
        1 => Just(Step::Add),
        3 => Just(Step::LearnInstances),
    ]
}

/// Splitmix, so that the network follows from the seed of the case.
fn network(mut state: u64, loss_percent: u64, delay_ms: u64) -> quota_support::Network {
    Box::new(move || {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 20;
        let delay = Duration::from_millis(1 + mixed / 100 % delay_ms.max(1));
        (mixed % 100 >= loss_percent).then_some(delay)
    })
}

fn apply(sim: &mut Sim, step: &Step, seed: u64) {
    match *step {
        Step::Requests { instance, cost, count } => {
            for _ in 0..count {
                sim.request(instance, cost, Duration::from_millis(100));
                sim.run(Duration::from_millis(5));
            }
        }
        Step::Load { cost, ms } => {
            let end = sim.now + Duration::from_millis(ms);
            while sim.now < end {
                for instance in 0..sim.nodes.len() {
                    sim.request(instance, cost, Duration::from_millis(100));
                }
                sim.run(Duration::from_millis(cost / 40).max(Duration::from_millis(5)));
            }
        }
        Step::Run { ms } => sim.run(Duration::from_millis(ms)),
        Step::Network { loss_percent, delay_ms } => {
            sim.network = network(seed, loss_percent, delay_ms);
        }
        Step::Cut { instance, is_cut } => sim.nodes[instance].is_cut = is_cut,
        Step::Freeze { instance, ms } => {
            sim.nodes[instance].frozen_until = sim.now + Duration::from_millis(ms);
        }
        Step::Restart { instance } => sim.restart_unaware(instance),
        Step::RestartAll => (0..sim.nodes.len()).for_each(|index| sim.restart_unaware(index)),
        Step::Holders { first, second } => sim.set_holders(&[first, second]),
        Step::Quota { instance, is_lowered } => {
            sim.nodes[instance].limits = if is_lowered { LOWERED } else { LIMITS };
        }
        Step::Add if sim.nodes.len() < INSTANCES + 2 => sim.add(LIMITS),
        Step::Add => {}
        Step::LearnInstances => {
            let count = sim.nodes.len();
            sim.set_instances(count);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against more tokens than the quota allows in any window, whatever fails: shares that
    /// count at two places, tokens that outlive their deadline, buckets that start full. Instances
    /// that the others do not know yet add their shares.
    #[test]
    fn all_instances_together_stay_within_the_quota(
        steps in prop::collection::vec(step(), 1..120),
        seed: u64,
    ) {
        let mut sim = Sim::new(INSTANCES, LIMITS);
        sim.run(Duration::from_millis(2_500));
        for (index, step) in steps.iter().enumerate() {
            apply(&mut sim, step, seed ^ index as u64);
        }
        let with_unknown = |units: u64| units * sim.nodes.len() as u64 / INSTANCES as u64;
        let QuotaLimits { per_second, burst } = LIMITS;
        let limits =
            QuotaLimits { per_second: with_unknown(per_second), burst: with_unknown(burst) };
        assert_within(&sim.uses, limits);
    }
}
