//! Errors of calls to backend servers.

use quick_error::quick_error;
use types::prelude::*;

quick_error! {
    /// Reason why a call to a backend server returned no usable response.
    #[derive(Debug)]
    pub enum SendError {
        /// The connection could not be established, so no byte of the request was sent.
        NotSent(text: Box<str>) {
            display("could not connect to the backend server: {text}")
        }
        /// The connection or the response was interrupted after bytes may have been sent.
        Interrupted(text: Box<str>) {
            display("connection to the backend server was interrupted: {text}")
        }
        /// The deadline passed after bytes may have been sent.
        DeadlinePassed {
            display("backend server did not respond before the deadline")
        }
        /// The response is malformed or has an unexpected status.
        Malformed(text: Box<str>) {
            display("backend server sent a malformed response: {text}")
        }
        /// The address or the request is malformed; nothing was sent.
        Invalid(text: Box<str>) {
            display("invalid request to a backend server: {text}")
        }
    }
}

impl SendError {
    /// Returns whether the request may have run on the backend server.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NotSent(_) | Self::Invalid(_) => Verdict::NotRun,
            Self::Interrupted(_) | Self::DeadlinePassed | Self::Malformed(_) => Verdict::MayHaveRun,
        }
    }
}
