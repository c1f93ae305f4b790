//! A loopback proxy that injects connection faults.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// How the proxy forwards bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Forwards them.
    #[default]
    Pass,
    /// Forwards each chunk after this delay.
    Delay(Duration),
    /// Closes every connection.
    Reset,
    /// Closes every connection and accepts no new ones.
    Refuse,
    /// Holds back all bytes, in both directions.
    Stall,
    /// Holds back the bytes that come from the server.
    StallResponses,
}

/// A running proxy in front of one address.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<Mode>,
    task: AbortHandle,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::Pass);
        let modes = mode.clone();
        let task = tokio::spawn(async move {
            let mut listener = listener;
            let mut mode = modes.subscribe();
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => Some(accepted),
                    _ = mode.wait_for(|mode| *mode == Mode::Refuse) => None,
                };
                let Some(accepted) = accepted else {
                    drop(listener);
                    let is_open = mode.wait_for(|mode| *mode != Mode::Refuse).await.is_ok();
                    let reopened = TcpListener::bind(address).await;
                    let (true, Ok(reopened)) = (is_open, reopened) else { return };
                    listener = reopened;
                    continue;
                };
                let Ok((client, _)) = accepted else { continue };
                tokio::spawn(serve(client, target, modes.subscribe()));
            }
        });
        Ok(Self { address, mode, task: task.abort_handle() })
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn serve(client: TcpStream, target: SocketAddr, mut modes: watch::Receiver<Mode>) {
    let is_closing = |mode: &Mode| matches!(mode, Mode::Reset | Mode::Refuse);
    if is_closing(&modes.borrow()) {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    let (client_rx, client_tx) = client.into_split();
    let (upstream_rx, upstream_tx) = upstream.into_split();
    let requests = relay(client_rx, upstream_tx, modes.clone(), false);
    let responses = relay(upstream_rx, client_tx, modes.clone(), true);
    tokio::select! {
        // When either end closes, both connections are closed, as with a reset.
        () = requests => {}
        () = responses => {}
        _ = modes.wait_for(is_closing) => {}
    }
}

async fn relay(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    is_response: bool,
) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let Ok(len) = rx.read(&mut buf).await else { return };
        if len == 0 {
            return;
        }
        let is_stalled =
            |mode: &Mode| *mode == Mode::Stall || (*mode == Mode::StallResponses && is_response);
        if modes.wait_for(|mode| !is_stalled(mode)).await.is_err() {
            return;
        }
        let mode = *modes.borrow();
        if let Mode::Delay(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        if tx.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
