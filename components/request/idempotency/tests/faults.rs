//! Tests of single faults of idempotency records.

mod support;

use idempotency::*;
use support::*;
use types::prelude::*;

/// Polls the range and makes its platform calls until it has none left at `now`.
fn run(range: &mut KeyRange, platform: &mut Platform, now: Instant) -> Vec<Decision> {
    let mut decisions = Vec::new();
    for nonce in 1_000.. {
        decisions.extend(match range.poll(nonce, now, wall()) {
            None => return decisions,
            Some(Action::Write(write)) => range.on_written(platform.write(&write), now),
            Some(Action::Read(n)) => range.on_read_back(Ok(platform.objects.get(&n).cloned()), now),
            Some(Action::Recover) => range.recover(Ok(platform.all()), now, wall()),
            Some(Action::Delete(n, _)) => panic!("segment {n} has not expired"),
        });
    }
    decisions
}

fn owner(fencing: FencingNumber, platform: &mut Platform, now: Instant) -> KeyRange {
    let mut range = KeyRange::new(3, fencing);
    assert!(run(&mut range, platform, now).is_empty());
    range
}

fn granted(decisions: &[Decision]) -> ClaimId {
    match decisions {
        [Decision::Granted(_, id)] => *id,
        other => panic!("{other:?}"),
    }
}

fn next_write(range: &mut KeyRange, now: Instant) -> Write {
    match range.poll(7, now, wall()) {
        Some(Action::Write(write)) => *write,
        other => panic!("{other:?}"),
    }
}

fn verdict(reply: ClaimReply) -> (Verdict, Reason) {
    match reply {
        ClaimReply::Refused(refusal) => (refusal.verdict, refusal.reason),
        other => panic!("{other:?}"),
    }
}

/// Guards against a wrong reply to each kind of retry, before and after a new owner recovers.
#[test]
fn retries_get_the_recorded_answer_or_the_right_verdict() {
    let mut now = Instant::now();
    let mut platform = Platform::default();
    let mut range = owner(1, &mut platform, now);
    let mut ids = Vec::new();
    for key in 1..=3 {
        now += WRITE_INTERVAL;
        assert_eq!(range.claim(claim(key, key, 0, now), now, wall()), ClaimReply::Pending);
        let pending = verdict(range.claim(claim(9, key, 0, now), now, wall()));
        assert_eq!(pending, (Verdict::MayHaveRun, Reason::IdempotencyPending));
        ids.push(granted(&run(&mut range, &mut platform, now)));
    }
    let key = |n| claim(0, n, 0, now).key;
    assert!(range.finish(&key(1), ids[0], EntryState::Finished(answer(5, 0))));
    assert!(range.finish(&key(2), ids[1], EntryState::Unknown));
    now += WRITE_INTERVAL;
    run(&mut range, &mut platform, now);
    for range in [&mut range, &mut owner(2, &mut platform, now)] {
        let mut claim_again = |key, body| range.claim(claim(9, key, body, now), now, wall());
        assert_eq!(claim_again(1, 0), ClaimReply::Recorded(answer(5, 0)));
        let unknown = (Verdict::MayHaveRun, Reason::IdempotencyPending);
        assert_eq!(verdict(claim_again(2, 0)), unknown, "unknown");
        assert_eq!(verdict(claim_again(3, 0)), unknown, "running");
        assert_eq!(verdict(claim_again(1, 1)), (Verdict::NotRun, Reason::IdempotencyMismatch));
    }
}

