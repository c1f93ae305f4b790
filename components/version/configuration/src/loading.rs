//! Reading a version from the platform.

use std::sync::Arc;

use types::object::{CallId, ObjectAnswer, ObjectCall, ObjectKey, decode};
use types::prelude::*;

use crate::Head;
use crate::changes::Hashes;

/// What was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    Contract(ClientAccountId),
    Catalogue,
}

/// A version whose objects are being read.
#[derive(Debug)]
pub(crate) struct Loading {
    head: Head,
    /// Objects that have not arrived, with the calls in progress.
    calls: BTreeMap<CallId, Part>,
    /// Objects whose read failed.
    failed: Vec<Part>,
    contracts: BTreeMap<ClientAccountId, Arc<Contract>>,
    catalogue: Option<Arc<Catalogue>>,
}

impl Loading {
    /// Begins to load the version of `head`; what `current` has already is not read again. Returns
    /// the parts to ask for.
    pub(crate) fn new(head: Head, current: &Configuration, known: &Hashes) -> (Self, Vec<Part>) {
        let mut loading = Self {
            calls: BTreeMap::new(),
            failed: Vec::new(),
            contracts: BTreeMap::new(),
            catalogue: None,
            head,
        };
        let mut wanted = Vec::new();
        for (client_account, hash) in &loading.head.contracts {
            match current.contracts.get(client_account) {
                Some(contract) if known.contracts.get(client_account) == Some(hash) => {
                    loading.contracts.insert(client_account.clone(), Arc::clone(contract));
                }
                _ => wanted.push(Part::Contract(client_account.clone())),
            }
        }
        if known.catalogue == loading.head.catalogue {
            loading.catalogue = Some(Arc::clone(&current.catalogue));
        } else {
            wanted.push(Part::Catalogue);
        }
        (loading, wanted)
    }

    /// Version that is being loaded.
    pub(crate) fn version(&self) -> ConfigurationVersion {
        self.head.version
    }

    /// The call that reads a part.
    pub(crate) fn request(&self, part: &Part) -> ObjectCall {
        let key = match part {
            Part::Contract(client_account) => {
                let hash = self.head.contracts.get(client_account).map_or("", |hash| hash);
                ObjectKey::new("contract", format!("{client_account}@{hash}"))
            }
            Part::Catalogue => ObjectKey::new("catalogue", self.head.catalogue.clone()),
        };
        ObjectCall::Read { key }
    }

    /// Notes a call that was made.
    pub(crate) fn asked(&mut self, call: CallId, part: Part) {
        self.calls.insert(call, part);
    }

    /// Takes an answer if it belongs to this loading.
    pub(crate) fn on_answer(&mut self, call: CallId, answer: &ObjectAnswer) -> bool {
        let Some(part) = self.calls.remove(&call) else { return false };
        let value = match answer {
            ObjectAnswer::Found { value, .. } => value.as_slice(),
            _ => &[],
        };
        let is_read = match &part {
            Part::Contract(client_account) => decode(value).is_some_and(|contract| {
                self.contracts.insert(client_account.clone(), Arc::new(contract));
                true
            }),
            Part::Catalogue => decode(value).is_some_and(|catalogue| {
                self.catalogue = Some(Arc::new(catalogue));
                true
            }),
        };
        if !is_read {
            self.failed.push(part);
        }
        true
    }

    /// Takes out the parts whose read failed, once all calls have ended.
    pub(crate) fn take_failed(&mut self) -> Vec<Part> {
        if self.calls.is_empty() { std::mem::take(&mut self.failed) } else { Vec::new() }
    }

    /// Whether some read failed and none is in progress.
    pub(crate) fn is_stuck(&self) -> bool {
        self.calls.is_empty() && !self.failed.is_empty()
    }

    /// The version, once everything has been read.
    pub(crate) fn complete(&self) -> Option<(Configuration, Hashes)> {
        if !self.calls.is_empty() || !self.failed.is_empty() {
            return None;
        }
        let configuration = Configuration {
            version: self.head.version,
            contracts: self.contracts.clone(),
            catalogue: Arc::clone(self.catalogue.as_ref()?),
        };
        Some((configuration, Hashes::from(&self.head)))
    }
}
