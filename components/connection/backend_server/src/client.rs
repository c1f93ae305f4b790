//! Pooled connections to backend servers.

use std::error::Error as _;
use std::future::Future;

use body_memory::{BodyMemory, collect};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use http_client::{HttpClient, http_client};
use hyper::body::Incoming;
use types::prelude::*;

use crate::SendError;
use crate::report_cache::ReportCache;

/// Largest response body that is collected in memory.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// HTTP client for idempotent requests to backend servers, with pooled connections.
#[derive(Clone)]
pub struct BackendClient {
    client: HttpClient,
    pub(crate) reports: ReportCache,
    pub(crate) memory: BodyMemory,
}

impl Default for BackendClient {
    fn default() -> Self {
        Self::new(BodyMemory::default())
    }
}

impl BackendClient {
    /// Creates a client with an empty connection pool; `memory` is for the bodies of responses.
    pub fn new(memory: BodyMemory) -> Self {
        Self { client: http_client(), reports: ReportCache::default(), memory }
    }

    /// Sends an idempotent request and waits until `deadline` for the response headers.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendError> {
        with_deadline(deadline, self.client.request(req)).await?.map_err(|e| {
            let text = error_chain(&e);
            if e.is_connect() { SendError::NotSent(text) } else { SendError::Interrupted(text) }
        })
    }

    /// Sends an idempotent request and waits until `deadline` for the complete response.
    pub async fn send_and_collect(
        &self,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, SendError> {
        collect_body(self.send(req, deadline).await?, deadline, &self.memory).await
    }

    /// Memory for the bodies of responses.
    pub fn memory(&self) -> &BodyMemory {
        &self.memory
    }
}

/// Awaits `call`; fails with `DeadlinePassed` if it has not completed by `deadline`.
pub(crate) async fn with_deadline<T>(
    deadline: Instant,
    call: impl Future<Output = T>,
) -> Result<T, SendError> {
    tokio::time::timeout_at(deadline.into(), call).await.map_err(|_| SendError::DeadlinePassed)
}

/// Waits until `deadline` for the complete body of a response and collects it in `memory`.
pub async fn collect_body(
    res: Response<Incoming>,
    deadline: Instant,
    memory: &BodyMemory,
) -> Result<Response<Bytes>, SendError> {
    let (parts, body) = res.into_parts();
    let body = with_deadline(deadline, collect(body, MAX_RESPONSE_BYTES, memory))
        .await?
        .map_err(|e| SendError::Interrupted(e.to_string().into()))?;
    Ok(Response::from_parts(parts, body))
}

fn error_chain(e: &hyper_util::client::legacy::Error) -> Box<str> {
    let mut text = e.to_string();
    let mut cause = e.source();
    while let Some(e) = cause {
        text.push_str(": ");
        text.push_str(&e.to_string());
        cause = e.source();
    }
    text.into()
}
