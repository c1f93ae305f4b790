//! HTTP server that all stand-ins share.

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

/// Body of every answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, Closed>;

/// An answer, or an order to close the connection without one.
pub(crate) type Answer = Result<Response<Body>, Closed>;

/// Makes `hyper` close the connection at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed by the stand-in")
    }
}

impl Error for Closed {}

/// A refusal; becomes an answer with its message.
#[derive(Clone, Debug)]
pub(crate) struct Refused {
    pub(crate) status: StatusCode,
    pub(crate) message: Box<str>,
}

impl Refused {
    pub(crate) fn new(status: StatusCode, message: impl Into<Box<str>>) -> Self {
        Self { status, message: message.into() }
    }

    /// The refusal of a method that the path does not have.
    pub(crate) fn method(method: &Method) -> Self {
        Self::new(StatusCode::METHOD_NOT_ALLOWED, format!("method {method} not allowed"))
    }
}

impl From<Refused> for Response<Body> {
    fn from(refused: Refused) -> Self {
        json(refused.status, &serde_json::json!({ "error": refused.message }))
    }
}

/// Binds `address`, or a free port on loopback.
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
    F: Future<Output = Answer> + Send + 'static,
{
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    // Streamed tokens are small; without this they wait for acknowledgements.
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

/// An answer with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("stand-in answers serialise");
    bytes_answer(status, text.into())
}

/// An answer with JSON text.
pub(crate) fn bytes_answer(status: StatusCode, text: Bytes) -> Response<Body> {
    let body = Full::new(text).map_err(|never| match never {}).boxed_unsync();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let value = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}

/// A streamed answer.
pub(crate) fn streamed(
    content_type: &'static str,
    stream: impl Stream<Item = Result<Frame<Bytes>, Closed>> + Send + 'static,
) -> Response<Body> {
    let mut answer = Response::new(StreamBody::new(stream).boxed_unsync());
    let value = header::HeaderValue::from_static(content_type);
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}

/// Reads a body of at most `limit` bytes; `None` if it is longer or breaks off.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Option<Bytes> {
    Limited::new(body, limit).collect().await.ok().map(|collected| collected.to_bytes())
}

/// Reads a JSON body of at most `limit` bytes, or returns the refusal.
pub(crate) async fn read_json<T: DeserializeOwned>(
    body: Incoming,
    limit: usize,
) -> Result<T, Refused> {
    let Some(text) = read_body(body, limit).await else {
        return Err(Refused::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
    };
    serde_json::from_slice(&text)
        .map_err(|e| Refused::new(StatusCode::BAD_REQUEST, format!("invalid JSON: {e}")))
}

/// Value of a query parameter, percent-decoded.
pub(crate) fn query(req: &Request<Incoming>, name: &str) -> Option<String> {
    let query = req.uri().query()?;
    form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Value of a request header, if it is text.
pub(crate) fn header_text<'a>(req: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}
