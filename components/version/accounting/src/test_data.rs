//! Builders of records for tests. Times are in milliseconds since the Unix epoch.

use std::time::UNIX_EPOCH;

use types::prelude::*;

use crate::lists::VersionList;
use crate::records::*;

/// Converts milliseconds since the Unix epoch to a time.
pub(crate) fn at(ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(ms)
}

/// An interval of a replica in group `g`.
pub(crate) fn interval(
    replica: ReplicaId,
    model: &str,
    accelerators: u32,
    from: u64,
    to: u64,
) -> Interval {
    let model = model.into();
    Interval { group: "g".into(), replica, model, accelerators, from: at(from), to: at(to) }
}

/// Work counted in a minute.
pub(crate) fn work(
    minute: Minute,
    model: &str,
    client_account: &str,
    version: &str,
    tokens: u64,
) -> Work {
    Work {
        minute,
        model: model.into(),
        client_account: client_account.into(),
        contract_version: version.into(),
        tokens,
    }
}

/// An open run with the given work, flushed up to `flushed_until`.
pub(crate) fn run(flushed_until: u64, work: Vec<Work>) -> Run {
    let work = work.into_iter().collect();
    Run {
        flushed_until: at(flushed_until),
        closed: false,
        work,
        versions: VersionList::default(),
        deaths: Vec::new(),
    }
}

/// A `work` object with one run.
pub(crate) fn object(incarnation: Incarnation, run: Run) -> WorkObject {
    WorkObject { runs: BTreeMap::from([(incarnation, run)]) }
}

/// A version with pairs of a client account and a contract version.
pub(crate) fn version(
    version: ConfigurationVersion,
    adopted_at: u64,
    contracts: &[(&str, &str)],
) -> VersionRecord {
    let contracts = contracts.iter().map(|(c, h)| ((*c).into(), (*h).into())).collect();
    VersionRecord { version, adopted_at: at(adopted_at), contracts }
}

/// A contract with the given cost share and models.
pub(crate) fn contract(client_account: &str, cost_share: BasisPoints, models: &[&str]) -> Contract {
    Contract {
        client_account: client_account.into(),
        key_hashes: BTreeSet::new(),
        models: models.iter().map(|m| (*m).into()).collect(),
        adapters: BTreeMap::new(),
        classes: BTreeMap::new(),
        default_class: "interactive".into(),
        capacity_share: cost_share,
        cost_share,
        limits: Limits { requests_per_second: 1, concurrent_requests: 1, queued_requests: 1 },
        services: BTreeSet::new(),
    }
}
