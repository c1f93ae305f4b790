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
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// Time after the wait by which the answer of a watch must be there.
const WATCH_SLACK: Duration = Duration::from_millis(800);
/// Longest time that a watch of the order giver waits; the others rely on its word while it is
/// fresh.
const GIVER_WAIT: Duration = Duration::from_millis(300);
/// Age up to which the order giver's word on the store is fresh. A watch of its own takes its
/// wait, and the others may take two seconds to leave a server alone that says that it leaves.
const FRESH: Duration = Duration::from_millis(850);
/// Time between two looks at the age of the order giver's word.
const FRESH_POLL: Duration = Duration::from_millis(200);
/// Longest time for a list or a single call.
const CALL_TIME: Duration = Duration::from_millis(1_500);
/// Pause after a failed call, besides the client's own backoff.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A single call that should be answered soon.
pub(super) fn soon() -> Call {
    Call::by(Instant::now() + CALL_TIME)
}

/// What follows a kind of objects in the store.
pub(super) trait Follower {
    const KIND: &'static str;

    /// Pause after changes, in which further ones gather, so that they take one call.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }

    /// The order giver's mark among those of the registry and the configuration.
    fn mark(registry_and_configuration: (u64, u64)) -> u64;

    /// The store confirmed at `at` what is known. Comes before the changes that it told then.
    fn confirmed(&mut self, at: Instant);

    /// Takes the whole list.
    fn listed(&mut self, objects: Vec<StoredObject>, revision: u64);

    /// Takes one change.
    fn changed(&mut self, object: &StoredObject, is_deleted: bool);
}

/// What the store told.
enum Told {
    List(Vec<StoredObject>, u64),
    Changes(Changes),
}

/// How far a follower is.
#[derive(Default)]
struct Progress {
    /// Revision up to which changes are known; none before the first list.
    at: Option<u64>,
    /// The order giver's mark up to which this instance is in step.
    in_step_with: Option<u64>,
    /// The last call failed.
    is_lost: bool,
}

/// Lists a kind and follows its changes for as long as the process lives.
pub(super) async fn follow<F: Follower>(cx: Rc<Entry>, mut follower: F) {
    let mut progress = Progress::default();
    loop {
        let is_giver = cx.authority.borrow().held(boot_now()).is_some();
        let word = cx.instances.borrow().fresh_marks(Instant::now(), FRESH);
        let word = word.filter(|_| !is_giver && !progress.is_lost);
        let mark = word.map(|(marks, _)| F::mark(marks));
        if let Some((_, confirmed_at)) = word
            && progress.at.is_some()
            && mark == progress.in_step_with
        {
            follower.confirmed(confirmed_at);
            tokio::select! {
                () = cx.marks_told.notified() => {}
                () = tokio::time::sleep(FRESH_POLL) => {}
            }
            continue;
        }
        let wait = match mark {
            _ if progress.is_lost => FIRST_WAIT,
            Some(_) => Duration::ZERO,
            None if is_giver => GIVER_WAIT,
            None => WATCH_WAIT,
        };
        match ask::<F>(&cx, progress.at, wait).await {
            Ok(told) => {
                if std::mem::take(&mut progress.is_lost) {
                    tracing::info!(kind = F::KIND, "store: answers again");
                }
                progress.in_step_with = mark;
                progress.at = Some(take(&mut follower, told).await);
            }
            Err(Error::HistoryGone) => {
                tracing::info!(kind = F::KIND, "store: history gone; listing again");
                progress.at = None;
            }
            Err(error) => {
                if !std::mem::replace(&mut progress.is_lost, true) {
                    tracing::warn!(kind = F::KIND, %error, "store: lost; what is known is kept");
                    cx.metrics.store_losses.inc();
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Asks for the changes since revision `at`, or for the whole list.
async fn ask<F: Follower>(cx: &Entry, at: Option<u64>, wait: Duration) -> Result<Told, Error> {
    let store: Store = cx.store.borrow().clone();
    let Some(revision) = at else {
        let (objects, revision) = store.list(F::KIND, soon()).await?;
        tracing::info!(kind = F::KIND, revision, objects = objects.len(), "store: listed");
        return Ok(Told::List(objects, revision));
    };
    let by = Call::by(Instant::now() + wait + WATCH_SLACK);
    let changes = store.watch(F::KIND, revision, wait.as_millis() as u64, by).await?;
    Ok(Told::Changes(changes))
}

/// Hands on what the store told and returns the revision up to which it goes.
async fn take<F: Follower>(follower: &mut F, told: Told) -> u64 {
    follower.confirmed(Instant::now());
    match told {
        Told::List(objects, revision) => {
            follower.listed(objects, revision);
            revision
        }
        Told::Changes(Changes { changes, revision: at }) => {
            for (object, is_deleted) in &changes {
                follower.changed(object, *is_deleted);
            }
            if !changes.is_empty() {
                tokio::time::sleep(follower.pause()).await;
            }
            at
        }
    }
}
