//! Property tests: reports stay exact for any order and repetition of records and after any crash.

use proptest::prelude::*;
use types::prelude::*;

use crate::ledger::Ledger;
use crate::records::*;
use crate::report::{CostLine, CostReport};
use crate::test_data::{at, contract, interval, object, version};

const END: u64 = 300_000;
const MODELS: [&str; 3] = ["m", "n", "o"];
const CLIENT_ACCOUNTS: [&str; 3] = ["a", "b", "c"];

/// One record as a report reads it from the platform.
#[derive(Clone, Debug)]
enum Record {
    Interval(Interval),
    Work(&'static str, WorkObject),
    Version(VersionRecord),
    Contract(Box<str>, Contract),
}

/// Generated history: replicas, versions and, for each run, counted work and the time of its death.
#[derive(Clone, Debug)]
struct History {
    replicas: Vec<(usize, u32, u64, u64, u64)>,
    versions: Vec<(u64, [u32; 3])>,
    events: Vec<Vec<(u64, usize, usize, u64)>>,
    deaths: Vec<Option<u64>>,
}

fn history() -> impl Strategy<Value = History> {
    let replica = (0..3usize, 1..4u32, 0..END, 0..END, 0..END);
    let events = prop::collection::vec((0..END, 0..3usize, 0..3usize, 1..1000u64), 0..12);
    (
        prop::collection::vec(replica, 1..5),
        prop::collection::vec((0..END, prop::array::uniform3(0..5000u32)), 0..4),
        prop::collection::vec(events, 2),
        prop::collection::vec(prop::option::of(0..END), 2),
    )
        .prop_map(|(replicas, versions, events, deaths)| History {
            replicas,
            versions,
            events,
            deaths,
        })
}

impl History {
    /// Returns all records: intervals in overlapping parts, and one work object per flush of each
    /// run.
    fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for (n, (model, accelerators, a, b, cut)) in self.replicas.iter().enumerate() {
            let (from, to) = (*a.min(b), *a.max(b));
            let piece = |from, to| interval(n as u64, MODELS[*model], *accelerators, from, to);
            let cut = (*cut).clamp(from, to);
            let pieces = [piece(from, cut), piece(cut, to), piece(from, cut.midpoint(to))];
            records.extend(pieces.map(Record::Interval));
        }
        for (n, (adopted_at, shares)) in self.versions.iter().enumerate() {
            let hashes = CLIENT_ACCOUNTS.map(|c| format!("{c}{n}"));
            for ((client_account, share), hash) in CLIENT_ACCOUNTS.iter().zip(shares).zip(&hashes) {
                records.push(Record::Contract(
                    hash.as_str().into(),
                    contract(client_account, *share, &MODELS[..2]),
                ));
            }
            let contracts: Vec<_> =
                CLIENT_ACCOUNTS.into_iter().zip(hashes.iter().map(String::as_str)).collect();
            records.push(Record::Version(version(n as u64 + 1, *adopted_at, &contracts)));
        }
        for run in 0..self.events.len() {
            // Another instance notices the death of the first run, but not that of the second.
            if let (0, Some(died)) = (run, self.deaths[run]) {
                let death =
                    Death { instance: "i".into(), incarnation: 0, noticed_at: at(died + 5_000) };
                let observer = Run {
                    deaths: vec![death],
                    closed: true,
                    ..crate::test_data::run(END, Vec::new())
                };
                records.push(Record::Work("observer", object(9, observer)));
            }
            records.extend(
                self.flushes(run)
                    .map(|until| Record::Work("i", object(run as u64, self.run(run, until)))),
            );
        }
        records
    }

    /// Returns the times at which a run flushes until its death.
    fn flushes(&self, run: usize) -> impl Iterator<Item = u64> {
        let died = self.deaths[run].unwrap_or(END);
        (0..=died).step_by(10_000)
    }

    /// Returns the record of a run that a flush at `until` writes.
    fn run(&self, run: usize, until: u64) -> Run {
        let mut counters = BTreeMap::<_, u64>::new();
        for (time, model, client_account, tokens) in &self.events[run] {
            if *time < until {
                *counters.entry((time / MINUTE_MS, *model, *client_account)).or_default() += tokens;
            }
        }
        let work = counters.into_iter().map(|((minute, m, c), tokens)| Work {
            minute,
            model: MODELS[m].into(),
            client_account: CLIENT_ACCOUNTS[c].into(),
            contract_version: "h".into(),
            tokens,
        });
        let mut record = crate::test_data::run(until, work.collect());
        record.closed = self.deaths[run].is_none() && until == END;
        record
    }

