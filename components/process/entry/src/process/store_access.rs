//! Calls to the store, directly or through another instance.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use body_memory::BodyMemory;
use platform::{Client, ClientConfig, Rates};
use platform_adapter::{Error, Store};
use rand::Rng;

use super::store_route::{StoreRoute, StoreRouting};
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
    memory: BodyMemory,
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
        }
    }

    /// Address of the store itself.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address.get()
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
        let has_answered = !matches!(result, Err(Error::OutcomeUnknown | Error::NotExecuted(_)));
        let now = Instant::now();
        let next_relay = |failed| {
            let relay = is_leader.then(|| self.instances.borrow().store_relay(failed, now))??;
            tracing::warn!(%relay, ?failed, "store: turned away; calling it through an instance");
            Some(relay)
        };
        self.store.routing.borrow_mut().record(route, has_answered, now, next_relay);
        result
    }
}
