//! State of a caller's request from its admission to its reply.

use admission::Admitted;
use bytes::Bytes;
use dispatch::{Queued, Request};
use front::{Problem, Reply, Secret, StreamItem};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use idempotency::{ClaimId, Fingerprint, KeyHash};
use tokio::sync::{mpsc, oneshot};
use types::prelude::*;

/// An admitted request that has not been answered yet.
pub(crate) struct Pending {
    pub(crate) id: RequestId,
    pub(crate) arrived_at: Instant,
    pub(crate) admitted: Admitted,
    pub(crate) job: Job,
    pub(crate) stage: Stage,
    /// The reply to the caller; `None` while an attempt owns it.
    pub(crate) reply: Option<ReplySlot>,
    /// Replicas that failed this request.
    pub(crate) excluded_replicas: Vec<ReplicaRef>,
    /// Set if the request must be served in this data centre: it was forwarded here, or could not
    /// be forwarded.
    pub(crate) is_local_only: bool,
    /// Backend servers of a plain service that failed this request.
    pub(crate) excluded_servers: Vec<BackendServerId>,
    /// Set if no replica of the model was ready when the request arrived.
    pub(crate) was_cold: bool,
}

/// Stage of a pending request.
pub(crate) enum Stage {
    /// The request waits in the admission queue.
    Waiting(Request<Queued>),
    /// The owner of the key range decides on the request's idempotency key.
    Claiming(Request<Queued>),
    /// An attempt runs and owns the request's typestate.
    Running,
}

/// The work that a request asks for.
#[derive(Clone)]
pub(crate) enum Job {
    /// A completion by a model.
    Completion(CompletionJob),
    /// A call of a plain service.
    Service(ServiceJob),
}

/// A completion by a model.
#[derive(Clone)]
pub(crate) struct CompletionJob {
    pub(crate) path: &'static str,
    pub(crate) target: Target,
    pub(crate) stream: bool,
    /// Hashes of the prompt's prefixes, shortest first.
    pub(crate) prefixes: Vec<u64>,
    pub(crate) body: Bytes,
    /// The caller's authorization, for forwarding.
    pub(crate) authorization: Secret,
}

/// A call of a plain service.
#[derive(Clone)]
pub(crate) struct ServiceJob {
    pub(crate) service: ServiceId,
    pub(crate) method: Method,
    pub(crate) path: Box<str>,
    pub(crate) content_type: Option<Box<str>>,
    pub(crate) body: Bytes,
    /// Whether the catalogue allows the call to run more than once.
    pub(crate) idempotent: bool,
    /// Idempotency key to claim before the call is dispatched.
    pub(crate) key: Option<(KeyHash, Fingerprint)>,
    /// The claim, once it is granted to this call.
    pub(crate) claim: Option<ClaimId>,
}

/// Channel to the caller.
pub(crate) enum ReplySlot {
    /// Nothing has been sent to the caller yet.
    Unused(oneshot::Sender<Reply>),
    /// A stream to the caller has started.
    Streaming(mpsc::Sender<StreamItem>),
}

impl ReplySlot {
    /// Completes when the caller has disconnected.
    pub(crate) async fn closed(&mut self) {
        match self {
            Self::Unused(reply) => reply.closed().await,
            Self::Streaming(tx) => tx.closed().await,
        }
    }

    /// Ends the request with a refusal.
    pub(crate) fn refuse(self, refusal: Refusal, detail: impl Into<Box<str>>) {
        let problem = Problem::new(refusal, detail);
        // If the caller has disconnected, the refusal is dropped.
        match self {
            Self::Unused(reply) => drop(reply.send(Reply::Refused(problem))),
            Self::Streaming(tx) => {
                tokio::task::spawn_local(async move {
                    let _ = tx.send(StreamItem::Failed(problem)).await;
                });
            }
        }
    }

    /// Ends the request with a complete answer.
    pub(crate) fn answer(self, status: StatusCode, content_type: &str, body: Bytes) {
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(content_type) {
            headers.insert(http::header::CONTENT_TYPE, value);
        }
        if let Self::Unused(reply) = self {
            let _ = reply.send(Reply::Complete { status, headers, body });
        }
    }
}

impl Pending {
    /// Returns the typestate of a waiting or claiming request, whose stage becomes `Running`.
    pub(crate) fn take_queued(&mut self) -> Option<Request<Queued>> {
        match std::mem::replace(&mut self.stage, Stage::Running) {
            Stage::Waiting(request) | Stage::Claiming(request) => Some(request),
            Stage::Running => None,
        }
    }
}
