//! Tests of the version log: splits stay exact for any order of amendments and deaths.

use proptest::prelude::*;
use types::prelude::*;

use crate::ledger::Ledger;
use crate::records::*;
use crate::report::CostLine;
use crate::test_data::{at, contract, interval, object, run, version};
use crate::version_log::{Members, VersionLog};

/// Time within which every instance adopts an accepted version.
const PROPAGATION_MS: u64 = 4_000;
/// Time within which the other instances notice a death.
const DETECTION_MS: u64 = 8_000;
const INSTANCES: usize = 6;
const WATCHERS: usize = 2;
const END_MS: u64 = 240_000;
/// Resolution of the simulated time.
const STEP_MS: u64 = 250;
/// Start of the simulated period, which extends over the end of an hour.
const START_MS: u64 = 3_600_000 * 100 - 150_000;

/// Generated history: amendments with the delay of their adoption by each instance, deaths with the
/// time until the restart, and the first flush of each instance.
#[derive(Clone, Debug)]
struct History {
    amendments: Vec<(u64, [u64; INSTANCES])>,
    deaths: Vec<(usize, u64, u64)>,
    flush_offsets: [u64; INSTANCES],
}

fn history() -> impl Strategy<Value = History> {
    let delays = || prop::array::uniform6(0..PROPAGATION_MS);
    // Instance 0 is the last in the order of watchers and never dies. The first in that order,
    // which are the watchers, die most often.
    let instance = prop_oneof![1..INSTANCES, INSTANCES - 2..INSTANCES];
    let restart = || prop_oneof![100..4_000u64, 6_000..60_000u64, Just(END_MS)];
    // Half of the histories lose both watchers soon after an amendment, close to the start of the
    // minute at 150 s. Some restart so soon that the others don't notice a death.
    let late_amendment = (143_000..146_000u64, delays());
    let watcher_death =
        |n| (Just(n), 146_500..153_000u64, prop_oneof![2 => 100..4_000u64, 1 => restart()]);
    let both_watchers =
        (late_amendment, watcher_death(INSTANCES - 1), watcher_death(INSTANCES - 2));
    (
        prop::collection::vec((0..END_MS, delays()), 1..6),
        // Half of the histories have no other deaths: an instance that becomes a watcher records
        // for the rest of the period, which hides a loss.
        prop_oneof![
            Just(Vec::new()),
            prop::collection::vec((instance, 0..END_MS, restart()), 0..6)
        ],
        prop::option::of(both_watchers),
        prop::array::uniform6(0..10_000u64),
    )
        .prop_map(|(mut amendments, mut deaths, both_watchers, flush_offsets)| {
            if let Some((late_amendment, first, second)) = both_watchers {
                amendments.push(late_amendment);
                deaths.extend([first, second]);
            }
            amendments.sort();
            History { amendments, deaths, flush_offsets }
        })
}

struct Node {
    incarnation: Incarnation,
    alive_from: u64,
    log: VersionLog,
    adopted: u64,
    flush_at: u64,
    /// All adopted versions, as an instance that records everything writes them.
    all_versions: Vec<VersionRecord>,
}