/// Guards against dispatching a call whose claim could not be recorded.
#[test]
fn platform_outage_refuses_claims_as_not_run() {
    let now = Instant::now();
    let mut platform = Platform::default();
    let mut range = owner(1, &mut platform, now);
    let later = now + WRITE_INTERVAL;
    range.claim(claim(1, 1, 0, later), later, wall());
    let _write = next_write(&mut range, later);
    let refused = range.on_written(WriteResult::NotSent, later);
    assert!(matches!(&refused[..], [Decision::Refused(1, r)] if r.verdict == Verdict::NotRun));
    let reply = verdict(range.claim(claim(2, 2, 0, later), later, wall()));
    assert_eq!(reply, (Verdict::NotRun, Reason::RecordUnavailable));
    let after_backoff = later + PLATFORM_BACKOFF;
    assert_eq!(
        range.claim(claim(3, 1, 0, after_backoff), after_backoff, wall()),
        ClaimReply::Pending
    );
    granted(&run(&mut range, &mut platform, after_backoff));
}

/// Guards against treating a write whose answer was lost as failed or as successful.
#[test]
fn lost_write_stays_unresolved_until_read_back() {
    for applied in [true, false] {
        let now = Instant::now() + WRITE_INTERVAL;
        let mut platform = Platform::default();
        let mut range = owner(1, &mut platform, now - WRITE_INTERVAL);
        range.claim(claim(1, 1, 0, now), now, wall());
        let write = next_write(&mut range, now);
        if applied {
            platform.write(&write);
        }
        assert!(range.on_written(WriteResult::AnswerLost, now).is_empty());
        assert_eq!(range.poll(8, now, wall()), Some(Action::Read(write.segment.number)));
        assert!(range.on_read_back(Err(()), now).is_empty());
        assert_eq!(range.poll(8, now, wall()), None, "the read is not retried at once");
        granted(&run(&mut range, &mut platform, now + ms(500)));
    }
}

/// Guards against a second grant when a write takes effect after it was read back as absent.
#[test]
fn delayed_write_grants_once_and_stays_claimed() {
    let now = Instant::now() + WRITE_INTERVAL;
    let mut platform = Platform::default();
    let mut range = owner(1, &mut platform, now - WRITE_INTERVAL);
    range.claim(claim(1, 1, 0, now), now, wall());
    let delayed = next_write(&mut range, now);
    range.on_written(WriteResult::AnswerLost, now);
    range.poll(8, now, wall());
    range.on_read_back(Ok(platform.objects.get(&delayed.segment.number).cloned()), now);
    assert!(matches!(platform.write(&delayed), WriteResult::Written(_)));
    let again = now + WRITE_INTERVAL;
    let write = next_write(&mut range, again);
    assert_eq!(platform.write(&write), WriteResult::Conflict);
    range.on_written(WriteResult::Conflict, again);
    granted(&run(&mut range, &mut platform, again));
}

/// Guards against storing an outcome a second time after a later claim of its key, which would
/// release the key while the later call runs.
#[test]
fn outcome_stored_by_a_lost_write_does_not_undo_a_later_claim() {
    let mut now = Instant::now() + WRITE_INTERVAL;
    let mut platform = Platform::default();
    let mut range = owner(1, &mut platform, now - WRITE_INTERVAL);
    range.claim(claim(1, 1, 0, now), now, wall());
    let first = granted(&run(&mut range, &mut platform, now));
    range.finish(&claim(0, 1, 0, now).key, first, EntryState::Released);
    now += WRITE_INTERVAL;
    range.claim(claim(2, 1, 0, now), now, wall());
    let delayed = next_write(&mut range, now);
    range.on_written(WriteResult::AnswerLost, now);
    range.poll(8, now, wall());
    range.on_read_back(Ok(platform.objects.get(&delayed.segment.number).cloned()), now);
    platform.write(&delayed);
    now += WRITE_INTERVAL;
    granted(&run(&mut range, &mut platform, now));
    run(&mut range, &mut platform, now + WRITE_INTERVAL);
    let mut new = owner(2, &mut platform, now);
    let reply = verdict(new.claim(claim(3, 1, 0, now), now, wall()));
    assert_eq!(reply, (Verdict::MayHaveRun, Reason::IdempotencyPending));
}

