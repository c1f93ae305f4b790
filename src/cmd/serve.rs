//! `serve`: runs one entry instance.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use instance::Listeners;
use settings::{LogFormat, LogSettings, Settings};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::error::CommandError;

/// Returns the definition of the command.
pub(crate) fn command() -> Command {
    Command::new("serve").about("Runs one entry instance until SIGTERM or SIGINT").arg(
        Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .required(true)
            .value_parser(value_parser!(std::path::PathBuf))
            .help("INI file with the settings of this instance"),
    )
}

/// Runs the command. Invalid settings are reported before anything starts.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let path = matches.get_one::<std::path::PathBuf>("settings").cloned().unwrap_or_default();
    let settings = Settings::load(&path)?;
    init_log(&settings.log)?;
    let listeners = Listeners::bind(&settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let (stop_tx, stop_rx) = watch::channel(false);
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            let _ = stop_tx.send(true);
            // Keeps the sender alive: the receiver treats a closed channel as a stop signal too.
            std::future::pending::<()>().await;
        });
        instance::run(&settings, listeners, stop_rx).await?;
        Ok(ExitCode::SUCCESS)
    })
}

/// Initialises logging with the level and format in the settings.
pub(crate) fn init_log(log: &LogSettings) -> Result<(), CommandError> {
    let format = match log.format {
        LogFormat::Text => telemetry::LogFormat::Text,
        LogFormat::Json => telemetry::LogFormat::Json,
    };
    telemetry::init_log(log.level.as_str(), format)
        .map_err(|e| CommandError::LogSetup(e.to_string()))
}
