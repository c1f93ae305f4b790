//! Places adapters. Workload: many adapters of few models, each requested occasionally.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use routes::{AdapterName, ModelName};
use server_directory::ServerId;

use crate::plan::ServerView;

/// An adapter is unloaded for another one only if it was not used for longer than this.
const MIN_IDLE_TIME: Duration = Duration::from_millis(1_500);

/// A load of an adapter on a server, and the unload that makes room for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterPlacement {
    /// Server that loads the adapter.
    pub server: ServerId,
    /// Adapter to unload first.
    pub unload: Option<(ModelName, AdapterName)>,
}

/// When each adapter was last requested.
pub type AdapterUse = HashMap<(ModelName, AdapterName), Instant>;

/// Chooses a server for an adapter of `model`: one that has the model, can receive an order, and
/// has a free adapter place or holds an adapter that has been idle for longer than
/// `MIN_IDLE_TIME`.
pub fn place_adapter(
    now: Instant,
    servers: &[ServerView<'_>],
    max_adapters: u32,
    model: &str,
    last_used: &AdapterUse,
) -> Option<AdapterPlacement> {
    let hosts = servers.iter().filter(|s| !s.is_blocked && s.holdings.models.contains_key(model));
    let free = hosts
        .clone()
        .filter(|s| s.holdings.adapter_count() + s.pending_adapters < max_adapters as usize)
        .min_by_key(|s| (s.holdings.adapter_count() + s.pending_adapters, s.in_flight, s.id));
    if let Some(server) = free {
        return Some(AdapterPlacement { server: server.id.into(), unload: None });
    }
    let idle = hosts.flat_map(|server| {
        let adapters = server.holdings.models.iter();
        adapters.flat_map(move |(m, adapters)| {
            adapters.iter().map(move |a| (server.id, m.clone(), a.clone()))
        })
    });
    let last_use = |(_, m, a): &(&str, ModelName, AdapterName)| {
        last_used.get(&(m.clone(), a.clone())).copied()
    };
    let oldest = idle.min_by_key(last_use)?;
    let is_idle =
        last_use(&oldest).is_none_or(|at| now.saturating_duration_since(at) > MIN_IDLE_TIME);
    let (server, model, adapter) = oldest;
    is_idle.then(|| AdapterPlacement { server: server.into(), unload: Some((model, adapter)) })
}
