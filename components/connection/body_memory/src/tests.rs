use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::StreamBody;
use hyper::body::Frame;
use proptest::prelude::*;
use rstest::rstest;

use super::*;

const LIMIT: usize = 1 << 20;

fn body(
    pieces: impl IntoIterator<Item = Bytes>,
) -> impl hyper::body::Body<Data = Bytes, Error = Infallible> {
    let frames = pieces.into_iter().map(|piece| Ok(Frame::data(piece))).collect::<Vec<_>>();
    StreamBody::new(futures_util::stream::iter(frames))
}

/// Guards against counting the bytes of a body instead of the memory that its pieces take.
#[tokio::test]
async fn body_in_single_bytes_takes_the_memory_of_its_length() {
    let memory = BodyMemory::with_limit(LIMIT);
    // Each piece refers to an allocation that is much larger than itself.
    let large = Bytes::from(vec![b'x'; 64 << 10]);
    let pieces = (0..10_000).map(|n| large.slice(n..=n));
    let collected = collect(body(pieces), LIMIT, &memory).await.unwrap();
    assert_eq!(collected.len(), 10_000);
    assert!(large.is_unique(), "the body refers to the allocations of its pieces");
    assert!((10_000..=2 * 10_000 + 512).contains(&memory.used()), "{}", memory.used());
    drop(collected);
    assert_eq!(memory.used(), 0);
}

#[rstest]
#[case::as_long_as_allowed(100, true)]
#[case::too_long(101, false)]
#[tokio::test]
async fn length_of_a_body_is_limited(#[case] len: usize, #[case] is_collected: bool) {
    let memory = BodyMemory::with_limit(LIMIT);
    let pieces = (0..len).map(|_| Bytes::from_static(b"x"));
    let collected = collect(body(pieces), 100, &memory).await;
    assert_eq!(collected.is_ok(), is_collected, "{collected:?}");
}

/// Guards against bodies without end that leave no room for others.
#[rstest]
#[case(1)]
#[case(300)]
fn small_bodies_find_room_beside_bodies_without_end(#[case] count: usize) {
    let memory = BodyMemory::with_limit(64 << 20);
    let mut endless: Vec<_> = (0..count).map(|_| BodyBuffer::new(&memory)).collect();
    let block = [b'x'; 4_096];
    let mut has_grown = true;
    while has_grown {
        has_grown = false;
        for buffer in &mut endless {
            has_grown |= buffer.extend(&block, usize::MAX).is_ok();
        }
    }
    assert!(memory.used() <= 64 << 20);
    for _ in 0..16 {
        BodyBuffer::copy_of(&[b'x'; 1_700], &memory).unwrap();
    }
}

proptest! {
    /// Guards against memory that is counted wrongly, or counted after its release.
    #[test]
    fn used_memory_is_that_of_the_live_buffers(
        steps in prop::collection::vec((0_usize..4, 0_usize..3_000, any::<bool>()), 1..80),
    ) {
        let memory = BodyMemory::with_limit(100_000);
        let mut buffers: Vec<BodyBuffer> = (0..4).map(|_| BodyBuffer::new(&memory)).collect();
        let mut taken = Vec::new();
        for (index, len, is_extended) in steps {
            let buffer = &mut buffers[index];
            let before = buffer.to_vec();
            if is_extended {
                let result = buffer.extend(&vec![index as u8; len], usize::MAX);
                prop_assert_eq!(buffer.len(), before.len() + if result.is_ok() { len } else { 0 });
            } else {
                let len = len.min(before.len());
                if let Ok(front) = buffer.take_front(len) {
                    prop_assert_eq!(&front[..], &before[..len]);
                    taken.push(front);
                }
            }
            let held: usize = buffers.iter().map(|buffer| buffer.len()).sum::<usize>()
                + taken.iter().map(Bytes::len).sum::<usize>();
            prop_assert!(memory.used() >= held && memory.used() <= 100_000);
            if taken.len() > 3 {
                taken.remove(0);
            }
        }
        drop((buffers, taken));
        prop_assert_eq!(memory.used(), 0);
    }
}
