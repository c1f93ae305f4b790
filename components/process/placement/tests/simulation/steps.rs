//! Steps of a generated sequence.

use proptest::prelude::*;

use super::{MODELS, SERVERS};

/// One step of a generated sequence. Indices are taken modulo the number of existing items.
#[derive(Clone, Debug)]
pub enum Step {
    Demand {
        model: usize,
        from: usize,
        adapter: Option<usize>,
        slack_ms: u64,
    },
    Arrival {
        model: usize,
    },
    /// Time passes without completions, as with a slow store.
    Pass {
        ms: u64,
    },
    /// The view is updated with all decisions made so far.
    Show,
    /// The group rejects the oldest decision that the view does not show yet.
    Refuse,
    LoadEnds {
        which: usize,
        succeeded: bool,
    },
    PrefetchEnds {
        which: usize,
    },
    AdapterEnds {
        which: usize,
    },
    UnloadEnds {
        which: usize,
    },
    Busy {
        which: usize,
        running: u32,
    },
    Dies {
        server: usize,
    },
    Returns {
        server: usize,
    },
    Leaves {
        server: usize,
    },
    Blocks {
        server: usize,
        blocked: bool,
    },
    Tick,
}

pub fn step() -> impl Strategy<Value = Step> {
    let i = 0usize..8;
    prop_oneof![
        8 => (0..MODELS, 0usize..4, proptest::option::of(0usize..4), 0u64..40_000).prop_map(
            |(model, from, adapter, slack_ms)| Step::Demand { model, from, adapter, slack_ms }
        ),
        2 => (0..MODELS).prop_map(|model| Step::Arrival { model }),
        3 => (1u64..4_000).prop_map(|ms| Step::Pass { ms }),
        4 => Just(Step::Show),
        1 => Just(Step::Refuse),
        4 => (i.clone(), prop::bool::weighted(0.8))
            .prop_map(|(which, succeeded)| Step::LoadEnds { which, succeeded }),
        1 => i.clone().prop_map(|which| Step::PrefetchEnds { which }),
        2 => i.clone().prop_map(|which| Step::AdapterEnds { which }),
        3 => i.clone().prop_map(|which| Step::UnloadEnds { which }),
        2 => (i.clone(), 0u32..5).prop_map(|(which, running)| Step::Busy { which, running }),
        1 => (0..SERVERS).prop_map(|server| Step::Dies { server }),
        2 => (0..SERVERS).prop_map(|server| Step::Returns { server }),
        1 => (0..SERVERS).prop_map(|server| Step::Leaves { server }),
        2 => (0..SERVERS, any::<bool>())
            .prop_map(|(server, blocked)| Step::Blocks { server, blocked }),
        3 => Just(Step::Tick),
    ]
}
