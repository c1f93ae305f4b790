//! Circuit breakers of backend servers.

use rand::Rng;
use types::prelude::*;

/// Failures in a row that open a breaker.
const OPEN_AFTER: u32 = 5;
/// Calls over which the failure rate is taken.
const RECENT_CALLS: u32 = 20;
/// Failures among the recent calls that open a breaker.
const OPEN_AT: u32 = RECENT_CALLS / 2;
/// Shortest time that a breaker stays open, before jitter.
const OPEN_BASE: Duration = Duration::from_millis(500);
/// Longest time that a breaker stays open, before jitter.
const OPEN_LONGEST: Duration = Duration::from_secs(30);
/// Good calls on probation that close a breaker.
const CLOSE_AFTER: u32 = 8;

/// How a call to a backend server ended, as far as the server's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The server answered as it should; refusals of malformed requests count as well.
    Success,
    /// Connection failure, broken answer, time-out or overload status.
    Failure,
    /// The call ended without saying anything about the server, for example by cancellation.
    Inconclusive,
}

/// Permission for one call. Each must be given back to [`CircuitBreakers::record`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    server: BackendServerId,
    /// Results of calls admitted before the state changed say nothing about the state after it.
    generation: u64,
}

/// Circuit breakers of all backend servers.
#[derive(Debug, Default)]
pub struct CircuitBreakers {
    servers: HashMap<BackendServerId, Breaker>,
    generations: u64,
}

#[derive(Debug)]
struct Breaker {
    state: State,
    generation: u64,
    /// Openings since the breaker was last closed.
    openings: u32,
}

#[derive(Debug)]
enum State {
    /// All calls pass. One bit for each recent call, set for a failure.
    Closed { recent: u32 },
    /// No calls pass.
    Open { until: Instant },
    /// As many calls pass at one time as were good, plus one.
    Probation { running: u32, good: u32 },
}

impl CircuitBreakers {
    /// All closed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Permission to send a call now, if the server is to get any.
    pub fn admit(&mut self, server: &str, now: Instant) -> Option<Permit> {
        let Some(breaker) = self.servers.get_mut(server) else {
            return Some(Permit { server: server.into(), generation: 0 });
        };
        if let State::Open { until } = breaker.state {
            if now < until {
                return None;
            }
            self.generations += 1;
            breaker.generation = self.generations;
            breaker.state = State::Probation { running: 0, good: 0 };
        }
        if let State::Probation { running, good } = &mut breaker.state {
            if *running > *good {
                return None;
            }
            *running += 1;
        }
        Some(Permit { server: server.into(), generation: breaker.generation })
    }

    /// Records how a call ended. If the breaker opens, returns until when; the router is to
    /// exclude the server until then.
    pub fn record(
        &mut self,
        permit: Permit,
        result: CallResult,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Instant> {
        if !self.servers.contains_key(&permit.server) {
            if result != CallResult::Failure || permit.generation != 0 {
                return None;
            }
            let closed = State::Closed { recent: 0 };
            let breaker = Breaker { state: closed, generation: 0, openings: 0 };
            self.servers.insert(permit.server.clone(), breaker);
        }
        let breaker = self.servers.get_mut(&permit.server)?;
        if breaker.generation != permit.generation {
            return None;
        }
        let opens = match &mut breaker.state {
            State::Open { .. } => false,
            State::Closed { recent } => note(recent, result),
            State::Probation { running, good } => {
                *running = running.saturating_sub(1);
                *good += u32::from(result == CallResult::Success);
                if *good >= CLOSE_AFTER {
                    breaker.state = State::Closed { recent: 0 };
                    breaker.openings = 0;
                }
                result == CallResult::Failure
            }
        };
        if !opens {
            return None;
        }
        let until = now + backoff::delay(OPEN_BASE, OPEN_LONGEST, breaker.openings, rng);
        breaker.state = State::Open { until };
        breaker.openings += 1;
        self.generations += 1;
        breaker.generation = self.generations;
        Some(until)
    }

    /// Drops the state of servers that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| exists(server));
    }
}

/// Notes a call in the bits of recent ones and says whether the breaker must open.
fn note(recent: &mut u32, result: CallResult) -> bool {
    if result == CallResult::Inconclusive {
        return false;
    }
    let kept = (1 << RECENT_CALLS) - 1;
    *recent = ((*recent << 1) | u32::from(result == CallResult::Failure)) & kept;
    recent.trailing_ones() >= OPEN_AFTER || recent.count_ones() >= OPEN_AT
}
