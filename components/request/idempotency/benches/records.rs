//! Measures writes, stored bytes, wait times and recovery time of one key range in virtual time.

use std::error::Error;
use std::sync::Arc;

use hdrhistogram::Histogram;
use idempotency::*;
use types::prelude::*;

/// Claims per second on one range: 1 for the present ledger, 19 for the target scale spread over
/// 32 ranges, and 100.
const CLAIMS_PER_SECOND: [u64; 3] = [1, 19, 100];
/// Virtual duration of one run.
const RUN_TIME: Duration = Duration::from_secs(600);
/// Time from a write to the platform's answer.
const PLATFORM_LATENCY_MS: u64 = 5;
/// Time from the grant of a call to its outcome.
const CALL_DURATION_MS: u64 = 200;
const ANSWER_BYTES: usize = 300;

#[derive(Default)]
struct Totals {
    writes: u64,
    bytes: u64,
    segments: BTreeMap<u64, (ObjectVersion, Segment)>,
}

fn main() -> Result<(), Box<dyn Error>> {
    for rate in CLAIMS_PER_SECOND {
        let mut waits = Histogram::<u64>::new(3)?;
        let totals = run(rate, &mut waits)?;
        let seconds = RUN_TIME.as_secs();
        let keys = rate * seconds;
        let stored = serde_json::to_vec(&totals.segments)?.len() as u64;
        let segments = totals.segments.len();
        let (writes, bytes) = (totals.writes, totals.bytes);
        let (decoded, recovered) = recovery_ms(totals)?;
        println!(
            "{rate} claims/s: {:.2} writes/s, {} bytes/s written, wait mean {:.0} ms p99 {} ms, \
             {} segments, {} bytes stored per key, decoded in {:.0} ms, recovered in {:.0} ms",
            writes as f64 / seconds as f64,
            bytes / seconds,
            waits.mean(),
            waits.value_at_quantile(0.99),
            segments,
            stored / keys,
            decoded,
            recovered,
        );
    }
    Ok(())
}

fn run(rate: u64, waits: &mut Histogram<u64>) -> Result<Totals, Box<dyn Error>> {
    let (start, wall) = (Instant::now(), SystemTime::now());
    let mut range = KeyRange::new(0, 1);
    let mut totals = Totals::default();
    let mut in_flight: Option<(Write, u64)> = None;
    let mut claimed_at: HashMap<Token, u64> = HashMap::new();
    let mut calls: VecDeque<(u64, Token, ClaimId)> = VecDeque::new();
    let answer = Answer {
        status: 200,
        content_type: "application/json".into(),
        body: "x".repeat(ANSWER_BYTES).into(),
    };
    let answer = Arc::new(answer);
    for at in 0..RUN_TIME.as_millis() as u64 {
        let now = start + Duration::from_millis(at);
        if at % (1_000 / rate) == 0 {
            claimed_at.insert(at, at);
            range.claim(claim(at, now, wall), now, wall);
        }
        while let Some((_, token, id)) = calls.pop_front_if(|(end, ..)| *end <= at) {
            range.finish(&key(token), id, EntryState::Finished(answer.clone()));
        }
        let mut decisions = Vec::new();
        if let Some((write, _)) = in_flight.take_if(|(_, end)| *end <= at) {
            totals.writes += 1;
            totals.bytes += serde_json::to_vec(&write.segment)?.len() as u64;
            totals.segments.insert(write.segment.number, (totals.writes, write.segment));
            decisions = range.on_written(WriteResult::Written(totals.writes), now);
        }
        match range.poll(at, now, wall) {
            Some(Action::Recover) => decisions.extend(range.recover(Ok(Vec::new()), now, wall)),
            Some(Action::Write(write)) => in_flight = Some((*write, at + PLATFORM_LATENCY_MS)),
            _ => {}
        }
        for decision in decisions {
            if let Decision::Granted(token, id) = decision {
                waits.record(at - claimed_at.remove(&token).unwrap_or(at))?;
                calls.push_back((at + CALL_DURATION_MS, token, id));
            }
        }
    }
    Ok(totals)
}

/// Milliseconds that a new owner needs to decode all segments and to recover from them.
fn recovery_ms(totals: Totals) -> Result<(f64, f64), Box<dyn Error>> {
    let stored: Vec<_> = totals.segments.into_values().collect();
    let text = serde_json::to_vec(&stored)?;
    let start = Instant::now();
    let stored = serde_json::from_slice(&text)?;
    let decoded = start.elapsed();
    KeyRange::new(0, 2).recover(Ok(stored), start, SystemTime::now());
    let recovered = start.elapsed() - decoded;
    Ok((decoded.as_secs_f64() * 1e3, recovered.as_secs_f64() * 1e3))
}

fn key(token: Token) -> KeyHash {
    KeyHash::new("client_account", &token.to_string())
}

fn claim(token: Token, now: Instant, wall: SystemTime) -> Claim {
    Claim {
        token,
        key: key(token),
        fingerprint: Fingerprint::new("POST", "/withdrawals", &token.to_le_bytes()),
        expires_at: wall + RETENTION,
        decide_by: now + Duration::from_secs(2),
    }
}
