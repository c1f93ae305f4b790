//! Entry instances as processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Limits of a machine.
#[derive(Clone, Copy)]
pub struct Machine {
    pub cores: f64,
    pub memory_mb: u64,
    pub descriptors: u64,
}

/// The machines of `sites/`.
pub const SMALL_SITE: Machine = Machine { cores: 0.25, memory_mb: 260, descriptors: 4_100 };

pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

fn free_tcp(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("bound")
}

/// A port that is free for TCP and UDP.
fn free_both(ip: &str) -> SocketAddr {
    loop {
        let address = free_tcp(ip);
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Instance {
    /// Writes the settings of `deploy/settings.ini` for one machine.
    pub fn new(
        dir: &Path,
        ip: &str,
        name: &str,
        zone: &str,
        store: SocketAddr,
        machine: Machine,
    ) -> Self {
        let (front, readiness) = (free_tcp(ip), free_tcp(ip));
        let (metrics, peers) = (free_tcp(ip), free_both(ip));
        let Machine { cores, memory_mb, descriptors } = machine;
        let text = format!(
            "[instance]\nname = {name}\ndata_centre = {zone}\ncores = {cores}\n\
             memory_mb = {memory_mb}\ndescriptors = {descriptors}\n\n\
             [callers]\naddress = {front}\n\n[readiness]\naddress = {readiness}\n\n\
             [metrics]\naddress = {metrics}\n\n[peers]\naddress = {peers}\n\n\
             [store]\naddress = {store}\nwrites_per_second = 400\nreads_per_second = 2000\n\n\
             [registry]\nheartbeat_ms = 1200\n\n[orders]\nturn_gap_ms = 3000\n\n\
             [repeats]\nratio = 0.2\nextra = 56\nwindow_s = 10\n\n[stop]\ngrace_s = 8\n"
        );
        let settings = dir.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = dir.join(format!("{name}.log"));
        Self { name: name.into(), front, readiness, settings, log, process: None }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("the log");
        let mut command = Command::new("target/release/sequoiawell");
        command
            .arg("entry")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log);
        // SAFETY: `prctl` allocates nothing and takes no lock.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().expect("the program of the deploy file is built");
        self.process = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| process.try_wait().ok().flatten().is_some())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Resident memory in bytes.
    pub fn memory(&self) -> u64 {
        let status =
            self.pid().and_then(|pid| fs::read_to_string(format!("/proc/{pid}/status")).ok());
        let kb = status.as_deref().and_then(|status| {
            let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        });
        kb.unwrap_or(0) * 1024
    }

    pub fn is_ready(&self) -> bool {
        let req = b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        http::call(self.readiness, req, Duration::from_secs(1)).is_ok_and(|r| r.status() == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
