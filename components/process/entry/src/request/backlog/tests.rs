//! Load: callers that take their streams slowly, or not at all.

use tokio::sync::mpsc::error::TryRecvError;

use super::*;

/// Takes what the caller gets without waiting.
fn receive(rx: &mut mpsc::Receiver<Piece>) -> Option<Vec<u8>> {
    match rx.try_recv() {
        Ok(piece) => piece.ok()?.into_data().ok().map(Into::into),
        Err(TryRecvError::Empty | TryRecvError::Disconnected) => None,
    }
}

/// Guards against a caller that does not read and holds its server back, and against bytes that are
/// lost or change places while they wait.
#[tokio::test]
async fn stream_goes_on_while_its_caller_does_not_read() {
    let memory = BodyMemory::with_limit(1 << 20);
    let (mut backlog, mut rx) = Backlog::new(&memory);
    let mut sent = Vec::new();
    for n in 0..1_000_u32 {
        let data = format!("data: {n}\n\n").into_bytes();
        sent.extend_from_slice(&data);
        assert!(backlog.push(data.into()).is_ok());
    }
    assert!(memory.used() < 64 << 10);
    let mut taken = Vec::new();
    while let Some(data) = receive(&mut rx) {
        taken.extend(data);
    }
    // The rest comes as the caller takes it.
    backlog.advance().await.unwrap();
    taken.extend(receive(&mut rx).unwrap());
    assert_eq!(taken, sent);
    assert!(backlog.finish().await.is_ok());
    assert_eq!(memory.used(), 0);
}

/// Guards against streams that are not read and take the memory which the bodies of requests need.
#[test]
fn backlogs_leave_half_of_the_memory_to_others() {
    let memory = BodyMemory::with_limit(1 << 20);
    let mut backlogs: Vec<_> = (0..10).map(|_| Backlog::new(&memory)).collect();
    let mut refused = 0;
    for _ in 0..500 {
        for (backlog, _) in &mut backlogs {
            refused += usize::from(backlog.push(Bytes::from_static(&[b'x'; 1_000])).is_err());
        }
    }
    assert!(refused > 0);
    // A buffer that grows may double.
    assert!(memory.used() <= (1 << 20) / 4 * 3, "{}", memory.used());
    assert!(BodyBuffer::copy_of(&[b'x'; 100_000], &memory).is_ok());
}

/// Guards against a stream that finds no memory and then stands still although its caller reads.
#[tokio::test]
async fn refused_data_goes_on_when_the_caller_reads() {
    let memory = BodyMemory::with_limit(1_000);
    let (mut backlog, mut rx) = Backlog::new(&memory);
    for _ in 0..MAX_PIECES {
        assert!(backlog.push(Bytes::from_static(b"first")).is_ok());
    }
    let data = backlog.push(Bytes::from(vec![b'x'; 600])).unwrap_err();
    assert!(receive(&mut rx).is_some());
    backlog.wait_for_room().await.unwrap();
    assert!(backlog.push(data).is_ok());
    drop(rx);
    assert_eq!(backlog.advance().await, Err(CallerLeft));
}
