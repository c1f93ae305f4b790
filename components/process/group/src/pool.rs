//! Allowances and their transfers through `pool/MODEL`.
//!
//! The donor deducts the allowance and records the transfer, the receiver adds the allowance and
//! records a receipt, the donor removes the transfer, and the receiver drops the receipt. Both
//! objects identify the transfer by its nonce and so show which step comes next. A pass over both
//! objects can therefore be repeated at any time.

use rand::Rng;
use types::object::{CallId, Condition, ObjectAnswer, ObjectCall, ObjectKey, decode, encode};
use types::prelude::*;

use crate::{Action, Group, PoolObject, PoolReceipt, Receipt, Transfer, TransferTarget};

/// Pending work on the pool of one model.
#[derive(Debug, Default)]
struct PoolWork {
    /// Number of replicas to request.
    request: u32,
    /// Whether a pass is due even if no allowance is requested.
    is_pass_due: bool,
    next_pass_at: Option<Instant>,
    failures: u32,
    step: Step,
}

#[derive(Debug, Default)]
enum Step {
    #[default]
    Idle,
    Reading(CallId),
    Writing(CallId, PoolObject),
}

/// Pending work on all pools.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    work: BTreeMap<ModelId, PoolWork>,
    /// Models whose pool another group found empty when the pool was last read or written.
    pub(crate) wanted: BTreeSet<ModelId>,
}

impl Pools {
    pub(crate) fn next_timer(&self) -> Option<Instant> {
        let idle = self.work.values().filter(|work| matches!(work.step, Step::Idle));
        idle.filter_map(|work| work.next_pass_at).min()
    }

    pub(crate) fn postpone(&mut self, until: Instant) {
        for at in self.work.values_mut().filter_map(|work| work.next_pass_at.as_mut()) {
            *at = until.max(*at);
        }
    }
}

impl Group {
    /// Requests allowance from the pool; the view shows the result. Requests that are made before
    /// the first is answered do not add up: the largest count applies.
    pub fn request_allowance(
        &mut self,
        now: Instant,
        model: &str,
        count: u32,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let work = self.pools.work.entry(model.into()).or_default();
        work.request = work.request.max(count);
        self.advance(now, rng)
    }

    /// Returns allowance to the pool, but no more than is unused.
    pub fn return_allowance(
        &mut self,
        now: Instant,
        model: &str,
        count: u32,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let count = count.min(self.record.allowance_left(model));
        if count > 0 && self.is_writable(now) {
            if let Some(allowance) = self.record.allowances.get_mut(model) {
                *allowance -= count;
            }
            let (nonce, to) = (rng.random(), TransferTarget::Pool);
            self.record.transfers.push(Transfer { nonce, model: model.into(), count, to });
            self.store.mark_dirty();
        }
        self.advance(now, rng)
    }

    /// Models for which another group wants allowance and this group has unused allowance.
    pub fn models_wanted_elsewhere(&self) -> Vec<ModelId> {
        let left = |model: &&ModelId| self.record.allowance_left(model) > 0;
        self.pools.wanted.iter().filter(left).cloned().collect()
    }

    /// Starts a pass for every model with a request, a transfer or a receipt to process.
    pub(crate) fn start_pool_passes(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let committed = &self.store.committed;
        let transfers = committed.transfers.iter().map(|transfer| &transfer.model);
        let receipts = committed.receipts.iter().map(|receipt| &receipt.model);
        for model in transfers.chain(receipts) {
            self.pools.work.entry(model.clone()).or_default().is_pass_due = true;
        }
        let due: Vec<ModelId> = self
            .pools
            .work
            .iter()
            .filter(|(_, work)| {
                matches!(work.step, Step::Idle)
                    && (work.request > 0 || work.is_pass_due)
                    && work.next_pass_at.is_none_or(|at| at <= now)
            })
            .map(|(model, _)| model.clone())
            .collect();
        for model in due {
            let request = ObjectCall::Read { key: ObjectKey::new("pool", model.clone()) };
            let call = self.call(request, actions);
            let interval = self.cfg.transfer_interval.mul_f64(rng.random_range(0.5..1.0));
            if let Some(work) = self.pools.work.get_mut(&model) {
                work.step = Step::Reading(call);
                work.is_pass_due = false;
                work.next_pass_at = Some(now + interval);
            }
        }
        let is_finished = |work: &PoolWork| {
            matches!(work.step, Step::Idle) && work.request == 0 && !work.is_pass_due
        };
        self.pools.work.retain(|_, work| !is_finished(work));
    }

