//! `check`: validates contract, catalogue and settings files, and configurations of deployments,
//! without a running deployment.

mod deployment;

use std::path::Path;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
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
        .about("Checks contract, catalogue, settings or deployment files")
        .arg(args::path_arg(
            "FILE|DIR",
            "A directory of contracts or of settings, or one contract, catalogue, settings or \
             deployment file",
        ))
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .action(ArgAction::SetTrue)
                .help("Takes the file as a deployment's configuration; JSON files are without it"),
        )
        .arg(Arg::new("against").long("against").value_name("FILE|URL").help(
            "Shows what differs from another configuration of the deployment: a file, or \
                     the one in force in the platform's store, such as http://127.0.0.1:7000",
        ))
        .arg(args::format_arg(&["text", "json"]))
}

/// Runs the command. It writes the mistakes to standard output, since they are its result.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let path = args::path(matches);
    let against = matches.get_one::<String>("against").map(String::as_str);
    if matches.get_flag("deployment") || against.is_some() || deployment::is_deployment(&path) {
        return deployment::run(&path, against, matches);
    }
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
