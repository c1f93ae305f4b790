//! Calls to the store, directly or through another instance.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use body_memory::BodyMemory;
use platform::{Client, ClientConfig, Rates};
use platform_adapter::{Error, Store};
use rand::Rng;

use super::store_route::{StoreRoute, StoreRouting, catch_up_relay};
use super::{Entry, boot_now};
use crate::settings::EntrySettings;

/// Number of instances that share the store's call rates. An instance makes a few calls a second
/// at most, so the resulting limit only matters if a fault causes more.
const STORE_RATE_SHARES: u32 = 16;
/// Longest delay between two calls during an outage of the store. Instances must notice its return
/// well within the three seconds after which the platform expects them to know changes again.
const STORE_MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Clients of the store.
pub(crate) struct StoreAccess {
    /// Address in the settings; a change takes effect at once.
    address: Cell<SocketAddr>,
    direct: RefCell<Store>,
    /// Client for the relay in use.
    relayed: RefCell<Option<(SocketAddr, Store)>>,
    routing: RefCell<StoreRouting>,
    /// Ways of reads by which an instance that does not lead catches up with the leader.
    catch_up_routing: RefCell<StoreRouting>,
    memory: BodyMemory,
}

fn has_answered<T>(result: &Result<T, Error>) -> bool {
    !matches!(result, Err(Error::OutcomeUnknown | Error::NotExecuted(_)))
}

fn client(settings: &EntrySettings, address: SocketAddr, memory: &BodyMemory) -> Store {
    let rates = Rates::share(
        settings.store_reads_per_second,
        settings.store_writes_per_second,
        STORE_RATE_SHARES,
    );
    let client = Client::new(&ClientConfig {
        addresses: [address].into(),
        instance: settings.name.clone(),
        rates,
        seed: rand::rng().random(),
        memory: memory.clone(),
    });
    client.set_max_backoff(STORE_MAX_BACKOFF);
    Store::new(client)
}

impl StoreAccess {
    pub(crate) fn new(settings: &EntrySettings, memory: &BodyMemory) -> Self {
        Self {
            address: Cell::new(settings.store),
            direct: RefCell::new(client(settings, settings.store, memory)),
            memory: memory.clone(),
            relayed: RefCell::new(None),
            routing: RefCell::default(),
            catch_up_routing: RefCell::default(),
        }
    }

    /// Applies the address in changed settings.
    pub(crate) fn change_address(&self, settings: &EntrySettings) {
        self.address.set(settings.store);
        *self.direct.borrow_mut() = client(settings, settings.store, &self.memory);
    }

    fn client(&self, settings: &EntrySettings, route: StoreRoute) -> Store {
        let StoreRoute::Relay(address) = route else { return self.direct.borrow().clone() };
        let mut relayed = self.relayed.borrow_mut();
        match &*relayed {
            Some((known, store)) if *known == address => store.clone(),
            _ => {
                let store = client(settings, address, &self.memory);
                *relayed = Some((address, store.clone()));
                store
            }
        }
    }
}

impl Entry {
    /// Address to which connections of other instances to the store are passed on: that of the store,
    /// or of the instance through which this one, as the leader, calls it. An instance that does not
    /// lead knows no other way, and so no connection goes in a circle.
    pub(crate) fn pass_on_address(&self) -> SocketAddr {
        let is_leader = self.leader_lease.borrow().held_lease(boot_now()).is_some();
        let relay = self.store.routing.borrow().relay().filter(|_| is_leader);
        relay.unwrap_or_else(|| self.store.address.get())
    }

    /// Makes a call to the store. While this instance leads and the store turns it away, the call
    /// goes through another instance; a critical call is never used to test the direct way.
    pub(crate) async fn call_store<T, F>(
        &self,
        is_critical: bool,
        call: impl FnOnce(Store) -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>>,
    {
        let is_leader = self.leader_lease.borrow().held_lease(boot_now()).is_some();
        let route = {
            let mut routing = self.store.routing.borrow_mut();
            if !is_leader {
                routing.reset();
            }
            routing.next(is_critical, Instant::now())
        };
        self.metrics.store_calls.inc();
        let result = call(self.store.client(&self.settings, route)).await;
        let now = Instant::now();
        let next_relay = |failed| {
            let relay = is_leader.then(|| self.instances.borrow().store_relay(failed, now))??;
            tracing::warn!(%relay, ?failed, "store: turned away; calling it through an instance");
            Some(relay)
        };
        self.store.routing.borrow_mut().record(route, has_answered(&result), now, next_relay);
        result
    }

    /// Reads from the store what the leader has applied and this instance lacks. If the store turns
    /// this instance away, the read goes through another one. That connection is not kept, because
    /// an instance passes on only a few at the same time.
    pub(crate) async fn catch_up<T, F>(&self, read: impl FnOnce(Store) -> F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>>,
    {
        let route = self.store.catch_up_routing.borrow_mut().next(false, Instant::now());
        let store = match route {
            StoreRoute::Direct => self.store.direct.borrow().clone(),
            StoreRoute::Relay(address) => client(&self.settings, address, &self.store.memory),
        };
        self.metrics.store_calls.inc();
        let result = read(store).await;
        let next_relay = |failed| {
            let instances = self.instances.borrow();
            let leader = self.leader_lease.borrow().holder().and_then(|n| instances.address(n));
            let relay = catch_up_relay(leader, instances.addresses(), failed)?;
            tracing::warn!(%relay, ?failed, "store: turned away; catching up through an instance");
            Some(relay)
        };
        let mut routing = self.store.catch_up_routing.borrow_mut();
        routing.record(route, has_answered(&result), Instant::now(), next_relay);
        result
    }
}
