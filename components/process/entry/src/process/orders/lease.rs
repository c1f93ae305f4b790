//! Claims, renews and releases the leader's lease.

use std::rc::Rc;
use std::time::{Duration, Instant};

use platform::Call;
use platform_adapter::{Error, PutOutcome, Store, StoredObject};
use replica_placement::{Action, LeaseRecord};
use serde::Deserialize;

use crate::process::messages::Message;
use crate::process::peers::PeerSocket;
use crate::process::{Entry, boot_now};

/// Kind and name of the lease object.
const LEASE_KIND: &str = "order-leases";
const LEASE_NAME: &str = "engines";
/// Longest time between two checks whether a call about the lease is due.
const MAX_SLEEP: Duration = Duration::from_millis(300);
/// Timeout of a call about the lease; a third of the lease term.
const LEASE_CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Claims the lease if no other instance holds it and renews it, for as long as the process runs.
pub(crate) async fn maintain_lease(cx: Rc<Entry>, socket: Rc<PeerSocket>) {
    loop {
        let now = boot_now();
        let action = cx.leader_lease.borrow().next_action(now);
        let by = Call::lease_with_deadline(Instant::now() + LEASE_CALL_TIMEOUT);
        match action {
            Action::Wait(until) => {
                tokio::select! {
                    () = tokio::time::sleep(until.saturating_sub(now).min(MAX_SLEEP)) => {}
                    () = cx.lease_due.notified() => {}
                }
            }
            Action::Read => {
                let get = |store: Store| async move { store.get(LEASE_KIND, LEASE_NAME, by).await };
                match cx.call_store(true, get).await {
                    Ok(found) => apply_lease_record(&cx, found),
                    Err(error) => lease_call_failed(&cx, &error),
                }
            }
            Action::Write { revision, record } => {
                let stored = &record;
                let write = |store: Store| async move {
                    match revision {
                        Some(at) => store.replace(LEASE_KIND, LEASE_NAME, at, stored, by).await,
                        None => store.create(LEASE_KIND, LEASE_NAME, stored, by).await,
                    }
                };
                let written = cx.call_store(true, write).await;
                match written {
                    Ok(PutOutcome::Written(revision)) => {
                        let (is_claim, is_released) = (record.beat == 0, record.is_released);
                        let fence = record.fence;
                        let mut lease = cx.leader_lease.borrow_mut();
                        lease.on_written(record, revision, now, boot_now());
                        if is_claim {
                            tracing::info!(fence, revision, "orders: lease claimed");
                            cx.plan_due.notify_one();
                        }
                        drop(lease);
                        if is_released {
                            notify_successor(&cx, &socket, fence);
                        }
                    }
                    Ok(PutOutcome::Conflict(Some(object))) => apply_lease_record(&cx, Some(object)),
                    Ok(PutOutcome::Conflict(None)) => {
                        cx.leader_lease.borrow_mut().on_read(None, boot_now())
                    }
                    Err(error) => lease_call_failed(&cx, &error),
                }
            }
        }
    }
}

/// Notifies the instance that should lead next that the lease is free.
fn notify_successor(cx: &Entry, socket: &PeerSocket, fence: u64) {
    let instances = cx.instances.borrow();
    let Some(successor) = instances.successor(Instant::now()) else { return };
    tracing::info!(successor = %successor, fence, "orders: lease released");
    if let Some(address) = instances.address(successor) {
        socket.send(&Message::Released, &[address]);
    }
}

fn apply_lease_record(cx: &Entry, found: Option<StoredObject>) {
    let lease = found.and_then(|object| {
        let record = LeaseRecord::deserialize(&object.value).ok()?;
        Some((record, object.revision))
    });
    if let Some((record, revision)) = &lease {
        tracing::info!(holder = %record.holder, fence = record.fence, revision,
            is_released = record.is_released, "orders: lease read");
    }
    cx.leader_lease.borrow_mut().on_read(lease, boot_now());
}

fn lease_call_failed(cx: &Entry, error: &Error) {
    tracing::warn!(%error, "orders: call about the lease failed");
    cx.leader_lease.borrow_mut().on_call_failed(boot_now());
}
