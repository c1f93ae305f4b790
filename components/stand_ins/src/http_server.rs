//! HTTP server and helpers shared by all stand-ins.

use std::error::Error;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use futures_util::Stream;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

/// Body of every response.
pub(crate) type Body = UnsyncBoxBody<Bytes, CloseConnection>;

/// What a request handler returns: a response, or an error that closes the connection without one.
pub(crate) type HandlerResult = Result<Response<Body>, CloseConnection>;

/// Makes `hyper` close the connection at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CloseConnection;

impl fmt::Display for CloseConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed by the stand-in")
    }
}

impl Error for CloseConnection {}

/// An error status with a message, sent as a JSON body.
#[derive(Clone, Debug)]
pub(crate) struct ErrorResponse {
    pub(crate) status: StatusCode,
    pub(crate) message: Box<str>,
}

impl ErrorResponse {
    pub(crate) fn new(status: StatusCode, message: impl Into<Box<str>>) -> Self {
        Self { status, message: message.into() }
    }

    /// A 405 for a method that the path does not support.
    pub(crate) fn method_not_allowed(method: &Method) -> Self {
        Self::new(StatusCode::METHOD_NOT_ALLOWED, format!("method {method} not allowed"))
    }
}

impl From<ErrorResponse> for Response<Body> {
    fn from(error: ErrorResponse) -> Self {
        json(error.status, &serde_json::json!({ "error": error.message }))
    }
}

/// Binds `address`, or a free loopback port if there is none.
///
/// # Errors
///
/// Fails if the address is not on loopback or cannot be bound.
pub(crate) async fn bind(address: Option<SocketAddr>) -> io::Result<TcpListener> {
    let address = address.unwrap_or((Ipv4Addr::LOCALHOST, 0).into());
    if !address.ip().is_loopback() {
        return Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            "stand-ins listen on loopback only",
        ));
    }
    TcpListener::bind(address).await
}

/// Serves connections until the returned handle is aborted, which also closes all connections.
pub(crate) fn spawn<H, F>(listener: TcpListener, handler: H) -> AbortHandle
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    // Streamed tokens are small; with Nagle's algorithm they would wait for
                    // acknowledgements.
                    let _ = stream.set_nodelay(true);
                    let service = service_fn(handler.clone());
                    connections.spawn(async move {
                        let _ = http1::Builder::new()
                            .serve_connection(TokioIo::new(stream), service)
                            .await;
                    });
                }
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
    })
    .abort_handle()
}

/// Builds a response with `value` as its JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("stand-in responses serialise");
    json_bytes(status, text.into())
}

/// Builds a response whose body is already JSON text.
pub(crate) fn json_bytes(status: StatusCode, text: Bytes) -> Response<Body> {
    let body = Full::new(text).map_err(|infallible| match infallible {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Builds a response with a streamed body.
pub(crate) fn stream_response(
    content_type: &'static str,
    stream: impl Stream<Item = Result<Frame<Bytes>, CloseConnection>> + Send + 'static,
) -> Response<Body> {
    let mut response = Response::new(StreamBody::new(stream).boxed_unsync());
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Reads a body of at most `limit` bytes; `None` if it is longer or breaks off.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Option<Bytes> {
    Limited::new(body, limit).collect().await.ok().map(|collected| collected.to_bytes())
}

/// Reads a JSON body of at most `limit` bytes, or returns the error response.
pub(crate) async fn read_json<T: DeserializeOwned>(
    body: Incoming,
    limit: usize,
) -> Result<T, ErrorResponse> {
    let Some(text) = read_body(body, limit).await else {
        return Err(ErrorResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
    };
    serde_json::from_slice(&text)
        .map_err(|e| ErrorResponse::new(StatusCode::BAD_REQUEST, format!("invalid JSON: {e}")))
}

/// Value of a query parameter, percent-decoded.
pub(crate) fn query_param(req: &Request<Incoming>, name: &str) -> Option<String> {
    let query = req.uri().query()?;
    form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Value of a request header, if it is visible ASCII.
pub(crate) fn header_str<'a>(req: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}
