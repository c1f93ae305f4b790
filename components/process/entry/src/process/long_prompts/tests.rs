//! Tests of what instances know of each other's long prompts. Load: 65 instances that send long
//! prompts to the same servers at the same time.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn send(prompts: &mut LongPrompts, server: &str, sent_at: Instant, read_ms: u64) -> u64 {
    prompts.add(SentPrompt { server: server_key(server), sent_at, read_time: ms(read_ms) })
}

fn notice(from: &str, is_of_all: bool, prompts: Vec<PublishedPrompt>) -> LongPromptsNotice {
    LongPromptsNotice { from: from.into(), is_of_all, prompts }
}

/// Guards against instances that send to a server for which others have just sent long prompts, and
/// against prompts that an instance counts twice because it hears of its own.
#[test]
fn all_instances_know_the_long_prompts_of_the_others() {
    let now = Instant::now();
    let names: Vec<String> = (0..65).map(|n| format!("entry-{n}")).collect();
    let mut leader = LongPrompts::default();
    let mut instances: Vec<LongPrompts> = names.iter().map(|_| LongPrompts::default()).collect();
    for (name, instance) in names.iter().zip(&mut instances).skip(1) {
        send(instance, "s1", now, 100);
        let report = notice(name, false, instance.publishable(server_key(name), false, now));
        leader.apply(&report, server_key(&names[0]), now);
        // A report that is delivered twice counts once.
        leader.apply(&report, server_key(&names[0]), now);
    }
    let update = notice(&names[0], true, leader.publishable(server_key(&names[0]), true, now));
    assert!(postcard::to_allocvec(&update).unwrap().len() < 1_500);
    for (name, instance) in names.iter().zip(&mut instances) {
        instance.apply(&update, server_key(name), now);
        assert_eq!(instance.unread(now).at("s1"), ms(6_400));
        assert_eq!(instance.unread(now).at("s2"), Duration::ZERO);
    }
}

/// Guards against stale figures: a server that is passed by although it has read its prompts,
/// because the message of a first event was lost, the leader is gone or the sender has failed.
#[test]
fn prompts_end_with_the_next_message_or_by_their_age() {
    let now = Instant::now();
    let (mut sender, mut receiver) = (LongPrompts::default(), LongPrompts::default());
    let (first, _) = (send(&mut sender, "s1", now, 200), send(&mut sender, "s1", now, 100));
    let sent = sender.publishable(1, false, now + ms(40));
    receiver.apply(&notice("a", false, sent.clone()), 2, now + ms(40));
    // A busy server may take several times as long.
    assert_eq!(receiver.unread(now + ms(900)).at("s1"), ms(300));
    sender.remove(first);
    let rest = sender.publishable(1, false, now + ms(950));
    receiver.apply(&notice("a", true, rest), 2, now + ms(950));
    assert_eq!(receiver.unread(now + ms(1_000)).at("s1"), ms(100));
    assert_eq!(receiver.unread(now + MAX_AGE).at("s1"), Duration::ZERO);
    assert_eq!(receiver.publishable(2, true, now + MAX_AGE), []);
}

/// Guards against a prompt that still counts at its sender after the first event.
#[test]
fn read_prompts_do_not_count_at_their_sender() {
    let now = Instant::now();
    let mut prompts = LongPrompts::default();
    let (first, _second) = (send(&mut prompts, "s1", now, 200), send(&mut prompts, "s1", now, 100));
    assert_eq!(prompts.unread(now).at("s1"), ms(300));
    prompts.remove(first);
    assert_eq!(prompts.unread(now).at("s1"), ms(100));
    assert_eq!(prompts.publishable(1, false, now).len(), 1);
}

/// Guards against sums that are kept after a prompt is sent, read or heard of. Pattern: many
/// selections between two changes, with prompts that get too old in between.
#[test]
fn sums_follow_each_change() {
    let now = Instant::now();
    let mut prompts = LongPrompts::default();
    assert_eq!(prompts.unread(now).at("s1"), Duration::ZERO);
    let first = send(&mut prompts, "s1", now, 200);
    assert_eq!(prompts.unread(now).at("s1"), ms(200));
    let elsewhere = [(0, 10), (1_000, 20)].map(|(age_ms, read_ms)| PublishedPrompt {
        server: server_key("s1"),
        sender: 7,
        age_ms,
        read_ms,
    });
    prompts.apply(&notice("a", true, elsewhere.into()), 1, now);
    assert_eq!(prompts.unread(now).at("s1"), ms(230));
    assert_eq!(prompts.unread(now).at("s2"), Duration::ZERO);
    assert_eq!(prompts.unread(now + MAX_AGE - ms(1_000)).at("s1"), ms(210));
    assert_eq!(prompts.unread(now + MAX_AGE).at("s1"), ms(200));
    prompts.remove(first);
    assert_eq!(prompts.unread(now + MAX_AGE).at("s1"), Duration::ZERO);
}

/// Guards against messages that do not fit into a datagram. Pattern: a crowd of long prompts.
#[test]
fn messages_about_many_prompts_are_cut() {
    let now = Instant::now();
    let mut prompts = LongPrompts::default();
    for n in 0..5_000 {
        send(&mut prompts, &format!("s{n}"), now, u64::MAX);
    }
    let update = notice("a", true, prompts.publishable(1, true, now));
    assert!(postcard::to_allocvec(&update).unwrap().len() < 9_000);
}
