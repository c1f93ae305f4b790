//! Client side of the peer protocol.

use std::cell::RefCell;

use http_client::CONNECT_TIMEOUT;
use tonic::transport::{Channel, Endpoint};
use types::prelude::*;

use crate::generated::peer_client::PeerClient as GeneratedClient;
use crate::{Frame, MAX_FRAME_BYTES, PeerError};

/// Client with one connection per address of another instance. It is not `Sync`, as it is used on
/// one thread only.
#[derive(Default)]
pub struct PeerClient {
    channels: RefCell<HashMap<Box<str>, Channel>>,
}

impl PeerClient {
    /// Creates a client without connections; each connection is opened on first use.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends `frame` to `address` and waits until `deadline` for the reply.
    pub async fn exchange(
        &self,
        address: &str,
        frame: Frame,
        deadline: Instant,
    ) -> Result<Frame, PeerError> {
        let channel = self.channel(address)?;
        let mut client = GeneratedClient::new(channel)
            .max_decoding_message_size(MAX_FRAME_BYTES)
            .max_encoding_message_size(MAX_FRAME_BYTES);
        let call = client.exchange(frame.into_wire());
        match tokio::time::timeout_at(deadline.into(), call).await {
            Ok(Ok(reply)) => Frame::from_wire(reply.into_inner()),
            Ok(Err(status)) => Err(PeerError::Status(Box::new(status))),
            Err(_) => Err(PeerError::DeadlinePassed),
        }
    }

    /// Closes the connections to all addresses for which `predicate` returns false.
    pub fn retain(&self, predicate: impl Fn(&str) -> bool) {
        self.channels.borrow_mut().retain(|address, _| predicate(address));
    }

    fn channel(&self, address: &str) -> Result<Channel, PeerError> {
        if let Some(channel) = self.channels.borrow().get(address) {
            return Ok(channel.clone());
        }
        let channel = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|_| PeerError::Address(address.into()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        self.channels.borrow_mut().insert(address.into(), channel.clone());
        Ok(channel)
    }
}
