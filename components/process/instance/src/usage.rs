//! Writes counted work and accelerator intervals to the platform, from which costs are split.

use accounting::records::{ContractVersion, Minute, hour, minute};
use accounting::{
    Death, FLUSH_INTERVAL, Interval, Run, UsageObject, VersionLog, VersionRecord, Work, WorkObject,
    usage_name, work_name,
};
use contracts::content_hash;
use platform::{Call, Client, WriteOutcome};
use serde::Serialize;
use serde::de::DeserializeOwned;
use types::object::{Condition, ObjectKey};
use types::prelude::*;

use crate::context::Context;
use crate::contract_history::ContractHistory;
use crate::event::Event;
use crate::finished::Finished;

/// Timeout of one flush; the next one is due soon after.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(8);
/// Time between flushes while no work is counted. They show the cost report that no records are
/// missing.
const IDLE_FLUSH_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum attempts to write an object that other writers change at the same time.
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// Work that this run of the instance has counted in the current hour.
pub(crate) struct Usage {
    contracts: ContractHistory,
    work: BTreeMap<(Minute, ModelId, ClientAccountId, ContractVersion), u64>,
    versions: VersionLog,
    deaths: Vec<Death>,
    flush_at: Instant,
    /// When a flush is due even if nothing was counted.
    idle_flush_at: Instant,
    is_flushing: bool,
    /// Set if the flush in progress is the last one of a planned stop.
    is_closing: bool,
    is_closed: bool,
    /// Time of the flush in progress.
    flushing_at: SystemTime,
    /// Time of the last flush that was written.
    written_at: SystemTime,
    /// Increases with every record; shows whether a flush contains all of them.
    generation: u64,
    flushed_generation: u64,
}

impl Usage {
    /// Creates a record without counted work.
    pub(crate) fn new(instance: InstanceId, now: Instant) -> Self {
        Self {
            contracts: ContractHistory::default(),
            work: BTreeMap::new(),
            versions: VersionLog::new(instance, now),
            deaths: Vec::new(),
            flush_at: now + FLUSH_INTERVAL,
            idle_flush_at: now + FLUSH_INTERVAL,
            is_flushing: false,
            is_closing: false,
            is_closed: false,
            flushing_at: SystemTime::UNIX_EPOCH,
            written_at: SystemTime::UNIX_EPOCH,
            generation: 0,
            flushed_generation: 0,
        }
    }

    /// Records when a configuration version was adopted.
    pub(crate) fn record_adoption(&mut self, cfg: &Configuration, now: Instant, wall: SystemTime) {
        let contracts: BTreeMap<ClientAccountId, ContractVersion> = cfg
            .contracts
            .iter()
            .map(|(client_account, contract)| (client_account.clone(), content_hash(&**contract)))
            .collect();
        self.contracts.record(cfg.version, &contracts, now);
        let record = VersionRecord { version: cfg.version, adopted_at: wall, contracts };
        if self.versions.append(record, now, wall) {
            self.generation += 1;
        }
    }

    /// Sets the live instances of the data centre and which of them watch the configuration.
    pub(crate) fn set_members(
        &mut self,
        live: &BTreeMap<InstanceId, Incarnation>,
        watchers: &BTreeSet<&InstanceId>,
        now: Instant,
        wall: SystemTime,
    ) {
        if self.versions.set_members(live, watchers, now, wall) {
            self.generation += 1;
        }
    }

    /// Records the death of another instance.
    pub(crate) fn record_death(
        &mut self,
        instance: InstanceId,
        incarnation: Incarnation,
        wall: SystemTime,
    ) {
        self.deaths.push(Death { instance, incarnation, noticed_at: wall });
        self.generation += 1;
    }

    /// Counts the work of a finished request under its contract.
    pub(crate) fn count(&mut self, finished: &Finished, wall: SystemTime) {
        let Some(model) = finished.model.clone().filter(|_| finished.tokens > 0) else { return };
        let contract = self.contracts.get(&finished.client_account, finished.version);
        let Some(contract) = contract.cloned() else {
            tracing::error!(
                "accounting: no contract of {} to record work under",
                finished.client_account
            );
            return;
        };
        let key = (minute(wall), model, finished.client_account.clone(), contract);
        *self.work.entry(key).or_default() += finished.tokens;
        self.generation += 1;
    }

    /// Whether everything counted has been written.
    pub(crate) fn is_flushed(&self) -> bool {
        self.flushed_generation == self.generation && !self.is_flushing
    }

    /// Whether the last flush of a planned stop may start.
    pub(crate) fn may_close(&self) -> bool {
        !self.is_flushing && !self.is_closed
    }

    /// Whether the last flush of a planned stop is written.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Returns when `flush` is due.
    pub(crate) fn next_timer(&self) -> Instant {
        self.flush_at
    }

