//! What is known of the runs of one request, and the status that may be told.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use rand::Rng;

use crate::connection::Body;

/// Longest random addition to the time after which a caller should come back, so that callers
/// that were refused together do not come back together.
pub(super) const RETURN_SPREAD: Duration = Duration::from_millis(600);

/// What is known of the runs of one request. Only this type picks the status of a failure: a
/// status that promises that the request was not run is told only if no server may have run it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Runs {
    /// Sends that reached a server, as far as known.
    arrivals: u32,
    /// Servers that may have run the request.
    may_have_run: u32,
}

/// Why a request fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No server can take it in time.
    NoServer,
    /// The model cannot be loaded in time.
    ModelNotInTime,
    /// Servers turned it away.
    Rejected,
    /// All servers that could run it have a full queue.
    Full,
    /// The answer was lost.
    AnswerLost,
    /// The time was over.
    TimeOver,
    /// The instance stops or has not started.
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
            Self::NotServing => "not_serving",
        }
    }
}

impl Runs {
    /// A send reached a server that said that it did not run the request.
    pub(crate) fn rejected(&mut self) {
        self.arrivals += 1;
    }

    /// A send reached a server, or may have, and may have been run.
    pub(crate) fn may_have_run(&mut self) {
        self.arrivals += 1;
        self.may_have_run += 1;
    }

    /// Whether the next send is a repeat.
    pub(crate) fn has_arrived(&self) -> bool {
        self.arrivals > 0
    }

    /// Servers that may have run the request.
    pub(crate) fn count(&self) -> u32 {
        self.may_have_run
    }

    /// The status that is true of the request, given why it fails.
    pub(crate) fn status(&self, failure: Failure) -> StatusCode {
        match failure {
            _ if self.may_have_run == 0 => StatusCode::SERVICE_UNAVAILABLE,
            Failure::TimeOver => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    /// The final answer; `return_in` is when the cause of the failure should be over.
    pub(crate) fn failure(&self, failure: Failure, return_in: Duration) -> Response<Body> {
        let status = self.status(failure);
        let mut answer = plain(status, failure.as_str());
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let wait = return_in + RETURN_SPREAD.mul_f64(rand::rng().random());
            let seconds = format!("{:.2}", wait.as_secs_f64());
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                answer.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
        }
        answer
    }
}

/// A short answer of this instance.
pub(crate) fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let body = Full::new(text.into()).map_err(|never| match never {}).boxed_unsync();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    answer
}

#[cfg(test)]
mod tests;
