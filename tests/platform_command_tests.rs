//! The commands that read the platform, against its stand-in and golden files.

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use accounting::{Death, Interval, Run, UsageObject, VersionList, VersionRecord, Work, WorkObject};
use configuration::{Head, catalogue_hash, contract_hash};
use group::{DecisionObject, ServerRecord};
use rstest::rstest;
use serde::Serialize;
use stand_ins::platform::{Platform, PlatformConfig};
use types::contract::{Configuration, UrgencyClass};

/// 2026-12-03T10:00:00Z, the begin of the period of the cost reports.
const TEN: u64 = 1_796_292_000;

/// A platform stand-in on a free port.
async fn platform() -> Platform {
    Platform::start(PlatformConfig::default()).await.expect("a free port")
}

/// Creates an object.
async fn put(address: SocketAddr, key: &str, value: &impl Serialize) {
    let put = reqwest::Client::new().put(format!("http://{address}/objects/{key}"));
    let body = serde_json::to_string(value).expect("JSON");
    let answer = put.header("if-none-match", "*").body(body).send().await.expect("answer");
    assert!(answer.status().is_success(), "{key}: {}", answer.status());
}

/// Stores a configuration as accepted.
async fn accept(address: SocketAddr, configuration: &Configuration) {
    let mut head = Head { version: configuration.version, nonce: 1, ..Head::default() };
    for (client_account, contract) in &configuration.contracts {
        let hash = contract_hash(contract);
        put(address, &format!("contract/{client_account}@{hash}"), &**contract).await;
        head.contracts.insert(client_account.clone(), hash);
    }
    head.catalogue = catalogue_hash(&configuration.catalogue);
    put(address, &format!("catalogue/{}", head.catalogue), &*configuration.catalogue).await;
    put(address, "configuration/head", &head).await;
}

fn sample(name: &str) -> Configuration {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("samples").join(name);
    contracts::read_directory(&dir).unwrap_or_else(|e| panic!("{e}"))
}

/// The Alykes sample as it was some versions ago.
fn earlier_alykes() -> Configuration {
    let mut earlier = Configuration { version: 7, ..sample("alykes") };
    let foremen = Arc::make_mut(earlier.contracts.get_mut("foremen").expect("foremen"));
    foremen.limits.requests_per_second = 30;
    foremen.models.remove("notes-akti");
    let interactive = foremen.classes.get_mut("interactive").expect("interactive");
    *interactive = UrgencyClass {
        first_token: Duration::from_secs(2),
        worth_milli: 450,
        ..interactive.clone()
    };
    earlier.contracts.remove("inspectors");
    let catalogue = Arc::make_mut(&mut earlier.catalogue);
    catalogue.deployment.cold_start_weight = 50;
    catalogue.models.remove("tally-skala");
    earlier
}

/// Runs the binary while the stand-in serves it.
async fn run(platform: &Platform, args: &[&str]) -> std::process::Output {
    let address = platform.address().to_string();
    let args: Vec<String> =
        args.iter().map(|a| (*a).into()).chain(["--platform".into(), address]).collect();
    let run = move || support::run(&args.iter().map(String::as_str).collect::<Vec<_>>());
    tokio::task::spawn_blocking(run).await.expect("no panic")
}

/// Guards against a change that `diff` does not show, and against a first configuration that it
/// cannot compare with nothing.
#[rstest]
#[case("diff-amended", Some(earlier_alykes()), &["diff", "samples/alykes"])]
#[case("diff-amended-json", Some(earlier_alykes()), &["diff", "samples/alykes", "--format", "json"])]
#[case("diff-same", Some(Configuration { version: 8, ..sample("kovac-hudec") }), &["diff", "samples/kovac-hudec"])]
#[case("diff-first", None, &["diff", "samples/kovac-hudec"])]
#[case("diff-mistakes", None, &["diff", "tests/golden/mistakes"])]
#[tokio::test]
async fn diff_shows_what_the_golden_file_holds(
    #[case] name: &str,
    #[case] accepted: Option<Configuration>,
    #[case] args: &[&str],
) {
    let platform = platform().await;
    if let Some(accepted) = accepted {
        accept(platform.address(), &accepted).await;
    }
    support::assert_golden(name, &run(&platform, args).await, &[]);
}

/// Guards against a platform that cannot be reached and is taken for an empty one.
#[test]
fn an_unreachable_platform_is_a_failure() {
    let args =
        ["diff", "samples/kovac-hudec", "--platform", "127.0.0.1:1", "--platform-timeout", "300ms"];
    support::assert_golden("diff-unreachable", &support::run(&args), &[]);
}

/// Guards against a command that stops at the first address although another one answers.
#[rstest]
#[case::separated_by_commas(&["--platform", "127.0.0.1:1,ADDRESS"])]
#[case::repeated(&["--platform", "127.0.0.1:1", "--platform", "ADDRESS"])]
#[tokio::test]
async fn another_platform_address_is_used_after_a_failed_call(#[case] options: &[&str]) {
    let platform = platform().await;
    let accepted = Configuration { version: 5, ..sample("kovac-hudec") };
    accept(platform.address(), &accepted).await;
    let address = platform.address().to_string();
    let args: Vec<String> = ["diff", "samples/kovac-hudec"]
        .iter()
        .chain(options)
        .map(|arg| arg.replace("ADDRESS", &address))
        .collect();
    let run = move || support::run(&args.iter().map(String::as_str).collect::<Vec<_>>());
    let output = tokio::task::spawn_blocking(run).await.expect("no panic");
    support::assert_golden("diff-second-address", &output, &[]);
}

