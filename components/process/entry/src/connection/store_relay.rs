//! Passes connections of other instances on to the store: of the leader while the store turns it
//! away, and of others that it turns away and that lack a configuration which the leader has.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout_at;

use crate::process::Entry;

/// Most connections that are passed on at the same time.
const MAX_RELAYED_CONNECTIONS: i64 = 16;
/// Timeout for the connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time that a connection is passed on. The other instance connects again.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(60);
/// Pause after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of other instances to the store until the process ends.
pub(crate) async fn accept_store_relays(cx: Rc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let count = cx.metrics.relayed_connections.inc();
                if count >= MAX_RELAYED_CONNECTIONS {
                    cx.metrics.relayed_connections.dec();
                    tracing::warn!(%from, "store: connection not passed on; too many of them");
                    continue;
                }
                spawn_local(relay(cx.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "store: connection not accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn relay(cx: Rc<Entry>, mut stream: TcpStream) {
    let address = cx.pass_on_address();
    let begins = Instant::now();
    let connect = timeout_at((begins + CONNECT_TIMEOUT).into(), TcpStream::connect(address));
    match connect.await {
        Ok(Ok(mut store)) => {
            // The other instance's keep-alive and timeouts find a store that does not answer.
            let copy = copy_bidirectional(&mut stream, &mut store);
            if let Ok(Err(error)) = timeout_at((begins + MAX_CONNECTION_TIME).into(), copy).await {
                tracing::debug!(%error, "store: passed-on connection ended");
            }
        }
        Ok(Err(error)) => tracing::debug!(%error, "store: not reached for another instance"),
        Err(_) => tracing::debug!("store: not reached in time for another instance"),
    }
    cx.metrics.relayed_connections.dec();
}
