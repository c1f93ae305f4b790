//! Tests of `PeerClient` and `serve` over loopback connections.

use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use types::prelude::*;

use crate::{Frame, PeerClient, PeerError, serve};

fn test_deadline() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

async fn start_server(tx: mpsc::Sender<crate::IncomingFrame>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve(listener, tx, std::future::pending()));
    address
}

// Guards against delivering a reply to the wrong one of several concurrent exchanges.
#[rstest]
#[tokio::test]
async fn concurrent_exchanges_get_their_own_replies() {
    let (tx, mut rx) = mpsc::channel(16);
    let address = start_server(tx).await;
    tokio::spawn(async move {
        let mut pending = Vec::new();
        while let Some(incoming) = rx.recv().await {
            pending.push(incoming);
            if pending.len() == 4 {
                for incoming in pending.drain(..).rev() {
                    let number: u64 = incoming.frame.decode().unwrap();
                    let reply = Frame::encode("b", 2, &(number * 10)).unwrap();
                    incoming.reply.send(reply).unwrap();
                }
            }
        }
    });
    let client = PeerClient::new();
    let exchange = async |number: u64| {
        let frame = Frame::encode("a", 1, &number).unwrap();
        let reply = client.exchange(&address, frame, test_deadline()).await.unwrap();
        reply.decode::<u64>().unwrap()
    };
    let replies = tokio::join!(exchange(1), exchange(2), exchange(3), exchange(4));
    assert_eq!(replies, (10, 20, 30, 40));
}

// Guards against waiting forever for an instance that does not reply.
#[rstest]
#[tokio::test]
async fn an_exchange_ends_at_its_deadline() {
    let (tx, _rx) = mpsc::channel(16);
    let address = start_server(tx).await;
    let client = PeerClient::new();
    let frame = Frame::encode("a", 1, &1_u64).unwrap();
    let deadline = Instant::now() + Duration::from_millis(50);
    let outcome = client.exchange(&address, frame, deadline).await;
    assert!(matches!(outcome, Err(PeerError::DeadlinePassed)));
}

// Guards against a full queue that blocks senders instead of returning an error.
#[rstest]
#[tokio::test]
async fn a_full_queue_refuses_at_once() {
    let (tx, _rx) = mpsc::channel(1);
    let address = start_server(tx.clone()).await;
    let (reply, _reply_rx) = tokio::sync::oneshot::channel();
    let frame = Frame::encode("a", 1, &1_u64).unwrap();
    tx.try_send(crate::IncomingFrame { frame: frame.clone(), reply }).unwrap();
    let outcome = PeerClient::new().exchange(&address, frame, test_deadline()).await;
    assert!(matches!(outcome, Err(PeerError::Status(_))));
}

// Guards against accepting a truncated payload as a message.
#[test]
fn a_truncated_payload_is_an_error() {
    let mut frame = Frame::encode("a", 1, &(7_u64, "text")).unwrap();
    frame.payload.pop();
    assert!(matches!(frame.decode::<(u64, String)>(), Err(PeerError::Codec(_))));
}
