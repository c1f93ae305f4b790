//! Callers that misbehave, as a fault beside the others. Ordinary requests at the same instance are
//! checked as without them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform_stand_in::Addresses;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Keeps the times of crowds apart from those of the other faults of a seed, whose plans stay as they
/// are.
const SEED_OFFSET: u64 = 0x6372_6f77_6400;
/// Mean time between the starts of two crowds.
const MEAN_INTERVAL: Duration = Duration::from_secs(3);
/// Longest time for which a crowd stays.
const MAX_DURATION: Duration = Duration::from_secs(6);
/// Connections of a crowd at each listener.
const CONNECTIONS: usize = 120;
/// Pause before a connection that was closed is made again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// A crowd at all listeners of an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crowd {
    at: Duration,
    duration: Duration,
    /// Index of the instance.
    pub(crate) instance: usize,
}

/// Returns the crowds of a seed.
pub(crate) fn plan(seed: u64, fault_duration: Duration, instances: usize) -> Vec<Crowd> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_OFFSET);
    let mut at = Duration::ZERO;
    let mut crowds = Vec::new();
    loop {
        at += MEAN_INTERVAL.mul_f64(rng.random_range(0.2..1.8));
        if at >= fault_duration {
            return crowds;
        }
        let duration = MAX_DURATION.mul_f64(rng.random_range(0.2..1.0));
        crowds.push(Crowd { at, duration, instance: rng.random_range(0..instances) });
    }
}

/// What a connection sends before it falls silent and stays open. No request is complete for a route,
/// so that no server is kept from ordinary callers.
fn sent(number: usize) -> String {
    let head = "POST /read/x HTTP/1.1\r\nhost: stand-in.example\r\n";
    match number % 6 {
        0 => String::new(),
        1 => format!("{head}x-padding: {}", "x".repeat(12_000)),
        2 => format!("{head}content-length: 60001\r\n\r\n{}", "x".repeat(60_000)),
        3 => format!("{head}transfer-encoding: chunked\r\n\r\n{}", "1\r\nx\r\n".repeat(10_000)),
        4 => {
            let fields: String = (0..90).map(|n| format!("f{n}: v\r\n")).collect();
            format!("{head}{fields}content-length: 2\r\n\r\n{{")
        }
        _ => "GET /nowhere HTTP/1.1\r\nhost: stand-in.example\r\n\r\n".repeat(1_000),
    }
}

async fn member(door: SocketAddr, number: usize) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(door).await
            && stream.write_all(sent(number).as_bytes()).await.is_ok()
        {
            // The instance may close the connection at any time; its answers are not read.
            let mut ready = stream.ready(tokio::io::Interest::READABLE).await;
            while ready.is_ok_and(|ready| !ready.is_read_closed()) {
                tokio::time::sleep(RECONNECT_PAUSE).await;
                ready = stream.ready(tokio::io::Interest::READABLE).await;
            }
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

impl Crowd {
    /// Waits for the start of the crowd, and ends it after its duration.
    pub(crate) async fn play(self, to: Addresses, started_at: Instant) {
        tokio::time::sleep_until((started_at + self.at).into()).await;
        let mut members = JoinSet::new();
        for door in [to.callers, to.readiness, to.metrics, to.peers] {
            for number in 0..CONNECTIONS {
                members.spawn(member(door, number));
            }
        }
        tokio::time::sleep(self.duration).await;
    }
}