/// Simulates a history. Returns the ledger of the versions that the logs select for recording, and
/// the ledger that results if every instance records all its versions.
fn simulate(history: &History) -> (Ledger, Ledger) {
    let base = Instant::now();
    let (mut recorded, mut full) =
        (ledger(history.amendments.len()), ledger(history.amendments.len()));
    let name = |n: usize| -> InstanceId { format!("i{n}").into() };
    let start = |n: usize, incarnation, time: u64| Node {
        incarnation,
        alive_from: time,
        log: VersionLog::new(name(n), base + Duration::from_millis(time)),
        adopted: 0,
        flush_at: time + 10_000,
        all_versions: Vec::new(),
    };
    let mut nodes: Vec<Option<Node>> = (0..INSTANCES).map(|n| Some(start(n, 0, 0))).collect();
    for (node, offset) in nodes.iter_mut().flatten().zip(history.flush_offsets) {
        node.flush_at = offset;
    }
    // Runs with the times at which the other instances learn of their start and their end.
    let mut visible_runs: Vec<(usize, Incarnation, u64, u64)> =
        (0..INSTANCES).map(|n| (n, 0, 0, u64::MAX)).collect();
    let mut restarts: Vec<(u64, usize)> = Vec::new();
    for time in (0..END_MS + 30_000).step_by(STEP_MS as usize) {
        let (now, wall) = (base + Duration::from_millis(time), at(START_MS + time));
        for (n, died, restart) in &history.deaths {
            if died / STEP_MS == time / STEP_MS && nodes[*n].is_some() {
                nodes[*n] = None;
                visible_runs
                    .iter_mut()
                    .filter(|k| k.0 == *n)
                    .for_each(|k| k.3 = k.3.min(time + DETECTION_MS));
                restarts.push((time + restart, *n));
            }
        }
        restarts.retain(|(restart, n)| {
            if *restart > time || nodes[*n].is_some() {
                return *restart > time;
            }
            let incarnation = time + 1;
            nodes[*n] = Some(start(*n, incarnation, time));
            visible_runs.iter_mut().filter(|k| k.0 == *n).for_each(|k| k.3 = k.3.min(time + 500));
            visible_runs.push((*n, incarnation, time + 500, u64::MAX));
            false
        });
        for n in 0..INSTANCES {
            let Some(node) = &mut nodes[n] else { continue };
            // Instances update their view of the members every half second.
            if time % 500 == 0 || node.alive_from == time {
                let mut live = Members::new();
                for (n, incarnation, ..) in
                    visible_runs.iter().filter(|k| k.2 <= time && time < k.3)
                {
                    live.insert(name(*n), *incarnation);
                }
                live.insert(name(n), node.incarnation);
                let watchers = live.keys().rev().take(WATCHERS).collect();
                node.log.set_members(&live, &watchers, now, wall);
            }
            let is_accepted = |(accepted, delays): &&(u64, [u64; INSTANCES])| {
                accepted + delays[n] <= time || (*accepted <= time && node.alive_from == time)
            };
            let newest = history.amendments.iter().rposition(|a| is_accepted(&a));
            let newest = newest.map_or(0, |newest| newest as u64 + 1);
            if newest > node.adopted {
                node.adopted = newest;
                let record = record(newest, START_MS + time);
                node.log.append(record.clone(), now, wall);
                node.all_versions.push(record);
            }
            if node.flush_at <= time {
                node.flush_at = time + 10_000;
                let mut flush = run(START_MS + time, Vec::new());
                flush.versions = node.log.begin_flush(now, wall);
                recorded.add_work(&name(n), &object(node.incarnation, flush.clone())).unwrap();
                node.log.on_written();
                flush.versions = node.all_versions.iter().cloned().collect();
                full.add_work(&name(n), &object(node.incarnation, flush)).unwrap();
            }
        }
    }
    (recorded, full)
}

/// Creates a version with a contract of its own, so that a split shows which version it follows.
fn record(n: u64, adopted_at: u64) -> VersionRecord {
    version(n, adopted_at, &[("a", &format!("h{n}"))])
}

fn ledger(versions: usize) -> Ledger {
    let mut ledger = Ledger::new();
    for n in 1..=versions {
        ledger.add_contract(&format!("h{n}"), &contract("a", 10_000, &["m"])).unwrap();
    }
    ledger.add_interval(&interval(1, "m", 3, START_MS, START_MS + END_MS)).unwrap();
    ledger
}

/// Returns the version by which a minute is split, or 0 if no version applies.
fn version_of(ledger: &Ledger, minute_ms: u64) -> u64 {
    let report = ledger.report(at(minute_ms), at(minute_ms + MINUTE_MS), at(START_MS + END_MS));
    assert_eq!(report.lines.iter().map(CostLine::total_ms).sum::<u64>(), report.total_ms);
    let hash = report.lines.first().and_then(|line| line.contract_version.clone());
    hash.map_or(0, |hash| hash[1..].parse().unwrap())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against a version that no instance records, or only a restarted watcher with the time
    /// of its own start. Each minute is split by a version that was in effect when the minute
    /// began, and sums stay exact.
    #[test]
    fn any_order_of_amendments_and_deaths_keeps_the_split_exact(history in history()) {
        let (recorded, full) = simulate(&history);
        let total = |ledger: &Ledger| {
            let report = ledger.report(at(START_MS), at(START_MS + END_MS), at(START_MS + END_MS));
            (report.lines.iter().map(CostLine::total_ms).sum::<u64>(), report.total_ms)
        };
        prop_assert_eq!(total(&recorded), (3 * END_MS, 3 * END_MS));
        prop_assert_eq!(total(&full), (3 * END_MS, 3 * END_MS));
        let accepted_by = |time: u64| {
            history.amendments.iter().filter(|(accepted, _)| *accepted <= time).count() as u64
        };
        let first = START_MS.next_multiple_of(MINUTE_MS);
        for minute in (first..START_MS + END_MS - MINUTE_MS).step_by(60_000) {
            let begin = minute - START_MS;
            let (recorded, full) = (version_of(&recorded, minute), version_of(&full, minute));
            let lowest = begin.checked_sub(PROPAGATION_MS + STEP_MS).map_or(0, accepted_by);
            // The first version counts from its own minute on.
            let highest = accepted_by(begin).max(accepted_by(begin + MINUTE_MS).min(1));
            prop_assert!(
                (lowest..=highest).contains(&full),
                "{full}, not {lowest} to {highest} at {begin}"
            );
            prop_assert!(
                (lowest..=highest).contains(&recorded),
                "{recorded}, not {lowest} to {highest} at {begin}"
            );
        }
    }
}

