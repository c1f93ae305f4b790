//! The client account of a request, and whether its key is still valid.

use std::rc::Rc;

use http::HeaderMap;
use platform_adapter::client_key;
use routes::{ClientAccount, Deployment, KeyHash, Route};

use super::failure::Failure;

/// Who sent a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Caller {
    /// Holder of the key in the version under which the request was admitted. `None` if that version
    /// has no accounts or the route is public.
    account: Option<Rc<ClientAccount>>,
    /// Key of the request; set exactly if there is an account.
    key: Option<KeyHash>,
}

/// The request needs a key, and has none that the configuration knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnknownKey;

impl Caller {
    /// Identifies the caller of a request for `route` by its headers.
    pub(crate) fn identify(
        deployment: &Deployment,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Self, UnknownKey> {
        if deployment.accounts.is_empty() || route.is_public {
            return Ok(Self::default());
        }
        let key = client_key(headers).ok_or(UnknownKey)?;
        let account = deployment.accounts.by_key(&key).ok_or(UnknownKey)?;
        Ok(Self { account: Some(account.clone()), key: Some(key) })
    }

    pub(crate) fn account(&self) -> Option<&Rc<ClientAccount>> {
        self.account.as_ref()
    }

    /// Name of the account.
    pub(crate) fn name(&self) -> Option<&str> {
        self.account.as_ref().map(|account| &*account.name)
    }

    /// Why the request may not be sent to a server under `newest`, the newest configuration;
    /// `None` if it may. All else than the key is judged by the version of the admission.
    pub(crate) fn key_failure(&self, newest: &Deployment) -> Option<Failure> {
        let (account, key) = self.account.as_ref().zip(self.key.as_ref())?;
        if newest.accounts.is_empty() {
            return None;
        }
        match newest.accounts.by_key(key) {
            None => Some(Failure::UnknownKey),
            // The caller may come back, and is then served as the new holder.
            Some(holder) if holder.name != account.name => Some(Failure::KeyMoved),
            Some(_) => None,
        }
    }
}

#[cfg(test)]
mod tests;
