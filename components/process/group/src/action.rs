//! Actions that the state machine requests from the event loop, and results of sending an order.

use types::object::{CallId, ObjectCall};
use types::prelude::*;

/// An action for the event loop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the platform and pass the answer to [`Group::on_answer`](crate::Group::on_answer).
    Call {
        /// Identifies the call; passed back with the answer.
        call: CallId,
        /// The platform call.
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
    /// Issued when the report is expected to resolve an order; the event loop also polls on its
    /// own schedule.
    ReadReport {
        /// The backend server.
        server: BackendServerId,
        /// Its address as `IP:PORT`.
        address: Box<str>,
    },
    /// Claim the group again with `ownership::Ownership::raise_fencing`. With the higher fencing
    /// number, servers that check fencing numbers can be sealed, which resolves orders whose result
    /// is unknown.
    RaiseFencing,
    /// Another owner has taken over the group; this instance may no longer send orders for it.
    Superseded,
    /// The hand-over that [`Group::release`](crate::Group::release) began is complete: the group
    /// sends no more orders.
    Released,
    /// The published state changed; [`Group::state_to_publish`](crate::Group::state_to_publish)
    /// returns the new one.
    Publish,
}

/// Result of sending an order.
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
    /// There was no usable answer; the order may have arrived or may still arrive.
    Lost,
}
