//! Tests of the order in which waiting requests take places. Load: one account sends several times
//! its usual beside 15 others, at one instance or at many.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use admission::waiting::{AccountTag, WaitingGroup, sum_groups, turn_probability};
use admission::{PlaceQueue, PlaceTicket};

const LOT_TERM: Duration = Duration::from_millis(200);

fn random(state: &mut u64) -> u64 {
    *state += 1;
    xxhash_rust::xxh3::xxh3_64(&state.to_le_bytes())
}

/// Takes a place for the first request, as if `ticket` had found room and won.
fn take_one(queue: &mut PlaceQueue, ticket: PlaceTicket, now: Instant) -> PlaceTicket {
    let look = queue.look(ticket, true, now, now + LOT_TERM, || true);
    if look.takes_place {
        return ticket;
    }
    let first = look.wake.expect("a place was won");
    assert!(queue.look(first, true, now, now + LOT_TERM, || false).takes_place);
    first
}

/// Guards against an account with many requests at an instance that takes the turns of one with few,
/// and against requests of a less urgent rank that go before more urgent ones.
#[test]
fn accounts_of_a_rank_alternate_and_more_urgent_ranks_go_first() {
    let (mut queue, mut now) = (PlaceQueue::default(), Instant::now());
    let mut accounts = HashMap::new();
    for (rank, account, count) in [(1, 7, 20), (1, 8, 3), (0, 9, 2), (2, 8, 1)] {
        for n in 0..count {
            accounts.insert(queue.join(rank, Some(account), n * 37 % 11), (rank, account));
        }
    }
    let mut order = Vec::new();
    while let Some(any) = accounts.keys().max().copied() {
        now += LOT_TERM;
        let taken = take_one(&mut queue, any, now);
        order.extend(accounts.remove(&taken));
    }
    assert_eq!(order[..2], [(0, 9), (0, 9)]);
    assert_eq!(order[2..8].iter().filter(|taken| taken.1 == 8).count(), 3, "{order:?}");
    assert_eq!(order[25], (2, 8));
    assert!(queue.is_empty());
}

/// Guards against places that nobody takes because the first request can use none: it tried the
/// servers that have room, or its adapter is elsewhere. It takes the next place that it can use.
#[test]
fn a_request_that_can_use_no_place_holds_up_no_other() {
    let (mut queue, now) = (PlaceQueue::default(), Instant::now());
    let urgent = queue.join(0, Some(1), 0);
    let other = queue.join(1, Some(2), 0);
    let look = queue.look(other, true, now, now + LOT_TERM, || true);
    assert_eq!((look.takes_place, look.wake), (false, Some(urgent)));
    let look = queue.look(urgent, false, now, now + LOT_TERM, || true);
    assert_eq!((look.takes_place, look.wake), (false, Some(other)));
    assert!(queue.look(other, true, now, now + LOT_TERM, || false).takes_place);
    assert!(queue.look(urgent, true, now, now + LOT_TERM, || true).takes_place);
}

/// Guards against a kept place that is lost when its request leaves.
#[test]
fn a_place_that_is_kept_for_a_leaving_request_goes_to_the_next() {
    let (mut queue, now) = (PlaceQueue::default(), Instant::now());
    let tickets = [0, 1, 1].map(|rank| queue.join(rank, None, 0));
    let look = queue.look(tickets[2], true, now, now + LOT_TERM, || true);
    assert_eq!(look.wake, Some(tickets[0]));
    assert_eq!(queue.leave(tickets[0], now), Some(tickets[1]));
    assert_eq!(queue.leave(tickets[1], now), Some(tickets[2]));
    assert!(queue.look(tickets[2], true, now, now + LOT_TERM, || false).takes_place);
}

/// Guards against memory that grows with every account that ever waited, while some request always
/// waits (load: 10,000 accounts in turn).
#[test]
fn accounts_that_wait_no_more_are_forgotten() {
    let (mut queue, now) = (PlaceQueue::default(), Instant::now());
    queue.join(1, Some(u32::MAX), u32::MAX);
    for account in 0..10_000 {
        let ticket = queue.join(1, Some(account), 0);
        take_one(&mut queue, ticket, now + LOT_TERM * account);
        queue.leave(ticket, now);
        queue.join(1, Some(u32::MAX), u32::MAX);
    }
    assert!(queue.remembered_accounts() <= 2_048, "{}", queue.remembered_accounts());
}

fn group(rank: u8, account: AccountTag, count: u32) -> WaitingGroup {
    WaitingGroup { rank, account: Some(account), accounts: 1, count }
}

/// Guards against turns by number of requests, by which a hot account takes the places of the others
/// at all instances together, and a small one waits as long as the hot one.
#[test]
fn turns_among_instances_are_shared_by_account() {
    let rest = WaitingGroup { account: None, accounts: 4, ..group(1, 0, 8) };
    let groups = [group(0, 1, 2), group(1, 2, 90), group(1, 3, 1), rest, group(2, 4, 5)];
    let turn = |room, rank, account| turn_probability(room, rank, Some(account), &groups);
    let is_about = |a: f64, b: f64| (a - b).abs() < 1e-9;
    // Two places of ten are for the more urgent rank, one for account 3 and one for each of the other
    // five of the rank. Two are left, less likely for the hot one.
    assert_eq!([turn(10, 0, 1), turn(10, 1, 3)], [1.0, 1.0]);
    let last = 2.0 / (4.0 + 1.0 / 89.0);
    assert!(is_about(turn(10, 1, 77) * 2.0, 1.0 + last));
    assert!(is_about(turn(10, 1, 2) * 90.0, 1.0 + last / 89.0));
    assert_eq!([turn(100, 2, 4), turn(106, 2, 4)], [0.0, 1.0]);
    for room in 0..120 {
        let taken = [(0, 1, 2), (1, 2, 90), (1, 3, 1), (1, 77, 8), (2, 4, 5)];
        let taken =
            taken.map(|(rank, account, count)| turn(room, rank, account) * f64::from(count));
        let places = f64::from(room.min(106));
        assert!(is_about(taken.iter().sum(), places), "{taken:?} of {places}");
    }
}

