//! State of the leader.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use admission::waiting::WaitingGroup;
use replica_placement::{
    Demands, Source, StoreConcurrencyLimit, StoreRateLimiter, Term, UnloadTime,
};
use routes::{AdapterName, ModelName, ServiceName};
use server_directory::{Revision, Server, ServerId};

use super::publish::PublishedFigures;
use crate::process::{Entry, ModelKey, boot_now};

/// Upper bound of the concurrency limit of loads from the weight store.
const MAX_CONCURRENT_LOADS: usize = 8;

/// Time after a load in which the adapters of the model come before the next move. It is enough for
/// the adapters of all places; later, a steady demand for others does not keep the server from moves.
const ADAPTERS_FIRST: Duration = Duration::from_millis(500);

/// Time without a new server after which all are taken to have registered. At the start of a
/// deployment they register one after the other, within some seconds.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Number of orders that a server accepted, which the next order has to name.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcceptedOrders {
    /// Revision at which the server appeared. A server whose entry was removed and came back is
    /// queried again, because its holdings are then known from the registry alone, which lags.
    pub(super) first_revision: Revision,
    /// Start of the server's run that accepted them.
    pub(super) born: u64,
    /// Number of orders that this run accepted.
    pub(super) count: u64,
}

impl AcceptedOrders {
    fn is_of(&self, server: &Server) -> bool {
        self.first_revision == server.first_revision && self.born == server.entry.holdings.born
    }
}

/// What an instance knows and tracks in one term as the leader. Tasks keep the state of the term in
/// which they began, so that one that outlasts its term cannot change what the next one tracks.
pub(super) struct Leader {
    /// Orders and changes of the directory are void once this is not the current term.
    pub(super) term: Term,
    pub(super) store_concurrency: StoreConcurrencyLimit,
    pub(super) store_rate: StoreRateLimiter,
    pub(super) unload_time: UnloadTime,
    pub(super) demands: Demands,
    /// Servers with orders in progress, and the model that these load.
    pub(super) orders_in_progress: HashMap<ServerId, Option<ModelName>>,
    /// Loads in progress: source and expected end.
    pub(super) loading: HashMap<ServerId, (Source, Instant)>,
    /// The last model that each server loaded, and when the load ended.
    pub(super) last_loads: HashMap<ServerId, (ModelName, Instant)>,
    /// Servers that get no orders before the given time.
    pub(super) paused_until: HashMap<ServerId, Instant>,
    /// Accepted orders of the servers that reported their holdings.
    pub(super) accepted_orders: HashMap<ServerId, AcceptedOrders>,
    /// Models that were loaded on a server, newest first, as many as fit into its main memory.
    pub(super) recent_loads: HashMap<ServerId, VecDeque<ModelName>>,
    /// When each server last accepted or completed an order, or one failed.
    pub(super) last_order_at: HashMap<ServerId, Instant>,
    /// Servers that were queried for their holdings, with or without an answer.
    pub(super) queried: HashSet<ServerId>,
    /// When the last new server was queried, or the term began.
    pub(super) new_server_at: Instant,
    pub(super) adapters_used: HashMap<(ModelName, AdapterName), Instant>,
    pub(super) adapters_in_progress: HashSet<(ServiceName, ModelKey)>,
    /// Number of adapters by server that were ordered and are not known to be loaded yet.
    pub(super) adapters_loading: HashMap<ServerId, usize>,
    /// Arrivals at this instance that are already counted in the demand.
    pub(super) counted_arrivals: HashMap<ModelKey, u64>,
    pub(super) ready_at: HashMap<ModelName, Instant>,
    /// Requests that wait although a server has their model, for models with several of them.
    pub(super) queued: HashMap<ModelName, u32>,
    /// The same by rank and client account.
    pub(super) queued_groups: HashMap<ModelName, Vec<WaitingGroup>>,
    /// Models without a copy at any server that stays, by service, as logged last.
    pub(super) without_copy: HashMap<ServiceName, Box<[ModelName]>>,
    /// Servers whose holdings changed since the last update to all instances, and when.
    pub(super) changed: HashMap<ServerId, Instant>,
    /// When each instance with waiting requests was last sent a change in between.
    pub(super) sent_to_waiting: HashMap<SocketAddr, Instant>,
    /// Index of the server whose holdings were last published in rotation.
    pub(super) publish_cursor: usize,
    /// Servers that are being queried for their holdings.
    pub(super) queries_in_progress: usize,
    /// Number of updates to all instances so far.
    pub(super) publish_count: usize,
    pub(super) published_figures: PublishedFigures,
    /// Loads from the weight store that servers accepted and have not completed.
    pub(super) running_store_loads: usize,
}

