//! Simulates backend servers in virtual time: they execute orders and report.

use group::OrderResult;
use rand::Rng;
use types::prelude::*;

use crate::scale::{BATCH, SERVER_MEMORY};
use crate::traffic;

/// Largest number of order outcomes in a report.
const MAX_OUTCOMES: usize = 16;

/// One backend server.
#[derive(Debug)]
pub(crate) struct ServerModel {
    report: ServerReport,
    /// Load figures, encoded once per change, because encoding is the server's work and no cost of
    /// the instance that reads them.
    encoded_loads: Vec<u8>,
    /// Increases with every change other than a change of the load figures alone.
    revision: u64,
}

/// An encoded answer to a request for the report.
#[derive(Clone, Debug)]
pub(crate) enum Report {
    /// The full report.
    Full(Vec<u8>),
    /// Only the load figures, for a reader that has the rest of this revision.
    Loads(Vec<u8>),
}

impl Report {
    pub(crate) fn len(&self) -> usize {
        match self {
            Self::Full(encoded) | Self::Loads(encoded) => encoded.len(),
        }
    }
}

/// A change that completes some time after its order.
#[derive(Clone, Debug)]
pub(crate) enum PendingChange {
    Loaded { order: OrderId, replica: ReplicaId, adapters: Vec<AdapterId> },
    Unloaded { order: OrderId, replica: ReplicaId },
    AdapterLoaded { order: OrderId, replica: ReplicaId, adapter: AdapterId },
}

impl ServerModel {
    pub(crate) fn new(server: BackendServerId) -> Self {
        let report = ServerReport {
            server,
            incarnation: 1,
            checks_fencing: true,
            highest_fencing: 0,
            memory_total: SERVER_MEMORY,
            memory_used: 0,
            role: ServerRole::Mixed,
            leaving: false,
            replicas: Vec::new(),
            outcomes: Vec::new(),
            cached_in_memory: Vec::new(),
            cached_on_disk: Vec::new(),
            load_age_ms: 200,
        };
        let mut model = Self { report, encoded_loads: Vec::new(), revision: 0 };
        model.on_changed();
        model
    }

    fn on_changed(&mut self) {
        self.revision += 1;
        self.encode_loads();
    }

    fn encode_loads(&mut self) {
        let loads = LoadReport::from_report(&self.report);
        self.encoded_loads = serde_json::to_vec(&loads).expect("load figures serialise");
    }

    /// Returns the answer to a reader that has a known revision, and the current revision.
    pub(crate) fn answer(&self, known: Option<u64>) -> (Report, u64) {
        let report = match known == Some(self.revision) {
            true => Report::Loads(self.encoded_loads.clone()),
            false => Report::Full(serde_json::to_vec(&self.report).expect("reports serialise")),
        };
        (report, self.revision)
    }

    pub(crate) fn replicas(&self) -> &[ReplicaReport] {
        &self.report.replicas
    }

    /// Changes the load figures, as a second of traffic does.
    pub(crate) fn change_loads(&mut self, rng: &mut impl Rng) {
        for replica in &mut self.report.replicas {
            let requests = traffic::after_a_second(replica.running + replica.queued, rng);
            replica.running = requests.min(BATCH);
            replica.queued = requests - replica.running;
        }
        self.encode_loads();
    }

    /// Executes an order. Returns the result and, if the order takes time, the change that
    /// completes it.
    pub(crate) fn execute_order(
        &mut self,
        order: &Order,
        adapters: Vec<AdapterId>,
    ) -> (OrderResult, Option<PendingChange>) {
        if order.fencing < self.report.highest_fencing {
            return (OrderResult::StaleFencing, None);
        }
        self.report.highest_fencing = order.fencing;
        let number = order.order;
        let change = match order.kind.clone() {
            OrderKind::Seal => None,
            OrderKind::Load { replica, model, version, memory_bytes, .. } => {
                if self.report.memory_used + memory_bytes > self.report.memory_total {
                    panic!("memory of {} overcommitted", self.report.server);
                }
                self.report.memory_used += memory_bytes;
                let phase = ReplicaPhase::Loading;
                let (adapters_now, running, queued) = (Vec::new(), 0, 0);
                self.report.replicas.push(ReplicaReport {
                    replica,
                    model,
                    version,
                    phase,
                    memory_bytes,
                    adapters: adapters_now,
                    running,
                    queued,
                });
                Some(PendingChange::Loaded { order: number, replica, adapters })
            }
            OrderKind::Unload { replica } => {
                if let Some(found) = self.replica(replica) {
                    found.phase = ReplicaPhase::Unloading;
                }
                Some(PendingChange::Unloaded { order: number, replica })
            }
            OrderKind::LoadAdapter { replica, adapter, evict } => {
                if let Some(found) = self.replica(replica) {
                    found.adapters.retain(|current| Some(current) != evict.as_ref());
                }
                Some(PendingChange::AdapterLoaded { order: number, replica, adapter })
            }
            OrderKind::Prefetch { .. } | OrderKind::SetRole { .. } => {
                self.record_outcome(number);
                None
            }
        };
        self.on_changed();
        (OrderResult::Accepted, change)
    }

    fn replica(&mut self, replica: ReplicaId) -> Option<&mut ReplicaReport> {
        self.report.replicas.iter_mut().find(|found| found.replica == replica)
    }

    fn record_outcome(&mut self, order: OrderId) {
        self.report.outcomes.push(OrderOutcome { order, succeeded: true });
        if self.report.outcomes.len() > MAX_OUTCOMES {
            self.report.outcomes.remove(0);
        }
    }

    /// Applies a change that an order started.
    pub(crate) fn apply(&mut self, change: PendingChange) {
        let order = match change {
            PendingChange::Loaded { order, replica, adapters } => {
                if let Some(found) = self.replica(replica) {
                    found.phase = ReplicaPhase::Ready;
                    found.adapters = adapters;
                }
                order
            }
            PendingChange::Unloaded { order, replica } => {
                let memory = self.replica(replica).map_or(0, |found| found.memory_bytes);
                self.report.memory_used -= memory;
                self.report.replicas.retain(|found| found.replica != replica);
                order
            }
            PendingChange::AdapterLoaded { order, replica, adapter } => {
                if let Some(found) = self.replica(replica) {
                    found.adapters.push(adapter);
                }
                order
            }
        };
        self.record_outcome(order);
        self.on_changed();
    }
}
