use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::*;

const COST: Cost =
    Cost { silent: 1, open: 10, request: 20, field: 1, unread: 5, buffered_head: 100 };
const PACES: Paces = Paces {
    idle: Duration::from_secs(16),
    head: Duration::from_secs(4),
    window: Duration::from_secs(10),
    window_bytes: 100,
    read: Duration::from_secs(30),
    read_bytes: 100,
    answer: None,
    least: Duration::from_millis(100),
};

#[derive(Clone, Default)]
struct Flag(Rc<Cell<bool>>);

impl Close for Flag {
    fn close(&self) {
        self.0.set(true);
    }
}

type Table = ConnectionTable<Flag>;

fn table(connections: usize, bytes: usize) -> Table {
    Table::new(TableLimits { connections, bytes }, COST, PACES)
}

/// What a connection does when others need its room.
#[derive(Clone, Copy, Debug)]
enum Doing {
    Nothing,
    Head,
    Body,
    Served,
    UnreadAnswer,
}

fn open(table: &Table, doing: Doing, at: Instant) -> TrackedConnection<Flag> {
    let connection = table.accept(Flag::default(), at).unwrap();
    match doing {
        Doing::Nothing => {}
        Doing::Head => connection.read(1, || at).unwrap(),
        Doing::Body => {
            connection.read(1, || at).unwrap();
            connection.begin_request(0, true, at).unwrap();
            connection.begin_body(|| at);
        }
        Doing::Served => {
            connection.read(1, || at).unwrap();
            connection.begin_request(0, false, at).unwrap();
        }
        Doing::UnreadAnswer => {
            connection.read(1, || at).unwrap();
            connection.begin_request(0, false, at).unwrap();
            connection.blocked(|| at);
        }
    }
    connection
}

/// Guards against a crowd that keeps ordinary callers out: the connections that progress least make
/// room, in the stated order, and a request that is served is never given up.
#[test]
fn least_progress_makes_room_first() {
    let table = table(5, 1_000);
    let now = Instant::now();
    let doing = [Doing::Served, Doing::UnreadAnswer, Doing::Body, Doing::Head, Doing::Nothing];
    let crowd = doing.map(|doing| open(&table, doing, now));
    let later = now + Duration::from_secs(2);
    let mut kept = Vec::new();
    for closed in [4, 3, 2, 1] {
        kept.push(open(&table, Doing::Served, later));
        let is_closed: Vec<bool> = crowd.iter().map(TrackedConnection::is_closed).collect();
        assert_eq!(is_closed, (0..5).map(|n| n >= closed).collect::<Vec<_>>());
    }
    assert!(table.accept(Flag::default(), later).is_err());
    assert!(!crowd[0].is_closed());
    assert_eq!(table.closed().of(Reason::NoRoom), 1);
}

/// Guards against a crowd of unfinished heads that keeps new callers out: a new connection has time to
/// bring its request.
#[test]
fn new_connection_stays_beside_unfinished_heads() {
    let table = table(3, 1_000);
    let now = Instant::now();
    let _crowd = [open(&table, Doing::Head, now), open(&table, Doing::Head, now)];
    let later = now + Duration::from_millis(200);
    let new = open(&table, Doing::Nothing, later);
    for _ in 0..10 {
        drop(table.accept(Flag::default(), later + Duration::from_millis(200)));
    }
    assert!(!new.is_closed());
    let full = Table::new(TableLimits { connections: 1, bytes: 1_000 }, COST, PACES);
    let new = open(&full, Doing::Head, now);
    assert!(full.accept(Flag::default(), now).is_err() && !new.is_closed());
}

/// Guards against a caller that sends many requests ahead, is answered again and again, and so looks
/// like the most active one.
#[test]
fn requests_sent_ahead_make_room_first() {
    let table = table(2, 1_000);
    let now = Instant::now();
    let ahead = open(&table, Doing::Head, now);
    for _ in 0..3 {
        ahead.begin_request(0, false, now).unwrap();
        ahead.end_answer(|| now + Duration::from_secs(1));
    }
    let idle = open(&table, Doing::Nothing, now);
    let _new = open(&table, Doing::Head, now + Duration::from_secs(1));
    assert!(ahead.is_closed() && !idle.is_closed());
}

