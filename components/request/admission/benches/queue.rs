//! Benchmarks of queue operations by queue length and number of adapters, and of the size and cost
//! of share messages.

use std::error::Error;
use std::sync::Arc;

use admission::shares::{Grantee, Holder, Holding};
use admission::{Admission, AdmissionRequest, LocalLimits, QueueKey};
use types::prelude::*;

const QUEUE_LENGTHS: [u64; 3] = [1_000, 10_000, 100_000];
const ADAPTER_COUNTS: [usize; 2] = [5_400, 54_000];
const CLIENT_ACCOUNT_COUNTS: [usize; 3] = [10, 100, 1_000];
const MODELS: usize = 1_100;
const QUEUE_CLIENT_ACCOUNTS: usize = 20;
const ROUNDS: u64 = 200_000;
const INSTANCES: usize = 40;
const HIGH_LIMITS: LocalLimits =
    LocalLimits { rate_milli: 1_000_000_000_000, concurrent: 1_000_000, queued: 1_000_000 };
const LIMITS: Limits =
    Limits { requests_per_second: 1_000, concurrent_requests: 400, queued_requests: 2_000 };

fn main() -> Result<(), Box<dyn Error>> {
    for adapters in ADAPTER_COUNTS {
        let cfg = configuration(adapters);
        for queued in QUEUE_LENGTHS {
            let time = measure_queue(&cfg, adapters, queued);
            println!(
                "{queued} queued, {adapters} adapters: {:.2} us for admit, dequeue, finish, expire",
                time.as_secs_f64() * 1e6 / ROUNDS as f64
            );
        }
    }
    for client_accounts in CLIENT_ACCOUNT_COUNTS {
        measure_shares(client_accounts)?;
    }
    Ok(())
}

fn model(index: usize) -> ModelId {
    format!("model-{}", index % MODELS).into()
}

fn configuration(adapters: usize) -> Arc<Configuration> {
    let mut by_model: BTreeMap<ModelId, BTreeSet<AdapterId>> = BTreeMap::new();
    for index in 0..adapters {
        by_model.entry(model(index)).or_default().insert(format!("adapter-{index}").into());
    }
    let class = UrgencyClass {
        first_token: Duration::from_secs(600),
        completion: Duration::from_secs(900),
        objective: 9_500,
        priority: 1,
        worth_milli: 1,
    };
    let contract = |index: usize| {
        let client_account: ClientAccountId = format!("account-{index}").into();
        let contract = Contract {
            client_account: client_account.clone(),
            key_hashes: BTreeSet::new(),
            models: (0..MODELS).map(model).collect(),
            adapters: by_model.clone(),
            classes: BTreeMap::from([("batch".into(), class.clone())]),
            default_class: "batch".into(),
            capacity_share: HUNDRED_PERCENT / QUEUE_CLIENT_ACCOUNTS as u32,
            cost_share: HUNDRED_PERCENT / QUEUE_CLIENT_ACCOUNTS as u32,
            limits: LIMITS,
            services: BTreeSet::new(),
        };
        (client_account, Arc::new(contract))
    };
    let contracts = (0..QUEUE_CLIENT_ACCOUNTS).map(contract).collect();
    Arc::new(Configuration { version: 1, contracts, catalogue: Arc::default() })
}

/// Measures the operations while `queued` other requests are queued, most of them for one model.
fn measure_queue(cfg: &Arc<Configuration>, adapters: usize, queued: u64) -> Duration {
    let start = Instant::now();
    let mut admission = Admission::new(cfg.clone());
    for client_account in cfg.contracts.keys() {
        admission.set_limits(client_account, HIGH_LIMITS, start);
    }
    let request = |ticket: u64, now: Instant| {
        // Every second request is for model 0, which has one of every `MODELS` adapters.
        let hash = ticket.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        let step = if ticket.is_multiple_of(2) { MODELS } else { 1 };
        let index = hash as usize % (adapters / step) * step;
        AdmissionRequest {
            ticket,
            client_account: format!("account-{}", hash as usize % QUEUE_CLIENT_ACCOUNTS).into(),
            class: None,
            queue: QueueKey::Model(model(index)),
            adapter: Some(format!("adapter-{index}").into()),
            complete_by: None,
            earliest_first_token: now,
            work: 100 + hash as u32 % 1_000,
        }
    };
    for ticket in 0..queued {
        let now = start + Duration::from_micros(ticket);
        admission.admit(request(ticket, now), now).expect("limits are not reached");
    }
    let requests: Vec<AdmissionRequest> = (queued..queued + ROUNDS)
        .map(|ticket| request(ticket, start + Duration::from_micros(ticket)))
        .collect();
    let started_at = Instant::now();
    for request in requests {
        let (now, queue) = (request.earliest_first_token, request.queue.clone());
        admission.admit(request, now).expect("limits are not reached");
        let next = admission.dequeue(&queue, now).expect("a request is queued");
        admission.finish(next.ticket);
        assert!(admission.expire(now).is_empty());
    }
    started_at.elapsed()
}

/// Prints the sizes of a request and a grant, and the time that the holder takes for a grant.
fn measure_shares(client_accounts: usize) -> Result<(), Box<dyn Error>> {
    let now = Instant::now();
    let mut holder = Holder::new(1, Holding::equal_share(0, 9), now);
    let mut grantees: Vec<Grantee> = (0..INSTANCES)
        .map(|index| {
            let mut grantee = Grantee::new(&format!("instance-{index}"), 1);
            for client_account in 0..client_accounts {
                let need = LocalLimits { rate_milli: 500, concurrent: 1, queued: 1 };
                grantee.set_need(&format!("account-{client_account}"), need, &LIMITS);
            }
            grantee
        })
        .collect();
    let (mut request_bytes, mut grant_bytes) = (0, 0);
    let (mut first_half, mut second_half) = (Duration::ZERO, Duration::ZERO);
    const RENEWALS: u32 = 12;
    for renewal in 0..RENEWALS {
        let now = now + renewal * Duration::from_secs(5);
        for grantee in &mut grantees {
            let request = grantee.request(1, now);
            let started_at = Instant::now();
            let grant =
                holder.grant(&request, now).ok_or("request is addressed to another holder")?;
            // In the first half, shares converge while instances confirm smaller grants.
            let time = if renewal < RENEWALS / 2 { &mut first_half } else { &mut second_half };
            *time += started_at.elapsed();
            request_bytes = postcard::to_stdvec(&request)?.len();
            grant_bytes = postcard::to_stdvec(&grant)?.len();
            grantee.apply(grant);
        }
    }
    let grants = f64::from(RENEWALS / 2) * INSTANCES as f64;
    println!(
        "{client_accounts} client accounts, {INSTANCES} instances: request {request_bytes} bytes, \
         grant {grant_bytes} bytes, {:.0} us a grant at first, {:.0} us later",
        first_half.as_secs_f64() * 1e6 / grants,
        second_half.as_secs_f64() * 1e6 / grants
    );
    Ok(())
}
