//! Sends single HTTP calls to the platform, without retries.

use std::net::SocketAddr;

use body_memory::{BodyMemory, collect};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use http_client::{HttpClient, http_client};
use hyper::body::Incoming;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use tokio::time::timeout_at;
use types::object::{Condition, ObjectKey};
use types::prelude::*;

/// Header that names the calling instance.
const INSTANCE_HEADER: &str = "x-instance";

/// Characters that are percent-encoded in kinds, names and prefixes.
const PERCENT_ENCODED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~').remove(b'/').remove(b'@');

/// Largest response body, in bytes: several pages of the largest list. A longer one is lost.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Outcome of one HTTP call.
#[derive(Debug)]
pub enum Exchange<R> {
    /// A response arrived.
    Answered(R),
    /// The request was not sent.
    NotSent,
    /// The request was sent and its response was lost.
    ResponseLost,
}

impl<R> Exchange<R> {
    /// Returns the response, if one arrived.
    pub(crate) fn response(&self) -> Option<&R> {
        match self {
            Self::Answered(res) => Some(res),
            Self::NotSent | Self::ResponseLost => None,
        }
    }
}

/// A response with its complete body.
#[derive(Debug)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Version of the object, if the response contains one.
    pub version: Option<ObjectVersion>,
    /// Complete body.
    pub body: Bytes,
}

/// Sends the HTTP calls of one instance.
#[derive(Clone)]
pub(crate) struct Transport {
    client: HttpClient,
    instance: HeaderValue,
    memory: BodyMemory,
}

/// Returns the path of an object.
pub(crate) fn object_path(key: &ObjectKey) -> String {
    format!("/objects/{}/{}", encode(key.kind), encode(&key.name))
}

/// Returns the path and query of a listing.
pub(crate) fn list_path(kind: &str, prefix: &str) -> String {
    format!("/objects/{}?prefix={}", encode(kind), encode(prefix))
}

fn encode(text: &str) -> String {
    utf8_percent_encode(text, PERCENT_ENCODED).to_string()
}

impl Transport {
    pub(crate) fn new(instance: &str, memory: &BodyMemory) -> Self {
        let instance =
            HeaderValue::from_str(instance).unwrap_or_else(|_| HeaderValue::from_static("?"));
        Self { client: http_client(), instance, memory: memory.clone() }
    }

    /// Sends a call and waits until `deadline` for the head of the response.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        condition: Option<Condition>,
        body: Bytes,
        deadline: Instant,
    ) -> Exchange<Response<Incoming>> {
        let is_read = method == Method::GET;
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(INSTANCE_HEADER, self.instance.clone());
        req = match condition {
            None => req,
            Some(Condition::Absent) => req.header(header::IF_NONE_MATCH, "*"),
            // A read with a version returns the object only if it has another version.
            Some(Condition::Version(version)) if is_read => {
                req.header(header::IF_NONE_MATCH, format!("\"{version}\""))
            }
            Some(Condition::Version(version)) => {
                req.header(header::IF_MATCH, format!("\"{version}\""))
            }
        };
        let Ok(req) = req.body(Full::new(body)) else { return Exchange::NotSent };
        match timeout_at(deadline.into(), self.client.request(req)).await {
            Ok(Ok(res)) => Exchange::Answered(res),
            Ok(Err(e)) if e.is_connect() => Exchange::NotSent,
            Ok(Err(_)) | Err(_) => Exchange::ResponseLost,
        }
    }

    /// Sends a call and waits until `deadline` for the complete response.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        condition: Option<Condition>,
        body: Bytes,
        deadline: Instant,
    ) -> Exchange<BufferedResponse> {
        let res = match self.send(address, method, path, condition, body, deadline).await {
            Exchange::Answered(res) => res,
            Exchange::NotSent => return Exchange::NotSent,
            Exchange::ResponseLost => return Exchange::ResponseLost,
        };
        let status = res.status();
        let version = object_version(&res);
        let body = collect(res.into_body(), MAX_RESPONSE_BYTES, &self.memory);
        match timeout_at(deadline.into(), body).await {
            Ok(Ok(body)) => Exchange::Answered(BufferedResponse { status, version, body }),
            Ok(Err(error)) => {
                tracing::warn!(%address, path, %error, "platform: body of a response lost");
                Exchange::ResponseLost
            }
            Err(_) => Exchange::ResponseLost,
        }
    }
}

fn object_version(res: &Response<Incoming>) -> Option<ObjectVersion> {
    let etag = res.headers().get(header::ETAG)?.to_str().ok()?;
    etag.trim_matches('"').parse().ok()
}
