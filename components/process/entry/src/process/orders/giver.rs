//! State of the order giver.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Instant;

use replica_placement::{Demands, Source, StoreConcurrencyLimit, StoreRateLimiter};
use routes::{AdapterName, ModelName, ServiceName};
use server_directory::{Revision, Server, ServerId};

use crate::process::{Entry, ModelKey};

/// Most loads from the weight store at once, however many it seems to carry.
const MOST_CONCURRENT_LOADS: usize = 8;

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
        self.appeared == server.first_revision && self.born == server.entry.holdings.born
    }
}

/// State of the order giver.
pub(super) struct Giver {
    pub(super) pace: StoreConcurrencyLimit,
    pub(super) store_rate: StoreRateLimiter,
    pub(super) demands: Demands,
    /// Servers with orders under way, and the model that these load.
    pub(super) ordered: HashMap<ServerId, Option<ModelName>>,
    /// Loads under way: source and expected end.
    pub(super) loading: HashMap<ServerId, (Source, Instant)>,
    /// No order to these servers before the deadline.
    pub(super) paused: HashMap<ServerId, Instant>,
    /// Accepted orders of the servers that were asked for what they hold.
    pub(super) accepted: HashMap<ServerId, AcceptedOrders>,
    /// Models that were loaded on a server, the newest first, as many as its memory keeps.
    pub(super) recent_loads: HashMap<ServerId, VecDeque<ModelName>>,
    /// When each server accepted an order last, or ended one.
    pub(super) ordered_at: HashMap<ServerId, Instant>,
    /// Servers that were asked what they hold, with or without an answer.
    pub(super) asked: HashSet<ServerId>,
    pub(super) adapters_used: HashMap<(ModelName, AdapterName), Instant>,
    pub(super) adapters_ordered: HashSet<(ServiceName, ModelKey)>,
    /// Adapters that were ordered and are not known to be there yet, by server.
    pub(super) adapters_coming: HashMap<ServerId, usize>,
    /// Arrivals at this instance that were already taken into the demand.
    pub(super) counted: HashMap<ModelKey, u64>,
    pub(super) ready_at: HashMap<ModelName, Instant>,
    /// Servers whose holdings changed since the last message.
    pub(super) changed: HashSet<ServerId>,
    pub(super) told: usize,
    /// Loads from the weight store that servers have accepted and not ended.
    pub(super) store_running: usize,
}

impl Giver {
    pub(super) fn new(cx: &Entry) -> Self {
        let told = cx.instances.borrow().told_store_pace();
        let at_once = told.unwrap_or(cx.settings.concurrent_loads);
        Self {
            pace: StoreConcurrencyLimit::new(
                at_once.min(MOST_CONCURRENT_LOADS),
                MOST_CONCURRENT_LOADS,
            ),
            store_rate: StoreRateLimiter::new(Instant::now()),
            demands: Demands::default(),
            ordered: HashMap::new(),
            loading: HashMap::new(),
            paused: HashMap::new(),
            accepted: HashMap::new(),
            recent_loads: HashMap::new(),
            ordered_at: HashMap::new(),
            asked: HashSet::new(),
            adapters_used: HashMap::new(),
            adapters_ordered: HashSet::new(),
            adapters_coming: HashMap::new(),
            counted: HashMap::new(),
            ready_at: HashMap::new(),
            changed: HashSet::new(),
            told: 0,
            store_running: 0,
        }
    }

    /// Loads from the weight store that are under way.
    pub(super) fn store_loads(&self) -> usize {
        self.loading.values().filter(|(source, _)| *source == Source::Store).count()
    }

    /// Whether the server was asked for what it holds. One that gives no answer is passed over.
    pub(super) fn has_tried(&self, server: &Server) -> bool {
        self.asked.contains(&server.entry.id)
    }

    /// Whether the server's present run was asked for what it holds since it appeared.
    pub(super) fn knows(&self, server: &Server) -> bool {
        self.accepted_by(server).is_some()
    }

    /// Orders that the server's present run accepted, if that is known.
    pub(super) fn accepted_by(&self, server: &Server) -> Option<u64> {
        let accepted = self.accepted.get(&server.entry.id)?;
        accepted.is_of(server).then_some(accepted.count)
    }
}
