//! The other instances, as their messages show them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model_homes::InstanceName;
use routes::{ModelName, ServiceName};
use serde::{Deserialize, Serialize};
use server_directory::{Holdings, ServerId};

use super::ModelKey;

/// Silence after which an instance's requests no longer count as in flight.
const FORGET_LOAD_AFTER: Duration = Duration::from_millis(1_500);

/// Silence after which an instance has no share of the limits on repeats. Twice the window of the
/// limits, so that a share is not used by two instances within one window.
const FORGET_SHARE_AFTER: Duration = Duration::from_secs(20);

/// A message between instances, one datagram each. A lost one is made up for by the next.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// What an instance does; to all others.
    Status(Status),
    /// What the order giver knows; to all others.
    Homes(Homes),
}

/// What an instance does.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Status {
    pub(crate) from: InstanceName,
    /// Drawn at each start, so that counts of a former run are not compared.
    pub(crate) run: u64,
    pub(crate) is_leaving: bool,
    /// Requests in flight by server and model.
    pub(crate) in_flight: Vec<(ServerId, Vec<(ModelName, u32)>)>,
    /// Arrivals since the start, of the models that were asked for lately.
    pub(crate) arrivals: Vec<(ModelKey, u64)>,
    /// Models that requests wait for: service, model, requests.
    pub(crate) wants: Vec<(ServiceName, ModelKey, u32)>,
}

/// What the order giver knows of some servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Homes {
    pub(crate) from: InstanceName,
    pub(crate) fence: u64,
    pub(crate) lease_revision: u64,
    pub(crate) holdings: Vec<(ServerId, Holdings)>,
    /// Milliseconds until models that are waited for should be loaded; all of them.
    pub(crate) ready_in: Vec<(ModelName, u32)>,
}

/// Another instance.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) address: SocketAddr,
    pub(crate) heard_at: Option<Instant>,
    pub(crate) status: Option<Status>,
    /// Arrivals that were already taken into the demand.
    pub(crate) counted: HashMap<ModelKey, u64>,
}

/// All other instances.
#[derive(Debug, Default)]
pub(crate) struct Instances {
    by_name: HashMap<InstanceName, Instance>,
}

impl Instances {
    /// Adds an instance or changes its address.
    pub(crate) fn put(&mut self, name: &str, address: SocketAddr) -> bool {
        let is_new = self.by_name.get(name).is_none_or(|known| known.address != address);
        if is_new {
            let instance =
                Instance { address, heard_at: None, status: None, counted: HashMap::new() };
            self.by_name.insert(name.into(), instance);
        }
        is_new
    }

    /// Takes a status message.
    pub(crate) fn heard(&mut self, status: Status, address: SocketAddr, now: Instant) {
        let is_new_run = self
            .by_name
            .get(&status.from)
            .and_then(|known| known.status.as_ref())
            .is_some_and(|known| known.run != status.run);
        if is_new_run {
            self.by_name.remove(&status.from);
        }
        self.put(&status.from, address);
        if let Some(instance) = self.by_name.get_mut(&status.from) {
            instance.heard_at = Some(now);
            instance.status = Some(status);
        }
    }

    /// Addresses of all other instances.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.by_name.values().map(|instance| instance.address).collect()
    }

    /// Address of one instance.
    pub(crate) fn address(&self, name: &str) -> Option<SocketAddr> {
        Some(self.by_name.get(name)?.address)
    }

    /// Instances that share the limits on repeats, this one included.
    pub(crate) fn count(&self) -> usize {
        let now = Instant::now();
        let shares = |instance: &Instance| {
            instance
                .heard_at
                .is_some_and(|at| now.saturating_duration_since(at) < FORGET_SHARE_AFTER)
        };
        1 + self.by_name.values().filter(|instance| shares(instance)).count()
    }

    /// Instances heard lately, with their newest status.
    pub(crate) fn live(&self, now: Instant) -> impl Iterator<Item = &Status> {
        self.by_name.values().filter_map(move |instance| {
            let heard_at = instance.heard_at?;
            let is_live = now.saturating_duration_since(heard_at) < FORGET_LOAD_AFTER;
            instance.status.as_ref().filter(|_| is_live)
        })
    }

    /// Requests in flight from the other instances at a server.
    pub(crate) fn in_flight_at(&self, server: &str, now: Instant) -> u32 {
        self.live(now)
            .flat_map(|status| &status.in_flight)
            .filter(|(id, _)| &**id == server)
            .flat_map(|(_, models)| models)
            .map(|(_, count)| count)
            .sum()
    }

    /// Arrivals at other instances that were not counted before.
    pub(crate) fn new_arrivals(&mut self) -> Vec<(ModelKey, u64)> {
        let mut new = Vec::new();
        for instance in self.by_name.values_mut() {
            let Some(status) = &instance.status else { continue };
            for (key, total) in &status.arrivals {
                let counted = instance.counted.entry(key.clone()).or_default();
                if total > counted {
                    new.push((key.clone(), total - *counted));
                    *counted = *total;
                }
            }
        }
        new
    }
}
