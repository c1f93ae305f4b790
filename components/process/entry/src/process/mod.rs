//! State shared by all tasks of the process, and the tasks that run as long as it does.

mod crashes;
mod follow;
mod instances;
mod log_limit;
mod long_prompts;
mod message_delay;
mod messages;
mod orders;
mod peers;
mod place_queues;
mod quotas;
mod reach;
mod request_counts;
mod run;
mod server_notices;
mod store_access;
mod store_route;
mod store_sync;
mod waiting_requests;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::waiting::WaitingGroup;
use body_memory::BodyMemory;
use quarantine::Quarantine;
use replica_placement::{BootTime, LeaderLease};
use routes::{Deployment, ModelName, ServiceName};
use server_choice::{Health, PaceMeter, PromptMix, Reach, RetryBudget, RunTime};
use server_directory::{ChangeLog, Directory, OutageDetector, ServerId, SteadyTime};
use tokio::sync::{Notify, watch};

use crate::connection::{Connection, ConnectionPools, Doors, MAX_IDLE_PER_SERVER};
use crate::metrics::Metrics;
use crate::settings::EntrySettings;

pub(crate) use crashes::{BanTest, CrashReports, LostRequest};
pub(crate) use instances::Instances;
use log_limit::LogLimit;
use long_prompts::LongPrompts;
pub(crate) use long_prompts::UnreadPrompt;
use messages::{ServerKey, server_key};
pub(crate) use place_queues::{PlaceQueues, WaitingPlace, queue_of, takes_place};
pub(crate) use quotas::Quotas;
pub(crate) use request_counts::{InFlight, ModelKey, RequestCounts};
pub use run::{Error, run};
pub(crate) use store_access::StoreAccess;
pub(crate) use waiting_requests::{WaitingRequest, WaitingRequests};

/// Interval between two updates of the leader to all other instances.
pub(crate) const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);

/// Connections with unfinished bodies or unread answers that are closed when a body finds no memory.
const RELIEVED_BODIES: usize = 8;

/// Stage of the shutdown. It never goes back to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Accepts requests.
    Serving,
    /// Reports not ready, but still accepts requests.
    Leaving,
    /// Accepts no new requests, and refuses those that were not sent to a server yet.
    Closing,
    /// Fails the requests that have no answer yet.
    Ending,
}

/// Revisions of the store that this instance has applied, and when the store confirmed them.
#[derive(Debug)]
pub(crate) struct SyncState {
    /// Revision of the last registry change that affects where requests are sent: a server that
    /// appears, leaves, restarts or changes its address.
    pub(crate) registry_revision: Cell<u64>,
    /// Revision of the configuration object in force.
    pub(crate) configuration_revision: Cell<u64>,
    /// When the store last confirmed that the registry and the configuration are up to date.
    pub(crate) registry_confirmed_at: Cell<Option<Instant>>,
    pub(crate) configuration_confirmed_at: Cell<Option<Instant>>,
    /// Tells outages of the registry from times in which this instance alone could not reach it.
    pub(crate) outage_detector: RefCell<OutageDetector>,
    /// Recent registry changes, for the other instances if this one leads.
    pub(crate) registry_changes: RefCell<ChangeLog>,
}

impl SyncState {
    /// `heartbeat` is the interval at which servers renew their registry entries.
    pub(crate) fn new(heartbeat: Duration) -> Self {
        Self {
            registry_revision: Cell::default(),
            configuration_revision: Cell::default(),
            registry_confirmed_at: Cell::default(),
            configuration_confirmed_at: Cell::default(),
            outage_detector: RefCell::new(OutageDetector::new(heartbeat)),
            registry_changes: RefCell::default(),
        }
    }
}

