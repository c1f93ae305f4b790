//! An HTTP client as callers use it.

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

/// Longest time that a caller waits; every request has an earlier deadline at the instance.
const CALL_TIME: Duration = Duration::from_secs(60);

/// A caller's client.
#[derive(Clone)]
pub(super) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// One request as a caller sends it.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) key: &'static str,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) body: Value,
}

/// What a caller gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// A whole answer with its text.
    Whole { text: String },
    /// A problem document.
    Refused { status: u16, verdict: String, reason: String },
    /// Anything else.
    Broken(String),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole { text } => write!(f, "answered, {} bytes", text.len()),
            Self::Refused { status, verdict, reason } => {
                write!(f, "refused with {status}: {reason}, {verdict}")
            }
            Self::Broken(what) => write!(f, "broken: {what}"),
        }
    }
}

impl Caller {
    /// A client without connections.
    pub(super) fn new() -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a request and reads the whole answer.
    pub(super) async fn call(&self, address: SocketAddr, sent: &Sent) -> Outcome {
        match tokio::time::timeout(CALL_TIME, self.exchange(address, sent)).await {
            Ok(Ok(res)) => read(sent, res),
            Ok(Err(e)) => Outcome::Broken(e),
            Err(_) => Outcome::Broken("no answer in time".into()),
        }
    }

    async fn exchange(&self, address: SocketAddr, sent: &Sent) -> Result<Response<Bytes>, String> {
        let mut req = Request::builder()
            .method(sent.method.clone())
            .uri(format!("http://{address}{}", sent.path))
            .header("authorization", format!("Bearer {}", sent.key))
            .header("content-type", "application/json");
        for (name, value) in &sent.headers {
            req = req.header(*name, value);
        }
        let body = Full::new(Bytes::from(sent.body.to_string()));
        let req = req.body(body).map_err(|e| e.to_string())?;
        let res = self.client.request(req).await.map_err(|e| e.to_string())?;
        let (head, body) = res.into_parts();
        let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}

fn read(sent: &Sent, res: Response<Bytes>) -> Outcome {
    let text = String::from_utf8_lossy(res.body()).into_owned();
    if res.status() != StatusCode::OK && res.status() != StatusCode::CREATED {
        return problem(res.status(), &text);
    }
    if sent.body["stream"] == Value::Bool(true) {
        return stream(&text);
    }
    match serde_json::from_str::<Value>(&text) {
        Ok(body) => match body["choices"][0]["message"]["content"].as_str() {
            Some(content) => Outcome::Whole { text: content.to_owned() },
            None => Outcome::Whole { text },
        },
        Err(e) => Outcome::Broken(format!("answer is not JSON: {e}")),
    }
}

fn problem(status: StatusCode, text: &str) -> Outcome {
    let document: Value = serde_json::from_str(text).unwrap_or_default();
    match (document["verdict"].as_str(), document["reason"].as_str()) {
        (Some(verdict), Some(reason)) => Outcome::Refused {
            status: status.as_u16(),
            verdict: verdict.to_owned(),
            reason: reason.to_owned(),
        },
        _ => Outcome::Broken(format!("status {status} without a problem document: {text}")),
    }
}

/// Puts the pieces of a stream together. Without the end marker it is not whole.
fn stream(text: &str) -> Outcome {
    let mut content = String::new();
    for event in text.split("\n\n") {
        if let Some(data) = event.strip_prefix("event: error\ndata: ") {
            return problem(StatusCode::BAD_GATEWAY, data);
        }
        match event.lines().find_map(|line| line.strip_prefix("data: ")) {
            Some("[DONE]") => return Outcome::Whole { text: content },
            Some(data) => {
                let chunk: Value = serde_json::from_str(data).unwrap_or_default();
                content += chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
            }
            None => {}
        }
    }
    Outcome::Broken("stream without end marker".into())
}
