//! Tests of server selection, health and the retry budget.

use std::time::{Duration, Instant};

use super::*;

fn candidate(id: &str, in_flight: u32) -> Candidate<'_> {
    Candidate {
        id,
        is_local: true,
        in_flight,
        slots: 32,
        failures: 0.0,
        slowness: 1.0,
        reading: 0.0,
    }
}

/// Index of the selected candidate.
pub(crate) fn choose_server(
    candidates: &[Candidate<'_>],
    affinity: Option<Affinity>,
    draw: f64,
) -> Option<usize> {
    super::choose_server(candidates, affinity, draw).map(|choice| choice.index)
}

/// Guards against choosing the busier server.
#[test]
fn the_less_loaded_server_is_chosen() {
    let c = [candidate("a", 5), candidate("b", 2)];
    assert!((0..10).all(|n| choose_server(&c, None, f64::from(n) / 10.0) == Some(1)));
    let c = [candidate("a", 5), candidate("b", 2), candidate("c", 9)];
    assert!((0..10).all(|n| choose_server(&c, None, f64::from(n) / 10.0) != Some(2)));
    assert_eq!(choose_server(&[], None, 0.3), None);
}

/// Guards against all instances choosing the same server until the next load figures: 40 instances
/// send one request each with the same figures.
#[test]
fn instances_with_the_same_figures_spread() {
    let names: Vec<String> = (0..10).map(|n| format!("s{n}")).collect();
    let c: Vec<_> = names.iter().enumerate().map(|(n, id)| candidate(id, n as u32 / 5)).collect();
    let mut sent = [0; 10];
    for n in 0..40 {
        sent[choose_server(&c, None, f64::from(n) / 40.0).unwrap()] += 1;
    }
    assert!(sent.iter().max() < Some(&16), "{sent:?}");
}

/// Guards against equal prompts going to different servers, and against affinity that overloads
/// one.
#[test]
fn affinity_holds_until_the_server_is_busier() {
    let key = affinity_key("m", "5c1e07a2");
    let even = [candidate("a", 4), candidate("b", 4), candidate("c", 4)];
    let cached_at = choose_server(&even, Some(key), 0.1).unwrap();
    assert!(
        (0..10).all(|n| choose_server(&even, Some(key), f64::from(n) / 10.0) == Some(cached_at))
    );
    let mut busy = even;
    busy[cached_at].in_flight = 12;
    assert_ne!(choose_server(&busy, Some(key), 0.1), Some(cached_at));
}

/// Guards against a server that still gets its share of requests while it fails them.
#[test]
fn failing_servers_get_fewer_requests_and_recover() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record_failure(now, 1.0);
    let mut c = [candidate("a", 0), candidate("b", 3)];
    c[0].failures = health.failures(now);
    assert_eq!(choose_server(&c, None, 0.5), Some(1));
    c[0].failures = health.failures(now + Duration::from_secs(30));
    assert_eq!(choose_server(&c, None, 0.5), Some(0));
}

/// Guards against repeated attempts to reach a failed server.
#[test]
fn the_backoff_of_an_unreachable_server_increases() {
    let mut now = Instant::now();
    let mut health = Health::default();
    let mut backoffs = Vec::new();
    for _ in 0..4 {
        health.record_unreachable(now);
        let start = now;
        while health.is_backing_off(now) {
            now += Duration::from_millis(100);
        }
        backoffs.push(now - start);
    }
    assert!(backoffs.windows(2).all(|w| w[1] > w[0]), "{backoffs:?}");
    health.record_answer(now);
    assert!(!health.is_backing_off(now));
}

/// Guards against instances whose retries together exceed the limit of the service.
#[test]
fn instances_together_stay_within_the_limit() {
    let limits = RetryLimits { ratio: 0.2, base_retries: 56.0, window: Duration::from_secs(10) };
    let mut budgets = vec![RetryBudget::default(); 8];
    let mut now = Instant::now();
    let mut sent = 0;
    for n in 0..800 {
        now += Duration::from_millis(10);
        let budget = &mut budgets[n % 8];
        budget.record_request(now, &limits);
        sent += u32::from(budget.consume_retry(now, &limits, 8));
    }
    assert!(f64::from(sent) <= 0.2 * 800.0 + 56.0, "{sent}");
    assert!(sent > 100, "{sent}");
}

/// Guards against a hundred pauses that end at once, after which all waiting requests go to the
/// servers in the same moment.
#[test]
fn requests_return_gradually_after_a_pause() {
    let mut now = Instant::now();
    let mut health = Health::default();
    assert!(health.admits(now, 1_000));
    let until = health.begin_pause(now, Duration::from_secs(2));
    assert_eq!(health.paused_until(now), Some(until));
    // An answer to a request that was under way does not end the pause.
    health.record_answer(now);
    assert!(!health.admits(now, 0));
    now = until;
    assert_eq!(health.paused_until(now), None);
    let mut limits = Vec::new();
    for _ in 0..6 {
        limits.push((0..100).take_while(|in_flight| health.admits(now, *in_flight)).count());
        health.record_answer(now);
    }
    assert_eq!(limits, [1, 2, 4, 8, 16, 100]);
}

/// Guards against a server that shuts itself off for years, and against a shorter second pause that
/// ends the first one.
#[test]
fn pauses_are_bounded() {
    let now = Instant::now();
    let mut health = Health::default();
    assert_eq!(health.begin_pause(now, Duration::MAX), now + MAX_PAUSE);
    assert_eq!(health.begin_pause(now, Duration::from_secs(1)), now + MAX_PAUSE);
}
