//! Messages between the HTTP servers and the instance's event loop.

use std::fmt;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use tokio::sync::{mpsc, oneshot};
use types::hash::sha256_hex;
use types::prelude::*;

use crate::Problem;

/// Client accounts by the SHA-256 hash of their bearer keys.
pub type KeyTable = HashMap<Box<str>, ClientAccountId>;

/// Returns the SHA-256 hash of a bearer key in lower-case hex.
pub fn hash_key(key: &str) -> Box<str> {
    sha256_hex(key.as_bytes())
}

/// Text that must not be logged; its `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps `text`.
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the text, to forward it to another data centre.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// A valid request of an authenticated caller.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Identifier of the request, also returned to the caller.
    pub request: RequestId,
    /// Client account to which the caller's key belongs.
    pub client_account: ClientAccountId,
    /// The `Authorization` header, to forward the request to another data centre.
    pub authorization: Secret,
    /// Whether another instance forwarded the request. Such a request is not forwarded again.
    pub is_forwarded: bool,
    /// Time at which the headers of the request had been read.
    pub arrived_at: Instant,
    /// Deadline that the caller set for the complete response.
    pub deadline: Option<Instant>,
    /// Urgency class that the caller requested.
    pub class: Option<ClassId>,
    /// Key by which a retry of the call is recognised.
    pub idempotency_key: Option<Box<str>>,
    /// The requested operation.
    pub call: Call,
    /// Channel for the reply, closed when the caller disconnects.
    pub reply: oneshot::Sender<Reply>,
}

/// Operation that a caller requests.
#[derive(Debug)]
pub enum Call {
    /// List the models that the client account may use.
    Models,
    /// A completion by a model.
    Completion {
        /// Path of the request, which is the same on the engine.
        path: &'static str,
        /// The model and, optionally, the adapter.
        target: Target,
        /// Whether the caller asked for a streamed response.
        stream: bool,
        /// First bytes of the prompt text, for prefix affinity.
        prompt: Box<[u8]>,
        /// The body as received.
        body: Bytes,
    },
    /// A call to a plain service.
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

/// Reply of the event loop to a caller.
#[derive(Debug)]
pub enum Reply {
    /// A refusal.
    Refused(Problem),
    /// A complete response.
    Complete {
        /// HTTP status.
        status: StatusCode,
        /// Headers to pass on.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// A stream of server-sent events, which must end with `End` or `Failed`. If the sender is
    /// dropped earlier, the connection is closed without an end marker.
    Stream(mpsc::Receiver<StreamItem>),
}

/// One item of a streamed response.
#[derive(Debug)]
pub enum StreamItem {
    /// A chunk of JSON text.
    Chunk(Box<str>),
    /// The response is complete.
    End,
    /// The response failed and ends here.
    Failed(Problem),
}

/// A request to the operators' server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Whether the instance accepts requests.
    Ready,
    /// Metrics in the text exposition format.
    Metrics,
    /// Status of the instance.
    Status,
    /// Service-level state of this instance, which the reader merges with that of the others.
    Burn,
}

/// A request to the operators' server and the channel for its reply.
#[derive(Debug)]
pub struct OperatorQuery {
    /// The request.
    pub request: OperatorRequest,
    /// Channel for the reply.
    pub reply: oneshot::Sender<OperatorReply>,
}

/// Reply to an operator.
#[derive(Debug)]
pub struct OperatorReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Bytes,
}
