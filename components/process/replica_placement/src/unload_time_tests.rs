//! Tests of the learned unload time. Pattern: rare models replace each other on full servers, some
//! ten times a second, and four in ten orders were refused because the unload was not done.

use std::time::Duration;

use rstest::rstest;

use crate::UnloadTime;

/// Guards against loads that are sent before the unload is done, and against a wait that is longer
/// than the unloads take, for engines of different speed.
#[rstest]
#[case(20, 40)]
#[case(60, 110)]
#[case(150, 250)]
fn few_loads_come_too_early_and_none_waits_long(#[case] least_ms: u64, #[case] most_ms: u64) {
    let mut time = UnloadTime::default();
    let mut too_early = 0;
    let mut waited = Duration::ZERO;
    for n in 0_u64..2_000 {
        // A fixed sequence that covers the range evenly.
        let unload = least_ms + n * 7_919 % (most_ms - least_ms + 1);
        let is_too_early = time.expected() < Duration::from_millis(unload);
        if n >= 1_000 {
            too_early += u32::from(is_too_early);
            waited += time.expected();
        }
        time.record(is_too_early);
    }
    assert!(too_early <= 60, "{too_early} of 1,000 came too early");
    assert!(waited / 1_000 <= Duration::from_millis(most_ms + 20), "{:?}", waited / 1_000);
}
