//! Allowances and their transfers through `pool/MODEL`: donor first, receiver second, then the
//! donor clears. Each object shows by nonces how far a transfer has come, so that a pass over
//! both objects can be repeated at any time.

use rand::Rng;
use types::object::{CallId, Condition, ObjectAnswer, ObjectCall, ObjectKey, decode, encode};
use types::prelude::*;

use crate::{Action, Group, PoolObject, PoolReceipt, Receipt, Transfer, TransferEnd};

/// Work on the pool of one model.
#[derive(Debug, Default)]
struct PoolWork {
    /// Replicas to ask for.
    request: u32,
    /// A pass is due although nothing in the record asks for it.
    again: bool,
    at: Option<Instant>,
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

/// Work on all pools.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    work: BTreeMap<ModelId, PoolWork>,
    /// Models whose pool another group found empty, as last seen.
    pub(crate) wanted: BTreeSet<ModelId>,
}

impl Pools {
    pub(crate) fn next_timer(&self) -> Option<Instant> {
        let idle = self.work.values().filter(|work| matches!(work.step, Step::Idle));
        idle.filter_map(|work| work.at).min()
    }

    pub(crate) fn postpone(&mut self, until: Instant) {
        for at in self.work.values_mut().filter_map(|work| work.at.as_mut()) {
            *at = until.max(*at);
        }
    }
}

impl Group {
    /// Asks the pool for allowance. The result shows in the view. Asking again before the answer
    /// does not add up.
    pub fn request_allowance(
        &mut self,
        now: Instant,
        model: &str,
        count: u32,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let work = self.pools.work.entry(model.into()).or_default();
        work.request = work.request.max(count);
        self.progress(now, rng)
    }

