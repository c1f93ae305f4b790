//! Quotas of client accounts over several instances.

use std::time::{Duration, Instant};

use platform_stand_in::{Account, Call, Instance, Outcome, configuration, with_accounts};

use crate::cluster::{MODELS, ROUTES, TestCluster, WAIT, ledger, wait_for};

/// Tokens of a request that states none.
const COST: u64 = 100;
const KEY: &str = "sk-quota";

/// A cluster whose only account has this quota, with full buckets.
async fn cluster(instances: usize, per_second: u64, burst: u64) -> TestCluster {
    let mut cluster = TestCluster::new(vec![ledger("l1"), ledger("l2")]).await;
    let account =
        Account { name: "a", keys: &[KEY], quota: Some((per_second, burst)), ..Account::default() };
    let cfg = with_accounts(configuration(4, ROUTES, MODELS), &[account], &[]);
    cluster.store.put("config", "main", cfg);
    for _ in 0..instances {
        cluster.start_instance().await;
    }
    let is_pooled = || {
        let mut instances = cluster.instances.iter();
        instances.all(|instance| !instance.log_lines(&["quotas: share is pooled"]).is_empty())
    };
    assert!(wait_for(WAIT, is_pooled).await, "shares are not pooled");
    tokio::time::sleep(Duration::from_secs(burst.div_ceil(per_second) + 1)).await;
    cluster
}

async fn read(cluster: &TestCluster, instance: usize, number: usize) -> Outcome {
    let to = cluster.instances[instance].addresses.callers;
    let id = format!("q{number}");
    cluster.caller.call(to, &Call { key: Some(KEY), ..Call::new(&id, "/read/x") }).await
}

/// Guards against a quota that each instance applies for itself: the two together would let through
/// twice as much. Refusals say that the request was not run and when to come back.
#[tokio::test]
async fn instances_together_stay_within_a_quota() {
    let (per_second, burst) = (500, 1_000);
    let cluster = cluster(2, per_second, burst).await;
    let began = Instant::now();
    let mut admitted = 0;
    for round in 0..10 {
        let reads = (0..8).map(|number| read(&cluster, number % 2, round * 8 + number));
        for outcome in futures_util::future::join_all(reads).await {
            match outcome.status {
                Some(200) => admitted += COST,
                Some(429) => {
                    assert_eq!(outcome.body, "quota_reached");
                    assert!(
                        outcome.retry_after.is_some_and(|s| s > 0.0 && s < 10.0),
                        "{outcome:?}"
                    );
                }
                _ => panic!("{outcome:?}"),
            }
        }
    }
    // Tokens are granted up to 0.75 s before they are used.
    let seconds = began.elapsed().as_secs_f64() + 0.75;
    let bound = burst as f64 + seconds * per_second as f64;
    assert!(admitted as f64 <= bound, "{admitted} of {bound} tokens");
    assert!(admitted >= burst - COST, "{admitted} of {burst} tokens in the bucket");
    let runs: u32 =
        cluster.servers.iter().flat_map(|server| server.all_runs()).map(|(_, n)| n).sum();
    assert_eq!(u64::from(runs) * COST, admitted);
}

/// Guards against the refusal of an account that stays inside its quota.
#[tokio::test]
async fn account_inside_its_quota_is_not_refused() {
    let cluster = cluster(2, 2_000, 2_000).await;
    for number in 0..40 {
        let outcome = read(&cluster, number % 2, number).await;
        assert_eq!(outcome.status, Some(200), "{outcome:?}");
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
}

/// Guards against an account that is refused for good when the instance that holds the shares is
/// killed: no single share admits one of its requests.
#[tokio::test]
async fn shares_are_pooled_again_after_their_holder_is_killed() {
    let mut cluster = cluster(3, 160, 160).await;
    let leads = |instance: &Instance| !instance.log_lines(&["orders: lease claimed"]).is_empty();
    let leader = cluster.instances.iter().position(leads).expect("an instance leads");
    cluster.instances[leader].kill();
    let other = (leader + 1) % 3;
    let deadline = Instant::now() + WAIT;
    for number in 0.. {
        let outcome = read(&cluster, other, number).await;
        match outcome.status {
            Some(200) if number > 0 => break,
            Some(200 | 429) => tokio::time::sleep(Duration::from_millis(100)).await,
            _ => panic!("{outcome:?}"),
        }
        assert!(Instant::now() < deadline, "no request is admitted");
    }
    let pooled = cluster.instances[other].log_lines(&["quotas: share is pooled"]);
    assert!(pooled.len() >= 2, "{pooled:?}");
}
