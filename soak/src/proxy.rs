//! A loopback proxy that misbehaves on demand.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// What the proxy does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Passes them on.
    #[default]
    Pass,
    /// Passes each piece on after this time.
    Delay(Duration),
    /// Closes every connection.
    Reset,
    /// Holds everything back, in both directions.
    Silent,
    /// Holds back what comes from the server.
    CutAnswers,
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
            loop {
                let Ok((near, _)) = listener.accept().await else { continue };
                tokio::spawn(serve(near, target, modes.subscribe()));
            }
        });
        Ok(Self { address, mode, task: task.abort_handle() })
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn serve(near: TcpStream, target: SocketAddr, mut modes: watch::Receiver<Mode>) {
    if *modes.borrow() == Mode::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return };
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let requests = pump(near_rx, far_tx, modes.clone(), false);
    let answers = pump(far_rx, near_tx, modes.clone(), true);
    tokio::select! {
        // Either end that closes closes the other, as a reset does.
        () = requests => {}
        () = answers => {}
        _ = modes.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

async fn pump(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    is_answer: bool,
) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let Ok(len) = rx.read(&mut buf).await else { return };
        if len == 0 {
            return;
        }
        let is_held =
            |mode: &Mode| *mode == Mode::Silent || (*mode == Mode::CutAnswers && is_answer);
        if modes.wait_for(|mode| !is_held(mode)).await.is_err() {
            return;
        }
        let mode = *modes.borrow();
        if let Mode::Delay(time) = mode {
            tokio::time::sleep(time).await;
        }
        if tx.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
