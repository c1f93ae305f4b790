//! Calls to the platform's object API that the decision crates request.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ids::*;

/// Number of one call; unique within the component that requests it.
pub type CallId = u64;

/// Kind and name of one object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectKey {
    /// Kind, for example `lease`.
    pub kind: &'static str,
    /// Name within the kind.
    pub name: Box<str>,
}

impl ObjectKey {
    /// Key of the object `KIND/NAME`.
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
    /// Reads an object if its version differs from `known`. A platform that ignores the condition
    /// answers as it does to `Read`.
    ReadIfChanged {
        /// The object.
        key: ObjectKey,
        /// The version that the caller already has.
        known: ObjectVersion,
    },
    /// Writes an object conditionally. If the answer is lost, the component that requested the
    /// write reads the object back and compares the nonce in its value.
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

/// Priority of a call when the call budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// All other calls.
    Normal,
    /// Lease renewals and their read-back.
    Lease,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectAnswer {
    /// The read found the object.
    Found {
        /// Its version.
        version: ObjectVersion,
        /// JSON text.
        value: Vec<u8>,
    },
    /// The object still has the known version.
    Unchanged,
    /// The object does not exist.
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
    /// It is unknown whether the call had or will still have an effect.
    Lost,
}

/// Encodes a value for the platform.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    // Serialisation fails only for maps with non-string keys, which no object has.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Decodes a value from the platform; `None` if it is not a valid `T`.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}