/// State shared by all tasks of the process. They run on one thread, and no borrow is held across
/// an await.
pub(crate) struct Entry {
    pub(crate) settings: EntrySettings,
    pub(crate) store: StoreAccess,
    /// Newest configuration; its version never decreases.
    pub(crate) deployment: RefCell<Option<Rc<Deployment>>>,
    pub(crate) directory: RefCell<Directory>,
    /// Whether the registry was listed at least once. Before that, a missing server may exist.
    pub(crate) has_registry: Cell<bool>,
    pub(crate) pools: ConnectionPools,
    /// Connections of each listener.
    pub(crate) doors: Doors,
    /// Limits the lines about requests that are refused at arrival or find no memory.
    pub(crate) refusal_lines: LogLimit,
    /// Memory for the bodies of requests and responses, and for pieces of streams.
    pub(crate) body_memory: BodyMemory,
    pub(crate) health: RefCell<HashMap<ServerId, Health>>,
    /// Data centres that this instance can and cannot reach.
    pub(crate) reach: RefCell<Reach>,
    pub(crate) retry_budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// Time for which a request occupies a slot, by service.
    pub(crate) run_times: RefCell<HashMap<ServiceName, RunTime>>,
    /// Pace of servers as this instance measured it since its last message, by model or plain
    /// service.
    pub(crate) paces: RefCell<PaceMeter<ServerKey, Box<str>>>,
    /// Servers that are slow according to all instances, and by which factor.
    pub(crate) slow_servers: RefCell<HashMap<ServerKey, f64>>,
    /// Requests of all instances that wait for room at the servers of a model.
    pub(crate) queued: RefCell<HashMap<ModelName, u32>>,
    /// The requests of `queued` by rank and client account. Empty where the configuration has no
    /// client accounts.
    pub(crate) queued_groups: RefCell<HashMap<ModelName, Vec<WaitingGroup>>>,
    /// Requests of this instance that wait for room at the servers of a model, in their order.
    pub(crate) place_queues: RefCell<PlaceQueues>,
    /// Prompts of this instance's requests, by service.
    pub(crate) prompt_mixes: RefCell<HashMap<ServiceName, PromptMix>>,
    pub(crate) long_prompts: RefCell<LongPrompts>,
    pub(crate) request_counts: RefCell<RequestCounts>,
    pub(crate) waiting_requests: RefCell<WaitingRequests>,
    pub(crate) instances: RefCell<Instances>,
    /// This instance's view of the leader's lease, and its right to send orders.
    pub(crate) leader_lease: RefCell<LeaderLease>,
    /// Servers that refused a request for a model that they should hold, until this is reported
    /// to the leader.
    pub(crate) stale_holdings: RefCell<HashSet<ServerId>>,
    /// Quotas of client accounts.
    pub(crate) quotas: Quotas,
    /// Requests that are kept from the servers because they end them.
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Whether a request of this instance tests a ban.
    pub(crate) is_testing_ban: Cell<bool>,
    /// Random number in `0..1` that keeps the tests of bans at different instances apart.
    pub(crate) ban_test_spread: f64,
    /// Ends of servers that are reported to the leader.
    pub(crate) crash_reports: RefCell<CrashReports>,
    /// When the leader expects models with waiting requests to be loaded.
    pub(crate) ready_at: RefCell<HashMap<ModelName, Instant>>,
    /// Wakes waiting requests after servers or their holdings changed.
    pub(crate) servers_changed: Notify,
    /// Makes this instance report changed waiting requests or stale holdings to the leader.
    pub(crate) waiting_changed: Notify,
    /// Makes this instance send its bans to the others.
    pub(crate) bans_changed: Notify,
    /// Makes this instance tell others of long prompts.
    pub(crate) long_prompts_changed: Notify,
    /// Makes the leader plan again.
    pub(crate) plan_due: Notify,
    /// Wakes the probes of data centres, and requests at servers of one that is cut off.
    pub(crate) reach_changed: Notify,
    /// Signals that an update of the leader was applied, with its revisions of the store.
    pub(crate) leader_updated: Notify,
    /// Makes this instance list the others, because it does not know the address of one.
    pub(crate) list_instances: Notify,
    /// Makes the lease task check at once whether a call about the leader's lease is due.
    pub(crate) lease_due: Notify,
    pub(crate) started_at: Instant,
    /// Revisions of the store that this instance has applied.
    pub(crate) sync: SyncState,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) metrics: Metrics,
}

