//! Follows one kind of objects in the store.

use std::rc::Rc;
use std::time::{Duration, Instant};

use platform::Call;
use platform_adapter::{Changes, Error, Store, StoredObject};

use super::{Entry, boot_now};

/// Longest time that a watch waits at the store. A store that fell silent and came back never
/// answers a watch from before, and changes must be known within about five seconds of its return.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Wait of the first watch after trouble, which only finds out whether the store answers again.
const RECONNECT_WAIT: Duration = Duration::from_millis(50);
/// Time after the wait by which the answer of a watch must be there.
const WATCH_SLACK: Duration = Duration::from_millis(800);
/// Longest time that a watch of the order giver waits; the others rely on its word while it is
/// fresh.
const LEADER_WATCH_WAIT: Duration = Duration::from_millis(300);
/// Age up to which the order giver's word on the store is fresh. A watch of its own takes its
/// wait, and the others may take two seconds to leave a server alone that says that it leaves.
const LEADER_FRESH_FOR: Duration = Duration::from_millis(850);
/// Time between two looks at the age of the order giver's word.
const LEADER_FRESH_POLL: Duration = Duration::from_millis(200);
/// Longest time for a list or a single call.
const CALL_TIME: Duration = Duration::from_millis(1_500);
/// Pause after a failed call, besides the client's own backoff.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A single call that should be answered soon.
pub(super) fn short_call() -> Call {
    Call::by(Instant::now() + CALL_TIME)
}

/// What follows a kind of objects in the store.
pub(super) trait Follower {
    const KIND: &'static str;

    /// Pause after changes, in which further ones gather, so that they take one call.
    fn coalescing_pause(&self) -> Duration {
        Duration::ZERO
    }

    /// The order giver's mark among those of the registry and the configuration.
    fn leader_revision(revisions: (u64, u64)) -> u64;

    /// The store confirmed at `at` what is known. Comes before the changes that it told then.
    fn confirmed(&mut self, at: Instant);

    /// Takes the whole list.
    fn apply_list(&mut self, objects: Vec<StoredObject>, revision: u64);

    /// Takes one change.
    fn apply_change(&mut self, object: &StoredObject, is_deleted: bool);
}

/// What the store told.
enum StoreUpdate {
    List(Vec<StoredObject>, u64),
    Changes(Changes),
}

/// How far a follower is.
#[derive(Default)]
struct Progress {
    /// Revision up to which changes are known; none before the first list.
    revision: Option<u64>,
    /// The order giver's mark up to which this instance is in step.
    synced_with: Option<u64>,
    /// The last call failed.
    is_disconnected: bool,
}

/// Lists a kind and follows its changes for as long as the process lives.
pub(super) async fn follow<F: Follower>(cx: Rc<Entry>, mut follower: F) {
    let mut progress = Progress::default();
    loop {
        let is_leader = cx.authority.borrow().held(boot_now()).is_some();
        let fresh = cx.instances.borrow().fresh_leader_revisions(Instant::now(), LEADER_FRESH_FOR);
        let fresh = fresh.filter(|_| !is_leader && !progress.is_disconnected);
        let leader_revision = fresh.map(|(revisions, _)| F::leader_revision(revisions));
        if let Some((_, confirmed_at)) = fresh
            && progress.revision.is_some()
            && leader_revision == progress.synced_with
        {
            follower.confirmed(confirmed_at);
            tokio::select! {
                () = cx.leader_updated.notified() => {}
                () = tokio::time::sleep(LEADER_FRESH_POLL) => {}
            }
            continue;
        }
        let wait = match leader_revision {
            _ if progress.is_disconnected => RECONNECT_WAIT,
            Some(_) => Duration::ZERO,
            None if is_leader => LEADER_WATCH_WAIT,
            None => WATCH_WAIT,
        };
        match fetch_update::<F>(&cx, progress.revision, wait).await {
            Ok(update) => {
                if std::mem::take(&mut progress.is_disconnected) {
                    tracing::info!(kind = F::KIND, "store: answers again");
                }
                progress.synced_with = leader_revision;
                progress.revision = Some(apply(&mut follower, update).await);
            }
            Err(Error::HistoryGone) => {
                tracing::info!(kind = F::KIND, "store: history gone; listing again");
                progress.revision = None;
            }
            Err(error) => {
                if !std::mem::replace(&mut progress.is_disconnected, true) {
                    tracing::warn!(kind = F::KIND, %error, "store: lost; what is known is kept");
                    cx.metrics.store_losses.inc();
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Asks for the changes since revision `at`, or for the whole list.
async fn fetch_update<F: Follower>(
    cx: &Entry,
    at: Option<u64>,
    wait: Duration,
) -> Result<StoreUpdate, Error> {
    let store: Store = cx.store.borrow().clone();
    let Some(revision) = at else {
        let (objects, revision) = store.list(F::KIND, short_call()).await?;
        tracing::info!(kind = F::KIND, revision, objects = objects.len(), "store: listed");
        return Ok(StoreUpdate::List(objects, revision));
    };
    let by = Call::by(Instant::now() + wait + WATCH_SLACK);
    let changes = store.watch(F::KIND, revision, wait.as_millis() as u64, by).await?;
    Ok(StoreUpdate::Changes(changes))
}

/// Hands on what the store told and returns the revision up to which it goes.
async fn apply<F: Follower>(follower: &mut F, update: StoreUpdate) -> u64 {
    follower.confirmed(Instant::now());
    match update {
        StoreUpdate::List(objects, revision) => {
            follower.apply_list(objects, revision);
            revision
        }
        StoreUpdate::Changes(Changes { changes, at }) => {
            for (object, is_deleted) in &changes {
                follower.apply_change(object, *is_deleted);
            }
            if !changes.is_empty() {
                tokio::time::sleep(follower.coalescing_pause()).await;
            }
            at
        }
    }
}