/// Returns the members of a data centre, `i0` to `i2` with the given runs, and its watchers `i1`
/// and `i2`.
fn members(runs: [Incarnation; 3]) -> (Members, BTreeSet<InstanceId>) {
    let names = ["i0", "i1", "i2"].map(InstanceId::from);
    let watchers = names[1..].iter().cloned().collect();
    (names.into_iter().zip(runs).collect(), watchers)
}

/// Guards against instances that record although a watcher is still alive, and against the loss of
/// a version when both watchers die before they flush it.
#[test]
fn only_watchers_record_unless_all_of_them_die() {
    let start = Instant::now();
    let second = |n: u64| (start + Duration::from_secs(n), at(START_MS + n * 1_000));
    for (both_die, expected) in [(false, 0), (true, 1)] {
        let mut log = VersionLog::new("i0".into(), start);
        let set = |log: &mut VersionLog, runs, n| {
            let (live, watchers) = members(runs);
            log.set_members(&live, &watchers.iter().collect(), second(n).0, second(n).1)
        };
        assert!(!set(&mut log, [1, 1, 1], 1));
        assert!(!log.append(record(1, START_MS + 2_000), second(2).0, second(2).1));
        assert!(!set(&mut log, [1, 2, 1], 12));
        // The second watcher restarts 29 s after the adoption, or after 30 s, when it has confirmed
        // the version.
        assert_eq!(set(&mut log, [1, 2, 2], if both_die { 31 } else { 32 }), both_die);
        let (now, wall) = second(33);
        assert_eq!(log.begin_flush(now, wall).iter().count(), expected);
    }
}

/// Guards against objects that grow with the age of a run, against versions that no object
/// contains, and against an object without the version in effect at the start of its hour.
#[test]
fn each_hour_holds_its_own_versions_and_the_one_in_effect() {
    const HOUR_MS: u64 = 3_600_000;
    let start = Instant::now();
    let mut log = VersionLog::new("i2".into(), start);
    let (live, watchers) = members([1, 1, 1]);
    log.set_members(&live, &watchers.iter().collect(), start, at(0));
    let mut largest = 0;
    let mut objects = BTreeMap::<u64, Vec<u64>>::new();
    let step = 86_400_000 / 22_000;
    for n in 1..=22_000 {
        let time = n * step;
        let (now, wall) = (start + Duration::from_millis(time), at(time));
        log.append(record(n, time), now, wall);
        if n % 10 > 0 {
            continue;
        }
        let list = log.begin_flush(now, wall);
        objects.insert(time / HOUR_MS, list.iter().map(|version| version.version).collect());
        if n % 100 == 0 {
            largest = largest.max(serde_json::to_string(&list).unwrap().len());
        }
        // The platform is unreachable during hour 2.
        if time / HOUR_MS != 2 {
            log.on_written();
        } else {
            objects.remove(&(time / HOUR_MS));
        }
    }
    let recorded: BTreeSet<u64> = objects.values().flatten().copied().collect();
    assert_eq!(recorded.len(), 22_000);
    for (hour, versions) in &objects {
        let before = versions.iter().filter(|version| *version * step < hour * HOUR_MS).count();
        assert!(before >= 1 || *hour == 0, "no version in effect at the begin of hour {hour}");
    }
    assert!(largest < 1 << 19, "{largest} bytes");
}

/// Guards against versions that are lost when an instance starts or stops recording at the end of
/// an hour, whose object it doesn't write again.
#[test]
fn a_change_of_watchers_at_the_end_of_an_hour_loses_no_version() {
    let (start, hour) = (Instant::now(), 3_600_000 * 100);
    let time = |ms: u64| (start + Duration::from_millis(ms), at(hour - 60_000 + ms));
    for (name, becomes_watcher) in [("i0", true), ("i1", false)] {
        let mut log = VersionLog::new(name.into(), start);
        let (live, watchers) = members([1, 1, 1]);
        let watchers = watchers.iter().collect();
        log.set_members(&live, &watchers, start, time(0).1);
        let adopt = |log: &mut VersionLog, n, ms: u64| {
            log.append(record(n, hour - 60_000 + ms), time(ms).0, time(ms).1)
        };
        adopt(&mut log, 1, 20_000);
        adopt(&mut log, 2, 30_000);
        assert_eq!(
            log.begin_flush(time(50_000).0, time(50_000).1).iter().count(),
            2 * usize::from(!becomes_watcher)
        );
        log.on_written();
        adopt(&mut log, 3, 55_000);
        // Instance 0 replaces instance 1 as a watcher.
        let watchers: BTreeSet<InstanceId> = ["i0", "i2"].map(InstanceId::from).into();
        log.set_members(&live, &watchers.iter().collect(), time(58_000).0, time(58_000).1);
        let written = log.begin_flush(time(61_000).0, time(61_000).1);
        let versions: Vec<_> = written.iter().map(|version| version.version).collect();
        // The former watcher doesn't write version 1 again: its object of the previous hour holds
        // it.
        assert_eq!(versions, if becomes_watcher { vec![1, 2, 3] } else { vec![2, 3] });
    }
}