impl Leader {
    pub(super) fn new(cx: &Entry, term: Term) -> Self {
        let published = cx.instances.borrow().leader_store_concurrency();
        let limit = published.unwrap_or(cx.settings.concurrent_loads);
        Self {
            term,
            store_concurrency: StoreConcurrencyLimit::new(
                limit.min(MAX_CONCURRENT_LOADS),
                MAX_CONCURRENT_LOADS,
            ),
            store_rate: StoreRateLimiter::new(Instant::now()),
            unload_time: UnloadTime::default(),
            demands: Demands::default(),
            orders_in_progress: HashMap::new(),
            loading: HashMap::new(),
            last_loads: HashMap::new(),
            paused_until: HashMap::new(),
            accepted_orders: HashMap::new(),
            recent_loads: HashMap::new(),
            last_order_at: HashMap::new(),
            queried: HashSet::new(),
            new_server_at: Instant::now(),
            adapters_used: HashMap::new(),
            adapters_in_progress: HashSet::new(),
            adapters_loading: HashMap::new(),
            counted_arrivals: HashMap::new(),
            ready_at: HashMap::new(),
            queued: HashMap::new(),
            queued_groups: HashMap::new(),
            without_copy: HashMap::new(),
            changed: HashMap::new(),
            sent_to_waiting: HashMap::new(),
            publish_cursor: 0,
            queries_in_progress: 0,
            publish_count: 0,
            published_figures: PublishedFigures::default(),
            running_store_loads: 0,
        }
    }

    /// State of a later term. What was learned about the weight store and the engines stays valid, and
    /// reports may still miss the last orders of this term.
    pub(super) fn next_term(&self, cx: &Entry, term: Term) -> Self {
        Self {
            store_concurrency: self.store_concurrency,
            store_rate: self.store_rate,
            unload_time: self.unload_time,
            last_order_at: self.last_order_at.clone(),
            ..Self::new(cx, term)
        }
    }

    /// Whether this instance holds the lease, and has held it all the time since the term began.
    pub(super) fn is_current(&self, cx: &Entry) -> bool {
        cx.leader_lease.borrow().term(boot_now()) == Some(self.term)
    }

    /// Whether the server has loaded the model just now.
    pub(super) fn has_just_loaded(&self, server: &str, model: &str, now: Instant) -> bool {
        let last = self.last_loads.get(server);
        last.is_some_and(|(loaded, at)| **loaded == *model && now < *at + ADAPTERS_FIRST)
    }

    /// Number of loads from the weight store that are planned or in progress.
    pub(super) fn store_loads(&self) -> usize {
        self.loading.values().filter(|(source, _)| *source == Source::Store).count()
    }

    /// Records that a server was queried for its holdings, with or without an answer.
    pub(super) fn record_query(&mut self, server: &str, now: Instant) {
        if self.queried.insert(server.into()) {
            self.new_server_at = now;
        }
    }

    /// Whether no new server has come up lately, so that a model without a copy has none indeed.
    pub(super) fn are_servers_settled(&self, now: Instant) -> bool {
        now >= self.new_server_at + SETTLE_TIME
    }

    /// Whether the server was queried for its holdings. Plans do not wait for one that gave no
    /// answer.
    pub(super) fn has_been_queried(&self, server: &Server) -> bool {
        self.queried.contains(&server.entry.id)
    }

    /// Whether the server's current run has reported its holdings since it appeared.
    pub(super) fn has_current_holdings(&self, server: &Server) -> bool {
        self.accepted_by(server).is_some()
    }

    /// Number of orders that the server's current run accepted, if known.
    pub(super) fn accepted_by(&self, server: &Server) -> Option<u64> {
        let accepted = self.accepted_orders.get(&server.entry.id)?;
        accepted.is_of(server).then_some(accepted.count)
    }
}
