//! Start and stop of the process.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use body_memory::BodyMemory;
use caller_limits::Parts;
use quick_error::quick_error;
use rand::Rng;
use replica_placement::LeaderLease;
use rustix::process::{Resource, getrlimit};
use server_directory::Directory;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;

use super::log_limit::LogLimit;
use super::peers::PeerSocket;
use super::{
    Entry, Instances, Phase, Quotas, RequestCounts, StoreAccess, SyncState, WaitingRequests,
    crashes, long_prompts, orders, peers, quotas, reach, store_sync,
};
use crate::connection::{
    ConnectionPools, Doors, SOCKET_BUFFER_BYTES, accept_callers, accept_metrics, accept_readiness,
    accept_store_relays, watch_connections,
};
use crate::metrics::Metrics;
use crate::settings::EntrySettings;

/// Time after SIGTERM in which the instance still accepts new requests: it is out of rotation after
/// two readiness checks, and callers use open connections a little longer.
const LEAVING_TIME: Duration = Duration::from_millis(2_800);
/// Time before the end of the grace period at which requests without an answer are failed.
const ENDING_SLACK: Duration = Duration::from_millis(900);
/// Time before the end of the grace period by which the process ends.
const GRACE_SLACK: Duration = Duration::from_millis(400);
/// Interval at which the settings file is checked for changes, which may come without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which open connections are counted during the shutdown.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(50);

quick_error! {
    /// Reasons why the process cannot start.
    #[derive(Debug)]
    pub enum Error {
        /// An address cannot be bound.
        Bind(what: &'static str, address: std::net::SocketAddr, error: std::io::Error) {
            display("[{what}] address {address}: {error}")
        }
        /// A signal handler cannot be installed.
        Signal(error: std::io::Error) {
            from()
            display("signal handler: {error}")
        }
    }
}

async fn bind(what: &'static str, address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    let listener =
        TcpListener::bind(address).await.map_err(|error| Error::Bind(what, address, error))?;
    // Connections inherit the sizes, so that the kernel holds a bounded number of bytes for each.
    let socket = SockRef::from(&listener);
    let result = socket
        .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER_BYTES));
    if let Err(error) = result {
        tracing::warn!(what, %error, "process: sizes of socket buffers not set");
    }
    Ok(listener)
}

/// Descriptors that the settings and the system allow.
fn descriptors(settings: &EntrySettings) -> usize {
    let allowed = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    settings.descriptors.min(usize::try_from(allowed).unwrap_or(usize::MAX))
}

/// Runs an instance until SIGTERM or SIGINT. Must run inside a `LocalSet`. `dropped_lines` returns
/// the number of log lines that were dropped so far.
///
/// # Errors
///
/// Fails if an address cannot be bound or a signal handler cannot be installed.
pub async fn run(
    settings: EntrySettings,
    path: &Path,
    dropped_lines: impl Fn() -> usize + 'static,
) -> Result<(), Error> {
    let callers = bind("callers", settings.callers).await?;
    let readiness = bind("readiness", settings.readiness).await?;
    let metrics = bind("metrics", settings.metrics).await?;
    let peer_socket = PeerSocket::bind(settings.peers)
        .await
        .map_err(|error| Error::Bind("peers", settings.peers, error))?;
    let peer_socket = Rc::new(peer_socket);
    // The port number of the datagrams, which is also free for TCP.
    let store_relays = bind("peers", settings.peers).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    tracing::info!(name = %settings.name, data_centre = %settings.data_centre,
        callers = %settings.callers, store = %settings.store, "process: started");
    let sync = SyncState::new(settings.heartbeat);
    let instance_quotas = Quotas::new(&settings.name);
    let parts = Parts::new(settings.memory_bytes(), descriptors(&settings));
    tracing::info!(?parts, "process: limits");
    let body_memory = BodyMemory::with_limit(parts.body_bytes);
    let cx = Rc::new(Entry {
        store: StoreAccess::new(&settings, &body_memory),
        leader_lease: RefCell::new(LeaderLease::new(
            &settings.name,
            settings.turn_gap,
            settings.claim_delay(),
        )),
        doors: Doors::new(&settings, &parts),
        refusal_lines: LogLimit::new(Instant::now()),
        settings,
        deployment: RefCell::new(None),
        directory: RefCell::new(Directory::default()),
        has_registry: Cell::new(false),
        pools: ConnectionPools::new(&parts),
        body_memory,
        health: RefCell::new(HashMap::new()),
        reach: RefCell::default(),
        retry_budgets: RefCell::new(HashMap::new()),
        run_times: RefCell::default(),
        paces: RefCell::default(),
        slow_servers: RefCell::default(),
        queued: RefCell::default(),
        queued_groups: RefCell::default(),
        place_queues: RefCell::default(),
        prompt_mixes: RefCell::default(),
        long_prompts: RefCell::default(),
        request_counts: RefCell::new(RequestCounts::default()),
        waiting_requests: RefCell::new(WaitingRequests::default()),
        instances: RefCell::new(Instances::default()),
        ready_at: RefCell::new(HashMap::new()),
        stale_holdings: RefCell::default(),
        quotas: instance_quotas,
        quarantine: RefCell::default(),
        is_testing_ban: Cell::new(false),
        ban_test_spread: rand::rng().random(),
        crash_reports: RefCell::default(),
        servers_changed: Notify::new(),
        waiting_changed: Notify::new(),
        bans_changed: Notify::new(),
        long_prompts_changed: Notify::new(),
        plan_due: Notify::new(),
        reach_changed: Notify::new(),
        leader_updated: Notify::new(),
        list_instances: Notify::new(),
        lease_due: Notify::new(),
        started_at: Instant::now(),
        sync,
        phase: watch::Sender::new(Phase::Serving),
        metrics: Metrics::new(dropped_lines),
    });
    spawn_local(accept_callers(cx.clone(), callers));
    spawn_local(accept_readiness(cx.clone(), readiness));
    spawn_local(accept_metrics(cx.clone(), metrics));
    spawn_local(accept_store_relays(cx.clone(), store_relays));
    spawn_local(watch_connections(cx.clone()));
    spawn_local(store_sync::follow_configuration(cx.clone()));
    spawn_local(store_sync::follow_registry(cx.clone()));
    spawn_local(store_sync::register_instance(cx.clone()));
    spawn_local(store_sync::list_instances(cx.clone()));
    spawn_local(store_sync::expire_lapsed_entries(cx.clone()));
    spawn_local(peers::receive(cx.clone(), peer_socket.clone()));
    spawn_local(peers::send_status(cx.clone(), peer_socket.clone(), rand::rng().random()));
    spawn_local(reach::probe_data_centres(cx.clone()));
    spawn_local(crashes::share_bans(cx.clone(), peer_socket.clone()));
    spawn_local(quotas::exchange(cx.clone(), peer_socket.clone()));
    spawn_local(long_prompts::share_long_prompts(cx.clone(), peer_socket.clone()));
    spawn_local(orders::maintain_lease(cx.clone(), peer_socket.clone()));
    spawn_local(orders::run_plan_loop(cx.clone(), peer_socket));
    spawn_local(watch_settings(cx.clone(), path.to_owned(), hangup));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&cx).await;
    Ok(())
}

