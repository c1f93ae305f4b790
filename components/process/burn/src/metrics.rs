//! Burn rates, budgets and alerts as metrics.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::report::BurnReport;

/// Labels of a series. Customers and classes are bounded by the contracts; models and adapters are
/// never labels.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SeriesLabels {
    customer: String,
    class: String,
}

/// Labels of a burn rate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WindowLabels {
    customer: String,
    class: String,
    window: String,
}

/// A gauge with a fraction.
type Fraction = Gauge<f64, AtomicU64>;

/// Burn metrics of one instance. They show its own requests; alerts over all instances are summed by
/// the monitoring or by `report burn`.
#[derive(Clone, Debug, Default)]
pub struct BurnMetrics {
    rate: Family<WindowLabels, Fraction>,
    good: Family<WindowLabels, Gauge>,
    bad: Family<WindowLabels, Gauge>,
    budget_left: Family<SeriesLabels, Fraction>,
    alert: Family<SeriesLabels, Gauge>,
}

impl BurnMetrics {
    /// Registers the metrics.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let m = &metrics;
        registry.register(
            "burn_rate",
            "Burn rate of the error budget over a window",
            m.rate.clone(),
        );
        registry.register(
            "burn_good_requests",
            "Requests in a window that met their targets",
            m.good.clone(),
        );
        registry.register(
            "burn_bad_requests",
            "Requests in a window that missed their targets",
            m.bad.clone(),
        );
        registry.register(
            "error_budget_left",
            "Part of the error budget of the last 6 hours that is left; negative if overspent",
            m.budget_left.clone(),
        );
        registry.register("burn_alert", "Alert state: 0 none, 1 ticket, 2 page", m.alert.clone());
        metrics
    }

    /// Replaces all values; series that the report no longer has are dropped.
    pub fn update(&self, report: &BurnReport) {
        self.rate.clear();
        self.good.clear();
        self.bad.clear();
        self.budget_left.clear();
        self.alert.clear();
        for row in &report.rows {
            let labels =
                SeriesLabels { customer: row.customer.to_string(), class: row.class.to_string() };
            // Basis points become a fraction of the budget.
            self.budget_left.get_or_create(&labels).set(row.budget_left as f64 / 10_000.0);
            self.alert.get_or_create(&labels).set(row.alert as i64);
            for window in &row.windows {
                let labels = WindowLabels {
                    customer: labels.customer.clone(),
                    class: labels.class.clone(),
                    window: window.window.into(),
                };
                self.rate.get_or_create(&labels).set(window.burn_rate_milli as f64 / 1000.0);
                self.good.get_or_create(&labels).set(window.good.into());
                self.bad.get_or_create(&labels).set(window.bad.into());
            }
        }
    }
}
