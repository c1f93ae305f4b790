//! Checks the settings and defaults in `docs/operating.md` against the code.

use std::collections::BTreeMap;
use std::path::Path;

use settings::Settings;

fn read_page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/operating.md");
    std::fs::read_to_string(path).expect("the page is there")
}

/// Returns section, key and default of each row of the table under a heading.
fn rows(heading: &str) -> Vec<(String, String, String)> {
    let page = read_page();
    let (_, rest) = page.split_once(heading).expect("the heading is there");
    let table = rest
        .lines()
        .skip_while(|l| !l.starts_with("| Section"))
        .skip(2)
        .take_while(|l| l.starts_with('|'));
    let mut section = String::new();
    let mut rows = Vec::new();
    for line in table {
        let cells: Vec<_> =
            line.split('|').map(|c| c.trim().trim_matches('`').to_owned()).collect();
        if !cells[1].is_empty() {
            section = cells[1].trim_matches(['[', ']']).to_owned();
        }
        rows.push((section.clone(), cells[2].clone(), cells[3].clone()));
    }
    rows
}

/// Returns an INI file with the default of each row; `required` holds values for required keys.
fn ini_text(rows: &[(String, String, String)], required: &[(&str, &str)]) -> String {
    let mut sections = BTreeMap::<&str, String>::new();
    for (section, key, default) in rows {
        let value = match default.as_str() {
            "required" => required.iter().find(|(k, _)| k == key).map(|(_, value)| *value),
            "none" => None,
            default => Some(default),
        };
        if let Some(value) = value {
            *sections.entry(section).or_default() += &format!("{key} = {value}\n");
        }
    }
    sections.iter().map(|(section, keys)| format!("[{section}]\n{keys}")).collect()
}

/// Guards against a default, unit or key on the page that differs from the code.
#[test]
fn the_settings_table_shows_the_defaults() {
    let required = [("name", "a"), ("data_centre", "b"), ("addresses", "127.0.0.1:7000")];
    let minimal = "[instance]\nname = a\ndata_centre = b\n[platform]\naddresses = 127.0.0.1:7000\n";
    let rows = rows("## 3. Settings of an instance");
    let documented =
        Settings::parse("page", &ini_text(&rows, &required)).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(documented, Settings::parse("least", minimal).unwrap_or_else(|e| panic!("{e}")));
    let Settings { instance, callers, operators, peers, platform, log, lease, accounting } =
        documented;
    let fields = format!(
        "{instance:?}{callers:?}{operators:?}{peers:?}{platform:?}{log:?}{lease:?}{accounting:?}"
    );
    // Each field prints as one `name: value`; addresses and durations have no space after a colon.
    assert_eq!(
        fields.matches(": ").count(),
        rows.len(),
        "the page does not list every setting: {fields}"
    );
}

/// Guards against a key or default of contract files on the page that differs from the code.
#[test]
fn the_contract_tables_show_the_defaults() {
    let required = [
        ("keys", "327f9f2c6e200877d1868db543f91b64f2bcaa9be1935d3e2504d632e5e6ca85"),
        ("capacity_share", "100%"),
        ("cost_share", "100%"),
        ("requests_per_second", "1"),
        ("concurrent_requests", "1"),
        ("queued_requests", "1"),
        ("first_token", "1s"),
        ("completion", "2s"),
        ("objective", "99%"),
        ("priority", "1"),
        ("worth", "1"),
        ("version", "1"),
        ("memory", "1GiB"),
        ("load_from_memory", "1s"),
        ("load_from_disk", "2s"),
        ("load_from_remote", "3s"),
    ];
    let contract = ini_text(&rows("### 4.1"), &required)
        .replace("[class NAME]", "[class interactive]")
        .replace("[client_account]", "[client_account]\nmodels = NAME");
    let catalogue = ini_text(&rows("### 4.2"), &required);
    let dir = std::env::temp_dir().join(format!("operating-page-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary directory");
    std::fs::write(dir.join("a.ini"), contract).expect("written");
    std::fs::write(dir.join("catalogue.ini"), catalogue).expect("written");
    let read = contracts::read_directory(&dir);
    let _ = std::fs::remove_dir_all(&dir);
    let read = read.unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(read.catalogue.deployment, types::contract::Deployment::default());
    assert_eq!(&*read.contracts["a"].default_class, "interactive");
    let minimal = &read.catalogue.models["NAME"];
    assert_eq!(
        (minimal.accelerators, minimal.max_replicas, minimal.adapter_slots, minimal.max_batch),
        (1, 1, 0, 16)
    );
}
