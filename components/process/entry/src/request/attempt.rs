//! One send of a request to one server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use body_memory::{BodyBuffer, BodyMemory, CollectError, collect_waiting};
use bytes::Bytes;
use http::response::Parts;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use platform_adapter::{
    ResponseClass, SystemHeaders, classify_response, decode_server_notice, set_system_headers,
};
use quarantine::PropertyKey;
use routes::{ModelName, ServiceName};
use server_directory::ServerId;
use tokio::time::timeout_at;

use super::Job;
use super::events::{EventError, EventSplitter};
use super::memory_wait::MemoryWait;
use super::select::{Selection, has_free_slot_elsewhere};
use crate::connection::{ConnectError, Connection, SendError};
use crate::process::{Entry, InFlight, LostRequest, UnreadPrompt};

/// Largest response that is not a stream, in bytes. Such a response is read to its end before it
/// is passed on.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Longest idle time of a pooled connection that is used for a request that may run only once. A
/// server may have closed the connection meanwhile, and the request could then not be retried.
const MAX_IDLE_FOR_SINGLE_RUN: Duration = Duration::from_millis(150);
/// If another server may be tried, the selected one has this many latency targets to respond.
const SWITCH_AFTER_TARGETS: u32 = 2;
/// A server has at least this long to respond, so that a short queue does not cause retries on
/// routes with tight latency targets.
const MIN_SWITCH_AFTER: Duration = Duration::from_millis(700);
/// Events of a stream over which the pace of its server is measured, so that the steps of other
/// requests' prompts even out.
const EVENTS_PER_MEASUREMENT: u64 = 8;
/// Reason recorded for a request that got no response before the instance stopped.
const INSTANCE_STOPS: &str = "instance stops before the answer";
/// Reason recorded for a stream that sent nothing until its deadline.
const STREAM_SILENT: &str = "stream sent no data in time";
/// Reason recorded for a stream with an event beyond the size limit.
const EVENT_TOO_LONG: &str = "event too long";
/// Reason recorded for a response that the bodies in the process leave no room for.
const NO_MEMORY: &str = "no memory for the answer";
/// Reason recorded for a stream whose connection ended.
const STREAM_BROKE_OFF: &str = "stream broke off";
/// Events after which a server counts as answering a request.
const ANSWERING_EVENTS: u64 = 3;
/// Longest time without events in a stream that can be resumed at another server. Callers leave
/// after two seconds, and the new server needs part of that.
const MAX_STREAM_SILENCE: Duration = Duration::from_millis(1_000);

/// A stream whose first events have arrived.
pub(crate) struct StreamStart {
    pub(crate) parts: Parts,
    /// Data that has arrived, of a resumable stream only complete events; empty only if the stream
    /// has ended.
    pub(crate) first: Bytes,
    pub(crate) has_ended: bool,
    pub(crate) source: StreamSource,
}

/// The rest of a stream.
pub(crate) struct StreamSource {
    body: Incoming,
    connection: Option<Connection>,
    splitter: EventSplitter,
    /// The response has neither a length nor chunked encoding, so the end of the connection may
    /// also be an interruption.
    has_unknown_length: bool,
    /// The stream continues after an event, which may have been the last one.
    is_continuation: bool,
    is_resumable: bool,
    server: ServerId,
    address: SocketAddr,
    data_centre: Box<str>,
    service: ServiceName,
    model: ModelName,
    /// Id of the attempt, and the properties of the request.
    request: (Box<str>, Rc<[PropertyKey]>),
    is_answering: bool,
    /// When the first event arrived.
    started_at: Instant,
    /// Number of events, and the time, at the last measurement of the server's pace.
    measured: (u64, Instant),
    /// Data that found no memory yet.
    unsplit: Option<Bytes>,
    memory_wait: MemoryWait,
    _in_flight: InFlight,
}

