//! Configurations and requests for the tests.

use std::sync::Arc;

use admission::*;
use types::prelude::*;

pub(crate) const MODELS: [&str; 2] = ["salt", "ledger"];

/// Configuration with the client accounts `c0`, `c1`, … and their capacity shares.
pub(crate) fn configuration(
    version: ConfigurationVersion,
    shares: &[BasisPoints],
) -> Arc<Configuration> {
    let class = |first_token, completion, priority| UrgencyClass {
        first_token: Duration::from_millis(first_token),
        completion: Duration::from_millis(completion),
        objective: 9_500,
        priority,
        worth_milli: 10,
    };
    let contract = |(index, share): (usize, &BasisPoints)| {
        let client_account: ClientAccountId = format!("c{index}").into();
        let contract = Contract {
            client_account: client_account.clone(),
            key_hashes: BTreeSet::new(),
            models: MODELS.iter().map(|model| (*model).into()).collect(),
            adapters: BTreeMap::from([("salt".into(), BTreeSet::from(["brine".into()]))]),
            classes: BTreeMap::from([
                ("interactive".into(), class(1_000, 3_000, 9)),
                ("batch".into(), class(60_000, 90_000, 1)),
            ]),
            default_class: "interactive".into(),
            capacity_share: *share,
            cost_share: *share,
            limits: LIMITS,
            services: BTreeSet::new(),
        };
        (client_account, Arc::new(contract))
    };
    let contracts = shares.iter().enumerate().map(contract).collect();
    Arc::new(Configuration { version, contracts, catalogue: Arc::default() })
}

pub(crate) const LIMITS: Limits =
    Limits { requests_per_second: 20, concurrent_requests: 7, queued_requests: 11 };

pub(crate) const HIGH_LIMITS: LocalLimits =
    LocalLimits { rate_milli: 1_000_000_000, concurrent: 1_000_000, queued: 1_000_000 };

pub(crate) fn admission(shares: &[BasisPoints], limits: LocalLimits, now: Instant) -> Admission {
    let mut admission = Admission::new(configuration(1, shares));
    for index in 0..shares.len() {
        admission.set_limits(&format!("c{index}"), limits, now);
    }
    admission
}

pub(crate) fn queue(model: usize) -> QueueKey {
    QueueKey::Model(MODELS[model].into())
}

pub(crate) fn request(ticket: Ticket, client_account: usize, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        ticket,
        client_account: format!("c{client_account}").into(),
        class: None,
        queue: queue(0),
        adapter: None,
        complete_by: None,
        earliest_first_token: now,
        work: 1,
    }
}

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
