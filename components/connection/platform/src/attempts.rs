//! Single attempts of calls within the budget, each at the address in use.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use hyper::body::Incoming;
use rand::SeedableRng;
use rand::rngs::StdRng;
use types::object::{CallPriority, Condition};
use types::prelude::*;

use crate::Error;
use crate::budget::{Admission, Budget, Rates};
use crate::transport::{Answer, Exchange, Transport};

/// Shortest time given to one attempt of a call that may be tried again.
const MIN_ATTEMPT: Duration = Duration::from_millis(50);

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Addresses of the platform, all of the same objects; at least one. A call that fails at one
    /// is tried again at the next.
    pub addresses: Box<[SocketAddr]>,
    /// Name of the instance, which the platform sees.
    pub instance: InstanceId,
    /// Call budget of the instance.
    pub rates: Rates,
    /// Seed of the backoff's jitter.
    pub seed: u64,
}

/// Deadline and priority of one call.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// The call ends at the latest then.
    pub deadline: Instant,
    /// Whether it goes first.
    pub priority: CallPriority,
}

impl Call {
    /// An ordinary call.
    pub fn by(deadline: Instant) -> Self {
        Self { deadline, priority: CallPriority::Normal }
    }

    /// A lease renewal.
    pub fn lease_by(deadline: Instant) -> Self {
        Self { deadline, priority: CallPriority::Lease }
    }
}

/// Sends calls of one instance, one at a time and without retries. Clones share connections,
/// budget and address.
#[derive(Clone)]
pub(crate) struct Attempts {
    transport: Transport,
    shared: Arc<Mutex<Shared>>,
}

struct Shared {
    budget: Budget,
    rng: StdRng,
    /// Addresses of one and the same object API; the first one is in use.
    addresses: VecDeque<SocketAddr>,
    /// Addresses to which a call was sent, or a connection was attempted.
    tried: BTreeSet<SocketAddr>,
}

/// How much of the remaining time one attempt may take.
#[derive(Clone, Copy)]
pub(crate) enum Patience {
    /// All of it.
    Whole,
    /// Half, so that there is time to try again or to read back.
    Half,
}

impl Patience {
    fn attempt_by(self, deadline: Instant) -> Instant {
        let now = now();
        match self {
            Self::Whole => deadline,
            Self::Half => {
                let half = deadline.saturating_duration_since(now) / 2;
                (now + half.max(MIN_ATTEMPT)).min(deadline)
            }
        }
    }
}

/// The present time of the runtime, which tests may pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Whether the platform was too busy or out of order, as opposed to an answer about the object.
pub(crate) fn is_failure(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}

impl Attempts {
    pub(crate) fn new(cfg: &ClientConfig) -> Self {
        let transport = Transport::new(&cfg.instance);
        let budget = Budget::new(now(), cfg.rates);
        let rng = StdRng::seed_from_u64(cfg.seed);
        let addresses = cfg.addresses.iter().copied().collect();
        Self {
            transport,
            shared: Arc::new(Mutex::new(Shared { budget, rng, addresses, tried: BTreeSet::new() })),
        }
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_rates(&self, rates: Rates) {
        self.shared().budget.set_rates(now(), rates);
    }

    pub(crate) fn set_longest_delay(&self, delay: Duration) {
        self.shared().budget.set_longest_delay(delay);
    }

    pub(crate) fn is_failing(&self) -> bool {
        self.shared().budget.is_failing()
    }

    pub(crate) fn tried(&self) -> Vec<SocketAddr> {
        self.shared().tried.iter().copied().collect()
    }

    /// Waits for the budget and makes one attempt. Fails at once if the budget allows none before
    /// the deadline.
    pub(crate) async fn attempt(
        &self,
        method: Method,
        path: &str,
        condition: Option<Condition>,
        body: Bytes,
        call: Call,
        patience: Patience,
    ) -> Result<Exchange<Answer>, Error> {
        let address = self.admitted(method != Method::GET, call).await?;
        let attempt_by = patience.attempt_by(call.deadline);
        let exchange =
            self.transport.exchange(address, method, path, condition, body, attempt_by).await;
        self.ended(address, exchange.answer().map(|answer| answer.status));
        Ok(exchange)
    }

    /// Waits for the budget, sends a read and waits for the head of its answer.
    pub(crate) async fn open(
        &self,
        path: &str,
        call: Call,
    ) -> Result<Exchange<Response<Incoming>>, Error> {
        let address = self.admitted(false, call).await?;
        let attempt_by = Patience::Half.attempt_by(call.deadline);
        let exchange =
            self.transport.open(address, Method::GET, path, None, Bytes::new(), attempt_by).await;
        self.ended(address, exchange.answer().map(Response::status));
        Ok(exchange)
    }

    /// Waits until the budget allows the call and says where to send it.
    async fn admitted(&self, is_write: bool, call: Call) -> Result<SocketAddr, Error> {
        loop {
            let now = now();
            if now >= call.deadline {
                return Err(Error::Unavailable);
            }
            let (admission, address) = {
                let shared = &mut *self.shared();
                let admission = shared.budget.admit(now, is_write, call.priority);
                let address = shared.addresses.front().copied();
                if matches!(admission, Admission::Go) {
                    shared.tried.extend(address);
                }
                (admission, address)
            };
            match admission {
                Admission::Go => return address.ok_or(Error::Unavailable),
                Admission::Wait(at) if at >= call.deadline => return Err(Error::Unavailable),
                Admission::Wait(at) => tokio::time::sleep_until(at.into()).await,
            }
        }
    }

    /// Counts how an attempt at `address` ended; without a status, the answer did not arrive.
    fn ended(&self, address: SocketAddr, status: Option<StatusCode>) {
        let shared = &mut *self.shared();
        if !status.is_none_or(is_failure) {
            return shared.budget.succeeded(now());
        }
        shared.budget.failed(now(), &mut shared.rng);
        // Call rates count for the platform as a whole, so that a busy one is not left. Of calls
        // that failed together only the first leaves the address, so that no address is skipped.
        let is_busy = status == Some(StatusCode::TOO_MANY_REQUESTS);
        if !is_busy && shared.addresses.len() > 1 && shared.addresses.front() == Some(&address) {
            shared.addresses.rotate_left(1);
            tracing::warn!("platform: call to {address} failed; trying {}", shared.addresses[0]);
        }
    }
}
