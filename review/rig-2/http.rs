//! HTTP/1.1 over blocking sockets, for stand-ins and clients.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Largest head that is read, in bytes.
const MAX_HEAD: usize = 256 << 10;

/// A connection with the bytes that were read beyond the last message.
pub struct Channel {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body came to its proper end.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method or version, the first word of the start line.
    pub fn word(&self, n: usize) -> &str {
        self.start.split(' ').nth(n).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buf = [0; 16 << 10];
        let len = self.stream.read(&mut buf)?;
        self.rest.extend_from_slice(&buf[..len]);
        Ok(len)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(ended());
            }
        }
    }

    /// Reads the start line and the header fields.
    pub fn head(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            if self.rest.len() > MAX_HEAD || self.fill()? == 0 {
                return Err(ended());
            }
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_string();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_string(), value.trim().to_string()))
            .collect();
        Ok(Message { start, headers, ..Message::default() })
    }

    /// Reads a message. `has_body` is false for a response without one.
    pub fn message(&mut self, is_response: bool) -> io::Result<Message> {
        let mut message = self.head()?;
        let chunked =
            message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        let len = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
        let read = match (chunked, len) {
            (true, _) => self.chunks(&mut message.body),
            (false, Some(len)) => self.exact(len, &mut message.body),
            (false, None) if is_response => self.until_end(&mut message.body),
            (false, None) => Ok(()),
        };
        message.is_complete = read.is_ok();
        Ok(message)
    }

    fn exact(&mut self, len: usize, body: &mut Vec<u8>) -> io::Result<()> {
        while self.rest.len() < len {
            if self.fill()? == 0 {
                body.append(&mut self.rest);
                return Err(ended());
            }
        }
        body.extend(self.rest.drain(..len));
        Ok(())
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| ended())?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(());
            }
            self.exact(size, body)?;
            self.line()?;
        }
    }

    fn until_end(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        while self.fill()? > 0 {}
        body.append(&mut self.rest);
        Ok(())
    }
}

/// Sends one request on a new connection and reads the response.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut channel = Channel::connect(address, timeout)?;
    channel.send(request)?;
    channel.message(true)
}

/// A response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Accepts connections, each in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(Channel) + Send + Sync + 'static) {
    let handle = std::sync::Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let spawned = thread::Builder::new().stack_size(256 << 10);
            let _ = spawned.spawn(move || handle(Channel::new(stream)));
        }
    });
}

/// Waits until a condition holds.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
