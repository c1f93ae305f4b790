//! Status of the instance for operators.

use types::prelude::*;
use types::status::InstanceStatus;

use crate::instance::{Drain, Instance};
use crate::operators::Status;

impl Instance {
    /// Builds the status and updates the gauges of queued and running requests.
    pub(crate) fn status(&self, now: Instant) -> Status {
        let (waiting, running) = self.requests.counts();
        self.cx.metrics.queued_requests.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        self.cx.metrics.running_requests.set(i64::try_from(running).unwrap_or(i64::MAX));
        let blocked = self.owned.keys().filter_map(|g| self.groups.get(g)).flat_map(|owned| {
            let servers = owned.group.view(now).servers;
            servers.into_iter().filter(|(_, s)| s.is_blocked).map(|(name, _)| name)
        });
        Status {
            summary: InstanceStatus {
                instance: self.cx.instance.clone(),
                data_centre: self.cx.data_centre.clone(),
                configuration_version: self.follower.current().version,
                owned_groups: self.owned.keys().cloned().collect(),
                ready: self.is_ready(now),
            },
            stopping: self.drain != Drain::Serving,
            platform_reachable: !self.cx.platform.is_failing(),
            live_instances: self.membership.live().into_keys().collect(),
            reachable_data_centres: self.membership.reachable_data_centres(now),
            waiting,
            running,
            blocked_servers: blocked.collect(),
        }
    }

    fn is_ready(&self, now: Instant) -> bool {
        self.drain == Drain::Serving
            && self.follower.current().version > 0
            && self.shares.has_grant(now)
            && self.follower.is_started(now)
    }
}
