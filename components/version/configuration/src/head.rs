//! The head object and content hashes.

use serde::{Deserialize, Serialize};
use types::hash::sha256_hex;
use types::object::{ObjectKey, encode};
use types::prelude::*;

/// SHA-256 of an object's canonical JSON, lower-case hex.
pub type ContentHash = Box<str>;
/// SHA-256 of a head without its nonce, lower-case hex.
pub type Digest = Box<str>;

/// Value of `configuration/head`, which names the objects of the accepted version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Version of the configuration. Each accepted change increments it by one.
    pub version: ConfigurationVersion,
    /// Hash of the contract of each client account; the object is `contract/CLIENT_ACCOUNT@HASH`.
    pub contracts: BTreeMap<ClientAccountId, ContentHash>,
    /// Hash of the catalogue; the object is `catalogue/HASH`.
    pub catalogue: ContentHash,
    /// Random number of the run that wrote this head, by which the run recognises its write.
    pub nonce: Nonce,
}

impl Head {
    /// Computes the digest that an instance compares after it applied a difference.
    pub fn digest(&self) -> Digest {
        sha256_hex(&encode(&(self.version, &self.contracts, &self.catalogue)))
    }
}

/// Computes the hash of a contract. Usage is recorded under the same hash.
pub fn contract_hash(contract: &Contract) -> ContentHash {
    contracts::content_hash(contract)
}

/// Computes the hash of a catalogue.
pub fn catalogue_hash(catalogue: &Catalogue) -> ContentHash {
    contracts::content_hash(catalogue)
}

/// Returns the key of the head object on the platform.
pub(crate) fn head_key() -> ObjectKey {
    ObjectKey::new("configuration", "head")
}
