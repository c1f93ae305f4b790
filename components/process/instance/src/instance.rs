//! State of one instance and its event loop.

use std::rc::Rc;
use std::sync::Arc;

use configuration::Follower;
use front::{IncomingRequest, KeyTable, OperatorQuery, Problem, Reply};
use group::Received;
use membership::Membership;
use ownership::Ownership;
use peer::IncomingFrame;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use types::prelude::*;

use crate::bookings::Bookings;
use crate::cache_stream::CacheStream;
use crate::context::Context;
use crate::demand::DemandRouting;
use crate::directory::Directory;
use crate::event::{Caller, Event};
use crate::intervals::{ARRIVALS_INTERVAL, list_interval};
use crate::key_owners::KeyOwners;
use crate::keys::KeyRanges;
use crate::owned_group::OwnedGroup;
use crate::requests::Requests;
use crate::retention::Retention;
use crate::shares::Shares;
use crate::store_uses::StoreUses;

/// Longest sleep of the loop; bounds the effect of a missed timer.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Events handled before other inputs get their turn.
const EVENT_BATCH: usize = 64;

/// Inputs of the loop.
pub(crate) struct Inputs {
    pub(crate) arrivals: mpsc::Receiver<IncomingRequest>,
    pub(crate) operators: mpsc::Receiver<OperatorQuery>,
    pub(crate) peers: mpsc::Receiver<IncomingFrame>,
    pub(crate) events: mpsc::UnboundedReceiver<Event>,
    /// Turns true when the instance is to stop.
    pub(crate) stop: watch::Receiver<bool>,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Drain {
    /// No stop was asked for.
    Serving,
    /// New requests are refused, ownership is handed over, running requests finish.
    Draining { hand_over_by: Instant },
}

/// One instance.
pub(crate) struct Instance {
    pub(crate) cx: Context,
    pub(crate) ownership: Ownership,
    pub(crate) membership: Membership,
    pub(crate) follower: Follower,
    pub(crate) requests: Requests,
    /// Groups of engines that this instance owns or owned.
    pub(crate) groups: BTreeMap<GroupId, OwnedGroup>,
    /// Groups of any sort that it owns now.
    pub(crate) owned: BTreeMap<GroupId, FencingNumber>,
    /// Owners of groups of the data centre with their fencing numbers, as announced.
    pub(crate) announced: HashMap<GroupId, FencingNumber>,
    pub(crate) directory: Directory,
    pub(crate) demand: DemandRouting,
    /// States of groups as published.
    pub(crate) received: Received,
    /// Use of the weight store by the groups of the data centre.
    pub(crate) store_uses: StoreUses,
    pub(crate) keys: KeyRanges,
    /// Owners of key ranges of other data centres, as read from the platform.
    pub(crate) key_owners: KeyOwners,
    pub(crate) shares: Shares,
    pub(crate) bookings: Bookings,
    pub(crate) retention: Retention,
    /// Cloned by each task that holds a reply back.
    pub(crate) held_replies: Rc<()>,
    pub(crate) key_table: watch::Sender<Arc<KeyTable>>,
    pub(crate) drain: Drain,
    /// Addresses of instances to contact before the platform has named any.
    pub(crate) seeds: Vec<Box<str>>,
    /// Address for callers, told to other data centres.
    pub(crate) callers_address: Box<str>,
    /// The task that watches the configuration's head.
    pub(crate) head_watch: Option<AbortHandle>,
    /// Cache events read from the servers of owned groups.
    pub(crate) cache_streams: HashMap<BackendServerId, CacheStream>,
    pub(crate) list_at: Instant,
    pub(crate) arrivals_at: Instant,
}

impl Instance {
    /// Runs until a planned stop is complete.
    pub(crate) async fn run(mut self, mut inputs: Inputs) {
        self.begin(Instant::now());
        loop {
            let wake = self.next_timer().min(Instant::now() + MAX_SLEEP);
            tokio::select! {
                biased;
                changed = inputs.stop.changed(), if self.drain == Drain::Serving => {
                    // A dropped sender means that nobody can ask for a stop any more.
                    if changed.is_err() || *inputs.stop.borrow() {
                        self.begin_drain(Instant::now());
                    }
                }
                Some(event) = inputs.events.recv() => self.on_event(event, Instant::now()),
                Some(incoming) = inputs.peers.recv() => self.on_peer(incoming, Instant::now()),
                Some(query) = inputs.operators.recv() => self.on_operator(query, Instant::now()),
                Some(arrival) = inputs.arrivals.recv() => self.on_arrival(arrival, Instant::now()),
                () = tokio::time::sleep_until(wake.into()) => {}
            }
            for _ in 0..EVENT_BATCH {
                let Ok(event) = inputs.events.try_recv() else { break };
                self.on_event(event, Instant::now());
            }
            self.on_timer(Instant::now());
            if self.is_drained() {
                return;
            }
        }
    }

