//! HTTP calls, one at a time, without retries.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use http_client::{HttpClient, http_client};
use hyper::body::Incoming;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use tokio::time::timeout_at;
use types::object::{Condition, ObjectKey};
use types::prelude::*;

/// Header that names the calling instance.
const INSTANCE_HEADER: &str = "x-instance";

/// Characters that stand for themselves in kinds, names and prefixes.
const ENCODED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~').remove(b'/').remove(b'@');

/// How one HTTP call ended.
#[derive(Debug)]
pub enum Exchange<A> {
    /// An answer arrived.
    Answered(A),
    /// The request was not sent.
    NotSent,
    /// The request was sent and its answer was lost.
    Lost,
}

impl<A> Exchange<A> {
    /// The answer, if one arrived.
    pub(crate) fn answer(&self) -> Option<&A> {
        match self {
            Self::Answered(answer) => Some(answer),
            Self::NotSent | Self::Lost => None,
        }
    }
}

/// An answer with its whole body.
#[derive(Debug)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Version of the object, if the answer names one.
    pub version: Option<ObjectVersion>,
    /// The whole body.
    pub body: Bytes,
}

/// Sends calls of one instance.
#[derive(Clone)]
pub(crate) struct Transport {
    client: HttpClient,
    instance: HeaderValue,
}

/// Path of an object.
pub(crate) fn object_path(key: &ObjectKey) -> String {
    format!("/objects/{}/{}", encode(key.kind), encode(&key.name))
}

/// Path of a listing.
pub(crate) fn list_path(kind: &str, prefix: &str) -> String {
    format!("/objects/{}?prefix={}", encode(kind), encode(prefix))
}

fn encode(text: &str) -> String {
    utf8_percent_encode(text, ENCODED).to_string()
}

impl Transport {
    pub(crate) fn new(instance: &str) -> Self {
        let instance =
            HeaderValue::from_str(instance).unwrap_or_else(|_| HeaderValue::from_static("?"));
        Self { client: http_client(), instance }
    }

    /// Sends a call and waits until `deadline` for the head of the answer.
    pub(crate) async fn open(
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
            // On a read the condition asks for the object only if it has another version.
            Some(Condition::Version(version)) if is_read => {
                req.header(header::IF_NONE_MATCH, format!("\"{version}\""))
            }
            Some(Condition::Version(version)) => {
                req.header(header::IF_MATCH, format!("\"{version}\""))
            }
        };
        let Ok(req) = req.body(Full::new(body)) else { return Exchange::NotSent };
        match timeout_at(deadline.into(), self.client.request(req)).await {
            Ok(Ok(answer)) => Exchange::Answered(answer),
            Ok(Err(e)) if e.is_connect() => Exchange::NotSent,
            Ok(Err(_)) | Err(_) => Exchange::Lost,
        }
    }

    /// Sends a call and waits until `deadline` for the whole answer.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        condition: Option<Condition>,
        body: Bytes,
        deadline: Instant,
    ) -> Exchange<Answer> {
        let answer = match self.open(address, method, path, condition, body, deadline).await {
            Exchange::Answered(answer) => answer,
            Exchange::NotSent => return Exchange::NotSent,
            Exchange::Lost => return Exchange::Lost,
        };
        let status = answer.status();
        let version = version(&answer);
        match timeout_at(deadline.into(), answer.into_body().collect()).await {
            Ok(Ok(body)) => Exchange::Answered(Answer { status, version, body: body.to_bytes() }),
            Ok(Err(_)) | Err(_) => Exchange::Lost,
        }
    }
}

fn version(answer: &Response<Incoming>) -> Option<ObjectVersion> {
    let tag = answer.headers().get(header::ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}
