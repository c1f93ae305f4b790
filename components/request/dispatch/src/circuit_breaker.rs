//! Circuit breakers of backend servers.

use rand::Rng;
use types::prelude::*;

/// Consecutive failures that open a breaker.
const CONSECUTIVE_FAILURES_TO_OPEN: u32 = 5;
/// Latest calls over which a breaker counts failures.
const WINDOW_CALLS: u32 = 20;
/// Failures among the latest `WINDOW_CALLS` calls that open a breaker.
const WINDOW_FAILURES_TO_OPEN: u32 = WINDOW_CALLS / 2;
/// Time that a breaker stays open the first time, before jitter; it doubles with each reopening.
const BASE_OPEN_TIME: Duration = Duration::from_millis(500);
/// Upper bound of the time that a breaker stays open, before jitter.
const MAX_OPEN_TIME: Duration = Duration::from_secs(30);
/// Successful calls that close a half-open breaker.
const SUCCESSES_TO_CLOSE: u32 = 8;

/// Result of a call to a backend server, as evidence of the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The server responded correctly. Rejecting a malformed request counts as correct.
    Success,
    /// Connection failure, broken response, timeout or overload status.
    Failure,
    /// The call says nothing about the server's health, for example because it was cancelled.
    Inconclusive,
}

/// Permission for one call. Each permit must be passed to [`CircuitBreakers::record`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    server: BackendServerId,
    /// The breaker's generation when the call was admitted. Results from an earlier generation are
    /// ignored, because they say nothing about the breaker's present state.
    generation: u64,
}

/// Circuit breakers of all backend servers.
#[derive(Debug, Default)]
pub struct CircuitBreakers {
    servers: HashMap<BackendServerId, CircuitBreaker>,
    /// Last generation number assigned to any breaker.
    last_generation: u64,
}

#[derive(Debug)]
struct CircuitBreaker {
    state: BreakerState,
    /// Changes when the breaker opens or becomes half-open.
    generation: u64,
    /// Number of times the breaker opened since it was last closed.
    openings: u32,
}

#[derive(Debug)]
enum BreakerState {
    /// All calls pass. `recent_failures` has one bit for each of the latest calls, which is set if
    /// the call failed.
    Closed { recent_failures: u32 },
    /// No calls pass before `until`.
    Open { until: Instant },
    /// At most one more call may be in flight than have succeeded in this state.
    HalfOpen { in_flight: u32, successes: u32 },
}

impl CircuitBreakers {
    /// Creates breakers that are all closed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a permit for one call, or `None` if the server's breaker rejects the call.
    pub fn admit(&mut self, server: &str, now: Instant) -> Option<Permit> {
        let Some(breaker) = self.servers.get_mut(server) else {
            return Some(Permit { server: server.into(), generation: 0 });
        };
        if let BreakerState::Open { until } = breaker.state {
            if now < until {
                return None;
            }
            self.last_generation += 1;
            breaker.generation = self.last_generation;
            breaker.state = BreakerState::HalfOpen { in_flight: 0, successes: 0 };
        }
        if let BreakerState::HalfOpen { in_flight, successes } = &mut breaker.state {
            if *in_flight > *successes {
                return None;
            }
            *in_flight += 1;
        }
        Some(Permit { server: server.into(), generation: breaker.generation })
    }

    /// Records the result of a call. If the breaker opens, returns the end of its open time; the
    /// router must exclude the server until then.
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
            let closed = BreakerState::Closed { recent_failures: 0 };
            let breaker = CircuitBreaker { state: closed, generation: 0, openings: 0 };
            self.servers.insert(permit.server.clone(), breaker);
        }
        let breaker = self.servers.get_mut(&permit.server)?;
        if breaker.generation != permit.generation {
            return None;
        }
        let must_open = match &mut breaker.state {
            BreakerState::Open { .. } => false,
            BreakerState::Closed { recent_failures } => record_recent(recent_failures, result),
            BreakerState::HalfOpen { in_flight, successes } => {
                *in_flight = in_flight.saturating_sub(1);
                *successes += u32::from(result == CallResult::Success);
                if *successes >= SUCCESSES_TO_CLOSE {
                    breaker.state = BreakerState::Closed { recent_failures: 0 };
                    breaker.openings = 0;
                }
                result == CallResult::Failure
            }
        };
        if !must_open {
            return None;
        }
        let until = now + backoff::delay(BASE_OPEN_TIME, MAX_OPEN_TIME, breaker.openings, rng);
        breaker.state = BreakerState::Open { until };
        breaker.openings += 1;
        self.last_generation += 1;
        breaker.generation = self.last_generation;
        Some(until)
    }

    /// Drops the state of servers that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| exists(server));
    }
}

/// Shifts a result into the bits of the latest calls and returns whether the breaker must open.
fn record_recent(recent_failures: &mut u32, result: CallResult) -> bool {
    if result == CallResult::Inconclusive {
        return false;
    }
    let window_mask = (1 << WINDOW_CALLS) - 1;
    *recent_failures =
        ((*recent_failures << 1) | u32::from(result == CallResult::Failure)) & window_mask;
    recent_failures.trailing_ones() >= CONSECUTIVE_FAILURES_TO_OPEN
        || recent_failures.count_ones() >= WINDOW_FAILURES_TO_OPEN
}
