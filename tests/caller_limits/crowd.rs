//! A crowd of callers that misbehave.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Connections of a crowd.
const CROWD: usize = 500;
/// Pause before a member that was disconnected connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Pause between the bytes of slow senders and readers.
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// What a member of a crowd does on its connection, which it then keeps open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// Sends nothing.
    Silent,
    /// Sends a head of legal size, short of its end.
    ShortHead,
    /// Sends a body of legal size, short of its end, in one piece.
    ShortBody,
    /// The same in small pieces.
    ShortBodyInPieces,
    /// The same in chunks of one byte.
    ShortBodyInChunks,
    /// Sends a body far over the limit.
    HugeBody,
    /// Sends very many short fields, and a body short of its end.
    ManyFields,
    /// Sends many requests ahead and reads no answer.
    SentAhead,
    /// Asks for a stream and does not read it.
    UnreadStream,
    /// Sends a byte now and then.
    SlowSender,
    /// Asks for a stream and reads a byte now and then.
    SlowReader,
    /// Ends its sending half-way in a body.
    HalfWay,
}

pub(crate) const SHAPES: [Shape; 12] = [
    Shape::Silent,
    Shape::ShortHead,
    Shape::ShortBody,
    Shape::ShortBodyInPieces,
    Shape::ShortBodyInChunks,
    Shape::HugeBody,
    Shape::ManyFields,
    Shape::SentAhead,
    Shape::UnreadStream,
    Shape::SlowSender,
    Shape::SlowReader,
    Shape::HalfWay,
];

/// Head of a request without the blank line after it.
fn head(method: &str, path: &str, number: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: stand-in.example\r\nx-attempt-id: c{number}\r\n\
         x-deadline-ms: 20000\r\nx-model: m1\r\nx-token-usage: 40,20\r\n\
         x-prompt-prefix: 5c1e07a2:20,91bd3f06:10,e4402b7d:{number}\r\n"
    )
}

/// Sends the requests of a member, and returns once its connection has been closed.
async fn play(
    mut stream: TcpStream,
    shape: Shape,
    path: &str,
    number: usize,
) -> std::io::Result<()> {
    let get = head("GET", path, number);
    let post = head("POST", path, number);
    let with_length = |len: usize| format!("{post}content-length: {len}\r\n\r\n");
    match shape {
        Shape::Silent => {}
        Shape::ShortHead => {
            let padding = "x".repeat(12_000);
            stream.write_all(format!("{post}x-padding: {padding}").as_bytes()).await?;
        }
        Shape::ShortBody => {
            let body = "x".repeat(60_000);
            stream.write_all(format!("{}{body}", with_length(60_001)).as_bytes()).await?;
        }
        Shape::ShortBodyInPieces => {
            stream.write_all(with_length(60_001).as_bytes()).await?;
            for _ in 0..100 {
                stream.write_all(&[b'x'; 600]).await?;
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        Shape::ShortBodyInChunks => {
            let chunks = "1\r\nx\r\n".repeat(20_000);
            let sent = format!("{post}transfer-encoding: chunked\r\n\r\n{chunks}");
            stream.write_all(sent.as_bytes()).await?;
        }
        Shape::HugeBody => {
            stream.write_all(with_length(1 << 40).as_bytes()).await?;
            let block = vec![b'x'; 64 << 10];
            for _ in 0..(16 << 20) / block.len() {
                stream.write_all(&block).await?;
            }
        }
        Shape::ManyFields => {
            // Some servers limit the number of fields, so every second member stays below 100.
            let count = if number.is_multiple_of(2) { 90 } else { 1_500 };
            let fields: String = (0..count).map(|n| format!("f{n}: v\r\n")).collect();
            let sent = format!("{post}{fields}content-length: 2\r\n\r\n{{");
            stream.write_all(sent.as_bytes()).await?;
        }
        Shape::SentAhead => {
            let requests = format!("{get}\r\n").repeat(2_000);
            stream.write_all(requests.as_bytes()).await?;
        }
        Shape::UnreadStream => {
            stream.write_all(format!("{}{{}}", with_length(2)).as_bytes()).await?;
        }
        Shape::SlowSender => {
            let sent = format!("{}{}", with_length(60_000), "x".repeat(60_000));
            for byte in sent.as_bytes().chunks(1) {
                stream.write_all(byte).await?;
                tokio::time::sleep(SLOW_PAUSE).await;
            }
        }
        Shape::SlowReader => {
            stream.write_all(format!("{}{{}}", with_length(2)).as_bytes()).await?;
            while stream.read_u8().await.is_ok() {
                tokio::time::sleep(SLOW_PAUSE).await;
            }
            return Ok(());
        }
        Shape::HalfWay => {
            let body = "x".repeat(30_000);
            stream.write_all(format!("{}{body}", with_length(60_001)).as_bytes()).await?;
            stream.shutdown().await?;
        }
    }
    while !stream.ready(Interest::READABLE).await?.is_read_closed() {
        tokio::time::sleep(SLOW_PAUSE).await;
    }
    Ok(())
}

async fn member(door: SocketAddr, shape: Shape, path: &'static str, number: usize) {
    loop {
        if let Ok(stream) = TcpStream::connect(door).await {
            // The instance may close the connection at any time.
            let _ = play(stream, shape, path, number).await;
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// A running crowd; its connections are closed when it is dropped.
pub(crate) struct Crowd {
    _members: JoinSet<()>,
}

impl Crowd {
    /// Starts a crowd whose members take the shapes in turn.
    pub(crate) fn start(door: SocketAddr, path: &'static str, shapes: &[Shape]) -> Self {
        Self::start_with(CROWD, door, path, shapes)
    }

    /// Starts a crowd of `size` members.
    pub(crate) fn start_with(
        size: usize,
        door: SocketAddr,
        path: &'static str,
        shapes: &[Shape],
    ) -> Self {
        let mut members = JoinSet::new();
        for number in 0..size {
            members.spawn(member(door, shapes[number % shapes.len()], path, number));
        }
        Self { _members: members }
    }

    /// Watches the instance for a time while the crowd goes on.
    pub(crate) async fn watch(&self, time: Duration, mut check: impl FnMut()) {
        let ends = Instant::now() + time;
        while Instant::now() < ends {
            check();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
