use front::Reply;
use http::StatusCode;
use tokio::sync::oneshot;
use types::prelude::*;

use crate::held_reply::{End, HeldReply};
use crate::pending::ReplySlot;

fn held(hold_for: Duration) -> (HeldReply, oneshot::Receiver<Reply>) {
    let (tx, rx) = oneshot::channel();
    let now = tokio::time::Instant::now().into_std();
    let end = End::Answer {
        status: StatusCode::OK,
        content_type: "text/plain".into(),
        body: "done".into(),
    };
    (HeldReply::new(ReplySlot::Unused(tx), end, now + hold_for, now), rx)
}

// Guards against a caller that repeats its call before the owner of the key knows how it ended.
#[tokio::test(start_paused = true)]
async fn the_caller_is_told_after_the_owner() {
    let (reply, mut rx) = held(Duration::from_secs(60));
    let (owner_tx, owner_rx) = oneshot::channel::<()>();
    let task = tokio::spawn(async move { HeldReply::send_after(Some(reply), owner_rx).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(rx.try_recv().is_err(), "the owner does not know yet");
    owner_tx.send(()).expect("the task waits");
    assert!(task.await.expect("the task ends").is_ok());
    assert!(matches!(rx.try_recv(), Ok(Reply::Complete { .. })));
}

// Guards against an answer that waits for an owner that is away.
#[tokio::test(start_paused = true)]
async fn an_absent_owner_delays_the_caller_for_a_bounded_time() {
    for (hold_for, most) in [(60_000, 250), (40, 40)] {
        let (reply, rx) = held(Duration::from_millis(hold_for));
        let begin = tokio::time::Instant::now();
        tokio::spawn(HeldReply::send_after(Some(reply), std::future::pending::<()>()));
        assert!(matches!(rx.await, Ok(Reply::Complete { .. })));
        assert!(begin.elapsed() <= Duration::from_millis(most + 5), "{:?}", begin.elapsed());
    }
}
