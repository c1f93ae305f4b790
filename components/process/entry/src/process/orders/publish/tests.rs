//! Tests of publishing load figures in parts. Pattern: thousands of servers, whose figures do not
//! fit into one message.

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
