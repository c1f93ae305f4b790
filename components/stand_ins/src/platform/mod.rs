//! Stand-in for the platform: the object API with rate limits and injected faults.
//!
//! Besides the published API it serves `GET` and `POST /stand-in/faults` (replaces all faults;
//! absent fields are off), `GET /stand-in/counters` and `POST /stand-in/instances` (replaces the
//! instance list).

mod objects;
mod rates;
mod requests;

use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use types::prelude::*;

pub use objects::WatchEvent;
pub use rates::{PlatformCounters, SecondCount};

use crate::http_server;
use objects::Objects;
use rates::Rates;

/// Maximum size of an object's value.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Settings of a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Address on loopback; `None` selects a free port.
    pub address: Option<SocketAddr>,
    /// Declared limit of reads per second.
    pub reads_per_second: u32,
    /// Declared limit of writes per second.
    pub writes_per_second: u32,
    /// Delay until callers see a change of the instance list.
    pub instances_lag: Duration,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            address: None,
            reads_per_second: 2_000,
            writes_per_second: 400,
            instances_lag: Duration::ZERO,
        }
    }
}

/// Injected faults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Close every connection without a response and without an effect; watches break.
    pub outage: bool,
    /// Delay of every response in milliseconds. Writes take effect before the delay.
    pub delay_ms: u64,
    /// Number of writes whose connection the platform closes without a response after they took
    /// effect.
    pub lose_write_answers: u32,
    /// Callers, by `x-instance` header, whose connections the platform closes; their watches break.
    pub cut: BTreeSet<Box<str>>,
    /// Refuse calls above the declared limits with 429.
    pub refuse_above_rate: bool,
}

/// One stored object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Value of the object.
    pub value: serde_json::Value,
}

/// A running platform on loopback.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    inner: Arc<Inner>,
    server: AbortHandle,
}

#[derive(Debug)]
struct Inner {
    cfg: PlatformConfig,
    state: Mutex<State>,
    /// Wakes watches after changes of objects or faults.
    changed: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    objects: Objects,
    faults: PlatformFaults,
    rates: Rates,
    /// Instance lists with the time of each change, oldest first. Never empty.
    instances: VecDeque<(Instant, Vec<ListedInstance>)>,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the list as it was `lag` ago and drops older ones.
    fn listed_instances(&mut self, lag: Duration) -> &[ListedInstance] {
        let now = Instant::now();
        while self.instances.get(1).is_some_and(|(since, _)| now.duration_since(*since) >= lag) {
            self.instances.pop_front();
        }
        &self.instances[0].1
    }
}

impl Platform {
    /// Starts a platform on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(cfg: PlatformConfig) -> io::Result<Self> {
        let listener = http_server::bind(cfg.address).await?;
        let address = listener.local_addr()?;
        let now = Instant::now();
        let state = State {
            objects: Objects::default(),
            faults: PlatformFaults::default(),
            rates: Rates::new(now),
            instances: VecDeque::from([(now, Vec::new())]),
        };
        let changed = watch::Sender::new(());
        let inner = Arc::new(Inner { cfg, state: Mutex::new(state), changed });
        let served = inner.clone();
        let server = http_server::spawn(listener, move |req| requests::handle(served.clone(), req));
        Ok(Self { address, inner, server })
    }

    /// Address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.server.abort();
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> PlatformFaults {
        self.inner.state().faults.clone()
    }

    /// Changes the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.inner.state().faults);
        self.inner.changed.send_replace(());
    }

    /// Call counters so far.
    pub fn counters(&self) -> PlatformCounters {
        self.inner.state().rates.counters.clone()
    }

    /// Replaces the instance list. Callers see the change after the configured lag.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        self.inner.state().instances.push_back((Instant::now(), instances));
    }

    /// Adds `instance` to the list or replaces the entry of the same name.
    pub fn upsert_instance(&self, instance: ListedInstance) {
        self.change_instances(|list| {
            list.retain(|listed| listed.name != instance.name);
            list.push(instance);
        });
    }

    /// Removes the entry named `name` from the list.
    pub fn remove_instance(&self, name: &str) {
        self.change_instances(|list| list.retain(|listed| &*listed.name != name));
    }

    fn change_instances(&self, change: impl FnOnce(&mut Vec<ListedInstance>)) {
        let mut state = self.inner.state();
        let mut list = state.instances.back().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut list);
        state.instances.push_back((Instant::now(), list));
    }

    /// Reads an object without counting a call.
    pub fn object(&self, kind: &str, name: &str) -> Option<StoredObject> {
        let state = self.inner.state();
        state.objects.get(kind, name).map(|object| StoredObject {
            version: object.version,
            value: serde_json::from_slice(&object.value).expect("stored values are JSON"),
        })
    }

    /// Names of the objects of `kind`, without counting a call.
    pub fn object_names(&self, kind: &str) -> Vec<Box<str>> {
        self.inner.state().objects.list(kind, "").map(|(name, _)| name.into()).collect()
    }

    /// Writes an object unconditionally, without counting a call.
    pub fn put_object(&self, kind: &str, name: &str, value: &serde_json::Value) {
        let value = value.to_string().into();
        self.inner.state().objects.write(kind, name, None, Some(value));
        self.inner.changed.send_replace(());
    }
}
