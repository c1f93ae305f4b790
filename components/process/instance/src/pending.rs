//! What lives for one request of a caller.

use admission::Admitted;
use bytes::Bytes;
use dispatch::{Queued, Request};
use front::{Problem, Reply, Secret, StreamItem};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use idempotency::{ClaimId, Fingerprint, KeyHash};
use tokio::sync::{mpsc, oneshot};
use types::prelude::*;

/// A request from its admission to its one reply.
pub(crate) struct Pending {
    pub(crate) id: RequestId,
    pub(crate) arrived_at: Instant,
    pub(crate) admitted: Admitted,
    pub(crate) job: Job,
    pub(crate) stage: Stage,
    /// `None` while an attempt holds it.
    pub(crate) reply: Option<ReplySlot>,
    /// Replicas that failed this request.
    pub(crate) excluded: Vec<ReplicaRef>,
    /// Set if the request must be served in this data centre: it was forwarded here, or could not
    /// be forwarded.
    pub(crate) is_local: bool,
    /// Backend servers of a plain service that failed this request.
    pub(crate) excluded_servers: Vec<BackendServerId>,
    /// Set if the request found no ready replica.
    pub(crate) was_cold: bool,
}

/// Where a request stands.
pub(crate) enum Stage {
    /// It waits in the admission queue.
    Waiting(Request<Queued>),
    /// Its idempotency key is being recorded.
    Claiming(Request<Queued>),
    /// An attempt runs; the attempt holds the typestate.
    Running,
}

/// What a request asks for.
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
    /// Whether the catalogue allows to repeat the call.
    pub(crate) idempotent: bool,
    /// Key to record before the call is dispatched.
    pub(crate) key: Option<(KeyHash, Fingerprint)>,
    /// The claim, once the key is recorded for this call.
    pub(crate) claim: Option<ClaimId>,
}

/// Where the answer goes.
pub(crate) enum ReplySlot {
    /// Nothing was sent to the caller.
    Unused(oneshot::Sender<Reply>),
    /// A stream was begun.
    Streaming(mpsc::Sender<StreamItem>),
}

impl ReplySlot {
    /// Completes when the caller has gone away.
    pub(crate) async fn closed(&mut self) {
        match self {
            Self::Unused(reply) => reply.closed().await,
            Self::Streaming(tx) => tx.closed().await,
        }
    }

    /// Ends the request with a refusal.
    pub(crate) fn refuse(self, refusal: Refusal, detail: impl Into<Box<str>>) {
        let problem = Problem::new(refusal, detail);
        // The caller may have gone away; then there is nobody to tell.
        match self {
            Self::Unused(reply) => drop(reply.send(Reply::Refused(problem))),
            Self::Streaming(tx) => {
                tokio::task::spawn_local(async move {
                    let _ = tx.send(StreamItem::Failed(problem)).await;
                });
            }
        }
    }

    /// Ends the request with a whole answer.
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
    /// Takes the typestate out of a waiting or claiming request.
    pub(crate) fn take_queued(&mut self) -> Option<Request<Queued>> {
        match std::mem::replace(&mut self.stage, Stage::Running) {
            Stage::Waiting(request) | Stage::Claiming(request) => Some(request),
            Stage::Running => None,
        }
    }
}
