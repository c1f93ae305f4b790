//! Reading a version from the platform. Only watchers do that.

use std::sync::Arc;

use rand::Rng;
use types::object::{CallId, ObjectAnswer, ObjectCall, ObjectKey, decode};
use types::prelude::*;

use crate::{Action, Follower, Head, catalogue_hash, contract_hash};

/// Objects that are read at one time. Reading 2,000 contracts in this way takes seconds rather than
/// exceeding the platform's rate.
const READS_IN_FLIGHT: usize = 8;

/// An object of a head.
#[derive(Clone, Debug)]
enum Object {
    Contract(CustomerId),
    Catalogue,
}

/// A version that is being read.
#[derive(Debug)]
struct Reading {
    head: Head,
    contracts: BTreeMap<CustomerId, Arc<Contract>>,
    catalogue: Option<Arc<Catalogue>>,
    missing: Vec<Object>,
    in_flight: BTreeMap<CallId, Object>,
}

/// Calls to the platform.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    head_call: Option<CallId>,
    /// The head changed while it was read.
    again: bool,
    reading: Option<Reading>,
    pub(crate) retry_at: Option<Instant>,
    /// Whether the platform answered or failed since the start.
    pub(crate) asked: bool,
    last_call: CallId,
}

impl Follower {
    fn call(&mut self, request: ObjectCall, actions: &mut Vec<Action>) -> CallId {
        self.objects.last_call += 1;
        actions.push(Action::Call { call: self.objects.last_call, request });
        self.objects.last_call
    }

    pub(crate) fn read_head(&mut self, actions: &mut Vec<Action>) {
        if self.objects.head_call.is_some() || self.objects.reading.is_some() {
            self.objects.again = true;
            return;
        }
        self.objects.again = false;
        let key = ObjectKey::new("configuration", "head");
        let call = self.call(ObjectCall::Read { key }, actions);
        self.objects.head_call = Some(call);
    }

    /// Takes the answer to a platform call.
    pub fn on_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.objects.head_call == Some(call) {
            self.objects.head_call = None;
            self.objects.asked = true;
            match answer {
                ObjectAnswer::Found { value, .. } => {
                    if let Some(head) = decode::<Head>(&value) {
                        self.on_head(head);
                    }
                }
                ObjectAnswer::Missing => {}
                _ => self.retry_head(now, rng),
            }
        } else if let Some(reading) = &mut self.objects.reading
            && let Some(object) = reading.in_flight.remove(&call)
        {
            if !reading.take(&object, &answer) {
                reading.missing.push(object);
                self.retry_head(now, rng);
            }
        } else {
            return actions;
        }
        self.read_objects(now, &mut actions);
        if self.objects.again {
            self.read_head(&mut actions);
        }
        actions
    }

    fn retry_head(&mut self, now: Instant, rng: &mut impl Rng) {
        let delay = self.cfg.retry_after.mul_f64(rng.random_range(0.5..1.5));
        self.objects.retry_at = Some(now + delay);
    }

    fn on_head(&mut self, head: Head) {
        self.seen = self.seen.max(head.version);
        if head.version <= self.current.version || !self.is_watching {
            return;
        }
        let known = |name: &CustomerId, hash| {
            let same = self.head.contracts.get(name) == Some(hash);
            self.current.contracts.get(name).filter(|_| same).cloned()
        };
        let mut reading = Reading {
            contracts: BTreeMap::new(),
            catalogue: None,
            missing: Vec::new(),
            in_flight: BTreeMap::new(),
            head: head.clone(),
        };
        for (name, hash) in &head.contracts {
            match known(name, hash) {
                Some(contract) => {
                    reading.contracts.insert(name.clone(), contract);
                }
                None => reading.missing.push(Object::Contract(name.clone())),
            }
        }
        if self.head.catalogue == head.catalogue {
            reading.catalogue = Some(self.current.catalogue.clone());
        } else {
            reading.missing.push(Object::Catalogue);
        }
        self.objects.reading = Some(reading);
    }

    /// Reads missing objects; adopts the version once all are there.
    pub(crate) fn read_objects(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.objects.retry_at.is_some_and(|at| now < at) {
            return;
        }
        let Some(mut reading) = self.objects.reading.take() else { return };
        while reading.in_flight.len() < READS_IN_FLIGHT
            && let Some(object) = reading.missing.pop()
        {
            let key = reading.key(&object);
            let call = self.call(ObjectCall::Read { key }, actions);
            reading.in_flight.insert(call, object);
        }
        match reading.catalogue.clone().filter(|_| reading.in_flight.is_empty()) {
            Some(catalogue) => {
                let version = reading.head.version;
                let contracts = reading.contracts;
                let configuration = Configuration { version, contracts, catalogue };
                let update = self.adopt(now, configuration, reading.head, actions);
                // After a restart the difference is everything, which the others have already.
                if let Some(update) = update.filter(|update| update.from > 0 || update.to == 1) {
                    self.push(update, actions);
                }
            }
            None => self.objects.reading = Some(reading),
        }
    }
}

impl Reading {
    fn key(&self, object: &Object) -> ObjectKey {
        match object {
            Object::Contract(name) => {
                let hash = self.head.contracts.get(name).map_or("", |hash| &**hash);
                ObjectKey::new("contract", format!("{name}@{hash}"))
            }
            Object::Catalogue => ObjectKey::new("catalogue", self.head.catalogue.clone()),
        }
    }

    /// Takes an object if its content has the expected hash.
    fn take(&mut self, object: &Object, answer: &ObjectAnswer) -> bool {
        let ObjectAnswer::Found { value, .. } = answer else { return false };
        match object {
            Object::Contract(name) => {
                let Some(contract) = decode::<Contract>(value) else { return false };
                if self.head.contracts.get(name) != Some(&contract_hash(&contract)) {
                    return false;
                }
                self.contracts.insert(name.clone(), Arc::new(contract));
            }
            Object::Catalogue => {
                let Some(catalogue) = decode::<Catalogue>(value) else { return false };
                if self.head.catalogue != catalogue_hash(&catalogue) {
                    return false;
                }
                self.catalogue = Some(Arc::new(catalogue));
            }
        }
        true
    }
}
