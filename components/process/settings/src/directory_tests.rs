//! Tests of the consistency check across instances.

use std::path::Path;

use crate::read_directory;

fn file(name: &str, peers: &str, lease: &str) -> String {
    format!(
        "[instance]\nname = {name}\ndata_centre = d\n[platform]\naddresses = 127.0.0.1:1\n[peers]\naddress = {peers}\n{lease}"
    )
}

/// Guards against instances that start with the same name or address, or with lease times that let
/// one take over the groups of another too early.
#[test]
fn inconsistent_instances_are_refused() {
    let dir = std::env::temp_dir().join(format!("settings-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let files = [
        ("a.ini", file("a", "10.0.0.1:7070", "")),
        ("b.ini", file("a", "10.0.0.2:7070", "[lease]\nlength = 12s\n")),
        ("c.ini", file("c", "10.0.0.1:7070", "[log]\nlevel = warn\n")),
    ];
    for (name, text) in files {
        std::fs::write(dir.join(name), text).unwrap();
    }
    let diagnostics = read_directory(&dir).unwrap_err().to_string();
    std::fs::remove_dir_all(&dir).unwrap();
    let dir = dir.display();
    let expected = [
        format!("{dir}/b.ini:2: [instance] name: {dir}/a.ini has the same name"),
        format!(
            "{dir}/b.ini:8: [lease] the lease times differ from those in {dir}/a.ini; observers would wait too long or not long enough"
        ),
        format!("{dir}/c.ini:7: [peers] address: {dir}/a.ini has the same address 10.0.0.1:7070"),
    ];
    assert_eq!(diagnostics.lines().collect::<Vec<_>>(), expected);
}

/// Guards against sample files whose instances cannot run together.
#[test]
fn the_sample_settings_are_consistent() {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../samples/settings");
    let all = read_directory(&samples).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(all.len(), 4);
}
