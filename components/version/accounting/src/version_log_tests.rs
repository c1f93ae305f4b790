//! Tests of recording versions: any order of amendments and deaths keeps the split exact.

use proptest::prelude::*;
use types::prelude::*;

use crate::ledger::Ledger;
use crate::records::*;
use crate::report::CostLine;
use crate::test_data::{at, contract, interval, object, run, version};
use crate::version_log::{Members, VersionLog};

/// Time within which an accepted version is in effect at every instance.
const SPREAD_MS: u64 = 4_000;
/// Time within which a death is noticed.
const DETECTION_MS: u64 = 8_000;
const INSTANCES: usize = 6;
const WATCHERS: usize = 2;
const END_MS: u64 = 240_000;
/// Resolution of the simulated time.
const STEP_MS: u64 = 250;
/// The period runs over the end of an hour.
const START_MS: u64 = 3_600_000 * 100 - 150_000;

/// Amendments with the delay of each instance, and deaths with the time until the restart.
#[derive(Clone, Debug)]
struct History {
    amendments: Vec<(u64, [u64; INSTANCES])>,
    deaths: Vec<(usize, u64, u64)>,
    phases: [u64; INSTANCES],
}

fn history() -> impl Strategy<Value = History> {
    let delays = || prop::array::uniform6(0..SPREAD_MS);
    // Instance 0 is ranked last and lives on; the first ranks, which watch, die most often.
    let instance = prop_oneof![1..INSTANCES, INSTANCES - 2..INSTANCES];
    let restart = || prop_oneof![100..4_000u64, 6_000..60_000u64, Just(END_MS)];
    // Half of the histories lose both watchers about the minute that begins after 150 s, soon after an
    // amendment, with restarts that nobody has to notice as deaths.
    let late = (143_000..146_000u64, delays());
    let watcher =
        |n| (Just(n), 146_500..153_000u64, prop_oneof![2 => 100..4_000u64, 1 => restart()]);
    let both = (late, watcher(INSTANCES - 1), watcher(INSTANCES - 2));
    (
        prop::collection::vec((0..END_MS, delays()), 1..6),
        // An instance that was promoted records for the rest of the period, which hides a loss.
        prop_oneof![
            Just(Vec::new()),
            prop::collection::vec((instance, 0..END_MS, restart()), 0..6)
        ],
        prop::option::of(both),
        prop::array::uniform6(0..10_000u64),
    )
        .prop_map(|(mut amendments, mut deaths, both, phases)| {
            if let Some((late, first, second)) = both {
                amendments.push(late);
                deaths.extend([first, second]);
            }
            amendments.sort();
            History { amendments, deaths, phases }
        })
}

struct Node {
    incarnation: Incarnation,
    alive_from: u64,
    log: VersionLog,
    adopted: u64,
    flush_at: u64,
    /// All versions with their times, as an instance that records everything writes them.
    all: Vec<VersionRecord>,
}

