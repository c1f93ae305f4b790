//! Tests of splitting a stream at event boundaries.

use proptest::prelude::*;

use super::*;

/// Guards against passing on part of an event before the stream breaks off: the server that
/// continues the stream would send that event again.
#[test]
fn only_complete_events_are_passed_on() {
    let mut splitter = EventSplitter::new(&BodyMemory::default());
    assert_eq!(&splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap()[..], b"id: 1\ndata: a\n\n");
    assert!(splitter.is_inside_event());
    assert_eq!(splitter.last_id(), Some("1"));
    assert_eq!(&splitter.push(b"ta: b\n").unwrap()[..], b"");
    assert_eq!(&splitter.push(b"\n").unwrap()[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some("2"));
    assert!(!splitter.is_inside_event());
    assert_eq!(&splitter.push(b"id: 3\ndata: c\r\n\r\n").unwrap()[..], b"id: 3\ndata: c\r\n\r\n");
    assert_eq!(splitter.last_id(), Some("3"));
}

/// Guards against a server that sends an event without an end: the event must neither be kept
/// whole nor be searched again from its start with each read.
#[test]
fn unfinished_event_beyond_the_limit_is_an_error() {
    let mut splitter = EventSplitter::new(&BodyMemory::default());
    let chunk = [b'x'; 16 << 10];
    let chunks = MAX_EVENT_BYTES / chunk.len();
    for _ in 0..chunks {
        assert_eq!(splitter.push(&chunk).unwrap(), "");
    }
    assert!(splitter.push(b"x").is_err());
    assert!(splitter.partial.len() <= MAX_EVENT_BYTES + chunk.len());
}

/// Guards against an end that is not found because it is split between two reads, at every place.
#[test]
fn event_end_is_found_wherever_the_reads_split_it() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for first in 0..stream.len() {
        for second in first..stream.len() {
            let mut splitter = EventSplitter::new(&BodyMemory::default());
            let mut passed_on = Vec::new();
            for part in [&stream[..first], &stream[first..second], &stream[second..]] {
                passed_on.extend_from_slice(&splitter.push(part).unwrap());
            }
            assert_eq!(passed_on, stream, "split at {first} and {second}");
            assert_eq!(splitter.last_id(), Some("3"));
        }
    }
}

/// Guards against work that grows with the square of an event's length, which lets one server stop
/// the thread that serves all callers.
#[test]
fn bytes_of_an_unfinished_event_are_searched_once() {
    let mut splitter = EventSplitter::new(&BodyMemory::default());
    for _ in 0..MAX_EVENT_BYTES {
        assert_eq!(splitter.push(b"x").unwrap(), "");
        assert!(splitter.partial.len() - splitter.searched <= 3);
    }
}

/// Guards against bytes of a stream that are doubled when the data is split again after it found no
/// memory.
#[test]
fn data_without_memory_leaves_the_splitter_unchanged() {
    let memory = BodyMemory::with_limit(4_000);
    let mut splitter = EventSplitter::new(&memory);
    assert_eq!(splitter.push(b"id: 1\nda").unwrap(), "");
    let others = BodyBuffer::copy_of(&[0; 1_500], &memory).unwrap();
    // The rest fits into the buffer, and its first part has to be copied.
    let rest = [&b"ta: "[..], &[b'a'; 450], b"\n\nid: 2\nd"].concat();
    let more = BodyBuffer::copy_of(&[0; 700], &memory).unwrap();
    assert_eq!(splitter.push(&rest), Err(EventError::OutOfMemory));
    drop((others, more));
    let events = splitter.push(&rest).unwrap();
    assert_eq!(events, [&b"id: 1\nda"[..], &rest[..rest.len() - 7]].concat());
    assert_eq!(splitter.event_count(), 1);
}

proptest! {
    /// Guards against events that depend on how the bytes of a stream arrive.
    #[test]
    fn events_do_not_depend_on_the_chunks(
        bytes in prop::collection::vec(prop_oneof![
            Just(b'\n'), Just(b'\r'), Just(b'i'), Just(b'd'), Just(b':'), any::<u8>()], 0..400),
        cuts in prop::collection::vec(0..400_usize, 0..20),
    ) {
        let mut whole = EventSplitter::new(&BodyMemory::default());
        let expected = whole.push(&bytes).unwrap();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::new(&BodyMemory::default());
        let mut events = Vec::new();
        for pair in cuts.windows(2) {
            events.extend_from_slice(&splitter.push(&bytes[pair[0]..pair[1]]).unwrap());
        }
        prop_assert_eq!(&events[..], &expected[..]);
        prop_assert_eq!(splitter.is_inside_event(), whole.is_inside_event());
        prop_assert_eq!(splitter.last_id(), whole.last_id());
        prop_assert_eq!(splitter.event_count(), whole.event_count());
    }
}
