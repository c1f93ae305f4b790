//! Log set-up.

use std::io::{self, IsTerminal};

use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::ParseError;

/// Log filter for libraries. At `debug` they log each frame of a connection, which hides the lines
/// of the components.
const LIBRARY_FILTER: &str = "h2=warn,hyper=warn,hyper_util=warn,tonic=warn,tower=warn";

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Writes logs of `level` and above to standard error. Does nothing if a log is already set up.
pub fn init_log(level: &str, format: LogFormat) -> Result<(), ParseError> {
    let filter = EnvFilter::try_new(format!("{level},{LIBRARY_FILTER}"))?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_ansi(io::stderr().is_terminal())
        .with_writer(io::stderr);
    // Tests and the demo set up the log more than once; the first set-up stays in effect.
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    Ok(())
}

/// Lines buffered for a slow reader of standard output; further lines are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Keeps the log writer running. Dropping the guard writes the lines that are still buffered.
pub struct LogGuard {
    _worker: tracing_appender::non_blocking::WorkerGuard,
    dropped: tracing_appender::non_blocking::ErrorCounter,
}

impl LogGuard {
    /// Returns a function that counts the lines dropped because standard output was not read.
    pub fn dropped_lines(&self) -> impl Fn() -> usize + 'static {
        let dropped = self.dropped.clone();
        move || dropped.dropped_lines()
    }
}

/// Writes logs of `level` and above to standard output, one JSON object per line. Logging
/// never waits for the reader.
pub fn init_json_stdout(level: &str) -> Result<LogGuard, ParseError> {
    let filter = EnvFilter::try_new(format!("{level},{LIBRARY_FILTER}"))?;
    let (writer, worker) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(io::stdout());
    let dropped = writer.error_counter();
    let _ = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .try_init();
    Ok(LogGuard { _worker: worker, dropped })
}