/// Guards against a crowd whose members were ranked once and progress since: they are not closed in
/// the place of those that do not.
#[test]
fn connection_that_has_progressed_is_not_closed_by_an_old_rank() {
    let table = table(3, 1_000);
    let now = Instant::now();
    let first = open(&table, Doing::Head, now);
    let second = open(&table, Doing::Head, now + Duration::from_millis(1));
    let third = open(&table, Doing::Head, now + Duration::from_millis(2));
    let later = now + Duration::from_secs(1);
    let _fourth = open(&table, Doing::Served, later);
    assert!(first.is_closed());
    second.begin_request(0, false, later).unwrap();
    let _fifth = open(&table, Doing::Served, later);
    assert!(!second.is_closed() && third.is_closed());
}

/// Guards against memory that is counted for less than the states of the connections, or is counted
/// after their end.
#[test]
fn memory_follows_the_states() {
    let table = table(100, 1_000);
    let now = Instant::now();
    let connection = open(&table, Doing::Nothing, now);
    assert_eq!(table.bytes(), 1);
    connection.read(60, || now).unwrap();
    assert_eq!(table.bytes(), 10);
    connection.read(60, || now).unwrap();
    assert_eq!(table.bytes(), 10 + 2 * 120);
    connection.begin_request(7, false, now).unwrap();
    assert_eq!(table.bytes(), 10 + 2 * 120 + 20 + 7);
    connection.read(3, || now).unwrap();
    assert_eq!(table.bytes(), 10 + 2 * 120 + 20 + 7 + 5);
    connection.end_answer(|| now);
    assert_eq!(table.bytes(), 10 + 5);
    drop(connection);
    assert_eq!((table.bytes(), table.count()), (0, 0));
}

/// Guards against requests of a crowd that together take more than the memory: heads that grow close
/// others, and a request without room is refused.
#[test]
fn sum_of_memory_stays_within_the_limit() {
    let table = table(100, 200);
    let now = Instant::now();
    let heads: Vec<_> = (0..20).map(|_| open(&table, Doing::Head, now)).collect();
    assert_eq!(table.bytes(), 200);
    let later = now + Duration::from_secs(1);
    let requests: Vec<_> =
        heads.iter().filter(|head| head.begin_request(0, false, later).is_ok()).collect();
    assert!(requests.len() >= 6 && table.bytes() <= 200, "{} {}", requests.len(), table.bytes());
    assert!(requests.iter().all(|request| !request.is_closed()));
}

/// Guards against connections that hold their place without progress, and against closing callers
/// that progress.
#[rstest]
#[case::idle(Doing::Nothing, 15, 16, Reason::IdleTimeout)]
#[case::head(Doing::Head, 3, 4, Reason::HeadTimeout)]
#[case::body(Doing::Body, 9, 10, Reason::BodyPace)]
#[case::unread(Doing::UnreadAnswer, 29, 30, Reason::ReadTimeout)]
fn connections_without_progress_end_in_time(
    #[case] doing: Doing,
    #[case] kept_s: u64,
    #[case] closed_s: u64,
    #[case] reason: Reason,
) {
    let table = table(10, 1_000);
    let now = Instant::now();
    let connection = open(&table, doing, now);
    let served = open(&table, Doing::Served, now);
    table.sweep(now + Duration::from_secs(kept_s));
    assert!(!connection.is_closed());
    table.sweep(now + Duration::from_secs(closed_s));
    assert!(connection.is_closed() && !served.is_closed());
    assert_eq!(table.closed().of(reason), 1);
}

