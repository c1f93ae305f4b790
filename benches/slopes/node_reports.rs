//! Decoding and handling of backend server reports in a simulated instance.

use types::prelude::*;

use crate::node::Node;
use crate::owned_group::GroupEffects;
use crate::server_model::Report;

impl Node {
    /// Returns the revision of the last full report of a server.
    pub(crate) fn known_revision(&self, server: &str) -> Option<u64> {
        self.reports.get(server).map(|(revision, _)| *revision)
    }

    pub(crate) fn decode_report(
        &mut self,
        server: BackendServerId,
        report: &Report,
        revision: u64,
    ) -> Option<ServerReport> {
        match report {
            Report::Full(encoded) => {
                let report: ServerReport = serde_json::from_slice(encoded).ok()?;
                self.reports.insert(server, (revision, report.clone()));
                Some(report)
            }
            Report::Loads(encoded) => {
                let loads: LoadReport = serde_json::from_slice(encoded).ok()?;
                loads.apply(&self.reports.get(&server)?.1)
            }
        }
    }

    pub(crate) fn on_report(
        &mut self,
        group: &GroupId,
        requested: Instant,
        report: &ServerReport,
        now: Instant,
    ) {
        let wall = self.wall(now);
        let is_busy = report.replicas.iter().any(|r| r.phase != ReplicaPhase::Ready);
        self.with_group(group, now, |owned, rng| {
            owned.polls.on_read_completed(&report.server, is_busy, now);
            let actions = owned.group.on_report(now, wall, requested, report, rng);
            GroupEffects { actions, ..GroupEffects::default() }
        });
    }
}
