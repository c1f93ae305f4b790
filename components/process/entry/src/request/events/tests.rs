//! Tests of splitting a stream at event boundaries.

use super::*;

/// Guards against passing on part of an event before the stream breaks off: the server that
/// continues the stream would send that event again.
#[test]
fn only_complete_events_are_passed_on() {
    let mut splitter = EventSplitter::default();
    assert_eq!(&splitter.push(b"id: 1\ndata: a\n\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    assert!(splitter.is_inside_event());
    assert_eq!(splitter.last_id(), Some("1"));
    assert_eq!(&splitter.push(b"ta: b\n")[..], b"");
    assert_eq!(&splitter.push(b"\n")[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some("2"));
    assert!(!splitter.is_inside_event());
    assert_eq!(&splitter.push(b"id: 3\ndata: c\r\n\r\n")[..], b"id: 3\ndata: c\r\n\r\n");
    assert_eq!(splitter.last_id(), Some("3"));
}
