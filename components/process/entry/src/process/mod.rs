//! What lives as long as the process.

mod follow;
mod instances;
mod orders;
mod peers;
mod request_counts;
mod run;
mod store_sync;
mod waiting_requests;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Instant;

use model_homes::{Authority, BootTime};
use platform_adapter::Store;
use routes::{Deployment, ModelName, ServiceName};
use server_choice::{Health, RepeatBudget};
use server_directory::{Directory, ServerId};
use tokio::sync::{Notify, watch};

use crate::connection::{KEPT_PER_SERVER, Link, Pools};
use crate::metrics::Metrics;
use crate::settings::EntrySettings;

pub(crate) use instances::Instances;
pub(crate) use request_counts::{InFlight, ModelKey, RequestCounts};
pub use run::{Error, run};
pub(crate) use waiting_requests::{WaitingRequest, WaitingRequests};

/// How far the process is from its end. It only rises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Takes requests.
    Serving,
    /// Not ready, but takes what still comes in.
    Leaving,
    /// Takes no new requests, and refuses those that were not sent to a server yet.
    Closing,
    /// Requests without an answer get their failure.
    Ending,
}

/// How far this instance follows the store.
#[derive(Debug, Default)]
pub(crate) struct SyncState {
    /// Changes of the registry that senders of requests must know of: servers that come, leave,
    /// restart or move.
    pub(crate) registry_revision: Cell<u64>,
    /// Revision of the configuration object in force.
    pub(crate) configuration_revision: Cell<u64>,
    /// When the store last confirmed the registry and the configuration.
    pub(crate) registry_confirmed_at: Cell<Option<Instant>>,
    pub(crate) configuration_confirmed_at: Cell<Option<Instant>>,
}

/// State of the process. One thread uses it; no borrow is held across an await.
pub(crate) struct Entry {
    pub(crate) settings: EntrySettings,
    /// The store; replaced if the settings name another address.
    pub(crate) store: RefCell<Store>,
    /// Newest configuration; its version only rises.
    pub(crate) deployment: RefCell<Option<Rc<Deployment>>>,
    pub(crate) directory: RefCell<Directory>,
    /// The registry was listed once, so that an unknown server is really unknown.
    pub(crate) has_registry: Cell<bool>,
    pub(crate) pools: Pools,
    pub(crate) health: RefCell<HashMap<ServerId, Health>>,
    pub(crate) retry_budgets: RefCell<HashMap<ServiceName, RepeatBudget>>,
    pub(crate) request_counts: RefCell<RequestCounts>,
    pub(crate) waiting_requests: RefCell<WaitingRequests>,
    pub(crate) instances: RefCell<Instances>,
    pub(crate) authority: RefCell<Authority>,
    /// Servers that turned away a request for a model that they should have, until this is told.
    pub(crate) stale_holdings: RefCell<HashSet<ServerId>>,
    /// When models that are waited for should be loaded, as the order giver says.
    pub(crate) ready_at: RefCell<HashMap<ModelName, Instant>>,
    /// Servers or their holdings changed; wakes waiting requests.
    pub(crate) servers_changed: Notify,
    /// What this instance waits for changed; the order giver should know.
    pub(crate) waiting_changed: Notify,
    /// The order giver should plan again.
    pub(crate) plan_due: Notify,
    /// The order giver told how far it follows the store.
    pub(crate) leader_updated: Notify,
    /// An instance is named whose address is not known.
    pub(crate) list_instances: Notify,
    /// Something is to be done for the lease of the order giver at once.
    pub(crate) lease_due: Notify,
    pub(crate) started_at: Instant,
    /// How far this instance follows the store.
    pub(crate) sync: SyncState,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) metrics: Metrics,
}

impl Entry {
    /// Whether requests can be served.
    pub(crate) fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
            && self.has_registry.get()
            && self.deployment.borrow().is_some()
    }

    /// Waits until requests without an answer have to be failed.
    pub(crate) async fn ending(&self) {
        let mut phase = self.phase.subscribe();
        if phase.wait_for(|phase| *phase >= Phase::Ending).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Whether this instance's share of the limits has a repeat left for a service.
    pub(crate) fn has_retry(&self, service: &str) -> bool {
        let instances = self.instances.borrow().count();
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.into()).or_default();
        budget.has_repeat(Instant::now(), &self.settings.repeats, instances)
    }

    /// Takes one repeat for a service from this instance's share of the limits.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        let instances = self.instances.borrow().count();
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.into()).or_default();
        budget.repeat(Instant::now(), &self.settings.repeats, instances)
    }

    /// A server turned away a request for a model that it should have.
    pub(crate) fn mark_holdings_stale(&self, server: &str, model: &str) {
        let born = self.directory.borrow().get(server).map(|s| s.entry.holdings.born);
        if let Some(born) = born {
            let mut directory = self.directory.borrow_mut();
            directory.observe(server, born, Instant::now(), |holdings| {
                holdings.models.remove(model);
            });
        }
        self.stale_holdings.borrow_mut().insert(server.into());
        self.waiting_changed.notify_one();
    }

    /// Requests in flight at a server from all instances, as far as known.
    pub(crate) fn in_flight_at(&self, server: &str) -> u32 {
        self.request_counts.borrow().at(server) + self.instances.borrow().in_flight_at(server)
    }

    /// Keeps an idle connection for the next request.
    pub(crate) fn return_to_pool(&self, link: Link) {
        let max_idle = self.max_idle_connections(link.server());
        self.pools.put(link, max_idle);
    }

    /// Idle connections that this instance keeps to a server: its part of half of what the server
    /// accepts from all instances. The other half is left for requests in flight.
    fn max_idle_connections(&self, server: &str) -> usize {
        let directory = self.directory.borrow();
        let deployment = self.deployment.borrow();
        let service = directory
            .get(server)
            .and_then(|server| deployment.as_ref()?.services.get(&server.entry.service));
        let accepted = service.map_or(u32::MAX, |service| service.max_connections) as usize;
        let instances = self.instances.borrow().count();
        (accepted / 2 / instances).clamp(1, KEPT_PER_SERVER)
    }

    /// Changes the health of a server.
    pub(crate) fn update_health(&self, server: &str, change: impl FnOnce(&mut Health, Instant)) {
        let mut health = self.health.borrow_mut();
        match health.get_mut(server) {
            Some(health) => change(health, Instant::now()),
            None => change(health.entry(server.into()).or_default(), Instant::now()),
        }
    }
}

/// Time since the machine booted, suspension included.
pub(crate) fn boot_now() -> BootTime {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    BootTime::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32)
}
