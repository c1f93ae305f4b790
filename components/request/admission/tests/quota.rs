//! Quotas when instances, links or the configuration fail or change, one failure at a time.

mod quota_support;

use admission::quota::*;
use quota_support::{ACCOUNT, Sim, assert_within};
use types::prelude::*;

const LIMITS: QuotaLimits = QuotaLimits { per_second: 4_000, burst: 4_000 };
const PATIENCE: Duration = Duration::from_millis(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Instances whose holder, the first one, has a full bucket.
fn settled(count: usize, limits: QuotaLimits) -> Sim {
    let mut sim = Sim::new(count, limits);
    sim.run(ms(4_000));
    assert_eq!(sim.nodes[0].pool.counted_shares(), count);
    sim
}

/// Sends requests to the instances in turn, one each `every`.
fn send(sim: &mut Sim, instances: &[usize], cost: u64, every: Duration, time: Duration) {
    let end = sim.now + time;
    let mut turn = 0;
    while sim.now < end {
        sim.request(instances[turn % instances.len()], cost, PATIENCE);
        turn += 1;
        sim.run(every);
    }
}

/// Guards against the refusal of requests inside a quota whose part for one instance is less than
/// one request: shares of the rate alone would refuse all of them.
#[test]
fn account_inside_its_quota_is_not_refused() {
    let mut sim = settled(20, LIMITS);
    let all: Vec<usize> = (0..20).collect();
    send(&mut sim, &all, 1_800, ms(500), ms(20_000));
    assert_eq!((sim.refused, sim.uses.len()), (0, 40));
}

/// Guards against one account that sends four times its quota and gets more than it, or that gets
/// much less because its requests compete.
#[test]
fn account_over_its_quota_gets_its_quota() {
    let mut sim = settled(20, LIMITS);
    let since = sim.now;
    let all: Vec<usize> = (0..20).collect();
    send(&mut sim, &all, 800, ms(50), ms(20_000));
    assert_within(&sim.uses, LIMITS);
    let used = sim.used_since(since);
    assert!(used >= 80_000, "{used} of 80,000 tokens and the burst");
}

/// Guards against a request that waits for tokens that its quota can never hold.
#[test]
fn request_beyond_the_burst_is_refused_at_once() {
    let mut sim = settled(3, LIMITS);
    sim.request(1, 4_001, PATIENCE);
    assert_eq!((sim.refused, sim.uses.len()), (1, 0));
}

/// Guards against a quota that is not served, or is exceeded, while its holder is gone: the
/// instances pledge their shares to the next one.
#[test]
fn next_holder_takes_over_when_the_holder_is_gone() {
    let mut sim = settled(5, LIMITS);
    sim.nodes[0].is_cut = true;
    sim.nodes[0].frozen_until = sim.now + ms(60_000);
    send(&mut sim, &[1, 2, 3, 4], 700, ms(200), ms(4_000));
    assert_eq!(sim.nodes[1].pool.counted_shares(), 4);
    let since = sim.now;
    let refused = sim.refused;
    send(&mut sim, &[1, 2, 3, 4], 500, ms(200), ms(4_000));
    assert_eq!((sim.refused - refused, sim.used_since(since)), (0, 10_000));
    assert_within(&sim.uses, LIMITS);
}

/// Guards against tokens of a holder that froze with a grant on its way, or with requests in its
/// queue: what it hands out after it wakes must not add to what its successor handed out.
#[test]
fn frozen_holder_hands_out_nothing_twice() {
    let mut sim = settled(5, LIMITS);
    sim.nodes[0].frozen_until = sim.now + ms(3_000);
    send(&mut sim, &[1, 2, 3, 4], 1_500, ms(50), ms(8_000));
    assert_within(&sim.uses, LIMITS);
}

/// Guards against grants that arrive after their tokens are void, when others have used the refilled
/// bucket already.
#[test]
fn late_grants_are_void() {
    let mut sim = settled(3, LIMITS);
    sim.network = Box::new(|| Some(ms(700)));
    let since = sim.now;
    for _ in 0..4 {
        sim.request(1, 1_000, ms(5_000));
        sim.run(ms(20));
    }
    sim.run(ms(6_000));
    assert_eq!(sim.used_since(since), 0);
}

/// Guards against a cut-off instance that uses its share while the holder still counts it, and
/// against one that serves nothing at all.
#[test]
fn cut_off_instance_uses_its_own_share() {
    let mut sim = settled(5, LIMITS);
    sim.nodes[4].is_cut = true;
    let since = sim.now;
    send(&mut sim, &[4], 400, ms(100), ms(1_000));
    assert_eq!(sim.used_since(since), 0);
    let since = sim.now;
    send(&mut sim, &[4], 400, ms(100), ms(10_000));
    let used = sim.used_since(since);
    assert!((6_400..=8_800).contains(&used), "{used} of 8,000 tokens");
    assert_eq!(sim.nodes[0].pool.counted_shares(), 4);
    sim.nodes[4].is_cut = false;
    sim.run(ms(8_000));
    assert_eq!(sim.nodes[0].pool.counted_shares(), 5);
    assert_eq!(sim.nodes[4].share.state(sim.now), ShareState::Pledged(0));
    // The bucket of the share is empty again when the next pledge ends.
    sim.nodes[4].is_cut = true;
    while sim.nodes[4].share.state(sim.now) != ShareState::Standing {
        sim.run(ms(5));
    }
    let since = sim.now;
    send(&mut sim, &[4], 400, ms(50), ms(300));
    assert_eq!(sim.used_since(since), 0);
    assert_within(&sim.uses, LIMITS);
}

/// Guards against a share that two holders count, when instances change the holder faster than
/// pledges end.
#[test]
fn share_is_pledged_to_one_holder_at_a_time() {
    let mut sim = settled(5, LIMITS);
    for turn in 0..40 {
        sim.set_holders(if turn % 2 == 0 { &[1, 0] } else { &[0, 1] });
        send(&mut sim, &[0, 1, 2, 3, 4], 100, ms(10), ms(450));
    }
    assert_within(&sim.uses, LIMITS);
}

/// Guards against a share that a holder counts on behalf of an earlier run, and that the restarted
/// instance pledges to another holder.
#[test]
fn restarted_instance_pledges_nothing_while_earlier_pledges_may_last() {
    let now = Instant::now();
    let mut pool = QuotaPool::new(1, now);
    let mut share = QuotaShare::new(2, 2, now);
    share.set_instances(2, &[1]);
    let mut at = now;
    while at < now + PLEDGE_TERM {
        while let Some((_, req)) = share.next_request(at) {
            assert_eq!(req.pledge, None);
            let grant = pool.handle(&req, |_| Some(LIMITS), 2, at).expect("an answer");
            share.receive(&grant, at);
        }
        assert_eq!(share.state(at), ShareState::Blocked);
        at += ms(50);
    }
}

/// Guards against tokens that are used after they are void, by an instance that froze before it
/// handled their grant.
#[test]
fn request_is_asked_for_again_if_its_grant_is_void() {
    let now = Instant::now();
    let mut pool = QuotaPool::new(1, now);
    let mut share = QuotaShare::new(1, 1, now);
    share.set_instances(1, &[1]);
    let mut at = now;
    while at < now + ms(4_000) {
        while let Some((_, req)) = share.next_request(at) {
            let grant = pool.handle(&req, |_| Some(LIMITS), 1, at).expect("an answer");
            share.receive(&grant, at);
        }
        at += ms(50);
    }
    share.enqueue(ACCOUNT, 1_000, at + ms(5_000));
    let (_, req) = share.next_request(at).expect("a request for tokens");
    let grant = pool.handle(&req, |_| Some(LIMITS), 1, at).expect("an answer");
    assert_eq!(grant.answers, [QuotaAnswer::Granted { wait_ms: 0 }]);
    assert_eq!(share.receive(&grant, at + TOKEN_LIFE), []);
    let (_, again) = share.next_request(at + TOKEN_LIFE).expect("another request");
    assert_eq!(again.asks.len(), 1);
}

/// Guards against a pledge that counts from when it arrived: a request that was held up on its way
/// would let the holder count a share that its owner uses again.
#[test]
fn late_pledge_is_not_counted() {
    let now = Instant::now();
    let mut pool = QuotaPool::new(1, now);
    let mut share = QuotaShare::new(2, 2, now);
    share.set_instances(2, &[1]);
    let mut handle = |req: &QuotaRequest, now| pool.handle(req, |_| Some(LIMITS), 2, now);
    let (_, hello) = share.next_request(now + PLEDGE_TERM).expect("a first request");
    let grant = handle(&hello, now + PLEDGE_TERM).expect("an answer");
    share.receive(&grant, now + PLEDGE_TERM);
    let (_, renewal) = share.next_request(now + PLEDGE_TERM).expect("a renewal");
    assert_eq!(share.state(now + PLEDGE_TERM), ShareState::Pledged(1));
    assert!(renewal.pledge.is_some());
    let late = now + 2 * PLEDGE_TERM;
    assert_eq!(share.state(late), ShareState::Standing);
    handle(&renewal, late).expect("an answer");
    assert_eq!(pool.counted_shares(), 0);
}

/// Guards against new buckets that hand out the burst again after a restart of all instances.
#[test]
fn buckets_are_empty_after_a_restart_of_all() {
    let mut sim = settled(5, LIMITS);
    for _ in 0..3 {
        send(&mut sim, &[0, 1, 2, 3, 4], 900, ms(20), ms(1_500));
        (0..5).for_each(|index| sim.restart(index));
    }
    send(&mut sim, &[0, 1, 2, 3, 4], 900, ms(20), ms(3_000));
    assert_within(&sim.uses, LIMITS);
    assert!(sim.used_since(sim.now - ms(1_000)) > 0);
}

/// Guards against a level above a lowered burst, and against a raised quota that the instances know
/// and the holder does not apply.
#[test]
fn changes_of_a_quota_take_effect() {
    let mut sim = settled(5, LIMITS);
    let lowered = QuotaLimits { per_second: 1_000, burst: 1_000 };
    sim.nodes.iter_mut().for_each(|node| node.limits = lowered);
    let since = sim.uses.len();
    send(&mut sim, &[1, 2, 3], 500, ms(50), ms(8_000));
    assert_within(&sim.uses[since..], lowered);
    sim.nodes.iter_mut().for_each(|node| node.limits = LIMITS);
    let since = sim.now;
    send(&mut sim, &[1, 2, 3], 500, ms(50), ms(4_000));
    let used = sim.used_since(since);
    assert!(used >= 15_000, "{used} of 16,000 tokens");
    assert_within(&sim.uses, LIMITS);
}

/// Guards against a share that an added instance uses before the others divide by it: it is at most
/// its own part too much, and the bound holds once all know of it.
#[test]
fn added_instances_get_their_part() {
    let mut sim = settled(5, LIMITS);
    sim.add(LIMITS);
    send(&mut sim, &[0, 1, 2, 3, 4, 5], 1_000, ms(50), ms(4_000));
    assert_within(&sim.uses, QuotaLimits { per_second: 4_800, burst: 4_800 });
    sim.set_instances(6);
    sim.run(ms(1_000));
    let since = sim.uses.len();
    send(&mut sim, &[0, 1, 2, 3, 4, 5], 1_000, ms(50), ms(8_000));
    assert_eq!(sim.nodes[0].pool.counted_shares(), 6);
    assert_within(&sim.uses[since..], LIMITS);
}

/// Guards against requests that are refused, or charged twice, because a request to the holder or
/// its answer was lost.
#[test]
fn lost_messages_are_repeated_without_a_second_charge() {
    let mut sim = settled(5, LIMITS);
    let mut count = 0;
    sim.network = Box::new(move || {
        count += 1;
        (count % 3 != 0).then_some(ms(2))
    });
    send(&mut sim, &[1, 2, 3, 4], 900, ms(250), ms(20_000));
    assert_eq!((sim.refused, sim.uses.len()), (0, 80));
}

/// Guards against a new leader that is not used although it answers, and against a time without
/// tokens while the shares move to it.
#[test]
fn shares_follow_the_leader() {
    let mut sim = settled(5, LIMITS);
    sim.set_holders(&[1, 2]);
    send(&mut sim, &[0, 1, 2, 3, 4], 300, ms(100), ms(3_000));
    assert_eq!(sim.nodes[1].pool.counted_shares(), 5);
    assert!(sim.refused <= 4, "{} refused", sim.refused);
    assert_within(&sim.uses, LIMITS);
}

/// Guards against requests to the holder for every request of a busy account, and against tokens in
/// stock while an account is short of them.
#[test]
fn stock_follows_recent_use() {
    let limits = QuotaLimits { per_second: 300_000, burst: 300_000 };
    let mut sim = settled(3, limits);
    send(&mut sim, &[1], 1_000, ms(20), ms(2_000));
    assert!(sim.nodes[1].share.stock(ACCOUNT, sim.now) > 0);
    sim.run(TOKEN_LIFE);
    assert_eq!(sim.nodes[1].share.stock(ACCOUNT, sim.now), 0);
    send(&mut sim, &[1], 20_000, ms(20), ms(2_000));
    assert_eq!(sim.nodes[1].share.stock(ACCOUNT, sim.now), 0);
    assert_within(&sim.uses, limits);
    sim.run(ms(30_000));
    assert_eq!(sim.nodes[1].share.tracked_accounts(), 0);
    assert_eq!(sim.nodes[0].pool.tracked_accounts(), 0);
}

/// Guards against tokens that are lost with a request that did not run, and against tokens that
/// outlive their deadline because they were put back.
#[test]
fn unused_tokens_return_to_the_stock_until_they_are_void() {
    let now = Instant::now();
    let mut share = QuotaShare::new(1, 1, now);
    let used = QuotaUse { account: ACCOUNT, cost: 500, ready_at: now, void_at: now + ms(100) };
    share.put_back(used, now + ms(50));
    assert_eq!(share.stock(ACCOUNT, now + ms(99)), 500);
    assert!(matches!(
        share.decide(ACCOUNT, LIMITS, 500, now + ms(99)),
        QuotaDecision::Admitted(QuotaUse { void_at, .. }) if void_at == now + ms(100)
    ));
    share.put_back(used, now + ms(50));
    assert_eq!(share.stock(ACCOUNT, now + ms(100)), 0);
}

/// Guards against tokens that are lost with a caller that leaves while it waits for tokens granted
/// ahead, and against tokens that are used before the bucket has them.
#[test]
fn tokens_granted_ahead_return_to_the_stock_when_they_are_ready() {
    let now = Instant::now();
    let mut share = QuotaShare::new(1, 1, now);
    let (ready_at, void_at) = (now + ms(80), now + ms(500));
    share.put_back(QuotaUse { account: ACCOUNT, cost: 500, ready_at, void_at }, now);
    assert_eq!(share.stock(ACCOUNT, now + ms(79)), 0);
    assert_eq!(share.stock(ACCOUNT, now + ms(80)), 500);
    assert_eq!(share.stock(ACCOUNT, now + ms(500)), 0);
}

/// Guards against refusals of an account that the holder does not know for a moment, because its
/// configuration is older than that of the instance.
#[test]
fn a_holder_that_does_not_know_an_account_yet_is_asked_again() {
    let start = Instant::now();
    let (mut share, mut pool) = (QuotaShare::new(1, 1, start), QuotaPool::new(9, start));
    share.set_instances(1, &[2]);
    let mut exchange = |share: &mut QuotaShare, at: Duration, known: bool| {
        let Some((_, req)) = share.next_request(start + at) else { return Vec::new() };
        let grant = pool.handle(&req, |_| known.then_some(LIMITS), 1, start + at).unwrap();
        share.receive(&grant, start + at)
    };
    for at in (0..5_000).step_by(100) {
        exchange(&mut share, ms(at), true);
    }
    let ticket = share.enqueue(ACCOUNT, 1, start + ms(5_250));
    assert_eq!(exchange(&mut share, ms(5_000), false), []);
    assert_eq!(exchange(&mut share, ms(5_020), false), [], "asked again at once");
    assert_eq!(share.next_due(start + ms(5_020)), start + ms(5_040));
    let verdicts = exchange(&mut share, ms(5_040), true);
    assert!(
        matches!(verdicts[..], [(known, QuotaVerdict::Granted(_))] if known == ticket),
        "{verdicts:?}"
    );
    share.enqueue(ACCOUNT, 1, start + ms(5_130));
    assert_eq!(exchange(&mut share, ms(5_100), false).len(), 1, "no time is left to ask again");
}
