//! Benchmarks of quotas: the look-up of a key and the decision by number of accounts, and the
//! messages and the processor time of a holder by number of instances.

use std::hint::black_box;

use admission::quota::*;
use routes::{Accounts, ClientAccount, KeyHash, Quota, QuotaUnit};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

const ACCOUNT_COUNTS: [usize; 4] = [16, 100, 1_000, 10_000];
const INSTANCE_COUNTS: [usize; 4] = [8, 65, 150, 360];
const ROUNDS: u64 = 400_000;
const LIMITS: QuotaLimits = QuotaLimits { per_second: 300_000, burst: 300_000 };
const COST: u64 = 1_000;
/// Requests per second at each instance.
const REQUESTS_PER_SECOND: u64 = 5;
const SECONDS: u64 = 20;

fn main() {
    for accounts in ACCOUNT_COUNTS {
        measure_decisions(accounts);
    }
    for instances in INSTANCE_COUNTS {
        for requests_per_second in [0, REQUESTS_PER_SECOND] {
            measure_messages(instances, requests_per_second, 16);
        }
    }
    measure_messages(360, REQUESTS_PER_SECOND, 10_000);
}

fn name(index: usize) -> String {
    format!("account-{index}")
}

fn key(index: usize) -> String {
    format!("sk-{index:032x}")
}

fn accounts(count: usize) -> Accounts {
    Accounts::new((0..count).map(|index| {
        let quota = Quota {
            unit: QuotaUnit::Tokens { unstated: 100 },
            per_second: LIMITS.per_second,
            burst: LIMITS.burst,
        };
        let account = ClientAccount { name: name(index).into(), rank: None, quota: Some(quota) };
        (account, vec![KeyHash::of(key(index))])
    }))
}

/// Resident memory of this process in kB, if the system tells it.
fn resident_kb() -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Prints the time for the look-up of a key with the decision of the instance, and that for a
/// request that the holder has to be asked for, without the network.
fn measure_decisions(count: usize) {
    let before = resident_kb();
    let accounts = accounts(count);
    let of_accounts = resident_kb() - before;
    let keys: Vec<String> = (0..count).map(key).collect();
    let before_use = resident_kb();
    let start = Instant::now();
    let mut share = QuotaShare::new(1, 1, start);
    share.set_instances(1, &[1]);
    let mut pool = QuotaPool::new(1, start);
    let mut now = start;
    let mut admitted = 0;
    let began = Instant::now();
    for round in 0..ROUNDS {
        now += Duration::from_micros(100);
        let index = (round.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % count;
        let account = accounts.by_key(&KeyHash::of(&keys[index])).expect("key is known");
        let decision = share.decide(xxh3_64(account.name.as_bytes()), LIMITS, COST, now);
        admitted += u64::from(matches!(black_box(decision), QuotaDecision::Admitted(_)));
    }
    let decided = began.elapsed();
    let began = Instant::now();
    for round in 0..ROUNDS {
        now += Duration::from_micros(100);
        let index = (round.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % count;
        let account = accounts.by_key(&KeyHash::of(&keys[index])).expect("key is known");
        let account = xxh3_64(account.name.as_bytes());
        if share.decide(account, LIMITS, COST, now) == QuotaDecision::Ask {
            share.enqueue(account, COST, now);
        }
        share.count_use(now);
        while let Some((_, req)) = share.next_request(now) {
            let grant = pool.handle(&req, |_| Some(LIMITS), 1, now).expect("request is new");
            admitted += share.receive(&grant, now).len() as u64;
        }
    }
    let asked = began.elapsed();
    let micros = |time: Duration| time.as_secs_f64() * 1e6 / ROUNDS as f64;
    println!(
        "{count} accounts: {:.2} us for look-up and decision, {:.2} us with ask and grant, \
         {admitted} admitted, {} accounts tracked, {of_accounts} kB for the accounts, {} kB for \
         their quotas",
        micros(decided),
        micros(asked),
        share.tracked_accounts(),
        resident_kb() - before_use
    );
}

/// Prints the bytes and the processor time of a holder, per second, with its messages encoded.
fn measure_messages(instances: usize, requests_per_second: u64, accounts: usize) {
    const STEP: Duration = Duration::from_millis(10);
    let start = Instant::now();
    let mut pool = QuotaPool::new(1, start);
    let mut shares: Vec<QuotaShare> = (0..instances)
        .map(|index| {
            let mut share = QuotaShare::new(index as InstanceKey, index as RunKey, start);
            share.set_instances(instances, &[0]);
            share
        })
        .collect();
    let (mut messages, mut bytes, mut largest) = (0, 0, 0);
    let mut time = Duration::ZERO;
    let mut random = 1u64;
    let mut now = start;
    while now < start + Duration::from_secs(SECONDS) {
        now += STEP;
        for share in &mut shares {
            random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
            if (random >> 33) % 100 < requests_per_second {
                let account = xxh3_64(&(random >> 40).to_le_bytes()) % accounts as u64;
                let account = account.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                if share.decide(account, LIMITS, COST, now) == QuotaDecision::Ask {
                    share.enqueue(account, COST, now);
                }
            }
            share.count_use(now);
            while let Some((_, req)) = share.next_request(now) {
                let encoded = postcard::to_stdvec(&req).expect("request is encoded");
                let began = Instant::now();
                let req = postcard::from_bytes(&encoded).expect("request is decoded");
                let grant = pool.handle(&req, |_| Some(LIMITS), instances, now);
                let grant = grant.expect("request is new");
                let answer = postcard::to_stdvec(&grant).expect("grant is encoded");
                time += began.elapsed();
                messages += 2;
                bytes += encoded.len() + answer.len();
                largest = largest.max(encoded.len()).max(answer.len());
                share.receive(&grant, now);
            }
        }
    }
    println!(
        "{instances} instances, {requests_per_second} requests per second each, {accounts} \
         accounts: {} messages and {} bytes per second at the holder, largest {largest} bytes, \
         {:.0} us of its time per second without the network, {} of {instances} shares pooled",
        messages / SECONDS as usize,
        bytes / SECONDS as usize,
        time.as_secs_f64() * 1e6 / SECONDS as f64,
        pool.counted_shares()
    );
}
