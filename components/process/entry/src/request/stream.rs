//! Passes on streams, and continues them at another server where that is allowed.

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
use super::attempt::{Attempted, Piece, Started, StreamSource, attempt};
use super::wait::pick;
use crate::connection::{Body, BrokenOff};
use crate::process::Entry;

/// Pieces that wait for a caller that reads slowly; the server is then not read either.
const PIECES_WAITING: usize = 16;

/// Time for a stream to be continued; callers leave a stream after two seconds without events.
const RESUME_TIME: Duration = Duration::from_millis(1_900);
/// Time between two looks whether the limits leave a repeat again.
const REPEAT_POLL: Duration = Duration::from_millis(100);

type Pieces = mpsc::Sender<Result<Frame<Bytes>, BrokenOff>>;

/// Begins the answer with the first events of a stream.
pub(crate) fn begin(cx: &Rc<Entry>, mut job: Job, started: Started) -> Response<Body> {
    let Started { mut parts, first, has_ended, source } = started;
    job.trace.first_byte(cx);
    remove_hop_by_hop_headers(&mut parts.headers);
    // The length of a stream that may be continued elsewhere is not known.
    parts.headers.remove(header::CONTENT_LENGTH);
    parts.version = http::Version::HTTP_11;
    parts.extensions.clear();
    let (tx, mut rx) = mpsc::channel(PIECES_WAITING);
    if !first.is_empty() && tx.try_send(Ok(Frame::data(first))).is_err() {
        tracing::debug!("stream: caller gone before its first event");
    }
    if has_ended {
        job.trace.end("answered", parts.status);
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
    tx: Pieces,
) {
    loop {
        let piece = tokio::select! {
            biased;
            () = tx.closed() => return job.trace.end("caller_left", status),
            piece = source.next(&cx, &job) => piece,
        };
        match piece {
            Piece::Data(data) => {
                if tx.send(Ok(Frame::data(data))).await.is_err() {
                    return job.trace.end("caller_left", status);
                }
            }
            Piece::End => {
                job.trace.end("answered", status);
                return source.finish(&cx);
            }
            Piece::Broken(reason) => {
                job.trace.note(reason);
                let last_event = source.last_id().map(Box::<str>::from);
                // The connection to the former server is closed before the next one is asked.
                source.abandon(&cx);
                let resumed = tokio::select! {
                    () = tx.closed() => return job.trace.end("caller_left", status),
                    resumed = resume(&cx, &mut job, last_event) => resumed,
                };
                let Some(started) = resumed else {
                    job.trace.end("broke_off", status);
                    if tx.send(Err(BrokenOff::Incomplete)).await.is_err() {
                        tracing::debug!("stream: caller gone as well");
                    }
                    return;
                };
                if !started.first.is_empty()
                    && tx.send(Ok(Frame::data(started.first))).await.is_err()
                {
                    return job.trace.end("caller_left", status);
                }
                if started.has_ended {
                    job.trace.end("answered", status);
                    return started.source.finish(&cx);
                }
                source = started.source;
            }
        }
    }
}

/// Continues a stream after `last_event` at another server.
async fn resume(cx: &Rc<Entry>, job: &mut Job, last_event: Option<Box<str>>) -> Option<Started> {
    let last_event = last_event.or_else(|| job.facts.last_event.clone());
    job.offer_by = job.deadline.min(Instant::now() + RESUME_TIME);
    while job.may_run_again() && Instant::now() < job.offer_by {
        if !cx.take_repeat(&job.service) {
            tokio::time::sleep(REPEAT_POLL).await;
            continue;
        }
        let picked = pick(cx, job).await.ok()?;
        cx.metrics.repeats.inc();
        let attempted = attempt(cx, job, &picked, last_event.as_deref(), false).await;
        job.trace.sent(&picked, &attempted);
        job.tried.push(picked.id);
        match attempted {
            Attempted::Stream(started) => {
                job.runs.may_have_run();
                return Some(*started);
            }
            Attempted::NotSent => {}
            Attempted::NotRun(_) => job.runs.rejected(),
            Attempted::Lost(_) | Attempted::Whole(..) => job.runs.may_have_run(),
        }
    }
    if job.route.kind.may_run_again() {
        job.trace.note("not continued in time");
    }
    None
}