    /// Returns the accelerator-milliseconds of all replicas.
    fn accelerator_ms(&self) -> u64 {
        self.replicas
            .iter()
            .map(|(_, accelerators, a, b, _)| a.abs_diff(*b) * u64::from(*accelerators))
            .sum()
    }
}

fn ledger(records: &[Record]) -> Ledger {
    let mut ledger = Ledger::new();
    for record in records {
        match record {
            Record::Interval(interval) => ledger.add_interval(interval).unwrap(),
            Record::Work(instance, object) => ledger.add_work(instance, object).unwrap(),
            Record::Version(version) => ledger.add_version(version).unwrap(),
            Record::Contract(hash, contract) => ledger.add_contract(hash, contract).unwrap(),
        }
    }
    ledger
}

fn report(ledger: &Ledger, to: u64) -> CostReport {
    ledger.report(at(0), at(to), at(END + 60_000))
}

fn sum(report: &CostReport) -> u64 {
    report.lines.iter().map(CostLine::total_ms).sum()
}

proptest! {
    /// Guards against amounts that depend on the order of records or that double with a repeated
    /// one.
    #[test]
    fn order_and_repetition_change_nothing(
        (ordered, shuffled) in history().prop_flat_map(|h| {
            let records = h.records();
            let repeated: Vec<_> = records.iter().chain(&records).cloned().collect();
            (Just(records), Just(repeated).prop_shuffle())
        }),
    ) {
        let (ordered, shuffled) = (ledger(&ordered), ledger(&shuffled));
        prop_assert_eq!(&ordered, &shuffled);
        prop_assert_eq!(report(&ordered, END), report(&shuffled, END));
    }

    /// Guards against a split, an amendment or a crash that adds or loses accelerator time.
    #[test]
    fn sums_are_exact_for_any_lost_records(history in history(), lost in prop::collection::vec(any::<bool>(), 80)) {
        // Intervals survive every crash, since decision objects contain them. Other records may be
        // lost.
        let remaining: Vec<_> = history
            .records()
            .into_iter()
            .enumerate()
            .filter(|(n, r)| matches!(r, Record::Interval(_)) || !lost[n % lost.len()])
            .map(|(_, r)| r)
            .collect();
        let report = report(&ledger(&remaining), END);
        prop_assert_eq!(sum(&report), history.accelerator_ms());
        prop_assert_eq!(report.total_ms, history.accelerator_ms());
    }

    /// Guards against lost work in minutes that aren't flagged, and against a loss of more than one
    /// flush interval.
    #[test]
    fn lost_work_is_bounded_and_flagged(history in history()) {
        let report = report(&ledger(&history.records()), END);
        for (run, died) in history.deaths.iter().enumerate() {
            let Some(died) = died else { continue };
            let flushed = history.flushes(run).last().unwrap();
            let lost = history.events[run].iter().filter(|e| e.0 >= flushed && e.0 < *died);
            for (time, ..) in lost {
                prop_assert!(*time < flushed + 10_000);
                let covered = report.gaps.iter().any(|g| g.from_ms <= *time && *time < g.to_ms);
                prop_assert!(covered, "work at {time} is lost without a flag");
            }
        }
        let all_alive = history.deaths.iter().all(Option::is_none);
        prop_assert!(!all_alive || report.gaps.is_empty());
        prop_assert!(!all_alive || report.lines.iter().all(|l| l.flagged_ms == 0));
    }

    /// Guards against an amendment that changes reports of minutes before its adoption.
    #[test]
    fn an_amendment_never_changes_earlier_minutes(history in history(), adopted_at in 0..END, shares in prop::array::uniform3(0..5000u32)) {
        // The amendment is the next version. An earlier version may have a later time of adoption,
        // since clocks differ.
        let mut amended = history.clone();
        amended.versions.push((adopted_at, shares));
        let before = adopted_at / MINUTE_MS * MINUTE_MS;
        prop_assert_eq!(
            report(&ledger(&history.records()), before),
            report(&ledger(&amended.records()), before)
        );
    }
}