/// Shuts down in steps: reports not ready, then refuses new requests, then returns once all
/// connections of callers are closed or the grace period is nearly over.
async fn stop(cx: &Entry) {
    let began = Instant::now();
    let end_by = began + cx.settings.grace.saturating_sub(GRACE_SLACK);
    tracing::info!(in_flight = in_flight(cx), "process: stopping; no longer ready");
    cx.phase.send_replace(Phase::Leaving);
    cx.leader_lease.borrow_mut().release();
    cx.lease_due.notify_one();
    tokio::time::sleep_until((began + LEAVING_TIME).min(end_by).into()).await;
    cx.phase.send_replace(Phase::Closing);
    // Wakes requests that wait for a server, so that they are refused.
    cx.servers_changed.notify_waiters();
    let answer_by = began + cx.settings.grace.saturating_sub(ENDING_SLACK);
    wait_for_callers(cx, answer_by).await;
    // Closes the listener. Connections that it had not handed out yet still get a response.
    cx.phase.send_replace(Phase::Ending);
    tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
    wait_for_callers(cx, end_by).await;
    tracing::info!(
        in_flight = in_flight(cx),
        took_ms = began.elapsed().as_millis() as u64,
        "process: stopped"
    );
}

/// Waits until all connections of callers are closed, at most until `latest`.
async fn wait_for_callers(cx: &Entry, latest: Instant) {
    while cx.metrics.caller_connections.get() > 0 && Instant::now() < latest {
        tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
    }
}

fn in_flight(cx: &Entry) -> u32 {
    cx.request_counts.borrow().in_flight.values().flat_map(|models| models.values()).sum()
}

/// Reads the settings again at SIGHUP and when the file has changed. Only a new address of the
/// store is applied; other changes take effect at the next start.
async fn watch_settings(cx: Rc<Entry>, path: PathBuf, mut hangup: tokio::signal::unix::Signal) {
    let mut known = std::fs::read(&path).unwrap_or_default();
    let mut address = cx.settings.store;
    loop {
        let is_signal = tokio::select! {
            received = hangup.recv() => received.is_some(),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(error) => {
                tracing::error!(%error, "process: settings not readable; keeping the old ones");
                continue;
            }
        };
        if text == known && !is_signal {
            continue;
        }
        known = text;
        match EntrySettings::load(&path) {
            Ok(settings) => {
                tracing::info!(is_signal, store = %settings.store, "process: settings read again");
                if settings.store != address {
                    address = settings.store;
                    cx.store.change_address(&settings);
                }
            }
            Err(error) => {
                tracing::error!(%error, "process: settings invalid; keeping the old ones");
            }
        }
    }
}
