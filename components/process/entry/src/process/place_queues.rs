//! Requests of this instance that wait for places at servers that have their model. Used where the
//! configuration has client accounts.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::waiting::{WaitingGroup, turn_probability};
use admission::{PlaceQueue, PlaceTicket};
use rand::Rng;
use routes::{ModelName, ServiceName};
use tokio::sync::Notify;

use super::waiting_requests::account_tag;
use super::{Entry, PUBLISH_INTERVAL};
use crate::request::Job;

/// Time after which an empty queue forgets which accounts had their turn last.
const QUEUE_MEMORY: Duration = Duration::from_secs(2);

type QueueKey = (ServiceName, ModelName);

#[derive(Debug)]
struct ModelQueue {
    places: PlaceQueue,
    wakers: HashMap<PlaceTicket, Rc<Notify>>,
    used_at: Instant,
}

impl ModelQueue {
    fn wake(&self, ticket: Option<PlaceTicket>) {
        if let Some(waker) = ticket.and_then(|ticket| self.wakers.get(&ticket)) {
            waker.notify_one();
        }
    }
}

/// Waiting requests by service and model.
#[derive(Debug, Default)]
pub(crate) struct PlaceQueues {
    models: HashMap<QueueKey, ModelQueue>,
}

impl PlaceQueues {
    fn has_waiting(&self, key: &QueueKey) -> bool {
        self.models.get(key).is_some_and(|model| !model.places.is_empty())
    }

    fn join(&mut self, key: &QueueKey, job: &Job, now: Instant) -> (PlaceTicket, Rc<Notify>) {
        self.models
            .retain(|_, model| !model.places.is_empty() || now < model.used_at + QUEUE_MEMORY);
        let model = self.models.entry(key.clone()).or_insert_with(|| ModelQueue {
            places: PlaceQueue::default(),
            wakers: HashMap::new(),
            used_at: now,
        });
        let tag = job.caller.name().map(account_tag);
        let ticket = model.places.join(job.rank(), tag, rand::rng().random());
        let waker = Rc::new(Notify::new());
        model.wakers.insert(ticket, waker.clone());
        (ticket, waker)
    }
}

/// A request waits in the queue of its model until this value is dropped.
pub(crate) struct WaitingPlace {
    cx: Rc<Entry>,
    key: QueueKey,
    ticket: PlaceTicket,
    /// Wakes the request when a place is kept for it.
    waker: Rc<Notify>,
}

impl WaitingPlace {
    pub(crate) fn waker(&self) -> &Rc<Notify> {
        &self.waker
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        let mut queues = self.cx.place_queues.borrow_mut();
        let Some(model) = queues.models.get_mut(&self.key) else { return };
        let now = Instant::now();
        model.used_at = now;
        model.wakers.remove(&self.ticket);
        let next = model.places.leave(self.ticket, now);
        model.wake(next);
    }
}

/// Whether a request takes one of `room` places at the servers of its model. If not, it waits in the
/// queue of its model, with `job.place`.
pub(crate) fn takes_place(cx: &Rc<Entry>, job: &Job, room: u32, now: Instant) -> bool {
    let Some(prompt) = job.prompt() else { return room > 0 };
    let queued = cx.queued.borrow().get(&prompt.model).copied();
    let key = (job.service.clone(), prompt.model.clone());
    let mut place = job.place.borrow_mut();
    let look = {
        let mut queues = cx.place_queues.borrow_mut();
        if place.is_none() {
            if room > 0 && queued.is_none() && !queues.has_waiting(&key) {
                return true;
            }
            let (ticket, waker) = queues.join(&key, job, now);
            *place = Some(WaitingPlace { cx: cx.clone(), key: key.clone(), ticket, waker });
        }
        let Some(ticket) = place.as_ref().map(|place| place.ticket) else { return false };
        let Some(model) = queues.models.get_mut(&key) else { return false };
        let wins = || {
            let groups = cx.queued_groups.borrow();
            let probability = match (queued, groups.get(&prompt.model)) {
                (None, _) => 1.0,
                (Some(_), Some(groups)) => {
                    let tag = job.caller.name().map(account_tag);
                    turn_probability(room, job.rank(), tag, groups)
                }
                (Some(queued), None) => server_choice::turn_probability(room, queued),
            };
            rand::rng().random::<f64>() < probability
        };
        let look = model.places.look(ticket, room > 0, now, now + PUBLISH_INTERVAL, wins);
        model.wake(look.wake);
        look
    };
    if look.takes_place {
        *place = None;
    }
    look.takes_place
}

/// What is known of the queue in which a request waits, for its trace; `None` where the configuration
/// has no client accounts.
pub(crate) fn queue_of(cx: &Entry, job: &Job) -> Option<Box<str>> {
    if !cx.has_accounts() {
        return None;
    }
    let groups = cx.queued_groups.borrow();
    let groups = groups.get(&job.prompt()?.model).map_or(&[][..], Vec::as_slice);
    let sum = |is_counted: &dyn Fn(&WaitingGroup) -> bool| {
        groups.iter().filter(|group| is_counted(group)).map(|group| group.count).sum::<u32>()
    };
    let (rank, tag) = (job.rank(), job.caller.name().map(account_tag));
    let more_urgent = sum(&|group| group.rank < rank);
    let of_rank = sum(&|group| group.rank == rank);
    let own = sum(&|group| group.rank == rank && group.account == tag && tag.is_some());
    let queue = format!(
        "waits for a place: {more_urgent} requests of more urgent ranks queued at all instances, \
         {of_rank} of its rank, {own} of these of its account"
    );
    Some(queue.into())
}
