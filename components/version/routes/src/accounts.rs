//! Client accounts of one configuration version: their keys, ranks and quotas.
//!
//! An account is found by the hash of a key in constant time. Keys themselves are not kept.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use sha2::{Digest, Sha256};

/// Name of a client account.
pub type AccountName = Box<str>;

/// SHA-256 of an API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key as a caller sends it.
    pub fn of(key: impl AsRef<[u8]>) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// One per request.
    Requests,
    /// Prompt tokens plus the maximum number of output tokens of a request.
    Tokens {
        /// Count of a request that states no tokens.
        unstated: u64,
    },
}

/// Limit on what a client account may use over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units per second; always positive.
    pub per_second: u64,
    /// Units that may be used at once after a pause; 0 if the configuration states none.
    pub burst: u64,
}

impl Quota {
    /// Units that may be used at once. Without a burst this is one second of the rate, since requests
    /// need some.
    pub fn at_once(&self) -> u64 {
        if self.burst == 0 { self.per_second } else { self.burst }
    }

    /// Units that a request uses; `tokens` is the sum that it states, if it states any.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { unstated } => tokens.unwrap_or(unstated),
        }
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Name, unique within a version.
    pub name: AccountName,
    /// Priority rank that replaces the rank of the route; 0 is the most urgent.
    pub rank: Option<u8>,
    /// `None` if the account has no limit.
    pub quota: Option<Quota>,
}

/// The client accounts of a configuration version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    by_key: HashMap<KeyHash, Rc<ClientAccount>>,
    by_name: HashMap<AccountName, Rc<ClientAccount>>,
}

impl Accounts {
    /// Collects accounts with their keys. Of two accounts with the same name or key, the later one
    /// counts.
    pub fn new(accounts: impl IntoIterator<Item = (ClientAccount, Vec<KeyHash>)>) -> Self {
        let mut by_key = HashMap::new();
        let mut by_name = HashMap::new();
        for (account, keys) in accounts {
            let account = Rc::new(account);
            by_key.extend(keys.into_iter().map(|key| (key, account.clone())));
            by_name.insert(account.name.clone(), account);
        }
        Self { by_key, by_name }
    }

    /// Whether the configuration has no client accounts, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Account that holds a key.
    pub fn by_key(&self, key: &KeyHash) -> Option<&Rc<ClientAccount>> {
        self.by_key.get(key)
    }

    /// Account with a name.
    pub fn by_name(&self, name: &str) -> Option<&Rc<ClientAccount>> {
        self.by_name.get(name)
    }

    /// All accounts, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<ClientAccount>> {
        self.by_name.values()
    }
}
