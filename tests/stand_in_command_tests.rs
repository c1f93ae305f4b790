//! The `stand-in` command as a plain process.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

/// Ends the process that a test started.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a stand-in and returns the lines `NAME ADDRESS` that it prints.
fn start(args: &[&str], lines: usize) -> (Running, Vec<(String, String)>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sequoiawell"))
        .arg("stand-in")
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let out = BufReader::new(child.stdout.take().expect("piped"));
    let running = Running(child);
    let named = out.lines().take(lines).map(|line| {
        let line = line.expect("text");
        let (name, address) = line.split_once(' ').expect("two words");
        (name.to_owned(), address.to_owned())
    });
    (running, named.collect())
}

/// Guards against stand-ins that cannot be driven from outside their process.
#[tokio::test]
async fn each_stand_in_serves_as_a_process() {
    for (args, lines, path) in [
        (&["platform", "--lag-ms", "1"][..], 1, "/instances"),
        (&["engine", "--count", "2", "--ignore-fencing"], 2, "/v1/state"),
        (&["service"], 1, "/levels/north"),
    ] {
        let (_running, named) = start(args, lines);
        assert_eq!(named.len(), lines);
        for (_, address) in named {
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
