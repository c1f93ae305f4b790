//! Checks each decision against what is true, not against what the view shows.

use placement::*;
use types::prelude::*;

use super::World;

impl World {
    fn violate(&mut self, what: &'static str, detail: impl std::fmt::Debug) {
        self.violations.push((what, format!("{detail:?}")));
    }

    /// Checks a decision against what is true, not against what the view shows.
    pub(super) fn check(&mut self, d: &Decision) {
        let server = match d {
            Decision::Load { server, .. }
            | Decision::Unload { server, .. }
            | Decision::Prefetch { server, .. }
            | Decision::LoadAdapter { server, .. } => server.clone(),
            Decision::Unreachable { .. } => return,
        };
        let Some(s) = self.view.server(&server).cloned() else {
            return self.violate("unusable server", d);
        };
        if s.leaving || s.blocked {
            self.violate("unusable server", d);
        }
        match d {
            Decision::Load { model, source, .. } => self.check_load(&s, model, *source, d),
            Decision::Unload { replica, .. } => {
                let idle = s.replicas.iter().any(|r| {
                    r.replica == *replica && r.phase == ReplicaPhase::Ready && r.running == 0
                });
                if !idle || self.unshown.contains(d) {
                    self.violate("unload of a busy replica", d);
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
        let unshown: Vec<Decision> = self.unshown.iter().filter(loads).cloned().collect();
        let reserved: u64 = unshown
            .iter()
            .filter_map(|d| match d {
                Decision::Load { server, model, .. } if *server == s.server => {
                    Some(self.catalogue.models[model].memory_bytes)
                }
                _ => None,
            })
            .sum();
        if reserved + m.memory_bytes > s.memory_free {
            self.violate("memory", d);
        }
        let same = |d: &&Decision| matches!(d, Decision::Load { model: x, .. } if x == model);
        let waiting = unshown.iter().filter(same).count() as u32;
        if waiting + 1 > self.view.allowance_left[model] {
            self.violate("allowance", d);
        }
        let enough = self.view.replicas_of(model).any(|(s, r)| {
            r.phase == ReplicaPhase::Loading
                || (r.phase == ReplicaPhase::Ready && !s.leaving && r.running < m.max_batch)
        });
        if waiting > 0 || enough {
            self.violate("second load", d);
        }
        self.check_store(source, d);
    }

    fn check_store(&mut self, source: LoadSource, d: &Decision) {
        if source != LoadSource::Remote {
            return;
        }
        self.store.push(d.clone());
        if self.store.len() as u32 > self.catalogue.deployment.store_concurrent_loads {
            self.violate("store", ("concurrent", d));
        }
        self.starts.push_back(self.now);
        while self.starts.front().is_some_and(|&t| t + Duration::from_secs(1) <= self.now) {
            self.starts.pop_front();
        }
        if self.starts.len() as u32 > self.catalogue.deployment.store_loads_per_second {
            self.violate("store", ("rate", d));
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
            return self.violate("adapter pool", d);
        };
        let coming = self.flying.iter().filter(|f| f.1 == id).count()
            + self.unshown.iter().filter(|u| adapter_net(u, id) == 1).count();
        let after = r.adapters.len() + coming + 1 - usize::from(evict.is_some());
        let in_use = r.adapters.iter().any(|a| Some(&a.adapter) == evict && a.running > 0);
        let unshown = |d: &&Decision| matches!(d, Decision::LoadAdapter { .. });
        let flying = self.flying.len() + self.unshown.iter().filter(unshown).count();
        let slots = self.catalogue.models[&r.model].adapter_slots as usize;
        if after > slots || in_use {
            self.violate("adapter pool", d);
        }
        if flying as u32 + 1 > self.catalogue.deployment.store_concurrent_adapters {
            self.violate("adapters in flight", d);
        }
    }
}

/// Change in the number of pooled adapters of a replica that a decision will cause.
fn adapter_net(d: &Decision, id: ReplicaId) -> i32 {
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
