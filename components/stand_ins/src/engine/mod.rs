//! Stand-in for a model engine: orders, memory accounting, batching, streams and injected faults.
//!
//! Besides the published interface it serves `GET` and `POST /stand-in/faults`,
//! `GET /stand-in/counters`, `POST /stand-in/leaving` (`{"leaving": true}`),
//! `POST /stand-in/store` (`{"slowdown": 2.0}`) and `POST /stand-in/restart`.
//!
//! The response to a request that the engine refuses before it starts carries the header
//! `x-verdict: not_run` and one of the statuses 400, 404 (no such ready replica or adapter), 422
//! (attempt id seen before) and 503. The response to a `seal` order is the report.

mod attempt;
mod config;
mod control;
mod generate;
mod orders;
mod prefix_cache;
mod report;
mod requests;
mod responses;
mod state;
mod text;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tokio::time::sleep;
use types::prelude::*;

pub use config::{EngineConfig, EngineCounters, EngineFaults};
pub use prefix_cache::{CacheEvent, CacheEventKind, CacheEvents};
pub use text::{PREFIX_BLOCK_BYTES, chat_prompt, expected_text, prefix_hashes, prompt_hash, token};

use crate::http_server;
use crate::weight_store::WeightStore;
use state::Inner;

/// Interval between attempts to rebind the address of a killed engine.
const REBIND_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of attempts to rebind the address of a killed engine.
const REBIND_ATTEMPTS: u32 = 200;

/// A running engine on loopback.
#[derive(Clone, Debug)]
pub struct Engine {
    address: SocketAddr,
    inner: Arc<Inner>,
    server: Arc<Mutex<AbortHandle>>,
}

impl Engine {
    /// Starts an engine on the current runtime. Engines that get clones of one `store` share its
    /// limits.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(cfg: EngineConfig, store: WeightStore) -> io::Result<Self> {
        let listener = http_server::bind(cfg.address).await?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner::new(cfg, store, rand::random()));
        let server = Arc::new(Mutex::new(serve(listener, &inner)));
        let engine = Self { address, inner, server };
        tokio::spawn(restart_on_request(engine.clone()));
        Ok(engine)
    }

    /// Address that the engine listens on; a restart does not change it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Name of the backend server.
    pub fn name(&self) -> &str {
        &self.inner.cfg.name
    }

    /// Builds the entry of this engine in the platform's instance list.
    pub fn listed_instance(&self, data_centre: &str, group: &str) -> ListedInstance {
        let leaving = self.inner.state().leaving_since.is_some();
        ListedInstance {
            name: self.inner.cfg.name.clone(),
            role: ListedRole::Engine,
            data_centre: data_centre.into(),
            group: group.into(),
            address: self.address.to_string().into(),
            state: if leaving { ListedState::Leaving } else { ListedState::Live },
            checks_fencing: self.inner.cfg.checks_fencing,
        }
    }

    /// The report that `GET /v1/state` returns.
    pub fn report(&self) -> ServerReport {
        report::report(&self.inner, &self.inner.state())
    }

    /// Counters so far, over all incarnations.
    pub fn counters(&self) -> EngineCounters {
        self.inner.counters()
    }

    /// Prompt hashes of the latest accepted requests, over all incarnations.
    pub fn accepted_prompt_hashes(&self) -> Vec<u64> {
        self.inner.state().accepted_prompt_hashes.iter().copied().collect()
    }

    /// Changes the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.inner.state().faults);
    }

    /// Sets or clears the leaving flag of the report.
    pub fn set_leaving(&self, leaving: bool) {
        control::set_leaving(&self.inner, leaving);
    }

    /// Handles an order as if it had arrived over HTTP and returns the status.
    pub fn handle_order(&self, order: Order) -> u16 {
        match orders::handle_order(&self.inner, order) {
            Ok(()) => 202,
            Err(error) => error.status.as_u16(),
        }
    }

    /// Closes the listener and all connections and discards everything that is loaded.
    pub fn kill(&self) {
        self.server.lock().unwrap_or_else(PoisonError::into_inner).abort();
        self.inner.reset(rand::random());
    }

    /// Starts a new incarnation on the same address. Kills the engine first if it runs.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound again.
    pub async fn restart(&self) -> io::Result<()> {
        self.kill();
        let mut attempts = 0;
        let listener = loop {
            match http_server::bind(Some(self.address)).await {
                Ok(listener) => break listener,
                // The aborted server task releases its socket only when it is next polled.
                Err(e) if attempts >= REBIND_ATTEMPTS => return Err(e),
                Err(_) => attempts += 1,
            }
            sleep(REBIND_INTERVAL).await;
        };
        *self.server.lock().unwrap_or_else(PoisonError::into_inner) = serve(listener, &self.inner);
        Ok(())
    }
}

fn serve(listener: TcpListener, inner: &Arc<Inner>) -> AbortHandle {
    let inner = inner.clone();
    http_server::spawn(listener, move |req| requests::handle(inner.clone(), req))
}

/// Restarts the engine whenever a call requests it.
async fn restart_on_request(engine: Engine) {
    loop {
        engine.inner.restart_requested.notified().await;
        if let Err(e) = engine.restart().await {
            tracing::error!("stand_ins: engine {} failed to restart: {e}", engine.name());
            return;
        }
    }
}
