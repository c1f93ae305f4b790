//! Tests of the `check` command against golden files. Set `UPDATE_GOLDEN=1` to rewrite the files.

mod support;

use platform_stand_in::Store;
use rstest::rstest;
use serde_json::{Value, json};

const IN_FORCE: &str = "deploy/samples/in-force.json";
const NEXT: &str = "deploy/samples/next.json";

/// Guards against mistakes that are not reported or reported without their location, false reports,
/// and wrong exit codes.
#[rstest]
#[case("check-alykes", &["check", "samples/alykes"])]
#[case("check-alykes-json", &["check", "samples/alykes", "--format", "json"])]
#[case("check-kovac-hudec", &["check", "samples/kovac-hudec"])]
#[case("check-contract", &["check", "samples/alykes/foremen.ini"])]
#[case("check-catalogue", &["check", "samples/alykes/catalogue.ini"])]
#[case("check-settings", &["check", "samples/settings/north-1.ini"])]
#[case("check-settings-directory", &["check", "samples/settings"])]
#[case("check-mistakes", &["check", "tests/golden/mistakes"])]
#[case("check-mistakes-json", &["check", "tests/golden/mistakes", "--format", "json"])]
#[case("check-absent", &["check", "samples/absent"])]
#[case("check-no-path", &["check"])]
#[case("check-no-format", &["check", "samples/alykes", "--format", "xml"])]
#[case("check-deployment", &["check", "--deployment", IN_FORCE])]
#[case("check-deployment-by-content", &["check", NEXT])]
#[case("check-deployment-json", &["check", IN_FORCE, "--format", "json"])]
#[case("check-deployment-mistakes", &["check", "tests/golden/deployment/mistakes.json"])]
#[case("check-deployment-mistakes-json",
    &["check", "tests/golden/deployment/mistakes.json", "--format", "json"])]
#[case("check-deployment-invalid", &["check", "tests/golden/deployment/invalid.json"])]
#[case("check-deployment-truncated", &["check", "tests/golden/deployment/truncated.json"])]
#[case("check-deployment-not-utf-8", &["check", "tests/golden/deployment/not-utf-8.json"])]
#[case("check-deployment-ini", &["check", "--deployment", "samples/alykes/foremen.ini"])]
#[case("check-deployment-endless", &["check", "--deployment", "/dev/zero"])]
#[case("check-deployment-absent", &["check", "--deployment", "samples/absent"])]
#[case("check-deployment-directory", &["check", "--deployment", "samples/alykes"])]
#[case("check-against", &["check", NEXT, "--against", IN_FORCE])]
#[case("check-against-json", &["check", NEXT, "--against", IN_FORCE, "--format", "json"])]
#[case("check-against-same", &["check", IN_FORCE, "--against", IN_FORCE])]
#[case("check-against-newer", &["check", IN_FORCE, "--against", NEXT])]
#[case("check-against-invalid",
    &["check", NEXT, "--against", "tests/golden/deployment/invalid.json"])]
#[case("check-against-truncated",
    &["check", NEXT, "--against", "tests/golden/deployment/truncated.json"])]
#[case("check-against-no-address", &["check", NEXT, "--against", "http://platform"])]
fn check_output_matches_the_golden_file(#[case] name: &str, #[case] args: &[&str]) {
    support::assert_golden(name, &support::run(args), &[]);
}

fn sample(path: &str) -> Value {
    let text = std::fs::read_to_string(path).unwrap_or_else(|e| panic!("{path}: {e}"));
    serde_json::from_str(&text).expect("JSON")
}

/// Guards against a configuration in force that is read in another way than instances read it, and
/// against servers that are not counted.
#[tokio::test]
async fn the_configuration_in_force_is_read_from_the_store() {
    let store = Store::start().await;
    let url = format!("http://{}", store.address);
    let address = store.address.to_string();
    let compare = async |name| {
        let url = url.clone();
        let run = move || support::run(&["check", NEXT, "--against", &url]);
        let output = tokio::task::spawn_blocking(run).await.expect("the command runs");
        support::assert_golden(name, &output, &[(&address, "IP:PORT")]);
    };
    compare("check-against-empty-store").await;
    store.put("config", "main", sample(IN_FORCE));
    let services = ["assistant", "assistant", "till", "till"];
    for (n, service) in services.into_iter().enumerate() {
        let entry = json!({"service": service, "address": format!("127.0.0.1:{}", 9_000 + n),
            "zone": "a", "slots": 4, "state": "ready", "sequence": 1, "born": 1, "models": []});
        store.put("servers", &format!("i-{n}"), entry);
    }
    compare("check-against-store").await;
    store.put("config", "main", sample(NEXT));
    compare("check-against-store-same").await;
    let unreachable = support::run(&["check", NEXT, "--against", "http://127.0.0.1:1"]);
    support::assert_golden("check-against-no-store", &unreachable, &[]);
}

/// Guards against keys of client accounts in an output.
#[test]
fn no_output_has_a_key() {
    let dir = std::path::Path::new("tests/golden");
    for entry in std::fs::read_dir(dir).expect("golden files") {
        let path = entry.expect("entry").path();
        let is_output = path.file_name().is_some_and(|name| {
            let name = name.to_string_lossy();
            name.starts_with("check-deployment") || name.starts_with("check-against")
        });
        if is_output {
            let text = std::fs::read_to_string(&path).expect("text");
            assert!(!text.contains("sample-key") && !text.contains("secret"), "{}", path.display());
        }
    }
}
