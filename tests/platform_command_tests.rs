//! Tests of the commands that read the platform, against its stand-in and golden files.

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

/// Start of the period of the cost reports, 2026-12-03T10:00:00Z, in Unix seconds.
const PERIOD_START_SECS: u64 = 1_796_292_000;

/// Starts a platform stand-in on a free port.
async fn platform() -> Platform {
    Platform::start(PlatformConfig::default()).await.expect("a free port")
}

/// Creates an object on the platform; fails if it exists.
async fn create_object(address: SocketAddr, key: &str, value: &impl Serialize) {
    let req = reqwest::Client::new().put(format!("http://{address}/objects/{key}"));
    let body = serde_json::to_string(value).expect("JSON");
    let answer = req.header("if-none-match", "*").body(body).send().await.expect("answer");
    assert!(answer.status().is_success(), "{key}: {}", answer.status());
}

/// Stores a configuration as the accepted one.
async fn store_accepted(address: SocketAddr, configuration: &Configuration) {
    let mut head = Head { version: configuration.version, nonce: 1, ..Head::default() };
    for (client_account, contract) in &configuration.contracts {
        let hash = contract_hash(contract);
        create_object(address, &format!("contract/{client_account}@{hash}"), &**contract).await;
        head.contracts.insert(client_account.clone(), hash);
    }
    head.catalogue = catalogue_hash(&configuration.catalogue);
    create_object(address, &format!("catalogue/{}", head.catalogue), &*configuration.catalogue)
        .await;
    create_object(address, "configuration/head", &head).await;
}

fn sample(name: &str) -> Configuration {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("samples").join(name);
    contracts::read_directory(&dir).unwrap_or_else(|e| panic!("{e}"))
}

/// The Alykes sample in a previous version, with differences in contracts and catalogue.
fn previous_alykes() -> Configuration {
    let mut previous = Configuration { version: 7, ..sample("alykes") };
    let foremen = Arc::make_mut(previous.contracts.get_mut("foremen").expect("foremen"));
    foremen.limits.requests_per_second = 30;
    foremen.models.remove("notes-akti");
    let interactive = foremen.classes.get_mut("interactive").expect("interactive");
    *interactive = UrgencyClass {
        first_token: Duration::from_secs(2),
        worth_milli: 450,
        ..interactive.clone()
    };
    previous.contracts.remove("inspectors");
    let catalogue = Arc::make_mut(&mut previous.catalogue);
    catalogue.deployment.cold_start_weight = 50;
    catalogue.models.remove("tally-skala");
    previous
}

/// Runs the binary on another thread, so that the stand-in can serve it on this one.
async fn run(platform: &Platform, args: &[&str]) -> std::process::Output {
    let address = platform.address().to_string();
    let args: Vec<String> =
        args.iter().map(|a| (*a).into()).chain(["--platform".into(), address]).collect();
    let run = move || support::run(&args.iter().map(String::as_str).collect::<Vec<_>>());
    tokio::task::spawn_blocking(run).await.expect("no panic")
}

/// Guards against a change that `diff` does not show, and against a failure when no configuration
/// has been accepted yet.
#[rstest]
#[case("diff-amended", Some(previous_alykes()), &["diff", "samples/alykes"])]
#[case("diff-amended-json", Some(previous_alykes()), &["diff", "samples/alykes", "--format", "json"])]
#[case("diff-same", Some(Configuration { version: 8, ..sample("kovac-hudec") }), &["diff", "samples/kovac-hudec"])]
#[case("diff-first", None, &["diff", "samples/kovac-hudec"])]
#[case("diff-mistakes", None, &["diff", "tests/golden/mistakes"])]
#[tokio::test]
async fn diff_output_matches_the_golden_file(
    #[case] name: &str,
    #[case] accepted: Option<Configuration>,
    #[case] args: &[&str],
) {
    let platform = platform().await;
    if let Some(accepted) = accepted {
        store_accepted(platform.address(), &accepted).await;
    }
    support::assert_golden(name, &run(&platform, args).await, &[]);
}

/// Guards against a command that treats an unreachable platform as an empty one.
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
    store_accepted(platform.address(), &accepted).await;
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

/// Guards against an error message that does not name the addresses tried.
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

