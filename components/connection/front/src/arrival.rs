//! Events that the servers send to the instance's loop, and the loop's answers.

use std::fmt;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use tokio::sync::{mpsc, oneshot};
use types::hash::sha256_hex;
use types::prelude::*;

use crate::Problem;

/// Client accounts by the SHA-256 hash of their bearer keys.
pub type KeyTable = HashMap<Box<str>, ClientAccountId>;

/// The SHA-256 hash of a bearer key in lower-case hex.
pub fn hash_key(key: &str) -> Box<str> {
    sha256_hex(key.as_bytes())
}

/// Text that must not reach the log.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps `text`.
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// The text, for sending it on.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// A well-formed request of an authenticated caller.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Identifier, also sent to the caller.
    pub request: RequestId,
    /// Client account whose key the caller presented.
    pub client_account: ClientAccountId,
    /// The `Authorization` header, to forward the request to another data centre.
    pub authorization: Secret,
    /// Set if another instance forwarded the request; it is not forwarded again.
    pub is_forwarded: bool,
    /// Time at which the head of the request was read.
    pub arrived_at: Instant,
    /// Deadline that the caller set for the whole answer.
    pub deadline: Option<Instant>,
    /// Urgency class that the caller named.
    pub class: Option<ClassId>,
    /// Key under which a repeat of the call is recognised.
    pub idempotency_key: Option<Box<str>>,
    /// What the caller asks for.
    pub call: Call,
    /// Takes the one answer. It is closed when the caller goes away.
    pub reply: oneshot::Sender<Reply>,
}

/// What a caller asks for.
#[derive(Debug)]
pub enum Call {
    /// The list of models that the client account may use.
    Models,
    /// A completion by a model.
    Completion {
        /// Path on the engine.
        path: &'static str,
        /// The model, with or without an adapter.
        target: Target,
        /// Whether the answer is streamed.
        stream: bool,
        /// Beginning of the prompt text, for prefix affinity.
        prompt: Box<[u8]>,
        /// The body as received.
        body: Bytes,
    },
    /// A call of a plain service.
    Service {
        /// The service.
        service: ServiceId,
        /// HTTP method.
        method: Method,
        /// Path and query below `/services/NAME`, beginning with a slash.
        path: Box<str>,
        /// Content type of the body.
        content_type: Option<Box<str>>,
        /// The body as received.
        body: Bytes,
    },
}

/// The loop's answer to a caller.
#[derive(Debug)]
pub enum Reply {
    /// A refusal.
    Refused(Problem),
    /// A whole answer.
    Complete {
        /// Status.
        status: StatusCode,
        /// Headers to pass on.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// A stream of server-sent events. It must end with `End` or `Failed`; a stream that ends
    /// otherwise closes the connection without an end marker.
    Stream(mpsc::Receiver<StreamItem>),
}

/// One item of a streamed answer.
#[derive(Debug)]
pub enum StreamItem {
    /// A chunk of JSON text.
    Chunk(Box<str>),
    /// The answer is complete.
    End,
    /// The answer cannot be completed.
    Failed(Problem),
}

/// A question on the operators' address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Whether the instance takes requests.
    Ready,
    /// Metrics in text format.
    Metrics,
    /// State of the instance.
    Status,
    /// Service-level state, to be merged with that of other instances.
    Burn,
}

/// A question on the operators' address and where to send the answer.
#[derive(Debug)]
pub struct OperatorQuery {
    /// The question.
    pub request: OperatorRequest,
    /// Takes the answer.
    pub reply: oneshot::Sender<OperatorReply>,
}

/// Answer to an operator.
#[derive(Debug)]
pub struct OperatorReply {
    /// Status.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Bytes,
}
