//! A small valid configuration for tests.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of the next directory, so that concurrent tests use different ones.
static NEXT_DIR: AtomicU64 = AtomicU64::new(0);

/// Key hash of one client account.
pub(crate) const KEY_A: &str = "5ac13cbf0d9e0d0d1b9ad2a4a4b1a2b3c4d5e6f7a8b9c0d1e2f3a4b5c6d7e8f9";
/// Key hash of another client account.
pub(crate) const KEY_B: &str = "6ac13cbf0d9e0d0d1b9ad2a4a4b1a2b3c4d5e6f7a8b9c0d1e2f3a4b5c6d7e8f9";

/// Text of a catalogue with two models and a service.
pub(crate) const CATALOGUE: &str = "\
[deployment]
cold_start_weight = 70
[model summary]
version = 3
memory = 24GiB
adapter_slots = 4
load_from_memory = 2s
load_from_disk = 9s
load_from_remote = 40s
adapters = salt, barn
[model tally]
version = 1
memory = 40GiB
accelerators = 2
load_from_memory = 3s
load_from_disk = 12s
load_from_remote = 60s
[service ledger]
idempotent_calls = GET /levels, HEAD /levels
timeout = 5s
";

/// Returns the text of a contract with the given key hash and shares.
pub(crate) fn contract(key: &str, share: &str) -> String {
    format!(
        "\
[client_account]
keys = {key}
models = summary, tally
services = ledger
capacity_share = {share}
cost_share = {share}
[adapters]
summary = salt
[limits]
requests_per_second = 10
concurrent_requests = 20
queued_requests = 30
[class interactive]
first_token = 1500ms
completion = 20s
objective = 95%
priority = 200
worth = 0.25
"
    )
}

/// A temporary directory, which is removed on drop.
pub(crate) struct TestDir(PathBuf);

impl TestDir {
    /// Creates a directory with the given files, by name and text, for a test.
    pub(crate) fn new(test: &str, files: &[(&str, &str)]) -> Self {
        let number = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("contracts-{test}-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        for (name, text) in files {
            std::fs::write(path.join(name), text).unwrap();
        }
        Self(path)
    }

    /// Returns the directory's path.
    pub(crate) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
