//! Answers to requests: whole ones and streams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Response, StatusCode};
use hyper::body::Frame;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::attempt::{Attempt, Reader, Status};
use super::state::{Inner, take};
use super::text;
use crate::http_server::{self, Answer, Body, Closed, Refused};

/// Marks the end of a complete stream.
const END_MARKER: &str = "data: [DONE]\n\n";

/// Pause before a stream is broken off, so that the events before the break arrive.
const FLUSH_PAUSE: Duration = Duration::from_millis(2);

/// Faults that hit one answer.
#[derive(Debug)]
struct AnswerFaults {
    close_at_end: bool,
    break_after: Option<u64>,
    omit_end_marker: bool,
    wrong_attempt_id: bool,
}

impl AnswerFaults {
    fn take(inner: &Inner, is_stream: bool) -> Self {
        let faults = &mut inner.state().faults;
        let break_after =
            (is_stream && take(&mut faults.break_streams)).then_some(faults.break_streams_after);
        Self {
            close_at_end: break_after.is_none() && take(&mut faults.close_after_run),
            break_after,
            omit_end_marker: is_stream && take(&mut faults.omit_end_markers),
            wrong_attempt_id: take(&mut faults.wrong_attempt_ids),
        }
    }
}

fn named(mut answer: Response<Body>, attempt: &Attempt, wrong_id: bool) -> Response<Body> {
    let id = match wrong_id {
        true => format!("{}-other", attempt.id),
        false => attempt.id.to_string(),
    };
    if let Ok(id) = HeaderValue::from_str(&id) {
        answer.headers_mut().insert("x-attempt-id", id);
    }
    answer
}

/// Waits for the whole answer.
pub(super) async fn whole(inner: &Inner, attempt: Arc<Attempt>) -> Answer {
    let faults = AnswerFaults::take(inner, false);
    let mut reader = Reader::new(attempt.clone());
    let mut produced = 0;
    let status = loop {
        let (now_produced, status) = reader.wait(produced).await;
        produced = now_produced;
        if status != Status::Running {
            break status;
        }
    };
    if faults.close_at_end || status == Status::Abandoned {
        return Err(Closed);
    }
    if status == Status::Cancelled {
        let refused = Refused::new(StatusCode::CONFLICT, "request was cancelled");
        return Ok(named(refused.into(), &attempt, faults.wrong_attempt_id));
    }
    let content: String = (0..produced).map(|n| text::token(attempt.prompt_hash, n)).collect();
    let choice = match attempt.is_chat {
        true => json!({ "index": 0, "finish_reason": "stop",
            "message": { "role": "assistant", "content": content } }),
        false => json!({ "index": 0, "finish_reason": "stop", "text": content }),
    };
    let body = completion(&attempt, "", choice, true);
    Ok(named(http_server::json(StatusCode::OK, &body), &attempt, faults.wrong_attempt_id))
}

/// The usual object around one choice.
fn completion(attempt: &Attempt, chunk: &str, choice: Value, with_usage: bool) -> Value {
    let (prefix, object) = match attempt.is_chat {
        true => ("chatcmpl", format!("chat.completion{chunk}")),
        false => ("cmpl", "text_completion".to_owned()),
    };
    let mut body = json!({
        "id": format!("{prefix}-{}", attempt.id),
        "object": object,
        "model": attempt.target,
        "choices": [choice],
        "prompt_hash": format!("{:016x}", attempt.prompt_hash),
    });
    if with_usage {
        body["usage"] = json!({
            "prompt_tokens": attempt.prompt_tokens,
            "completion_tokens": attempt.tokens,
            "total_tokens": attempt.prompt_tokens + attempt.tokens,
        });
    }
    body
}

/// One server-sent event: token `n`, or the finishing event after the last token.
fn event(attempt: &Attempt, n: u64) -> String {
    let is_last = n >= attempt.tokens;
    let text = if is_last { String::new() } else { text::token(attempt.prompt_hash, n) };
    let finish = if is_last { json!("stop") } else { Value::Null };
    let choice = match attempt.is_chat {
        true if is_last => json!({ "index": 0, "delta": {}, "finish_reason": finish }),
        true => json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish }),
        false => json!({ "index": 0, "text": text, "finish_reason": finish }),
    };
    format!("id: {n}\ndata: {}\n\n", completion(attempt, ".chunk", choice, is_last))
}

/// A stream in progress.
struct Streaming {
    reader: Reader,
    next: u64,
    faults: AnswerFaults,
}

impl Streaming {
    /// The next events; the flag tells whether they are the last.
    async fn next(&mut self) -> Result<(String, bool), Closed> {
        if self.faults.break_after.is_some_and(|after| self.next >= after) {
            // `hyper` drops what it has not flushed when a body fails; a pause lets it flush.
            sleep(FLUSH_PAUSE).await;
            return Err(Closed);
        }
        let (produced, status) = self.reader.wait(self.next).await;
        let attempt = &self.reader.attempt;
        let end = self.faults.break_after.map_or(produced, |after| after.min(produced));
        let mut events: String = (self.next..end).map(|n| event(attempt, n)).collect();
        self.next = self.next.max(end);
        if !events.is_empty() || status == Status::Running {
            return Ok((events, false));
        }
        if status != Status::Finished || self.faults.close_at_end {
            return Err(Closed);
        }
        events.push_str(&event(attempt, attempt.tokens));
        if !self.faults.omit_end_marker {
            events.push_str(END_MARKER);
        }
        Ok((events, true))
    }
}

/// Streams the answer from token `from` on.
pub(super) fn streamed(inner: &Inner, attempt: Arc<Attempt>, from: u64) -> Response<Body> {
    let faults = AnswerFaults::take(inner, true);
    let wrong_id = faults.wrong_attempt_id;
    let streaming = Streaming { reader: Reader::new(attempt.clone()), next: from, faults };
    let events = stream::unfold(Some(streaming), async |streaming| {
        let mut streaming = streaming?;
        match streaming.next().await {
            Ok((events, is_last)) => {
                let frame = Frame::data(Bytes::from(events));
                Some((Ok(frame), (!is_last).then_some(streaming)))
            }
            Err(closed) => Some((Err(closed), None)),
        }
    });
    let answer = http_server::streamed("text/event-stream", events);
    named(answer, &attempt, wrong_id)
}
