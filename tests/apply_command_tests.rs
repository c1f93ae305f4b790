//! Tests of the `apply` command against the platform stand-in and golden files.

mod support;
#[path = "support/instance.rs"]
mod support_instance;

use std::path::{Path, PathBuf};
use std::process::Output;
use std::time::Duration;

use configuration::{Head, catalogue_hash, contract_hash};
use rstest::rstest;
use serde_json::json;
use stand_ins::platform::{Platform, PlatformConfig};
use support_instance::{json_response, serve_responses};
use types::group_state::{ListedInstance, ListedRole, ListedState};
use types::status::InstanceStatus;

async fn platform() -> Platform {
    Platform::start(PlatformConfig::default()).await.expect("a free port")
}

/// Runs the binary on another thread, so that the stand-in can serve it on this one.
async fn run(platform: &Platform, args: &[&str]) -> Output {
    let address = platform.address().to_string();
    let args: Vec<String> =
        args.iter().map(|a| (*a).into()).chain(["--platform".into(), address]).collect();
    let run = move || support::run(&args.iter().map(String::as_str).collect::<Vec<_>>());
    tokio::task::spawn_blocking(run).await.expect("no panic")
}

const APPLY_SAMPLE: &[&str] = &["apply", "samples/alykes"];

/// A temporary copy of the Alykes sample with an amended contract. Dropping it removes the copy.
struct AmendedSample(PathBuf);

impl AmendedSample {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("amended-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary directory");
        let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("samples/alykes");
        for entry in std::fs::read_dir(samples).expect("the sample") {
            let entry = entry.expect("an entry");
            let text = std::fs::read_to_string(entry.path()).expect("a file");
            let text = text.replace("requests_per_second = 40", "requests_per_second = 50");
            std::fs::write(path.join(entry.file_name()), text).expect("written");
        }
        Self(path)
    }
}

