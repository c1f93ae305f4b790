//! Batching: slots of a replica, and the task that generates one answer.

use std::cmp::Reverse;
use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};
use types::prelude::*;

use super::attempt::{Attempt, Status};
use super::state::Inner;
use super::text;

/// One place in a replica's batch; passes to the next waiting request when dropped.
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
            let mut waiting = std::iter::from_fn(|| replica.queue.pop_first());
            let next = waiting.find(|(_, waiting)| !waiting.is_closed());
            if next.is_none() {
                replica.running -= 1;
            }
            next
        };
        if let Some((_, waiting)) = next {
            let (inner, incarnation) = (self.inner.clone(), self.incarnation);
            // A receiver that went away meanwhile returns the slot, which then passes on.
            let _ = waiting.send(Self { inner, incarnation, replica: self.replica });
        }
    }
}

/// A place in the batch, or in the queue for it.
pub(super) enum Place {
    Batch(Slot),
    Queue(oneshot::Receiver<Slot>),
}

/// Takes a place at a replica; `None` if the replica is gone or its queue is full.
pub(super) fn take_place(inner: &Arc<Inner>, replica: ReplicaId, priority: u8) -> Option<Place> {
    let mut state = inner.state();
    let arrival = state.next_arrival();
    let incarnation = state.incarnation;
    let found = state.replicas.get_mut(&replica)?;
    found.queue.retain(|_, waiting| !waiting.is_closed());
    if found.running < inner.cfg.max_batch && found.queue.is_empty() {
        found.running += 1;
        return Some(Place::Batch(Slot { inner: inner.clone(), incarnation, replica }));
    }
    if found.queue.len() >= inner.cfg.max_queue {
        return None;
    }
    let (tx, rx) = oneshot::channel();
    found.queue.insert((Reverse(priority), arrival), tx);
    Some(Place::Queue(rx))
}

/// Generates the answer of `attempt` until it ends or is cancelled.
pub(super) async fn run(inner: Arc<Inner>, attempt: Arc<Attempt>, place: Place, blocks: Vec<u64>) {
    tokio::select! {
        () = attempt.cancelled() => {}
        () = generate(&inner, &attempt, place, &blocks) => {}
    }
}

async fn generate(inner: &Inner, attempt: &Attempt, place: Place, blocks: &[u64]) {
    let _slot = match place {
        Place::Batch(slot) => slot,
        Place::Queue(waiting) => match waiting.await {
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