/// Outcome of sending a request to a server.
pub(crate) enum AttemptOutcome {
    /// No byte of the request was sent.
    NotSent,
    /// The server reported that it did not run the request.
    NotRun(StatusCode),
    /// The server may have run the request, and its response is lost.
    Lost(&'static str),
    /// The complete response.
    Complete(Parts, Bytes),
    /// The start of a stream.
    Stream(Box<StreamStart>),
}

/// The next part of a stream, its end, or the reason why it broke off.
pub(crate) enum Chunk {
    Data(Bytes),
    End,
    Broken(&'static str),
}

impl StreamSource {
    /// Id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.splitter.last_id()
    }

    /// Waits for the next bytes that may be passed on. A stream counts as broken off if it sends
    /// nothing for `MAX_STREAM_SILENCE` and could be resumed at another server.
    pub(crate) async fn next(&mut self, cx: &Entry, job: &Job) -> Chunk {
        let silence_deadline = Instant::now() + MAX_STREAM_SILENCE;
        if self.is_resumable && job.may_retry() && silence_deadline < job.deadline {
            let chunk = self.next_until(cx, silence_deadline).await;
            let can_switch =
                cx.has_retry_left(&job.service) && has_free_slot_elsewhere(cx, job, &self.server);
            if can_switch || !matches!(chunk, Chunk::Broken(STREAM_SILENT)) {
                return chunk;
            }
        }
        self.next_until(cx, job.deadline).await
    }

    /// Waits until `deadline` for the next bytes that may be passed on. A server that always has
    /// bytes ready, but never a complete event, does not hold the request any longer.
    async fn next_until(&mut self, cx: &Entry, deadline: Instant) -> Chunk {
        loop {
            if let Some(data) = self.unsplit.take() {
                match self.split(&data, &cx.body_memory) {
                    Ok(ready) => {
                        self.memory_wait.end();
                        self.measure_pace(cx);
                        if self.splitter.event_count() >= ANSWERING_EVENTS {
                            self.record_answering(cx);
                        }
                        if !ready.is_empty() {
                            return Chunk::Data(ready);
                        }
                        // The timeout does not expire while bytes are ready whenever it is polled.
                        if Instant::now() >= deadline {
                            return Chunk::Broken(STREAM_SILENT);
                        }
                    }
                    Err(EventError::TooLong) => {
                        cx.metrics.oversized_responses.inc();
                        return Chunk::Broken(EVENT_TOO_LONG);
                    }
                    Err(EventError::OutOfMemory) => {
                        self.unsplit = Some(data);
                        let (id, _) = &self.request;
                        if !self.memory_wait.pause(cx, id, &self.server, deadline).await {
                            return Chunk::Broken(NO_MEMORY);
                        }
                        continue;
                    }
                }
            }
            match timeout_at(deadline.into(), self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    cx.record_contact(&self.data_centre);
                    let Ok(data) = frame.into_data() else { continue };
                    self.unsplit = Some(data);
                }
                Ok(Some(Err(_))) => return Chunk::Broken(STREAM_BROKE_OFF),
                Ok(None) if self.splitter.is_inside_event() => {
                    return Chunk::Broken("stream ended inside an event");
                }
                Ok(None)
                    if self.has_unknown_length
                        && !self.is_continuation
                        && self.splitter.event_count() == 0 =>
                {
                    return Chunk::Broken("stream ended without an event");
                }
                Ok(None) => return Chunk::End,
                Err(_) => return Chunk::Broken(STREAM_SILENT),
            }
        }
    }

    /// Splits data, and returns what may be passed on.
    fn split(&mut self, data: &[u8], memory: &BodyMemory) -> Result<Bytes, EventError> {
        if self.is_resumable {
            return self.splitter.push(data);
        }
        // The connection's read buffer, to which `data` refers, may be much larger.
        let copy = BodyBuffer::copy_of(data, memory)?;
        self.splitter.push(data)?;
        Ok(copy.into_bytes())
    }

    /// Measures the server's pace once every few events.
    fn measure_pace(&mut self, cx: &Entry) {
        let (events, at) = self.measured;
        let count = self.splitter.event_count();
        let new = count.saturating_sub(events);
        if events > 0 && new >= EVENTS_PER_MEASUREMENT {
            cx.record_pace(&self.server, &self.model, at.elapsed() / new as u32);
            self.measured = (count, Instant::now());
        }
    }

