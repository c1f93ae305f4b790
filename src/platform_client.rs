//! A client that reads the accepted configuration and other objects from the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use body_memory::BodyMemory;
use configuration::Head;
use platform::{Call, Client, ClientConfig, Object, Rate, Rates};
use serde::de::DeserializeOwned;
use types::contract::{Configuration, Contract};
use types::object::ObjectKey;

use crate::error::CommandError;

/// Rate limits of one command. A command makes few calls; the limits keep a command that runs in a
/// loop from using up the call rate that the instances need.
const RATES: Rates = Rates {
    reads: Rate { per_second: 20.0, burst: 200.0 },
    writes: Rate { per_second: 10.0, burst: 100.0 },
};

/// A client of the platform whose calls share one deadline.
pub(crate) struct PlatformClient {
    /// The underlying client, for calls that need limits of their own.
    pub(crate) client: Client,
    /// Deadline of all calls that use [`Self::call_limits`].
    deadline: Instant,
}

impl PlatformClient {
    /// Creates a client, which connects at the first call. A call that fails at one address is
    /// retried at the next.
    pub(crate) fn new(addresses: Box<[SocketAddr]>, deadline: Instant) -> Self {
        let cfg = ClientConfig {
            addresses,
            instance: "command".into(),
            rates: RATES,
            seed: rand::random(),
            memory: BodyMemory::default(),
        };
        Self { client: Client::new(&cfg), deadline }
    }

    /// Returns the limits of a call.
    pub(crate) fn call_limits(&self) -> Call {
        Call::with_deadline(self.deadline)
    }

    /// Adds the addresses tried to an error of the platform.
    pub(crate) fn error(&self, e: platform::Error) -> CommandError {
        CommandError::Platform(e, join_addresses(&self.client.attempted_addresses()))
    }

    /// Reads an object that must exist.
    async fn get_existing<T: DeserializeOwned>(&self, key: ObjectKey) -> Result<T, CommandError> {
        match self.client.get(&key, self.call_limits()).await.map_err(|e| self.error(e))? {
            Some(object) => Ok(object.value),
            None => Err(CommandError::MissingObject(format!("{}/{}", key.kind, key.name))),
        }
    }

    /// Reads all objects of a kind.
    pub(crate) async fn list<T: DeserializeOwned>(
        &self,
        kind: &str,
    ) -> Result<Vec<Object<T>>, CommandError> {
        let listing = self.client.list::<T>(kind, "", self.call_limits()).await;
        Ok(listing.map_err(|e| self.error(e))?.objects)
    }

    /// Reads the accepted configuration, which has version zero if none was accepted yet.
    pub(crate) async fn accepted_configuration(&self) -> Result<Configuration, CommandError> {
        let key = ObjectKey::new("configuration", "head");
        let head = self.client.get::<Head>(&key, self.call_limits()).await;
        let Some(head) = head.map_err(|e| self.error(e))? else {
            return Ok(Configuration::default());
        };
        let head = head.value;
        let mut accepted = Configuration { version: head.version, ..Configuration::default() };
        for (client_account, hash) in &head.contracts {
            let contract = self.contract(client_account, hash).await?;
            accepted.contracts.insert(client_account.clone(), Arc::new(contract));
        }
        accepted.catalogue =
            Arc::new(self.get_existing(ObjectKey::new("catalogue", head.catalogue)).await?);
        Ok(accepted)
    }

    /// Reads one contract.
    pub(crate) async fn contract(
        &self,
        client_account: &str,
        hash: &str,
    ) -> Result<Contract, CommandError> {
        self.get_existing(ObjectKey::new("contract", format!("{client_account}@{hash}"))).await
    }
}

/// Joins addresses for a message.
pub(crate) fn join_addresses(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
