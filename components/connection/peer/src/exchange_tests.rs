//! Exchanges over real connections on loopback.

use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use types::prelude::*;

use crate::{Frame, PeerClient, PeerError, serve};

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

async fn start(tx: mpsc::Sender<crate::IncomingFrame>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve(listener, tx, std::future::pending()));
    address
}

// Guards against answers that reach another exchange than their own.
#[rstest]
#[tokio::test]
async fn concurrent_exchanges_get_their_own_answers() {
    let (tx, mut rx) = mpsc::channel(16);
    let address = start(tx).await;
    tokio::spawn(async move {
        let mut held = Vec::new();
        while let Some(incoming) = rx.recv().await {
            held.push(incoming);
            if held.len() == 4 {
                for incoming in held.drain(..).rev() {
                    let number: u64 = incoming.frame.decode().unwrap();
                    let answer = Frame::encode("b", 2, &(number * 10)).unwrap();
                    incoming.reply.send(answer).unwrap();
                }
            }
        }
    });
    let client = PeerClient::new();
    let ask = async |number: u64| {
        let frame = Frame::encode("a", 1, &number).unwrap();
        let answer = client.exchange(&address, frame, soon()).await.unwrap();
        answer.decode::<u64>().unwrap()
    };
    let answers = tokio::join!(ask(1), ask(2), ask(3), ask(4));
    assert_eq!(answers, (10, 20, 30, 40));
}

// Guards against an exchange that waits for ever for an instance that does not answer.
#[rstest]
#[tokio::test]
async fn an_exchange_ends_at_its_deadline() {
    let (tx, _rx) = mpsc::channel(16);
    let address = start(tx).await;
    let client = PeerClient::new();
    let frame = Frame::encode("a", 1, &1_u64).unwrap();
    let deadline = Instant::now() + Duration::from_millis(50);
    let outcome = client.exchange(&address, frame, deadline).await;
    assert!(matches!(outcome, Err(PeerError::DeadlinePassed)));
}

// Guards against a full queue that blocks senders instead of making them back off.
#[rstest]
#[tokio::test]
async fn a_full_queue_refuses_at_once() {
    let (tx, _rx) = mpsc::channel(1);
    let address = start(tx.clone()).await;
    let (reply, _answer) = tokio::sync::oneshot::channel();
    let frame = Frame::encode("a", 1, &1_u64).unwrap();
    tx.try_send(crate::IncomingFrame { frame: frame.clone(), reply }).unwrap();
    let outcome = PeerClient::new().exchange(&address, frame, soon()).await;
    assert!(matches!(outcome, Err(PeerError::Status(_))));
}

// Guards against a malformed payload that is taken for a message.
#[test]
fn a_truncated_payload_is_an_error() {
    let mut frame = Frame::encode("a", 1, &(7_u64, "text")).unwrap();
    frame.payload.pop();
    assert!(matches!(frame.decode::<(u64, String)>(), Err(PeerError::Codec(_))));
}
