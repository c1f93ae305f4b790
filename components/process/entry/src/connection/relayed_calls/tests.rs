//! Load: connections of other instances to the store beside a crowd at the same listener.

use rstest::rstest;

use super::*;

const GET: &str = "GET /api/objects/config HTTP/1.1\r\nhost: store\r\n\r\n";
const PUT: &str = "PUT /api/objects/a/b HTTP/1.1\r\nContent-Length: 4\r\n\r\n";

/// Guards against a call that waits for the store and is closed like an unfinished one, and against an
/// unfinished one that keeps its place like a call that waits.
#[rstest]
#[case::get(GET, Progress::Complete)]
#[case::short_head("GET / HTTP/1.1\r\nhost: store\r\n", Progress::Head)]
#[case::whole_body(&format!("{PUT}abcd"), Progress::Complete)]
#[case::short_body(&format!("{PUT}abc"), Progress::Body)]
#[case::next_head(&format!("{PUT}abcdG"), Progress::Head)]
#[case::two_calls(&format!("{PUT}abcd{GET}"), Progress::Complete)]
#[case::chunks(
    "PUT / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
    Progress::Body
)]
#[case::odd_length("PUT / HTTP/1.1\r\ncontent-length: x\r\n\r\n", Progress::Body)]
#[case::no_call("\0\0\r\n\r\n", Progress::Head)]
fn end_of_a_call_is_found(#[case] bytes: &str, #[case] expected: Progress) {
    assert_eq!(CallReader::default().read(bytes.as_bytes()), expected);
    let mut in_pieces = CallReader::default();
    let last = bytes.as_bytes().chunks(1).map(|byte| in_pieces.read(byte)).last();
    assert_eq!(last, Some(expected));
}

/// Guards against heads without an end that take memory.
#[test]
fn a_long_head_is_not_held() {
    let mut calls = CallReader::default();
    for _ in 0..100 {
        assert_eq!(calls.read(&[b'x'; 1_000]), Progress::Head);
    }
    assert!(matches!(calls, CallReader::UnknownHead));
}
