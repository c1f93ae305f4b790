//! Keeps the configuration, the registry and the list of instances in step with the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use platform::Call;
use platform_adapter::{
    CONFIGURATION_KIND, CONFIGURATION_NAME, Error, Put, SERVER_KIND, Store, StoredObject,
};
use serde::{Deserialize, Serialize};

use super::{Entry, boot_now};
use crate::version;

/// Kind of the objects that instances register themselves under.
const INSTANCE_KIND: &str = "entry-instances";

/// Longest time that a watch waits at the store. A store that fell silent and came back never
/// answers a watch from before, and changes must be known within about five seconds of its return.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Wait of the first watch after trouble, which only finds out whether the store answers again.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// Time after the wait by which the answer of a watch must be there.
const WATCH_SLACK: Duration = Duration::from_millis(800);
/// The same at the order giver, on whose word the others rely while it is fresh.
const GIVER_WAIT: Duration = Duration::from_millis(300);
/// Age up to which the order giver's word on the store is fresh. A watch of its own takes its
/// wait, and the others may take two seconds to leave a server alone that says that it leaves.
const FRESH: Duration = Duration::from_millis(850);
/// Time between two looks at the age of the order giver's word.
const FRESH_POLL: Duration = Duration::from_millis(200);
/// Pause between two watches of the registry, in which changes gather.
const REGISTRY_PAUSE: Duration = Duration::from_millis(500);
/// The same at the order giver, which plans with what it finds.
const GIVER_PAUSE: Duration = Duration::from_millis(150);
/// Longest time for a list or a single call.
const CALL_TIME: Duration = Duration::from_millis(1_500);
/// Pause after a failed call, besides the client's own backoff.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Least time between two lists of the instances.
const LIST_PAUSE: Duration = Duration::from_millis(700);
/// Time after trouble with the store in which vanished entries may be lapsed ones.
const TROUBLE_TAIL: Duration = Duration::from_millis(2_500);

/// Where an instance listens for the others.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Registration {
    peers: SocketAddr,
}

fn soon() -> Call {
    Call::by(Instant::now() + CALL_TIME)
}

/// What follows a kind of objects in the store.
trait Follower {
    const KIND: &'static str;

    /// Pause after changes, in which further ones gather, so that they take one call.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }

    /// The order giver's mark among those of the registry and the configuration.
    fn mark(registry_and_configuration: (u64, u64)) -> u64;

    /// The store confirmed what is known.
    fn confirmed(&self, now: Instant);

    /// Takes the whole list.
    fn listed(&mut self, objects: Vec<StoredObject>, is_troubled: bool, revision: u64);

    /// Takes one change.
    fn changed(&mut self, object: &StoredObject, is_deleted: bool, is_troubled: bool);
}