impl Entry {
    /// Whether this instance can serve requests.
    pub(crate) fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
            && self.has_registry.get()
            && self.deployment.borrow().is_some()
    }

    /// Whether the configuration has client accounts.
    pub(crate) fn has_accounts(&self) -> bool {
        let deployment = self.deployment.borrow();
        deployment.as_ref().is_some_and(|deployment| !deployment.accounts.is_empty())
    }

    /// Whether waiting requests are told apart by rank and account.
    pub(crate) fn has_waiting_groups(&self) -> bool {
        let deployment = self.deployment.borrow();
        deployment.as_ref().is_some_and(|deployment| deployment.engine_waits().len() > 1)
            || self.has_accounts()
    }

    /// Waits for the shutdown phase in which requests without an answer are failed.
    pub(crate) async fn ending(&self) {
        let mut phase = self.phase.subscribe();
        if phase.wait_for(|phase| *phase >= Phase::Ending).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Whether this instance's share of the retry limits allows another retry for a service.
    pub(crate) fn has_retry_left(&self, service: &str) -> bool {
        let instances = self.instances.borrow().count();
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.into()).or_default();
        budget.has_retry_left(Instant::now(), &self.settings.retry_limits, instances)
    }

    /// Consumes one retry for a service from this instance's share of the retry limits, if one is
    /// left.
    pub(crate) fn consume_retry(&self, service: &str) -> bool {
        let instances = self.instances.borrow().count();
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.into()).or_default();
        budget.consume_retry(Instant::now(), &self.settings.retry_limits, instances)
    }

    /// Records that a server refused a request for a model that it should hold: sends it no further
    /// ones, and has the leader ask the server again.
    pub(crate) fn mark_holdings_stale(&self, server: &str, model: &str) {
        self.directory.borrow_mut().record_refused_model(server, model);
        self.stale_holdings.borrow_mut().insert(server.into());
        self.waiting_changed.notify_one();
    }

    /// Requests in flight at a server: this instance's own, and those of the other instances as of
    /// the leader's last update.
    pub(crate) fn in_flight_at(&self, server: &str) -> u32 {
        self.request_counts.borrow().in_flight_at(server)
            + self.instances.borrow().in_flight_at(server)
    }

    /// Factor by which a server is slower than usual; 1 if it is not slow.
    pub(crate) fn slowness(&self, server: &str) -> f64 {
        self.slow_servers.borrow().get(&server_key(server)).copied().unwrap_or(1.0)
    }

    /// Records that a step of a request for a model, or a call to a plain service, took `step`.
    pub(crate) fn record_pace(&self, server: &str, model: &str, step: Duration) {
        self.paces.borrow_mut().record(server_key(server), model.into(), step);
    }

    /// Requests of this instance in flight, by server.
    pub(crate) fn own_in_flight(&self) -> HashMap<ServerKey, u32> {
        let counts = self.request_counts.borrow();
        let own = counts.in_flight.iter();
        own.map(|(server, models)| (server_key(server), models.values().sum())).collect()
    }

    /// Returns an idle connection to the pool.
    pub(crate) fn return_to_pool(&self, connection: Connection) {
        let max_idle = self.max_idle_connections(connection.server());
        let in_use = self.doors.callers.connections.count();
        self.pools.return_idle(connection, max_idle, in_use);
    }

    /// Maximum of idle connections that this instance keeps to a server: its share of half of the
    /// connections that the server accepts. The other half is left for requests in flight.
    fn max_idle_connections(&self, server: &str) -> usize {
        let directory = self.directory.borrow();
        let deployment = self.deployment.borrow();
        let service = directory
            .get(server)
            .and_then(|server| deployment.as_ref()?.services.get(&server.entry.service));
        let accepted = service.map_or(u32::MAX, |service| service.max_connections) as usize;
        let instances = self.instances.borrow().count();
        (accepted / 2 / instances).clamp(1, MAX_IDLE_PER_SERVER)
    }

    /// Applies a change to the health of a server, which starts out with the default.
    pub(crate) fn update_health<T>(
        &self,
        server: &str,
        change: impl FnOnce(&mut Health, Instant) -> T,
    ) -> T {
        let mut health = self.health.borrow_mut();
        match health.get_mut(server) {
            Some(health) => change(health, Instant::now()),
            None => change(health.entry(server.into()).or_default(), Instant::now()),
        }
    }

    /// Records that another instance followed the registry in this time.
    pub(crate) fn record_steady_registry(&self, from: &str, steady: SteadyTime) {
        if self.sync.outage_detector.borrow_mut().record_steady_elsewhere(steady) {
            tracing::info!(
                from,
                steady_for_ms = steady.since.elapsed().as_millis() as u64,
                "registry: no outage, only this instance was cut off; vanished entries are gone"
            );
            self.directory.borrow_mut().end_grace_periods(Instant::now());
        }
    }

    /// Records that the bodies in the process leave no room for a body of a request, or of a
    /// server's response to it.
    pub(crate) fn record_no_memory(&self, id: &str, server: &str) {
        self.metrics.bodies_without_memory.inc();
        self.doors.callers.connections.relieve_bodies(RELIEVED_BODIES, Instant::now());
        if self.refusal_lines.allows_line(Instant::now()) {
            let used = self.body_memory.used();
            tracing::warn!(id, server, used, "request: no memory for a body");
        }
    }

    /// Disconnects callers that have not read their answers for a while, so that there is memory for
    /// other answers.
    pub(crate) fn disconnect_unread(&self) {
        self.doors.callers.connections.relieve_answers(RELIEVED_BODIES, Instant::now());
    }

    /// Records that a server could not be reached.
    pub(crate) fn record_unreachable(&self, server: &str) {
        let until = self.update_health(server, |health, now| health.record_unreachable(now));
        if let Some(until) = until {
            let backoff_ms = until.saturating_duration_since(Instant::now()).as_millis() as u64;
            tracing::info!(server, backoff_ms, "servers: unreachable; backing off");
        }
    }
}

/// Time since the machine booted, including time in suspension.
pub(crate) fn boot_now() -> BootTime {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    BootTime::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32)
}
