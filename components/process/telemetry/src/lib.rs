//! Log set-up and the metrics registry.

mod log;
mod metrics;

#[cfg(test)]
mod metrics_tests;

pub use log::{LogFormat, LogGuard, init_json_stdout, init_log};
pub use metrics::{
    BudgetLabels, BurnLabels, LoadSourceLabel, LoadSourceValue, Metrics, OutcomeLabels,
};
