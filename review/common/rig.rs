//! Stand-ins for the scripts of the review: the platform's store, HTTP over plain sockets, and the
//! entry process as a child. Uses the standard library only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

/// Whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run, with the time since its start in each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), began: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }
}

/// A received HTTP request.
pub struct HttpRequest {
    pub method: String,
    pub target: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads a request with a length or without a body; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<HttpRequest>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (method, target) = (method.to_owned(), target.to_owned());
    let headers = read_headers(reader)?;
    let mut req = HttpRequest { method, target, headers, body: Vec::new() };
    let len = req.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    req.body = vec![0; len];
    reader.read_exact(&mut req.body)?;
    Ok(Some(req))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Accepts connections on a free port of `ip` and serves each in a thread.
pub fn listen(
    ip: &str,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

struct Object {
    revision: u64,
    specification: String,
}

struct Change {
    revision: u64,
    kind: String,
    object: String,
    is_deleted: bool,
}

struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

/// The platform's store: lists, watches and conditional writes.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    /// Whether the store is down: it closes the channels of all calls without an answer.
    pub is_down: Arc<AtomicBool>,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

fn encode(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
         \"deletion_pending\":false}},\"specification\":{},\"status\":null}}",
        object.revision, object.specification
    )
}

impl StoreState {
    fn put(&mut self, kind: &str, name: &str, specification: String) -> String {
        self.revision += 1;
        let object = Object { revision: self.revision, specification };
        let text = encode(name, &object);
        self.objects.insert((kind.into(), name.into()), object);
        let change = Change {
            revision: self.revision,
            kind: kind.into(),
            object: text.clone(),
            is_deleted: false,
        };
        self.history.push(change);
        text
    }

    fn delete(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.into(), name.into())) {
            self.revision += 1;
            let object = Object { revision: self.revision, ..object };
            self.history.push(Change {
                revision: self.revision,
                kind: kind.into(),
                object: encode(name, &object),
                is_deleted: true,
            });
        }
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let hex = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()).filter(|_| *first == b'%') {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The text after `"key":` up to the next comma or closing brace.
fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let start = text.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = &text[start..];
    Some(rest[..rest.find([',', '}'])?].trim().trim_matches('"'))
}

/// The fields `metadata` and `specification` of a body of the two.
fn split_body(body: &str) -> Option<(String, String)> {
    let start = body.find("\"metadata\":")? + 11;
    let end = start + body[start..].find('}')? + 1;
    let key = "\"specification\":";
    let at = body.find(key)? + key.len();
    // The keys are sorted, so the specification is last.
    let specification = body[at..].trim_end().strip_suffix('}')?;
    Some((body[start..end].to_owned(), specification.to_owned()))
}

impl Store {
    pub fn start(ip: &str) -> io::Result<Self> {
        let state = StoreState { revision: 1, objects: BTreeMap::new(), history: Vec::new() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared = state.clone();
        let is_down = Arc::new(AtomicBool::new(false));
        let down = is_down.clone();
        let address = listen(ip, move |stream| {
            let Ok(reader) = stream.try_clone() else { return };
            let (mut reader, mut stream) = (BufReader::new(reader), stream);
            while let Ok(Some(req)) = read_request(&mut reader) {
                if down.load(Ordering::Relaxed) {
                    return;
                }
                let (status, body) = respond(&shared, &req);
                // A watch that was waiting when the store went down.
                if down.load(Ordering::Relaxed) && req.method == "GET" {
                    return;
                }
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\
                     \r\n\r\n",
                    body.len()
                );
                if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                    return;
                }
            }
        })?;
        Ok(Self { address, is_down, state })
    }

    pub fn put(&self, kind: &str, name: &str, specification: impl Into<String>) {
        self.state.0.lock().unwrap().put(kind, name, specification.into());
        self.state.1.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.state.0.lock().unwrap().delete(kind, name);
        self.state.1.notify_all();
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        state.objects.get(&(kind.into(), name.into())).map(|o| o.specification.clone())
    }
}

