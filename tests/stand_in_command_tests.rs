//! Tests of the `stand-in` command in a process of its own.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

/// Kills the child process on drop.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a stand-in and returns the names and addresses that it prints as `NAME ADDRESS` lines.
fn start(args: &[&str], lines: usize) -> (ChildGuard, Vec<(String, String)>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sequoiawell"))
        .arg("stand-in")
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let out = BufReader::new(child.stdout.take().expect("piped"));
    let guard = ChildGuard(child);
    let endpoints = out.lines().take(lines).map(|line| {
        let line = line.expect("text");
        let (name, address) = line.split_once(' ').expect("two words");
        (name.to_owned(), address.to_owned())
    });
    (guard, endpoints.collect())
}

/// Guards against stand-ins that other processes cannot use or query.
#[tokio::test]
async fn each_stand_in_serves_from_its_own_process() {
    for (args, lines, path) in [
        (&["platform", "--lag-ms", "1"][..], 1, "/instances"),
        (&["engine", "--count", "2", "--ignore-fencing"], 2, "/v1/state"),
        (&["service"], 1, "/levels/north"),
    ] {
        let (_guard, endpoints) = start(args, lines);
        assert_eq!(endpoints.len(), lines);
        for (_, address) in endpoints {
            let answer = reqwest::get(format!("http://{address}{path}")).await.expect("answer");
            assert_eq!(answer.status(), 200);
            let counters = format!("http://{address}/stand-in/counters");
            assert_eq!(reqwest::get(counters).await.expect("answer").status(), 200);
        }
    }
}

/// Guards against stand-ins that are reachable from other machines.
#[test]
fn stand_ins_refuse_addresses_beyond_loopback() {
    let output = Command::new(env!("CARGO_BIN_EXE_sequoiawell"))
        .args(["stand-in", "service", "--address", "0.0.0.0:0"])
        .output()
        .expect("the binary starts");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("loopback"));
}
