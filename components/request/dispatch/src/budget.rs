//! Retry budget.

/// Keeps retries at most a tenth of first attempts, per backend server and overall.
#[derive(Debug, Default)]
pub struct RetryBudget {}

impl RetryBudget {
    /// An empty window.
    pub fn new() -> Self {
        Self::default()
    }
}
