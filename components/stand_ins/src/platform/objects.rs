//! Versioned objects and the change log that watches read.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use types::object::Condition;
use types::prelude::ObjectVersion;

/// Number of changes that the log retains. A watch from an older version gets 410.
const MAX_CHANGES: usize = 100_000;

/// One line of a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchEvent {
    /// Global version of the change.
    pub version: ObjectVersion,
    /// Kind of the object.
    pub kind: Box<str>,
    /// Name of the object.
    pub name: Box<str>,
    /// New value; `None` if the object was deleted.
    pub value: Option<Box<RawValue>>,
}

/// One object.
#[derive(Clone, Debug)]
pub(crate) struct Object {
    pub(crate) version: ObjectVersion,
    pub(crate) value: Bytes,
}

/// All objects. Each change increments the global version, which also becomes the version of the
/// object, so that no version is used twice, not even after a delete.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    version: ObjectVersion,
    objects: BTreeMap<(Box<str>, Box<str>), Object>,
    changes: VecDeque<Change>,
}

#[derive(Clone, Debug)]
struct Change {
    version: ObjectVersion,
    kind: Box<str>,
    name: Box<str>,
    value: Option<Bytes>,
}

impl Objects {
    pub(crate) fn version(&self) -> ObjectVersion {
        self.version
    }

    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.into(), name.into()))
    }

    /// Objects of `kind` whose names start with `prefix`, sorted by name.
    pub(crate) fn list<'a>(
        &'a self,
        kind: &'a str,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Object)> {
        self.objects
            .range((kind.into(), prefix.into())..)
            .take_while(move |((k, name), _)| &**k == kind && name.starts_with(prefix))
            .map(|((_, name), object)| (&**name, object))
    }

    /// Writes `value`, or deletes the object if it is `None`. Returns false if `condition` is not
    /// met or there is no object to delete.
    pub(crate) fn write(
        &mut self,
        kind: &str,
        name: &str,
        condition: Option<Condition>,
        value: Option<Bytes>,
    ) -> bool {
        let key = (kind.into(), name.into());
        let current = self.objects.get(&key).map(|object| object.version);
        let is_met = match condition {
            None => true,
            Some(Condition::Absent) => current.is_none(),
            Some(Condition::Version(version)) => current == Some(version),
        };
        if !is_met || (value.is_none() && current.is_none()) {
            return false;
        }
        self.version += 1;
        let version = self.version;
        match &value {
            Some(value) => {
                self.objects.insert(key, Object { version, value: value.clone() });
            }
            None => {
                self.objects.remove(&key);
            }
        }
        self.changes.push_back(Change { version, kind: kind.into(), name: name.into(), value });
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        true
    }

    /// Whether the log still holds all changes after `version`.
    pub(crate) fn retains_changes_after(&self, version: ObjectVersion) -> bool {
        self.changes.front().is_none_or(|oldest| version.saturating_add(1) >= oldest.version)
    }

    /// Watch lines for the matching changes after `version`; empty if there are none.
    pub(crate) fn watch_lines_after(
        &self,
        version: ObjectVersion,
        kind: &str,
        prefix: &str,
    ) -> Vec<u8> {
        let mut lines = Vec::new();
        let first = self.changes.partition_point(|change| change.version <= version);
        for change in self.changes.range(first..) {
            if &*change.kind != kind || !change.name.starts_with(prefix) {
                continue;
            }
            let event = WatchEvent {
                version: change.version,
                kind: change.kind.clone(),
                name: change.name.clone(),
                value: change.value.as_ref().map(raw_json),
            };
            serde_json::to_writer(&mut lines, &event).expect("events serialise");
            lines.push(b'\n');
        }
        lines
    }
}

/// Returns stored text as raw JSON. Writes accept valid JSON only.
pub(crate) fn raw_json(value: &Bytes) -> Box<RawValue> {
    serde_json::from_slice(value).expect("stored values are JSON")
}
