//! Counts of requests in flight and of arrivals at this instance.

use std::collections::HashMap;
use std::rc::Rc;

use routes::{AdapterName, ModelName};
use serde::{Deserialize, Serialize};
use server_directory::ServerId;

use super::Entry;

/// A model, or an adapter of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct ModelKey {
    /// Base model; empty for a plain service.
    pub(crate) model: ModelName,
    /// Adapter of the model.
    pub(crate) adapter: Option<AdapterName>,
}

/// Requests in flight by server and model, and arrivals by model since the start.
#[derive(Debug, Default)]
pub(crate) struct RequestCounts {
    pub(crate) in_flight: HashMap<ServerId, HashMap<ModelName, u32>>,
    /// Totals that never decrease, so that a lost message to another instance loses no arrival.
    pub(crate) arrivals: HashMap<ModelKey, u64>,
}

impl RequestCounts {
    /// Number of requests in flight from this instance at a server.
    pub(crate) fn in_flight_at(&self, server: &str) -> u32 {
        self.in_flight.get(server).map_or(0, |models| models.values().sum())
    }

    fn adjust_in_flight(&mut self, server: &str, model: &str, by: i64) {
        let models = self.in_flight.entry(server.into()).or_default();
        let count = models.entry(model.into()).or_default();
        *count = u32::try_from(i64::from(*count) + by).unwrap_or(0);
        if *count == 0 {
            models.remove(model);
        }
        if models.is_empty() {
            self.in_flight.remove(server);
        }
    }
}

/// Counts a request as in flight at a server until this value is dropped.
pub(crate) struct InFlight {
    cx: Rc<Entry>,
    server: ServerId,
    model: ModelName,
}

impl InFlight {
    pub(crate) fn new(cx: &Rc<Entry>, server: &str, model: &str) -> Self {
        cx.request_counts.borrow_mut().adjust_in_flight(server, model, 1);
        Self { cx: cx.clone(), server: server.into(), model: model.into() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.cx.request_counts.borrow_mut().adjust_in_flight(&self.server, &self.model, -1);
    }
}