    /// The time of day in UTC, for daily patterns of arrivals.
    pub(crate) fn time_of_day(&self) -> Duration {
        const DAY_SECONDS: u64 = 24 * 3600;
        let since_epoch =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Duration::from_secs(since_epoch.as_secs() % DAY_SECONDS)
    }

    fn begin(&mut self, now: Instant) {
        let actions = self.follower.start(now, &[]);
        self.on_configuration_actions(actions, now);
        self.read_list();
        tracing::info!("instance: {} started in {}", self.cx.instance, self.cx.data_centre);
    }

    fn on_arrival(&mut self, arrival: IncomingRequest, now: Instant) {
        if self.drain != Drain::Serving {
            let refusal = Refusal::not_run(Reason::Stopping).with_retry_at(now);
            let problem = Problem::new(refusal, "the instance is stopping; repeat the request");
            let _ = arrival.reply.send(Reply::Refused(problem));
            return;
        }
        let cfg = self.follower.current().clone();
        match self.shares.take_in(arrival, &cfg, now) {
            Some(arrival) => self.requests.on_arrival(&self.cx, arrival, now),
            None => self.share_timers(now),
        }
        self.settle(now);
    }

    pub(crate) fn on_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::Answer { caller, call, answer } => match caller {
                Caller::Ownership => {
                    let rng = self.cx.rng.clone();
                    let actions =
                        self.ownership.on_answer(now, call, answer, &mut *rng.borrow_mut());
                    self.on_ownership_actions(actions, now);
                }
                Caller::Configuration => {
                    let rng = self.cx.rng.clone();
                    let actions =
                        self.follower.on_answer(now, call, answer, &mut *rng.borrow_mut());
                    self.on_configuration_actions(actions, now);
                }
                Caller::Group(group) => self.with_group(&group, now, |owned, wall, rng| {
                    owned.on_answer(call, answer, now, wall, rng);
                }),
                Caller::KeyRange(range) => self.keys.on_answer(range, answer, now),
            },
            Event::List(list) => self.on_list(list, now),
            Event::HeadChanged => {
                let actions = self.follower.on_head_changed();
                self.on_configuration_actions(actions, now);
            }
            Event::Report { group, server, requested, result } => {
                self.on_report(&group, &server, requested, result, now);
            }
            Event::OrderResult { group, server, order, result } => {
                self.with_group(&group, now, |owned, wall, rng| {
                    owned.on_order_result(&server, order, result, now, wall, rng);
                });
            }
            Event::CacheEvents { group, server, events } => {
                self.on_cache_events(&group, server, events);
            }
            Event::Attempt(end) => self.requests.on_attempt(&self.cx, *end, now),
            Event::Demand { target, group, reply } => {
                self.on_demand_reply(target, group, reply, now)
            }
            Event::Claim { ticket, answer } => {
                self.requests.on_claim(&self.cx, ticket, answer, now);
            }
            Event::KeyOwner { range, owner, claim } => {
                self.on_key_owner(range, owner, claim, now);
            }
            Event::KeyEnded { message, retries } => self.send_finish(message, None, retries, now),
            Event::Share(grant) => {
                self.shares.on_grant(grant, now);
                let cfg = self.follower.current().clone();
                self.shares.apply(&mut self.requests, &cfg, now);
                self.offer_held(now);
                self.requests.pump_all(&self.cx, now);
            }
            Event::ShareOpened { fencing, opened } => self.shares.on_opened(fencing, opened, now),
            Event::ShareWritten { fencing, version } => {
                self.on_share_written(fencing, version, now);
            }
            Event::OtherShare { fencing, share } => self.on_other_share(fencing, share, now),
            Event::ShareOffer { fencing, from, lengths } => {
                if let Some((_, mover)) = self.shares.mover(fencing) {
                    mover.on_offer(&from, lengths, now);
                }
            }
            Event::Segments { range, stored } => {
                self.keys.on_segments(range, stored, now, SystemTime::now());
            }
            Event::SegmentDeleted { range, number, gone } => {
                self.keys.on_deleted(range, number, gone);
            }
            Event::WorkWritten { generation, written } => {
                self.bookings.usage.on_written(generation, written);
            }
            Event::SweepBegun(begun) => self.retention.on_begun(begun),
            Event::SweepCalled(answer) => self.retention.on_called(answer),
            Event::UsageWritten { group, replicas, written } if written => {
                self.with_group(&group, now, |owned, _, rng| {
                    let actions = owned.group.on_booked(now, &replicas, rng);
                    owned.act(actions, now);
                });
            }
            Event::UsageWritten { group, .. } => {
                tracing::warn!("accounting: intervals of {group} not written; kept for later");
            }
        }
        self.settle(now);
    }

    fn on_operator(&mut self, query: OperatorQuery, now: Instant) {
        let status = self.status(now);
        let burn = self.bookings.burn.state(now);
        let reply = crate::operators::reply(query.request, &status, &self.cx.metrics, &burn);
        // The operator may have closed the connection.
        let _ = query.reply.send(reply);
    }

    fn on_timer(&mut self, now: Instant) {
        self.control_timers(now);
        self.group_timers(now);
        if self.requests.next_timer().is_some_and(|at| at <= now) {
            self.requests.on_timer(&self.cx, now);
        }
        if self.list_at <= now {
            self.read_list();
            self.list_at = now + list_interval(self.directory.list().len());
        }
        if self.arrivals_at <= now {
            self.arrivals_at = now + ARRIVALS_INTERVAL;
            self.report_arrivals(now);
            self.requests.expected.drop_old(now);
        }
        self.keys.on_timer(&self.cx, now, SystemTime::now());
        for range in self.keys.superseded() {
            self.keys.lost(range);
            let rng = self.cx.rng.clone();
            let group = crate::directory::key_group(range);
            let actions = self.ownership.raise_fencing(now, &group, &mut *rng.borrow_mut());
            self.on_ownership_actions(actions, now);
        }
        self.share_timers(now);
        // After the timers of ownership, so that a lapsed lease is known.
        self.move_timers(now);
        self.booking_timers(now);
        self.retention_timer(now);
        self.settle(now);
    }

    /// Carries out what the last event made necessary.
    pub(crate) fn settle(&mut self, now: Instant) {
        for (ticket, answer) in self.keys.take_decided() {
            self.requests.on_claim(&self.cx, ticket, Some(answer), now);
        }
        for wanted in std::mem::take(&mut self.requests.wanted) {
            self.on_wanted(wanted, now);
        }
        self.keys.on_timer(&self.cx, now, SystemTime::now());
        for finished in std::mem::take(&mut self.requests.finished) {
            let cfg = self.follower.current().clone();
            self.bookings.book(&self.cx, &cfg, &finished, now, SystemTime::now());
        }
    }

    fn next_timer(&self) -> Instant {
        let control = [
            self.ownership.next_timer(),
            Some(self.membership.next_timer()),
            self.follower.next_timer(),
            self.requests.next_timer(),
            self.keys.next_timer(),
            Some(self.shares.next_timer()),
            Some(self.bookings.usage.next_timer()),
            Some(self.retention.next_timer()),
            Some(self.list_at),
            Some(self.arrivals_at),
        ];
        let groups = self.owned.keys().filter_map(|g| self.groups.get(g)).map(|g| g.next_timer());
        control.into_iter().flatten().chain(groups).min().unwrap_or(self.list_at)
    }

    /// Whether a planned stop is complete.
    fn is_drained(&self) -> bool {
        let Drain::Draining { hand_over_by } = self.drain else { return false };
        let handed_over = self.ownership.is_handed_over() || Instant::now() >= hand_over_by;
        handed_over
            && self.requests.is_idle()
            && Rc::strong_count(&self.held_replies) == 1
            && !self.shares.is_holding_requests()
            && self.bookings.is_closed(hand_over_by)
    }
}
