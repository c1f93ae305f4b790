//! Reads the settings of several instances and checks that they are consistent.

use std::collections::BTreeMap;
use std::path::Path;

use ini_file::{Diagnostics, Ini};

use crate::{Settings, read};

/// Reads all `*.ini` files of a directory as settings and checks that they are consistent: names
/// and peer addresses must be unique, and the lease times must be equal.
pub fn read_directory(dir: &Path) -> Result<Vec<Settings>, Diagnostics> {
    let mut diagnostics = Diagnostics::new();
    let mut all = Vec::new();
    match ini_file::ini::list_files(dir) {
        Ok(names) => {
            for name in names {
                let Some(ini) = Ini::read(&dir.join(&*name), &mut diagnostics) else { continue };
                all.extend(read::settings(&ini, &mut diagnostics).map(|settings| (ini, settings)));
            }
        }
        Err(e) => diagnostics
            .push_file_error(&dir.display().to_string(), format_args!("cannot be read: {e}")),
    }
    check_consistency(&all, &mut diagnostics);
    let settings = all.into_iter().map(|(_, settings)| settings).collect();
    diagnostics.into_result(Some(settings))
}

fn check_consistency(all: &[(Ini, Settings)], diagnostics: &mut Diagnostics) {
    let mut names = BTreeMap::new();
    let mut addresses = BTreeMap::new();
    for (ini, s) in all {
        let mut report = |section: &str, key: &str, message: String| {
            ini.report(section, key, ini.line_of(section, key), &message, diagnostics);
        };
        if let Some(other) = names.insert(&s.instance.name, &ini.file) {
            report("instance", "name", format!("{other} has the same name"));
        }
        // Only the peer address must be unique, because other instances connect to it. Instances on
        // different machines may use the same loopback or unspecified address for callers and
        // operators.
        let address = s.peers.address;
        if let Some(other) = addresses.insert(address, &ini.file) {
            report("peers", "address", format!("{other} has the same address {address}"));
        }
        let (first, lease) = (&all[0].0.file, all[0].1.lease);
        if s.lease != lease {
            let message = format!(
                "the lease times differ from those in {first}; observers would wait too long or not long enough"
            );
            report("lease", "", message);
        }
    }
}
