//! Mirrors one kind of objects of the store by a list and watches.

use std::rc::Rc;
use std::time::{Duration, Instant};

use platform::Call;
use platform_adapter::{Changes, Error, Store, StoredObject};

use super::{Entry, boot_now};

/// Longest time that a watch waits at the store. After an outage the store never answers a watch
/// from before it, and changes must be known within about five seconds of its return.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Wait of a watch after a failed call, which only checks whether the store answers again.
const RECONNECT_WAIT: Duration = Duration::from_millis(50);
/// Time after its wait by which a watch must be answered.
const WATCH_SLACK: Duration = Duration::from_millis(800);
/// Longest time that a watch of the leader waits. The other instances rely on the revisions that it
/// publishes while these are recent.
const LEADER_WATCH_WAIT: Duration = Duration::from_millis(300);
/// Age up to which another instance relies on the leader's revisions. A watch of the leader takes
/// up to its wait, and the other instances may take two seconds to stop using a server that is
/// leaving.
const MAX_LEADER_REVISION_AGE: Duration = Duration::from_millis(850);
/// Interval at which the age of the leader's revisions is checked.
const LEADER_REVISION_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of one page of a list. After a common restart hundreds of instances list thousands of
/// servers at the same time, and the store sends each of them its pages slowly.
pub(super) const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a single call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call, besides the client's own backoff.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A single call with the usual timeout.
pub(super) fn short_call() -> Call {
    Call::with_deadline(Instant::now() + CALL_TIMEOUT)
}

/// Applies lists and changes of one kind of objects in the store.
pub(super) trait Follower {
    const KIND: &'static str;
    /// Whether an instance that the store turns away reads through another one what the leader has
    /// and it lacks.
    const CATCHES_UP: bool;

    /// Pause after changes before the next watch, so that one call returns several further ones.
    fn coalescing_pause(&self) -> Duration {
        Duration::ZERO
    }

    /// Selects the leader's revision for this kind from those of the registry and the
    /// configuration.
    fn leader_revision(revisions: (u64, u64)) -> u64;

    /// Applies the changes since `revision` that the leader has passed on, and returns the revision
    /// up to which changes are then applied.
    fn apply_passed_on(&mut self, revision: u64) -> u64 {
        revision
    }

    /// Called when the store confirmed at `at` that this instance is up to date, or before the
    /// changes from the same answer are applied.
    fn confirmed(&mut self, at: Instant);

    /// Applies a complete list.
    fn apply_list(&mut self, objects: Vec<StoredObject>, revision: u64);

    /// Applies the change or deletion of one object, which the store contains at revision `at`.
    fn apply_change(&mut self, object: &StoredObject, is_deleted: bool, at: u64);
}

/// Answer of the store to a list or a watch.
enum StoreUpdate {
    List(Vec<StoredObject>, u64),
    Changes(Changes),
}

/// A fetch from the store.
struct Fetch {
    /// Revision since which changes are fetched; `None` for the complete list.
    since: Option<u64>,
    /// Longest time that the store waits for a change.
    wait: Duration,
    /// The leader has changes that this instance lacks.
    is_catch_up: bool,
}

/// Progress of a follower through the revisions of the store.
#[derive(Default)]
struct Progress {
    /// Revision up to which changes were applied; `None` before the first list.
    revision: Option<u64>,
    /// Whether the last call failed.
    is_disconnected: bool,
}

/// Lists a kind of objects and follows its changes for as long as the process runs. While the
/// leader's revisions are recent and this instance has applied them, no call is made.
pub(super) async fn follow<F: Follower>(cx: Rc<Entry>, mut follower: F) {
    let mut progress = Progress::default();
    loop {
        let is_leader = cx.leader_lease.borrow().held_lease(boot_now()).is_some();
        let fresh =
            cx.instances.borrow().fresh_leader_revisions(Instant::now(), MAX_LEADER_REVISION_AGE);
        let fresh = fresh.filter(|_| !is_leader && !progress.is_disconnected);
        let leader_revision = fresh.map(|(revisions, _)| F::leader_revision(revisions));
        if let (Some((_, confirmed_at)), Some(at), Some(revision)) =
            (fresh, leader_revision, &mut progress.revision)
        {
            follower.confirmed(confirmed_at);
            *revision = follower.apply_passed_on(*revision);
            if at <= *revision {
                tokio::select! {
                    () = cx.leader_updated.notified() => {}
                    () = tokio::time::sleep(LEADER_REVISION_POLL_INTERVAL) => {}
                }
                continue;
            }
        }
        let known = progress.revision.unwrap_or(0);
        let leader_revisions = cx.instances.borrow().leader_revisions();
        let is_catch_up = F::CATCHES_UP
            && !is_leader
            && leader_revisions.is_some_and(|revisions| F::leader_revision(revisions) > known);
        let wait = match leader_revision {
            _ if is_catch_up => Duration::ZERO,
            _ if progress.is_disconnected => RECONNECT_WAIT,
            Some(_) => Duration::ZERO,
            None if is_leader => LEADER_WATCH_WAIT,
            None => WATCH_WAIT,
        };
        let fetch = Fetch { since: progress.revision, wait, is_catch_up };
        match fetch_update::<F>(&cx, fetch).await {
            Ok(update) => {
                if std::mem::take(&mut progress.is_disconnected) {
                    tracing::info!(kind = F::KIND, "store: answers again");
                }
                progress.revision = Some(apply(&mut follower, update).await);
            }
            Err(Error::HistoryGone) => {
                tracing::info!(kind = F::KIND, "store: history not available; listing again");
                progress.revision = None;
            }
            Err(error) => {
                if !std::mem::replace(&mut progress.is_disconnected, true) {
                    tracing::warn!(kind = F::KIND, %error, "store: lost; keeping the known state");
                    cx.metrics.store_losses.inc();
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn fetch_update<F: Follower>(cx: &Entry, fetch: Fetch) -> Result<StoreUpdate, Error> {
    let Fetch { since, wait, is_catch_up } = fetch;
    let Some(revision) = since else {
        let list = |store: Store| async move { store.list(F::KIND, PAGE_TIMEOUT).await };
        let (objects, revision) = match is_catch_up {
            true => cx.catch_up(list).await?,
            false => cx.call_store(false, list).await?,
        };
        tracing::info!(kind = F::KIND, revision, objects = objects.len(), "store: listed");
        return Ok(StoreUpdate::List(objects, revision));
    };
    let by = Call::with_deadline(Instant::now() + wait + WATCH_SLACK);
    let wait_ms = wait.as_millis() as u64;
    let watch = |store: Store| async move { store.watch(F::KIND, revision, wait_ms, by).await };
    let changes = match is_catch_up {
        true => cx.catch_up(watch).await?,
        false => cx.call_store(false, watch).await?,
    };
    Ok(StoreUpdate::Changes(changes))
}

/// Passes an answer of the store to the follower and returns the revision that it covers.
async fn apply<F: Follower>(follower: &mut F, update: StoreUpdate) -> u64 {
    follower.confirmed(Instant::now());
    match update {
        StoreUpdate::List(objects, revision) => {
            follower.apply_list(objects, revision);
            revision
        }
        StoreUpdate::Changes(Changes { changes, revision: at }) => {
            for (object, is_deleted) in &changes {
                follower.apply_change(object, *is_deleted, at);
            }
            if !changes.is_empty() {
                tokio::time::sleep(follower.coalescing_pause()).await;
            }
            at
        }
    }
}