/// Lists a kind and follows its changes for as long as the process lives.
async fn follow<F: Follower>(cx: Rc<Entry>, mut follower: F) {
    let mut at = None;
    // The order giver's mark up to which this instance is in step.
    let mut in_step_with = None;
    let mut troubled_at: Option<Instant> = None;
    let mut has_failed = false;
    loop {
        let is_giver = cx.authority.borrow().held(boot_now()).is_some();
        let told = cx.instances.borrow().fresh_marks(Instant::now(), FRESH).map(F::mark);
        let told = told.filter(|_| !is_giver && !has_failed);
        if at.is_some() && told.is_some() && told == in_step_with {
            tokio::select! {
                () = cx.marks_told.notified() => {}
                () = tokio::time::sleep(FRESH_POLL) => {}
            }
            continue;
        }
        let store: Store = cx.store.borrow().clone();
        let result = match at {
            None => store.list(F::KIND, soon()).await.map(|(objects, revision)| {
                let is_troubled = troubled_at.is_some_and(|at| at.elapsed() < TROUBLE_TAIL);
                tracing::info!(kind = F::KIND, revision, objects = objects.len(), "store: listed");
                follower.listed(objects, is_troubled, revision);
                revision
            }),
            Some(revision) => {
                let wait = match told {
                    _ if has_failed => FIRST_WAIT,
                    Some(_) => Duration::ZERO,
                    None if is_giver => GIVER_WAIT,
                    None => WATCH_WAIT,
                };
                let by = Call::by(Instant::now() + wait + WATCH_SLACK);
                let wait_ms = wait.as_millis() as u64;
                let watched = store.watch(F::KIND, revision, wait_ms, by).await;
                if let Ok(changes) = &watched
                    && !changes.changes.is_empty()
                {
                    let is_troubled = troubled_at.is_some_and(|at| at.elapsed() < TROUBLE_TAIL);
                    for (object, is_deleted) in &changes.changes {
                        follower.changed(object, *is_deleted, is_troubled);
                    }
                    tokio::time::sleep(follower.pause()).await;
                }
                watched.map(|changes| changes.at)
            }
        };
        match result {
            Ok(revision) => {
                has_failed = false;
                in_step_with = told;
                follower.confirmed(Instant::now());
                if troubled_at.is_some_and(|at| at.elapsed() >= TROUBLE_TAIL) {
                    troubled_at = None;
                    tracing::info!(kind = F::KIND, revision, "store: calm again");
                }
                at = Some(revision);
            }
            // The store is in order; entries that vanished meanwhile did not lapse.
            Err(Error::HistoryGone) => {
                tracing::info!(kind = F::KIND, "store: history gone; listing again");
                at = None;
                continue;
            }
            Err(error) => {
                if troubled_at.is_none() {
                    tracing::warn!(kind = F::KIND, %error, "store: lost; what is known is kept");
                    cx.metrics.store_losses.inc();
                }
                has_failed = true;
                troubled_at = Some(Instant::now());
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

struct ConfigurationFollower(Rc<Entry>);

impl ConfigurationFollower {
    fn take(&self, object: &StoredObject) {
        if &*object.name != CONFIGURATION_NAME {
            return;
        }
        match platform_adapter::deployment(&object.value) {
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

    fn confirmed(&self, now: Instant) {
        self.0.sync.configuration_at.set(Some(now));
    }

    fn listed(&mut self, objects: Vec<StoredObject>, _: bool, _: u64) {
        objects.iter().for_each(|object| self.take(object));
    }

    fn changed(&mut self, object: &StoredObject, is_deleted: bool, _: bool) {
        // A removed configuration stays in force until another one is written.
        if !is_deleted {
            self.take(object);
        }
    }
}

struct RegistryFollower(Rc<Entry>);

impl RegistryFollower {
    fn put(&self, object: &StoredObject) -> bool {
        let cx = &self.0;
        let Some(entry) = platform_adapter::server_entry(&object.name, &object.value) else {
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
        self.0.has_registry.set(true);
        self.0.servers_changed.notify_waiters();
        self.0.plan_due.notify_one();
    }
}

impl Follower for RegistryFollower {
    const KIND: &'static str = SERVER_KIND;

    fn mark((registry, _): (u64, u64)) -> u64 {
        registry
    }

    fn confirmed(&self, now: Instant) {
        self.0.sync.registry_at.set(Some(now));
    }

    fn pause(&self) -> Duration {
        let is_giver = self.0.authority.borrow().held(boot_now()).is_some();
        if is_giver { GIVER_PAUSE } else { REGISTRY_PAUSE }
    }

    fn listed(&mut self, objects: Vec<StoredObject>, is_troubled: bool, revision: u64) {
        let usable = objects.iter().filter(|object| self.put(object));
        let listed: BTreeSet<Box<str>> = usable.map(|object| object.name.clone()).collect();
        let now = Instant::now();
        self.0.directory.borrow_mut().retain_listed(&listed, now, is_troubled);
        // What vanished since the last list left no change of its own.
        self.0.sync.registry_mark.set(revision);
        self.changed_servers();
    }

    fn changed(&mut self, object: &StoredObject, is_deleted: bool, is_troubled: bool) {
        if is_deleted || !self.put(object) {
            let now = Instant::now();
            self.0.directory.borrow_mut().remove(&object.name, now, is_troubled);
            self.0.sync.registry_mark.set(object.revision);
            tracing::info!(server = %object.name, revision = object.revision, is_troubled,
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
    follow(cx.clone(), RegistryFollower(cx)).await;
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
            Ok(Put::Conflict(Some(old))) => {
                store.replace(INSTANCE_KIND, &name, old.revision, &registration, soon()).await
            }
            outcome => outcome,
        };
        match outcome {
            Ok(Put::Written(revision)) => {
                tracing::info!(revision, "peers: registered");
                break;
            }
            Ok(Put::Conflict(_)) => {}
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
