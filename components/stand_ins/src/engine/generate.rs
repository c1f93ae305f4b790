//! Batching: the slots of a replica, and the task that generates one response.

use std::cmp::Reverse;
use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};
use types::prelude::*;

use super::attempt::{Attempt, Status};
use super::state::Inner;
use super::text;

/// One slot in a replica's batch. Dropping it passes the slot to the next waiting request.
#[derive(Debug)]
pub(super) struct Slot {
    inner: Arc<Inner>,
    incarnation: Incarnation,
    replica: ReplicaId,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = {
            let mut state = self.inner.state();
            if state.incarnation != self.incarnation {
                return;
            }
            let Some(replica) = state.replicas.get_mut(&self.replica) else { return };
            let mut waiters = std::iter::from_fn(|| replica.queue.pop_first());
            let next = waiters.find(|(_, waiter)| !waiter.is_closed());
            if next.is_none() {
                replica.running -= 1;
            }
            state.record_load(Instant::now(), self.inner.cfg.report_lag);
            next
        };
        if let Some((_, waiter)) = next {
            let (inner, incarnation) = (self.inner.clone(), self.incarnation);
            // If the receiver is gone, `send` returns the slot, and its drop passes it on.
            let _ = waiter.send(Self { inner, incarnation, replica: self.replica });
        }
    }
}

/// How a request was admitted: with a slot, or to the queue for one.
pub(super) enum Admission {
    Immediate(Slot),
    Queued(oneshot::Receiver<Slot>),
}

/// Admits a request to a replica. Returns `None` if the replica does not exist or its queue is
/// full.
pub(super) fn admit(inner: &Arc<Inner>, replica: ReplicaId, priority: u8) -> Option<Admission> {
    let mut state = inner.state();
    let arrival = state.next_arrival();
    let incarnation = state.incarnation;
    let found = state.replicas.get_mut(&replica)?;
    found.queue.retain(|_, waiter| !waiter.is_closed());
    if found.running < inner.cfg.max_batch && found.queue.is_empty() {
        found.running += 1;
        state.record_load(Instant::now(), inner.cfg.report_lag);
        return Some(Admission::Immediate(Slot { inner: inner.clone(), incarnation, replica }));
    }
    if found.queue.len() >= inner.cfg.max_queue {
        return None;
    }
    let (tx, rx) = oneshot::channel();
    found.queue.insert((Reverse(priority), arrival), tx);
    state.record_load(Instant::now(), inner.cfg.report_lag);
    Some(Admission::Queued(rx))
}

/// Generates the response of `attempt` until it ends or is cancelled.
pub(super) async fn run(
    inner: Arc<Inner>,
    attempt: Arc<Attempt>,
    admission: Admission,
    blocks: Vec<u64>,
) {
    tokio::select! {
        () = attempt.cancelled() => {}
        () = generate(&inner, &attempt, admission, &blocks) => {}
    }
}

async fn generate(inner: &Inner, attempt: &Attempt, admission: Admission, blocks: &[u64]) {
    let _slot = match admission {
        Admission::Immediate(slot) => slot,
        Admission::Queued(rx) => match rx.await {
            Ok(slot) => slot,
            Err(_) => {
                attempt.end(Status::Abandoned);
                return;
            }
        },
    };
    let cached = inner.state().prefixes.touch(attempt.replica, blocks, Instant::now());
    let uncached = attempt.prompt_tokens.saturating_sub(cached * text::PREFIX_BLOCK_TOKENS);
    sleep(inner.cfg.prompt_token_time * uncached as u32).await;
    for _ in 0..attempt.tokens {
        sleep(inner.cfg.token_time).await;
        if attempt.is_abandoned(inner.cfg.resume_grace) {
            inner.state().counters.requests_abandoned += 1;
            attempt.end(Status::Abandoned);
            return;
        }
        inner.state().counters.tokens += 1;
        attempt.produce();
    }
    if attempt.end(Status::Finished) {
        inner.state().counters.requests_finished += 1;
    }
}
