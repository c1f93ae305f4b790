//! Replies to requests on the operators' address.

use burn::{Alert, BurnReport, BurnState};
use bytes::Bytes;
use front::{OperatorReply, OperatorRequest};
use http::StatusCode;
use serde::Serialize;
use telemetry::{BudgetLabels, BurnLabels, Metrics};
use types::prelude::*;
use types::status::InstanceStatus;

/// Body of `GET /status`: what the command line shows, and more for monitoring.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Status {
    #[serde(flatten)]
    pub(crate) summary: InstanceStatus,
    /// Whether the instance is stopping.
    pub(crate) stopping: bool,
    /// Whether the last attempt to reach the platform succeeded.
    pub(crate) platform_reachable: bool,
    /// Live instances of the data centre.
    pub(crate) live_instances: BTreeSet<InstanceId>,
    /// Other data centres from which the instance receives summaries.
    pub(crate) reachable_data_centres: Vec<DataCentreId>,
    /// Number of waiting requests.
    pub(crate) waiting: usize,
    /// Number of running requests.
    pub(crate) running: usize,
    /// Backend servers of owned groups that accept no orders now.
    pub(crate) blocked_servers: BTreeSet<BackendServerId>,
}

/// Builds the reply to an operator's request from the relevant state of the event loop.
pub(crate) fn reply(
    request: OperatorRequest,
    status: &Status,
    metrics: &Metrics,
    burn: &BurnState,
) -> OperatorReply {
    match request {
        OperatorRequest::Ready if status.summary.ready => text(StatusCode::OK, "ready\n".into()),
        OperatorRequest::Ready => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        OperatorRequest::Status => json(status),
        OperatorRequest::Burn => json(burn),
        OperatorRequest::Metrics => match encode_metrics(metrics, burn) {
            Ok(body) => OperatorReply {
                status: StatusCode::OK,
                content_type: "application/openmetrics-text; version=1.0.0; charset=utf-8",
                body: body.into(),
            },
            Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        },
    }
}

/// Encodes the metrics page. Service-level figures are computed here, on request, so that they cost
/// nothing between scrapes.
pub(crate) fn encode_metrics(
    metrics: &Metrics,
    burn: &BurnState,
) -> Result<String, std::fmt::Error> {
    const THOUSANDTHS: f64 = 1_000.0;
    // Series of removed client accounts and classes must not keep their last value.
    metrics.burn_rate.clear();
    metrics.error_budget_left.clear();
    metrics.service_level_alert.clear();
    metrics.service_level_alert_held_back.clear();
    metrics.burn_requests.clear();
    metrics.burn_bad_requests.clear();
    for row in BurnReport::new(burn).rows {
        let (client_account, class) = (row.client_account.to_string(), row.class.to_string());
        for window in &row.windows {
            let labels = BurnLabels {
                client_account: client_account.clone(),
                class: class.clone(),
                window: window.window.to_owned(),
            };
            let rate = window.burn_rate_milli as f64 / THOUSANDTHS;
            metrics.burn_rate.get_or_create(&labels).set(rate);
            let (bad, good) = (i64::from(window.bad), i64::from(window.good));
            metrics.burn_requests.get_or_create(&labels).set(good + bad);
            metrics.burn_bad_requests.get_or_create(&labels).set(bad);
        }
        let labels = BudgetLabels { client_account, class };
        let left = row.budget_left as f64 / f64::from(HUNDRED_PERCENT);
        metrics.error_budget_left.get_or_create(&labels).set(left);
        metrics.service_level_alert.get_or_create(&labels).set(alert_level(row.alert));
        let held_back = row.held_back.map_or(Alert::None, |held| held.alert);
        metrics.service_level_alert_held_back.get_or_create(&labels).set(alert_level(held_back));
    }
    metrics.encode()
}

fn alert_level(alert: Alert) -> i64 {
    match alert {
        Alert::None => 0,
        Alert::Ticket => 1,
        Alert::Page => 2,
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