    fn record_answering(&mut self, cx: &Entry) {
        if !std::mem::replace(&mut self.is_answering, true) {
            cx.record_answered(&self.request.1);
        }
    }

    /// Closes the connection of a stream that broke off, so that the server stops working on it.
    pub(crate) async fn abandon(mut self, cx: &Entry, reason: &str) {
        cx.update_health(&self.server, |health, now| health.record_failure(now, 1.0));
        self.connection = None;
        if reason == STREAM_BROKE_OFF && !self.is_answering {
            let (id, properties) = &self.request;
            let (server, address) = (&self.server, self.address);
            cx.record_lost(LostRequest { id, server, address, properties }).await;
        }
    }

    /// Returns the connection to the pool after the end of the stream.
    pub(crate) fn finish(mut self, cx: &Entry) {
        self.record_answering(cx);
        cx.update_health(&self.server, |health, now| health.record_answer(now));
        let mut run_times = cx.run_times.borrow_mut();
        run_times.entry(self.service.clone()).or_default().record(self.started_at.elapsed());
        drop(run_times);
        if let Some(connection) = self.connection.take().filter(|_| !self.has_unknown_length) {
            cx.return_to_pool(connection);
        }
    }
}

fn build_request(
    job: &Job,
    selection: &Selection,
    last_event: Option<&str>,
) -> Option<Request<Full<Bytes>>> {
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.path.clone().into();
    *req.headers_mut() = job.headers.clone();
    let left = job.deadline.checked_duration_since(Instant::now())?;
    let send = SystemHeaders {
        server: &selection.id,
        remaining: left,
        priority: job.has_engine.then_some(job.rank()),
        last_event,
        account: job.caller.name(),
    };
    set_system_headers(req.headers_mut(), send);
    Some(req)
}