/// Guards against a failure that does not tell which addresses were tried.
#[test]
fn a_failure_names_all_addresses_tried() {
    let args = [
        "diff",
        "samples/kovac-hudec",
        "--platform",
        "127.0.0.1:1,127.0.0.1:2",
        "--platform",
        "127.0.0.1:3",
        "--platform-timeout",
        "3s",
    ];
    support::assert_golden("diff-unreachable-addresses", &support::run(&args), &[]);
}

/// Guards against a period that ends before it begins and is taken for one without cost.
#[test]
fn a_reversed_period_is_a_usage_error() {
    let args = ["report", "cost", "--from", "2026-12-03T10:00:00Z", "--to", "2026-12-03T09:00:00Z"];
    support::assert_golden("cost-reversed", &support::run(&args), &[]);
}

fn at(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(TEN + seconds)
}

/// Half an hour of usage: two groups, two instances of which one dies, and an amended contract.
async fn store_usage(address: SocketAddr) {
    let (before, after) = (earlier_alykes(), sample("alykes"));
    let mut records = Vec::new();
    for (version, configuration, adopted_at) in [(7, &before, 0), (8, &after, 610)] {
        let mut contracts = std::collections::BTreeMap::new();
        for (client_account, contract) in &configuration.contracts {
            let hash = contract_hash(contract);
            let key = format!("contract/{client_account}@{hash}");
            if version == 7 || before.contracts.get(client_account) != Some(contract) {
                put(address, &key, &**contract).await;
            }
            contracts.insert(client_account.clone(), hash);
        }
        records.push(VersionRecord { version, adopted_at: at(adopted_at), contracts });
    }
    let interval = |replica, model: &str, accelerators, from, to| Interval {
        group: "north-a".into(),
        replica,
        model: model.into(),
        accelerators,
        from: at(from),
        to: at(to),
    };
    let booked =
        vec![interval(1, "summary-akti", 1, 30, 900), interval(2, "tally-akti", 2, 0, 1_200)];
    put(address, "usage/north-a-498970", &UsageObject { intervals: booked }).await;
    // Replica 3 is loaded for longer than the period; replica 1 is booked but not dropped yet.
    let loaded = serde_json::json!({
        "model": "notes-akti", "version": "2026.1", "memory_bytes": 17_179_869_184_u64, "accelerators": 1,
        "adapter_slots": 0, "max_batch": 16, "decided_at": at(1_000), "stage": "seen",
    });
    let server = ServerRecord {
        replicas: [(3, serde_json::from_value(loaded).expect("a replica"))].into(),
        ..ServerRecord::default()
    };
    let ended = group::Interval {
        replica: 1,
        model: "summary-akti".into(),
        accelerators: 1,
        from: at(30),
        until: at(900),
    };
    let decision = DecisionObject {
        group: "north-a".into(),
        servers: [("engine-1".into(), server)].into(),
        intervals: vec![ended],
        ..DecisionObject::default()
    };
    put(address, "decision/north-a", &decision).await;
    let hash = |configuration: &Configuration, client_account: &str| {
        contract_hash(&configuration.contracts[client_account])
    };
    let work = |second: u64, model: &str, client_account: &str, version: Box<str>, tokens| Work {
        minute: (TEN + second) / 60,
        model: model.into(),
        client_account: client_account.into(),
        contract_version: version,
        tokens,
    };
    let north = Run {
        flushed_until: at(1_800),
        closed: false,
        work: [
            work(60, "summary-akti", "foremen", hash(&before, "foremen"), 700),
            work(660, "summary-akti", "foremen", hash(&after, "foremen"), 900),
            work(1_260, "notes-akti", "buyers", hash(&after, "buyers"), 100),
            work(1_260, "notes-akti", "foremen", hash(&after, "foremen"), 200),
        ]
        .into_iter()
        .collect(),
        versions: records.into_iter().collect(),
        deaths: vec![Death { instance: "north-2".into(), incarnation: 9, noticed_at: at(668) }],
    };
    put(address, "work/north-1-498970", &WorkObject { runs: [(4, north)].into() }).await;
    let dead = Run {
        flushed_until: at(660),
        closed: false,
        work: [work(600, "tally-akti", "inspectors", hash(&after, "inspectors"), 5_000)]
            .into_iter()
            .collect(),
        versions: VersionList::default(),
        deaths: Vec::new(),
    };
    put(address, "work/north-2-498970", &WorkObject { runs: [(9, dead)].into() }).await;
}

/// Guards against amounts that change between releases, and against usage that is read in part.
#[rstest]
#[case("cost", "text")]
#[case("cost-csv", "csv")]
#[case("cost-json", "json")]
#[tokio::test]
async fn cost_is_split_as_the_golden_file_holds(#[case] name: &str, #[case] format: &str) {
    let platform = platform().await;
    store_usage(platform.address()).await;
    let args = [
        "report",
        "cost",
        "--from",
        "2026-12-03T10:00:00Z",
        "--to",
        "2026-12-03T10:30:00Z",
        "--format",
        format,
    ];
    support::assert_golden(name, &run(&platform, &args).await, &[]);
}

/// Guards against usage that cannot be matched with the contract that it is booked under.
#[test]
fn the_head_and_the_usage_name_contracts_by_one_hash() {
    for contract in sample("alykes").contracts.values() {
        assert_eq!(contract_hash(contract), contracts::content_hash(&**contract));
    }
}
