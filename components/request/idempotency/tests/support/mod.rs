//! An in-memory platform and helpers for the tests.

use std::sync::Arc;

use idempotency::*;
use types::prelude::*;

/// In-memory platform that stores the segments of one range.
#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) objects: BTreeMap<u64, (ObjectVersion, Segment)>,
    last_version: ObjectVersion,
}

impl Platform {
    pub(crate) fn write(&mut self, write: &Write) -> WriteResult {
        let bytes = serde_json::to_vec(&write.segment).unwrap().len();
        assert!(bytes <= 1_000_000, "value of {bytes} bytes");
        let number = write.segment.number;
        let is_met = match (write.condition, self.objects.get(&number)) {
            (Condition::Absent, found) => found.is_none(),
            (Condition::Version(version), found) => found.is_some_and(|(v, _)| *v == version),
        };
        if !is_met {
            return WriteResult::Conflict;
        }
        self.last_version += 1;
        self.objects.insert(number, (self.last_version, write.segment.clone()));
        WriteResult::Written(self.last_version)
    }

    pub(crate) fn all(&self) -> Vec<(ObjectVersion, Segment)> {
        self.objects.values().cloned().collect()
    }
}

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) fn wall() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000)
}

pub(crate) fn claim(token: Token, key: u64, body: u64, now: Instant) -> Claim {
    Claim {
        token,
        key: KeyHash::new("c", &format!("key-{key}")),
        fingerprint: Fingerprint::new("POST", "/withdrawals", &[body as u8]),
        expires_at: wall() + RETENTION,
        decide_by: now + ms(2_000),
    }
}

pub(crate) fn answer(text: u64, padding: usize) -> Arc<Answer> {
    let body = format!("{text}{}", "\"".repeat(padding)).into();
    Arc::new(Answer { status: 200, content_type: "application/json".into(), body })
}