/// Guards against cutting off a long body at a time of its own: it may take as long as it keeps the
/// pace.
#[test]
fn body_that_keeps_the_pace_is_not_cut_off() {
    let table = table(10, 1_000);
    let now = Instant::now();
    let connection = open(&table, Doing::Body, now);
    for n in 1..=10 {
        connection.read(100, || now).unwrap();
        table.sweep(now + PACES.window * n);
    }
    assert!(!connection.is_closed());
}

/// Guards against parts that exceed the whole, for the smallest machines and for common ones.
#[rstest]
#[case(120.0, 3_075)]
#[case(512.0, 10_250)]
#[case(16.0, 640)]
fn parts_add_up(#[case] memory_mb: f64, #[case] descriptors: usize) {
    let bytes = memory_mb * f64::from(1 << 20);
    let parts = Parts::new(bytes, descriptors);
    // The allocator may take twice the memory of the bodies.
    let for_callers = parts.connection_bytes + 2 * parts.body_bytes;
    assert!(for_callers as f64 <= bytes * 0.625);
    let reserved = 200 + 16 + 16 + 64 + 32 + 2 * 32 + 2 * 16;
    assert!(parts.caller_connections + parts.server_connections + reserved <= descriptors);
}

/// Guards against closing a caller whose body this instance does not read yet, because the request
/// waits for tokens of its quota.
#[test]
fn body_that_is_not_read_yet_is_held_to_no_pace() {
    let table = table(1, 1_000);
    let now = Instant::now();
    let waiting = open(&table, Doing::Head, now);
    waiting.begin_request(0, true, now).unwrap();
    let later = now + Duration::from_secs(20);
    assert!(table.accept(Flag::default(), later).is_err());
    table.sweep(later);
    assert!(!waiting.is_closed());
    waiting.begin_body(|| later);
    table.sweep(later + Duration::from_secs(9));
    assert!(!waiting.is_closed());
    table.sweep(later + Duration::from_secs(10));
    assert!(waiting.is_closed());
}

/// Guards against a crowd that connects again and again to a listener of operators, so that the
/// readiness check finds no room: all other connections are too new to be closed.
#[test]
fn short_least_time_lets_a_check_in_beside_new_connections() {
    let table = table(32, 1_000);
    table.set_paces(Paces { least: Duration::from_millis(10), ..PACES });
    let now = Instant::now();
    let _crowd: Vec<_> = (0..32).map(|_| open(&table, Doing::Nothing, now)).collect();
    assert!(table.accept(Flag::default(), now + Duration::from_millis(9)).is_err());
    assert!(table.accept(Flag::default(), now + Duration::from_millis(20)).is_ok());
}

/// Guards against closing a caller for requests that it sent ahead once, although it has read the
/// answers since and sends in turn.
#[test]
fn caller_that_sends_in_turn_again_counts_as_others() {
    let table = table(2, 1_000);
    let now = Instant::now();
    let once_ahead = open(&table, Doing::Served, now);
    once_ahead.read(1, || now).unwrap();
    once_ahead.end_answer(|| now);
    once_ahead.begin_request(0, false, now).unwrap();
    once_ahead.end_answer(|| now);
    assert_eq!(table.bytes(), COST.open + COST.unread);
    once_ahead.read_all();
    assert_eq!(table.bytes(), COST.open);
    let later = now + Duration::from_secs(1);
    once_ahead.read(1, || later).unwrap();
    let idle = open(&table, Doing::Nothing, now);
    let _new = open(&table, Doing::Served, later);
    assert!(idle.is_closed() && !once_ahead.is_closed());
}

/// Guards against requests sent ahead that are forgotten while they wait behind the one that is
/// served.
#[test]
fn requests_sent_ahead_count_while_one_is_served() {
    let table = table(2, 1_000);
    let now = Instant::now();
    let ahead = open(&table, Doing::Served, now);
    ahead.read(1, || now).unwrap();
    ahead.read_all();
    assert!(ahead.has_sent_ahead());
}

