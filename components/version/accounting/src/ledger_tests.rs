//! Tests of the split rules on small ledgers.

use crate::ledger::{Error, Ledger};
use crate::records::Death;
use crate::report::{CostLine, CostReport};
use crate::test_data::*;

fn ledger() -> Ledger {
    let mut ledger = Ledger::new();
    ledger.add_contract("h1", &contract("a", 7_500, &["m", "n"])).unwrap();
    ledger.add_contract("h2", &contract("b", 2_500, &["m"])).unwrap();
    ledger.add_version(&version(1, 0, &[("a", "h1"), ("b", "h2")])).unwrap();
    ledger
}

fn report(ledger: &Ledger, from: u64, to: u64) -> CostReport {
    ledger.report(at(from), at(to), at(to))
}

fn amounts(report: &CostReport) -> Vec<(&str, &str, u64, u64)> {
    let row = |l: &'_ CostLine| (l.busy_ms, l.idle_ms);
    report
        .lines
        .iter()
        .map(|l| {
            (
                l.client_account.as_deref().unwrap_or("-"),
                l.contract_version.as_deref().unwrap_or("-"),
                row(l),
            )
        })
        .map(|(c, v, (busy, idle))| (c, v, busy, idle))
        .collect()
}

/// Guards against a busy minute that is split by cost shares, and an idle one that isn't.
#[test]
fn busy_minutes_follow_tokens_and_idle_minutes_follow_cost_shares() {
    let mut ledger = ledger();
    ledger.add_interval(&interval(1, "m", 2, 30_000, 120_000)).unwrap();
    let counted = vec![work(0, "m", "a", "h1", 100), work(0, "m", "b", "h2", 200)];
    ledger.add_work("i", &object(1, run(120_000, counted))).unwrap();
    let report = report(&ledger, 0, 120_000);
    assert_eq!(amounts(&report), [("a", "h1", 20_000, 90_000), ("b", "h2", 40_000, 30_000)]);
    assert_eq!(report.total_ms, 180_000);
    assert_eq!(report.gaps, []);
}

/// Guards against an amendment that changes earlier minutes or the minute of its adoption.
#[test]
fn an_amendment_counts_from_the_next_minute_on() {
    let mut ledger = ledger();
    ledger.add_interval(&interval(1, "m", 1, 0, 180_000)).unwrap();
    ledger.add_contract("h3", &contract("a", 5_000, &["m"])).unwrap();
    ledger.add_contract("h4", &contract("b", 5_000, &["m"])).unwrap();
    ledger.add_version(&version(2, 61_000, &[("a", "h3"), ("b", "h4")])).unwrap();
    let expected = [
        ("a", "h1", 0, 90_000),
        ("a", "h3", 0, 30_000),
        ("b", "h2", 0, 30_000),
        ("b", "h4", 0, 30_000),
    ];
    assert_eq!(amounts(&report(&ledger, 0, 180_000)), expected);
}

/// Guards against a slow clock: version 3 must not take effect before version 2 although the clock
/// of the instance that recorded it runs behind.
#[test]
fn versions_take_effect_in_their_order() {
    let mut ledger = ledger();
    ledger.add_interval(&interval(1, "m", 1, 60_000, 120_000)).unwrap();
    ledger.add_version(&version(3, 10_000, &[("b", "h2")])).unwrap();
    ledger.add_version(&version(2, 100_000, &[("a", "h1")])).unwrap();
    let expected = [("a", "h1", 0, 45_000), ("b", "h2", 0, 15_000)];
    assert_eq!(amounts(&report(&ledger, 0, 120_000)), expected);
}

/// Guards against accelerator time that is assigned to a client account by guess, when no contract
/// permits the model or a contract is unknown.
#[test]
fn time_without_an_entitled_client_account_is_unattributed() {
    let mut ledger = ledger();
    ledger.add_interval(&interval(1, "unknown", 1, 0, 1_000)).unwrap();
    ledger.add_version(&version(2, 60_000, &[("a", "h1"), ("b", "absent")])).unwrap();
    ledger.add_interval(&interval(2, "m", 1, 60_000, 61_000)).unwrap();
    assert_eq!(amounts(&report(&ledger, 0, 120_000)), [("-", "-", 0, 1_000), ("-", "-", 0, 1_000)]);
    assert_eq!(ledger.missing_contracts().len(), 1);
}

