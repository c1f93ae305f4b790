//! Keeps the configuration, the registry and the list of instances in sync with the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use platform_adapter::{
    CONFIGURATION_KIND, CONFIGURATION_NAME, PutOutcome, SERVER_KIND, Store, StoredObject,
};
use serde::{Deserialize, Serialize};
use server_directory::{Entry as ServerEntry, RegistryChange};

use super::follow::{Follower, PAGE_TIMEOUT, RETRY_PAUSE, follow, short_call};
use super::{Entry, boot_now};
use crate::version;

/// Kind of the objects by which instances register themselves.
const INSTANCE_KIND: &str = "entry-instances";

/// Pause between two watches of the registry, so that one call returns several changes.
const REGISTRY_PAUSE: Duration = Duration::from_millis(500);
/// The same pause at the leader, which plans with the registry and needs changes earlier.
const LEADER_PAUSE: Duration = Duration::from_millis(150);
/// Least time between two listings of the instances.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(700);

/// Address at which an instance receives messages from the others.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Registration {
    peers: SocketAddr,
}

struct ConfigurationFollower(Rc<Entry>);

impl ConfigurationFollower {
    fn apply(&self, object: &StoredObject) {
        if &*object.name != CONFIGURATION_NAME {
            return;
        }
        match platform_adapter::decode_deployment(&object.value) {
            Ok(decoded) => {
                version::apply(&self.0, decoded, object.revision);
                self.0.sync.configuration_revision.set(object.revision);
            }
            Err(error) => {
                tracing::error!(revision = object.revision, %error, "configuration: invalid");
            }
        }
    }
}

impl Follower for ConfigurationFollower {
    const KIND: &'static str = CONFIGURATION_KIND;
    const CATCHES_UP: bool = true;

    fn leader_revision((_, configuration): (u64, u64)) -> u64 {
        configuration
    }

    fn confirmed(&mut self, at: Instant) {
        self.0.sync.configuration_confirmed_at.set(Some(at));
    }

    fn apply_list(&mut self, objects: Vec<StoredObject>, _: u64) {
        objects.iter().for_each(|object| self.apply(object));
    }

    fn apply_change(&mut self, object: &StoredObject, is_deleted: bool, _: u64) {
        // A deleted configuration stays in force until another one is written.
        if !is_deleted {
            self.apply(object);
        }
    }
}

struct RegistryFollower {
    cx: Rc<Entry>,
}

impl RegistryFollower {
    /// Applies an entry as the registry stores it. Returns false if it cannot be parsed.
    fn put_object(&self, object: &StoredObject, at: u64) -> bool {
        let entry = platform_adapter::decode_server_entry(&object.name, &object.value);
        match entry {
            Some(entry) => self.put(entry, object.revision, at),
            None => {
                tracing::info!(server = %object.name, revision = object.revision,
                    "registry: ignored an entry that cannot be parsed");
                return false;
            }
        }
        true
    }

    fn put(&self, entry: ServerEntry, revision: u64, at: u64) {
        let cx = &self.cx;
        let mut directory = cx.directory.borrow_mut();
        let id = entry.id.clone();
        let known = directory.get(&id);
        // The other instances drop a server whose entry was removed unless they hear that it is back.
        let is_back = known.is_some_and(|known| known.grace_ends_at.is_some());
        let known = known
            .map(|known| (known.entry.is_draining, known.entry.holdings.born, known.entry.address));
        let new = (entry.is_draining, entry.holdings.born, entry.address);
        let has_changed = is_back || known != Some(new);
        let change = has_changed.then(|| entry.without_cached_copies());
        if !directory.upsert(entry, revision, Instant::now()) {
            tracing::debug!(server = %id, "registry: ignored an entry of a previous run");
            return;
        }
        let Some(change) = change else { return };
        tracing::info!(server = %id, revision, is_draining = new.0, born = new.1,
            "registry: server changed");
        if known.is_none_or(|known| known.1 != new.1 || known.2 != new.2) {
            cx.pools.close_idle(&id);
            cx.health.borrow_mut().remove(&id);
        }
        self.record_change(at, RegistryChange::Put(change, revision));
    }

    fn remove(&self, server: &str, at: u64) {
        let now = Instant::now();
        let grace_ends_at = self.cx.sync.outage_detector.borrow().grace_deadline(now);
        self.cx.directory.borrow_mut().remove(server, grace_ends_at);
        let grace_ms = grace_ends_at.map(|at| at.saturating_duration_since(now).as_millis());
        tracing::info!(server, revision = at, ?grace_ms, "registry: entry removed");
        self.record_change(at, RegistryChange::Removed(server.into()));
    }

    /// Records a change that the registry contains at revision `at`.
    fn record_change(&self, at: u64, change: RegistryChange) {
        let sync = &self.cx.sync;
        sync.registry_revision.set(at);
        sync.registry_changes.borrow_mut().record(at, change, Instant::now());
    }

    fn notify_servers_changed(&self) {
        self.cx.has_registry.set(true);
        self.cx.servers_changed.notify_waiters();
        self.cx.plan_due.notify_one();
    }
}

impl Follower for RegistryFollower {
    const KIND: &'static str = SERVER_KIND;
    // The leader passes its changes on.
    const CATCHES_UP: bool = false;

    fn leader_revision((registry, _): (u64, u64)) -> u64 {
        registry
    }