    /// Processes an answer if it belongs to a pool.
    pub(crate) fn on_pool_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_waiting = |work: &PoolWork| match &work.step {
            Step::Idle => false,
            Step::Reading(pending) | Step::Writing(pending, _) => *pending == call,
        };
        let Some((model, work)) = self.pools.work.iter_mut().find(|(_, work)| is_waiting(work))
        else {
            return actions;
        };
        let model = model.clone();
        let step = std::mem::take(&mut work.step);
        match (step, answer) {
            (Step::Reading(_), ObjectAnswer::Found { version, value }) => {
                if let Some(pool) = decode::<PoolObject>(&value) {
                    let condition = Condition::Version(version);
                    self.reconcile_pool(&model, condition, pool, rng, &mut actions);
                }
            }
            (Step::Reading(_), ObjectAnswer::Missing) => {
                let pool = PoolObject {
                    model: model.clone(),
                    declared: 0,
                    declared_version: 0,
                    free: 0,
                    transfers: Vec::new(),
                    receipts: Vec::new(),
                    wanted: BTreeSet::new(),
                    nonce: 0,
                };
                self.reconcile_pool(&model, Condition::Absent, pool, rng, &mut actions);
            }
            (Step::Writing(_, pool), ObjectAnswer::Written { .. }) => {
                work.failures = 0;
                work.request = 0;
                self.apply_pool(&model, &pool);
            }
            // The next pass reads the object again. A transfer that took effect is in it with its
            // nonce, so a lost answer needs no other handling.
            _ => {
                work.is_pass_due = true;
                work.failures += 1;
                let (first, longest) = (self.cfg.retry_min, self.cfg.retry_max);
                work.next_pass_at = Some(now + backoff::delay(first, longest, work.failures, rng));
            }
        }
        actions
    }

    /// Takes all steps that both objects allow, and writes the pool if it changed.
    fn reconcile_pool(
        &mut self,
        model: &ModelId,
        condition: Condition,
        mut pool: PoolObject,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let before = pool.clone();
        self.apply_pool(model, &pool);
        self.update_declared(model, &mut pool);
        let group = &self.cfg.group;
        let committed = &self.store.committed;
        // As receiver: removes transfers from the pool that the group's object has receipts for.
        pool.transfers.retain(|t| !committed.receipts.iter().any(|r| r.nonce == t.nonce));
        // As donor: adds transfers that the group's object has deducted, each of them once.
        for transfer in committed.transfers.iter().filter(|transfer| transfer.model == *model) {
            if !pool.receipts.iter().any(|receipt| receipt.nonce == transfer.nonce) {
                pool.free += i64::from(transfer.count);
                let receipt = PoolReceipt { nonce: transfer.nonce, group: group.clone() };
                pool.receipts.push(receipt);
            }
        }
        let is_open = |nonce| {
            let records = [&committed.transfers, &self.record.transfers];
            records.into_iter().flatten().any(|transfer| transfer.nonce == nonce)
        };
        pool.receipts.retain(|receipt| receipt.group != *group || is_open(receipt.nonce));
        // A transfer to this group that is already in the pool answers the request, even if the
        // write of that transfer seemed to fail.
        let has_incoming =
            pool.transfers.iter().any(|t| t.to == TransferTarget::Group(group.clone()));
        let requested = self.pools.work.get(model).map_or(0, |work| work.request);
        let requested = if has_incoming { 0 } else { requested };
        let granted = u32::try_from(pool.free.clamp(0, i64::from(requested))).unwrap_or(0);
        if granted > 0 {
            pool.free -= i64::from(granted);
            let (nonce, to) = (rng.random(), TransferTarget::Group(group.clone()));
            pool.transfers.push(Transfer { nonce, model: model.clone(), count: granted, to });
        }
        if requested > 0 && granted == 0 {
            pool.wanted.insert(group.clone());
        } else if granted > 0 || has_incoming {
            pool.wanted.remove(group);
        }
        if let Some(work) = self.pools.work.get_mut(model)
            && (has_incoming || pool == before)
        {
            work.request = 0;
        }
        if pool != before {
            pool.nonce = rng.random();
            let key = ObjectKey::new("pool", model.clone());
            let value = encode(&pool);
            let call = self.call(ObjectCall::Write { key, condition, value }, actions);
            if let Some(work) = self.pools.work.get_mut(model) {
                work.step = Step::Writing(call, pool);
            }
        }
    }

    /// Adopts the declared replica count if the configuration is newer than the pool's.
    fn update_declared(&self, model: &str, pool: &mut PoolObject) {
        let Some(declared) = self.catalogue.models.get(model).map(|model| model.max_replicas)
        else {
            return;
        };
        if self.catalogue_version > pool.declared_version {
            pool.free += i64::from(declared) - i64::from(pool.declared);
            pool.declared = declared;
            pool.declared_version = self.catalogue_version;
        }
    }

    /// Updates the record from a pool that was read or written: adds incoming transfers, and drops
    /// transfers and receipts that the pool has settled.
    fn apply_pool(&mut self, model: &ModelId, pool: &PoolObject) {
        let to = TransferTarget::Group(self.cfg.group.clone());
        let mut has_changed = false;
        for transfer in pool.transfers.iter().filter(|transfer| transfer.to == to) {
            if !self.record.receipts.iter().any(|receipt| receipt.nonce == transfer.nonce) {
                *self.record.allowances.entry(model.clone()).or_default() += transfer.count;
                let receipt = Receipt { nonce: transfer.nonce, model: model.clone() };
                self.record.receipts.push(receipt);
                has_changed = true;
            }
        }
        let receipts = self.record.receipts.len();
        self.record.receipts.retain(|receipt| {
            receipt.model != *model || pool.transfers.iter().any(|t| t.nonce == receipt.nonce)
        });
        let transfers = self.record.transfers.len();
        self.record.transfers.retain(|transfer| {
            !pool.receipts.iter().any(|receipt| receipt.nonce == transfer.nonce)
        });
        if pool.wanted.iter().any(|group| *group != self.cfg.group) {
            self.pools.wanted.insert(model.clone());
        } else {
            self.pools.wanted.remove(model);
        }
        if transfers != self.record.transfers.len() {
            // A later pass removes the receipt from the pool.
            self.pools.work.entry(model.clone()).or_default().is_pass_due = true;
        }
        has_changed |= receipts != self.record.receipts.len();
        if has_changed || transfers != self.record.transfers.len() {
            self.store.mark_dirty();
        }
    }
}
