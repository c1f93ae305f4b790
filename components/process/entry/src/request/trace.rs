//! The log line of a request: the decisions made for it and their reasons.

use std::fmt::Write;
use std::rc::Rc;
use std::time::Instant;

use http::StatusCode;
use platform_adapter::{ClientHeaders, Prompt};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use routes::{CallKind, DeploymentVersion, Route};

use super::account::Caller;
use super::attempt::AttemptOutcome;
use super::select::Selection;
use crate::metrics::{AccountMetrics, KindLabel, OutcomeLabels};
use crate::process::Entry;

/// Once the list of decisions has this length in bytes, no more are added.
const MAX_STEPS_BYTES: usize = 700;

/// Outcome of a request that got the whole response of a server.
pub(crate) const ANSWERED: &str = "answered";

/// Statuses which promise that the request was not run.
const REFUSAL_STATUSES: [u16; 3] = [401, 429, 503];

/// Most bytes of the ids of prompt parts in a log line.
const MAX_PARTS_BYTES: usize = 200;

/// Collects the decisions made for one request. Writes exactly one log line: when the request ends,
/// or when the trace is dropped because the caller closed the connection.
pub(crate) struct Trace {
    requests: Family<OutcomeLabels, Counter>,
    accounts: Rc<AccountMetrics>,
    /// Name of the client account; empty if there is none.
    account: Box<str>,
    id: Box<str>,
    route: Box<str>,
    service: Box<str>,
    model: Box<str>,
    /// Tokens of the prompt, and maximum tokens of the response.
    tokens: (u64, u64),
    /// Ids of the parts of the prompt that other requests may share.
    parts: Box<str>,
    kind: &'static str,
    version: DeploymentVersion,
    arrived_at: Instant,
    first_byte_ms: Option<u64>,
    /// When this instance read the last part of a stream.
    last_part_at: Option<Instant>,
    /// Longest time between two parts of a stream as this instance reads them, which may be later
    /// than their arrival: it stops reading while a slow caller takes nothing and the memory for
    /// answers is used up. `None` if there are less than two.
    longest_gap_ms: Option<u64>,
    steps: String,
    /// The send that has no outcome yet.
    pending_send: Option<Box<str>>,
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

fn describe(selection: &Selection) -> String {
    let Selection { id, revision, in_flight, candidate_count, .. } = selection;
    let reading = selection.reading.map_or_else(String::new, |reading| {
        let first_event_ms = reading.first_event.as_millis();
        format!(", {} tokens unread, {first_event_ms} ms expected", reading.tokens_ahead)
    });
    format!("{id} (revision {revision}, {in_flight} in flight, of {candidate_count}{reading})")
}

fn elapsed_ms(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

fn join_parts(prompt: &Prompt) -> Box<str> {
    let mut joined = prompt.shared_parts.join(",");
    joined.truncate(joined.floor_char_boundary(MAX_PARTS_BYTES));
    joined.into()
}

impl Trace {
    pub(crate) fn new(
        cx: &Entry,
        facts: &ClientHeaders,
        route: &Route,
        caller: &Caller,
        service: &str,
        version: DeploymentVersion,
        arrived_at: Instant,
    ) -> Self {
        let prompt = facts.prompt.as_ref();
        let model = prompt.map_or("", |prompt| &*prompt.model);
        let adapter = prompt.and_then(|prompt| prompt.adapter.as_deref());
        Self {
            requests: cx.metrics.requests.clone(),
            accounts: cx.metrics.accounts.clone(),
            account: caller.name().unwrap_or("").into(),
            id: facts.attempt_id.clone(),
            route: route.name.clone(),
            service: service.into(),
            model: match adapter {
                Some(adapter) => format!("{model}/{adapter}").into(),
                None => model.into(),
            },
            tokens: prompt.map_or((0, 0), |p| (p.prompt_tokens, p.max_output_tokens)),
            parts: prompt.map_or_else(|| "".into(), join_parts),
            kind: kind_name(route.kind),
            version,
            arrived_at,
            first_byte_ms: None,
            last_part_at: None,
            longest_gap_ms: None,
            steps: String::new(),
            pending_send: None,
            has_ended: false,
        }
    }

    /// Appends a decision with the time since the request arrived.
    pub(crate) fn record(&mut self, text: impl std::fmt::Display) {
        if self.steps.len() < MAX_STEPS_BYTES {
            let separator = if self.steps.is_empty() { "" } else { "; " };
            // Writing to a string cannot fail.
            let _ = write!(self.steps, "{separator}{}ms {text}", elapsed_ms(self.arrived_at));
        }
    }

    /// Records that the request is about to be sent. If it ends before the send has an outcome, the
    /// log line shows this.
    pub(crate) fn begin_send(&mut self, selection: &Selection) {
        let at = elapsed_ms(self.arrived_at);
        let send = format!("sent at {at}ms to {}, no outcome", describe(selection));
        self.pending_send = Some(send.into());
    }

    /// Appends a send and its outcome.
    pub(crate) fn record_send(&mut self, selection: &Selection, outcome: &AttemptOutcome) {
        self.pending_send = None;
        let description = match outcome {
            AttemptOutcome::NotSent => "not sent".into(),
            AttemptOutcome::NotRun(status) => format!("not run, {}", status.as_u16()),
            AttemptOutcome::Lost(reason) => (*reason).to_owned(),
            AttemptOutcome::Complete(parts, _) => format!("answer {}", parts.status.as_u16()),
            AttemptOutcome::Stream(_) => "stream".into(),
        };
        self.record(format_args!("{}: {description}", describe(selection)));
    }

    /// Records the time until the first byte of the response.
    pub(crate) fn record_first_byte(&mut self, cx: &Entry) {
        self.first_byte_ms.get_or_insert(elapsed_ms(self.arrived_at));
        let label = KindLabel { kind: self.kind };
        cx.metrics
            .first_byte
            .get_or_create(&label)
            .observe(self.arrived_at.elapsed().as_secs_f64());
    }

    /// Records that a part of a stream was read.
    pub(crate) fn record_part(&mut self) {
        if let Some(last) = self.last_part_at.replace(Instant::now()) {
            self.longest_gap_ms = self.longest_gap_ms.max(Some(elapsed_ms(last)));
        }
    }

    /// Writes the log line of the request, unless it was already written.
    pub(crate) fn end(&mut self, outcome: &'static str, status: StatusCode) {
        self.write(outcome, status.as_u16());
    }

    fn write(&mut self, outcome: &'static str, status: u16) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        if let Some(send) = self.pending_send.take() {
            self.record(send);
        }
        let labels = OutcomeLabels { kind: self.kind, outcome };
        self.requests.get_or_create(&labels).inc();
        let is_refusal = outcome != ANSWERED && REFUSAL_STATUSES.contains(&status);
        if is_refusal && !self.account.is_empty() {
            self.accounts.record_refused(&self.account, outcome);
        }
        tracing::info!(id = %self.id, account = %self.account, route = %self.route, service = %self.service,
            model = %self.model, prompt_tokens = self.tokens.0, answer_tokens = self.tokens.1,
            kind = self.kind, parts = %self.parts, version = self.version, outcome, status,
            first_byte_ms = self.first_byte_ms, longest_gap_ms = self.longest_gap_ms, took_ms = elapsed_ms(self.arrived_at),
            steps = %self.steps, "request: ended");
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.write("caller_left", 0);
    }
}
