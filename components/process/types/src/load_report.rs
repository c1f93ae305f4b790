//! Reduced reports that carry only load figures, for receivers that already have the rest.

use serde::{Deserialize, Serialize};

use crate::backend::ServerReport;
use crate::hash::sha256_hex;
use crate::ids::*;

/// Name of the reduced report in the `A-IM` and `IM` headers (RFC 3229).
pub const LOADS_ONLY: &str = "loads";

/// Hex digits of a revision. A revision is compared only with the last one of the same server, so
/// 64 bits are enough.
const REVISION_LENGTH: usize = 16;

/// Load figures of all replicas of one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Age of the load figures in milliseconds when the report was sent.
    pub load_age_ms: u64,
    /// For each replica, in the order of the report: its number, requests running and requests
    /// queued.
    pub loads: Vec<(ReplicaId, u32, u32)>,
}

impl LoadReport {
    /// Extracts the load figures of a report.
    pub fn from_report(report: &ServerReport) -> Self {
        let loads = report.replicas.iter().map(|r| (r.replica, r.running, r.queued)).collect();
        Self { load_age_ms: report.load_age_ms, loads }
    }

    /// Returns `report` with these load figures, or `None` if they name other replicas.
    pub fn apply(&self, report: &ServerReport) -> Option<ServerReport> {
        let replicas = self.loads.iter().map(|(replica, ..)| replica);
        if !replicas.eq(report.replicas.iter().map(|r| &r.replica)) {
            return None;
        }
        let mut report = report.clone();
        report.load_age_ms = self.load_age_ms;
        for (replica, (_, running, queued)) in report.replicas.iter_mut().zip(&self.loads) {
            (replica.running, replica.queued) = (*running, *queued);
        }
        Some(report)
    }
}

/// Hash of everything in a report except its load figures.
pub fn revision(report: &ServerReport) -> Box<str> {
    let mut report = report.clone();
    report.load_age_ms = 0;
    for replica in &mut report.replicas {
        (replica.running, replica.queued) = (0, 0);
    }
    // Serialisation fails only for maps with non-string keys, which reports do not have.
    let text = serde_json::to_vec(&report).unwrap_or_default();
    sha256_hex(&text)[..REVISION_LENGTH].into()
}
