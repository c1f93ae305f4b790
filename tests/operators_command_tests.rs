//! Tests of the commands that query instances, against fixed responses and golden files.

mod support;
#[path = "support/instance.rs"]
mod support_instance;

use std::net::SocketAddr;

use burn::{BurnState, SeriesState};
use rstest::rstest;
use support_instance::{json_response, serve_responses};
use types::status::InstanceStatus;

fn instance_stub(status: &InstanceStatus, burn: &BurnState) -> SocketAddr {
    serve_responses(vec![json_response("/status", status), json_response("/burn", burn)])
}

fn series(
    client_account: &str,
    class: &str,
    objective: u32,
    windows: [(u32, u32); 3],
) -> SeriesState {
    let counts = |(good, bad)| vec![(3, burn::Counts { good, bad })];
    SeriesState {
        client_account: client_account.into(),
        class: class.into(),
        version: 4,
        objective,
        windows: windows.map(counts).into(),
    }
}

/// Starts two instance stubs; returns their addresses and one at which nothing listens.
fn instance_addresses() -> [SocketAddr; 3] {
    let status = |name: &str, version, groups: &[&str], ready| InstanceStatus {
        instance: name.into(),
        data_centre: "north".into(),
        configuration_version: version,
        owned_groups: groups.iter().map(|g| (*g).into()).collect(),
        ready,
    };
    let foremen = |windows| series("foremen", "interactive", 9_900, windows);
    let first =
        BurnState { series: vec![foremen([(40, 10), (400, 100), (900, 100)])], uncounted: 0 };
    let buyers = series("buyers", "batch", 9_900, [(50, 0), (500, 0), (996, 4)]);
    let second =
        BurnState { series: vec![buyers, foremen([(44, 6), (440, 60), (980, 20)])], uncounted: 2 };
    // No process listens on the privileged port 1.
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
    [
        instance_stub(&status("north-1", 4, &["g1", "keys/3"], true), &first),
        instance_stub(&status("north-2", 3, &[], false), &second),
        unreachable,
    ]
}

/// Guards against sums that leave out an instance, an unreachable instance that is not reported,
/// and unintended changes of the output.
#[rstest]
#[case("status", &["status"], 2)]
#[case("status-json", &["status", "--format", "json"], 2)]
#[case("status-missing", &["status"], 3)]
#[case("burn", &["report", "burn"], 2)]
#[case("burn-json", &["report", "burn", "--format", "json"], 2)]
#[case("burn-html", &["report", "burn", "--format", "html"], 2)]
#[case("burn-missing", &["report", "burn"], 3)]
fn output_for_instances_matches_the_golden_file(
    #[case] name: &str,
    #[case] args: &[&str],
    #[case] queried: usize,
) {
    let addresses = instance_addresses().map(|address| address.to_string());
    let mut args = args.to_vec();
    args.extend(addresses[..queried].iter().flat_map(|address| ["--operators", address.as_str()]));
    support::assert_golden(name, &support::run(&args), &[]);
}
