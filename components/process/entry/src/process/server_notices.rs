//! What servers say of themselves in their responses: that they leave, or want a pause.

use std::time::{Duration, Instant};

use platform_adapter::ServerNotice;
use server_choice::MAX_PAUSE;
use server_directory::ServerId;

use super::Entry;

/// Time for which the messages between instances name a server that said it is leaving. Entries of
/// leaving servers are drained in the registry by then.
const LEAVING_HINT_TIME: Duration = Duration::from_secs(10);
/// Most leaving servers that a message names.
const MAX_LEAVING_HINTS: usize = 64;

impl Entry {
    /// Acts on what a server said of itself in its response to the request `id`.
    pub(crate) fn record_notice(&self, server: &str, notice: ServerNotice, id: &str) {
        let now = Instant::now();
        if notice.is_leaving {
            let born = self.directory.borrow().get(server).map_or(0, |s| s.entry.holdings.born);
            self.record_leaving(server, born, id);
        }
        if notice.has_malformed_pause {
            tracing::warn!(server, id, "servers: asks for a pause of unreadable length");
        }
        if let Some(pause) = notice.pause {
            let until = self.update_health(server, |health, now| health.begin_pause(now, pause));
            self.metrics.server_pauses.inc();
            tracing::info!(
                server,
                id,
                asked_ms = pause.as_millis() as u64,
                is_cut = pause > MAX_PAUSE,
                pause_ms = until.saturating_duration_since(now).as_millis() as u64,
                "servers: asked for a pause"
            );
        }
    }

    /// Records that a run of a server leaves; `source` is a request or an instance.
    pub(super) fn record_leaving(&self, server: &str, born: u64, source: &str) {
        if !self.directory.borrow_mut().record_leaving(server, born, Instant::now()) {
            return;
        }
        self.metrics.leaving_servers.inc();
        tracing::info!(server, born, source, "servers: says that it is leaving");
        self.pools.close_idle(server);
        self.servers_changed.notify_waiters();
        self.waiting_changed.notify_one();
        self.plan_due.notify_one();
    }

    /// Leaving servers for the messages to other instances, with the start of their runs.
    pub(super) fn leaving_hints(&self) -> Vec<(ServerId, u64)> {
        let directory = self.directory.borrow();
        let recent = directory.recently_leaving(Instant::now(), LEAVING_HINT_TIME);
        recent.take(MAX_LEAVING_HINTS).map(|(server, born)| (server.clone(), born)).collect()
    }

    /// Whether the server may get a request now, besides those in flight from this instance: it has
    /// not asked for a pause, or enough time has passed since.
    pub(crate) fn admits_request(&self, server: &str) -> bool {
        let own_in_flight = self.request_counts.borrow().in_flight_at(server);
        let health = self.health.borrow();
        health.get(server).is_none_or(|health| health.admits(Instant::now(), own_in_flight))
    }

    /// When the pause ends that a server asked for, if it lasts.
    pub(crate) fn paused_until(&self, server: &str) -> Option<Instant> {
        self.health.borrow().get(server)?.paused_until(Instant::now())
    }
}
