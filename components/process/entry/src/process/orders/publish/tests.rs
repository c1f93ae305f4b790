//! Tests of publishing load figures in parts. Pattern: thousands of servers, whose figures do not
//! fit into one message.

use std::time::Duration;

use super::*;

fn totals(servers: u32, count: impl Fn(u32) -> u32) -> HashMap<ServerKey, u32> {
    (0..servers).map(|n| (n * 7, count(n))).filter(|(_, count)| *count > 0).collect()
}

/// Applies figures as an instance without requests of its own does.
fn apply(known: &mut HashMap<ServerKey, u32>, figures: &InFlightFigures) {
    known.retain(|key, _| key % figures.parts != figures.part);
    known.extend(figures.counts.iter().copied());
    known.retain(|_, count| *count > 0);
}

/// Guards against figures that stay wrong after a message was lost.
#[test]
fn every_figure_is_published_within_one_round_of_parts() {
    let mut published = PublishedFigures::default();
    let figures = totals(3_000, |n| n % 5);
    let mut known = HashMap::from([(1, 4), (2, 9)]);
    next_figures(&mut published, figures.clone());
    for _ in 0..8 {
        apply(&mut known, &next_figures(&mut published, figures.clone()));
    }
    assert_eq!(known, figures);
}

/// Guards against changes that wait for their part, and against messages that grow with the number
/// of servers although few figures change.
#[test]
fn changed_figures_are_published_at_once() {
    let mut published = PublishedFigures::default();
    let before = totals(3_000, |n| n % 5);
    let mut known = before.clone();
    next_figures(&mut published, before);
    let after = totals(3_000, |n| if n % 100 == 0 { 9 } else { n % 5 });
    let figures = next_figures(&mut published, after.clone());
    assert!(figures.counts.len() < 600, "{}", figures.counts.len());
    apply(&mut known, &figures);
    assert_eq!(known, after);
    let ended = next_figures(&mut published, HashMap::new());
    apply(&mut known, &ended);
    assert_eq!(known, HashMap::new());
}

/// Guards against parts at a size at which all figures fit into one message.
#[test]
fn few_figures_are_always_complete() {
    let mut published = PublishedFigures::default();
    let figures = totals(120, |n| n % 3 + 1);
    for _ in 0..3 {
        let next = next_figures(&mut published, figures.clone());
        assert_eq!((next.parts, next.counts.len()), (1, 120));
    }
}

/// Load: requests of most instances wait for models, and the leader plans again up to sixty times a
/// second. Guards against a message to each of these instances after each plan, which filled the
/// network link of the leader until its orders and the calls about its lease got through no more
/// (karta-ph-grown, day scale-1, while a data centre was cut off).
#[test]
fn instances_with_waiting_requests_are_sent_each_change_once() {
    let (start, ms) = (Instant::now(), Duration::from_millis(1));
    let (rare, other): (ModelName, ModelName) = ("rare".into(), "other".into());
    let waits_for_rare = || std::iter::once(&rare);
    let ready_at = HashMap::from([(rare.clone(), start + 900 * ms)]);
    let none = HashMap::new();
    assert!(has_news(waits_for_rare(), start, None, &none, &ready_at), "newly reported");
    let sent_at = Some(start + ms);
    for plan in 1..60 {
        let changed = HashMap::from([(other.clone(), start + plan * 15 * ms)]);
        assert!(!has_news(waits_for_rare(), start, sent_at, &changed, &ready_at), "plan {plan}");
    }
    let changed = HashMap::from([(rare.clone(), start + 900 * ms)]);
    assert!(has_news(waits_for_rare(), start, sent_at, &changed, &none), "model loaded");
    assert!(!has_news(waits_for_rare(), start, Some(start + 901 * ms), &changed, &none), "sent");
    // Requests that began to wait after the model was loaded, before the next update to all.
    let reported_at = start + 950 * ms;
    assert!(has_news(waits_for_rare(), reported_at, Some(start + 901 * ms), &changed, &none));
    assert!(!has_news(std::iter::once(&other), reported_at, None, &changed, &none));
}
