//! `check --deployment`: checks a deployment's configuration as the operator writes it, with the
//! decoding that the instances use.

use std::fs::File;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use ini_file::{Diagnostic, Diagnostics};
use platform::Call;
use platform_adapter::{
    CONFIGURATION_KIND, CONFIGURATION_NAME, Change, Decoded, Document, Notice, NoticeKind,
    SERVER_KIND, Store, check_servers, check_version, compare_deployments, decode_deployment,
    decode_server_entry,
};
use serde::Serialize;
use serde_json::{Value, json};

use crate::args::{self, Format};
use crate::cmd;
use crate::error::CommandError;
use crate::platform_client::PlatformClient;

/// Most bytes of a configuration; the instances read no larger object.
const MAX_BYTES: u64 = 16 << 20;
/// Time limit for reading the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(10);
/// Start of the URL of a store.
const URL_SCHEME: &str = "http://";

/// Returns true if the file begins like a configuration, which is a JSON object. No INI file does.
pub(super) fn is_deployment(path: &Path) -> bool {
    let mut start = Vec::new();
    // A directory cannot be read.
    let read = File::open(path).and_then(|f| f.take(1_024).read_to_end(&mut start));
    read.is_ok() && start.trim_ascii_start().first() == Some(&b'{')
}

/// A file that may be read and parsed.
struct Source {
    file: Box<str>,
    document: Document,
}

impl Source {
    fn read(path: &Path) -> Result<Self, Diagnostic> {
        let file: Box<str> = path.display().to_string().into();
        let fault = |message: String, line| Diagnostic {
            file: file.clone(),
            line,
            section: "".into(),
            key: "".into(),
            message: message.into(),
        };
        let bytes = read_limited(path).map_err(|e| fault(e.to_string(), 0))?;
        let document =
            Document::parse(&bytes).map_err(|(notice, line)| fault(notice.message.into(), line))?;
        Ok(Self { file, document })
    }

    fn diagnostic(&self, notice: &Notice) -> Diagnostic {
        Diagnostic {
            file: self.file.clone(),
            line: self.document.line(&notice.place),
            section: notice.place.section.clone(),
            key: notice.place.key.clone(),
            message: notice.message.clone(),
        }
    }
}

/// Reads a file that may be a device without an end.
fn read_limited(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_BYTES + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_BYTES {
        let text = format!("the file is larger than {MAX_BYTES} bytes, which no instance reads");
        return Err(io::Error::new(io::ErrorKind::FileTooLarge, text));
    }
    Ok(bytes)
}

/// The configuration in force.
struct InForce {
    source: Box<str>,
    value: Value,
    /// Registered servers, if it was read from the store.
    servers: Option<Vec<server_directory::Entry>>,
}

impl InForce {
    fn read(source: &str) -> Result<Self, CommandError> {
        let Some(authority) = source.strip_prefix(URL_SCHEME) else {
            return Self::read_file(source);
        };
        let address: SocketAddr = authority.trim_end_matches('/').parse().map_err(|_| {
            let text = format!("the URL of a store is {URL_SCHEME}IP:PORT");
            CommandError::Against(source.into(), text)
        })?;
        cmd::block_on(Self::read_store(source, address))?
    }

    fn read_file(source: &str) -> Result<Self, CommandError> {
        let read = Source::read(Path::new(source)).map_err(|diagnostic| {
            let mut diagnostics = Diagnostics::new();
            diagnostics.push(diagnostic);
            CommandError::InvalidFiles(diagnostics)
        })?;
        let value = read.document.value().clone();
        Ok(Self { source: source.into(), value, servers: None })
    }

    async fn read_store(source: &str, address: SocketAddr) -> Result<Self, CommandError> {
        let deadline = Instant::now() + STORE_TIMEOUT;
        let client = PlatformClient::new([address].into(), deadline).client;
        let store = Store::new(client);
        let call = Call::with_deadline(deadline);
        let object = store.get(CONFIGURATION_KIND, CONFIGURATION_NAME, call).await;
        let object = object.map_err(|e| CommandError::Store(address, e))?;
        let Some(object) = object else {
            let text = "the store has no configuration".into();
            return Err(CommandError::Against(source.into(), text));
        };
        let rest = deadline.saturating_duration_since(Instant::now());
        let servers = store.list(SERVER_KIND, rest).await;
        let (servers, _) = servers.map_err(|e| CommandError::Store(address, e))?;
        let servers = servers.iter().filter_map(|o| decode_server_entry(&o.name, &o.value));
        Ok(Self { source: source.into(), value: object.value, servers: Some(servers.collect()) })
    }

    /// Version and changes of `new` against this one, and what the registered servers contradict.
    fn compare(&self, new: &Value, decoded: &Decoded) -> Result<Comparison, CommandError> {
        let in_force = decode_deployment(&self.value)
            .map_err(|e| CommandError::Against(self.source.to_string(), e.to_string()))?;
        let (version, new_version) = (in_force.deployment.version, decoded.deployment.version);
        let changes = compare_deployments(&self.value, new);
        let mut notices = Vec::new();
        if !changes.is_empty() {
            notices.extend(check_version(version, new_version));
        }
        if let Some(servers) = &self.servers {
            notices.extend(check_servers(decoded, new, servers));
        }
        Ok(Comparison { source: self.source.clone(), version, new_version, changes, notices })
    }
}

