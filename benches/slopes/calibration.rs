//! Measures what the simulation leaves out: processor time and memory of real connections, on
//! loopback.

use std::time::{Duration, Instant};

use body_memory::BodyMemory;
use peer::{Frame, IncomingFrame, PeerClient};
use platform::{Call, Client, ClientConfig, Rate, Rates};
use serde::{Deserialize, Serialize};
use stand_ins::platform::{Platform, PlatformConfig};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use types::object::{Condition, ObjectKey};

use crate::process_usage::{processor_time, resident_bytes};

/// Number of exchanges, and of calls, that are measured.
const CALLS: u32 = 8_000;
/// Number of exchanges or calls in flight.
const CONCURRENCY: u32 = 8;
/// Size of one message or value.
const PAYLOAD_BYTES: usize = 1_500;
/// Number of other instances in a data centre at the target scale.
const PEERS: usize = 39;

/// Costs of both ends together. An instance receives as many messages as it sends on average, so
/// the cost of both ends is what an instance spends per sent message. For platform calls and
/// reports the figure is too high, because the other end runs elsewhere.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Costs {
    /// Processor seconds of one exchange between instances.
    pub(crate) exchange: f64,
    /// Processor seconds of one call to the platform or a backend server.
    pub(crate) call: f64,
    /// Memory of the connections to all other instances of a data centre.
    pub(crate) connections_bytes: u64,
}

/// Measures the costs.
pub(crate) async fn measure() -> Costs {
    let call = measure_platform_call().await;
    let connections_bytes = measure_connections().await;
    Costs { exchange: measure_exchange().await, call, connections_bytes }
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

/// Starts a server that answers every message.
async fn answering_server() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback is available");
    let address = listener.local_addr().expect("a bound address").to_string();
    let (tx, mut rx) = mpsc::channel::<IncomingFrame>(64);
    tokio::spawn(async move {
        let _ = peer::serve(listener, tx, std::future::pending()).await;
    });
    tokio::spawn(async move {
        while let Some(IncomingFrame { reply, .. }) = rx.recv().await {
            let answer = Frame::encode("instance-000", 1, &()).expect("units encode");
            let _ = reply.send(answer);
        }
    });
    address
}

fn frame() -> Frame {
    let payload = vec![7_u8; PAYLOAD_BYTES];
    Frame { instance: "instance-001".into(), incarnation: 1, payload }
}

async fn measure_exchange() -> f64 {
    let address = answering_server().await;
    let client = PeerClient::new();
    let warm = client.exchange(&address, frame(), deadline()).await;
    assert!(warm.is_ok(), "exchange failed: {:?}", warm.err());
    let began = processor_time();
    for _ in 0..CALLS / CONCURRENCY {
        let exchanges = (0..CONCURRENCY).map(|_| client.exchange(&address, frame(), deadline()));
        futures_util::future::join_all(exchanges).await;
    }
    (processor_time() - began).as_secs_f64() / f64::from(CALLS)
}

async fn measure_connections() -> u64 {
    let mut addresses = Vec::new();
    for _ in 0..PEERS {
        addresses.push(answering_server().await);
    }
    let client = PeerClient::new();
    let before = resident_bytes();
    for address in &addresses {
        for _ in 0..3 {
            let sent = client.exchange(address, frame(), deadline()).await;
            assert!(sent.is_ok(), "exchange failed: {:?}", sent.err());
        }
    }
    resident_bytes().saturating_sub(before)
}

async fn measure_platform_call() -> f64 {
    let platform = Platform::start(PlatformConfig::default()).await.expect("loopback is available");
    let rate = Rate { per_second: 1e9, burst: 1e9 };
    let client = Client::new(&ClientConfig {
        addresses: [platform.address()].into(),
        instance: "instance-001".into(),
        rates: Rates { reads: rate, writes: rate },
        seed: 1,
        memory: BodyMemory::default(),
    });
    let key = ObjectKey::new("group", "g");
    let value = "x".repeat(PAYLOAD_BYTES);
    client.write(&key, Condition::Absent, &value, Call::with_deadline(deadline())).await;
    let began = processor_time();
    for _ in 0..CALLS / CONCURRENCY {
        let reads =
            (0..CONCURRENCY).map(|_| client.get::<String>(&key, Call::with_deadline(deadline())));
        futures_util::future::join_all(reads).await;
    }
    (processor_time() - began).as_secs_f64() / f64::from(CALLS)
}
