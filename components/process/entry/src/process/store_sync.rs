//! Keeps the configuration, the registry and the list of instances in sync with the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use platform_adapter::{
    CONFIGURATION_KIND, CONFIGURATION_NAME, PutOutcome, SERVER_KIND, Store, StoredObject,
};
use serde::{Deserialize, Serialize};
use server_directory::OutageDetector;

use super::follow::{Follower, RETRY_PAUSE, follow, short_call};
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
            Ok(deployment) => {
                version::apply(&self.0, deployment, object.revision);
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

    fn leader_revision((_, configuration): (u64, u64)) -> u64 {
        configuration
    }

    fn confirmed(&mut self, at: Instant) {
        self.0.sync.configuration_confirmed_at.set(Some(at));
    }

    fn apply_list(&mut self, objects: Vec<StoredObject>, _: u64) {
        objects.iter().for_each(|object| self.apply(object));
    }

    fn apply_change(&mut self, object: &StoredObject, is_deleted: bool) {
        // A deleted configuration stays in force until another one is written.
        if !is_deleted {
            self.apply(object);
        }
    }
}

struct RegistryFollower {
    cx: Rc<Entry>,
    outage_detector: OutageDetector,
}

impl RegistryFollower {
    fn put(&self, object: &StoredObject) -> bool {
        let cx = &self.cx;
        let Some(entry) = platform_adapter::decode_server_entry(&object.name, &object.value) else {
            tracing::info!(server = %object.name, revision = object.revision,
                "registry: ignored an entry that cannot be parsed");
            return false;
        };
        let mut directory = cx.directory.borrow_mut();
        let known = directory
            .get(&object.name)
            .map(|known| (known.entry.is_draining, known.entry.holdings.born, known.entry.address));
        let is_draining = entry.is_draining;
        let new = (entry.is_draining, entry.holdings.born, entry.address);
        if !directory.upsert(entry, object.revision, Instant::now()) {
            tracing::debug!(server = %object.name, "registry: ignored an entry of a previous run");
            return true;
        }
        if known != Some(new) {
            cx.sync.registry_revision.set(object.revision);
            tracing::info!(server = %object.name, revision = object.revision, is_draining,
                born = new.1, "registry: server changed");
            if known.is_none_or(|known| known.1 != new.1 || known.2 != new.2) {
                cx.pools.close_idle(&object.name);
                cx.health.borrow_mut().remove(&object.name);
            }
        }
        true
    }

    fn notify_servers_changed(&self) {
        self.cx.has_registry.set(true);
        self.cx.servers_changed.notify_waiters();
        self.cx.plan_due.notify_one();
    }
}

impl Follower for RegistryFollower {
    const KIND: &'static str = SERVER_KIND;

    fn leader_revision((registry, _): (u64, u64)) -> u64 {
        registry
    }

    fn confirmed(&mut self, at: Instant) {
        self.outage_detector.record_confirmation(at);
        self.cx.sync.registry_confirmed_at.set(Some(at));
    }

    fn coalescing_pause(&self) -> Duration {
        let is_leader = self.cx.leader_lease.borrow().held_lease(boot_now()).is_some();
        if is_leader { LEADER_PAUSE } else { REGISTRY_PAUSE }
    }

    fn apply_list(&mut self, objects: Vec<StoredObject>, revision: u64) {
        let usable = objects.iter().filter(|object| self.put(object));
        let listed: BTreeSet<Box<str>> = usable.map(|object| object.name.clone()).collect();
        let grace_ends_at = self.outage_detector.grace_deadline(Instant::now());
        self.cx.directory.borrow_mut().retain_listed(&listed, grace_ends_at);
        // Entries that are missing from the list were deleted without a change event.
        self.cx.sync.registry_revision.set(revision);
        self.notify_servers_changed();
    }

    fn apply_change(&mut self, object: &StoredObject, is_deleted: bool) {
        if is_deleted || !self.put(object) {
            let now = Instant::now();
            let grace_ends_at = self.outage_detector.grace_deadline(now);
            self.cx.directory.borrow_mut().remove(&object.name, grace_ends_at);
            self.cx.sync.registry_revision.set(object.revision);
            let grace_ms = grace_ends_at.map(|at| at.saturating_duration_since(now).as_millis());
            tracing::info!(server = %object.name, revision = object.revision, ?grace_ms,
                "registry: entry removed");
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
    let outage_detector = OutageDetector::new(cx.settings.heartbeat);
    follow(cx.clone(), RegistryFollower { cx, outage_detector }).await;
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
        let store: Store = cx.store.borrow().clone();
        let outcome = match store.create(INSTANCE_KIND, &name, &registration, short_call()).await {
            Ok(PutOutcome::Conflict(Some(old))) => {
                store.replace(INSTANCE_KIND, &name, old.revision, &registration, short_call()).await
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
        let store: Store = cx.store.borrow().clone();
        match store.list(INSTANCE_KIND, short_call()).await {
            Ok((objects, _)) => objects.iter().for_each(|object| list.put(object)),
            Err(error) => {
                tracing::warn!(%error, "peers: instances not listed yet");
                cx.list_instances.notify_one();
            }
        }
        tokio::time::sleep(MIN_LIST_INTERVAL).await;
    }
}
