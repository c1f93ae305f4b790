//! Circuit breakers of backend servers.

use rand::Rng;
use types::prelude::*;

/// How a call to a backend server ended, as far as the server's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The server answered as it should; refusals of malformed requests count as well.
    Good,
    /// Connection failure, broken answer, time-out or overload status.
    Bad,
    /// The call ended without saying anything about the server, for example by cancellation.
    Void,
}

/// Circuit breakers of all backend servers.
#[derive(Debug, Default)]
pub struct Breakers {}

impl Breakers {
    /// All closed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a call may be sent now; if so it must be followed by one `record`.
    pub fn admit(&mut self, _server: &str, _now: Instant) -> bool {
        true
    }

    /// Records how a call ended. If the breaker opens, returns until when; the router is to
    /// exclude the server until then.
    pub fn record(
        &mut self,
        _server: &str,
        _result: CallResult,
        _now: Instant,
        _rng: &mut impl Rng,
    ) -> Option<Instant> {
        None
    }

    /// Drops the state of servers that no longer exist.
    pub fn retain(&mut self, _exists: impl Fn(&str) -> bool) {}
}