impl Drop for AmendedSample {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards against an accepted change that is not reported, a repeated `apply` that makes a new
/// version, a conflict that is overwritten, and wrong exit codes. Each list of commands runs on a
/// new platform; the test compares the output of the last command.
#[rstest]
#[case("apply-first", &["apply samples/alykes"])]
#[case("apply-again", &["apply samples/alykes", "apply samples/alykes"])]
#[case("apply-amended", &["apply samples/alykes", "apply AMENDED"])]
#[case("apply-roll-back", &["apply samples/alykes", "apply AMENDED", "apply samples/alykes"])]
#[case("apply-based-on", &["apply samples/alykes", "apply AMENDED --based-on 1"])]
#[case("apply-conflict", &["apply samples/alykes", "apply AMENDED", "apply samples/alykes --based-on 1"])]
#[case("apply-conflict-json", &["apply samples/alykes", "apply AMENDED", "apply samples/alykes --based-on 1 --format json"])]
#[case("apply-after-conflict", &["apply samples/alykes", "apply AMENDED", "apply samples/alykes --based-on 1", "diff AMENDED"])]
#[case("apply-json", &["apply samples/alykes --format json"])]
#[case("apply-mistakes", &["apply tests/golden/mistakes"])]
#[case("apply-mistakes-diff", &["apply tests/golden/mistakes", "diff samples/alykes"])]
#[tokio::test]
async fn apply_output_matches_the_golden_file(#[case] name: &str, #[case] commands: &[&str]) {
    let platform = platform().await;
    let amended = AmendedSample::new(name);
    let mut last_output = None;
    for command in commands {
        let command = command.replace("AMENDED", &amended.0.display().to_string());
        last_output = Some(run(&platform, &command.split_whitespace().collect::<Vec<_>>()).await);
    }
    support::assert_golden(name, &last_output.expect("a command"), &[]);
}

/// Guards against a change that is not written because the first address does not answer.
#[tokio::test]
async fn apply_writes_to_the_address_that_answers() {
    let platform = platform().await;
    let addresses = format!("127.0.0.1:1,{}", platform.address());
    let run = move || support::run(&["apply", "samples/alykes", "--platform", &addresses]);
    let output = tokio::task::spawn_blocking(run).await.expect("no panic");
    support::assert_golden("apply-first", &output, &[]);
    assert!(platform.object("configuration", "head").is_some());
}

/// Stores a directory as the accepted configuration, as `apply` of another operator does.
fn store_accepted(platform: &Platform, dir: &Path, version: u64) {
    let accepted = contracts::read_directory(dir).unwrap_or_else(|e| panic!("{e}"));
    let mut head = Head { version, nonce: 1, ..Head::default() };
    for (client_account, contract) in &accepted.contracts {
        let hash = contract_hash(contract);
        platform.put_object("contract", &format!("{client_account}@{hash}"), &json!(contract));
        head.contracts.insert(client_account.clone(), hash);
    }
    head.catalogue = catalogue_hash(&accepted.catalogue);
    platform.put_object("catalogue", &head.catalogue, &json!(accepted.catalogue));
    platform.put_object("configuration", "head", &json!(head));
}

/// Guards against a change that overwrites another one accepted while the first is being written,
/// and against a conflict report that shows only one of the two.
#[tokio::test]
async fn a_change_accepted_concurrently_is_a_conflict() {
    let platform = platform().await;
    let sample = Path::new(env!("CARGO_MANIFEST_DIR")).join("samples/alykes");
    store_accepted(&platform, &sample, 4);
    // The delay applies to each of the two reads and the object writes of `apply`, so that the
    // other change is accepted between the read of the head and its write.
    platform.change_faults(|faults| faults.delay_ms = 200);
    let stored = platform.object_names("contract").len();
    let amended = AmendedSample::new("race-ours");
    let ours = amended.0.display().to_string();
    let text = std::fs::read_to_string(amended.0.join("foremen.ini")).expect("a file");
    let theirs = AmendedSample::new("race-theirs");
    std::fs::write(theirs.0.join("foremen.ini"), text.replace("worth = 0.6", "worth = 0.7"))
        .expect("written");
    let concurrent_change = async {
        while platform.object_names("contract").len() == stored {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        store_accepted(&platform, &theirs.0, 5);
    };
    let args = ["apply", ours.as_str()];
    let (output, ()) = tokio::join!(run(&platform, &args), concurrent_change);
    support::assert_golden("apply-conflict-race", &output, &[]);
}

fn entry(name: &str) -> ListedInstance {
    ListedInstance {
        name: name.into(),
        role: ListedRole::Entry,
        data_centre: "north".into(),
        group: "".into(),
        address: "127.0.0.1:1".into(),
        state: ListedState::Live,
        checks_fencing: false,
    }
}

fn status(name: &str, version: u64) -> InstanceStatus {
    InstanceStatus {
        instance: name.into(),
        configuration_version: version,
        ..InstanceStatus::default()
    }
}

/// Guards against `--wait` that reports a change as in effect everywhere although an instance is
/// behind, does not answer or was never queried.
#[rstest]
#[case("apply-wait", &["north-1", "north-2"], [1, 1], "20s")]
#[case("apply-wait-behind", &["north-1", "north-2"], [1, 0], "300ms")]
#[case("apply-wait-not-asked", &["north-1", "north-2", "north-3"], [1, 1], "300ms")]
#[tokio::test]
async fn wait_lists_the_instances_that_are_behind(
    #[case] name: &str,
    #[case] listed: &[&str],
    #[case] versions: [u64; 2],
    #[case] timeout: &str,
) {
    let platform = platform().await;
    platform.set_instances(listed.iter().map(|name| entry(name)).collect());
    let instances = [status("north-1", versions[0]), status("north-2", versions[1])];
    let addresses = instances
        .map(|status| serve_responses(vec![json_response("/status", &status)]).to_string());
    let mut args = [APPLY_SAMPLE, &["--wait", "--timeout", timeout]].concat();
    args.extend(addresses.iter().flat_map(|a| ["--operators", a.as_str()]));
    support::assert_golden(name, &run(&platform, &args).await, &[]);
}

/// Guards against an outage after the first answer that `apply` treats as a success or as a refusal
/// instead of reading back which writes took effect.
#[tokio::test]
async fn lost_answers_are_resolved_by_reading_back() {
    let platform = platform().await;
    platform.change_faults(|faults| faults.lose_write_answers = 3);
    support::assert_golden("apply-lost-answers", &run(&platform, APPLY_SAMPLE).await, &[]);
}