/// Differences to the configuration in force.
#[derive(Serialize)]
struct Comparison {
    source: Box<str>,
    version: u64,
    new_version: u64,
    changes: Vec<Change>,
    #[serde(skip)]
    notices: Vec<Notice>,
}

/// One finding with its line.
#[derive(Serialize)]
struct Finding {
    kind: NoticeKind,
    #[serde(flatten)]
    diagnostic: Diagnostic,
}

/// All that was found in a file.
#[derive(Default)]
struct Report {
    /// Sorted by line.
    findings: Vec<Finding>,
    summary: Option<String>,
    comparison: Option<Comparison>,
}

impl Report {
    fn count(&self, is_mistake: bool) -> usize {
        self.of(is_mistake).count()
    }

    fn of(&self, is_mistake: bool) -> impl Iterator<Item = &Finding> {
        self.findings.iter().filter(move |finding| finding.kind.is_mistake() == is_mistake)
    }

    fn add(&mut self, source: &Source, notices: &[Notice]) {
        let finding =
            |notice: &Notice| Finding { kind: notice.kind, diagnostic: source.diagnostic(notice) };
        self.findings.extend(notices.iter().map(finding));
        self.findings.sort_by(|a, b| a.diagnostic.cmp(&b.diagnostic));
    }
}

fn check(path: &Path, against: Option<&str>) -> Result<Report, CommandError> {
    let mut report = Report::default();
    let source = match Source::read(path) {
        Ok(source) => source,
        Err(diagnostic) => {
            report.findings.push(Finding { kind: NoticeKind::Invalid, diagnostic });
            return Ok(report);
        }
    };
    let value = source.document.value();
    let decoded = match decode_deployment(value) {
        Ok(decoded) => decoded,
        Err(rejected) => {
            report.add(&source, &rejected.notices);
            return Ok(report);
        }
    };
    report.add(&source, &decoded.notices);
    report.summary = Some(describe(&decoded));
    if let Some(against) = against {
        let comparison = InForce::read(against)?.compare(value, &decoded)?;
        report.add(&source, &comparison.notices);
        report.comparison = Some(comparison);
    }
    Ok(report)
}

fn describe(decoded: &Decoded) -> String {
    let deployment = &decoded.deployment;
    let models: usize = deployment.engines().map(|(_, engine)| engine.models.len()).sum();
    format!(
        "version {}, routes: {}, services: {}, models: {models}, client accounts: {}",
        deployment.version,
        deployment.route_count(),
        deployment.services.len(),
        deployment.accounts.iter().count()
    )
}

fn format_text(path: &Path, report: &Report) -> String {
    let mut text = String::new();
    for Finding { kind, diagnostic } in &report.findings {
        let label = if kind.is_mistake() { "" } else { "warning: " };
        let message = format!("{label}{}", diagnostic.message).into();
        text += &format!("{}\n", Diagnostic { message, ..diagnostic.clone() });
    }
    if let Some(comparison) = &report.comparison {
        let Comparison { source, version, new_version, changes, .. } = comparison;
        if changes.is_empty() {
            text += &format!("no differences to version {version} ({source})\n");
        } else {
            text += &format!("version {new_version} against version {version} ({source}):\n");
        }
        for change in changes {
            text += &format!("{change}\n");
        }
    }
    let path = path.display();
    let (mistakes, warnings) = (report.count(true), report.count(false));
    let warnings = if warnings > 0 { format!(", warnings: {warnings}") } else { String::new() };
    let found = report.summary.as_ref().map(|summary| format!(" ({summary})")).unwrap_or_default();
    text + &match mistakes {
        0 => format!("{path}: no mistakes{found}{warnings}\n"),
        _ => format!("{path}: mistakes: {mistakes}{warnings}\n"),
    }
}

fn print_json(path: &Path, report: &Report) -> Result<(), CommandError> {
    cmd::print_json(&json!({
        "path": path.display().to_string(),
        "valid": report.count(true) == 0,
        "found": report.summary,
        "mistakes": report.of(true).collect::<Vec<_>>(),
        "warnings": report.of(false).collect::<Vec<_>>(),
        "against": report.comparison,
    }))
}

/// Runs the check. It fails if there is a mistake; warnings alone do not make it fail.
pub(super) fn run(
    path: &Path,
    against: Option<&str>,
    matches: &ArgMatches,
) -> Result<ExitCode, CommandError> {
    let report = check(path, against)?;
    match args::format(matches) {
        Format::Json => print_json(path, &report)?,
        _ => cmd::print(format_text(path, &report))?,
    }
    Ok(cmd::exit_code(report.count(true) == 0))
}
