//! Reading a directory of contract files and the catalogue.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

use ini_file::ini::list_files;
use ini_file::{Diagnostics, Ini};
use types::prelude::*;

use crate::validate::{Problem, validate, validate_catalogue, validate_contract};
use crate::{catalogue_file, contract_file};

/// File name of the catalogue within the directory.
pub const CATALOGUE_FILE: &str = "catalogue.ini";

/// Reads and validates `catalogue.ini` and every other `*.ini` file of a directory.
///
/// Rules between files are checked with the files that can be read, so that one broken file hides
/// no mistake in another. Sums of shares are checked only if every contract's shares can be read.
pub fn read_directory(dir: &Path) -> Result<Configuration, Diagnostics> {
    let mut diagnostics = Diagnostics::new();
    let files = match list_files(dir) {
        Ok(files) => files,
        Err(e) => {
            diagnostics
                .push_file_error(&dir.display().to_string(), format_args!("cannot be read: {e}"));
            return Err(diagnostics);
        }
    };
    let mut inis = BTreeMap::new();
    for name in files {
        if let Some(ini) = Ini::read(&dir.join(&*name), &mut diagnostics) {
            inis.insert(name, ini);
        }
    }
    let directory = dir.display().to_string();
    let has_catalogue = inis.contains_key(CATALOGUE_FILE);
    if !has_catalogue {
        diagnostics.push_file_error(&directory, format_args!("there is no {CATALOGUE_FILE}"));
    }
    let (configuration, has_shares) = parse_files(&inis, &mut diagnostics);
    for problem in validate(&configuration) {
        match problem {
            Problem::Shares(_) if !has_shares => {}
            Problem::Undeclared(..) if !has_catalogue => {}
            Problem::Shares(message) | Problem::Overall(message) => {
                diagnostics.push_file_error(&directory, message)
            }
            Problem::Undeclared(client_account, section, key, message)
            | Problem::Contract(client_account, section, key, message) => {
                report_problem(
                    &inis[&*format!("{client_account}.ini")],
                    &section,
                    &key,
                    &message,
                    &mut diagnostics,
                );
            }
            Problem::Catalogue(section, key, message) => {
                report_problem(&inis[CATALOGUE_FILE], &section, &key, &message, &mut diagnostics);
            }
        }
    }
    diagnostics.into_result(Some(configuration))
}

/// Reads and validates one contract file by itself, without the catalogue and other contracts.
pub fn read_contract(path: &Path) -> Result<Contract, Diagnostics> {
    let mut diagnostics = Diagnostics::new();
    let client_account = path.file_stem().unwrap_or_default().to_string_lossy();
    let Some(ini) = Ini::read(path, &mut diagnostics) else { return Err(diagnostics) };
    let contract = contract_file::parse_contract(&client_account, &ini, &mut diagnostics).contract;
    for problem in validate_contract(&contract) {
        if let Problem::Contract(_, section, key, message) = problem {
            report_problem(&ini, &section, &key, &message, &mut diagnostics);
        }
    }
    diagnostics.into_result(Some(contract))
}

/// Reads and validates a catalogue file by itself.
pub fn read_catalogue(path: &Path) -> Result<Catalogue, Diagnostics> {
    let mut diagnostics = Diagnostics::new();
    let Some(ini) = Ini::read(path, &mut diagnostics) else { return Err(diagnostics) };
    let catalogue = catalogue_file::parse_catalogue(&ini, &mut diagnostics);
    for problem in validate_catalogue(&catalogue) {
        if let Problem::Catalogue(section, key, message) = problem {
            report_problem(&ini, &section, &key, &message, &mut diagnostics);
        }
    }
    diagnostics.into_result(Some(catalogue))
}

/// Parses all files. Also returns whether the shares of every contract could be read.
fn parse_files(
    inis: &BTreeMap<Box<str>, Ini>,
    diagnostics: &mut Diagnostics,
) -> (Configuration, bool) {
    let mut has_shares = true;
    let mut contracts = BTreeMap::new();
    let mut catalogue = Catalogue::default();
    for (name, ini) in inis {
        if &**name == CATALOGUE_FILE {
            catalogue = catalogue_file::parse_catalogue(ini, diagnostics);
            continue;
        }
        let client_account = name.strip_suffix(".ini").unwrap_or(name);
        let parsed = contract_file::parse_contract(client_account, ini, diagnostics);
        has_shares &= parsed.has_shares;
        contracts.insert(parsed.contract.client_account.clone(), Arc::new(parsed.contract));
    }
    (Configuration { version: 0, contracts, catalogue: Arc::new(catalogue) }, has_shares)
}

fn report_problem(
    ini: &Ini,
    section: &str,
    key: &str,
    message: &str,
    diagnostics: &mut Diagnostics,
) {
    ini.report(section, key, ini.line_of(section, key), message, diagnostics);
}
