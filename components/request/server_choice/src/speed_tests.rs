//! Tests of finding slow servers. Pattern: some of a hundred servers turn several times slower for
//! some seconds, and no health check shows it.

use std::time::{Duration, Instant};

use crate::tests::choose_server;
use crate::{Candidate, PaceBoard, PaceMeter};

const INSTANCES: usize = 50;
const SERVERS: u32 = 40;

struct Fleet {
    meters: Vec<PaceMeter<u32, u32>>,
    board: PaceBoard<u32>,
    now: Instant,
    calls: u32,
}

impl Fleet {
    fn new() -> Self {
        let meters = (0..INSTANCES).map(|_| PaceMeter::default()).collect();
        Self { meters, board: PaceBoard::default(), now: Instant::now(), calls: 0 }
    }

    /// Plays some seconds in which each server gets `per_server` calls a second.
    fn run(&mut self, seconds: u32, per_server: u32, step_ms: impl Fn(u32, u32, u32) -> f64) {
        for _ in 0..seconds * 5 {
            for call in 0..SERVERS * per_server / 5 {
                self.calls += 1;
                let (server, model) = (call % SERVERS, self.calls % 3);
                // Models differ in pace.
                let ms = step_ms(server, model, self.calls) * f64::from(model + 1);
                let meter = &mut self.meters[(self.calls * 7) as usize % INSTANCES];
                meter.record(server, model, Duration::from_secs_f64(ms / 1e3));
            }
            self.now += Duration::from_millis(200);
            for meter in &mut self.meters {
                for (server, sum) in meter.take() {
                    self.board.add(server, sum, self.now);
                }
            }
        }
    }

    fn slow(&mut self) -> Vec<u32> {
        let mut slow: Vec<u32> = self.board.slow(self.now).into_iter().map(|(s, _)| s).collect();
        slow.sort_unstable();
        slow
    }
}

fn noise(n: u32) -> f64 {
    1.0 + f64::from(n * 37 % 11) / 20.0
}

/// Guards against a slow server that keeps its full share, and against one that stays without
/// requests after it has recovered.
#[test]
fn slow_servers_are_found_and_their_recovery_is_noticed() {
    let mut fleet = Fleet::new();
    fleet.run(10, 10, |_, _, n| 35.0 * noise(n));
    assert_eq!(fleet.slow(), Vec::<u32>::new());
    let slow = |server: u32, _: u32, n: u32| {
        35.0 * noise(n) * if server.is_multiple_of(8) { 4.0 } else { 1.0 }
    };
    fleet.run(3, 10, slow);
    assert_eq!(fleet.slow(), [0, 8, 16, 24, 32]);
    fleet.run(10, 10, slow);
    assert_eq!(fleet.slow(), [0, 8, 16, 24, 32]);
    fleet.run(5, 10, |_, _, n| 35.0 * noise(n));
    assert_eq!(fleet.slow(), Vec::<u32>::new());
}

/// Guards against taking a server for slow that reads long prompts between its steps, pauses once,
/// or serves a large model.
#[test]
fn busy_servers_are_not_slow() {
    let mut fleet = Fleet::new();
    fleet.run(20, 10, |server, model, n| {
        let prompts = if server < 4 { 1.6 } else { 1.0 };
        let pause = if server == 9 && n % 97 == 0 { 40.0 } else { 1.0 };
        35.0 * noise(n) * prompts * pause * if model == 2 { 3.0 } else { 1.0 }
    });
    assert_eq!(fleet.slow(), Vec::<u32>::new());
}

/// Guards against a server that counts as slow for good because nobody uses it any more.
#[test]
fn a_server_without_requests_is_tried_again() {
    let mut fleet = Fleet::new();
    fleet.run(5, 10, |_, _, n| 35.0 * noise(n));
    fleet.run(5, 10, |server, _, n| 35.0 * noise(n) * if server == 3 { 5.0 } else { 1.0 });
    assert_eq!(fleet.slow(), [3]);
    fleet.now += Duration::from_secs(15);
    assert_eq!(fleet.slow(), Vec::<u32>::new());
}

/// Guards against requests that go to a slow server although a usual one has room, and against
/// avoiding it when the others are full.
#[test]
fn requests_go_to_servers_in_proportion_to_what_they_can_do() {
    let candidate = |id, in_flight, slowness| Candidate {
        id,
        is_local: true,
        in_flight,
        slots: 12,
        failures: 0.0,
        slowness,
        reading: 0.0,
    };
    let light = [candidate("a", 0, 4.0), candidate("b", 6, 1.0)];
    assert_eq!(choose_server(&light, None, 0.5), Some(1));
    let full = [candidate("a", 0, 4.0), candidate("b", 14, 1.0)];
    assert_eq!(choose_server(&full, None, 0.5), Some(0));
}