    fn apply_passed_on(&mut self, revision: u64) -> u64 {
        let instances = self.cx.instances.borrow();
        let Some(changes) = instances.registry_changes.after(revision) else { return revision };
        let changes: Vec<_> = changes.map(|(at, change)| (at, change.clone())).collect();
        drop(instances);
        let Some((newest, _)) = changes.last() else { return revision };
        let newest = *newest;
        for (at, change) in changes {
            match change {
                RegistryChange::Put(entry, revision) => self.put(entry, revision, at),
                RegistryChange::Removed(server) => self.remove(&server, at),
            }
        }
        self.notify_servers_changed();
        newest
    }

    fn confirmed(&mut self, at: Instant) {
        self.cx.sync.outage_detector.borrow_mut().record_confirmation(at);
        self.cx.sync.registry_confirmed_at.set(Some(at));
    }

    fn coalescing_pause(&self) -> Duration {
        let is_leader = self.cx.leader_lease.borrow().held_lease(boot_now()).is_some();
        if is_leader { LEADER_PAUSE } else { REGISTRY_PAUSE }
    }

    fn apply_list(&mut self, objects: Vec<StoredObject>, revision: u64) {
        let usable = objects.iter().filter(|object| self.put_object(object, revision));
        let listed: BTreeSet<Box<str>> = usable.map(|object| object.name.clone()).collect();
        let grace_ends_at = self.cx.sync.outage_detector.borrow().grace_deadline(Instant::now());
        self.cx.directory.borrow_mut().retain_listed(&listed, grace_ends_at);
        // Entries that are missing from the list were deleted without a change event.
        self.cx.sync.registry_revision.set(revision);
        self.cx.sync.registry_changes.borrow_mut().reset(revision);
        self.notify_servers_changed();
    }

    fn apply_change(&mut self, object: &StoredObject, is_deleted: bool, at: u64) {
        if is_deleted || !self.put_object(object, at) {
            self.remove(&object.name, at);
        }
        self.notify_servers_changed();
    }
}

struct InstanceList(Rc<Entry>);

impl InstanceList {
    fn put(&self, object: &StoredObject) {
        if object.name == self.0.settings.name {
            return;
        }
        let Ok(registration) = Registration::deserialize(&object.value) else { return };
        if self.0.instances.borrow_mut().put(&object.name, registration.peers) {
            tracing::info!(instance = %object.name, address = %registration.peers,
                "peers: instance found");
        }
    }
}

/// Follows the configuration object in the store.
pub(crate) async fn follow_configuration(cx: Rc<Entry>) {
    follow(cx.clone(), ConfigurationFollower(cx)).await;
}

/// Follows the registry of backend servers.
pub(crate) async fn follow_registry(cx: Rc<Entry>) {
    follow(cx.clone(), RegistryFollower { cx }).await;
}

/// Removes registry entries that did not come back within their grace period.
pub(crate) async fn expire_lapsed_entries(cx: Rc<Entry>) {
    const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        for server in cx.directory.borrow_mut().expire(Instant::now()) {
            tracing::info!(%server, "registry: lapsed entry did not come back");
            cx.pools.close_idle(&server);
        }
    }
}

/// Registers this instance, then lists the others. An instance that starts later sends its first
/// message to the leader, which learns its address from that.
pub(crate) async fn register_instance(cx: Rc<Entry>) {
    let registration = Registration { peers: cx.settings.peers };
    let name = cx.settings.name.clone();
    loop {
        let (name, registration) = (&*name, &registration);
        let create = |store: Store| async move {
            store.create(INSTANCE_KIND, name, registration, short_call()).await
        };
        let outcome = match cx.call_store(false, create).await {
            // Registered by an earlier run at the same address.
            Ok(PutOutcome::Conflict(Some(old)))
                if Registration::deserialize(&old.value)
                    .is_ok_and(|known| known.peers == registration.peers) =>
            {
                Ok(PutOutcome::Written(old.revision))
            }
            Ok(PutOutcome::Conflict(Some(old))) => {
                let replace = |store: Store| async move {
                    store
                        .replace(INSTANCE_KIND, name, old.revision, registration, short_call())
                        .await
                };
                cx.call_store(false, replace).await
            }
            outcome => outcome,
        };
        match outcome {
            Ok(PutOutcome::Written(revision)) => {
                tracing::info!(revision, "peers: registered");
                break;
            }
            Ok(PutOutcome::Conflict(_)) => {}
            Err(error) => tracing::warn!(%error, "peers: not registered yet"),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    cx.list_instances.notify_one();
}

/// Lists the instances at the start, and whenever the address of one is not known.
pub(crate) async fn list_instances(cx: Rc<Entry>) {
    let list = InstanceList(cx.clone());
    loop {
        cx.list_instances.notified().await;
        let call = |store: Store| async move { store.list(INSTANCE_KIND, PAGE_TIMEOUT).await };
        match cx.call_store(false, call).await {
            Ok((objects, _)) => {
                objects.iter().for_each(|object| list.put(object));
                // An instance lists after its own registration.
                cx.instances.borrow_mut().record_registered(objects.len());
            }
            Err(error) => {
                tracing::warn!(%error, "peers: instances not listed yet");
                cx.list_instances.notify_one();
            }
        }
        tokio::time::sleep(MIN_LIST_INTERVAL).await;
    }
}
