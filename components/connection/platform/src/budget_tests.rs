//! Budgets in virtual time.

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

/// Most calls in any window of this length.
fn max_in(window: Duration, times: &[Instant]) -> usize {
    let after = |first: &Instant| times.partition_point(|at| *at < *first + window);
    times.iter().enumerate().map(|(n, first)| after(first) - n).max().unwrap_or(0)
}

fn max_per_second(times: &[Instant]) -> usize {
    max_in(Duration::from_secs(1), times)
}

proptest! {
    /// Guards against an instance that exceeds its share, whatever it asks for and when.
    #[test]
    fn no_window_holds_more_than_the_burst_and_the_rate(
        per_second in 0.5..50.0f64,
        burst in 2.0..20.0f64,
        asks in prop::collection::vec((0..300u64, any::<bool>()), 1..200),
    ) {
        let start = Instant::now();
        let mut budget = Budget::new(start, rates(per_second, burst));
        let mut now = start;
        let mut sent: Vec<Instant> = Vec::new();
        for (gap, is_lease) in asks {
            now += Duration::from_millis(gap);
            let lease = if is_lease { CallPriority::Lease } else { CallPriority::Normal };
            if budget.admit(now, true, lease) == Admission::Go {
                sent.push(now);
            }
        }
        for (n, first) in sent.iter().enumerate() {
            for (m, last) in sent.iter().enumerate().skip(n) {
                let passed = last.duration_since(*first).as_secs_f64();
                // One lease call may take a token in advance.
                let bound = burst + 1.0 + per_second * passed;
                prop_assert!((m - n + 1) as f64 <= bound + 1e-6);
            }
        }
    }

    /// Guards against lease renewals that wait behind other writes.
    #[test]
    fn a_renewal_goes_at_once_while_ordinary_writes_use_everything(
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
                prop_assert_eq!(budget.admit(now, true, CallPriority::Lease), Admission::Go);
                renewal_at += Duration::from_secs(3);
            }
        }
    }

    /// Guards against a waiting time that is too short, which would make callers spin.
    #[test]
    fn a_wait_ends_with_a_token(per_second in 0.1..50.0f64, takes in 1..30u32) {
        let mut now = Instant::now();
        let mut budget = Budget::new(now, rates(per_second, 2.0));
        for _ in 0..takes {
            if let Admission::Wait(at) = budget.admit(now, false, CallPriority::Normal) {
                prop_assert!(at > now);
                now = at;
                prop_assert_eq!(budget.admit(now, false, CallPriority::Normal), Admission::Go);
            }
        }
    }
}

proptest! {
    // Each case simulates up to a minute of 360 instances.
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Guards against a stampede: 360 instances that want to write and read all the time stay
    /// within the platform's rates during an outage and after it.
    #[test]
    fn a_fleet_stays_within_the_rates_after_an_outage(seed: u64, outage_secs in 1..40u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let mut fleet: Vec<(Budget, [Instant; 2])> = (0..360)
            .map(|_| (Budget::new(start, Rates::share(2_000, 400, 360)), [start; 2]))
            .collect();
        // The buckets start empty: the first burst of a fleet is not what is shown here.
        for (budget, _) in &mut fleet {
            budget.failed(start, &mut rng);
            budget.succeeded(start);
        }
        let ends_at = start + Duration::from_secs(5 + outage_secs);
        let mut sent = [Vec::new(), Vec::new()];
        let mut late_attempts = Vec::new();
        let mut now = start;
        while now < ends_at + Duration::from_secs(10) {
            let is_up = now < start + Duration::from_secs(5) || now >= ends_at;
            for (budget, asks) in &mut fleet {
                for (is_write, ask_at) in [false, true].into_iter().zip(asks) {
                    if now < *ask_at {
                        continue;
                    }
                    match budget.admit(now, is_write, CallPriority::Normal) {
                        Admission::Wait(at) => *ask_at = at,
                        Admission::Go => {
                            sent[usize::from(is_write)].push(now);
                            match is_up {
                                true => budget.succeeded(now),
                                false => budget.failed(now, &mut rng),
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
        // Without jitter all 360 would try again at the same time, again and again.
        let together = max_in(MILLIS * 100, &late_attempts);
        prop_assert!(together <= 90, "{together} attempts within 100 ms of an outage");
        prop_assert!(max_per_second(&sent[0]) <= 2_000, "{} reads", max_per_second(&sent[0]));
        prop_assert!(max_per_second(&sent[1]) <= 400, "{} writes", max_per_second(&sent[1]));
    }
}

/// Guards against an instance that hammers the platform while it is out of order.
#[test]
fn failures_space_attempts_out_and_one_call_is_tried_at_a_time() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let start = Instant::now();
    let mut budget = Budget::new(start, rates(50.0, 25.0));
    let mut attempts = 0;
    let mut failures_at = Vec::new();
    for n in 0..60_000u32 {
        let now = start + MILLIS * n;
        if budget.admit(now, false, CallPriority::Normal) == Admission::Go {
            attempts += 1;
            let probe = budget.admit(now, false, CallPriority::Lease);
            assert!(n == 0 || probe != Admission::Go, "second call while one is tried");
            budget.failed(now, &mut rng);
            failures_at.push(now);
        }
    }
    // 0.1 + 0.2 + ... + 3.2 s, then one attempt every 2 to 4 s.
    assert!((15..=40).contains(&attempts), "{attempts} attempts in a minute");
    let last_gaps = failures_at.windows(2).rev().take(5).map(|pair| pair[1] - pair[0]);
    for gap in last_gaps {
        assert!((2_000..=4_100).contains(&gap.as_millis()), "gap of {gap:?}");
    }
}
