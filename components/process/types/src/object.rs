//! Calls to the platform's object API, as decision crates ask for them.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ids::*;

/// Number of one call; unique within the component that asks for it.
pub type CallId = u64;

/// Names one object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectKey {
    /// Kind, for example `lease`.
    pub kind: &'static str,
    /// Name within the kind.
    pub name: Box<str>,
}

impl ObjectKey {
    /// Names the object `KIND/NAME`.
    pub fn new(kind: &'static str, name: impl Into<Box<str>>) -> Self {
        Self { kind, name: name.into() }
    }
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist (`If-None-Match: *`).
    Absent,
    /// The object has this version (`If-Match`).
    Version(ObjectVersion),
}

/// One call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectCall {
    /// Reads an object.
    Read {
        /// The object.
        key: ObjectKey,
    },
    /// Reads an object if its version is another one than `known`. A platform that ignores the
    /// condition answers as to `Read`.
    ReadIfChanged {
        /// The object.
        key: ObjectKey,
        /// The version that is not to be sent again.
        known: ObjectVersion,
    },
    /// Writes an object conditionally. The component itself resolves a lost answer: it reads
    /// the nonce stored in the value back.
    Write {
        /// The object.
        key: ObjectKey,
        /// Condition of the write.
        condition: Condition,
        /// JSON text.
        value: Vec<u8>,
    },
}

impl ObjectCall {
    /// The object that the call concerns.
    pub fn key(&self) -> &ObjectKey {
        match self {
            Self::Read { key } | Self::ReadIfChanged { key, .. } | Self::Write { key, .. } => key,
        }
    }
}

/// Which calls go first when the call budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// Everything else.
    Normal,
    /// Lease renewals and their read-back.
    Lease,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectAnswer {
    /// The object that was read.
    Found {
        /// Its version.
        version: ObjectVersion,
        /// JSON text.
        value: Vec<u8>,
    },
    /// The object to be read still has the known version.
    Unchanged,
    /// The object to be read does not exist.
    Missing,
    /// The write took effect and gave the object this version.
    Written {
        /// Version of the object.
        version: ObjectVersion,
    },
    /// The condition of the write did not hold.
    Conflict,
    /// The call certainly had no effect: it was not sent, or the platform refused it.
    Failed,
    /// Nobody knows whether the call had or will have an effect.
    Lost,
}

/// Encodes a value for the platform.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    // Only maps with keys that are not strings fail, and no object has those.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Decodes a value of the platform; `None` if it has another form.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}
