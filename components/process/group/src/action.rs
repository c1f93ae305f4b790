//! What the state machine asks the event loop to do, and how sending an order can end.

use types::object::{CallId, ObjectCall};
use types::prelude::*;

/// An action for the event loop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the platform and pass the answer to [`Group::on_answer`](crate::Group::on_answer).
    Call {
        /// Number to pass back.
        call: CallId,
        /// The call.
        request: ObjectCall,
    },
    /// Send the order once, without retries, and pass the result to
    /// [`Group::on_order_result`](crate::Group::on_order_result).
    SendOrder {
        /// The backend server.
        server: BackendServerId,
        /// Its address as `IP:PORT`.
        address: Box<str>,
        /// The order.
        order: Order,
    },
    /// Read the server's report and pass it to [`Group::on_report`](crate::Group::on_report).
    /// Issued when the report decides something; the event loop also polls on its own schedule.
    ReadReport {
        /// The backend server.
        server: BackendServerId,
        /// Its address as `IP:PORT`.
        address: Box<str>,
    },
    /// Claim the group again, so that a server that checks fencing numbers can be sealed and an
    /// order that left no trace is resolved: `ownership::Ownership::raise_fencing`.
    RaiseFencing,
    /// Another owner has written the decision object; this instance has no authority left.
    Superseded,
    /// After [`Group::release`](crate::Group::release): nothing more will be sent.
    Released,
    /// The published state changed; take it from [`Group::publish`](crate::Group::state_to_publish).
    Publish,
}

/// How sending an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// 202: accepted.
    Accepted,
    /// 409: the server has seen a higher fencing number and did not run the order.
    StaleFencing,
    /// 422: refused and not run.
    Refused,
    /// The connection failed before the first byte was written.
    NotSent,
    /// No usable answer; the order may arrive or may have arrived.
    Lost,
}
