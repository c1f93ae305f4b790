//! Tests of the event boundaries.

use super::*;

/// Guards against half an event that reaches the caller before the stream is continued elsewhere.
#[test]
fn only_whole_events_are_passed_on() {
    let mut s = EventSplitter::default();
    assert_eq!(&s.push(b"id: 1\ndata: a\n\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    assert!(s.is_inside_event());
    assert_eq!(s.last_id(), Some("1"));
    assert_eq!(&s.push(b"ta: b\n")[..], b"");
    assert_eq!(&s.push(b"\n")[..], b"id: 2\ndata: b\n\n");
    assert_eq!(s.last_id(), Some("2"));
    assert!(!s.is_inside_event());
    assert_eq!(&s.push(b"id: 3\ndata: c\r\n\r\n")[..], b"id: 3\ndata: c\r\n\r\n");
    assert_eq!(s.last_id(), Some("3"));
}
