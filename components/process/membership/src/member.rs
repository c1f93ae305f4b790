//! What is known of the members, and the order of rumours.

use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::{MemberState, Rumour};

/// One other member.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) rumour: Rumour,
    /// Configuration version of the last heartbeat from the member itself.
    pub(crate) configuration: Option<ConfigurationVersion>,
    /// Last heartbeat from the member itself, or the time from which one was expected.
    pub(crate) last_heard: Option<Instant>,
    pub(crate) changed_at: Instant,
    /// When the member was last told what it has to refute.
    pub(crate) refutation_requested_at: Option<Instant>,
    /// How often the rumour is still sent.
    pub(crate) sends_left: u32,
}

impl Member {
    pub(crate) fn is_live(&self) -> bool {
        self.rumour.state <= MemberState::Suspect
    }
}

impl Rumour {
    /// Whether this rumour replaces another one about the same member. Between runs of the same
    /// generation the choice only has to be the same everywhere.
    pub(crate) fn replaces(&self, other: &Self) -> bool {
        let key = |r: &Self| (r.generation, r.state, r.incarnation);
        key(self) > key(other)
    }
}

/// Rendezvous weight of a member for a purpose and a key.
pub(crate) fn weight(purpose: &str, key: &str, member: &str) -> u64 {
    let mut buf = Vec::with_capacity(purpose.len() + key.len() + member.len() + 2);
    for part in [purpose, key, member] {
        buf.extend_from_slice(part.as_bytes());
        // Keeps the parts apart.
        buf.push(0);
    }
    xxh3_64(&buf)
}

/// The `count` members with the highest weight.
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
