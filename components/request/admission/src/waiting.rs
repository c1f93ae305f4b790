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

/// Requests of one account, and the number of accounts with that many.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    requests: f64,
    accounts: f64,
}

/// Probability with which a waiting request takes one of `room` places at the servers of its model,
/// by the figures about the requests of all instances that wait for it.
///
/// The instances get these figures at the same time; without it, all their waiting requests would
/// take the same places. Places go to the most urgent rank first. The accounts of one rank get equal
/// numbers of them, or as many as they have requests if that is less; the last place of each is more
/// likely for an account the fewer requests it has, so that one with a single request rarely waits
/// for one that always has some.
pub fn turn_probability(
    room: u32,
    rank: u8,
    account: Option<AccountTag>,
    groups: &[WaitingGroup],
) -> f64 {
    let ahead: u64 = groups.iter().filter(|g| g.rank < rank).map(|g| u64::from(g.count)).sum();
    let left = u64::from(room).saturating_sub(ahead) as f64;
    let backlog = |group: &WaitingGroup| {
        let accounts = f64::from(group.accounts);
        Backlog { requests: f64::from(group.count) / accounts, accounts }
    };
    let peers: Vec<&WaitingGroup> = groups.iter().filter(|group| group.rank == rank).collect();
    let own = peers.iter().find(|group| group.account == account);
    let own = own.or_else(|| peers.iter().find(|group| group.account.is_none()));
    let requests = own.map_or(1.0, |group| backlog(group).requests);
    let mut backlogs: Vec<Backlog> = peers.iter().map(|group| backlog(group)).collect();
    if own.is_none() {
        // It began to wait after the figures were made.
        backlogs.push(Backlog { requests, accounts: 1.0 });
    }
    places(requests, left, backlogs) / requests
}

/// Places of an account with this many requests, if `left` places are shared among `backlogs`.
fn places(requests: f64, mut left: f64, mut backlogs: Vec<Backlog>) -> f64 {
    backlogs.sort_by(|a, b| a.requests.total_cmp(&b.requests));
    // Each account gets the whole part of an equal number, or all that it needs.
    let mut accounts: f64 = backlogs.iter().map(|backlog| backlog.accounts).sum();
    let mut level = f64::INFINITY;
    let mut rest = left;
    for backlog in &backlogs {
        if backlog.requests * accounts > rest {
            level = (rest / accounts).floor();
            break;
        }
        rest -= backlog.requests * backlog.accounts;
        accounts -= backlog.accounts;
    }
    if requests <= level {
        return requests;
    }
    left -= backlogs.iter().map(|b| b.requests.min(level) * b.accounts).sum::<f64>();
    backlogs.retain(|backlog| backlog.requests > level);
    // At most one further place for each, by lot.
    let weight = |requests: f64| 1.0 / (requests - level);
    let mut weights: f64 = backlogs.iter().map(|b| weight(b.requests) * b.accounts).sum();
    let mut last = 0.0;
    for backlog in backlogs.iter().take_while(|backlog| backlog.requests <= requests) {
        last = (left * weight(backlog.requests) / weights).min(1.0).min(backlog.requests - level);
        left -= last * backlog.accounts;
        weights -= weight(backlog.requests) * backlog.accounts;
    }
    level + last
}
