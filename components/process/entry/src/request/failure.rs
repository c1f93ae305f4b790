//! Counts the sends of a request, and builds the response of a request that fails.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use rand::Rng;

use crate::connection::Body;

/// Largest random addition to `Retry-After`, so that callers that were refused at the same time do
/// not retry at the same time.
pub(super) const RETRY_AFTER_JITTER: Duration = Duration::from_millis(600);

/// Reason of a request without a key that the configuration knows.
pub(crate) const UNKNOWN_KEY: &str = "unknown_key";

/// Counts the sends of one request that may have reached a server, and those after which the server
/// may have run it. Only this type determines the status of a failure: 503, which promises that the
/// request was not run, and 401 are returned only if no server may have run it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sends {
    /// Sends that reached a server or may have reached it.
    reached: u32,
    /// Sends after which the server may have run the request.
    may_have_run: u32,
}

/// Why a request fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No server could be reached in time.
    NoServer,
    /// The model cannot be loaded in time.
    ModelNotInTime,
    /// Servers rejected the request without running it.
    Rejected,
    /// All servers that could run it have a full queue.
    Full,
    /// A server may have run the request, and its response was lost.
    AnswerLost,
    /// The deadline passed.
    TimeOver,
    /// All servers that could run it asked for a pause.
    Paused,
    /// Requests like it end the servers that run them.
    Quarantined,
    /// The key was taken away after the request was admitted.
    UnknownKey,
    /// The key was given to another account after the request was admitted.
    KeyMoved,
    /// The instance is shutting down or is not yet ready.
    NotServing,
}

impl Failure {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::ModelNotInTime => "model_not_in_time",
            Self::Rejected => "rejected",
            Self::Full => "full",
            Self::AnswerLost => "answer_lost",
            Self::TimeOver => "time_over",
            Self::Paused => "paused",
            Self::Quarantined => "quarantined",
            Self::UnknownKey => UNKNOWN_KEY,
            Self::KeyMoved => "key_moved",
            Self::NotServing => "not_serving",
        }
    }
}

impl Sends {
    /// Records a send to a server that reported that it did not run the request.
    pub(crate) fn record_not_run(&mut self) {
        self.reached += 1;
    }

    /// Records a send after which the server may have run the request.
    pub(crate) fn record_may_have_run(&mut self) {
        self.reached += 1;
        self.may_have_run += 1;
    }

    /// Whether a send may have reached a server, which makes the next send a retry.
    pub(crate) fn has_reached_server(&self) -> bool {
        self.reached > 0
    }

    /// Number of sends after which the server may have run the request.
    pub(crate) fn possible_runs(&self) -> u32 {
        self.may_have_run
    }

    /// The status of the failed request: 503 or 401 only if no server may have run it.
    pub(crate) fn status(&self, failure: Failure) -> StatusCode {
        match failure {
            Failure::UnknownKey if self.may_have_run == 0 => StatusCode::UNAUTHORIZED,
            _ if self.may_have_run == 0 => StatusCode::SERVICE_UNAVAILABLE,
            Failure::TimeOver => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    /// The response of the failed request; `retry_after` is when the cause of the failure is
    /// expected to be over.
    pub(crate) fn failure_response(
        &self,
        failure: Failure,
        retry_after: Duration,
    ) -> Response<Body> {
        let status = self.status(failure);
        match status {
            StatusCode::SERVICE_UNAVAILABLE => {
                refusal_response(status, failure.as_str(), retry_after)
            }
            _ => text_response(status, failure.as_str()),
        }
    }
}

/// A response that promises that the request was not run. The random addition keeps callers that
/// were refused at the same time from coming back at the same time.
pub(super) fn refusal_response(
    status: StatusCode,
    reason: &'static str,
    retry_after: Duration,
) -> Response<Body> {
    let mut response = text_response(status, reason);
    let wait = retry_after + RETRY_AFTER_JITTER.mul_f64(rand::rng().random());
    let seconds = format!("{:.2}", wait.as_secs_f64());
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// A plain-text response of this instance.
pub(crate) fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let body = Full::new(text.into()).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

#[cfg(test)]
mod tests;
