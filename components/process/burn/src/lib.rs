//! Service-level windows, error budgets, burn rates and alerts.
