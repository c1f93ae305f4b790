//! Reading the objects of a version from the platform.

use std::sync::Arc;

use types::object::{CallId, ObjectAnswer, ObjectCall, ObjectKey, decode};
use types::prelude::*;

use crate::Head;
use crate::changes::Hashes;

/// An object of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    Contract(ClientAccountId),
    Catalogue,
}

/// A version whose objects are being read.
#[derive(Debug)]
pub(crate) struct Loading {
    head: Head,
    /// Calls in progress and the objects that they read.
    calls: BTreeMap<CallId, Part>,
    /// Objects whose read failed.
    failed: Vec<Part>,
    contracts: BTreeMap<ClientAccountId, Arc<Contract>>,
    catalogue: Option<Arc<Catalogue>>,
}

impl Loading {
    /// Begins to load the version of `head`. Objects that `current` already has are reused. Returns
    /// the parts that have to be read.
    pub(crate) fn new(
        head: Head,
        current: &Configuration,
        current_hashes: &Hashes,
    ) -> (Self, Vec<Part>) {
        let mut loading = Self {
            calls: BTreeMap::new(),
            failed: Vec::new(),
            contracts: BTreeMap::new(),
            catalogue: None,
            head,
        };
        let mut missing = Vec::new();
        for (client_account, hash) in &loading.head.contracts {
            match current.contracts.get(client_account) {
                Some(contract) if current_hashes.contracts.get(client_account) == Some(hash) => {
                    loading.contracts.insert(client_account.clone(), Arc::clone(contract));
                }
                _ => missing.push(Part::Contract(client_account.clone())),
            }
        }
        if current_hashes.catalogue == loading.head.catalogue {
            loading.catalogue = Some(Arc::clone(&current.catalogue));
        } else {
            missing.push(Part::Catalogue);
        }
        (loading, missing)
    }

    /// Returns the version that is being loaded.
    pub(crate) fn version(&self) -> ConfigurationVersion {
        self.head.version
    }

    /// Returns the call that reads a part.
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

    /// Records that `call` to the platform reads `part` of the version being loaded, so that
    /// [`Loading::on_answer`] knows which part an answer contains.
    pub(crate) fn record_call(&mut self, call: CallId, part: Part) {
        self.calls.insert(call, part);
    }

    /// Stores the object in an answer, or marks its read as failed. Returns false if the call does
    /// not belong to this version.
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

    /// Removes and returns the parts whose read failed, once no call is in progress.
    pub(crate) fn take_failed(&mut self) -> Vec<Part> {
        if self.calls.is_empty() { std::mem::take(&mut self.failed) } else { Vec::new() }
    }

    /// Returns true if some read failed and no call is in progress.
    pub(crate) fn needs_retry(&self) -> bool {
        self.calls.is_empty() && !self.failed.is_empty()
    }

    /// Returns the configuration and its hashes once all objects have been read.
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
