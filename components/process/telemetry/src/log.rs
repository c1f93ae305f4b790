//! Log set-up.

use std::io::{self, IsTerminal};

use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::ParseError;

/// Libraries log each frame of a connection at `debug`; that hides what the components say.
const LIBRARIES: &str = "h2=warn,hyper=warn,hyper_util=warn,tonic=warn,tower=warn";

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Writes logs of `level` and above to standard error. Does nothing if a log is already set up.
pub fn init_log(level: &str, format: LogFormat) -> Result<(), ParseError> {
    let filter = EnvFilter::try_new(format!("{level},{LIBRARIES}"))?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_ansi(io::stderr().is_terminal())
        .with_writer(io::stderr);
    // A second set-up happens in tests and in the demo; the first one stays in force.
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    Ok(())
}

/// Lines that wait for a slow reader of standard output; further ones are dropped and counted.
const WAITING_LINES: usize = 4_096;

/// Keeps the log running; lines that still wait are written when it is dropped.
pub struct LogGuard {
    _worker: tracing_appender::non_blocking::WorkerGuard,
    dropped: tracing_appender::non_blocking::ErrorCounter,
}

impl LogGuard {
    /// Counts the lines that were dropped because standard output was not read.
    pub fn dropped_lines(&self) -> impl Fn() -> usize + 'static {
        let dropped = self.dropped.clone();
        move || dropped.dropped_lines()
    }
}

/// Writes logs of `level` and above to standard output, one JSON object a line. Logging never
/// waits for the reader.
pub fn init_json_stdout(level: &str) -> Result<LogGuard, ParseError> {
    let filter = EnvFilter::try_new(format!("{level},{LIBRARIES}"))?;
    let (writer, worker) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
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
