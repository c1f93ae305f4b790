//! Rendezvous hashing among the members with the fewest groups. A change of members moves only the
//! groups of the changed member.

use std::cmp::Reverse;

use types::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use crate::group_counts::GroupCounts;

/// Hash weight of a member for a group.
pub(crate) fn weight(group: &str, member: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(group.as_bytes());
    // A separator, so that `a` + `bc` differs from `ab` + `c`.
    hash.update(&[0]);
    hash.update(member.as_bytes());
    hash.digest()
}

/// Sort key of a member for a group; the member with the greatest key is the first choice.
fn preference<'a>(group: &str, member: &'a str, group_counts: &GroupCounts) -> impl Ord + use<'a> {
    (Reverse(group_counts.owned_of_kind(member, group)), weight(group, member), member)
}

/// Number of members that precede `member` for a group; the first choice has rank zero.
pub(crate) fn rank(
    group: &str,
    member: &str,
    members: &BTreeSet<InstanceId>,
    group_counts: &GroupCounts,
) -> u32 {
    let own = preference(group, member, group_counts);
    let before = members.iter().filter(|other| preference(group, other, group_counts) > own);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

/// Returns the member that should claim a group first.
pub(crate) fn first_choice<'a>(
    group: &str,
    members: impl Iterator<Item = &'a InstanceId>,
    group_counts: &GroupCounts,
) -> Option<&'a InstanceId> {
    members.max_by_key(|member| preference(group, member, group_counts))
}
