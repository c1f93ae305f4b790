//! State of the other members, precedence of rumours, and rendezvous hashing.

use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::{MemberState, Rumour};

/// Another member of the data centre.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) rumour: Rumour,
    /// Configuration version in the last heartbeat that the member itself sent.
    pub(crate) configuration: Option<ConfigurationVersion>,
    /// When the last heartbeat of the member itself arrived, or from when on one is expected.
    pub(crate) last_heard: Option<Instant>,
    pub(crate) changed_at: Instant,
    /// When this instance last sent the member a rumour that it has to refute.
    pub(crate) refutation_requested_at: Option<Instant>,
    /// How many more times the rumour is sent.
    pub(crate) sends_left: u32,
}

impl Member {
    pub(crate) fn is_live(&self) -> bool {
        self.rumour.state <= MemberState::Suspect
    }
}

impl Rumour {
    /// Whether this rumour takes precedence over another one about the same member. Incarnations
    /// have no order; comparing them only makes every instance choose the same one when generation
    /// and state are equal.
    pub(crate) fn replaces(&self, other: &Self) -> bool {
        let key = |r: &Self| (r.generation, r.state, r.incarnation);
        key(self) > key(other)
    }
}

/// Rendezvous hash weight of a member for a purpose and a key.
pub(crate) fn weight(purpose: &str, key: &str, member: &str) -> u64 {
    let mut buf = Vec::with_capacity(purpose.len() + key.len() + member.len() + 2);
    for part in [purpose, key, member] {
        buf.extend_from_slice(part.as_bytes());
        // A separator, so that `a` + `bc` differs from `ab` + `c`.
        buf.push(0);
    }
    xxh3_64(&buf)
}

/// Returns the `count` members with the highest weights, the highest first.
pub(crate) fn highest_weighted<'a>(
    purpose: &str,
    key: &str,
    members: impl Iterator<Item = &'a InstanceId>,
    count: usize,
) -> Vec<InstanceId> {
    let mut weighted: Vec<(u64, &InstanceId)> =
        members.map(|member| (weight(purpose, key, member), member)).collect();
    if weighted.len() > count {
        weighted.select_nth_unstable_by(count, |a, b| b.cmp(a));
        weighted.truncate(count);
    }
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, member)| member.clone()).collect()
}
