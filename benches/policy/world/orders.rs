//! Executes placement decisions as the servers and the weight store would.

use placement::*;
use rand::Rng;
use types::prelude::*;

use super::{LOAD_TIME_RATIO, ReplicaRecord, TimedEvent, UNLOAD_MS, World};

impl World<'_> {
    /// Returns the time that a load takes, in milliseconds. A load from the store is added to its
    /// loads in progress.
    fn load_time(&mut self, model: usize, source: LoadSource) -> u64 {
        let t = self.site.model(model).load_time;
        let ratio = self.rng.random_range(LOAD_TIME_RATIO.0..LOAD_TIME_RATIO.1);
        let declared = match source {
            LoadSource::Memory => t.memory,
            LoadSource::Disk => t.disk,
            LoadSource::Remote => t.remote,
        };
        let ms = declared.as_millis() as f64 * ratio;
        if source != LoadSource::Remote {
            return ms as u64;
        }
        // Loads above the store's start rate are delayed. Loads above its concurrency limit share
        // its bandwidth.
        let d = &self.site.catalogue.deployment;
        let start = self.next_store_start.max(self.now);
        self.next_store_start = start + 1_000 / u64::from(d.store_loads_per_second);
        self.view.store.loads_in_progress += 1;
        let sharing =
            f64::from(self.view.store.loads_in_progress) / f64::from(d.store_concurrent_loads);
        start - self.now + (ms * sharing.max(1.0)) as u64
    }

    /// Executes a decision. Returns false if it cannot be executed.
    pub(super) fn execute(&mut self, d: &Decision) -> bool {
        match d {
            Decision::Load { server, model, source } => self.load(server, model, *source),
            Decision::Unload { server, replica } => self.unload(server, *replica),
            Decision::Prefetch { server, model, source } => {
                let (s, m) = (self.position(server), self.index[model]);
                self.outcome.prefetches += 1;
                let t = self.now + self.load_time(m, *source);
                let started = self.now;
                self.schedule(
                    t,
                    TimedEvent::Prefetch { server: s, model: m, source: *source, started },
                );
                true
            }
            Decision::LoadAdapter { server, replica, adapter, evict } => {
                self.load_adapter(server, *replica, adapter, evict.as_ref())
            }
            Decision::Unreachable { from, target, expected_ready } => {
                self.refuse(from, target, *expected_ready);
                true
            }
        }
    }

    fn position(&self, server: &str) -> usize {
        self.view.servers.iter().position(|s| &*s.server == server).expect("known server")
    }

    fn load(&mut self, server: &str, name: &ModelId, source: LoadSource) -> bool {
        let (s, m) = (self.position(server), self.index[name]);
        let memory = self.site.model(m).memory_bytes;
        // Orders that exceed the memory or the allowance are counted, and refused as a server would
        // refuse them.
        if self.view.servers[s].memory_free < memory {
            self.outcome.overcommitted += 1;
            return false;
        }
        if self.view.allowance_left[name] == 0 {
            self.outcome.beyond_allowance += 1;
            return false;
        }
        self.outcome.loads[source as usize] += 1;
        *self.view.allowance_left.get_mut(name).expect("known") -= 1;
        let nearest = self.view.servers[s].nearest_source(name);
        let source = source.max(nearest);
        let took = self.load_time(m, source);
        let replica = self.next_replica;
        self.next_replica += 1;
        let last_used = self.instant(self.now);
        let v = &mut self.view.servers[s];
        v.memory_free -= memory;
        v.replicas.push(ReplicaView {
            replica,
            model: name.clone(),
            phase: ReplicaPhase::Loading,
            memory_bytes: memory,
            last_used,
            running: 0,
            queued: 0,
            adapters: Vec::new(),
        });
        self.records.insert(replica, ReplicaRecord { model: m, idle_since: Some(self.now) });
        let store = source == LoadSource::Remote;
        let started = self.now;
        self.schedule(
            self.now + took,
            TimedEvent::Load { server: s, replica, source, started, store },
        );
        true
    }

    fn unload(&mut self, server: &str, replica: ReplicaId) -> bool {
        let s = self.position(server);
        let Some(v) = self.view.servers[s].replicas.iter_mut().find(|r| r.replica == replica)
        else {
            return false;
        };
        if v.phase != ReplicaPhase::Ready || v.running > 0 {
            return false;
        }
        v.phase = ReplicaPhase::Unloading;
        let model = self.records[&replica].model;
        self.ready[model].retain(|(_, r)| *r != replica);
        self.schedule(self.now + UNLOAD_MS, TimedEvent::Unload { server: s, replica });
        true
    }

    fn load_adapter(
        &mut self,
        server: &str,
        replica: ReplicaId,
        adapter: &AdapterId,
        evict: Option<&AdapterId>,
    ) -> bool {
        let s = self.position(server);
        let Some(v) = self.view.servers[s].replicas.iter_mut().find(|r| r.replica == replica)
        else {
            return false;
        };
        v.adapters.retain(|a| Some(&a.adapter) != evict);
        self.view.store.adapters_in_flight += 1;
        let full = self.site.catalogue.deployment.store_concurrent_adapters;
        let sharing = f64::from(self.view.store.adapters_in_flight) / f64::from(full);
        let took = (self.rng.random_range(5.0..14.0) * sharing.max(1.0)) as u64;
        let (started, adapter) = (self.now, adapter.clone());
        self.schedule(
            self.now + took,
            TimedEvent::Adapter { server: s, replica, adapter, started },
        );
        true
    }

    /// Refuses one instance's waiting requests for a target that cannot be ready by their deadline.
    fn refuse(&mut self, from: &str, target: &Target, ready: Option<Instant>) {
        let m = self.index[&target.model];
        let (trace, site, origin) = (self.trace, self.site, self.origin);
        let refused = |i: &usize| {
            let r = &trace[*i];
            let adapter = r.adapter.map(|a| &site.adapters[m][a]);
            format!("instance-{}", r.instance) == from
                && adapter == target.adapter.as_ref()
                && ready.is_none_or(|t| t > origin + Duration::from_millis(r.deadline))
        };
        for i in self.waiting[m].extract_if(.., |i| refused(i)) {
            self.done[i] = true;
            self.outcome.record_refused(&trace[i]);
        }
    }
}
