//! What the callers of waiting requests lose while their model is not loaded, in requests of the most
//! urgent rank that waits.
//!
//! Workload: requests of several ranks and client accounts wait for more models than can be loaded
//! in time. Without weights, the many requests of one account would decide what is loaded.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use admission::waiting::{AccountTag, WaitingGroup};

/// Priority rank of a request; 0 is the most urgent.
pub(crate) type Rank = u8;

/// Loss of a request relative to one of the next more urgent rank.
const LOSS_PER_RANK: f64 = 0.5;
/// Rank from which requests count as least urgent.
const LEAST_URGENT_RANK: Rank = 2;

/// What the callers of some waiting requests lose while their model is not loaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WaitingLoss {
    loss: f64,
    /// None of them waits longer than this; `None` if that is not known.
    longest_wait: Option<Duration>,
}

impl WaitingLoss {
    /// What a load that takes `load_time` from now on spares them.
    pub(crate) fn spared_by(self, load_time: Duration) -> f64 {
        if self.longest_wait.is_none_or(|wait| load_time < wait) { self.loss } else { 0.0 }
    }
}

/// Weights of all waiting requests of a service.
///
/// Start-time fair queueing would serve the accounts of a rank in turn. So all requests of an account
/// together count for at most the mean number of requests of the accounts that wait in its rank. If
/// all requests have the same rank and account, or no account, each counts as one.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingWeights {
    /// Most urgent rank of which a request waits.
    most_urgent: Option<Rank>,
    /// Waiting requests of each account, by rank.
    of_account: HashMap<(Rank, AccountTag), f64>,
    /// Mean number of waiting requests of an account, by rank.
    mean: BTreeMap<Rank, f64>,
}

impl WaitingWeights {
    /// Weighs the groups of all models.
    pub(crate) fn new<'a>(groups: impl Iterator<Item = &'a WaitingGroup> + Clone) -> Self {
        let mut of_account: HashMap<(Rank, AccountTag), f64> = HashMap::new();
        // Requests, and accounts that are known by their number only.
        let mut ranks: BTreeMap<Rank, (f64, u32)> = BTreeMap::new();
        for group in groups {
            let (requests, unnamed) = ranks.entry(group.rank).or_default();
            *requests += f64::from(group.count);
            match group.account {
                Some(tag) => {
                    *of_account.entry((group.rank, tag)).or_default() += f64::from(group.count);
                }
                // The unnamed accounts of one model may be those of another.
                None => *unnamed = (*unnamed).max(group.accounts),
            }
        }
        let accounts = |rank: Rank, unnamed: u32| {
            of_account.keys().filter(|(of, _)| *of == rank).count() as f64 + f64::from(unnamed)
        };
        let mean = ranks.iter().map(|(rank, (requests, unnamed))| {
            (*rank, requests / accounts(*rank, *unnamed).max(1.0))
        });
        let mean = mean.collect();
        Self { most_urgent: ranks.keys().next().copied(), of_account, mean }
    }

    /// What the callers of a group lose while their model is not loaded.
    pub(crate) fn loss(
        &self,
        group: &WaitingGroup,
        longest_waits: &BTreeMap<Rank, Duration>,
    ) -> WaitingLoss {
        let count = f64::from(group.count);
        let waiting = match group.account {
            Some(tag) => self.of_account.get(&(group.rank, tag)).copied().unwrap_or(count),
            None => count / f64::from(group.accounts.max(1)),
        };
        let mean = self.mean.get(&group.rank).copied().unwrap_or(waiting);
        WaitingLoss {
            loss: count * (mean / waiting.max(1.0)).min(1.0) * self.rank_weight(group.rank),
            longest_wait: longest_waits.get(&group.rank).copied(),
        }
    }

    /// Weight of a request of this rank, compared with one of the most urgent rank that waits; 1 if
    /// none waits.
    pub(crate) fn rank_weight(&self, rank: Rank) -> f64 {
        let steps = |rank: Rank| i32::from(rank.min(LEAST_URGENT_RANK));
        self.most_urgent.map_or(1.0, |most| LOSS_PER_RANK.powi(steps(rank) - steps(most)))
    }
}
