//! Keeps the configuration, the registry and the list of instances in step with the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use platform_adapter::{
    CONFIGURATION_KIND, CONFIGURATION_NAME, PutOutcome, SERVER_KIND, Store, StoredObject,
};
use serde::{Deserialize, Serialize};
use server_directory::Contact;

use super::follow::{Follower, RETRY_PAUSE, follow, soon};
use super::{Entry, boot_now};
use crate::version;

/// Kind of the objects that instances register themselves under.
const INSTANCE_KIND: &str = "entry-instances";

/// Pause between two watches of the registry, in which changes gather.
const REGISTRY_PAUSE: Duration = Duration::from_millis(500);
/// The same at the order giver, which plans with what it finds.
const GIVER_PAUSE: Duration = Duration::from_millis(150);
/// Least time between two lists of the instances.
const LIST_PAUSE: Duration = Duration::from_millis(700);

/// Where an instance listens for the others.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Registration {
    peers: SocketAddr,
}

struct ConfigurationFollower(Rc<Entry>);

impl ConfigurationFollower {
    fn take(&self, object: &StoredObject) {
        if &*object.name != CONFIGURATION_NAME {
            return;
        }
        match platform_adapter::decode_deployment(&object.value) {
            Ok(deployment) => {
                version::take(&self.0, deployment, object.revision);
                self.0.sync.configuration_mark.set(object.revision);
            }
            Err(error) => {
                tracing::error!(revision = object.revision, %error, "configuration: unusable");
            }
        }
    }
}

impl Follower for ConfigurationFollower {
    const KIND: &'static str = CONFIGURATION_KIND;

    fn mark((_, configuration): (u64, u64)) -> u64 {
        configuration
    }

    fn confirmed(&mut self, at: Instant) {
        self.0.sync.configuration_at.set(Some(at));
    }

    fn listed(&mut self, objects: Vec<StoredObject>, _: u64) {
        objects.iter().for_each(|object| self.take(object));
    }

    fn changed(&mut self, object: &StoredObject, is_deleted: bool) {
        // A removed configuration stays in force until another one is written.
        if !is_deleted {
            self.take(object);
        }
    }
}

struct RegistryFollower {
    cx: Rc<Entry>,
    contact: Contact,
}

impl RegistryFollower {
    fn put(&self, object: &StoredObject) -> bool {
        let cx = &self.cx;
        let Some(entry) = platform_adapter::decode_server_entry(&object.name, &object.value) else {
            tracing::info!(server = %object.name, revision = object.revision,
                "registry: entry of another form ignored");
            return false;
        };
        let mut directory = cx.directory.borrow_mut();
        let known = directory
            .get(&object.name)
            .map(|known| (known.entry.is_draining, known.entry.holdings.born, known.entry.address));
        let is_draining = entry.is_draining;
        let new = (entry.is_draining, entry.holdings.born, entry.address);
        if !directory.put(entry, object.revision, Instant::now()) {
            tracing::debug!(server = %object.name, "registry: entry of a former run ignored");
            return true;
        }
        if known != Some(new) {
            cx.sync.registry_mark.set(object.revision);
            tracing::info!(server = %object.name, revision = object.revision, is_draining,
                born = new.1, "registry: server changed");
            if known.is_none_or(|known| known.1 != new.1 || known.2 != new.2) {
                cx.pools.forget(&object.name);
                cx.health.borrow_mut().remove(&object.name);
            }
        }
        true
    }

    fn changed_servers(&self) {
        self.cx.has_registry.set(true);
        self.cx.servers_changed.notify_waiters();
        self.cx.plan_due.notify_one();
    }
}

impl Follower for RegistryFollower {
    const KIND: &'static str = SERVER_KIND;

    fn mark((registry, _): (u64, u64)) -> u64 {
        registry
    }

    fn confirmed(&mut self, at: Instant) {
        self.contact.confirmed(at);
        self.cx.sync.registry_at.set(Some(at));
    }

    fn pause(&self) -> Duration {
        let is_giver = self.cx.authority.borrow().held(boot_now()).is_some();
        if is_giver { GIVER_PAUSE } else { REGISTRY_PAUSE }
    }

    fn listed(&mut self, objects: Vec<StoredObject>, revision: u64) {
        let usable = objects.iter().filter(|object| self.put(object));
        let listed: BTreeSet<Box<str>> = usable.map(|object| object.name.clone()).collect();
        let lapses_until = self.contact.lapses_until(Instant::now());
        self.cx.directory.borrow_mut().retain_listed(&listed, lapses_until);
        // What vanished since the last list left no change of its own.
        self.cx.sync.registry_mark.set(revision);
        self.changed_servers();
    }

    fn changed(&mut self, object: &StoredObject, is_deleted: bool) {
        if is_deleted || !self.put(object) {
            let now = Instant::now();
            let lapses_until = self.contact.lapses_until(now);
            self.cx.directory.borrow_mut().remove(&object.name, lapses_until);
            self.cx.sync.registry_mark.set(object.revision);
            let grace_ms = lapses_until.map(|at| at.saturating_duration_since(now).as_millis());
            tracing::info!(server = %object.name, revision = object.revision, ?grace_ms,
                "registry: entry removed");
        }
        self.changed_servers();
    }
}

struct InstanceFollower(Rc<Entry>);

impl InstanceFollower {
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

/// Follows the configuration.
pub(crate) async fn configuration(cx: Rc<Entry>) {
    follow(cx.clone(), ConfigurationFollower(cx)).await;
}

/// Follows the registry of backend servers.
pub(crate) async fn registry(cx: Rc<Entry>) {
    let contact = Contact::new(cx.settings.heartbeat);
    follow(cx.clone(), RegistryFollower { cx, contact }).await;
}

/// Drops entries that lapsed for good.
pub(crate) async fn expire(cx: Rc<Entry>) {
    const EVERY: Duration = Duration::from_millis(100);
    loop {
        tokio::time::sleep(EVERY).await;
        for server in cx.directory.borrow_mut().expire(Instant::now()) {
            tracing::info!(%server, "registry: lapsed entry did not come back");
            cx.pools.forget(&server);
        }
    }
}

/// Registers this instance, then lists the others. An instance that starts later sends its first
/// message to the order giver that it finds, which then knows it.
pub(crate) async fn register(cx: Rc<Entry>) {
    let registration = Registration { peers: cx.settings.peers };
    let name = cx.settings.name.clone();
    loop {
        let store: Store = cx.store.borrow().clone();
        let outcome = match store.create(INSTANCE_KIND, &name, &registration, soon()).await {
            Ok(PutOutcome::Conflict(Some(old))) => {
                store.replace(INSTANCE_KIND, &name, old.revision, &registration, soon()).await
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

/// Lists the instances at the start, and when one is named whose address is not known.
pub(crate) async fn list_instances(cx: Rc<Entry>) {
    let follower = InstanceFollower(cx.clone());
    loop {
        cx.list_instances.notified().await;
        let store: Store = cx.store.borrow().clone();
        match store.list(INSTANCE_KIND, soon()).await {
            Ok((objects, _)) => objects.iter().for_each(|object| follower.put(object)),
            Err(error) => {
                tracing::warn!(%error, "peers: instances not listed yet");
                cx.list_instances.notify_one();
            }
        }
        tokio::time::sleep(LIST_PAUSE).await;
    }
}