fn respond(shared: &(Mutex<StoreState>, Condvar), req: &HttpRequest) -> (u16, String) {
    let (path, query) = req.target.split_once('?').unwrap_or((&req.target, ""));
    let path = path.strip_prefix("/api/objects/").unwrap_or("");
    let (kind, name) = path.split_once('/').map_or((path, None), |(k, n)| (k, Some(n)));
    let (kind, name) = (decode_percent(kind), name.map(decode_percent));
    let query: BTreeMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
    let (lock, changed) = shared;
    let mut state = lock.lock().unwrap();
    match (req.method.as_str(), name) {
        ("GET", Some(name)) => match state.objects.get(&(kind, name.clone())) {
            Some(object) => (200, encode(&name, object)),
            None => (404, "{}".into()),
        },
        ("GET", None) => {
            let Some(since) = query.get("watch_stream").and_then(|at| at.parse::<u64>().ok())
            else {
                let of_kind = state.objects.iter().filter(|((k, _), _)| *k == kind);
                let items: Vec<String> = of_kind.map(|((_, n), o)| encode(n, o)).collect();
                let items = items.join(",");
                return (
                    200,
                    format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{}}}", state.revision),
                );
            };
            let wait = query.get("wait_time_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
            let deadline = Instant::now() + Duration::from_millis(wait);
            loop {
                let newer = state.history.iter().filter(|c| c.revision > since && c.kind == kind);
                let events: Vec<String> = newer
                    .map(|c| format!("{{\"deleted\":{},\"object\":{}}}", c.is_deleted, c.object))
                    .collect();
                let left = deadline.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let events = events.join(",");
                    return (200, format!("{{\"events\":[{events}],\"at\":{}}}", state.revision));
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
        ("DELETE", Some(name)) => {
            state.delete(&kind, &name);
            changed.notify_all();
            (200, "{}".into())
        }
        (method @ ("POST" | "PUT"), name) => {
            let text = String::from_utf8_lossy(&req.body);
            let Some((metadata, specification)) = split_body(&text) else {
                return (400, "{}".into());
            };
            let name = name.or_else(|| field(&metadata, "name").map(str::to_owned));
            let Some(name) = name else { return (400, "{}".into()) };
            let expected = field(&metadata, "revision").and_then(|at| at.parse::<u64>().ok());
            let key = (kind.clone(), name.clone());
            match state.objects.get(&key) {
                Some(object)
                    if method == "POST" || expected.is_some_and(|at| at != object.revision) =>
                {
                    (409, encode(&name, object))
                }
                None if method == "PUT" => (404, "{}".into()),
                _ => {
                    let text = state.put(&kind, &name, specification);
                    changed.notify_all();
                    (200, text)
                }
            }
        }
        _ => (400, "{}".into()),
    }
}

/// An entry process, started as in the deploy file.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub log: PathBuf,
    settings: PathBuf,
    child: Child,
}

fn spawn_entry(settings: &Path, log: &Path) -> io::Result<Child> {
    let out = OpenOptions::new().create(true).append(true).open(log)?;
    Command::new("target/release/sequoiawell")
        .args(["entry", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone()?)
        .stderr(out)
        .spawn()
}

fn free_port(ip: &str) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

fn free_peer_port(ip: &str) -> io::Result<SocketAddr> {
    loop {
        let address = UdpSocket::bind((ip, 0))?.local_addr()?;
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

impl Entry {
    /// Starts an instance with the settings that the template of the deploy file gives for a
    /// machine of a small deployment.
    pub fn start(dir: &Path, name: &str, ip: &str, store: SocketAddr) -> io::Result<Self> {
        let (callers, readiness) = (free_port(ip)?, free_port(ip)?);
        let (metrics, peers) = (free_port(ip)?, free_peer_port(ip)?);
        let settings = dir.join(format!("{name}.ini"));
        let text = format!(
            "[instance]\nname = {name}\ndata_centre = zone-a\ncores = 0.25\n\n[callers]\naddress = \
             {callers}\n\n[readiness]\naddress = {readiness}\n\n[metrics]\naddress = {metrics}\n\n\
             [peers]\naddress = {peers}\n\n[store]\naddress = {store}\nwrites_per_second = 400\n\
             reads_per_second = 2000\n\n[registry]\nheartbeat_ms = 1200\n\n[orders]\nturn_gap_ms = \
             3000\n\n[repeats]\nratio = 0.2\nextra = 56\nwindow_s = 10\n\n[stop]\ngrace_s = 8\n"
        );
        fs::write(&settings, text)?;
        let log = dir.join(format!("{name}.log"));
        let child = spawn_entry(&settings, &log)?;
        Ok(Self { name: name.into(), callers, readiness, log, settings, child })
    }

    /// Kills the process, if it runs, and starts it again with the same settings.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = spawn_entry(&self.settings, &self.log)?;
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the readiness check gives 200.
    pub fn wait_until_ready(&self, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let mut answer = String::new();
        let mut ask = || -> io::Result<()> {
            let mut stream =
                TcpStream::connect_timeout(&self.readiness, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream
                .write_all(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            stream.read_to_string(&mut answer).map(|_| ())
        };
        let _ = ask();
        answer.starts_with("HTTP/1.1 200")
    }

    /// Sends a signal by its name, such as `TERM`, to this process.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args(["-s", signal, &self.pid().to_string()]).status();
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Resident memory, in KiB: the current figure and the peak.
    pub fn memory_kib(&self) -> (u64, u64) {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let figure = |key: &str| {
            let line = status.lines().find(|line| line.starts_with(key));
            let text = line.and_then(|line| line.split_whitespace().nth(1));
            text.and_then(|text| text.parse().ok()).unwrap_or(0)
        };
        (figure("VmRSS:"), figure("VmHWM:"))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Response as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub signature: Option<String>,
    pub body: Vec<u8>,
    /// The body came to its regular end.
    pub is_complete: bool,
}

/// Reads a response until its end or the end of the connection.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<Answer> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let headers = read_headers(reader)?;
    let header = |name: &str| {
        let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone())
    };
    let mut answer =
        Answer { status, signature: header("x-response-signature"), ..Answer::default() };
    if header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return Ok(answer);
            }
            let Ok(len) = usize::from_str_radix(line.trim(), 16) else { return Ok(answer) };
            let mut chunk = vec![0; len + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Ok(answer);
            }
            if len == 0 {
                answer.is_complete = true;
                return Ok(answer);
            }
            answer.body.extend_from_slice(&chunk[..len]);
        }
    }
    let len = header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    answer.body = vec![0; len];
    answer.is_complete = reader.read_exact(&mut answer.body).is_ok();
    Ok(answer)
}

/// A directory for one run, removed at its end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create(name: &str) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        Ok(Self(dir))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
