//! Calls that only engines offer: state, orders, cancel, resume and cache events.

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use types::load_report::LOADS_ONLY;
use types::prelude::*;

use crate::{BackendClient, Connection, SendError, TokenStream};

/// Answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The backend server carries the order out.
    Accepted,
    /// The order's fencing number is out of date; the order is not carried out.
    Stale,
    /// The backend server refused the order; it is not carried out.
    Refused(Box<str>),
}

/// Changes of prefix caches since a sequence number. Late, and gaps are possible.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number to ask from next time.
    pub next: u64,
    /// The changes.
    pub events: Vec<CacheEvent>,
}

/// One change of a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the stream of events; a missing number is a lost event.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The replica whose cache changed.
    pub replica: ReplicaId,
    /// Hash of the prompt prefix.
    pub prefix: u64,
}

/// What happened to a prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}

impl BackendClient {
    /// Fetches the state of an engine. An engine that can do so answers with the load figures only
    /// while nothing else has changed since the last answer (delta encoding, RFC 3229).
    pub async fn state(&self, address: &str, deadline: Instant) -> Result<ServerReport, SendError> {
        let mut req = request(Method::GET, address, "/v1/state", Bytes::new())?;
        let known = self.known.get(address);
        if let Some((revision, _)) = &known {
            req.headers_mut().insert(header::IF_NONE_MATCH, revision.clone());
            req.headers_mut().insert("a-im", HeaderValue::from_static(LOADS_ONLY));
        }
        let answer = self.send_and_collect(req, deadline).await?;
        let revision = answer.headers().get(header::ETAG);
        match answer.status() {
            StatusCode::IM_USED => {
                let known = known.filter(|(known, _)| Some(known) == revision);
                let loads: LoadReport = from_json(answer.body())?;
                known.and_then(|(_, report)| loads.apply(&report)).ok_or_else(|| {
                    self.known.forget(address);
                    SendError::Malformed("load figures of another report".into())
                })
            }
            status if status.is_success() => {
                let report: ServerReport = from_json(answer.body())?;
                match revision {
                    Some(revision) => self.known.set(address, revision.clone(), &report),
                    None => self.known.forget(address),
                }
                Ok(report)
            }
            status => Err(SendError::Malformed(format!("status {status}").into())),
        }
    }

    /// Fetches cache events from sequence number `since` on.
    pub async fn cache_events(
        &self,
        address: &str,
        since: u64,
        deadline: Instant,
    ) -> Result<CacheEvents, SendError> {
        self.get_json(address, &format!("/v1/cache-events?since={since}"), deadline).await
    }

    /// Sends an order once. After an error other than `NotSent` the outcome is unknown.
    pub async fn order(
        &self,
        address: &str,
        order: &Order,
        deadline: Instant,
    ) -> Result<OrderReply, SendError> {
        let body =
            serde_json::to_vec(order).map_err(|e| SendError::Invalid(e.to_string().into()))?;
        let req = request(Method::POST, address, "/v1/orders", body.into())?;
        let answer =
            Connection::open(address, deadline).await?.send_and_collect(req, deadline).await?;
        let text = || String::from_utf8_lossy(answer.body()).into();
        match answer.status() {
            StatusCode::ACCEPTED | StatusCode::OK => Ok(OrderReply::Accepted),
            StatusCode::CONFLICT => Ok(OrderReply::Stale),
            StatusCode::UNPROCESSABLE_ENTITY => Ok(OrderReply::Refused(text())),
            status => Err(SendError::Malformed(format!("status {status}").into())),
        }
    }

    /// Asks an engine to stop working on an attempt.
    pub async fn cancel(
        &self,
        address: &str,
        attempt: &str,
        deadline: Instant,
    ) -> Result<(), SendError> {
        let path = format!("/v1/requests/{attempt}");
        let req = request(Method::DELETE, address, &path, Bytes::new())?;
        self.send_and_collect(req, deadline).await.map(|_| ())
    }

    /// Resumes the stream of an attempt at sequence number `from`; `None` if the engine no longer
    /// has it.
    pub async fn resume(
        &self,
        address: &str,
        attempt: &str,
        from: u64,
        deadline: Instant,
    ) -> Result<Option<TokenStream>, SendError> {
        let path = format!("/v1/requests/{attempt}/stream?from={from}");
        let req = request(Method::GET, address, &path, Bytes::new())?;
        let answer = self.send(req, deadline).await?;
        Ok(answer.status().is_success().then(|| TokenStream::new(answer.into_body())))
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        deadline: Instant,
    ) -> Result<T, SendError> {
        let req = request(Method::GET, address, path, Bytes::new())?;
        let answer = self.send_and_collect(req, deadline).await?;
        if !answer.status().is_success() {
            return Err(SendError::Malformed(format!("status {}", answer.status()).into()));
        }
        from_json(answer.body())
    }
}

fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, SendError> {
    serde_json::from_slice(body).map_err(|e| SendError::Malformed(e.to_string().into()))
}

fn request(
    method: Method,
    address: &str,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, SendError> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|e| SendError::Invalid(e.to_string().into()))
}
