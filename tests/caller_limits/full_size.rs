//! A crowd at an instance of the smallest machine, measured by hand:
//!
//! `cargo test --test caller_limits full_size -- --ignored --nocapture`

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use platform_stand_in::{Call, Caller, Outcome};

use crate::crowd::{Crowd, SHAPES};
use crate::harness::Harness;

/// The smallest machine of the users' deployments.
const MEMORY_MB: u64 = 120;
const DESCRIPTORS: usize = 3_075;
/// Connections of the crowd, and ordinary callers beside it.
const CROWD: usize = 2_900;
const CALLERS: usize = 48;
const CALM_TIME: Duration = Duration::from_secs(10);
const CROWD_TIME: Duration = Duration::from_secs(60);

/// Outcomes of ordinary requests: the status, or why there was none.
type Outcomes = BTreeMap<String, u32>;

fn describe(outcome: &Outcome) -> String {
    match outcome.status {
        Some(status) => status.to_string(),
        None if outcome.has_timed_out => "no answer in time".into(),
        None if outcome.is_refused => "connection refused".into(),
        None => "connection closed".into(),
    }
}

/// Starts ordinary callers that call until `is_over`.
fn start_callers(
    harness: &Harness,
    is_over: &Arc<AtomicBool>,
) -> Vec<tokio::task::JoinHandle<Outcomes>> {
    let to = harness.instance.addresses.callers;
    let callers = (0..CALLERS).map(|n| {
        let is_over = is_over.clone();
        tokio::spawn(async move {
            let caller = Caller::default();
            let mut outcomes = Outcomes::new();
            while !is_over.load(Ordering::Relaxed) {
                let id = format!("ordinary-{n}-{}", outcomes.values().sum::<u32>());
                let call = Call { body: Some("{}"), ..Call::new(&id, "/read/level") };
                let outcome = caller.call(to, &call).await;
                *outcomes.entry(describe(&outcome)).or_default() += 1;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            outcomes
        })
    });
    callers.collect()
}

/// Runs ordinary callers for a time; returns their outcomes.
async fn play(harness: &mut Harness, time: Duration, what: &str) {
    let is_over = Arc::new(AtomicBool::new(false));
    let (cpu_before, _) = harness.instance.cpu_usage().expect("instance has ended");
    let callers = start_callers(harness, &is_over);
    let ends = tokio::time::Instant::now() + time;
    let mut exceeded = Vec::new();
    while tokio::time::Instant::now() < ends {
        exceeded.extend(harness.exceeded());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    is_over.store(true, Ordering::Relaxed);
    let mut outcomes = Outcomes::new();
    for caller in callers {
        for (outcome, count) in caller.await.unwrap() {
            *outcomes.entry(outcome).or_default() += count;
        }
    }
    let (cpu, _) = harness.instance.cpu_usage().expect("instance has ended");
    let peak = harness.instance.peak_memory().expect("instance has ended");
    let requests: u32 = outcomes.values().sum();
    println!(
        "{what}: {outcomes:?}, peak {} MB, {} ms of processor time, {:.2} ms a request",
        peak >> 20,
        (cpu - cpu_before).as_millis(),
        (cpu - cpu_before).as_secs_f64() * 1e3 / f64::from(requests)
    );
    assert!(exceeded.is_empty(), "{:?}", exceeded.first());
    assert!(outcomes.keys().eq(["200"]), "ordinary requests not served");
}

/// Guards against an instance of the smallest machine that ends, exceeds its machine or refuses
/// ordinary callers beside a mixed crowd.
#[tokio::test]
#[ignore = "takes over a minute and 3,000 descriptors; run by hand"]
async fn mixed_crowd_at_the_smallest_machine() {
    let mut harness = Harness::start_with(140, MEMORY_MB, DESCRIPTORS).await;
    play(&mut harness, CALM_TIME, "calm").await;
    let to = harness.instance.addresses.callers;
    let crowd = Crowd::start_with(CROWD, to, "/note/x", &SHAPES);
    play(&mut harness, CROWD_TIME, "crowd").await;
    drop(crowd);
    harness.expect_service().await;
}