/// Guards against lost work in minutes that aren't flagged, and against flags on other minutes.
#[test]
fn a_death_flags_the_minutes_in_which_work_may_be_missing() {
    let mut ledger = ledger();
    ledger.add_interval(&interval(1, "m", 1, 0, 180_000)).unwrap();
    ledger.add_work("dead", &object(1, run(58_000, vec![work(0, "m", "b", "h2", 9)]))).unwrap();
    let mut observer = run(180_000, vec![work(1, "m", "a", "h1", 5)]);
    observer.deaths.push(Death { instance: "dead".into(), incarnation: 1, noticed_at: at(75_000) });
    ledger.add_work("observer", &object(4, observer)).unwrap();
    let report = report(&ledger, 0, 180_000);
    assert_eq!(
        (report.gaps.len(), report.gaps[0].from_ms, report.gaps[0].to_ms),
        (1, 58_000, 75_000)
    );
    assert_eq!(report.lines.iter().map(|l| l.flagged_ms).sum::<u64>(), 120_000);
    assert_eq!(report.lines.iter().map(CostLine::total_ms).sum::<u64>(), 180_000);
}

/// Guards against a planned stop that is reported as a death.
#[test]
fn a_closed_run_leaves_no_gap() {
    let mut ledger = ledger();
    let closed = crate::records::Run { closed: true, ..run(5_000, Vec::new()) };
    ledger.add_work("i", &object(1, closed)).unwrap();
    assert_eq!(report(&ledger, 0, 60_000).gaps, []);
}

/// Guards against a restarted instance whose counters replace those of its previous run.
#[test]
fn runs_of_one_instance_add_up() {
    let mut ledger = ledger();
    ledger.add_interval(&interval(1, "m", 1, 0, 60_000)).unwrap();
    for incarnation in [1, 2] {
        ledger
            .add_work("i", &object(incarnation, run(60_000, vec![work(0, "m", "a", "h1", 7)])))
            .unwrap();
    }
    let report = report(&ledger, 0, 60_000);
    assert_eq!(report.lines[0].tokens, 14);
    assert_eq!(report.unmatched_tokens, 0);
}

/// Guards against contradictory records that the ledger accepts without an error.
#[test]
fn contradictions_are_errors() {
    let mut ledger = ledger();
    ledger.add_interval(&interval(1, "m", 1, 0, 1)).unwrap();
    let replica = Err(Error::ReplicaMismatch("g".into(), 1));
    assert_eq!(ledger.add_interval(&interval(1, "m", 2, 0, 1)), replica);
    assert_eq!(ledger.add_interval(&interval(1, "n", 1, 0, 1)), replica);
    assert_eq!(
        ledger.add_interval(&interval(1, "m", 1, 2, 1)),
        Err(Error::ReversedInterval("g".into(), 1))
    );
    assert_eq!(ledger.add_version(&version(1, 0, &[])), Err(Error::VersionMismatch(1)));
    assert_eq!(
        ledger.add_contract("h1", &contract("a", 1, &[])),
        Err(Error::ContractMismatch("h1".into()))
    );
}

/// Guards against a panic on an empty or reversed period.
#[test]
fn a_reversed_period_is_empty() {
    let mut ledger = ledger();
    ledger.add_interval(&interval(1, "m", 1, 0, 60_000)).unwrap();
    ledger.add_work("i", &object(1, run(60_000, vec![work(0, "m", "a", "h1", 7)]))).unwrap();
    assert_eq!(report(&ledger, 120_000, 0).total_ms, 0);
}

/// Guards against an unattributed first minute of a deployment: no version is in effect when it
/// begins.
#[test]
fn the_first_version_counts_from_its_minute() {
    let mut ledger = Ledger::new();
    ledger.add_contract("h1", &contract("a", 10_000, &["m"])).unwrap();
    ledger.add_version(&version(1, 80_000, &[("a", "h1")])).unwrap();
    ledger.add_interval(&interval(1, "m", 1, 59_000, 90_000)).unwrap();
    assert_eq!(
        amounts(&report(&ledger, 0, 120_000)),
        [("-", "-", 0, 1_000), ("a", "h1", 0, 30_000)]
    );
}

/// Guards against a report that omits the work of a running instance without a flag, because the
/// instance has not flushed yet.
#[test]
fn a_run_without_a_flush_is_flagged() {
    let mut ledger = ledger();
    ledger.add_known_run("i", 7);
    let report = report(&ledger, 0, 60_000);
    assert_eq!(
        (report.gaps.len(), report.gaps[0].from_ms, report.gaps[0].to_ms),
        (1, 50_000, 60_000)
    );
    let closed = crate::records::Run { closed: true, ..run(60_000, Vec::new()) };
    ledger.add_work("i", &object(7, closed)).unwrap();
    assert_eq!(self::report(&ledger, 0, 60_000).gaps, []);
}
