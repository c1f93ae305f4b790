//! Tests of the way of the leader's messages. Pattern: hundreds of instances in several data
//! centres.

use admission::waiting::WaitingGroup;
use proptest::prelude::*;

use super::*;
use crate::process::messages::Message;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 200) as u8, (n % 200) as u8], 7_380))
}

fn status(n: usize, data_centre: &str) -> Status {
    Status {
        from: format!("entry-{data_centre}-{n}").into(),
        data_centre: data_centre.into(),
        incarnation: 1,
        is_leaving: false,
        is_small: !n.is_multiple_of(10),
        up_for_s: 10,
        in_flight: Vec::new(),
        arrivals: Vec::new(),
        unreachable: Vec::new(),
        stale_holdings: Vec::new(),
        paces: Vec::new(),
        leaving: Vec::new(),
        quarantine: Default::default(),
        waiting: Vec::new(),
        waiting_groups: Vec::new(),
    }
}

fn instances(count: usize, now: Instant) -> Instances {
    let mut instances = Instances::default();
    for n in 0..count {
        let data_centre = ["a", "b", "c", "d", "e", "f"][n % 6];
        instances.record_status(status(n, data_centre), address(n), now);
    }
    instances
}

fn recipients(delivery: &Delivery) -> Vec<SocketAddr> {
    let relayed = delivery.relayed.iter();
    let relayed = relayed.flat_map(|(relay, to)| std::iter::once(relay).chain(to));
    let mut all: Vec<SocketAddr> = delivery.direct.iter().chain(relayed).copied().collect();
    all.sort();
    all
}

/// Guards against an instance that gets no message or two, and against messages from the leader
/// to each instance of every data centre.
#[test]
fn every_instance_is_reached_once_and_each_remote_data_centre_through_one() {
    let now = Instant::now();
    let delivery = instances(194, now).delivery("a", 0, now);
    assert_eq!(recipients(&delivery), {
        let mut all: Vec<SocketAddr> = (0..194).map(address).collect();
        all.sort();
        all
    });
    assert_eq!(delivery.relayed.len(), 5);
    assert!(delivery.direct.len() + delivery.relayed.len() < 40, "{delivery:?}");
}

/// Guards against a data centre that hears nothing because the instance that passes messages on has
/// failed and is not known to have failed yet.
#[test]
fn two_instances_take_turns_in_passing_messages_on() {
    let now = Instant::now();
    let instances = instances(194, now);
    let (first, second) = (instances.delivery("a", 1, now), instances.delivery("a", 2, now));
    for ((relay, _), (other, _)) in first.relayed.iter().zip(&second.relayed) {
        assert_ne!(relay, other);
    }
    assert_eq!(recipients(&first), recipients(&second));
}

/// Guards against messages through an instance that is not heard any more, and against leaving out
/// instances that have not sent a status yet.
#[test]
fn instances_that_are_not_heard_get_messages_directly() {
    let now = Instant::now();
    let mut instances = instances(60, now);
    instances.put("entry-new", address(99));
    let later = now + IN_FLIGHT_EXPIRY;
    for n in 0..30 {
        instances.record_status(
            status(n, ["a", "b", "c", "d", "e", "f"][n % 6]),
            address(n),
            later,
        );
    }
    let delivery = instances.delivery("a", 0, later);
    assert_eq!(recipients(&delivery).len(), 61);
    assert!(delivery.relayed.iter().all(|(_, to)| to.len() == 4), "{delivery:?}");
}

/// Guards against a deployment without client accounts whose messages change.
#[test]
fn a_status_carries_groups_only_in_the_message_for_them() {
    let group = WaitingGroup { rank: 1, account: Some(7), accounts: 1, count: 2 };
    let plain = status(3, "a");
    let groups = vec![vec![group; 3]];
    let grouped = Status { waiting_groups: groups.clone(), ..plain.clone() };
    let encode = |message: &Message| postcard::to_allocvec(message).unwrap();
    let bytes = encode(&Message::Status(plain));
    assert_eq!(encode(&Message::Status(grouped.clone())), bytes);
    let by_account = encode(&Message::StatusByAccount(grouped, groups.clone()));
    assert!(by_account.len() <= bytes.len() + 32, "{} bytes", by_account.len());
    match postcard::from_bytes(&by_account) {
        Ok(Message::StatusByAccount(_, decoded)) => assert_eq!(decoded, groups),
        other => panic!("{other:?}"),
    }
}

proptest! {
    /// Guards against a datagram of another sender, or a spoiled one, that ends an instance.
    #[test]
    fn spoiled_datagrams_are_decoded_or_refused(
        edits in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..8),
        len in any::<prop::sample::Index>(),
    ) {
        let message = Message::Status(status(3, "a"));
        let mut datagram = postcard::to_allocvec(&message).unwrap();
        for (at, byte) in edits {
            let at = at.index(datagram.len());
            datagram[at] = byte;
        }
        datagram.truncate(len.index(datagram.len() + 1));
        if let Ok(Message::Status(status)) = postcard::from_bytes(&datagram) {
            let mut instances = Instances::default();
            instances.record_status(status, address(3), Instant::now());
            prop_assert!(instances.take_new_arrivals().len() <= datagram.len());
        }
    }
}

/// Guards against quotas that wait for instances which fail together with the leader, or for small
/// ones while a larger one lives. Instances that were not heard lately are not named.
#[test]
fn quota_holders_are_one_large_instance_of_each_data_centre() {
    let now = Instant::now();
    let mut instances = instances(60, now);
    instances.record_status(Status { is_leaving: true, ..status(10, "e") }, address(10), now);
    let names = |holders: Vec<InstanceName>| holders.join(" ");
    assert_eq!(
        names(instances.choose_quota_holders("b", now)),
        "entry-a-0 entry-c-20 entry-d-15 entry-e-40 entry-f-11 entry-b-1"
    );
    assert_eq!(names(instances.choose_quota_holders("b", now + IN_FLIGHT_EXPIRY)), "");
}
