//! One send of a request to one server.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::response::Parts;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use platform_adapter::{ResponseClass, SystemHeaders, classify_response, set_system_headers};
use server_directory::ServerId;
use tokio::time::timeout_at;

use super::Job;
use super::events::EventSplitter;
use super::select::{Picked, has_room_elsewhere};
use crate::connection::{Link, SendError};
use crate::process::{Entry, InFlight};

/// Largest answer of a plain service, in bytes, that is checked as a whole before it is passed on.
const WHOLE_ANSWER: usize = 8 << 20;
/// Idle time up to which a kept connection is used for a request that must not be lost: a server
/// may have closed it meanwhile, and the request could then not be sent again.
const FRESH_IDLE: Duration = Duration::from_millis(150);
/// A server that may be left for another one has this many latency targets to answer.
const PATIENCE_IN_TARGETS: u32 = 2;
/// Least patience, so that tight targets do not turn a short queue into repeats.
const LEAST_PATIENCE: Duration = Duration::from_millis(700);
/// Reason given for a request whose answer did not come before the instance stopped.
const INSTANCE_ENDS: &str = "instance stops before the answer";
/// Reason given for a stream without events.
const FELL_SILENT: &str = "stream fell silent";
/// Longest silence within a stream that can be continued elsewhere. Callers leave after two
/// seconds, and the new server needs part of that.
const STREAM_SILENCE: Duration = Duration::from_millis(1_000);

/// A stream that has begun.
pub(crate) struct Started {
    pub(crate) parts: Parts,
    /// Whole events that have arrived; never empty unless the stream has ended.
    pub(crate) first: Bytes,
    pub(crate) has_ended: bool,
    pub(crate) source: StreamSource,
}

/// The rest of a stream.
pub(crate) struct StreamSource {
    body: Incoming,
    link: Option<Link>,
    splitter: EventSplitter,
    /// The answer's length is not told, so that its end may be a break.
    is_unframed: bool,
    is_resumable: bool,
    server: ServerId,
    _in_flight: InFlight,
}

/// How a send ended.
pub(crate) enum Attempted {
    /// No byte left.
    NotSent,
    /// The server says that it did not run the request.
    NotRun(StatusCode),
    /// The request may have run and its answer is lost.
    Lost(&'static str),
    /// The whole answer.
    Whole(Parts, Bytes),
    /// The beginning of a stream.
    Stream(Box<Started>),
}

/// What comes next in a stream.
pub(crate) enum Piece {
    Data(Bytes),
    End,
    Broken(&'static str),
}

impl StreamSource {
    /// Id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.splitter.last_id()
    }

    /// Waits for the next bytes that may be passed on. A stream that falls silent for long and may
    /// be continued elsewhere is broken.
    pub(crate) async fn next(&mut self, cx: &Entry, job: &Job) -> Piece {
        let silence_ends = Instant::now() + STREAM_SILENCE;
        if self.is_resumable && job.may_run_again() && silence_ends < job.deadline {
            let piece = self.first(silence_ends).await;
            let may_leave =
                cx.has_repeat(&job.service) && has_room_elsewhere(cx, job, &self.server);
            if may_leave || !matches!(piece, Piece::Broken(FELL_SILENT)) {
                return piece;
            }
        }
        self.first(job.deadline).await
    }

    /// Waits for bytes that may be passed on until `until`.
    async fn first(&mut self, until: Instant) -> Piece {
        loop {
            match timeout_at(until.into(), self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let whole = self.splitter.push(&data);
                    if self.is_resumable {
                        if !whole.is_empty() {
                            return Piece::Data(whole);
                        }
                    } else if !data.is_empty() {
                        return Piece::Data(data);
                    }
                }
                Ok(Some(Err(_))) => return Piece::Broken("stream broke off"),
                Ok(None) if self.is_unframed && self.splitter.is_inside_event() => {
                    return Piece::Broken("stream ended inside an event");
                }
                Ok(None) => return Piece::End,
                Err(_) => return Piece::Broken(FELL_SILENT),
            }
        }
    }

    /// Closes the connection of a stream that broke off, so that the server stops its work.
    pub(crate) fn abandon(self, cx: &Entry) {
        cx.judge(&self.server, |health, now| health.failed(now, 1.0));
    }

    /// Gives the connection back for reuse after the end of the stream.
    pub(crate) fn finish(mut self, cx: &Entry) {
        cx.judge(&self.server, |health, now| health.answered(now));
        if let Some(link) = self.link.take().filter(|_| !self.is_unframed) {
            cx.keep(link);
        }
    }
}

fn request(job: &Job, picked: &Picked, last_event: Option<&str>) -> Option<Request<Full<Bytes>>> {
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.path.clone().into();
    *req.headers_mut() = job.headers.clone();
    let left = job.deadline.checked_duration_since(Instant::now())?;
    let priority = job.has_engine.then_some(job.route.priority);
    let send = SystemHeaders { server: &picked.id, remaining: left, priority, last_event };
    set_system_headers(req.headers_mut(), send);
    Some(req)
}

