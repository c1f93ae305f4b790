use front::Reply;
use http::StatusCode;
use tokio::sync::oneshot;
use types::prelude::*;

use crate::held_reply::{CallOutcome, HeldReply};
use crate::pending::ReplySlot;

fn held_reply(hold_for: Duration) -> (HeldReply, oneshot::Receiver<Reply>) {
    let (tx, rx) = oneshot::channel();
    let now = tokio::time::Instant::now().into_std();
    let outcome = CallOutcome::Answer {
        status: StatusCode::OK,
        content_type: "text/plain".into(),
        body: "done".into(),
    };
    (HeldReply::new(ReplySlot::Unused(tx), outcome, now + hold_for, now), rx)
}

// Guards against a caller that gets its reply, and may retry the call, before the owner of the key
// knows how the call ended.
#[tokio::test(start_paused = true)]
async fn the_reply_is_sent_after_the_owner_knows() {
    let (reply, mut rx) = held_reply(Duration::from_secs(60));
    let (owner_tx, owner_rx) = oneshot::channel::<()>();
    let task = tokio::spawn(async move { HeldReply::send_after(Some(reply), owner_rx).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(rx.try_recv().is_err(), "the owner does not know yet");
    owner_tx.send(()).expect("the task waits");
    assert!(task.await.expect("the task ends").is_ok());
    assert!(matches!(rx.try_recv(), Ok(Reply::Complete { .. })));
}

// Guards against a reply that waits without a bound for an owner that is unreachable.
#[tokio::test(start_paused = true)]
async fn an_unreachable_owner_delays_the_reply_for_a_bounded_time() {
    for (hold_for, max_ms) in [(60_000, 250), (40, 40)] {
        let (reply, rx) = held_reply(Duration::from_millis(hold_for));
        let start = tokio::time::Instant::now();
        tokio::spawn(HeldReply::send_after(Some(reply), std::future::pending::<()>()));
        assert!(matches!(rx.await, Ok(Reply::Complete { .. })));
        assert!(start.elapsed() <= Duration::from_millis(max_ms + 5), "{:?}", start.elapsed());
    }
}
