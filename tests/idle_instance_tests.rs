//! Tests that an idle instance uses almost no processor time, however its platform behaves.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use rstest::rstest;

/// Behaviour of the platform towards the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Platform {
    /// Answers 404 to every call.
    NotFound,
    /// Accepts connections and never answers.
    Unresponsive,
    /// Closes every connection at once.
    ClosesConnections,
}

fn serve(mut stream: TcpStream, platform: Platform) {
    let mut buf = [0; 4_096];
    loop {
        match (platform, stream.read(&mut buf)) {
            (Platform::NotFound, Ok(len)) if len > 0 => {
                let answer = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
                if stream.write_all(answer).is_err() {
                    return;
                }
            }
            (Platform::Unresponsive, Ok(len)) if len > 0 => {}
            _ => return,
        }
    }
}

fn start_platform(platform: Platform) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if platform != Platform::ClosesConnections {
                thread::spawn(move || serve(stream, platform));
            }
        }
    });
    address
}

fn cpu_time(child: &Child) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).expect("stat");
    let fields: Vec<u64> = stat
        .rsplit_once(')')
        .expect("a command name")
        .1
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0))
        .collect();
    Duration::from_millis((fields[11] + fields[12]) * 10)
}

/// Guards against a busy loop on a timer that is due and is not rescheduled: an instance that knew
/// no holder of the limits used a whole core (15.0 s of processor time in 15 s against a platform
/// that answers 404).
#[rstest]
#[case(Platform::NotFound)]
#[case(Platform::Unresponsive)]
#[case(Platform::ClosesConnections)]
fn an_idle_instance_uses_little_cpu_time(#[case] platform: Platform) {
    let free_address =
        || TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let dir = std::env::temp_dir();
    let settings = dir.join(format!("idle-{}-{platform:?}.ini", std::process::id()));
    let text = format!(
        "[instance]\nname = idle-1\ndata_centre = north\n[callers]\naddress = {}\n\
         [operators]\naddress = {}\n[peers]\naddress = {}\n[platform]\naddresses = {}\n",
        free_address(),
        free_address(),
        free_address(),
        start_platform(platform)
    );
    std::fs::write(&settings, text).expect("settings file");
    let mut child = Command::new(env!("CARGO_BIN_EXE_sequoiawell"))
        .args(["serve", "--settings"])
        .arg(&settings)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the binary starts");
    thread::sleep(Duration::from_secs(2));
    let before = cpu_time(&child);
    thread::sleep(Duration::from_secs(3));
    let used = cpu_time(&child) - before;
    let has_ended = child.try_wait().expect("wait").is_some();
    child.kill().expect("kill");
    child.wait().expect("wait");
    std::fs::remove_file(&settings).expect("settings file");
    assert!(!has_ended, "the instance ended by itself");
    // Timers and calls with a backoff need far less than a tenth of a core.
    assert!(used < Duration::from_millis(300), "{platform:?}: {used:?} in 3 s");
}
