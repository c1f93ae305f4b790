//! Responses to requests: complete ones and streams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Response, StatusCode};
use hyper::body::Frame;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::attempt::{Attempt, Reader, Status};
use super::state::{Inner, consume_fault};
use super::text;
use crate::http_server::{self, Body, CloseConnection, ErrorResponse, HandlerResult};

/// Marks the end of a complete stream.
const END_MARKER: &str = "data: [DONE]\n\n";

/// Delay before a stream breaks off, so that the events before the break are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(2);

/// Faults that apply to one response.
#[derive(Debug)]
struct ResponseFaults {
    close_at_end: bool,
    break_after: Option<u64>,
    omit_end_marker: bool,
    wrong_attempt_id: bool,
}

impl ResponseFaults {
    fn consume(inner: &Inner, is_stream: bool) -> Self {
        let faults = &mut inner.state().faults;
        let break_after = (is_stream && consume_fault(&mut faults.break_streams))
            .then_some(faults.break_streams_after);
        Self {
            close_at_end: break_after.is_none() && consume_fault(&mut faults.close_after_run),
            break_after,
            omit_end_marker: is_stream && consume_fault(&mut faults.omit_end_markers),
            wrong_attempt_id: consume_fault(&mut faults.wrong_attempt_ids),
        }
    }
}

fn with_attempt_id(
    mut response: Response<Body>,
    attempt: &Attempt,
    is_wrong_id: bool,
) -> Response<Body> {
    let id = match is_wrong_id {
        true => format!("{}-other", attempt.id),
        false => attempt.id.to_string(),
    };
    if let Ok(id) = HeaderValue::from_str(&id) {
        response.headers_mut().insert("x-attempt-id", id);
    }
    response
}

/// Waits until the attempt has ended and returns the complete response.
pub(super) async fn complete_response(inner: &Inner, attempt: Arc<Attempt>) -> HandlerResult {
    let faults = ResponseFaults::consume(inner, false);
    let mut reader = Reader::new(attempt.clone());
    let mut produced = 0;
    let status = loop {
        let (new_produced, status) = reader.wait(produced).await;
        produced = new_produced;
        if status != Status::Running {
            break status;
        }
    };
    if faults.close_at_end || status == Status::Abandoned {
        return Err(CloseConnection);
    }
    if status == Status::Cancelled {
        let error = ErrorResponse::new(StatusCode::CONFLICT, "request was cancelled");
        return Ok(with_attempt_id(error.into(), &attempt, faults.wrong_attempt_id));
    }
    let content: String = (0..produced).map(|n| text::token(attempt.prompt_hash, n)).collect();
    let choice = match attempt.is_chat {
        true => json!({ "index": 0, "finish_reason": "stop",
            "message": { "role": "assistant", "content": content } }),
        false => json!({ "index": 0, "finish_reason": "stop", "text": content }),
    };
    let body = completion_object(&attempt, "", choice, true);
    Ok(with_attempt_id(http_server::json(StatusCode::OK, &body), &attempt, faults.wrong_attempt_id))
}

/// Builds the completion object around one choice.
fn completion_object(attempt: &Attempt, chunk: &str, choice: Value, with_usage: bool) -> Value {
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

/// Builds one server-sent event: token `n`, or the final event after the last token.
fn sse_event(attempt: &Attempt, n: u64) -> String {
    let is_last = n >= attempt.tokens;
    let text = if is_last { String::new() } else { text::token(attempt.prompt_hash, n) };
    let finish = if is_last { json!("stop") } else { Value::Null };
    let choice = match attempt.is_chat {
        true if is_last => json!({ "index": 0, "delta": {}, "finish_reason": finish }),
        true => json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish }),
        false => json!({ "index": 0, "text": text, "finish_reason": finish }),
    };
    format!("id: {n}\ndata: {}\n\n", completion_object(attempt, ".chunk", choice, is_last))
}

/// State of one event stream.
struct EventStream {
    reader: Reader,
    next: u64,
    faults: ResponseFaults,
}

impl EventStream {
    /// Waits for the next events. The flag tells whether they are the last.
    async fn next(&mut self) -> Result<(String, bool), CloseConnection> {
        if self.faults.break_after.is_some_and(|after| self.next >= after) {
            // When a body fails, `hyper` drops what it has not flushed; the delay lets it flush.
            sleep(FLUSH_DELAY).await;
            return Err(CloseConnection);
        }
        let (produced, status) = self.reader.wait(self.next).await;
        let attempt = &self.reader.attempt;
        let end = self.faults.break_after.map_or(produced, |after| after.min(produced));
        let mut events: String = (self.next..end).map(|n| sse_event(attempt, n)).collect();
        self.next = self.next.max(end);
        if !events.is_empty() || status == Status::Running {
            return Ok((events, false));
        }
        if status != Status::Finished || self.faults.close_at_end {
            return Err(CloseConnection);
        }
        events.push_str(&sse_event(attempt, attempt.tokens));
        if !self.faults.omit_end_marker {
            events.push_str(END_MARKER);
        }
        Ok((events, true))
    }
}

/// Streams the response from token `from` on.
pub(super) fn stream_response(inner: &Inner, attempt: Arc<Attempt>, from: u64) -> Response<Body> {
    let faults = ResponseFaults::consume(inner, true);
    let is_wrong_id = faults.wrong_attempt_id;
    let event_stream = EventStream { reader: Reader::new(attempt.clone()), next: from, faults };
    let events = stream::unfold(Some(event_stream), async |event_stream| {
        let mut event_stream = event_stream?;
        match event_stream.next().await {
            Ok((events, is_last)) => {
                let frame = Frame::data(Bytes::from(events));
                Some((Ok(frame), (!is_last).then_some(event_stream)))
            }
            Err(closed) => Some((Err(closed), None)),
        }
    });
    let response = http_server::stream_response("text/event-stream", events);
    with_attempt_id(response, &attempt, is_wrong_id)
}