/// Ledgers of records as the logs choose them, and as they are if every instance records.
fn simulate(history: &History) -> (Ledger, Ledger) {
    let base = Instant::now();
    let (mut chosen, mut full) =
        (ledger(history.amendments.len()), ledger(history.amendments.len()));
    let name = |n: usize| -> InstanceId { format!("i{n}").into() };
    let start = |n: usize, incarnation, time: u64| Node {
        incarnation,
        alive_from: time,
        log: VersionLog::new(name(n), base + Duration::from_millis(time)),
        adopted: 0,
        flush_at: time + 10_000,
        all: Vec::new(),
    };
    let mut nodes: Vec<Option<Node>> = (0..INSTANCES).map(|n| Some(start(n, 0, 0))).collect();
    for (node, phase) in nodes.iter_mut().flatten().zip(history.phases) {
        node.flush_at = phase;
    }
    // When the others learn of a run, and of its end.
    let mut known: Vec<(usize, Incarnation, u64, u64)> =
        (0..INSTANCES).map(|n| (n, 0, 0, u64::MAX)).collect();
    let mut restarts: Vec<(u64, usize)> = Vec::new();
    for time in (0..END_MS + 30_000).step_by(STEP_MS as usize) {
        let (now, wall) = (base + Duration::from_millis(time), at(START_MS + time));
        for (n, died, restart) in &history.deaths {
            if died / STEP_MS == time / STEP_MS && nodes[*n].is_some() {
                nodes[*n] = None;
                known
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
            known.iter_mut().filter(|k| k.0 == *n).for_each(|k| k.3 = k.3.min(time + 500));
            known.push((*n, incarnation, time + 500, u64::MAX));
            false
        });
        for n in 0..INSTANCES {
            let Some(node) = &mut nodes[n] else { continue };
            // Views change every half second.
            if time % 500 == 0 || node.alive_from == time {
                let mut live = Members::new();
                for (n, incarnation, ..) in known.iter().filter(|k| k.2 <= time && time < k.3) {
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
                node.all.push(record);
            }
            if node.flush_at <= time {
                node.flush_at = time + 10_000;
                let mut flush = run(START_MS + time, Vec::new());
                flush.versions = node.log.begin_flush(now, wall);
                chosen.add_work(&name(n), &object(node.incarnation, flush.clone())).unwrap();
                node.log.on_written();
                flush.versions = node.all.iter().cloned().collect();
                full.add_work(&name(n), &object(node.incarnation, flush)).unwrap();
            }
        }
    }
    (chosen, full)
}

/// Each version has one contract of its own, so that a split shows which version it follows.
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

/// The version that a minute is split by; zero for none.
fn version_of(ledger: &Ledger, minute_ms: u64) -> u64 {
    let report = ledger.report(at(minute_ms), at(minute_ms + MINUTE_MS), at(START_MS + END_MS));
    assert_eq!(report.lines.iter().map(CostLine::total_ms).sum::<u64>(), report.total_ms);
    let hash = report.lines.first().and_then(|line| line.contract_version.clone());
    hash.map_or(0, |hash| hash[1..].parse().unwrap())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against a version that nobody records, or only a restarted watcher at its own start:
    /// each minute is split by a version that was in effect when it began, and sums stay exact.
    #[test]
    fn any_order_of_amendments_and_deaths_keeps_the_split_exact(history in history()) {
        let (chosen, full) = simulate(&history);
        let total = |ledger: &Ledger| {
            let report = ledger.report(at(START_MS), at(START_MS + END_MS), at(START_MS + END_MS));
            (report.lines.iter().map(CostLine::total_ms).sum::<u64>(), report.total_ms)
        };
        prop_assert_eq!(total(&chosen), (3 * END_MS, 3 * END_MS));
        prop_assert_eq!(total(&full), (3 * END_MS, 3 * END_MS));
        let by = |time: u64| {
            history.amendments.iter().filter(|(accepted, _)| *accepted <= time).count() as u64
        };
        let first = START_MS.next_multiple_of(MINUTE_MS);
        for minute in (first..START_MS + END_MS - MINUTE_MS).step_by(60_000) {
            let begin = minute - START_MS;
            let (chosen, full) = (version_of(&chosen, minute), version_of(&full, minute));
            let least = begin.checked_sub(SPREAD_MS + STEP_MS).map_or(0, by);
            // The first version counts from its own minute on.
            let most = by(begin).max(by(begin + MINUTE_MS).min(1));
            prop_assert!((least..=most).contains(&full), "{full}, not {least} to {most} at {begin}");
            prop_assert!((least..=most).contains(&chosen), "{chosen}, not {least} to {most} at {begin}");
        }
    }
}

/// A data centre of two watchers and one more instance, which is `i0`.
fn members(runs: [Incarnation; 3]) -> (Members, BTreeSet<InstanceId>) {
    let names = ["i0", "i1", "i2"].map(InstanceId::from);
    let watchers = names[1..].iter().cloned().collect();
    (names.into_iter().zip(runs).collect(), watchers)
}

/// Guards against records of every instance, as long as one watcher is alive, and against the loss of
/// a version that both watchers took with them.
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
        // The second watcher restarts 29 s after the adoption, or later.
        assert_eq!(set(&mut log, [1, 2, 2], if both_die { 31 } else { 32 }), both_die);
        let (now, wall) = second(33);
        assert_eq!(log.begin_flush(now, wall).iter().count(), expected);
    }
}

/// Guards against objects that grow with the age of a run, against a version that is missing in the
/// object of its hour, and against an hour without the version that is in effect at its begin.
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
        // The platform is away for the second hour.
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

/// Guards against versions that are lost where an instance begins or ends to record at the end of an
/// hour, whose object it does not write again.
#[test]
fn a_change_of_watchers_at_the_end_of_an_hour_loses_nothing() {
    let (start, hour) = (Instant::now(), 3_600_000 * 100);
    let time = |ms: u64| (start + Duration::from_millis(ms), at(hour - 60_000 + ms));
    for (name, begins) in [("i0", true), ("i1", false)] {
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
            2 * usize::from(!begins)
        );
        log.on_written();
        adopt(&mut log, 3, 55_000);
        // Instance 0 takes the place of instance 1.
        let watchers: BTreeSet<InstanceId> = ["i0", "i2"].map(InstanceId::from).into();
        log.set_members(&live, &watchers.iter().collect(), time(58_000).0, time(58_000).1);
        let written = log.begin_flush(time(61_000).0, time(61_000).1);
        let versions: Vec<_> = written.iter().map(|version| version.version).collect();
        // The former watcher's object of the hour before holds version 1.
        assert_eq!(versions, if begins { vec![1, 2, 3] } else { vec![2, 3] });
    }
}
