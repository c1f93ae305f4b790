//! State of the order giver.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Instant;

use model_homes::{Demands, Source, StorePace, StoreRate};
use routes::{AdapterName, ModelName, ServiceName};
use server_directory::{Revision, Server, ServerId};

use crate::process::{Entry, ModelKey};

/// Most loads from the weight store at once, however many it seems to carry.
const MAX_CONCURRENT_LOADS: usize = 8;

/// Orders that a server accepted, as the next order has to name them.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcceptedOrders {
    /// Revision at which the server appeared. One whose entry was removed and came back is asked
    /// again, because what it holds is then known from the registry alone, which lags.
    pub(super) appeared: Revision,
    /// Start of the run that accepted them.
    pub(super) born: u64,
    /// Their number.
    pub(super) count: u64,
}

impl AcceptedOrders {
    fn is_of(&self, server: &Server) -> bool {
        self.appeared == server.appeared && self.born == server.entry.holdings.born
    }
}

/// State of the order giver.
pub(super) struct Leader {
    pub(super) store_concurrency: StorePace,
    pub(super) store_rate: StoreRate,
    pub(super) demands: Demands,
    /// Servers with orders under way, and the model that these load.
    pub(super) orders_in_progress: HashMap<ServerId, Option<ModelName>>,
    /// Loads under way: source and expected end.
    pub(super) loading: HashMap<ServerId, (Source, Instant)>,
    /// No order to these servers before the deadline.
    pub(super) paused_until: HashMap<ServerId, Instant>,
    /// Accepted orders of the servers that were asked for what they hold.
    pub(super) accepted_orders: HashMap<ServerId, AcceptedOrders>,
    /// Models that were loaded on a server, the newest first, as many as its memory keeps.
    pub(super) recent_loads: HashMap<ServerId, VecDeque<ModelName>>,
    /// When each server accepted an order last, or ended one.
    pub(super) last_order_at: HashMap<ServerId, Instant>,
    /// Servers that were asked what they hold, with or without an answer.
    pub(super) queried: HashSet<ServerId>,
    pub(super) adapters_used: HashMap<(ModelName, AdapterName), Instant>,
    pub(super) adapters_ordered: HashSet<(ServiceName, ModelKey)>,
    /// Adapters that were ordered and are not known to be there yet, by server.
    pub(super) adapters_coming: HashMap<ServerId, usize>,
    /// Arrivals at this instance that were already taken into the demand.
    pub(super) counted_arrivals: HashMap<ModelKey, u64>,
    pub(super) ready_at: HashMap<ModelName, Instant>,
    /// Servers whose holdings changed since the last message.
    pub(super) changed: HashSet<ServerId>,
    pub(super) publish_cursor: usize,
    /// Loads from the weight store that servers have accepted and not ended.
    pub(super) running_store_loads: usize,
}

impl Leader {
    pub(super) fn new(cx: &Entry) -> Self {
        let learned = cx.instances.borrow().leader_store_concurrency();
        let limit = learned.unwrap_or(cx.settings.concurrent_loads);
        Self {
            store_concurrency: StorePace::new(
                limit.min(MAX_CONCURRENT_LOADS),
                MAX_CONCURRENT_LOADS,
            ),
            store_rate: StoreRate::new(Instant::now()),
            demands: Demands::default(),
            orders_in_progress: HashMap::new(),
            loading: HashMap::new(),
            paused_until: HashMap::new(),
            accepted_orders: HashMap::new(),
            recent_loads: HashMap::new(),
            last_order_at: HashMap::new(),
            queried: HashSet::new(),
            adapters_used: HashMap::new(),
            adapters_ordered: HashSet::new(),
            adapters_coming: HashMap::new(),
            counted_arrivals: HashMap::new(),
            ready_at: HashMap::new(),
            changed: HashSet::new(),
            publish_cursor: 0,
            running_store_loads: 0,
        }
    }

    /// Loads from the weight store that are under way.
    pub(super) fn store_loads(&self) -> usize {
        self.loading.values().filter(|(source, _)| *source == Source::Store).count()
    }

    /// Whether the server was asked for what it holds. One that gives no answer is passed over.
    pub(super) fn has_been_queried(&self, server: &Server) -> bool {
        self.queried.contains(&server.entry.id)
    }

    /// Whether the server's present run was asked for what it holds since it appeared.
    pub(super) fn has_current_holdings(&self, server: &Server) -> bool {
        self.accepted_by(server).is_some()
    }

    /// Orders that the server's present run accepted, if that is known.
    pub(super) fn accepted_by(&self, server: &Server) -> Option<u64> {
        let accepted = self.accepted_orders.get(&server.entry.id)?;
        accepted.is_of(server).then_some(accepted.count)
    }
}
