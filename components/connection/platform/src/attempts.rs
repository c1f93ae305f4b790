//! Sends single attempts of calls, limited by the call budget, to the current platform address.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use body_memory::BodyMemory;
use bytes::Bytes;
use http::{Method, Response, StatusCode};
use hyper::body::Incoming;
use rand::SeedableRng;
use rand::rngs::StdRng;
use types::object::{CallPriority, Condition};
use types::prelude::*;

use crate::Error;
use crate::budget::{Admission, Budget, Rates};
use crate::transport::{BufferedResponse, Exchange, Transport};

/// Shortest timeout of one attempt of a call that may be retried.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(50);

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Addresses of the platform, at least one. All of them serve the same objects; after a call
    /// fails at one address, the next attempt goes to the following one.
    pub addresses: Box<[SocketAddr]>,
    /// Name of the instance, sent to the platform in a header of each call.
    pub instance: InstanceId,
    /// Call budget of the instance.
    pub rates: Rates,
    /// Seed of the random jitter of the backoff.
    pub seed: u64,
    /// Memory for the bodies of responses.
    pub memory: BodyMemory,
}

/// Deadline and priority of one call.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Time by which the call ends, with or without a response.
    pub deadline: Instant,
    /// Priority in the call budget; lease calls are admitted before others.
    pub priority: CallPriority,
}

impl Call {
    /// Returns the options of a call with normal priority.
    pub fn with_deadline(deadline: Instant) -> Self {
        Self { deadline, priority: CallPriority::Normal }
    }

    /// Returns the options of a lease renewal, which has lease priority.
    pub fn lease_with_deadline(deadline: Instant) -> Self {
        Self { deadline, priority: CallPriority::Lease }
    }
}

/// Sends the calls of one instance without retries. Clones share connections, call budget and
/// current address.
#[derive(Clone)]
pub(crate) struct AttemptSender {
    transport: Transport,
    state: Arc<Mutex<State>>,
}

struct State {
    budget: Budget,
    rng: StdRng,
    /// Addresses that serve the same object API; the first one is the current address.
    addresses: VecDeque<SocketAddr>,
    /// Addresses to which the client sent a call or tried to connect.
    attempted: BTreeSet<SocketAddr>,
}

/// Share of the time until the deadline that one attempt may take.
#[derive(Clone, Copy)]
pub(crate) enum AttemptTimeout {
    /// All of the remaining time.
    Full,
    /// Half of the remaining time, which leaves time to retry or to read the object back.
    Half,
}

impl AttemptTimeout {
    fn attempt_deadline(self, deadline: Instant) -> Instant {
        let now = now();
        match self {
            Self::Full => deadline,
            Self::Half => {
                let half = deadline.saturating_duration_since(now) / 2;
                (now + half.max(MIN_ATTEMPT_TIMEOUT)).min(deadline)
            }
        }
    }
}

/// Returns the current time of the tokio clock, which tests may pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Returns true if the status means that the platform was overloaded or faulty, rather than
/// saying something about the object.
pub(crate) fn is_failure(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}

impl AttemptSender {
    pub(crate) fn new(cfg: &ClientConfig) -> Self {
        let transport = Transport::new(&cfg.instance, &cfg.memory);
        let budget = Budget::new(now(), cfg.rates);
        let rng = StdRng::seed_from_u64(cfg.seed);
        let addresses = cfg.addresses.iter().copied().collect();
        Self {
            transport,
            state: Arc::new(Mutex::new(State {
                budget,
                rng,
                addresses,
                attempted: BTreeSet::new(),
            })),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_rates(&self, rates: Rates) {
        self.state().budget.set_rates(now(), rates);
    }

    pub(crate) fn set_max_backoff(&self, delay: Duration) {
        self.state().budget.set_max_backoff(delay);
    }

    pub(crate) fn is_failing(&self) -> bool {
        self.state().budget.is_failing()
    }

    pub(crate) fn attempted_addresses(&self) -> Vec<SocketAddr> {
        self.state().attempted.iter().copied().collect()
    }

    /// Waits until the budget admits the call and makes one attempt. Fails at once if the budget
    /// does not admit it before the deadline.
    pub(crate) async fn attempt(
        &self,
        method: Method,
        path: &str,
        condition: Option<Condition>,
        body: Bytes,
        call: Call,
        timeout: AttemptTimeout,
    ) -> Result<Exchange<BufferedResponse>, Error> {
        let address = self.wait_for_admission(method != Method::GET, call).await?;
        let attempt_deadline = timeout.attempt_deadline(call.deadline);
        let exchange =
            self.transport.exchange(address, method, path, condition, body, attempt_deadline).await;
        self.record_result(address, exchange.response().map(|res| res.status));
        Ok(exchange)
    }

    /// Waits until the budget admits a read, sends it and waits for the head of the response.
    pub(crate) async fn attempt_streamed_read(
        &self,
        path: &str,
        call: Call,
    ) -> Result<Exchange<Response<Incoming>>, Error> {
        let address = self.wait_for_admission(false, call).await?;
        let attempt_deadline = AttemptTimeout::Half.attempt_deadline(call.deadline);
        let exchange = self
            .transport
            .send(address, Method::GET, path, None, Bytes::new(), attempt_deadline)
            .await;
        self.record_result(address, exchange.response().map(Response::status));
        Ok(exchange)
    }

    /// Waits until the budget admits the call and returns the address to send it to.
    async fn wait_for_admission(&self, is_write: bool, call: Call) -> Result<SocketAddr, Error> {
        loop {
            let now = now();
            if now >= call.deadline {
                return Err(Error::Unavailable);
            }
            let (admission, address) = {
                let state = &mut *self.state();
                let admission = state.budget.admit(now, is_write, call.priority);
                let address = state.addresses.front().copied();
                if matches!(admission, Admission::Admitted) {
                    state.attempted.extend(address);
                }
                (admission, address)
            };
            match admission {
                Admission::Admitted => return address.ok_or(Error::Unavailable),
                Admission::WaitUntil(at) if at >= call.deadline => return Err(Error::Unavailable),
                Admission::WaitUntil(at) => tokio::time::sleep_until(at.into()).await,
            }
        }
    }

    /// Records the result of an attempt at `address` in the budget. `status` is `None` if no
    /// response arrived. A failure at the current address switches to the next one.
    fn record_result(&self, address: SocketAddr, status: Option<StatusCode>) {
        let state = &mut *self.state();
        if !status.is_none_or(is_failure) {
            return state.budget.record_success(now());
        }
        state.budget.record_failure(now(), &mut state.rng);
        // Rate limits apply to the platform as a whole, so a call refused for its rate does not
        // switch addresses. Of several calls that fail at the same address only the first
        // switches, so that no address is skipped.
        let is_rate_limited = status == Some(StatusCode::TOO_MANY_REQUESTS);
        if !is_rate_limited
            && state.addresses.len() > 1
            && state.addresses.front() == Some(&address)
        {
            state.addresses.rotate_left(1);
            tracing::warn!(
                "platform: call to {address} failed; switching to {}",
                state.addresses[0]
            );
        }
    }
}