/// Guards against a report that treats a period which ends before its start as one without cost.
#[test]
fn a_reversed_period_is_a_usage_error() {
    let args = ["report", "cost", "--from", "2026-12-03T10:00:00Z", "--to", "2026-12-03T09:00:00Z"];
    support::assert_golden("cost-reversed", &support::run(&args), &[]);
}

fn period_time(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(PERIOD_START_SECS + seconds)
}

/// Stores half an hour of usage: one group, two instances, one of which dies, and an amended
/// contract.
async fn store_usage(address: SocketAddr) {
    let (before, after) = (previous_alykes(), sample("alykes"));
    let mut records = Vec::new();
    for (version, configuration, adopted_at) in [(7, &before, 0), (8, &after, 610)] {
        let mut contracts = std::collections::BTreeMap::new();
        for (client_account, contract) in &configuration.contracts {
            let hash = contract_hash(contract);
            let key = format!("contract/{client_account}@{hash}");
            if version == 7 || before.contracts.get(client_account) != Some(contract) {
                create_object(address, &key, &**contract).await;
            }
            contracts.insert(client_account.clone(), hash);
        }
        records.push(VersionRecord { version, adopted_at: period_time(adopted_at), contracts });
    }
    let interval = |replica, model: &str, accelerators, from, to| Interval {
        group: "north-a".into(),
        replica,
        model: model.into(),
        accelerators,
        from: period_time(from),
        to: period_time(to),
    };
    let usage_intervals =
        vec![interval(1, "summary-akti", 1, 30, 900), interval(2, "tally-akti", 2, 0, 1_200)];
    create_object(address, "usage/north-a-498970", &UsageObject { intervals: usage_intervals })
        .await;
    // Replica 3 stays loaded beyond the period. The interval of replica 1 is in the usage object,
    // and the decision object still has it too.
    let loaded_replica = serde_json::json!({
        "model": "notes-akti", "version": "2026.1", "memory_bytes": 17_179_869_184_u64, "accelerators": 1,
        "adapter_slots": 0, "max_batch": 16, "decided_at": period_time(1_000), "stage": "seen",
    });
    let server = ServerRecord {
        replicas: [(3, serde_json::from_value(loaded_replica).expect("a replica"))].into(),
        ..ServerRecord::default()
    };
    let ended_interval = group::Interval {
        replica: 1,
        model: "summary-akti".into(),
        accelerators: 1,
        from: period_time(30),
        until: period_time(900),
    };
    let decision = DecisionObject {
        group: "north-a".into(),
        servers: [("engine-1".into(), server)].into(),
        intervals: vec![ended_interval],
        ..DecisionObject::default()
    };
    create_object(address, "decision/north-a", &decision).await;
    let hash = |configuration: &Configuration, client_account: &str| {
        contract_hash(&configuration.contracts[client_account])
    };
    let work = |second: u64, model: &str, client_account: &str, version: Box<str>, tokens| Work {
        minute: (PERIOD_START_SECS + second) / 60,
        model: model.into(),
        client_account: client_account.into(),
        contract_version: version,
        tokens,
    };
    let live_run = Run {
        flushed_until: period_time(1_800),
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
        deaths: vec![Death {
            instance: "north-2".into(),
            incarnation: 9,
            noticed_at: period_time(668),
        }],
    };
    create_object(address, "work/north-1-498970", &WorkObject { runs: [(4, live_run)].into() })
        .await;
    let dead_run = Run {
        flushed_until: period_time(660),
        closed: false,
        work: [work(600, "tally-akti", "inspectors", hash(&after, "inspectors"), 5_000)]
            .into_iter()
            .collect(),
        versions: VersionList::default(),
        deaths: Vec::new(),
    };
    create_object(address, "work/north-2-498970", &WorkObject { runs: [(9, dead_run)].into() })
        .await;
}

/// Guards against amounts that change between releases, and against usage that is read only in
/// part.
#[rstest]
#[case("cost", "text")]
#[case("cost-csv", "csv")]
#[case("cost-json", "json")]
#[tokio::test]
async fn cost_report_matches_the_golden_file(#[case] name: &str, #[case] format: &str) {
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

/// Guards against usage that cannot be matched with its contract because the hashes differ.
#[test]
fn the_head_and_the_usage_use_the_same_contract_hash() {
    for contract in sample("alykes").contracts.values() {
        assert_eq!(contract_hash(contract), contracts::content_hash(&**contract));
    }
}
