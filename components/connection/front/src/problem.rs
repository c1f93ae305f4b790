//! Problem documents (RFC 9457).

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;
use types::prelude::*;

use crate::body::{ResponseBody, full_body};

/// Header with the identifier of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header of refusals with the verdict, for callers that do not parse problem documents.
pub const VERDICT_HEADER: &str = "x-verdict";

/// A refusal with an explanation for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Verdict, reason and earliest time at which a retry is useful.
    pub refusal: Refusal,
    /// What went wrong and what the caller can do.
    pub detail: Box<str>,
}

#[derive(Serialize)]
struct ProblemDocument<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    verdict: Verdict,
    reason: Reason,
    request_id: &'a str,
}

impl Problem {
    /// Creates a problem with `detail` as its explanation.
    pub fn new(refusal: Refusal, detail: impl Into<Box<str>>) -> Self {
        Self { refusal, detail: detail.into() }
    }

    /// Serialises the problem as a JSON problem document.
    pub fn to_json(&self, request: &str) -> Bytes {
        let reason = serde_json::to_value(self.refusal.reason).unwrap_or_default();
        let document = ProblemDocument {
            r#type: format!("urn:sequoiawell:problem:{}", reason.as_str().unwrap_or("unknown")),
            title: title(self.refusal.reason),
            status: self.status().as_u16(),
            detail: &self.detail,
            verdict: self.refusal.verdict,
            reason: self.refusal.reason,
            request_id: request,
        };
        serde_json::to_vec(&document).unwrap_or_default().into()
    }

    /// Returns the HTTP status that corresponds to the reason.
    pub fn status(&self) -> StatusCode {
        match self.refusal.reason {
            Reason::BadRequest => StatusCode::BAD_REQUEST,
            Reason::UnknownKey => StatusCode::UNAUTHORIZED,
            Reason::UnknownModel => StatusCode::NOT_FOUND,
            Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::LimitReached => StatusCode::TOO_MANY_REQUESTS,
            Reason::IdempotencyPending => StatusCode::CONFLICT,
            Reason::IdempotencyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Reason::BackendFailed => StatusCode::BAD_GATEWAY,
            Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Reason::DeadlineUnreachable
            | Reason::QueueFull
            | Reason::NoCapacity
            | Reason::RecordUnavailable
            | Reason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    pub(crate) fn into_response(self, request: &str, now: Instant) -> Response<ResponseBody> {
        let mut res = Response::new(full_body(self.to_json(request)));
        *res.status_mut() = self.status();
        let headers = res.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        let verdict = match self.refusal.verdict {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
        };
        headers.insert(VERDICT_HEADER, HeaderValue::from_static(verdict));
        if let Some(at) = self.refusal.retry_at {
            // `Retry-After` is in whole seconds; it is rounded up so that a retry is not too early.
            let seconds = at.saturating_duration_since(now).as_millis().div_ceil(1000);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds as u64));
        }
        res
    }
}

fn title(reason: Reason) -> &'static str {
    match reason {
        Reason::BadRequest => "The request is malformed",
        Reason::UnknownKey => "The bearer key is missing or unknown",
        Reason::UnknownModel => {
            "The model, adapter or service is not available to this client account"
        }
        Reason::BodyTooLarge => "The body is too large",
        Reason::DeadlineUnreachable => "The deadline cannot be met",
        Reason::DeadlinePassed => "The deadline has passed",
        Reason::LimitReached => "The client account's limit is used up",
        Reason::QueueFull => "The queue is full",
        Reason::NoCapacity => "No backend server can take the request",
        Reason::BackendFailed => "The backend server failed",
        Reason::IdempotencyPending => "A call with the same idempotency key is in progress",
        Reason::IdempotencyMismatch => "The idempotency key was used with another body",
        Reason::RecordUnavailable => "The idempotency key could not be recorded",
        Reason::Stopping => "The instance is stopping",
    }
}