/// Sends the request and waits for the response, or for the first event of a stream.
pub(crate) async fn attempt(
    cx: &Rc<Entry>,
    job: &Job,
    selection: &Selection,
    last_event: Option<&str>,
    may_switch: bool,
) -> AttemptOutcome {
    let model = job.facts.prompt.as_ref().map_or("", |prompt| &*prompt.model);
    let in_flight = InFlight::new(cx, &selection.id, model);
    let max_idle =
        if job.route.kind.may_run_again() { Duration::MAX } else { MAX_IDLE_FOR_SINGLE_RUN };
    let mut connection = match cx.pools.take_idle(&selection.id, max_idle) {
        Some(connection) => connection,
        None => match Connection::connect(&selection.id, selection.address, job.deadline).await {
            Ok(connection) => {
                cx.record_contact(&selection.data_centre);
                connection
            }
            Err(error) => {
                if error == ConnectError::Unreachable {
                    cx.record_silence(&selection.id);
                }
                cx.record_unreachable(&selection.id);
                return AttemptOutcome::NotSent;
            }
        },
    };
    // The server may have started to drain while the connection was established, the key may have
    // been taken away, or the request may be known to end servers by now.
    let has_changed = !cx.directory.borrow().is_usable(&selection.id)
        || cx.paused_until(&selection.id).is_some()
        || job.key_failure(cx).is_some()
        || cx
            .ban(&job.properties)
            .is_some_and(|ban| job.ban_test.is_none() || ban.until > Instant::now());
    if has_changed {
        return AttemptOutcome::NotSent;
    }
    let Some(req) = build_request(job, selection, last_event) else {
        return AttemptOutcome::NotSent;
    };
    cx.metrics.sends.inc();
    // Dropped at the first event, with which this function returns.
    let long_read = selection.reading.and_then(|reading| reading.long_read);
    let _unread = long_read.map(|time| UnreadPrompt::new(cx, &selection.id, time));
    let sent_at = Instant::now();
    let switch_after = (job.route.latency_target * SWITCH_AFTER_TARGETS).max(MIN_SWITCH_AFTER);
    let switch_at = match may_switch {
        true => job.deadline.min(Instant::now() + switch_after),
        false => job.deadline,
    };
    let result = tokio::select! {
        result = wait_or_switch(cx, job, selection, switch_at, connection.send(req)) => result,
        () = cx.ending() => return AttemptOutcome::Lost(INSTANCE_STOPS),
    };
    let response = match result {
        Some(Ok(response)) => response,
        Some(Err(SendError::NotSent)) => return AttemptOutcome::NotSent,
        Some(Err(error)) => {
            cx.update_health(&selection.id, |health, now| health.record_failure(now, 1.0));
            if error == SendError::HeadTooLong {
                cx.metrics.oversized_responses.inc();
                return AttemptOutcome::Lost("head of the answer too long");
            }
            drop((connection, in_flight));
            record_lost(cx, job, selection).await;
            return AttemptOutcome::Lost("connection ended without an answer");
        }
        None => {
            cx.update_health(&selection.id, |health, now| health.record_failure(now, 1.0));
            return AttemptOutcome::Lost("no answer in time");
        }
    };
    cx.record_contact(&selection.data_centre);
    let (parts, body) = response.into_parts();
    match classify_response(
        parts.status,
        &parts.headers,
        &job.facts.attempt_id,
        connection.is_reused(),
    ) {
        ResponseClass::Mismatched => {
            cx.update_health(&selection.id, |health, now| health.record_failure(now, 0.5));
            return AttemptOutcome::Lost("answer belongs to another request");
        }
        ResponseClass::NotExecuted => {
            // Another server at the same address does not speak for this one.
            if parts.status != StatusCode::MISDIRECTED_REQUEST {
                record_notice(cx, job, selection, &parts);
            }
            cx.update_health(&selection.id, |health, now| health.record_failure(now, 0.3));
            return AttemptOutcome::NotRun(parts.status);
        }
        ResponseClass::Valid => record_notice(cx, job, selection, &parts),
    }
    if job.route.kind.is_stream() && parts.status.is_success() {
        let is_continuation = last_event.or(job.facts.last_event.as_deref()).is_some();
        let started = tokio::select! {
            started = wait_or_switch(
                cx,
                job,
                selection,
                switch_at,
                start_stream(cx, job, selection, (parts, body), connection, in_flight, is_continuation),
            ) => started.unwrap_or(AttemptOutcome::Lost("no event in time")),
            () = cx.ending() => return AttemptOutcome::Lost(INSTANCE_STOPS),
        };
        if !matches!(started, AttemptOutcome::Stream(_)) {
            cx.update_health(&selection.id, |health, now| health.record_failure(now, 1.0));
        }
        if matches!(&started, AttemptOutcome::Stream(start) if !start.has_ended)
            && let Some(reading) = selection.reading.filter(|reading| reading.shows_pace)
        {
            let mut mixes = cx.prompt_mixes.borrow_mut();
            let mix = mixes.entry(job.service.clone()).or_default();
            mix.record_first_event(reading.unread, sent_at.elapsed());
        }
        if matches!(started, AttemptOutcome::Lost(STREAM_BROKE_OFF)) {
            record_lost(cx, job, selection).await;
        }
        return started;
    }
    let mut memory_wait = MemoryWait::default();
    let wait =
        async || memory_wait.pause(cx, &job.facts.attempt_id, &selection.id, job.deadline).await;
    let collected = collect_waiting(body, MAX_RESPONSE_BYTES, &cx.body_memory, wait);
    let collected = tokio::select! {
        collected = timeout_at(job.deadline.into(), collected) => collected,
        () = cx.ending() => return AttemptOutcome::Lost(INSTANCE_STOPS),
    };
    match collected {
        Ok(Ok(body)) => {
            let is_failure = parts.status.is_server_error();
            cx.update_health(&selection.id, |health, now| match is_failure {
                true => health.record_failure(now, 0.5),
                false => health.record_answer(now),
            });
            // The time in the queue of a full server says nothing about its pace.
            if !job.has_engine && !is_failure && selection.in_flight < selection.slots {
                cx.record_pace(&selection.id, &job.service, sent_at.elapsed());
            }
            cx.record_answered(&job.properties);
            cx.return_to_pool(connection);
            AttemptOutcome::Complete(parts, body)
        }
        Ok(Err(error)) => {
            cx.update_health(&selection.id, |health, now| health.record_failure(now, 1.0));
            match error {
                CollectError::TooLong => {
                    cx.metrics.oversized_responses.inc();
                    AttemptOutcome::Lost("body of the answer too long")
                }
                CollectError::OutOfMemory => AttemptOutcome::Lost(NO_MEMORY),
                CollectError::Broken(_) => {
                    drop((connection, in_flight));
                    record_lost(cx, job, selection).await;
                    AttemptOutcome::Lost("answer broke off")
                }
            }
        }
        Err(_) => AttemptOutcome::Lost("answer not complete in time"),
    }
}

