//! Notices that a data centre is cut off, and when it can be reached again.
//!
//! The servers of a suspected data centre are probed with connections of this instance, so that no
//! request of a caller has to wait for an answer that does not come.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use server_directory::ServerId;
use tokio::task::JoinSet;

use super::Entry;
use crate::connection::{ConnectError, Connection};

/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time that a probe waits for a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Servers that are probed in one round: enough to tell a cut from a failed server.
const PROBED_SERVERS: usize = 3;

/// A server to probe.
struct Probe {
    server: ServerId,
    address: SocketAddr,
}

/// Probes suspected data centres for as long as the process runs.
pub(crate) async fn probe_data_centres(cx: Rc<Entry>) {
    loop {
        let changed = cx.reach_changed.notified();
        if cx.reach.borrow().suspects(Instant::now()).next().is_none() {
            changed.await;
            continue;
        }
        // Empty while the registry has no server of a data centre that was cut off before.
        let probes = cx.due_probes();
        let next_round = Instant::now() + PROBE_INTERVAL;
        let mut running = JoinSet::new();
        for Probe { server, address } in probes {
            let cx = cx.clone();
            running.spawn_local(async move {
                let by = Instant::now() + PROBE_TIMEOUT;
                match Connection::connect(&server, address, by).await {
                    Err(ConnectError::Unreachable) => cx.record_silence(&server),
                    // The host answers, even if no server accepts connections there.
                    Ok(_) | Err(ConnectError::Refused) => {
                        let data_centre = cx.data_centre_of(&server);
                        data_centre.into_iter().for_each(|name| cx.record_contact(&name));
                    }
                }
            });
        }
        while running.join_next().await.is_some() {}
        tokio::time::sleep_until(next_round.into()).await;
    }
}

impl Entry {
    fn data_centre_of(&self, server: &str) -> Option<Box<str>> {
        Some(self.directory.borrow().get(server)?.entry.data_centre.clone())
    }

    /// Random servers of each suspected data centre.
    fn due_probes(&self) -> Vec<Probe> {
        let (directory, reach) = (self.directory.borrow(), self.reach.borrow());
        let probes_of = |name: &str| {
            let servers = directory.servers().filter(|s| *s.entry.data_centre == *name);
            servers.choose_multiple(&mut rand::rng(), PROBED_SERVERS)
        };
        let servers = reach.suspects(Instant::now()).flat_map(|name| probes_of(name));
        servers.map(|s| Probe { server: s.entry.id.clone(), address: s.entry.address }).collect()
    }

    /// Records a sign of life of a server in a data centre.
    pub(crate) fn record_contact(&self, data_centre: &str) {
        let Some(since) = self.reach.borrow_mut().record_answer(data_centre) else { return };
        self.metrics.cut_off_data_centres.dec();
        tracing::info!(
            data_centre,
            took_ms = since.elapsed().as_millis() as u64,
            "servers: data centre can be reached again"
        );
        self.servers_changed.notify_waiters();
        self.waiting_changed.notify_one();
    }

    /// Records that a server gave no answer at all, not even that it accepts no connections. An
    /// instance is never cut off from its own data centre: if nothing there answers, it is alone.
    pub(crate) fn record_silence(&self, server: &str) {
        let Some(data_centre) = self.data_centre_of(server) else { return };
        if data_centre == self.settings.data_centre {
            return;
        }
        let is_there = |s: &&server_directory::Server| s.entry.data_centre == data_centre;
        let servers = self.directory.borrow().servers().filter(is_there).count();
        let is_cut_off =
            self.reach.borrow_mut().record_silence(&data_centre, server, servers, Instant::now());
        if is_cut_off {
            self.metrics.cut_off_data_centres.inc();
            tracing::warn!(%data_centre, servers, "servers: data centre is cut off");
            self.servers_changed.notify_waiters();
            self.waiting_changed.notify_one();
        }
        self.reach_changed.notify_waiters();
    }

    /// Waits until a data centre is cut off.
    pub(crate) async fn wait_for_cut(&self, data_centre: &str) {
        loop {
            let changed = self.reach_changed.notified();
            if self.reach.borrow().is_cut_off(data_centre) {
                return;
            }
            changed.await;
        }
    }

    /// Servers of the data centres that are cut off.
    pub(crate) fn cut_off_servers(&self) -> Vec<ServerId> {
        let (directory, reach) = (self.directory.borrow(), self.reach.borrow());
        let servers = directory.servers().filter(|s| reach.is_cut_off(&s.entry.data_centre));
        servers.map(|s| s.entry.id.clone()).collect()
    }
}
