//! The metrics of one instance.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use types::prelude::*;

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0];

/// Labels of finished requests. The contracts bound the number of client accounts and classes.
/// Models and adapters are never labels, because there are tens of thousands of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The client account.
    pub client_account: String,
    /// The urgency class.
    pub class: String,
    /// `answered`, or the reason of the refusal.
    pub outcome: String,
}

/// Labels of a burn rate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BurnLabels {
    /// The client account.
    pub client_account: String,
    /// The urgency class.
    pub class: String,
    /// The window: `5m`, `1h` or `6h`.
    pub window: String,
}

/// Labels of an error budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BudgetLabels {
    /// The client account.
    pub client_account: String,
    /// The urgency class.
    pub class: String,
}

/// Label with the source that a model was loaded from.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LoadSourceLabel {
    /// The source.
    pub source: LoadSourceValue,
}

/// Label value of a load source.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum LoadSourceValue {
    /// Host memory.
    Memory,
    /// Disk.
    Disk,
    /// Weight store.
    Remote,
}

impl From<LoadSource> for LoadSourceLabel {
    fn from(source: LoadSource) -> Self {
        let source = match source {
            LoadSource::Memory => LoadSourceValue::Memory,
            LoadSource::Disk => LoadSourceValue::Disk,
            LoadSource::Remote => LoadSourceValue::Remote,
        };
        Self { source }
    }
}

/// The metrics of one instance.
pub struct Metrics {
    registry: Registry,
    /// Finished requests by client account, class and outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Time from arrival to the first token.
    pub first_token: Histogram,
    /// Time that requests waited for a model that was not ready.
    pub cold_start: Histogram,
    /// Load orders by source.
    pub loads: Family<LoadSourceLabel, Counter>,
    /// Requests waiting.
    pub queued_requests: Gauge,
    /// Requests running on backend servers.
    pub running_requests: Gauge,
    /// Retries of idempotent requests.
    pub retries: Counter,
    /// Burn rate of the error budget; a rate of 1 uses it up exactly by the end of the window.
    pub burn_rate: Family<BurnLabels, Gauge<f64, AtomicU64>>,
    /// Fraction of the 6-hour error budget that is left; negative if it is overspent.
    pub error_budget_left: Family<BudgetLabels, Gauge<f64, AtomicU64>>,
    /// Alert state: 0 none, 1 ticket, 2 page.
    pub service_level_alert: Family<BudgetLabels, Gauge>,
    /// More urgent alert that is held back because there are too few requests: 0 none, 1 ticket,
    /// 2 page.
    pub service_level_alert_held_back: Family<BudgetLabels, Gauge>,
    /// Requests in a window. Monitoring sums them over all instances before it applies the minimum
    /// counts of an alert.
    pub burn_requests: Family<BurnLabels, Gauge>,
    /// Requests in a window that missed their targets.
    pub burn_bad_requests: Family<BurnLabels, Gauge>,
    /// Configuration version in effect.
    pub configuration_version: Gauge,
    /// Groups that this instance owns.
    pub owned_groups: Gauge,
    /// Calls to the platform.
    pub platform_calls: Counter,
    /// Calls to the platform that failed or timed out.
    pub platform_failures: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("sequoiawell");
        let histogram = || Histogram::new(LATENCY_BUCKETS_SECONDS);
        let metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            first_token: histogram(),
            cold_start: histogram(),
            loads: Family::default(),
            queued_requests: Gauge::default(),
            running_requests: Gauge::default(),
            retries: Counter::default(),
            burn_rate: Family::default(),
            error_budget_left: Family::default(),
            service_level_alert: Family::default(),
            service_level_alert_held_back: Family::default(),
            burn_requests: Family::default(),
            burn_bad_requests: Family::default(),
            configuration_version: Gauge::default(),
            owned_groups: Gauge::default(),
            platform_calls: Counter::default(),
            platform_failures: Counter::default(),
        };
        let m = &metrics;
        registry.register("requests", "Finished requests", m.requests.clone());
        registry.register_with_unit(
            "first_token",
            "Time from arrival to the first token",
            Unit::Seconds,
            m.first_token.clone(),
        );
        registry.register_with_unit(
            "cold_start",
            "Time that requests waited for a model that was not ready",
            Unit::Seconds,
            m.cold_start.clone(),
        );
        registry.register("loads", "Load orders by source", m.loads.clone());
        registry.register("queued_requests", "Requests waiting", m.queued_requests.clone());
        registry.register("running_requests", "Requests running", m.running_requests.clone());
        registry.register("retries", "Retries of idempotent requests", m.retries.clone());
        registry.register(
            "burn_rate",
            "Burn rate of the error budget; 1 uses it up by the end of the window",
            m.burn_rate.clone(),
        );
        registry.register(
            "error_budget_left",
            "Part of the error budget of 6 hours that is left",
            m.error_budget_left.clone(),
        );
        registry.register(
            "service_level_alert",
            "Alert state: 0 none, 1 ticket, 2 page",
            m.service_level_alert.clone(),
        );
        registry.register(
            "service_level_alert_held_back",
            "More urgent alert that too few requests hold back: 0 none, 1 ticket, 2 page",
            m.service_level_alert_held_back.clone(),
        );
        registry.register("burn_requests", "Requests in a window", m.burn_requests.clone());
        registry.register(
            "burn_bad_requests",
            "Requests in a window that missed their targets",
            m.burn_bad_requests.clone(),
        );
        registry.register(
            "configuration_version",
            "Configuration version in force",
            m.configuration_version.clone(),
        );
        registry.register("owned_groups", "Groups owned", m.owned_groups.clone());
        registry.register("platform_calls", "Calls to the platform", m.platform_calls.clone());
        registry.register(
            "platform_failures",
            "Calls to the platform that failed or timed out",
            m.platform_failures.clone(),
        );
        Self { registry, ..metrics }
    }

    /// Registry for further metrics under the same prefix.
    pub fn registry_mut(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
