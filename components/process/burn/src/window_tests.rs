//! Tests of ring buffers of counters.

use std::time::Duration;

use proptest::prelude::*;

use crate::window::{Counts, Ring, WINDOWS};

fn one_request(good: bool) -> Counts {
    Counts { good: u32::from(good), bad: u32::from(!good) }
}

proptest! {
    /// Guards against counts that a ring retains for too long, drops too early or shows with a
    /// wrong age, by comparison with a list of all requests.
    #[test]
    fn a_ring_counts_what_a_list_counts(
        shape in prop::sample::select(&WINDOWS[..]),
        mut times in prop::collection::vec((0u64..80_000, any::<bool>()), 0..60),
        later in 0u64..40_000,
    ) {
        times.sort();
        let mut ring = Ring::new(shape);
        for (time, good) in &times {
            ring.record(Duration::from_secs(*time), one_request(*good));
        }
        let now = times.last().map_or(0, |(time, _)| *time) + later;
        let width = shape.bucket_length.as_secs();
        let mut expected = std::collections::BTreeMap::<u16, Counts>::new();
        for (time, good) in &times {
            let age = now / width - time / width;
            if age <= u64::from(shape.bucket_count) {
                expected.entry(u16::try_from(age).unwrap()).or_default().add(one_request(*good));
            }
        }
        let expected: Vec<_> = expected.into_iter().collect();
        prop_assert_eq!(ring.by_age(Duration::from_secs(now)), expected);
    }
}

/// Guards against a request that is not counted because its time is before the newest bucket.
#[test]
fn a_late_request_counts_in_the_newest_bucket() {
    let mut ring = Ring::new(WINDOWS[0]);
    ring.record(Duration::from_secs(100), one_request(true));
    ring.record(Duration::from_secs(50), one_request(false));
    assert_eq!(ring.by_age(Duration::from_secs(100)), [(0, Counts { good: 1, bad: 1 })]);
}
