//! Calls to the engine API: state, orders, cancel, resume and cache events.

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use types::load_report::LOADS_ONLY;
use types::prelude::*;

use crate::{BackendClient, Connection, SendError, TokenStream};

/// Response to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The backend server executes the order.
    Accepted,
    /// The order's fencing number is stale; the order is not executed.
    Stale,
    /// The backend server refused the order with this reason; the order is not executed.
    Refused(Box<str>),
}

/// Changes of prefix caches since a sequence number. Events arrive with a delay and may be lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number from which to fetch next.
    pub next: u64,
    /// The changes.
    pub events: Vec<CacheEvent>,
}

/// One change of a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the event stream; a gap in the numbers means that events were lost.
    pub sequence: u64,
    /// Kind of the change.
    pub kind: CacheEventKind,
    /// The replica whose cache changed.
    pub replica: ReplicaId,
    /// Hash of the prompt prefix.
    pub prefix: u64,
}

/// Kind of a change of a prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

impl BackendClient {
    /// Fetches the state of an engine. An engine that supports delta encoding (RFC 3229) sends only
    /// the load figures while nothing else has changed since its last response.
    pub async fn state(&self, address: &str, deadline: Instant) -> Result<ServerReport, SendError> {
        let mut req = build_request(Method::GET, address, "/v1/state", Bytes::new())?;
        let cached = self.reports.get(address);
        if let Some((revision, _)) = &cached {
            req.headers_mut().insert(header::IF_NONE_MATCH, revision.clone());
            req.headers_mut().insert("a-im", HeaderValue::from_static(LOADS_ONLY));
        }
        let res = self.send_and_collect(req, deadline).await?;
        let revision = res.headers().get(header::ETAG);
        match res.status() {
            StatusCode::IM_USED => {
                let cached = cached.filter(|(cached, _)| Some(cached) == revision);
                let loads: LoadReport = from_json(res.body())?;
                cached.and_then(|(_, report)| loads.apply(&report)).ok_or_else(|| {
                    self.reports.remove(address);
                    SendError::Malformed("load figures do not match the cached report".into())
                })
            }
            status if status.is_success() => {
                let report: ServerReport = from_json(res.body())?;
                match revision {
                    Some(revision) => self.reports.set(address, revision.clone(), &report),
                    None => self.reports.remove(address),
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

    /// Sends an order once. After an error other than `NotSent` or `Invalid`, the outcome is
    /// unknown.
    pub async fn order(
        &self,
        address: &str,
        order: &Order,
        deadline: Instant,
    ) -> Result<OrderReply, SendError> {
        let body =
            serde_json::to_vec(order).map_err(|e| SendError::Invalid(e.to_string().into()))?;
        let req = build_request(Method::POST, address, "/v1/orders", body.into())?;
        let res = Connection::open(address, deadline)
            .await?
            .send_and_collect(req, deadline, &self.memory)
            .await?;
        let text = || String::from_utf8_lossy(res.body()).into();
        match res.status() {
            StatusCode::ACCEPTED | StatusCode::OK => Ok(OrderReply::Accepted),
            StatusCode::CONFLICT => Ok(OrderReply::Stale),
            StatusCode::UNPROCESSABLE_ENTITY => Ok(OrderReply::Refused(text())),
            status => Err(SendError::Malformed(format!("status {status}").into())),
        }
    }

    /// Asks an engine to cancel an attempt.
    pub async fn cancel(
        &self,
        address: &str,
        attempt: &str,
        deadline: Instant,
    ) -> Result<(), SendError> {
        let path = format!("/v1/requests/{attempt}");
        let req = build_request(Method::DELETE, address, &path, Bytes::new())?;
        self.send_and_collect(req, deadline).await.map(|_| ())
    }

    /// Resumes the stream of an attempt at sequence number `from`. Returns `None` if the engine no
    /// longer retains the stream.
    pub async fn resume(
        &self,
        address: &str,
        attempt: &str,
        from: u64,
        deadline: Instant,
    ) -> Result<Option<TokenStream>, SendError> {
        let path = format!("/v1/requests/{attempt}/stream?from={from}");
        let req = build_request(Method::GET, address, &path, Bytes::new())?;
        let res = self.send(req, deadline).await?;
        Ok(res.status().is_success().then(|| TokenStream::new(res.into_body())))
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        deadline: Instant,
    ) -> Result<T, SendError> {
        let req = build_request(Method::GET, address, path, Bytes::new())?;
        let res = self.send_and_collect(req, deadline).await?;
        if !res.status().is_success() {
            return Err(SendError::Malformed(format!("status {}", res.status()).into()));
        }
        from_json(res.body())
    }
}

fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, SendError> {
    serde_json::from_slice(body).map_err(|e| SendError::Malformed(e.to_string().into()))
}

fn build_request(
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
