//! Messages between instances over gRPC (`tonic`).
//!
//! The service has one unary method. The payload is a serde type encoded with `postcard`; the
//! caller decides which type a frame carries.

mod client;
mod server;

#[cfg(test)]
mod exchange_tests;

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use types::prelude::*;

pub use client::PeerClient;
pub use server::{IncomingFrame, serve};

/// Version of the payload schema. Increment it with every incompatible change of a message.
pub const SCHEMA_VERSION: u32 = 1;

/// Largest accepted frame. A complete configuration at the target scale fits into one frame.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

mod generated {
    #![allow(missing_docs, unreachable_pub, unused_qualifications, clippy::all)]
    include!("generated/sequoiawell.peer.rs");
}

/// Envelope of one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Name of the sending instance.
    pub instance: InstanceId,
    /// Incarnation of the sending instance.
    pub incarnation: Incarnation,
    /// The encoded message.
    pub payload: Vec<u8>,
}

impl Frame {
    /// Encodes `message` as a frame sent by `instance`.
    pub fn encode(
        instance: &str,
        incarnation: Incarnation,
        message: &impl Serialize,
    ) -> Result<Self, PeerError> {
        let payload = postcard::to_stdvec(message).map_err(PeerError::Codec)?;
        Ok(Self { instance: instance.into(), incarnation, payload })
    }

    /// Decodes the payload.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, PeerError> {
        postcard::from_bytes(&self.payload).map_err(PeerError::Codec)
    }

    fn into_wire(self) -> generated::Frame {
        generated::Frame {
            schema: SCHEMA_VERSION,
            instance: self.instance.into(),
            incarnation: self.incarnation,
            payload: self.payload,
        }
    }

    fn from_wire(wire: generated::Frame) -> Result<Self, PeerError> {
        if wire.schema != SCHEMA_VERSION {
            return Err(PeerError::Schema(wire.schema));
        }
        Ok(Self {
            instance: wire.instance.into(),
            incarnation: wire.incarnation,
            payload: wire.payload,
        })
    }
}

quick_error! {
    /// Reason why an exchange failed.
    #[derive(Debug)]
    pub enum PeerError {
        /// The payload could not be encoded or decoded.
        Codec(e: postcard::Error) {
            display("peer message cannot be encoded or decoded: {e}")
            source(e)
        }
        /// The other instance uses another version of the payload schema.
        Schema(found: u32) {
            display(
                "peer uses schema {found}, this instance uses {SCHEMA_VERSION}; \
                 update the older one"
            )
        }
        /// The address is malformed.
        Address(text: Box<str>) {
            display("peer address {text:?} is not IP:PORT")
        }
        /// The server could not be started or failed.
        Transport(e: tonic::transport::Error) {
            display("peer transport failed: {e}")
            source(e)
        }
        /// The other instance could not be reached or refused the frame.
        Status(e: Box<tonic::Status>) {
            display("peer exchange failed: {}", e.message())
        }
        /// The deadline passed before the reply arrived.
        DeadlinePassed {
            display("peer did not reply before the deadline")
        }
    }
}