/// Sends the request and waits for the answer, or for the first event of a stream.
pub(crate) async fn attempt(
    cx: &Rc<Entry>,
    job: &Job,
    picked: &Picked,
    last_event: Option<&str>,
    may_move_on: bool,
) -> Attempted {
    let model = job.facts.prompt.as_ref().map_or("", |prompt| &*prompt.model);
    let in_flight = InFlight::new(cx, &picked.id, model);
    let idle = if job.route.kind.may_run_again() { Duration::MAX } else { FRESH_IDLE };
    let mut link = match cx.pools.take(&picked.id, idle) {
        Some(link) => link,
        None => match Link::connect(&picked.id, picked.address, job.deadline).await {
            Ok(link) => link,
            Err(_) => {
                cx.judge(&picked.id, |health, now| health.unreachable(now));
                return Attempted::NotSent;
            }
        },
    };
    // The server may have begun to leave while the connection was made.
    if !cx.directory.borrow().is_usable(&picked.id) {
        return Attempted::NotSent;
    }
    let Some(req) = request(job, picked, last_event) else { return Attempted::NotSent };
    cx.metrics.sends.inc();
    let patience = (job.route.latency_target * PATIENCE_IN_TARGETS).max(LEAST_PATIENCE);
    let until = match may_move_on {
        true => job.deadline.min(Instant::now() + patience),
        false => job.deadline,
    };
    let sent = tokio::select! {
        sent = patiently(cx, job, picked, until, link.send(req)) => sent,
        () = cx.ending() => return Attempted::Lost(INSTANCE_ENDS),
    };
    let answer = match sent {
        Some(Ok(answer)) => answer,
        Some(Err(SendError::NotSent)) => return Attempted::NotSent,
        Some(Err(SendError::MayHaveRun)) => {
            cx.judge(&picked.id, |health, now| health.failed(now, 1.0));
            return Attempted::Lost("connection ended without an answer");
        }
        None => {
            cx.judge(&picked.id, |health, now| health.failed(now, 1.0));
            return Attempted::Lost("no answer in time");
        }
    };
    let (parts, body) = answer.into_parts();
    match classify_response(parts.status, &parts.headers, &job.facts.attempt_id) {
        ResponseClass::Mismatched => {
            cx.judge(&picked.id, |health, now| health.failed(now, 0.5));
            return Attempted::Lost("answer of another request");
        }
        ResponseClass::NotExecuted => {
            cx.judge(&picked.id, |health, now| health.failed(now, 0.3));
            return Attempted::NotRun(parts.status);
        }
        ResponseClass::Valid => {}
    }
    if job.route.kind.is_stream() && parts.status.is_success() {
        let started = tokio::select! {
            started = patiently(cx, job, picked, until, start_stream(job, picked, parts, body, link, in_flight))
                => started.unwrap_or(Attempted::Lost("no event in time")),
            () = cx.ending() => return Attempted::Lost(INSTANCE_ENDS),
        };
        if !matches!(started, Attempted::Stream(_)) {
            cx.judge(&picked.id, |health, now| health.failed(now, 1.0));
        }
        return started;
    }
    let whole = Limited::new(body, WHOLE_ANSWER).collect();
    let whole = tokio::select! {
        whole = timeout_at(job.deadline.into(), whole) => whole,
        () = cx.ending() => return Attempted::Lost(INSTANCE_ENDS),
    };
    match whole {
        Ok(Ok(body)) => {
            let is_failure = parts.status.is_server_error();
            cx.judge(&picked.id, |health, now| match is_failure {
                true => health.failed(now, 0.5),
                false => health.answered(now),
            });
            cx.keep(link);
            Attempted::Whole(parts, body.to_bytes())
        }
        Ok(Err(_)) => {
            cx.judge(&picked.id, |health, now| health.failed(now, 1.0));
            Attempted::Lost("answer broke off")
        }
        Err(_) => Attempted::Lost("answer not complete in time"),
    }
}

/// Waits for an answer until the deadline, or only until `patience_ends` if another server has room
/// for the request then and the limits leave a repeat. Leaving a full server's queue for another
/// one would only lose the place.
async fn patiently<T>(
    cx: &Entry,
    job: &Job,
    picked: &Picked,
    patience_ends: Instant,
    answer: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(answer);
    if let Ok(answer) = timeout_at(patience_ends.into(), &mut answer).await {
        return Some(answer);
    }
    let may_leave = patience_ends < job.deadline
        && cx.has_repeat(&job.service)
        && has_room_elsewhere(cx, job, &picked.id);
    if may_leave {
        return None;
    }
    timeout_at(job.deadline.into(), answer).await.ok()
}

async fn start_stream(
    job: &Job,
    picked: &Picked,
    parts: Parts,
    body: Incoming,
    link: Link,
    in_flight: InFlight,
) -> Attempted {
    let is_unframed = !parts.headers.contains_key(header::CONTENT_LENGTH)
        && !parts.headers.contains_key(header::TRANSFER_ENCODING);
    let is_resumable = job.route.kind.may_run_again();
    let splitter = EventSplitter::default();
    let mut source = StreamSource {
        body,
        link: Some(link),
        splitter,
        is_unframed,
        is_resumable,
        server: picked.id.clone(),
        _in_flight: in_flight,
    };
    match source.first(job.deadline).await {
        Piece::Data(first) => {
            Attempted::Stream(Box::new(Started { parts, first, has_ended: false, source }))
        }
        Piece::End => Attempted::Stream(Box::new(Started {
            parts,
            first: Bytes::new(),
            has_ended: true,
            source,
        })),
        Piece::Broken(reason) => Attempted::Lost(reason),
    }
}