/// Guards against a key that stays claimed for a call that was refused as `not_run`.
#[test]
fn claim_abandoned_while_its_write_was_unresolved_is_released() {
    let now = Instant::now() + WRITE_INTERVAL;
    let mut platform = Platform::default();
    let mut range = owner(1, &mut platform, now - WRITE_INTERVAL);
    range.claim(claim(1, 1, 0, now), now, wall());
    platform.write(&next_write(&mut range, now));
    range.on_written(WriteResult::AnswerLost, now);
    let later = now + ms(2_000);
    let refused = range.expire(later);
    assert!(matches!(&refused[..], [Decision::Refused(1, r)] if r.verdict == Verdict::NotRun));
    let reply = verdict(range.claim(claim(2, 1, 0, later), later, wall()));
    assert_eq!(reply, (Verdict::NotRun, Reason::RecordUnavailable));
    assert!(run(&mut range, &mut platform, later).is_empty());
    let again = later + WRITE_INTERVAL;
    assert_eq!(range.claim(claim(3, 1, 0, again), again, wall()), ClaimReply::Pending);
    granted(&run(&mut range, &mut platform, again));
}

/// Guards against grants by both owners after a takeover.
#[test]
fn writes_of_a_superseded_owner_fail_and_its_claims_are_refused() {
    let now = Instant::now() + WRITE_INTERVAL;
    let mut platform = Platform::default();
    let mut old = owner(1, &mut platform, now - WRITE_INTERVAL);
    old.claim(claim(1, 1, 0, now), now, wall());
    let write = next_write(&mut old, now);
    let mut new = owner(2, &mut platform, now);
    assert_eq!(platform.write(&write), WriteResult::Conflict);
    old.on_written(WriteResult::Conflict, now);
    let decisions = run(&mut old, &mut platform, now);
    assert!(matches!(&decisions[..], [Decision::Refused(1, r)] if r.verdict == Verdict::NotRun));
    assert!(old.is_superseded());
    new.claim(claim(2, 1, 0, now), now, wall());
    granted(&run(&mut new, &mut platform, now + WRITE_INTERVAL));
}

/// Guards against records that never expire, and against records that expire too early.
#[test]
fn keys_expire_at_the_stored_time_and_their_segments_are_deleted() {
    let mut now = Instant::now();
    let mut platform = Platform::default();
    let mut range = owner(1, &mut platform, now);
    for key in 0..6 {
        now += WRITE_INTERVAL;
        range.claim(claim(key, key, 0, now), now, wall());
        let id = granted(&run(&mut range, &mut platform, now));
        now += WRITE_INTERVAL;
        let state = EntryState::Finished(answer(1, 30_000));
        range.finish(&claim(0, key, 0, now).key, id, state);
        run(&mut range, &mut platform, now);
    }
    assert!(platform.objects.len() > 2);
    let end = wall() + RETENTION;
    let reply = range.claim(claim(9, 0, 0, now), now, end - ms(1));
    assert_eq!(reply, ClaimReply::Recorded(answer(1, 30_000)));
    assert_eq!(range.claim(claim(9, 0, 0, now), now, end), ClaimReply::Pending);
    range.expire(now + ms(2_000));
    let before = platform.objects.len();
    while let Some(Action::Delete(number, _)) = range.poll(1, now, end) {
        platform.objects.remove(&number);
        range.on_deleted(number, true);
    }
    assert!(platform.objects.len() < before);
    assert!(!platform.objects.is_empty(), "the segment with the highest number is never deleted");
}

/// Guards against equal hashes of keys of different client accounts, and against ranges without
/// keys.
#[test]
fn keys_are_separate_per_client_account_and_spread_over_all_ranges() {
    assert_ne!(KeyHash::new("a", "bc"), KeyHash::new("ab", "c"));
    let ranges: BTreeSet<u32> =
        (0..1_000).map(|n| range_of(&KeyHash::new("c", &n.to_string()))).collect();
    assert_eq!(ranges, (0..KEY_RANGES).collect());
}
