//! Number of groups of each kind that every member owns, according to its announcements.
//!
//! A group without an owner goes to the member with the fewest groups of the same kind. With
//! rendezvous hashing alone, the busiest of 40 instances owned several groups of servers and had
//! nine times the average control traffic.

use types::prelude::*;

/// Counts of the groups that the members of the data centre own.
#[derive(Debug, Default)]
pub(crate) struct GroupCounts {
    by_member: HashMap<InstanceId, BTreeMap<Box<str>, u32>>,
}

/// Kind of a group: its name up to the slash, or empty for groups of backend servers.
fn kind(group: &str) -> &str {
    group.split_once('/').map_or("", |(kind, _)| kind)
}

impl GroupCounts {
    /// Sets the groups of a member. Returns whether a count changed.
    pub(crate) fn set<'a>(
        &mut self,
        member: &InstanceId,
        groups: impl Iterator<Item = &'a GroupId>,
    ) -> bool {
        let mut counts: BTreeMap<Box<str>, u32> = BTreeMap::new();
        groups.for_each(|group| *counts.entry(kind(group).into()).or_default() += 1);
        if self.by_member.get(member).map_or(counts.is_empty(), |known| *known == counts) {
            return false;
        }
        self.by_member.insert(member.clone(), counts);
        true
    }

    /// Removes members that are not live.
    pub(crate) fn retain(&mut self, live: &BTreeSet<InstanceId>) {
        self.by_member.retain(|member, _| live.contains(member));
    }

    /// Number of groups of the same kind as `group` that a member owns.
    pub(crate) fn owned_of_kind(&self, member: &str, group: &str) -> u32 {
        self.by_member.get(member).and_then(|counts| counts.get(kind(group))).copied().unwrap_or(0)
    }
}
