//! Reports that carry only load figures, for readers that know the rest.

use serde::{Deserialize, Serialize};

use crate::backend::ServerReport;
use crate::hash::sha256_hex;
use crate::ids::*;

/// Name of the reduced form in `A-IM` and `IM` headers (RFC 3229).
pub const LOADS_ONLY: &str = "loads";

/// Characters of a revision. Revisions of one server are compared with its last one only, so that
/// 64 bits are enough.
const REVISION_LENGTH: usize = 16;

/// Load figures of all replicas of one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Age of the load figures in milliseconds when the report was sent.
    pub load_age_ms: u64,
    /// Number of each replica, requests running and requests queued, in the order of the report.
    pub loads: Vec<(ReplicaId, u32, u32)>,
}

impl LoadReport {
    /// The load figures of a report.
    pub fn from_report(report: &ServerReport) -> Self {
        let loads = report.replicas.iter().map(|r| (r.replica, r.running, r.queued)).collect();
        Self { load_age_ms: report.load_age_ms, loads }
    }

    /// The report with these figures; `None` if they name other replicas.
    pub fn apply(&self, report: &ServerReport) -> Option<ServerReport> {
        let named = self.loads.iter().map(|(replica, ..)| replica);
        if !named.eq(report.replicas.iter().map(|r| &r.replica)) {
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

/// Changes with everything in a report but its load figures.
pub fn revision(report: &ServerReport) -> Box<str> {
    let mut report = report.clone();
    report.load_age_ms = 0;
    for replica in &mut report.replicas {
        (replica.running, replica.queued) = (0, 0);
    }
    // Reports hold no maps with keys other than text, so that they always serialise.
    let text = serde_json::to_vec(&report).unwrap_or_default();
    sha256_hex(&text)[..REVISION_LENGTH].into()
}
