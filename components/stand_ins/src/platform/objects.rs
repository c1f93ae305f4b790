//! Versioned objects and the log of their changes.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use types::object::Condition;
use types::prelude::ObjectVersion;

/// Changes that a watch can go back to; a watch from an older version gets 410.
const KEPT_EVENTS: usize = 100_000;

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

/// All objects. Every change gets the next global version, which is also the object's version, so
/// that a version is never used twice, not even after a delete.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    version: ObjectVersion,
    objects: BTreeMap<(Box<str>, Box<str>), Object>,
    events: VecDeque<Change>,
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

    /// Objects of `kind` whose names begin with `prefix`, in order of names.
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

    /// Writes `value` (deletes if `None`) if `condition` holds, or returns false.
    pub(crate) fn write(
        &mut self,
        kind: &str,
        name: &str,
        condition: Option<Condition>,
        value: Option<Bytes>,
    ) -> bool {
        let key = (kind.into(), name.into());
        let present = self.objects.get(&key).map(|object| object.version);
        let holds = match condition {
            None => true,
            Some(Condition::Absent) => present.is_none(),
            Some(Condition::Version(version)) => present == Some(version),
        };
        if !holds || (value.is_none() && present.is_none()) {
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
        self.events.push_back(Change { version, kind: kind.into(), name: name.into(), value });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
        true
    }

    /// Whether all changes after `version` are still kept.
    pub(crate) fn keeps_changes_after(&self, version: ObjectVersion) -> bool {
        self.events.front().is_none_or(|first| version.saturating_add(1) >= first.version)
    }

    /// Lines for the changes after `version`, empty if there are none.
    pub(crate) fn lines_after(&self, version: ObjectVersion, kind: &str, prefix: &str) -> Vec<u8> {
        let mut lines = Vec::new();
        let first = self.events.partition_point(|change| change.version <= version);
        for change in self.events.range(first..) {
            if &*change.kind != kind || !change.name.starts_with(prefix) {
                continue;
            }
            let event = WatchEvent {
                version: change.version,
                kind: change.kind.clone(),
                name: change.name.clone(),
                value: change.value.as_ref().map(raw),
            };
            serde_json::to_writer(&mut lines, &event).expect("events serialise");
            lines.push(b'\n');
        }
        lines
    }
}

/// The stored text as a JSON value. Values are checked when they are written.
pub(crate) fn raw(value: &Bytes) -> Box<RawValue> {
    serde_json::from_slice(value).expect("stored values are JSON")
}
