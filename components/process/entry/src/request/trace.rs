//! The log line of a request: what was decided for it and why.

use std::fmt::Write;
use std::time::Instant;

use http::StatusCode;
use platform_adapter::ClientHeaders;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use routes::{CallKind, DeploymentVersion, Route};

use super::attempt::Attempted;
use super::select::Picked;
use crate::metrics::{KindLabel, OutcomeLabels};
use crate::process::Entry;

/// Longest list of decisions in one line, in bytes.
const MAX_STEPS: usize = 700;

/// Collects the decisions for one request. It writes exactly one line, at the end or when the
/// request is dropped because its caller left.
pub(crate) struct Trace {
    requests: Family<OutcomeLabels, Counter>,
    id: Box<str>,
    route: Box<str>,
    service: Box<str>,
    model: Box<str>,
    /// Tokens of the prompt, and most tokens of the answer.
    tokens: (u64, u64),
    kind: &'static str,
    version: DeploymentVersion,
    arrived: Instant,
    first_byte_ms: Option<u64>,
    steps: String,
    has_ended: bool,
}

fn kind_name(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Idempotent => "idempotent",
        CallKind::NonIdempotent => "non_idempotent",
        CallKind::Stream => "stream",
        CallKind::ResumableStream => "resumable_stream",
    }
}

fn ms(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

impl Trace {
    pub(crate) fn new(
        cx: &Entry,
        facts: &ClientHeaders,
        route: &Route,
        service: &str,
        version: DeploymentVersion,
        arrived: Instant,
    ) -> Self {
        let prompt = facts.prompt.as_ref();
        let model = prompt.map_or("", |prompt| &*prompt.model);
        let adapter = prompt.and_then(|prompt| prompt.adapter.as_deref());
        Self {
            requests: cx.metrics.requests.clone(),
            id: facts.attempt_id.clone(),
            route: route.name.clone(),
            service: service.into(),
            model: match adapter {
                Some(adapter) => format!("{model}/{adapter}").into(),
                None => model.into(),
            },
            tokens: prompt.map_or((0, 0), |p| (p.prompt_tokens, p.max_output_tokens)),
            kind: kind_name(route.kind),
            version,
            arrived,
            first_byte_ms: None,
            steps: String::new(),
            has_ended: false,
        }
    }

    /// Adds a decision.
    pub(crate) fn note(&mut self, text: impl std::fmt::Display) {
        if self.steps.len() < MAX_STEPS {
            let separator = if self.steps.is_empty() { "" } else { "; " };
            // Writing to a string cannot fail.
            let _ = write!(self.steps, "{separator}{}ms {text}", ms(self.arrived));
        }
    }

    /// Adds a send and how it ended.
    pub(crate) fn sent(&mut self, picked: &Picked, attempted: &Attempted) {
        let outcome = match attempted {
            Attempted::NotSent => "not sent".into(),
            Attempted::NotRun(status) => format!("not run, {}", status.as_u16()),
            Attempted::Lost(reason) => (*reason).to_owned(),
            Attempted::Whole(parts, _) => format!("answer {}", parts.status.as_u16()),
            Attempted::Stream(_) => "stream".into(),
        };
        self.note(format_args!(
            "{} (revision {}, {} in flight, of {}): {outcome}",
            picked.id, picked.revision, picked.in_flight, picked.among
        ));
    }

    /// The first byte of the answer is ready.
    pub(crate) fn first_byte(&mut self, cx: &Entry) {
        self.first_byte_ms.get_or_insert(ms(self.arrived));
        let label = KindLabel { kind: self.kind };
        cx.metrics.first_byte.get_or_create(&label).observe(self.arrived.elapsed().as_secs_f64());
    }

    /// Writes the line.
    pub(crate) fn end(&mut self, outcome: &'static str, status: StatusCode) {
        self.write(outcome, status.as_u16());
    }

    fn write(&mut self, outcome: &'static str, status: u16) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let labels = OutcomeLabels { kind: self.kind, outcome };
        self.requests.get_or_create(&labels).inc();
        tracing::info!(id = %self.id, route = %self.route, service = %self.service,
            model = %self.model, prompt_tokens = self.tokens.0, answer_tokens = self.tokens.1,
            kind = self.kind, version = self.version, outcome, status,
            first_byte_ms = self.first_byte_ms, took_ms = ms(self.arrived),
            steps = %self.steps, "request: ended");
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.write("caller_left", 0);
    }
}