/// Guards against taking the rest of a refused body for the beginning of a head: the caller is idle,
/// and a connection that it keeps for its next request would be closed as an unfinished head.
#[rstest]
#[case::before_the_answer_ends(true)]
#[case::after_it(false)]
fn rest_of_a_refused_body_is_no_head(#[case] is_before: bool) {
    let table = table(10, 1_000);
    let now = Instant::now();
    let refused = open(&table, Doing::Head, now);
    refused.begin_request(0, true, now).unwrap();
    refused.abandon_body();
    if is_before {
        refused.read(100, || now).unwrap();
        refused.end_answer(|| now);
    } else {
        refused.end_answer(|| now);
        refused.read(100, || now).unwrap();
    }
    table.sweep(now + PACES.head);
    assert!(!refused.is_closed() && !refused.has_sent_ahead());
    // The next head came with the rest of the body.
    refused.begin_request(0, false, now).unwrap();
    assert!(!refused.has_sent_ahead());
    refused.end_answer(|| now);
    refused.read(1, || now).unwrap();
    table.sweep(now + PACES.head);
    assert!(refused.is_closed());
}

/// Guards against calls that wait for another process without an end, where nothing else limits
/// them.
#[test]
fn request_without_an_answer_ends_in_time_where_that_is_limited() {
    let table = table(10, 1_000);
    let now = Instant::now();
    let answer = Duration::from_secs(8);
    table.set_paces(Paces { answer: Some(answer), ..PACES });
    let waiting = open(&table, Doing::Served, now);
    table.sweep(now + answer - Duration::from_secs(1));
    assert!(!waiting.is_closed());
    table.sweep(now + answer);
    assert!(waiting.is_closed());
    assert_eq!(table.closed().of(Reason::AnswerTimeout), 1);
}

/// Guards against a caller that takes a few bytes now and then and so holds an answer for ever, and
/// against closing slow callers that keep the pace.
#[rstest]
#[case::too_slow(9, true)]
#[case::at_the_least_pace(10, false)]
fn answer_is_taken_at_a_least_pace(#[case] bytes_each_3_s: usize, #[case] is_closed: bool) {
    let table = table(10, 1_000);
    let begins = Instant::now();
    let slow = open(&table, Doing::Served, begins);
    for n in 0..20 {
        let now = begins + Duration::from_secs(3) * n;
        if n > 0 {
            slow.wrote(bytes_each_3_s);
        }
        slow.blocked(|| now);
        table.sweep(now);
    }
    assert_eq!(slow.is_closed(), is_closed);
    assert_eq!(table.closed().of(Reason::ReadPace), u64::from(is_closed));
}

/// Guards against closing a caller for an answer that it has taken since, when a later one is larger
/// than the kernel's buffer for a moment.
#[test]
fn caller_that_has_caught_up_starts_a_new_measurement() {
    let table = table(10, 1_000);
    let now = Instant::now();
    let caller = open(&table, Doing::UnreadAnswer, now);
    caller.wrote(1);
    table.sweep(now + PACES.read);
    let later = now + PACES.read + Duration::from_secs(1);
    caller.blocked(|| later);
    table.sweep(later);
    assert!(!caller.is_closed());
}

/// Guards against answers that are not read and use up the memory: their callers go, the one that has
/// taken least for the longest first, and no caller that sends a body does.
#[test]
fn callers_that_do_not_read_give_up_the_memory_of_answers() {
    let table = table(10, 1_000);
    let now = Instant::now();
    let body = open(&table, Doing::Body, now);
    let served = open(&table, Doing::Served, now);
    let slow = open(&table, Doing::UnreadAnswer, now);
    let unread = open(&table, Doing::UnreadAnswer, now + Duration::from_millis(500));
    let begins = now + Duration::from_secs(2);
    slow.wrote(1);
    slow.blocked(|| begins);
    table.relieve_answers(1, begins);
    assert!(slow.is_closed() && !unread.is_closed());
    table.relieve_answers(1, begins);
    assert!(!unread.is_closed());
    table.relieve_answers(9, begins + Duration::from_secs(1));
    assert!(unread.is_closed() && !body.is_closed() && !served.is_closed());
}
