//! Tests of retention: a sweep deletes old records, but none that a report still needs.

use proptest::prelude::*;
use types::prelude::*;

use crate::ledger::Ledger;
use crate::records::*;
use crate::retention::{ListedObject, RETENTION_MARGIN, Sweep, SweepCall, Writer};
use crate::test_data::{at, contract, interval, version, work};

const HOUR_MS: u64 = 3_600_000;
/// The tests start at this hour, so that the number of digits of the hours grows from two to three.
const FIRST_HOUR: u64 = 80;
const INSTANCES: [&str; 3] = ["i", "i-9", "i-9-8"];

type Objects<T> = BTreeMap<Box<str>, T>;

/// Objects that the instances of a deployment have written.
#[derive(Clone, Debug, Default)]
struct Platform {
    usage: Objects<UsageObject>,
    work: Objects<WorkObject>,
    leases: BTreeMap<&'static str, Incarnation>,
    now: u64,
}

impl Platform {
    /// Creates the objects of one run per instance, which writes each hour until its death. `runs`
    /// contains the first hour and the hour of death of each run.
    fn new(hours: u64, runs: &[(u64, u64)], versions: &[u64], replica_from: u64) -> Self {
        let mut platform = Self { now: (FIRST_HOUR + hours) * HOUR_MS + 1_000, ..Self::default() };
        let adopted: Vec<_> = versions.iter().map(|v| (FIRST_HOUR + v) * HOUR_MS + 5_000).collect();
        for (n, (begin, end)) in runs.iter().enumerate() {
            let incarnation = n as u64 + 10;
            platform.leases.insert(INSTANCES[n], incarnation);
            for hour in FIRST_HOUR + begin..FIRST_HOUR + (*end).min(hours) {
                let until = (hour + 1) * HOUR_MS - 1_000;
                let mut run = crate::test_data::run(
                    until,
                    vec![work(hour * 60 + 7 + n as u64, "m", "a", "h1", 10 + hour)],
                );
                let known = adopted.iter().enumerate().filter(|(_, at)| **at <= until);
                run.versions = known
                    .map(|(n, at)| {
                        version(n as u64 + 1, *at, &[("a", "h1"), ("b", "h2")][..1 + n % 2])
                    })
                    .collect();
                // The first instance outlives the others and notices each death in the same hour.
                let died = |(_, end): &&(u64, u64)| FIRST_HOUR + end == hour;
                for (other, (_, end)) in
                    runs.iter().enumerate().filter(|(_, run)| n == 0 && died(run))
                {
                    let noticed_at = at((FIRST_HOUR + end) * HOUR_MS + 9_000);
                    let (instance, incarnation) = (INSTANCES[other].into(), other as u64 + 10);
                    run.deaths.push(Death { instance, incarnation, noticed_at });
                }
                let object = platform.work.entry(work_name(INSTANCES[n], at(until))).or_default();
                object.runs.insert(incarnation, run);
            }
        }
        for hour in FIRST_HOUR + replica_from..FIRST_HOUR + hours {
            let until = (hour + 1) * HOUR_MS - 1_000;
            let from = (FIRST_HOUR + replica_from) * HOUR_MS;
            let intervals = vec![interval(1, "m", 2, from, until)];
            platform.usage.insert(usage_name("g", at(until)), UsageObject { intervals });
        }
        platform
    }

    fn ledger(&self) -> Ledger {
        let mut ledger = Ledger::new();
        self.usage.values().for_each(|usage| ledger.add_usage(usage).unwrap());
        for (name, object) in &self.work {
            ledger.add_work(name.rsplit_once('-').unwrap().0, object).unwrap();
        }
        self.leases.iter().for_each(|(instance, run)| ledger.add_known_run(instance, *run));
        ledger.add_contract("h1", &contract("a", 4_000, &["m"])).unwrap();
        ledger.add_contract("h2", &contract("b", 6_000, &["m"])).unwrap();
        ledger
    }

