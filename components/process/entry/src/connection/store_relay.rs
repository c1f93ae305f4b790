//! Passes connections of other instances on to the store: of the leader while the store turns it
//! away, and of others that it turns away and that lack a configuration which the leader has.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::timeout_at;

use super::ACCEPT_RETRY_DELAY;
use super::tracking::{RelayedCalls, Tracked, TrackedStream, spawn_tracked};
use crate::process::Entry;

/// Timeout for the connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time that a connection is passed on. The other instance connects again.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(60);

/// Accepts connections of other instances to the store until the process ends.
pub(crate) async fn accept_store_relays(cx: Rc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_tracked(&cx.doors.relays.connections, |tracked| {
                    relay(cx.clone(), stream, tracked)
                });
                // A crowd at this listener must not delay the others.
                yield_now().await;
            }
            Err(error) => {
                tracing::warn!(%error, "store: connection not accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts a connection that is passed on.
struct Relayed<'a>(&'a Entry);

impl Drop for Relayed<'_> {
    fn drop(&mut self) {
        self.0.metrics.relayed_connections.dec();
    }
}

async fn relay(cx: Rc<Entry>, stream: TcpStream, tracked: Tracked) {
    // A connection that sends nothing does not use one to the store.
    if stream.readable().await.is_err() {
        return;
    }
    cx.metrics.relayed_connections.inc();
    let _relayed = Relayed(&cx);
    let address = cx.pass_on_address();
    let begins = Instant::now();
    let connect = timeout_at((begins + CONNECT_TIMEOUT).into(), TcpStream::connect(address));
    match connect.await {
        Ok(Ok(mut store)) => {
            // The other instance's keep-alive and timeouts find a store that does not answer.
            let mut stream =
                TrackedStream { stream, tracked, relayed: Some(RelayedCalls::default()) };
            let copy = copy_bidirectional(&mut stream, &mut store);
            if let Ok(Err(error)) = timeout_at((begins + MAX_CONNECTION_TIME).into(), copy).await {
                tracing::debug!(%error, "store: passed-on connection ended");
            }
        }
        Ok(Err(error)) => tracing::debug!(%error, "store: not reached for another instance"),
        Err(_) => tracing::debug!("store: not reached in time for another instance"),
    }
}
