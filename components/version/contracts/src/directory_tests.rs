//! Tests of reading a directory of contracts.

use types::prelude::*;

use crate::directory::{read_catalogue, read_contract, read_directory};
use crate::test_data::{CATALOGUE, KEY_A, KEY_B, TestDir, contract};

/// Guards against a key that is read into the wrong field or with the wrong unit.
#[test]
fn a_valid_directory_is_read() {
    let (a, b) = (contract(KEY_A, "60%"), contract(KEY_B, "40%"));
    let dir = TestDir::new(
        "valid",
        &[("a.ini", &a), ("b.ini", &b), ("catalogue.ini", CATALOGUE), ("notes.txt", "x")],
    );
    let read = read_directory(dir.path()).unwrap();
    assert_eq!(read.version, 0);
    let contract = &read.contracts["a"];
    assert_eq!((contract.capacity_share, contract.cost_share), (6000, 6000));
    let class = &contract.classes["interactive"];
    assert_eq!(
        (class.first_token, class.completion),
        (Duration::from_millis(1500), Duration::from_secs(20))
    );
    assert_eq!((class.objective, class.priority, class.worth_milli), (9500, 200, 250));
    assert_eq!(
        contract.limits,
        Limits { requests_per_second: 10, concurrent_requests: 20, queued_requests: 30 }
    );
    let model = &read.catalogue.models["tally"];
    assert_eq!((model.memory_bytes, model.accelerators, model.max_replicas), (40 << 30, 2, 1));
    assert_eq!(model.load_time.remote, Duration::from_secs(60));
    let service = &read.catalogue.services["ledger"];
    assert_eq!(&*service.idempotent_calls[1].method, "HEAD");
    assert_eq!(read.catalogue.deployment.cold_start_weight, 70);
}

/// Guards against a mistake in one file that hides those in another, and against messages that only
/// follow from another mistake.
#[test]
fn mistakes_of_all_files_are_reported_at_once() {
    let a = contract(KEY_A, "60%").replace("tally", "taly").replace("1500ms", "25s");
    let b =
        contract(KEY_A, "30%").replace("worth = 0.25", "wort = 0.25").replace("= salt", "= barnn");
    let catalogue = CATALOGUE.replace("memory = 40GiB", "memory = 40").replace("= 9s", "= 1s");
    let dir =
        TestDir::new("mistakes", &[("a.ini", &a), ("b.ini", &b), ("catalogue.ini", &catalogue)]);
    let text = read_directory(dir.path()).unwrap_err().to_string();
    let prefix = dir.path().display().to_string();
    let lines: Vec<_> = text.lines().map(|l| l.replace(&prefix, "DIR")).collect();
    let expected = [
        "DIR: the capacity shares of all client accounts add up to 90%, not 100% (a 60%, b 30%)",
        "DIR: the cost shares of all client accounts add up to 90%, not 100% (a 60%, b 30%)",
        "DIR/a.ini:3: [client_account] models: the catalogue declares no model \"taly\"; did you mean \"tally\"?",
        "DIR/a.ini:15: [class interactive] completion: the answer cannot be complete before its first token",
        "DIR/b.ini:2: [client_account] keys: client account a has the same key 5ac13cbf…",
        "DIR/b.ini:8: [adapters] summary: the catalogue declares no adapter \"barnn\" of this model; did you mean \"barn\"?",
        "DIR/b.ini:13: [class interactive] worth: the key is missing",
        "DIR/b.ini:18: [class interactive] wort: unknown key; did you mean \"worth\"?",
        "DIR/catalogue.ini:8: [model summary] load_from_disk: loading from disk cannot be faster than from memory",
        "DIR/catalogue.ini:13: [model tally] memory: \"40\" is no size; write a whole number with a unit, such as 512KiB or 24GiB",
    ];
    assert_eq!(lines, expected);
}

/// Guards against many messages that all follow from the missing catalogue.
#[test]
fn a_missing_catalogue_is_one_mistake() {
    let dir = TestDir::new("no-catalogue", &[("a.ini", &contract(KEY_A, "100%"))]);
    let diagnostics = read_directory(dir.path()).unwrap_err();
    assert_eq!(diagnostics.len(), 1);
    assert!(diagnostics.to_string().ends_with("there is no catalogue.ini"));
}

/// Guards against printing a key that was pasted in place of its hash.
#[test]
fn a_pasted_key_is_not_shown() {
    let dir = TestDir::new("pasted", &[("a.ini", &contract("secret-key", "100%"))]);
    let text = read_contract(&dir.path().join("a.ini")).unwrap_err().to_string();
    assert!(text.contains("no SHA-256 hash"), "{text}");
    assert!(!text.contains("secret-key"), "{text}");
}

/// Guards against a check of a single file that needs the rest of the directory.
#[test]
fn single_files_are_checked_by_themselves() {
    let a = contract(KEY_A, "60%").replace("objective = 95%", "objective = 100%");
    let dir = TestDir::new("single", &[("a.ini", &a), ("catalogue.ini", CATALOGUE)]);
    let diagnostics = read_contract(&dir.path().join("a.ini")).unwrap_err();
    assert_eq!(diagnostics.len(), 1);
    assert!(diagnostics.to_string().contains("error budget"));
    assert_eq!(read_catalogue(&dir.path().join("catalogue.ini")).unwrap().models.len(), 2);
    assert!(
        read_directory(&dir.path().join("absent"))
            .unwrap_err()
            .to_string()
            .contains("cannot be read")
    );
}
