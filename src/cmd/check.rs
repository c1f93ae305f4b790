//! `check`: validates contract, catalogue and settings files without a running deployment.

use std::path::Path;
use std::process::ExitCode;

use clap::{ArgMatches, Command};
use contracts::CATALOGUE_FILE;
use ini_file::ini::list_files;
use ini_file::{Diagnostics, Ini};
use settings::Settings;
use types::contract::{Catalogue, Configuration, Contract};

use crate::args::{self, Format};
use crate::cmd;
use crate::error::CommandError;

/// Returns the definition of the command.
pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Checks contract, catalogue or settings files without a running deployment")
        .arg(args::path_arg(
            "FILE|DIR",
            "A directory of contracts or of settings, or one contract, catalogue or settings file",
        ))
        .arg(args::format_arg(&["text", "json"]))
}

/// Runs the command. It writes the mistakes to standard output, since they are its result.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let path = args::path(matches);
    let result = check(&path);
    match args::format(matches) {
        Format::Json => print_json(&path, &result)?,
        _ => cmd::print(format_text(&path, &result))?,
    }
    Ok(cmd::exit_code(result.is_ok()))
}

/// Checks a directory or file and returns a summary of its content.
fn check(path: &Path) -> Result<String, Diagnostics> {
    if is_settings_directory(path) {
        return settings::read_directory(path)
            .map(|all| format!("settings of instances: {}", all.len()));
    }
    if path.is_dir() {
        return contracts::read_directory(path).map(|c| describe_directory(&c));
    }
    if path.file_name().is_some_and(|name| name == CATALOGUE_FILE) {
        return contracts::read_catalogue(path).map(|c| describe_catalogue(&c));
    }
    if is_settings_file(path) {
        return Settings::load(path).map(|s| format!("settings of instance {}", s.instance.name));
    }
    contracts::read_contract(path).map(|c| describe_contract(&c))
}

/// Returns true if each INI file of a directory has a section `[instance]`, so that there is no
/// catalogue among them.
fn is_settings_directory(path: &Path) -> bool {
    let files = list_files(path).unwrap_or_default();
    !files.is_empty() && files.iter().all(|name| is_settings_file(&path.join(&**name)))
}

/// Returns true if a file has a section `[instance]`, which only settings have.
fn is_settings_file(path: &Path) -> bool {
    let mut ignored = Diagnostics::new();
    Ini::read(path, &mut ignored).is_some_and(|ini| ini.section("instance").is_some())
}

/// Summarises a directory of contracts and their catalogue. Settings directories are summarised in
/// [`check`].
fn describe_directory(configuration: &Configuration) -> String {
    let catalogue = describe_catalogue(&configuration.catalogue);
    format!("contracts: {}, {catalogue}", configuration.contracts.len())
}

fn describe_catalogue(catalogue: &Catalogue) -> String {
    let adapters: usize = catalogue.models.values().map(|m| m.adapters.len()).sum();
    format!(
        "models: {}, adapters: {adapters}, services: {}",
        catalogue.models.len(),
        catalogue.services.len()
    )
}

fn describe_contract(contract: &Contract) -> String {
    format!(
        "contract of client account {} by itself; check its directory for the catalogue and other contracts",
        contract.client_account
    )
}

fn format_text(path: &Path, result: &Result<String, Diagnostics>) -> String {
    let path = path.display();
    match result {
        Ok(summary) => format!("{path}: no mistakes ({summary})\n"),
        Err(diagnostics) => {
            format!("{diagnostics}\n{path}: mistakes: {}\n", diagnostics.sorted().len())
        }
    }
}

fn print_json(path: &Path, result: &Result<String, Diagnostics>) -> Result<(), CommandError> {
    cmd::print_json(&serde_json::json!({
        "path": path.display().to_string(),
        "valid": result.is_ok(),
        "found": result.as_ref().ok(),
        "mistakes": result.as_ref().err().map(Diagnostics::sorted).unwrap_or_default(),
    }))
}