    /// Carries out a sweep and returns the numbers of its listings and deletions.
    fn sweep(&mut self, retention: Duration) -> (usize, usize) {
        let writer = |(instance, run): (&&str, &Incarnation)| Writer {
            kind: "work",
            name: (*instance).into(),
            leased_run: Some(*run),
        };
        let usage = Writer { kind: "usage", name: "g".into(), leased_run: None };
        let writers = self.leases.iter().map(writer).chain([usage]).collect();
        let mut sweep = Sweep::new(at(self.now), retention, writers);
        let (mut lists, mut deletes) = (0, 0);
        while let Some(call) = sweep.next_call() {
            match call {
                SweepCall::List { kind, prefix } => {
                    lists += 1;
                    let runs = |name: &str| match kind {
                        "work" => self.work[name].runs.keys().copied().collect(),
                        _ => BTreeSet::new(),
                    };
                    let names: Vec<_> = match kind {
                        "work" => self.work.keys().cloned().collect(),
                        _ => self.usage.keys().cloned().collect(),
                    };
                    let listed = names.into_iter().filter(|name| name.starts_with(&*prefix));
                    sweep.on_listed(
                        listed
                            .map(|name| ListedObject { runs: runs(&name), name, version: 1 })
                            .collect(),
                    );
                }
                SweepCall::Delete { kind, name, .. } => {
                    deletes += 1;
                    let known = match kind {
                        "work" => self.work.remove(&name).is_some(),
                        _ => self.usage.remove(&name).is_some(),
                    };
                    assert!(known, "{kind}/{name} is deleted twice");
                }
            }
        }
        (lists, deletes)
    }
}

proptest! {
    /// Guards against a deletion that changes a report of the retained period: one hour too many,
    /// the object of another writer with a similar name, or the last record of a dead run.
    #[test]
    fn no_report_of_the_retained_period_changes(
        hours in 30u64..90,
        retention in 0u64..60,
        runs in (0u64..5, prop::collection::vec((0u64..60, 0u64..60), 2)),
        versions in prop::collection::vec(0u64..60, 1..5),
        replica_from in 0u64..40,
        from in 0u64..60 * 60,
    ) {
        let observer = (runs.0, hours);
        let runs: Vec<_> = [observer].into_iter().chain(runs.1.into_iter().map(|(a, b)| (a.min(b), a.max(b) + 1))).collect();
        let mut versions = versions;
        versions.push(runs[0].0);
        versions.sort_unstable();
        let mut platform = Platform::new(hours, &runs, &versions, replica_from.min(hours));
        let before = platform.ledger();
        platform.sweep(Duration::from_millis(retention * HOUR_MS));
        let retained = platform.now.saturating_sub(retention * HOUR_MS);
        let from = (retained + from * MINUTE_MS).min(platform.now);
        let report = |ledger: &Ledger| ledger.report(at(from), at(platform.now), at(platform.now));
        prop_assert_eq!(report(&before), report(&platform.ledger()));
    }
}

/// Guards against old objects that no sweep deletes, and against a sweep that never ends.
#[test]
fn a_sweep_deletes_what_is_older_than_retention_and_margin() {
    let mut platform = Platform::new(90, &[(0, 90), (3, 20), (0, 11)], &[0, 30], 0);
    let (lists, deletes) = platform.sweep(Duration::from_secs(20 * 3600));
    let margin = RETENTION_MARGIN.as_secs() / 3600;
    let first_retained = FIRST_HOUR + 90 - 20 - margin;
    let hours = |objects: Vec<&Box<str>>| -> Vec<u64> {
        objects.iter().map(|name| name.rsplit_once('-').unwrap().1.parse().unwrap()).collect()
    };
    assert_eq!(hours(platform.usage.keys().collect()).into_iter().min(), Some(first_retained));
    // The sweep keeps one object of the run that each lease names.
    let old = |hour: &u64| *hour < first_retained;
    assert_eq!(hours(platform.work.keys().collect()).into_iter().filter(old).count(), 3);
    assert_eq!(deletes, 46 + 46 + 17 + 11 - 3);
    // For each of the four writers, thirteen blocks of ten hours reach back to hour 0.
    assert_eq!(lists, 4 * 13);
}

/// Guards against a sweep that deletes everything when the retention reaches back before the epoch.
#[test]
fn nothing_is_deleted_before_the_retention_has_passed() {
    let mut platform = Platform::new(30, &[(0, 30)], &[0], 0);
    let before = (platform.work.clone(), platform.usage.clone());
    assert_eq!(platform.sweep(Duration::from_secs(400 * 24 * 3600)).1, 0);
    assert_eq!((platform.work, platform.usage), before);
}
