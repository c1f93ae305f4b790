//! Relays streams to callers, and resumes them at another server if the route allows that.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::poll_fn;
use http::{Response, header};
use http_body_util::{BodyExt, StreamBody};
use platform_adapter::remove_hop_by_hop_headers;
use tokio::task::spawn_local;

use super::Job;
use super::attempt::{AttemptOutcome, Chunk, StreamSource, StreamStart, attempt};
use super::backlog::{Backlog, CallerLeft};
use super::trace::ANSWERED;
use super::wait::select_server;
use crate::connection::Body;
use crate::process::Entry;

/// Interval of attempts to find memory for data whose caller does not take it.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a stream must be resumed; callers leave a stream after two seconds without
/// events.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_900);
/// Interval of checks whether the limits allow a retry again.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the response with the first events of a stream, and relays the rest in a task.
pub(crate) fn start(cx: &Rc<Entry>, mut job: Job, started: StreamStart) -> Response<Body> {
    let StreamStart { mut parts, first, has_ended, source } = started;
    job.trace.record_first_byte(cx);
    job.trace.record_part();
    remove_hop_by_hop_headers(&mut parts.headers);
    // The length of a stream that may be resumed at another server is unknown.
    parts.headers.remove(header::CONTENT_LENGTH);
    parts.version = http::Version::HTTP_11;
    parts.extensions.clear();
    let (mut backlog, mut rx) = Backlog::new(&cx.body_memory);
    if !first.is_empty() && backlog.push(first).is_err() {
        tracing::error!("stream: no room for the first event");
    }
    if has_ended {
        job.trace.end(ANSWERED, parts.status);
        source.finish(cx);
    } else {
        spawn_local(relay(cx.clone(), job, parts.status, source, backlog));
    }
    let body = StreamBody::new(poll_fn(move |task| rx.poll_recv(task))).boxed_unsync();
    Response::from_parts(parts, body)
}

/// Relays a stream and writes its log line.
async fn relay(
    cx: Rc<Entry>,
    mut job: Job,
    status: http::StatusCode,
    source: StreamSource,
    backlog: Backlog,
) {
    let passed_on = pass_on(&cx, &mut job, source, backlog).await;
    let outcome = passed_on.unwrap_or("caller_left");
    job.trace.end(outcome, status);
}

async fn pass_on(
    cx: &Rc<Entry>,
    job: &mut Job,
    mut source: StreamSource,
    mut backlog: Backlog,
) -> Result<&'static str, CallerLeft> {
    loop {
        let chunk = tokio::select! {
            biased;
            advanced = backlog.advance() => {
                advanced?;
                continue;
            }
            chunk = source.next(cx, job) => chunk,
        };
        match chunk {
            Chunk::Data(data) => add(cx, job, &mut backlog, data).await?,
            Chunk::End => {
                // The server is free although the caller has not taken everything.
                source.finish(cx);
                return backlog.finish().await.map(|()| ANSWERED);
            }
            Chunk::Broken(reason) => {
                job.trace.record(reason);
                let last_event = source.last_id().map(Box::<str>::from);
                // Closes the connection to this server before the next one gets the request.
                source.abandon(cx, reason).await;
                let resumed = tokio::select! {
                    left = backlog.closed() => return Err(left),
                    resumed = resume(cx, job, last_event) => resumed,
                };
                let Some(started) = resumed else {
                    return backlog.break_off().await.map(|()| "broke_off");
                };
                if !started.first.is_empty() {
                    add(cx, job, &mut backlog, started.first).await?;
                }
                if started.has_ended {
                    started.source.finish(cx);
                    return backlog.finish().await.map(|()| ANSWERED);
                }
                source = started.source;
            }
        }
    }
}

/// Adds data for the caller. If the memory is used up, the server is held back until the caller reads
/// or until callers that have not read for a while, possibly this one, have been disconnected.
async fn add(
    cx: &Entry,
    job: &mut Job,
    backlog: &mut Backlog,
    mut data: Bytes,
) -> Result<(), CallerLeft> {
    job.trace.record_part();
    let mut is_held_back = false;
    while let Err(refused) = backlog.push(data) {
        data = refused;
        if !std::mem::replace(&mut is_held_back, true) {
            job.trace.record("no memory for a caller that does not read");
        }
        cx.disconnect_unread();
        tokio::select! {
            room = backlog.wait_for_room() => room?,
            () = tokio::time::sleep(MEMORY_POLL_INTERVAL) => {}
        }
    }
    Ok(())
}

/// Resumes a stream after `last_event` at another server.
async fn resume(
    cx: &Rc<Entry>,
    job: &mut Job,
    last_event: Option<Box<str>>,
) -> Option<StreamStart> {
    let last_event = last_event.or_else(|| job.facts.last_event.clone());
    job.select_by = job.deadline.min(Instant::now() + RESUME_TIMEOUT);
    while job.may_retry() && Instant::now() < job.select_by {
        if !cx.consume_retry(&job.service) {
            tokio::time::sleep(RETRY_POLL_INTERVAL).await;
            continue;
        }
        let selection = select_server(cx, job).await.ok()?;
        cx.metrics.retries.inc();
        job.trace.begin_send(&selection);
        let outcome = attempt(cx, job, &selection, last_event.as_deref(), false).await;
        job.trace.record_send(&selection, &outcome);
        job.tried.push(selection.id);
        match outcome {
            AttemptOutcome::Stream(started) => {
                job.sends.record_may_have_run();
                return Some(*started);
            }
            AttemptOutcome::NotSent => {}
            AttemptOutcome::NotRun(_) => job.sends.record_not_run(),
            AttemptOutcome::Lost(_) | AttemptOutcome::Complete(..) => {
                job.sends.record_may_have_run()
            }
        }
    }
    if job.route.kind.may_run_again() {
        job.trace.record("not continued in time");
    }
    None
}