fn record_notice(cx: &Entry, job: &Job, selection: &Selection, parts: &Parts) {
    let notice = decode_server_notice(parts.status, &parts.headers);
    cx.record_notice(&selection.id, notice, &job.facts.attempt_id);
}

async fn record_lost(cx: &Entry, job: &Job, selection: &Selection) {
    let (server, address) = (&selection.id, selection.address);
    let (id, properties) = (&*job.facts.attempt_id, &*job.properties);
    cx.record_lost(LostRequest { id, server, address, properties }).await;
}

/// Waits for a response until the deadline, or only until `switch_at` if another server has a free
/// slot for the request then and the limits allow a retry. Moving from one full queue to another
/// would only lose the place in the first. The time ends early if the data centre of the server is
/// cut off.
async fn wait_or_switch<T>(
    cx: &Entry,
    job: &Job,
    selection: &Selection,
    switch_at: Instant,
    response: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(response);
    tokio::select! {
        response = &mut response => return Some(response),
        () = tokio::time::sleep_until(switch_at.into()) => {}
        () = cx.wait_for_cut(&selection.data_centre), if switch_at < job.deadline => {}
    }
    let can_switch = switch_at < job.deadline
        && cx.has_retry_left(&job.service)
        && has_free_slot_elsewhere(cx, job, &selection.id);
    if can_switch {
        return None;
    }
    timeout_at(job.deadline.into(), response).await.ok()
}

async fn start_stream(
    cx: &Entry,
    job: &Job,
    selection: &Selection,
    (parts, body): (Parts, Incoming),
    connection: Connection,
    in_flight: InFlight,
    is_continuation: bool,
) -> AttemptOutcome {
    let has_unknown_length = !parts.headers.contains_key(header::CONTENT_LENGTH)
        && !parts.headers.contains_key(header::TRANSFER_ENCODING);
    let is_resumable = job.route.kind.may_run_again();
    let splitter = EventSplitter::new(&cx.body_memory);
    let mut source = StreamSource {
        body,
        connection: Some(connection),
        splitter,
        has_unknown_length,
        is_continuation,
        is_resumable,
        server: selection.id.clone(),
        address: selection.address,
        data_centre: selection.data_centre.clone(),
        request: (job.facts.attempt_id.clone(), job.properties.clone()),
        is_answering: false,
        unsplit: None,
        memory_wait: MemoryWait::default(),
        service: job.service.clone(),
        model: job.prompt().map_or_else(|| "".into(), |prompt| prompt.model.clone()),
        started_at: Instant::now(),
        measured: (0, Instant::now()),
        _in_flight: in_flight,
    };
    let first = source.next_until(cx, job.deadline).await;
    source.started_at = Instant::now();
    source.measured = (source.splitter.event_count(), source.started_at);
    match first {
        Chunk::Data(first) => {
            AttemptOutcome::Stream(Box::new(StreamStart { parts, first, has_ended: false, source }))
        }
        Chunk::End => AttemptOutcome::Stream(Box::new(StreamStart {
            parts,
            first: Bytes::new(),
            has_ended: true,
            source,
        })),
        Chunk::Broken(reason) => AttemptOutcome::Lost(reason),
    }
}
