//! The commands that ask instances, against fixed answers and golden files.

mod support;
#[path = "support/instance.rs"]
mod support_instance;

use std::net::SocketAddr;

use burn::{BurnState, SeriesState};
use rstest::rstest;
use support_instance::{answer, serve};
use types::status::InstanceStatus;

fn instance(status: &InstanceStatus, burn: &BurnState) -> SocketAddr {
    serve(vec![answer("/status", status), answer("/burn", burn)])
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

/// Two instances that answer, and an address at which nobody does.
fn deployment() -> [SocketAddr; 3] {
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
    // No program listens on the privileged port 1.
    let closed = SocketAddr::from(([127, 0, 0, 1], 1));
    [
        instance(&status("north-1", 4, &["g1", "keys/3"], true), &first),
        instance(&status("north-2", 3, &[], false), &second),
        closed,
    ]
}

/// Guards against sums that leave out an instance, an instance that is missing without a word, and
/// output that drifts.
#[rstest]
#[case("status", &["status"], 2)]
#[case("status-json", &["status", "--format", "json"], 2)]
#[case("status-missing", &["status"], 3)]
#[case("burn", &["report", "burn"], 2)]
#[case("burn-json", &["report", "burn", "--format", "json"], 2)]
#[case("burn-html", &["report", "burn", "--format", "html"], 2)]
#[case("burn-missing", &["report", "burn"], 3)]
fn instances_are_shown_as_the_golden_file_holds(
    #[case] name: &str,
    #[case] args: &[&str],
    #[case] asked: usize,
) {
    let addresses = deployment().map(|address| address.to_string());
    let mut args = args.to_vec();
    args.extend(addresses[..asked].iter().flat_map(|address| ["--operators", address.as_str()]));
    support::assert_golden(name, &support::run(&args), &[]);
}
