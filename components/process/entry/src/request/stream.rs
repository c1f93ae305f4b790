//! Relays streams to callers, and resumes them at another server if the route allows that.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::poll_fn;
use http::{Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use platform_adapter::remove_hop_by_hop_headers;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::Job;
use super::attempt::{AttemptOutcome, Chunk, StreamSource, StreamStart, attempt};
use super::trace::ANSWERED;
use super::wait::select_server;
use crate::connection::{Body, BodyError};
use crate::process::Entry;

/// Chunks buffered for a caller that reads slowly. While the buffer is full, no more is read from
/// the server.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Time within which a stream must be resumed; callers leave a stream after two seconds without
/// events.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_900);
/// Interval of checks whether the limits allow a retry again.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(100);

type ChunkSender = mpsc::Sender<Result<Frame<Bytes>, BodyError>>;

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
    let (tx, mut rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    if !first.is_empty() && tx.try_send(Ok(Frame::data(first))).is_err() {
        tracing::debug!("stream: caller left before the first event");
    }
    if has_ended {
        job.trace.end(ANSWERED, parts.status);
        source.finish(cx);
    } else {
        spawn_local(relay(cx.clone(), job, parts.status, source, tx));
    }
    let body = StreamBody::new(poll_fn(move |task| rx.poll_recv(task))).boxed_unsync();
    Response::from_parts(parts, body)
}

async fn relay(
    cx: Rc<Entry>,
    mut job: Job,
    status: http::StatusCode,
    mut source: StreamSource,
    tx: ChunkSender,
) {
    loop {
        let chunk = tokio::select! {
            biased;
            () = tx.closed() => return job.trace.end("caller_left", status),
            chunk = source.next(&cx, &job) => chunk,
        };
        match chunk {
            Chunk::Data(data) => {
                job.trace.record_part();
                if tx.send(Ok(Frame::data(data))).await.is_err() {
                    return job.trace.end("caller_left", status);
                }
            }
            Chunk::End => {
                job.trace.end(ANSWERED, status);
                return source.finish(&cx);
            }
            Chunk::Broken(reason) => {
                job.trace.record(reason);
                let last_event = source.last_id().map(Box::<str>::from);
                // Closes the connection to this server before the next one gets the request.
                source.abandon(&cx, reason).await;
                let resumed = tokio::select! {
                    () = tx.closed() => return job.trace.end("caller_left", status),
                    resumed = resume(&cx, &mut job, last_event) => resumed,
                };
                let Some(started) = resumed else {
                    job.trace.end("broke_off", status);
                    if tx.send(Err(BodyError::Incomplete)).await.is_err() {
                        tracing::debug!("stream: caller left before the error was sent");
                    }
                    return;
                };
                job.trace.record_part();
                if !started.first.is_empty()
                    && tx.send(Ok(Frame::data(started.first))).await.is_err()
                {
                    return job.trace.end("caller_left", status);
                }
                if started.has_ended {
                    job.trace.end(ANSWERED, status);
                    return started.source.finish(&cx);
                }
                source = started.source;
            }
        }
    }
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
