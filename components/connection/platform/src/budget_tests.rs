//! Tests of call budgets in simulated time.

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::object::CallPriority;
use types::prelude::*;

use crate::{Admission, Budget, Rate, Rates};

const MILLIS: Duration = Duration::from_millis(1);

fn rates(per_second: f64, burst: f64) -> Rates {
    let rate = Rate { per_second, burst };
    Rates { reads: rate, writes: rate }
}

/// Returns the largest number of calls in any window of this length.
fn max_in(window: Duration, times: &[Instant]) -> usize {
    let window_end = |first: &Instant| times.partition_point(|at| *at < *first + window);
    times.iter().enumerate().map(|(n, first)| window_end(first) - n).max().unwrap_or(0)
}

fn max_per_second(times: &[Instant]) -> usize {
    max_in(Duration::from_secs(1), times)
}

proptest! {
    /// Guards against an instance that exceeds its share of the rates under any pattern of calls.
    #[test]
    fn calls_in_any_window_stay_within_burst_and_rate(
        per_second in 0.5..50.0f64,
        burst in 2.0..20.0f64,
        calls in prop::collection::vec((0..300u64, any::<bool>()), 1..200),
    ) {
        let start = Instant::now();
        let mut budget = Budget::new(start, rates(per_second, burst));
        let mut now = start;
        let mut sent: Vec<Instant> = Vec::new();
        for (gap, is_lease) in calls {
            now += Duration::from_millis(gap);
            let priority = if is_lease { CallPriority::Lease } else { CallPriority::Normal };
            if budget.admit(now, true, priority) == Admission::Admitted {
                sent.push(now);
            }
        }
        for (n, first) in sent.iter().enumerate() {
            for (m, last) in sent.iter().enumerate().skip(n) {
                let elapsed = last.duration_since(*first).as_secs_f64();
                // One lease call may borrow a token.
                let bound = burst + 1.0 + per_second * elapsed;
                prop_assert!((m - n + 1) as f64 <= bound + 1e-6);
            }
        }
    }

    /// Guards against lease renewals that wait behind other writes.
    #[test]
    fn renewals_are_admitted_at_once_while_ordinary_writes_exhaust_the_budget(
        per_second in 0.6..20.0f64,
        seed: u64,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let mut budget = Budget::new(start, rates(per_second, 2.0));
        let mut renewal_at = start + Duration::from_secs(3);
        for n in 0..20_000u32 {
            let now = start + MILLIS * n;
            if rng.random_bool(0.3) {
                let _ = budget.admit(now, true, CallPriority::Normal);
            }
            if now >= renewal_at {
                prop_assert_eq!(budget.admit(now, true, CallPriority::Lease), Admission::Admitted);
                renewal_at += Duration::from_secs(3);
            }
        }
    }

    /// Guards against a wait that ends before a token is available, which would make callers
    /// busy-wait.
    #[test]
    fn a_token_is_available_at_the_end_of_a_wait(per_second in 0.1..50.0f64, calls in 1..30u32) {
        let mut now = Instant::now();
        let mut budget = Budget::new(now, rates(per_second, 2.0));
        for _ in 0..calls {
            if let Admission::WaitUntil(at) = budget.admit(now, false, CallPriority::Normal) {
                prop_assert!(at > now);
                now = at;
                prop_assert_eq!(
                    budget.admit(now, false, CallPriority::Normal),
                    Admission::Admitted
                );
            }
        }
    }
}

proptest! {
    // Each case simulates 360 instances for up to a minute.
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Guards against a thundering herd: 360 instances that read and write continuously must stay
    /// within the platform's rates during and after an outage.
    #[test]
    fn a_fleet_stays_within_the_rates_after_an_outage(seed: u64, outage_secs in 1..40u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let mut fleet: Vec<(Budget, [Instant; 2])> = (0..360)
            .map(|_| (Budget::new(start, Rates::share(2_000, 400, 360)), [start; 2]))
            .collect();
        // Start with empty buckets, because this test does not cover the initial burst.
        for (budget, _) in &mut fleet {
            budget.record_failure(start, &mut rng);
            budget.record_success(start);
        }
        let outage_ends_at = start + Duration::from_secs(5 + outage_secs);
        let mut sent = [Vec::new(), Vec::new()];
        let mut late_attempts = Vec::new();
        let mut now = start;
        while now < outage_ends_at + Duration::from_secs(10) {
            let is_up = now < start + Duration::from_secs(5) || now >= outage_ends_at;
            for (budget, call_times) in &mut fleet {
                for (is_write, call_at) in [false, true].into_iter().zip(call_times) {
                    if now < *call_at {
                        continue;
                    }
                    match budget.admit(now, is_write, CallPriority::Normal) {
                        Admission::WaitUntil(at) => *call_at = at,
                        Admission::Admitted => {
                            sent[usize::from(is_write)].push(now);
                            match is_up {
                                true => budget.record_success(now),
                                false => budget.record_failure(now, &mut rng),
                            }
                            if !is_up && now > start + Duration::from_secs(15) {
                                late_attempts.push(now);
                            }
                        }
                    }
                }
            }
            now += MILLIS * 5;
        }
        // Without jitter all 360 instances would retry at the same times.
        let simultaneous = max_in(MILLIS * 100, &late_attempts);
        prop_assert!(simultaneous <= 90, "{simultaneous} attempts within 100 ms of an outage");
        prop_assert!(max_per_second(&sent[0]) <= 2_000, "{} reads", max_per_second(&sent[0]));
        prop_assert!(max_per_second(&sent[1]) <= 400, "{} writes", max_per_second(&sent[1]));
    }
}

/// Guards against an instance that overloads the platform with retries during an outage.
#[test]
fn failures_delay_attempts_and_admit_one_probe_at_a_time() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let start = Instant::now();
    let mut budget = Budget::new(start, rates(50.0, 25.0));
    let mut attempts = 0;
    let mut failures_at = Vec::new();
    for n in 0..60_000u32 {
        let now = start + MILLIS * n;
        if budget.admit(now, false, CallPriority::Normal) == Admission::Admitted {
            attempts += 1;
            let probe = budget.admit(now, false, CallPriority::Lease);
            assert!(
                n == 0 || probe != Admission::Admitted,
                "second call admitted while a probe is in flight"
            );
            budget.record_failure(now, &mut rng);
            failures_at.push(now);
        }
    }
    // Delays of 0.1, 0.2, ... 3.2 s before jitter, then one attempt every 2 to 4 s.
    assert!((15..=40).contains(&attempts), "{attempts} attempts in a minute");
    let last_gaps = failures_at.windows(2).rev().take(5).map(|pair| pair[1] - pair[0]);
    for gap in last_gaps {
        assert!((2_000..=4_100).contains(&gap.as_millis()), "gap of {gap:?}");
    }
}
