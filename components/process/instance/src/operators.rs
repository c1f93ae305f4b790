//! Answers on the operators' address.

use bytes::Bytes;
use front::{OperatorReply, OperatorRequest};
use http::StatusCode;
use serde::Serialize;
use types::prelude::*;
use types::status::InstanceStatus;

/// Body of `GET /status`: what the command line shows, and more for monitoring.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Status {
    #[serde(flatten)]
    pub(crate) summary: InstanceStatus,
    /// Whether the instance is stopping.
    pub(crate) stopping: bool,
    /// Whether the platform answered lately.
    pub(crate) platform_reachable: bool,
    /// Live instances of the data centre.
    pub(crate) live_instances: BTreeSet<InstanceId>,
    /// Other data centres that the instance hears from.
    pub(crate) reachable_data_centres: Vec<DataCentreId>,
    /// Requests waiting.
    pub(crate) waiting: usize,
    /// Requests running.
    pub(crate) running: usize,
    /// Backend servers of owned groups that take no order now.
    pub(crate) blocked_servers: BTreeSet<BackendServerId>,
}

/// The answer to a question, given the parts of the loop's state that it needs.
pub(crate) fn reply(
    request: OperatorRequest,
    status: &Status,
    metrics: &telemetry::Metrics,
    burn: &burn::BurnState,
) -> OperatorReply {
    match request {
        OperatorRequest::Ready if status.summary.ready => text(StatusCode::OK, "ready\n".into()),
        OperatorRequest::Ready => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        OperatorRequest::Status => json(status),
        OperatorRequest::Burn => json(burn),
        OperatorRequest::Metrics => match metrics.encode() {
            Ok(body) => OperatorReply {
                status: StatusCode::OK,
                content_type: "application/openmetrics-text; version=1.0.0; charset=utf-8",
                body: body.into(),
            },
            Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        },
    }
}

fn text(status: StatusCode, body: String) -> OperatorReply {
    OperatorReply { status, content_type: "text/plain; charset=utf-8", body: body.into() }
}

fn json(value: &impl Serialize) -> OperatorReply {
    match serde_json::to_vec(value) {
        Ok(body) => OperatorReply {
            status: StatusCode::OK,
            content_type: "application/json",
            body: Bytes::from(body),
        },
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}