/// Guards against an account with a single request that waits behind one with many, although the
/// servers have one place at a time; and against an account that never gets any.
#[test]
fn a_single_place_is_for_the_account_with_the_fewest_requests() {
    let turn = |count, other, account| {
        turn_probability(1, 1, Some(account), &[group(1, 1, count), group(1, 2, other)])
    };
    assert!(turn(1, 60, 1) > 0.98);
    let (small, large) = (turn(30, 60, 1) * 30.0, turn(30, 60, 2) * 60.0);
    assert!((0.6..0.7).contains(&small) && (0.3..0.4).contains(&large), "{small} {large}");
}

/// Requests of an account, and those that a server got.
type Served = (u32, u32);

/// What became of the requests of 16 accounts, and the most requests in flight.
struct Outcome {
    served: Vec<Served>,
    most_in_flight: u32,
}

/// Plays 20 s in which account 0 sends `hot` times its usual, at `instances` instances that know the
/// load and each other's waiting requests as of the last 0.2 s. Callers wait for 0.35 s. The usual
/// load of the 16 accounts is 85% of what the servers run.
fn play(instances: usize, hot: u64) -> Outcome {
    /// Requests in flight at which the servers get no further ones.
    const LIMIT: u32 = 160;
    const ENDS_PER_ROUND: u32 = 16;
    const ROUND: Duration = Duration::from_millis(40);
    let start = Instant::now();
    let mut seed = instances as u64 * 1_000 + hot;
    let mut queues: Vec<PlaceQueue> = (0..instances).map(|_| PlaceQueue::default()).collect();
    let mut waiting: Vec<HashMap<PlaceTicket, (u32, Instant)>> = vec![HashMap::new(); instances];
    let mut outcome = Outcome { served: vec![(0, 0); 16], most_in_flight: 0 };
    let (mut in_flight, mut known, mut groups) = (0_u32, 0, Vec::new());
    let mut own = vec![0_u32; instances];
    for round in 0..500_u32 {
        let now = start + ROUND * round;
        in_flight = in_flight.saturating_sub(ENDS_PER_ROUND);
        for account in 0..16_u32 {
            let rate = if account == 0 { hot * 850 } else { 850 };
            let arrivals = rate / 1_000 + u64::from(random(&mut seed) % 1_000 < rate % 1_000);
            for _ in 0..arrivals {
                let at = random(&mut seed) as usize % instances;
                let ticket = queues[at].join(1, Some(account), random(&mut seed) as u32);
                waiting[at].insert(ticket, (account, now + Duration::from_millis(350)));
                outcome.served[account as usize].0 += 1;
            }
        }
        if round % 5 == 0 {
            known = in_flight;
            own.fill(0);
            let all = waiting.iter().flat_map(HashMap::values);
            groups = sum_groups(all.map(|(account, _)| group(1, *account, 1)));
        }
        let mut looks: Vec<(u64, usize, PlaceTicket)> = Vec::new();
        for (at, tickets) in waiting.iter().enumerate() {
            looks.extend(tickets.keys().map(|ticket| (random(&mut seed), at, *ticket)));
        }
        looks.sort();
        let mut looks: std::collections::VecDeque<_> = looks.into();
        while let Some((_, at, ticket)) = looks.pop_front() {
            let Some((account, _)) = waiting[at].get(&ticket).copied() else { continue };
            let room = LIMIT.saturating_sub(known + own[at]);
            let chance = turn_probability(room, 1, Some(account), &groups);
            let draw = random(&mut seed) as f64 / u64::MAX as f64;
            let look = queues[at].look(ticket, room > 0, now, now + LOT_TERM, || draw < chance);
            if look.takes_place {
                waiting[at].remove(&ticket);
                own[at] += 1;
                in_flight += 1;
                outcome.served[account as usize].1 += 1;
            }
            looks.extend(look.wake.map(|next| (0, at, next)));
        }
        outcome.most_in_flight = outcome.most_in_flight.max(in_flight);
        for (queue, tickets) in queues.iter_mut().zip(&mut waiting) {
            tickets.retain(|ticket, (_, until)| {
                let stays = *until > now;
                if !stays {
                    queue.leave(*ticket, now);
                }
                stays
            });
        }
    }
    outcome
}

/// Guards against a hot account that pushes out the others (load: one of 16 accounts sends 4 to 7
/// times its usual), at one instance and at many. Requests that find no place in time are refused,
/// and those are to be the hot account's; but it gets the places that the others leave.
#[test]
fn a_hot_account_is_refused_and_the_others_are_served() {
    for instances in [1, 8, 65] {
        for hot in [4, 7] {
            let Outcome { served, most_in_flight } = play(instances, hot);
            let part = |(sent, served): Served| f64::from(served) / f64::from(sent);
            let worst = served[1..].iter().map(|served| part(*served)).fold(1.0, f64::min);
            let all: u32 = served.iter().map(|(_, served)| served).sum();
            assert!(worst > 0.97, "{instances} instances, {hot} times: {served:?}");
            assert!(all > 8_000 * 95 / 100, "places stay empty: {served:?}");
            assert!(most_in_flight < 240, "{most_in_flight} in flight at a limit of 160");
        }
    }
}
