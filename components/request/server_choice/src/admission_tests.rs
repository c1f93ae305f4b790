//! Tests of queue limits and load shedding.

use std::time::Duration;

use crate::{RunTime, in_flight_limit, queue_timeout, turn_probability};

fn run_time(ms: u64) -> RunTime {
    let mut run_time = RunTime::default();
    for _ in 0..200 {
        run_time.record(Duration::from_millis(ms));
    }
    run_time
}

/// Guards against the least urgent requests filling a server's queue.
#[test]
fn urgent_requests_have_a_higher_queue_limit() {
    let (target, run) = (Duration::from_secs(4), run_time(1_000));
    let limits: Vec<u32> = (0..4).map(|rank| in_flight_limit(16, rank, target, run)).collect();
    assert_eq!(limits, [40, 32, 20, 20]);
}

/// Guards against a queue at a server in which requests wait longer than their target.
#[test]
fn the_queue_at_a_server_is_short_enough_for_the_target() {
    for run_ms in [200, 1_500, 5_000] {
        for target_ms in [150, 500, 4_000] {
            let target = Duration::from_millis(target_ms);
            for rank in 1..4 {
                let limit = in_flight_limit(12, rank, target, run_time(run_ms));
                assert!(limit >= 12, "slots must not stay empty");
                let wait = Duration::from_millis(run_ms) * (limit - 12) / 12;
                assert!(wait <= target, "run {run_ms} ms, target {target_ms} ms: {wait:?}");
            }
        }
    }
}

/// Guards against a refusal after the target has passed, when the caller could have been told.
#[test]
fn the_least_urgent_requests_time_out_early() {
    let (target, left) = (Duration::from_millis(500), Duration::from_secs(12));
    assert_eq!(queue_timeout(2, target, left), Duration::from_millis(250));
    assert_eq!(queue_timeout(0, target, left), Duration::from_millis(350));
    assert_eq!(queue_timeout(2, target, Duration::from_millis(100)), Duration::from_millis(100));
}

/// Servers of one model, and callers of many instances who ask for it. Times are in milliseconds.
struct HotModel {
    /// Arrival times of the requests in flight, by server, in the order of their arrival there.
    in_flight: Vec<Vec<Sent>>,
    /// Arrival times of the requests that wait at an instance, and when they try again.
    waiting: Vec<(u64, u64)>,
    /// Load figures as the instances know them.
    known: (Vec<u32>, u32),
    draws: u64,
    in_time: u32,
    late: u32,
    left: u32,
    refused: u32,
    most_in_flight: usize,
}

struct Sent {
    arrived_at: u64,
    ends_at: Option<u64>,
}

const SLOTS: u32 = 12;
const RUN_MS: u64 = 1_500;
const TARGET_MS: u64 = 500;
const PATIENCE_MS: u64 = 2_000;

impl HotModel {
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        let bits = xxhash_rust::xxh3::xxh3_64(&self.draws.to_le_bytes());
        bits as f64 / u64::MAX as f64
    }

    fn step_servers(&mut self, now: u64) {
        for server in &mut self.in_flight {
            server.retain(|sent| sent.ends_at.is_none_or(|at| at > now));
            let is_over =
                |sent: &Sent| sent.ends_at.is_none() && now > sent.arrived_at + PATIENCE_MS;
            self.left += server.iter().filter(|sent| is_over(sent)).count() as u32;
            server.retain(|sent| !is_over(sent));
            for sent in server.iter_mut().take(SLOTS as usize) {
                if sent.ends_at.is_none() {
                    sent.ends_at = Some(now + RUN_MS);
                    let is_in_time = now <= sent.arrived_at + TARGET_MS;
                    *(if is_in_time { &mut self.in_time } else { &mut self.late }) += 1;
                }
            }
            self.most_in_flight = self.most_in_flight.max(server.len());
        }
    }

    fn try_send(&mut self, arrived_at: u64) -> bool {
        let target = Duration::from_millis(TARGET_MS);
        let limit = in_flight_limit(SLOTS, 1, target, run_time(RUN_MS));
        let room = self.known.0.iter().map(|known| limit.saturating_sub(*known)).sum();
        if room == 0 || self.draw() >= turn_probability(room, self.known.1) {
            return false;
        }
        let candidates: Vec<usize> =
            (0..self.known.0.len()).filter(|n| self.known.0[*n] < limit).collect();
        let server = candidates[(self.draw() * candidates.len() as f64) as usize];
        self.in_flight[server].push(Sent { arrived_at, ends_at: None });
        true
    }
}

/// Pattern: one model gets one and a half times the requests that its servers can run, at many
/// instances whose load figures are up to 0.2 s old, and callers leave after 2 s. Guards against
/// queues at the servers in which every request waits until it is late or its caller leaves
/// (alykes-stock-large, day trouble-1: of 110 requests a second for one model, 40 were answered,
/// most of them late, and 40 left their place in a queue).
#[test]
fn requests_for_an_overloaded_model_are_served_in_time_or_refused() {
    const SERVERS: usize = 4;
    const SECONDS: u64 = 30;
    let mut model = HotModel {
        in_flight: (0..SERVERS).map(|_| Vec::new()).collect(),
        waiting: Vec::new(),
        known: (vec![0; SERVERS], 0),
        draws: 0,
        in_time: 0,
        late: 0,
        left: 0,
        refused: 0,
        most_in_flight: 0,
    };
    let capacity_per_s = SERVERS as u64 * u64::from(SLOTS) * 1_000 / RUN_MS;
    let interval = 1_000 * 2 / (capacity_per_s * 3);
    for now in 0..SECONDS * 1_000 {
        model.step_servers(now);
        if now % 200 == 0 {
            let in_flight = model.in_flight.iter().map(|server| server.len() as u32).collect();
            model.known = (in_flight, model.waiting.len() as u32);
        }
        if now % interval == 0 && !model.try_send(now) {
            model.waiting.push((now, now + 200));
        }
        let mut waiting = std::mem::take(&mut model.waiting);
        waiting.retain_mut(|(arrived_at, next_try)| {
            if now < *next_try {
                return true;
            }
            *next_try = now + 200;
            if model.try_send(*arrived_at) {
                return false;
            }
            let left = Duration::from_millis(PATIENCE_MS);
            let waits = queue_timeout(1, Duration::from_millis(TARGET_MS), left).as_millis() as u64;
            let is_refused = now >= *arrived_at + waits;
            model.refused += u32::from(is_refused);
            !is_refused
        });
        model.waiting.extend(waiting);
    }
    let capacity = (capacity_per_s * SECONDS) as u32;
    let HotModel { in_time, late, left, refused, most_in_flight, .. } = model;
    let outcome = format!("{in_time} in time, {late} late, {left} left, {refused} refused");
    assert!(in_time + late > capacity * 9 / 10, "slots stay empty: {outcome}");
    assert!(in_time > capacity / 2, "{outcome}");
    assert!(left < capacity / 50, "{outcome}");
    // Another run per slot: the last request in the queue starts before its caller leaves.
    assert!(most_in_flight <= SLOTS as usize * 2, "{most_in_flight} at one server, {outcome}");
}
