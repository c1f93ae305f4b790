//! A connection for one request that may run only once.

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
use crate::client::{before, collect_body};

/// An open connection over which nothing was sent yet.
///
/// A reused connection may be closed by the server at the moment of sending, which leaves the
/// outcome of a non-idempotent request unknown. Such a request gets a connection of its own, and
/// its owner knows that nothing was sent until [`Connection::send`] is called.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Connects to `address`. Every error means that nothing was sent.
    pub async fn open(address: &str, deadline: Instant) -> Result<Self, SendError> {
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let not_sent = |text: String| SendError::NotSent(text.into());
        let socket = before(deadline, TcpStream::connect(address))
            .await
            .map_err(|e| not_sent(e.to_string()))?
            .map_err(|e| not_sent(e.to_string()))?;
        socket.set_nodelay(true).map_err(|e| not_sent(e.to_string()))?;
        let (sender, driver) =
            handshake(TokioIo::new(socket)).await.map_err(|e| not_sent(e.to_string()))?;
        tokio::spawn(driver);
        Ok(Self { sender })
    }

    /// Sends the request once and waits until `deadline` for the head of the answer.
    pub async fn send(
        mut self,
        mut req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendError> {
        to_origin_form(&mut req)?;
        before(deadline, self.sender.send_request(req))
            .await?
            .map_err(|e| SendError::Interrupted(e.to_string().into()))
    }

    /// Sends the request once and collects the whole answer until `deadline`.
    pub async fn send_and_collect(
        self,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, SendError> {
        collect_body(self.send(req, deadline).await?, deadline).await
    }
}

/// A request to a server, as opposed to a proxy, names the host in a header only.
fn to_origin_form(req: &mut Request<Full<Bytes>>) -> Result<(), SendError> {
    let invalid = |text: &str| SendError::Invalid(text.into());
    let authority = req.uri().authority().ok_or_else(|| invalid("URI has no host"))?;
    let host = HeaderValue::from_str(authority.as_str()).map_err(|_| invalid("host"))?;
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let uri = Uri::try_from(path).map_err(|_| invalid("URI has a malformed path"))?;
    *req.uri_mut() = uri;
    req.headers_mut().insert(HOST, host);
    Ok(())
}
