//! Resources that all parts of the event loop share: connections, the event queue, the random
//! number generator and metrics.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;

use backend_server::BackendClient;
use peer::{Frame, PeerClient};
use platform::{Call, Client};
use rand_chacha::ChaCha8Rng;
use telemetry::Metrics;
use tokio::sync::mpsc;
use types::object::{CallId, CallPriority, ObjectAnswer, ObjectCall};
use types::prelude::*;

use crate::event::{Event, PlatformCaller};
use crate::message::{PeerMessage, PeerReply};

/// Timeout for a peer's answer to a message.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Resources shared by the parts of one instance. They live as long as the process.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) data_centre: DataCentreId,
    pub(crate) client: BackendClient,
    pub(crate) platform: Client,
    /// Timeout for the answer to one platform call.
    pub(crate) platform_timeout: Duration,
    pub(crate) peers: Rc<PeerClient>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) rng: Rc<RefCell<ChaCha8Rng>>,
    pub(crate) events: mpsc::UnboundedSender<Event>,
}

fn describe(answer: &ObjectAnswer) -> &'static str {
    match answer {
        ObjectAnswer::Found { .. } => "found",
        ObjectAnswer::Unchanged => "unchanged",
        ObjectAnswer::Missing => "missing",
        ObjectAnswer::Written { .. } => "written",
        ObjectAnswer::Conflict => "conflict",
        ObjectAnswer::Failed => "failed",
        ObjectAnswer::Lost => "answer lost",
    }
}

impl Context {
    /// Runs `work` as a task and sends the resulting event to the event loop.
    pub(crate) fn spawn(&self, work: impl Future<Output = Event> + 'static) {
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            // Sending fails only when the process stops and the loop has ended.
            let _ = events.send(work.await);
        });
    }

    /// Makes one platform call in a task, which sends the answer as an event.
    pub(crate) fn call(
        &self,
        caller: PlatformCaller,
        call: CallId,
        priority: CallPriority,
        request: ObjectCall,
    ) {
        let (platform, metrics) = (self.platform.clone(), Rc::clone(&self.metrics));
        let options = Call { deadline: Instant::now() + self.platform_timeout, priority };
        self.spawn(async move {
            metrics.platform_calls.inc();
            let answer = platform.call(&request, options).await;
            let (key, outcome) = (request.key(), describe(&answer));
            tracing::trace!("platform: {}/{}: {outcome}", key.kind, key.name);
            if matches!(answer, ObjectAnswer::Failed | ObjectAnswer::Lost) {
                metrics.platform_failures.inc();
            }
            Event::Answer { caller, call, answer }
        });
    }

    /// Sends a message and ignores the answer. The message may be lost.
    pub(crate) fn send(&self, address: impl Into<Box<str>>, message: PeerMessage) {
        let exchange = self.exchange(address.into(), message, Instant::now() + PEER_TIMEOUT);
        tokio::task::spawn_local(async move {
            let _ = exchange.await;
        });
    }

    /// Sends a message and waits for the answer; `None` if the exchange failed.
    pub(crate) fn exchange(
        &self,
        address: Box<str>,
        message: PeerMessage,
        deadline: Instant,
    ) -> impl Future<Output = Option<PeerReply>> + 'static {
        let peers = Rc::clone(&self.peers);
        let frame = Frame::encode(&self.instance, self.incarnation, &message);
        async move {
            let outcome = async { peers.exchange(&address, frame?, deadline).await?.decode() };
            match outcome.await {
                Ok(reply) => Some(reply),
                Err(e) => {
                    tracing::debug!("peer: message to {address} failed: {e}");
                    None
                }
            }
        }
    }
}
