//! State of one entry instance and its event loop.

use std::rc::Rc;
use std::sync::Arc;

use configuration::Follower;
use front::{IncomingRequest, KeyTable, OperatorQuery, Problem, Reply};
use group::ReceivedStates;
use membership::Membership;
use ownership::Ownership;
use peer::IncomingFrame;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use types::prelude::*;

use crate::cache_stream::CacheStream;
use crate::context::Context;
use crate::demand::DemandRouting;
use crate::directory::Directory;
use crate::event::{Event, PlatformCaller};
use crate::intervals::{ARRIVALS_INTERVAL, list_interval};
use crate::key_owners::KeyOwners;
use crate::keys::KeyRanges;
use crate::owned_group::OwnedGroup;
use crate::request_accounting::RequestAccounting;
use crate::requests::Requests;
use crate::retention::Retention;
use crate::shares::Shares;
use crate::store_uses::StoreUseTracker;

/// Longest sleep of the loop. It bounds the delay if `next_timer` misses a timer.
const MAX_LOOP_SLEEP: Duration = Duration::from_millis(500);
/// Maximum number of queued events handled before the loop polls its other inputs again.
const EVENT_BATCH: usize = 64;

/// Input channels of the event loop.
pub(crate) struct Inputs {
    pub(crate) arrivals: mpsc::Receiver<IncomingRequest>,
    pub(crate) operators: mpsc::Receiver<OperatorQuery>,
    pub(crate) peers: mpsc::Receiver<IncomingFrame>,
    pub(crate) events: mpsc::UnboundedReceiver<Event>,
    /// Becomes true when the instance has to stop.
    pub(crate) stop: watch::Receiver<bool>,
}

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Drain {
    /// No stop was requested.
    Serving,
    /// The instance refuses new requests, hands its groups over and finishes running requests.
    Draining { handover_deadline: Instant },
}

/// One entry instance.
pub(crate) struct Instance {
    pub(crate) cx: Context,
    pub(crate) ownership: Ownership,
    pub(crate) membership: Membership,
    pub(crate) follower: Follower,
    pub(crate) requests: Requests,
    /// Engine groups that this instance owns or has owned.
    pub(crate) groups: BTreeMap<GroupId, OwnedGroup>,
    /// Groups of any kind that this instance owns now, with their fencing numbers.
    pub(crate) owned: BTreeMap<GroupId, FencingNumber>,
    /// Highest fencing numbers that owners in the data centre have announced for their groups.
    pub(crate) announced_fencing: HashMap<GroupId, FencingNumber>,
    pub(crate) directory: Directory,
    pub(crate) demand_routing: DemandRouting,
    /// Latest group states received from the owners.
    pub(crate) received_states: ReceivedStates,
    /// Current use of the weight store by the groups of the data centre.
    pub(crate) store_uses: StoreUseTracker,
    pub(crate) keys: KeyRanges,
    /// Cached owners of key ranges of other data centres, read from the platform.
    pub(crate) key_owners: KeyOwners,
    pub(crate) shares: Shares,
    pub(crate) accounting: RequestAccounting,
    pub(crate) retention: Retention,
    /// Each task that holds a reply back has a clone, so that the count shows whether any is left.
    pub(crate) held_replies: Rc<()>,
    pub(crate) key_table: watch::Sender<Arc<KeyTable>>,
    pub(crate) drain: Drain,
    /// Addresses of instances to contact before the platform has listed any.
    pub(crate) seeds: Vec<Box<str>>,
    /// Address for callers that summaries advertise to other data centres.
    pub(crate) callers_address: Box<str>,
    /// Handle of the task that watches the head of the configuration.
    pub(crate) head_watch: Option<AbortHandle>,
    /// Read positions in the cache events of the servers of owned groups.
    pub(crate) cache_streams: HashMap<BackendServerId, CacheStream>,
    pub(crate) next_list_at: Instant,
    pub(crate) next_arrivals_at: Instant,
}

