//! Client side of the exchange.

use std::cell::RefCell;

use http_client::CONNECT_TIMEOUT;
use tonic::transport::{Channel, Endpoint};
use types::prelude::*;

use crate::generated::peer_client::PeerClient as Generated;
use crate::{Frame, MAX_FRAME_BYTES, PeerError};

/// Connections to other instances, one for each address. Lives on one thread.
#[derive(Default)]
pub struct PeerClient {
    channels: RefCell<HashMap<Box<str>, Channel>>,
}

impl PeerClient {
    /// A client without connections; they are opened on first use.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends `frame` to `address` and waits for the answer until `deadline`.
    pub async fn exchange(
        &self,
        address: &str,
        frame: Frame,
        deadline: Instant,
    ) -> Result<Frame, PeerError> {
        let channel = self.channel(address)?;
        let mut client = Generated::new(channel)
            .max_decoding_message_size(MAX_FRAME_BYTES)
            .max_encoding_message_size(MAX_FRAME_BYTES);
        let call = client.exchange(frame.into_wire());
        match tokio::time::timeout_at(deadline.into(), call).await {
            Ok(Ok(answer)) => Frame::from_wire(answer.into_inner()),
            Ok(Err(status)) => Err(PeerError::Status(Box::new(status))),
            Err(_) => Err(PeerError::DeadlinePassed),
        }
    }

    /// Drops the connections to addresses that `keep` rejects.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.channels.borrow_mut().retain(|address, _| keep(address));
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
