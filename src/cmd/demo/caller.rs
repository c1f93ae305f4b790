//! The HTTP client that sends the requests of the demo.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Time limit of a request. The deadline at the instance is earlier for every request.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// An HTTP client of an instance.
#[derive(Clone)]
pub(super) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A request to an instance.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) key: &'static str,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) body: Value,
}

/// The outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// A complete response.
    Complete { text: String },
    /// A refusal, described by a problem document.
    Refused { status: u16, verdict: String, reason: String },
    /// No response, or one that is invalid or incomplete; with the reason.
    Failed(String),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Complete { text } => write!(f, "answered, {} bytes", text.len()),
            Self::Refused { status, verdict, reason } => {
                write!(f, "refused with {status}: {reason}, {verdict}")
            }
            Self::Failed(reason) => write!(f, "failed: {reason}"),
        }
    }
}

impl Caller {
    /// Creates a client, which connects at the first request.
    pub(super) fn new() -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a request and reads the complete response.
    pub(super) async fn call(&self, address: SocketAddr, request: &CallerRequest) -> Outcome {
        match tokio::time::timeout(CALL_TIMEOUT, self.exchange(address, request)).await {
            Ok(Ok(res)) => parse_response(request, res),
            Ok(Err(e)) => Outcome::Failed(e),
            Err(_) => Outcome::Failed("no answer in time".into()),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: &CallerRequest,
    ) -> Result<Response<Bytes>, String> {
        let mut req = Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{address}{}", request.path))
            .header("authorization", format!("Bearer {}", request.key))
            .header("content-type", "application/json");
        for (name, value) in &request.headers {
            req = req.header(*name, value);
        }
        let body = Full::new(Bytes::from(request.body.to_string()));
        let req = req.body(body).map_err(|e| e.to_string())?;
        let res = self.client.request(req).await.map_err(|e| e.to_string())?;
        let (head, body) = res.into_parts();
        let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}

fn parse_response(request: &CallerRequest, res: Response<Bytes>) -> Outcome {
    let text = String::from_utf8_lossy(res.body()).into_owned();
    if res.status() != StatusCode::OK && res.status() != StatusCode::CREATED {
        return parse_problem(res.status(), &text);
    }
    if request.body["stream"] == Value::Bool(true) {
        return parse_stream(&text);
    }
    match serde_json::from_str::<Value>(&text) {
        Ok(body) => match body["choices"][0]["message"]["content"].as_str() {
            Some(content) => Outcome::Complete { text: content.to_owned() },
            None => Outcome::Complete { text },
        },
        Err(e) => Outcome::Failed(format!("response is not JSON: {e}")),
    }
}

fn parse_problem(status: StatusCode, text: &str) -> Outcome {
    let document: Value = serde_json::from_str(text).unwrap_or_default();
    match (document["verdict"].as_str(), document["reason"].as_str()) {
        (Some(verdict), Some(reason)) => Outcome::Refused {
            status: status.as_u16(),
            verdict: verdict.to_owned(),
            reason: reason.to_owned(),
        },
        _ => Outcome::Failed(format!("status {status} without a problem document: {text}")),
    }
}

/// Joins the text of a stream's events. A stream without an end marker is incomplete.
fn parse_stream(text: &str) -> Outcome {
    let mut content = String::new();
    for event in text.split("\n\n") {
        if let Some(data) = event.strip_prefix("event: error\ndata: ") {
            return parse_problem(StatusCode::BAD_GATEWAY, data);
        }
        match event.lines().find_map(|line| line.strip_prefix("data: ")) {
            Some("[DONE]") => return Outcome::Complete { text: content },
            Some(data) => {
                let chunk: Value = serde_json::from_str(data).unwrap_or_default();
                content += chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
            }
            None => {}
        }
    }
    Outcome::Failed("stream without end marker".into())
}
