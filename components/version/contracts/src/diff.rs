//! Differences between two configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;
use serde_json::Value;
use types::prelude::*;

use crate::canonical::content_hash;

/// All differences between two configurations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Changed objects: the catalogue first, then the contracts in the order of their names.
    pub objects: Vec<ObjectDiff>,
}

/// The change of one contract or of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ObjectDiff {
    /// `contract CLIENT_ACCOUNT` or `catalogue`.
    pub object: Box<str>,
    /// Hash of the old content; `None` if the object is new.
    pub old_hash: Option<Box<str>>,
    /// Hash of the new content; `None` if the object is removed.
    pub new_hash: Option<Box<str>>,
    /// Single changes; empty if the object is new or removed.
    pub changes: Vec<Change>,
}

/// One changed value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Path of the value, with dots between its parts.
    pub path: Box<str>,
    /// Old value; `None` if it is new.
    pub old: Option<Value>,
    /// New value; `None` if it is removed.
    pub new: Option<Value>,
}

impl Diff {
    /// Returns true if the configurations are equal.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }
}

/// Compares the contracts and catalogues of two configurations; versions are not compared.
pub fn diff(old: &Configuration, new: &Configuration) -> Diff {
    let mut objects = Vec::new();
    // Before the first configuration there is no catalogue. The new one is then shown as one added
    // object, since a list of all its entries would tell an operator nothing.
    let empty = Catalogue::default();
    let catalogue = |c: &Configuration| Some(c.catalogue.clone()).filter(|c| **c != empty);
    let (from, to) = (catalogue(old), catalogue(new));
    objects.extend(object_diff("catalogue", from.as_deref(), to.as_deref()));
    let client_accounts: BTreeSet<_> = old.contracts.keys().chain(new.contracts.keys()).collect();
    for client_account in client_accounts {
        let name = format!("contract {client_account}");
        let (old, new) = (old.contracts.get(client_account), new.contracts.get(client_account));
        objects.extend(object_diff(&name, old.map(|c| &**c), new.map(|c| &**c)));
    }
    Diff { objects }
}

fn object_diff<T: Serialize + PartialEq>(
    name: &str,
    old: Option<&T>,
    new: Option<&T>,
) -> Option<ObjectDiff> {
    if old == new {
        return None;
    }
    let mut changes = Vec::new();
    if let (Some(old), Some(new)) = (old, new) {
        compare_values("", &to_json(old), &to_json(new), &mut changes);
    }
    Some(ObjectDiff {
        object: name.into(),
        old_hash: old.map(content_hash),
        new_hash: new.map(content_hash),
        changes,
    })
}

fn to_json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}

fn compare_values(path: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    match (old, new) {
        (Value::Object(a), Value::Object(b)) if !is_duration(old) && !is_duration(new) => {
            for key in a.keys().chain(b.keys()).collect::<BTreeSet<_>>() {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                match (a.get(key), b.get(key)) {
                    (Some(a), Some(b)) => compare_values(&path, a, b, changes),
                    (a, b) => changes.push(change(&path, a, b)),
                }
            }
        }
        // Sets and lists are compared by element, so that only the changed elements of a long list
        // are shown.
        (Value::Array(a), Value::Array(b)) => {
            changes
                .extend(a.iter().filter(|x| !b.contains(x)).map(|x| change(path, Some(x), None)));
            changes
                .extend(b.iter().filter(|x| !a.contains(x)).map(|x| change(path, None, Some(x))));
            if !changes.iter().any(|c| &*c.path == path) {
                changes.push(change(path, Some(old), Some(new)));
            }
        }
        _ => changes.push(change(path, Some(old), Some(new))),
    }
}

fn change(path: &str, old: Option<&Value>, new: Option<&Value>) -> Change {
    Change { path: path.into(), old: old.cloned(), new: new.cloned() }
}

/// Returns true if the value is a duration, which `serde` writes as an object of seconds and
/// nanoseconds.
fn is_duration(value: &Value) -> bool {
    value
        .as_object()
        .is_some_and(|o| o.len() == 2 && o.contains_key("secs") && o.contains_key("nanos"))
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for object in &self.objects {
            match (&object.old_hash, &object.new_hash) {
                (None, Some(new)) => writeln!(f, "+ {} ({})", object.object, short_hash(new))?,
                (Some(old), None) => writeln!(f, "- {} ({})", object.object, short_hash(old))?,
                (Some(old), Some(new)) => {
                    writeln!(f, "~ {} ({} -> {})", object.object, short_hash(old), short_hash(new))?
                }
                (None, None) => {}
            }
            for change in &object.changes {
                writeln!(f, "    {change}")?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = path_in_file(&self.path);
        let text = |value| format_value(&self.path, value);
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {path}: {} -> {}", text(old), text(new)),
            (None, Some(new)) => write!(f, "+ {path}: {}", text(new)),
            (Some(old), None) => write!(f, "- {path}: {}", text(old)),
            (None, None) => f.write_str(&path),
        }
    }
}

/// Returns a path with the key as the files name it. There, the value has a unit and not the key.
fn path_in_file(path: &str) -> String {
    let (parents, key) = path.rsplit_once('.').map_or(("", path), |(parents, key)| (parents, key));
    let key = match key {
        "key_hashes" => "keys",
        "memory_bytes" => "memory",
        "worth_milli" => "worth",
        "idle_second_cost_milli" => "idle_second_cost",
        key => key,
    };
    if parents.is_empty() { key.into() } else { format!("{parents}.{key}") }
}

/// Formats a value as the files write it.
fn format_value(path: &str, value: &Value) -> String {
    let key = path.rsplit('.').next().unwrap_or_default();
    match value {
        Value::Object(o) if is_duration(value) => {
            let secs = o["secs"].as_u64().unwrap_or_default();
            let nanos = o["nanos"].as_u64().and_then(|n| u32::try_from(n).ok()).unwrap_or_default();
            humantime::format_duration(Duration::new(secs, nanos)).to_string()
        }
        Value::Object(o) => {
            let parts: Vec<_> = o
                .iter()
                .map(|(k, v)| format!("{} {}", path_in_file(k), format_value(k, v)))
                .collect();
            parts.join(", ")
        }
        Value::Array(a) => {
            let parts: Vec<_> = a.iter().map(|v| format_value(path, v)).collect();
            format!("[{}]", parts.join(", "))
        }
        Value::String(s) if key == "key_hashes" => format!("{}…", short_hash(s)),
        Value::String(s) => s.clone(),
        Value::Number(n) => format_number(key, n.as_u64().unwrap_or_default()),
        other => other.to_string(),
    }
}

fn format_number(key: &str, n: u64) -> String {
    match key {
        "capacity_share" | "cost_share" | "objective" => crate::validate::percent(n),
        "worth_milli" | "idle_second_cost_milli" => format!("{}.{:03}", n / 1000, n % 1000),
        "memory_bytes" if n.is_multiple_of(1 << 30) => format!("{}GiB", n >> 30),
        "memory_bytes" if n.is_multiple_of(1 << 20) => format!("{}MiB", n >> 20),
        _ => n.to_string(),
    }
}

fn short_hash(hash: &str) -> &str {
    hash.get(..8).unwrap_or(hash)
}

/// Returns the hash of every contract, by client account.
pub fn contract_hashes(configuration: &Configuration) -> BTreeMap<ClientAccountId, Box<str>> {
    configuration
        .contracts
        .iter()
        .map(|(name, contract)| (name.clone(), content_hash(&**contract)))
        .collect()
}
