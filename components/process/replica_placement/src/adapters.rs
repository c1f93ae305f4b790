//! Pattern: many adapters of few models, each asked for now and then.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use routes::{AdapterName, ModelName};
use server_directory::ServerId;

use crate::plan::ServerView;

/// An adapter that was used within this time is not unloaded for another one.
const KEEP_USED: Duration = Duration::from_millis(1_500);

/// Orders that bring an adapter to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterPlacement {
    /// The server.
    pub server: ServerId,
    /// Adapter that has to go first.
    pub unload: Option<(ModelName, AdapterName)>,
}

/// When each adapter was asked for last.
pub type AdapterUse = HashMap<(ModelName, AdapterName), Instant>;

/// Chooses a server for an adapter of `model`: one that has the model, is not carrying out an
/// order, and has a free place or holds an adapter that has not been used for a while.
pub fn place_adapter(
    now: Instant,
    servers: &[ServerView<'_>],
    places: u32,
    model: &str,
    used: &AdapterUse,
) -> Option<AdapterPlacement> {
    let hosts = servers.iter().filter(|s| !s.is_blocked && s.holdings.models.contains_key(model));
    let free = hosts
        .clone()
        .filter(|s| s.holdings.adapter_count() + s.pending_adapters < places as usize)
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
    let last_use =
        |(_, m, a): &(&str, ModelName, AdapterName)| used.get(&(m.clone(), a.clone())).copied();
    let oldest = idle.min_by_key(last_use)?;
    let is_idle = last_use(&oldest).is_none_or(|at| now.saturating_duration_since(at) > KEEP_USED);
    let (server, model, adapter) = oldest;
    is_idle.then(|| AdapterPlacement { server: server.into(), unload: Some((model, adapter)) })
}
