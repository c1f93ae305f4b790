//! Requests that wait at an instance, grouped by rank and client account.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Short hash of the name of a client account. Two accounts with the same tag, which is unlikely,
/// are treated as one.
pub type AccountTag = u32;

/// Groups of one model that carry the tag of their account. The rest is summed up by rank.
const MAX_NAMED_GROUPS: usize = 6;

/// Waiting requests of one rank, of one client account or of several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WaitingGroup {
    /// 0 is the most urgent.
    pub rank: u8,
    /// `None` for several accounts, or for requests without one.
    pub account: Option<AccountTag>,
    /// Number of accounts, at least 1. Requests without an account count as those of one.
    pub accounts: u32,
    /// Requests; at least 1.
    pub count: u32,
}

/// Adds up groups of one model, those with the same rank and account in one group. At most
/// `MAX_NAMED_GROUPS` keep their account, those with the most requests; the others are summed up by
/// rank, and are of as many accounts as any one source reported or as were summed up here.
pub fn sum_groups(groups: impl IntoIterator<Item = WaitingGroup>) -> Vec<WaitingGroup> {
    let mut sums: BTreeMap<(u8, Option<AccountTag>), (u32, u32)> = BTreeMap::new();
    for group in groups.into_iter().filter(|group| group.count > 0) {
        let (accounts, count) = sums.entry((group.rank, group.account)).or_default();
        *accounts = (*accounts).max(group.accounts).max(1);
        *count = count.saturating_add(group.count);
    }
    let mut sums: Vec<WaitingGroup> = sums
        .into_iter()
        .map(|((rank, account), (accounts, count))| WaitingGroup { rank, account, accounts, count })
        .collect();
    sums.sort_by_key(|group| (group.account.is_none(), std::cmp::Reverse(group.count)));
    let named = sums.iter().filter(|group| group.account.is_some()).count();
    let mut rests: BTreeMap<u8, WaitingGroup> = BTreeMap::new();
    for group in sums.split_off(named.min(MAX_NAMED_GROUPS)) {
        let rest = rests.entry(group.rank).or_insert(WaitingGroup {
            account: None,
            accounts: 0,
            count: 0,
            ..group
        });
        rest.accounts = rest.accounts.saturating_add(group.accounts);
        rest.count = rest.count.saturating_add(group.count);
    }
    sums.extend(rests.into_values());
    sums
}
