//! Listeners for callers and operators, and connections to backend servers.

mod callers;
mod doors;
mod head_limit;
mod operators;
mod relayed_calls;
mod server;
mod store_relay;
mod tracking;

pub(crate) use callers::accept_callers;
pub(crate) use doors::{Doors, SOCKET_BUFFER_BYTES, watch_connections};
pub(crate) use operators::{accept_metrics, accept_readiness};
pub(crate) use server::{
    ConnectError, Connection, ConnectionPools, ControlReply, MAX_IDLE_PER_SERVER, SendError,
    control_call,
};
pub(crate) use store_relay::accept_store_relays;
pub(crate) use tracking::CallerBody;

use std::time::Duration;

use http_body_util::combinators::UnsyncBoxBody;
use quick_error::quick_error;

/// Pause after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Body of a response to a caller.
pub(crate) type Body = UnsyncBoxBody<bytes::Bytes, BodyError>;

quick_error! {
    /// Error of a response body; the connection to the caller is closed before the body's end.
    #[derive(Debug)]
    pub enum BodyError {
        /// The server ended the response early, or the deadline passed.
        Incomplete {
            display("response body is incomplete")
        }
    }
}
