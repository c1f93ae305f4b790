//! Tests of the minimum number of requests of an alert.

use proptest::prelude::*;
use rstest::rstest;

use crate::alert::{Alert, MIN_BAD_REQUESTS, evaluate_alerts};
use crate::window::Counts;

fn counts(good: u32, bad: u32) -> Counts {
    Counts { good, bad }
}

/// Guards against a page or a ticket for too few requests, and against one that is not raised for
/// enough requests at the stated rates. At an objective of 99%, a page requires 14.4% of bad
/// requests and a ticket 6%.
#[rstest]
#[case::first_request_of_the_day(9_900, [(0, 1), (0, 1), (0, 1)], Alert::None, Some(Alert::Page))]
#[case::two_of_three(9_900, [(1, 2), (1, 2), (1, 2)], Alert::None, Some(Alert::Page))]
#[case::page_one_request_short(9_900, [(0, 3), (16, 3), (16, 3)], Alert::None, Some(Alert::Page))]
#[case::page_minimum(9_900, [(0, 3), (17, 3), (17, 3)], Alert::Page, None)]
#[case::page_two_bad_requests(9_990, [(0, 1), (98, 2), (98, 2)], Alert::None, Some(Alert::Page))]
#[case::page_strict_objective(9_990, [(0, 1), (205, 3), (205, 3)], Alert::Page, None)]
#[case::page_at_the_rate(9_900, [(856, 144), (856, 144), (856, 144)], Alert::Page, None)]
#[case::page_below_the_rate(9_900, [(857, 143), (857, 143), (1_000, 0)], Alert::None, None)]
#[case::ticket_one_request_short(9_900, [(5, 0), (9, 1), (46, 3)], Alert::None, Some(Alert::Ticket))]
#[case::ticket_minimum(9_900, [(5, 0), (9, 1), (47, 3)], Alert::Ticket, None)]
#[case::ticket_at_the_rate(9_900, [(5, 0), (94, 6), (940, 60)], Alert::Ticket, None)]
#[case::ticket_below_the_rate(9_900, [(5, 0), (94, 6), (941, 59)], Alert::None, None)]
#[case::outage_of_a_quiet_client_account(9_900, [(0, 1), (0, 10), (0, 60)], Alert::Ticket, Some(Alert::Page))]
fn an_alert_requires_its_minimum_number_of_requests(
    #[case] objective: u32,
    #[case] windows: [(u32, u32); 3],
    #[case] expected: Alert,
    #[case] held_back: Option<Alert>,
) {
    let (raised, held) = evaluate_alerts(windows.map(|(good, bad)| counts(good, bad)), objective);
    assert_eq!((raised, held.map(|held| held.alert)), (expected, held_back));
}

/// Requests in three windows, each contained in the next, with much and with little traffic.
fn windows() -> impl Strategy<Value = [Counts; 3]> {
    let part = || prop_oneof![(0u32..400, 0u32..80), (0u32..5, 0u32..2)];
    (part(), part(), part()).prop_map(|(a, b, c)| {
        let middle = (a.0 + b.0, a.1 + b.1);
        [a, middle, (middle.0 + c.0, middle.1 + c.1)].map(|(good, bad)| counts(good, bad))
    })
}

proptest! {
    /// Guards against an alert for one or two bad requests with any objective, and against burn
    /// rates over the threshold that neither raise an alert nor show it as held back.
    #[test]
    fn an_alert_is_raised_or_held_back_when_the_rates_reach_the_threshold(
        sums in windows(),
        objective in 5_000u32..=10_000,
    ) {
        let (raised, held_back) = evaluate_alerts(sums, objective);
        prop_assert!(raised != Alert::Page || u64::from(sums[1].bad) >= MIN_BAD_REQUESTS);
        prop_assert!(raised != Alert::Ticket || u64::from(sums[2].bad) >= MIN_BAD_REQUESTS);
        let allowed = f64::from((10_000 - objective).max(1)) / 10_000.0;
        let burn_rate = |counts: Counts| {
            if counts.bad == 0 { 0.0 } else { f64::from(counts.bad) / counts.total() as f64 / allowed }
        };
        // A float exactly at the threshold may be rounded to either side.
        let exceeds = |n: usize, threshold: f64| burn_rate(sums[n]) > threshold + 1e-6;
        let shown = raised.max(held_back.map_or(Alert::None, |held| held.alert));
        prop_assert!(!(exceeds(1, 14.4) && exceeds(0, 14.4)) || shown == Alert::Page);
        prop_assert!(!(exceeds(2, 6.0) && exceeds(1, 6.0)) || shown >= Alert::Ticket);
        if exceeds(1, 14.4) && exceeds(0, 14.4) && sums[1].total() >= 20 && sums[1].bad >= 3 {
            prop_assert_eq!(raised, Alert::Page);
        }
    }
}
