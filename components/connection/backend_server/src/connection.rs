//! Single-use connection for a request that must not run twice.

use body_memory::BodyMemory;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response, Uri};
use http_body_util::Full;
use http_client::CONNECT_TIMEOUT;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use types::prelude::*;

use crate::SendError;
use crate::client::{collect_body, with_deadline};

/// An open connection on which nothing has been sent yet.
///
/// A server may close a reused connection at the moment of sending, which leaves the outcome of a
/// non-idempotent request unknown. Such a request therefore gets a new connection, and nothing is
/// sent before [`Connection::send`] is called.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Connects to `address`. On any error, nothing was sent.
    pub async fn open(address: &str, deadline: Instant) -> Result<Self, SendError> {
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let not_sent = |text: String| SendError::NotSent(text.into());
        let socket = with_deadline(deadline, TcpStream::connect(address))
            .await
            .map_err(|e| not_sent(e.to_string()))?
            .map_err(|e| not_sent(e.to_string()))?;
        socket.set_nodelay(true).map_err(|e| not_sent(e.to_string()))?;
        let (sender, driver) =
            handshake(TokioIo::new(socket)).await.map_err(|e| not_sent(e.to_string()))?;
        tokio::spawn(driver);
        Ok(Self { sender })
    }

    /// Sends the request once and waits until `deadline` for the response headers.
    pub async fn send(
        mut self,
        mut req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendError> {
        to_origin_form(&mut req)?;
        with_deadline(deadline, self.sender.send_request(req))
            .await?
            .map_err(|e| SendError::Interrupted(e.to_string().into()))
    }

    /// Sends the request once and waits until `deadline` for the complete response,
    /// which it collects in `memory`.
    pub async fn send_and_collect(
        self,
        req: Request<Full<Bytes>>,
        deadline: Instant,
        memory: &BodyMemory,
    ) -> Result<Response<Bytes>, SendError> {
        collect_body(self.send(req, deadline).await?, deadline, memory).await
    }
}

/// Rewrites the URI to origin form: a request to a server, unlike one to a proxy, names the host
/// only in the `Host` header.
fn to_origin_form(req: &mut Request<Full<Bytes>>) -> Result<(), SendError> {
    let invalid = |text: &str| SendError::Invalid(text.into());
    let authority = req.uri().authority().ok_or_else(|| invalid("URI has no host"))?;
    let host = HeaderValue::from_str(authority.as_str())
        .map_err(|_| invalid("URI has a malformed host"))?;
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let uri = Uri::try_from(path).map_err(|_| invalid("URI has a malformed path"))?;
    *req.uri_mut() = uri;
    req.headers_mut().insert(HOST, host);
    Ok(())
}
