//! Keeps the lease of the order giver.

use std::rc::Rc;
use std::time::{Duration, Instant};

use model_homes::{Action, LeaseRecord};
use platform::Call;
use platform_adapter::{Error, PutOutcome, Store, StoredObject};
use serde::Deserialize;

use crate::process::instances::Message;
use crate::process::peers::PeerSocket;
use crate::process::{Entry, boot_now};

/// Kind and name of the lease object.
const LEASE_KIND: &str = "order-leases";
const LEASE_NAME: &str = "engines";
/// Longest time between two looks at what is due for the lease.
const LONGEST_SLEEP: Duration = Duration::from_millis(300);
/// Longest time for a call about the lease; a third of the time it is valid.
const LEASE_CALL_TIME: Duration = Duration::from_millis(700);

/// Holds the lease if nobody else does, for as long as the process lives.
pub(crate) async fn keep_lease(cx: Rc<Entry>, socket: Rc<PeerSocket>) {
    loop {
        let now = boot_now();
        let action = cx.authority.borrow().next(now);
        let store: Store = cx.store.borrow().clone();
        let by = Call::lease_by(Instant::now() + LEASE_CALL_TIME);
        match action {
            Action::Wait(until) => {
                tokio::select! {
                    () = tokio::time::sleep(until.saturating_sub(now).min(LONGEST_SLEEP)) => {}
                    () = cx.lease_due.notified() => {}
                }
            }
            Action::Read => match store.get(LEASE_KIND, LEASE_NAME, by).await {
                Ok(found) => found_lease(&cx, found),
                Err(error) => lease_failed(&cx, &error),
            },
            Action::Write { revision, record } => {
                let written = match revision {
                    Some(at) => store.replace(LEASE_KIND, LEASE_NAME, at, &record, by).await,
                    None => store.create(LEASE_KIND, LEASE_NAME, &record, by).await,
                };
                match written {
                    Ok(PutOutcome::Written(revision)) => {
                        let (is_claim, is_released) = (record.beat == 0, record.is_released);
                        let fence = record.fence;
                        let mut authority = cx.authority.borrow_mut();
                        authority.written(record, revision, now, boot_now());
                        if is_claim {
                            tracing::info!(fence, revision, "orders: lease claimed");
                            cx.plan_due.notify_one();
                        }
                        drop(authority);
                        if is_released {
                            tell_release(&cx, &socket, fence);
                        }
                    }
                    Ok(PutOutcome::Conflict(Some(object))) => found_lease(&cx, Some(object)),
                    Ok(PutOutcome::Conflict(None)) => {
                        cx.authority.borrow_mut().read(None, boot_now())
                    }
                    Err(error) => lease_failed(&cx, &error),
                }
            }
        }
    }
}

/// Tells the instance that should give the orders next that the lease is free.
fn tell_release(cx: &Entry, socket: &PeerSocket, fence: u64) {
    let instances = cx.instances.borrow();
    let Some(successor) = instances.successor(Instant::now()) else { return };
    tracing::info!(successor = %successor, fence, "orders: lease released");
    if let Some(address) = instances.address(successor) {
        socket.send(&Message::Released, &[address]);
    }
}

fn found_lease(cx: &Entry, found: Option<StoredObject>) {
    let lease = found.and_then(|object| {
        let record = LeaseRecord::deserialize(&object.value).ok()?;
        Some((record, object.revision))
    });
    if let Some((record, revision)) = &lease {
        tracing::info!(holder = %record.holder, fence = record.fence, revision,
            is_released = record.is_released, "orders: lease read");
    }
    cx.authority.borrow_mut().read(lease, boot_now());
}

fn lease_failed(cx: &Entry, error: &Error) {
    tracing::warn!(%error, "orders: call about the lease failed");
    cx.authority.borrow_mut().failed(boot_now());
}