impl Instance {
    /// Runs the event loop until a planned stop is complete.
    pub(crate) async fn run(mut self, mut inputs: Inputs) {
        self.start(Instant::now());
        loop {
            let wake = self.next_timer().min(Instant::now() + MAX_LOOP_SLEEP);
            tokio::select! {
                biased;
                changed = inputs.stop.changed(), if self.drain == Drain::Serving => {
                    // A dropped sender counts as a stop: nobody could request one any more.
                    if changed.is_err() || *inputs.stop.borrow() {
                        self.begin_drain(Instant::now());
                    }
                }
                Some(event) = inputs.events.recv() => self.on_event(event, Instant::now()),
                Some(incoming) = inputs.peers.recv() => self.on_message(incoming, Instant::now()),
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

    /// Returns the time of day in UTC, which placement uses for daily arrival patterns.
    pub(crate) fn time_of_day(&self) -> Duration {
        const DAY_SECONDS: u64 = 24 * 3600;
        let since_epoch =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Duration::from_secs(since_epoch.as_secs() % DAY_SECONDS)
    }

    fn start(&mut self, now: Instant) {
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
        match self.shares.admit_or_hold(arrival, &cfg, now) {
            Some(arrival) => self.requests.on_arrival(&self.cx, arrival, now),
            None => self.share_timers(now),
        }
        self.process_outputs(now);
    }

    pub(crate) fn on_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::Answer { caller, call, answer } => match caller {
                PlatformCaller::Ownership => {
                    let rng = self.cx.rng.clone();
                    let actions =
                        self.ownership.on_answer(now, call, answer, &mut *rng.borrow_mut());
                    self.on_ownership_actions(actions, now);
                }
                PlatformCaller::Configuration => {
                    let rng = self.cx.rng.clone();
                    let actions =
                        self.follower.on_answer(now, call, answer, &mut *rng.borrow_mut());
                    self.on_configuration_actions(actions, now);
                }
                PlatformCaller::Group(group) => self.with_group(&group, now, |owned, wall, rng| {
                    owned.on_answer(call, answer, now, wall, rng);
                }),
                PlatformCaller::KeyRange(range) => self.keys.on_answer(range, answer, now),
            },
            Event::InstanceList(list) => self.on_list(list, now),
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
            Event::Attempt(end) => self.requests.on_attempt_end(&self.cx, *end, now),
            Event::Demand { target, group, reply } => {
                self.on_demand_reply(target, group, reply, now)
            }
            Event::Claim { ticket, answer } => {
                self.requests.on_claim(&self.cx, ticket, answer, now);
            }
            Event::KeyOwner { range, owner, claim } => {
                self.on_key_owner(range, owner, claim, now);
            }
            Event::RetryFinish { message, retries } => {
                self.send_finish(message, None, retries, now)
            }
            Event::Share(grant) => {
                self.shares.on_grant(grant, now);
                let cfg = self.follower.current().clone();
                self.shares.apply(&mut self.requests, &cfg, now);
                self.admit_held(now);
                self.requests.dispatch_all_queues(&self.cx, now);
            }
            Event::ShareOpened { fencing, opened } => self.shares.on_opened(fencing, opened, now),
            Event::ShareWritten { fencing, version } => {
                self.on_share_written(fencing, version, now);
            }
            Event::OtherShare { fencing, share } => self.on_other_share(fencing, share, now),
            Event::ShareOffer { fencing, from, lengths } => {
                if let Some((_, rebalancer)) = self.shares.holder_and_rebalancer(fencing) {
                    rebalancer.on_offer(&from, lengths, now);
                }
            }
            Event::Segments { range, stored } => {
                self.keys.on_segments(range, stored, now, SystemTime::now());
            }
            Event::SegmentDeleted { range, number, is_deleted } => {
                self.keys.on_deleted(range, number, is_deleted);
            }
            Event::WorkWritten { generation, written } => {
                self.accounting.usage.on_written(generation, written);
            }
            Event::SweepStarted(started) => self.retention.on_sweep_started(started),
            Event::SweepCallEnded(answer) => self.retention.on_sweep_call_ended(answer),
            Event::UsageWritten { group, replicas, written } if written => {
                self.with_group(&group, now, |owned, _, rng| {
                    let actions = owned.group.on_intervals_booked(now, &replicas, rng);
                    owned.queue_actions(actions, now);
                });
            }
            Event::UsageWritten { group, .. } => {
                tracing::warn!("accounting: intervals of {group} not written; retrying later");
            }
        }
        self.process_outputs(now);
    }

    fn on_operator(&mut self, query: OperatorQuery, now: Instant) {
        let status = self.status(now);
        let burn = self.accounting.burn.state(now);
        let reply = crate::operators::reply(query.request, &status, &self.cx.metrics, &burn);
        // Sending fails if the operator has closed the connection.
        let _ = query.reply.send(reply);
    }

    fn on_timer(&mut self, now: Instant) {
        self.control_timers(now);
        self.group_timers(now);
        if self.requests.next_timer().is_some_and(|at| at <= now) {
            self.requests.on_timer(&self.cx, now);
        }
        if self.next_list_at <= now {
            self.read_list();
            self.next_list_at = now + list_interval(self.directory.list().len());
        }
        if self.next_arrivals_at <= now {
            self.next_arrivals_at = now + ARRIVALS_INTERVAL;
            self.report_arrivals(now);
            self.requests.expected.remove_expired(now);
        }
        self.keys.on_timer(&self.cx, now, SystemTime::now());
        for range in self.keys.superseded_ranges() {
            self.keys.remove_range(range);
            let rng = self.cx.rng.clone();
            let group = crate::directory::key_group(range);
            let actions = self.ownership.raise_fencing(now, &group, &mut *rng.borrow_mut());
            self.on_ownership_actions(actions, now);
        }
        self.share_timers(now);
        // Runs after the ownership timers, so that an expired lease has been noticed.
        self.rebalance_timer(now);
        self.accounting_timer(now);
        self.retention_timer(now);
        self.process_outputs(now);
    }

    /// Processes the claim decisions, request actions and finished requests that the last event
    /// produced.
    pub(crate) fn process_outputs(&mut self, now: Instant) {
        for (ticket, answer) in self.keys.take_decisions() {
            self.requests.on_claim(&self.cx, ticket, Some(answer), now);
        }
        for action in std::mem::take(&mut self.requests.actions) {
            self.on_request_action(action, now);
        }
        self.keys.on_timer(&self.cx, now, SystemTime::now());
        for finished in std::mem::take(&mut self.requests.finished) {
            let cfg = self.follower.current().clone();
            self.accounting.record(&self.cx, &cfg, &finished, now, SystemTime::now());
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
            Some(self.accounting.usage.next_timer()),
            Some(self.retention.next_timer()),
            Some(self.next_list_at),
            Some(self.next_arrivals_at),
        ];
        let groups = self.owned.keys().filter_map(|g| self.groups.get(g)).map(|g| g.next_timer());
        control.into_iter().flatten().chain(groups).min().unwrap_or(self.next_list_at)
    }

    /// Returns whether a planned stop is complete.
    fn is_drained(&self) -> bool {
        let Drain::Draining { handover_deadline } = self.drain else { return false };
        let handed_over = self.ownership.is_handed_over() || Instant::now() >= handover_deadline;
        handed_over
            && self.requests.is_idle()
            && Rc::strong_count(&self.held_replies) == 1
            && !self.shares.has_held_requests()
            && self.accounting.is_closed(handover_deadline)
    }
}