    /// Returns unused allowance to the pool; at most what is left.
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
            let (nonce, to) = (rng.random(), TransferEnd::Pool);
            self.record.transfers.push(Transfer { nonce, model: model.into(), count, to });
            self.store.touch();
        }
        self.progress(now, rng)
    }

    /// Models of which another group wants allowance and of which this group has some left.
    pub fn models_wanted_elsewhere(&self) -> Vec<ModelId> {
        let left = |model: &&ModelId| self.record.allowance_left(model) > 0;
        self.pools.wanted.iter().filter(left).cloned().collect()
    }

    /// Starts a pass for every model that has something to settle.
    pub(crate) fn settle_pools(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let committed = &self.store.committed;
        let transfers = committed.transfers.iter().map(|transfer| &transfer.model);
        let receipts = committed.receipts.iter().map(|receipt| &receipt.model);
        for model in transfers.chain(receipts) {
            self.pools.work.entry(model.clone()).or_default().again = true;
        }
        let due: Vec<ModelId> = self
            .pools
            .work
            .iter()
            .filter(|(_, work)| {
                matches!(work.step, Step::Idle)
                    && (work.request > 0 || work.again)
                    && work.at.is_none_or(|at| at <= now)
            })
            .map(|(model, _)| model.clone())
            .collect();
        for model in due {
            let request = ObjectCall::Read { key: ObjectKey::new("pool", model.clone()) };
            let call = self.call(request, actions);
            let pause = self.cfg.transfer_interval.mul_f64(rng.random_range(0.5..1.0));
            if let Some(work) = self.pools.work.get_mut(&model) {
                work.step = Step::Reading(call);
                work.again = false;
                work.at = Some(now + pause);
            }
        }
        let finished =
            |work: &PoolWork| matches!(work.step, Step::Idle) && work.request == 0 && !work.again;
        self.pools.work.retain(|_, work| !finished(work));
    }

    /// Takes an answer for a pool.
    pub(crate) fn on_pool_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let mine = |work: &PoolWork| match &work.step {
            Step::Idle => false,
            Step::Reading(own) | Step::Writing(own, _) => *own == call,
        };
        let Some((model, work)) = self.pools.work.iter_mut().find(|(_, work)| mine(work)) else {
            return actions;
        };
        let model = model.clone();
        let step = std::mem::take(&mut work.step);
        match (step, answer) {
            (Step::Reading(_), ObjectAnswer::Found { version, value }) => {
                if let Some(pool) = decode::<PoolObject>(&value) {
                    let condition = Condition::Version(version);
                    self.pass(&model, condition, pool, rng, &mut actions);
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
                self.pass(&model, Condition::Absent, pool, rng, &mut actions);
            }
            (Step::Writing(_, pool), ObjectAnswer::Written { .. }) => {
                work.failures = 0;
                work.request = 0;
                self.see_pool(&model, &pool);
            }
            // The next pass reads the object: a transfer that took effect stands in it with its
            // nonce, so that a lost answer needs no other resolution.
            _ => {
                work.again = true;
                work.failures += 1;
                let (first, longest) = (self.cfg.retry_min, self.cfg.retry_max);
                work.at = Some(now + backoff::delay(first, longest, work.failures, rng));
            }
        }
        actions
    }

    /// Changes a pool as far as both objects allow, and writes it if it changed.
    fn pass(
        &mut self,
        model: &ModelId,
        condition: Condition,
        mut pool: PoolObject,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let before = pool.clone();
        self.see_pool(model, &pool);
        self.update_declared(model, &mut pool);
        let group = &self.cfg.group;
        let committed = &self.store.committed;
        // Receiver's side: what is recorded here as received is cleared at the donor.
        pool.transfers.retain(|t| !committed.receipts.iter().any(|r| r.nonce == t.nonce));
        // Donor's side: what is recorded here as deducted is added once.
        for transfer in committed.transfers.iter().filter(|transfer| transfer.model == *model) {
            if !pool.receipts.iter().any(|receipt| receipt.nonce == transfer.nonce) {
                pool.free += i64::from(transfer.count);
                let receipt = PoolReceipt { nonce: transfer.nonce, group: group.clone() };
                pool.receipts.push(receipt);
            }
        }
        let open = |nonce| {
            let records = [&committed.transfers, &self.record.transfers];
            records.into_iter().flatten().any(|transfer| transfer.nonce == nonce)
        };
        pool.receipts.retain(|receipt| receipt.group != *group || open(receipt.nonce));
        // A transfer that stands in the pool answers the request, also if its write seemed to fail.
        let incoming = pool.transfers.iter().any(|t| t.to == TransferEnd::Group(group.clone()));
        let wish = self.pools.work.get(model).map_or(0, |work| work.request);
        let wish = if incoming { 0 } else { wish };
        let give = u32::try_from(pool.free.clamp(0, i64::from(wish))).unwrap_or(0);
        if give > 0 {
            pool.free -= i64::from(give);
            let (nonce, to) = (rng.random(), TransferEnd::Group(group.clone()));
            pool.transfers.push(Transfer { nonce, model: model.clone(), count: give, to });
        }
        if wish > 0 && give == 0 {
            pool.wanted.insert(group.clone());
        } else if give > 0 || incoming {
            pool.wanted.remove(group);
        }
        if let Some(work) = self.pools.work.get_mut(model)
            && (incoming || pool == before)
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

    /// The declared count of the highest configuration version counts.
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

    /// Takes what a pool in the platform shows into the record.
    fn see_pool(&mut self, model: &ModelId, pool: &PoolObject) {
        let to = TransferEnd::Group(self.cfg.group.clone());
        let mut changed = false;
        for transfer in pool.transfers.iter().filter(|transfer| transfer.to == to) {
            if !self.record.receipts.iter().any(|receipt| receipt.nonce == transfer.nonce) {
                *self.record.allowances.entry(model.clone()).or_default() += transfer.count;
                let receipt = Receipt { nonce: transfer.nonce, model: model.clone() };
                self.record.receipts.push(receipt);
                changed = true;
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
            // The pool keeps its receipt until a later pass.
            self.pools.work.entry(model.clone()).or_default().again = true;
        }
        changed |= receipts != self.record.receipts.len();
        if changed || transfers != self.record.transfers.len() {
            self.store.touch();
        }
    }
}
