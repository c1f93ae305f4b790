//! Server side of the peer protocol.

use std::future::Future;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, async_trait};

use crate::generated::peer_server::{Peer, PeerServer};
use crate::{Frame, MAX_FRAME_BYTES, PeerError, generated};

/// A received frame and the channel for its reply.
#[derive(Debug)]
pub struct IncomingFrame {
    /// The frame.
    pub frame: Frame,
    /// Channel for the reply. If it is dropped, the exchange fails at the sender.
    pub reply: oneshot::Sender<Frame>,
}

struct Handler {
    tx: mpsc::Sender<IncomingFrame>,
}

#[async_trait]
impl Peer for Handler {
    async fn exchange(
        &self,
        req: Request<generated::Frame>,
    ) -> Result<Response<generated::Frame>, Status> {
        let frame = Frame::from_wire(req.into_inner())
            .map_err(|e| Status::failed_precondition(e.to_string()))?;
        let (reply, reply_rx) = oneshot::channel();
        // A full queue means that the event loop is overloaded; the error makes the sender back
        // off.
        self.tx
            .try_send(IncomingFrame { frame, reply })
            .map_err(|_| Status::resource_exhausted("instance is overloaded or stopping"))?;
        let reply = reply_rx.await.map_err(|_| Status::unavailable("message was not answered"))?;
        Ok(Response::new(reply.into_wire()))
    }
}

/// Serves peer connections on `listener` until `stop` completes and passes each received frame to
/// `tx`.
pub async fn serve(
    listener: TcpListener,
    tx: mpsc::Sender<IncomingFrame>,
    stop: impl Future<Output = ()>,
) -> Result<(), PeerError> {
    let service = PeerServer::new(Handler { tx })
        .max_decoding_message_size(MAX_FRAME_BYTES)
        .max_encoding_message_size(MAX_FRAME_BYTES);
    Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(TcpIncoming::from(listener), stop)
        .await
        .map_err(PeerError::Transport)
}