    /// Writes the counted work unless a flush is in progress or none is due. `closed` marks the
    /// last flush of a planned stop.
    pub(crate) fn flush(&mut self, cx: &Context, closed: bool, now: Instant, wall: SystemTime) {
        self.flush_at = now + FLUSH_INTERVAL;
        let is_idle = self.is_flushed() && now < self.idle_flush_at;
        if self.is_flushing || (is_idle && !closed) {
            return;
        }
        self.idle_flush_at = now + IDLE_FLUSH_INTERVAL;
        let run = self.begin_flush(closed, now, wall);
        let (client, generation) = (cx.platform.clone(), self.generation);
        let key = ObjectKey::new("work", work_name(&cx.instance, wall));
        let incarnation = cx.incarnation;
        cx.spawn(async move {
            let update = |object: &mut WorkObject| {
                object.runs.insert(incarnation, run.clone());
            };
            let written = update_object(&client, &key, update).await;
            Event::WorkWritten { generation, written }
        });
    }

    /// Starts a flush and returns the record to write.
    pub(crate) fn begin_flush(&mut self, closed: bool, now: Instant, wall: SystemTime) -> Run {
        self.is_flushing = true;
        self.is_closing = closed;
        if hour(self.written_at) < hour(wall) {
            self.prune_before(self.written_at);
        }
        self.flushing_at = wall;
        self.build_run(closed, now, wall)
    }

    /// Handles the outcome of a flush.
    pub(crate) fn on_written(&mut self, generation: u64, written: bool) {
        self.is_flushing = false;
        if !written {
            tracing::warn!("accounting: counted work not written; retained for the next flush");
            return;
        }
        self.flushed_generation = generation;
        self.is_closed = self.is_closing;
        self.written_at = self.flushing_at;
        self.versions.on_written();
    }

    /// Drops records that the object of an earlier hour holds. Nothing is dropped within an hour,
    /// because each flush replaces the previous one in the object of its hour.
    fn prune_before(&mut self, at: SystemTime) {
        self.work.retain(|(counted, ..), _| *counted >= minute(at));
        self.deaths.retain(|death| death.noticed_at >= at);
    }

    fn build_run(&mut self, closed: bool, now: Instant, wall: SystemTime) -> Run {
        let work =
            self.work.iter().map(|((minute, model, client_account, contract), tokens)| Work {
                minute: *minute,
                model: model.clone(),
                client_account: client_account.clone(),
                contract_version: contract.clone(),
                tokens: *tokens,
            });
        Run {
            flushed_until: wall,
            closed,
            work: work.collect(),
            versions: self.versions.begin_flush(now, wall),
            deaths: self.deaths.clone(),
        }
    }
}

/// Writes the accelerator intervals of a group's replicas: ended ones, which the group drops from
/// its decision object once they are written, and open ones up to now.
pub(crate) fn write_intervals(
    cx: &Context,
    group: &GroupId,
    closed: &[group::Interval],
    open: Vec<group::Interval>,
    wall: SystemTime,
) {
    let replicas: Vec<ReplicaId> = closed.iter().map(|i| i.replica).collect();
    let intervals: Vec<Interval> =
        closed.iter().cloned().chain(open).map(|i| accounting_interval(group, i)).collect();
    if intervals.is_empty() {
        return;
    }
    let client = cx.platform.clone();
    let key = ObjectKey::new("usage", usage_name(group, wall));
    let group: GroupId = group.clone();
    cx.spawn(async move {
        let update = |object: &mut UsageObject| {
            for interval in &intervals {
                let is_same = |old: &&mut Interval| {
                    old.replica == interval.replica && old.from == interval.from
                };
                match object.intervals.iter_mut().find(is_same) {
                    Some(old) => old.to = old.to.max(interval.to),
                    None => object.intervals.push(interval.clone()),
                }
            }
        };
        let written = update_object(&client, &key, update).await;
        Event::UsageWritten { group, replicas, written }
    });
}

fn accounting_interval(group: &GroupId, interval: group::Interval) -> Interval {
    Interval {
        group: group.clone(),
        replica: interval.replica,
        model: interval.model,
        accelerators: interval.accelerators,
        from: interval.from,
        to: interval.until,
    }
}

/// Reads, changes and writes an object; tries again if another writer changed it in between.
async fn update_object<T: Clone + Default + Serialize + DeserializeOwned>(
    client: &Client,
    key: &ObjectKey,
    update: impl Fn(&mut T),
) -> bool {
    let call = Call::with_deadline(Instant::now() + FLUSH_TIMEOUT);
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let Ok(current) = client.get::<T>(key, call).await else { return false };
        let (condition, mut value) = match current {
            Some(object) => (Condition::Version(object.version), object.value),
            None => (Condition::Absent, T::default()),
        };
        update(&mut value);
        match client.write(key, condition, &value, call).await {
            WriteOutcome::Written { .. } => return true,
            WriteOutcome::Conflict { .. } => {}
            WriteOutcome::NotWritten | WriteOutcome::Unknown => return false,
        }
    }
    false
}
