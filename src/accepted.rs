//! The accepted configuration and other objects, read from the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use configuration::Head;
use platform::{Call, Client, ClientConfig, Object, Rate, Rates};
use serde::de::DeserializeOwned;
use types::contract::{Configuration, Contract};
use types::object::ObjectKey;

use crate::failure::Failure;

/// A command makes few calls; this keeps one that runs in a loop from crowding out instances.
const RATES: Rates = Rates {
    reads: Rate { per_second: 20.0, burst: 200.0 },
    writes: Rate { per_second: 10.0, burst: 100.0 },
};

/// The platform as a command uses it.
pub(crate) struct Platform {
    /// The client.
    pub(crate) client: Client,
    /// When all calls have to be done.
    deadline: Instant,
}

impl Platform {
    /// Prepares calls to the platform; the first call connects. A call that fails at one address
    /// is tried again at the next.
    pub(crate) fn new(addresses: Box<[SocketAddr]>, deadline: Instant) -> Self {
        let cfg = ClientConfig {
            addresses,
            instance: "command".into(),
            rates: RATES,
            seed: rand::random(),
        };
        Self { client: Client::new(&cfg), deadline }
    }

    /// Limits of a call.
    pub(crate) fn call(&self) -> Call {
        Call::by(self.deadline)
    }

    /// The failure that names the addresses tried.
    pub(crate) fn fail(&self, e: platform::Error) -> Failure {
        Failure::Platform(e, addresses(&self.client.tried()))
    }

    /// Reads an object that must exist.
    async fn existing<T: DeserializeOwned>(&self, key: ObjectKey) -> Result<T, Failure> {
        match self.client.get(&key, self.call()).await.map_err(|e| self.fail(e))? {
            Some(object) => Ok(object.value),
            None => Err(Failure::Missing(format!("{}/{}", key.kind, key.name))),
        }
    }

    /// Reads all objects of a kind.
    pub(crate) async fn list<T: DeserializeOwned>(
        &self,
        kind: &str,
    ) -> Result<Vec<Object<T>>, Failure> {
        let listing = self.client.list::<T>(kind, "", self.call()).await;
        Ok(listing.map_err(|e| self.fail(e))?.objects)
    }

    /// Reads the accepted configuration; version zero if none was accepted yet.
    pub(crate) async fn accepted(&self) -> Result<Configuration, Failure> {
        let key = ObjectKey::new("configuration", "head");
        let head = self.client.get::<Head>(&key, self.call()).await;
        let Some(head) = head.map_err(|e| self.fail(e))? else {
            return Ok(Configuration::default());
        };
        let head = head.value;
        let mut accepted = Configuration { version: head.version, ..Configuration::default() };
        for (client_account, hash) in &head.contracts {
            let contract = self.contract(client_account, hash).await?;
            accepted.contracts.insert(client_account.clone(), Arc::new(contract));
        }
        accepted.catalogue =
            Arc::new(self.existing(ObjectKey::new("catalogue", head.catalogue)).await?);
        Ok(accepted)
    }

    /// Reads one contract.
    pub(crate) async fn contract(
        &self,
        client_account: &str,
        hash: &str,
    ) -> Result<Contract, Failure> {
        self.existing(ObjectKey::new("contract", format!("{client_account}@{hash}"))).await
    }
}

/// Addresses as a message lists them.
pub(crate) fn addresses(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
