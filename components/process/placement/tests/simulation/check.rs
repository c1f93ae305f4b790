//! Checks decisions against the true state, including decisions that the view does not show yet.

use placement::*;
use types::prelude::*;

use super::Simulation;

impl Simulation {
    fn record_violation(&mut self, property: &'static str, detail: impl std::fmt::Debug) {
        self.violations.push((property, format!("{detail:?}")));
    }

    /// Checks a decision against the true state and records violations.
    pub(super) fn check(&mut self, d: &Decision) {
        let server = match d {
            Decision::Load { server, .. }
            | Decision::Unload { server, .. }
            | Decision::Prefetch { server, .. }
            | Decision::LoadAdapter { server, .. } => server.clone(),
            Decision::Unreachable { .. } => return,
        };
        let Some(s) = self.view.server(&server).cloned() else {
            return self.record_violation("unusable server", d);
        };
        if s.leaving || s.blocked {
            self.record_violation("unusable server", d);
        }
        match d {
            Decision::Load { model, source, .. } => self.check_load(&s, model, *source, d),
            Decision::Unload { replica, .. } => {
                let idle = s.replicas.iter().any(|r| {
                    r.replica == *replica && r.phase == ReplicaPhase::Ready && r.running == 0
                });
                if !idle || self.unconfirmed.contains(d) {
                    self.record_violation("unload of a busy replica", d);
                }
            }
            Decision::Prefetch { source, .. } => self.check_store(*source, d),
            Decision::LoadAdapter { replica, evict, .. } => {
                self.check_adapter(&s, *replica, evict.as_ref(), d);
            }
            Decision::Unreachable { .. } => {}
        }
    }

    fn check_load(&mut self, s: &ServerView, model: &ModelId, source: LoadSource, d: &Decision) {
        let m = self.catalogue.models[model].clone();
        let loads = |d: &&Decision| matches!(d, Decision::Load { .. });
        let unconfirmed: Vec<Decision> = self.unconfirmed.iter().filter(loads).cloned().collect();
        let reserved: u64 = unconfirmed
            .iter()
            .filter_map(|d| match d {
                Decision::Load { server, model, .. } if *server == s.server => {
                    Some(self.catalogue.models[model].memory_bytes)
                }
                _ => None,
            })
            .sum();
        if reserved + m.memory_bytes > s.memory_free {
            self.record_violation("memory", d);
        }
        let of_model = |d: &&Decision| matches!(d, Decision::Load { model: x, .. } if x == model);
        let unconfirmed_loads = unconfirmed.iter().filter(of_model).count() as u32;
        if unconfirmed_loads + 1 > self.view.allowance_left[model] {
            self.record_violation("allowance", d);
        }
        let is_covered = self.view.replicas_of(model).any(|(s, r)| {
            r.phase == ReplicaPhase::Loading
                || (r.phase == ReplicaPhase::Ready && !s.leaving && r.running < m.max_batch)
        });
        if unconfirmed_loads > 0 || is_covered {
            self.record_violation("second load", d);
        }
        self.check_store(source, d);
    }

    fn check_store(&mut self, source: LoadSource, d: &Decision) {
        if source != LoadSource::Remote {
            return;
        }
        self.store_transfers.push(d.clone());
        if self.store_transfers.len() as u32 > self.catalogue.deployment.store_concurrent_loads {
            self.record_violation("store", ("concurrent", d));
        }
        self.store_starts.push_back(self.now);
        while self.store_starts.front().is_some_and(|&t| t + Duration::from_secs(1) <= self.now) {
            self.store_starts.pop_front();
        }
        if self.store_starts.len() as u32 > self.catalogue.deployment.store_loads_per_second {
            self.record_violation("store", ("rate", d));
        }
    }

    fn check_adapter(
        &mut self,
        s: &ServerView,
        id: ReplicaId,
        evict: Option<&AdapterId>,
        d: &Decision,
    ) {
        let Some(r) = s.replicas.iter().find(|r| r.replica == id) else {
            return self.record_violation("adapter pool", d);
        };
        let being_loaded = self.adapters_in_flight.iter().filter(|f| f.1 == id).count()
            + self.unconfirmed.iter().filter(|u| pool_growth(u, id) == 1).count();
        let after = r.adapters.len() + being_loaded + 1 - usize::from(evict.is_some());
        let in_use = r.adapters.iter().any(|a| Some(&a.adapter) == evict && a.running > 0);
        let unconfirmed = |d: &&Decision| matches!(d, Decision::LoadAdapter { .. });
        let adapters_in_flight =
            self.adapters_in_flight.len() + self.unconfirmed.iter().filter(unconfirmed).count();
        let slots = self.catalogue.models[&r.model].adapter_slots as usize;
        if after > slots || in_use {
            self.record_violation("adapter pool", d);
        }
        if adapters_in_flight as u32 + 1 > self.catalogue.deployment.store_concurrent_adapters {
            self.record_violation("adapters in flight", d);
        }
    }
}

/// Change in the number of pooled adapters of a replica that a decision will cause.
fn pool_growth(d: &Decision, id: ReplicaId) -> i32 {
    match d {
        Decision::LoadAdapter { replica, evict, .. } if *replica == id => {
            if evict.is_some() {
                0
            } else {
                1
            }
        }
        _ => 0,
    }
}
