//! Stand-in for a replica that runs models: orders, reports, streams and its registry entry.

#![allow(dead_code)]

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::rig::{HttpRequest, Record, Store, read_answer, read_request};

/// Replicas of the service at the site, memory for weights and size of the weights of a model.
pub const REPLICAS: usize = 18;
pub const MEMORY_MB: f64 = 230_000.0;
pub const WEIGHTS_MB: f64 = 72_700.0;
/// Load times from the weight store and from the replica's disk.
const STORE_LOAD: Duration = Duration::from_secs(6);
const DISK_LOAD: Duration = Duration::from_millis(1_300);
/// Loads that the weight store serves at full speed. More of them take longer in proportion.
const FULL_SPEED_LOADS: u32 = 4;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// `drain_timeout_ms` and a little longer.
const DRAIN_TIME: Duration = Duration::from_millis(3_000);

/// What the replicas of a run have in common.
#[derive(Default)]
pub struct Shared {
    /// Orders beyond the memory of a replica.
    pub overloads: AtomicU32,
    /// Requests that replicas were running when they crashed because of such an order.
    pub cut_runs: AtomicU32,
    /// Loads from the weight store that are running.
    store_loads: AtomicU32,
}

pub struct State {
    born: u128,
    pub models: BTreeSet<String>,
    on_disk: BTreeSet<String>,
    pub loading: Option<(String, Instant)>,
    is_from_store: bool,
    sequence: u64,
    pub is_draining: bool,
    is_down: bool,
    channels: Vec<TcpStream>,
    running: u32,
}

pub struct Replica {
    pub name: String,
    address: SocketAddr,
    pub state: Mutex<State>,
    /// Whether the path from the entry process is cut. Connections are refused then.
    pub is_cut: Mutex<bool>,
    rec: Record,
    store: Store,
    shared: Arc<Shared>,
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

impl State {
    fn finish_load(&mut self, shared: &Shared) {
        if self.loading.as_ref().is_some_and(|(_, at)| *at <= Instant::now())
            && let Some((model, _)) = self.loading.take()
        {
            if std::mem::take(&mut self.is_from_store) {
                shared.store_loads.fetch_sub(1, Ordering::Relaxed);
            }
            self.on_disk.insert(model.clone());
            self.models.insert(model);
        }
    }

    fn available_json(&self) -> String {
        let on_disk: Vec<String> = self.on_disk.iter().map(|m| format!("\"{m}\"")).collect();
        format!("{{\"resident\":[],\"cached_on_disk\":[{}]}}", on_disk.join(","))
    }

    fn models_json(&self) -> String {
        let models = self.models.iter();
        let models: Vec<String> =
            models.map(|m| format!("{{\"name\":\"{m}\",\"version\":1,\"adapters\":[]}}")).collect();
        format!("[{}]", models.join(","))
    }
}

impl Replica {
    /// Starts a replica and registers it. It reaches the store all the time.
    pub fn start(
        ip: &str,
        name: String,
        models: impl IntoIterator<Item = String>,
        on_disk: impl IntoIterator<Item = String>,
        phase: f64,
        (store, rec, shared): (&Store, &Record, &Arc<Shared>),
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let replica = Arc::new(Self {
            name,
            address: listener.local_addr()?,
            state: Mutex::new(State {
                born: unix_ms(),
                models: models.into_iter().collect(),
                on_disk: on_disk.into_iter().collect(),
                loading: None,
                is_from_store: false,
                sequence: 0,
                is_draining: false,
                is_down: false,
                channels: Vec::new(),
                running: 0,
            }),
            is_cut: Mutex::new(false),
            rec: rec.clone(),
            store: store.clone(),
            shared: shared.clone(),
        });
        store.put("servers", &replica.name, replica.entry());
        let (accepting, writing, store) = (replica.clone(), replica.clone(), store.clone());
        thread::spawn(move || accepting.accept(listener));
        thread::spawn(move || {
            thread::sleep(HEARTBEAT.mul_f64(phase));
            loop {
                if !writing.state.lock().unwrap().is_down {
                    store.put("servers", &writing.name, writing.entry());
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(replica)
    }

    /// The replica reports that it is leaving. It ends a little later.
    pub fn drain(self: &Arc<Self>) {
        self.rec.line(format!("{}: draining", self.name));
        self.state.lock().unwrap().is_draining = true;
        self.store.put("servers", &self.name, self.entry());
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(DRAIN_TIME);
            replica.rec.line(format!("{}: ends", replica.name));
            let mut state = replica.state.lock().unwrap();
            state.is_down = true;
            Self::reset_channels(&mut state);
            if std::mem::take(&mut state.is_from_store) {
                replica.shared.store_loads.fetch_sub(1, Ordering::Relaxed);
            }
            drop(state);
            replica.store.delete("servers", &replica.name);
        });
    }

    /// Whether the replica loads the model now.
    pub fn is_loading(&self, model: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.loading.as_ref().is_some_and(|(loading, _)| loading == model)
    }

    fn entry(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.finish_load(&self.shared);
        format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":32,\"state\":\"{}\",\"cold_remaining_ms\":0,\"sequence\":{},\"born\":{},\
             \"inference_stage\":\"combined\",\"models\":{},\"available\":{}}}",
            self.address,
            if state.is_draining { "draining" } else { "ready" },
            unix_ms() / 100,
            state.born,
            state.models_json(),
            state.available_json()
        )
    }

    fn reset_channels(state: &mut State) {
        for channel in state.channels.drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    /// A replica that is ordered to load more than fits crashes, and starts empty.
    fn crash(self: &Arc<Self>) {
        let mut state = self.state.lock().unwrap();
        self.shared.cut_runs.fetch_add(state.running, Ordering::Relaxed);
        self.rec.line(format!("{}: crashes under {} running requests", self.name, state.running));
        state.is_down = true;
        Self::reset_channels(&mut state);
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(2));
            let mut state = replica.state.lock().unwrap();
            (state.is_down, state.born, state.sequence) = (false, unix_ms(), 0);
            if std::mem::take(&mut state.is_from_store) {
                replica.shared.store_loads.fetch_sub(1, Ordering::Relaxed);
            }
            (state.models, state.loading) = (BTreeSet::new(), None);
        });
    }

    fn order(self: &Arc<Self>, req: &HttpRequest) -> u16 {
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let value = |key: &str| {
            let start = text.find(&format!("\"{key}\":"))? + key.len() + 3;
            let rest = &text[start..];
            Some(rest[..rest.find([',', '}'])?].trim_matches('"').to_owned())
        };
        let model = value("model_id").unwrap_or_default();
        let expected = value("expect").and_then(|n| n.parse::<u64>().ok());
        let is_load = value("operation").as_deref() == Some("model_load");
        let mut state = self.state.lock().unwrap();
        state.finish_load(&self.shared);
        let status = if is_load && state.models.contains(&model) {
            200
        } else if state.loading.is_some() || expected.is_some_and(|n| n != state.sequence) {
            409
        } else if is_load {
            let used = state.models.len() as f64 * WEIGHTS_MB;
            if used + WEIGHTS_MB > MEMORY_MB {
                self.shared.overloads.fetch_add(1, Ordering::Relaxed);
                self.rec.line(format!(
                    "{}: ORDERED TO LOAD {model} BEYOND ITS MEMORY; holds {:?}",
                    self.name, state.models
                ));
                drop(state);
                self.crash();
                return 0;
            }
            state.sequence += 1;
            let time = if state.on_disk.contains(&model) {
                DISK_LOAD
            } else {
                state.is_from_store = true;
                let running = self.shared.store_loads.fetch_add(1, Ordering::Relaxed) + 1;
                STORE_LOAD
                    .mul_f64(f64::from(running.max(FULL_SPEED_LOADS)) / f64::from(FULL_SPEED_LOADS))
            };
            state.loading = Some((model.clone(), Instant::now() + time));
            202
        } else if state.models.remove(&model) {
            state.sequence += 1;
            202
        } else {
            200
        };
        let operation = if is_load { "load" } else { "unload" };
        self.rec.line(format!("{}: order to {operation} {model} gets {status}", self.name));
        status
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(reader), stream);
        while let Ok(Some(req)) = read_request(&mut reader) {
            if self.state.lock().unwrap().is_down {
                return;
            }
            let sent = if req.target == "/api/order" {
                match self.order(&req) {
                    0 => return,
                    status => stream.write_all(
                        format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}").as_bytes(),
                    ),
                }
            } else if req.target == "/api/report" {
                let mut state = self.state.lock().unwrap();
                state.finish_load(&self.shared);
                let body = format!(
                    "{{\"inference_stage\":\"combined\",\"models\":{},\"busy\":{},\"sequence\":{},\
                     \"born\":{},\"available\":{}}}",
                    state.models_json(),
                    state.loading.is_some(),
                    state.sequence,
                    state.born,
                    state.available_json()
                );
                drop(state);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                stream.write_all(format!("{head}{body}").as_bytes())
            } else {
                self.run(&req, &mut stream)
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn run(&self, req: &HttpRequest, stream: &mut TcpStream) -> std::io::Result<()> {
        let id = req.header("x-attempt-id").unwrap_or("").to_owned();
        let model = req.header("x-model").unwrap_or("").to_owned();
        {
            let mut state = self.state.lock().unwrap();
            state.finish_load(&self.shared);
            if !state.models.contains(&model) {
                let head = format!(
                    "HTTP/1.1 421 X\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\
                     \r\n\r\n"
                );
                drop(state);
                return stream.write_all(head.as_bytes());
            }
            state.running += 1;
        }
        let events = || -> std::io::Result<()> {
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {}.{id}\r\n\
                 Content-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: \
                 chunked\r\n\r\n",
                self.name
            );
            let mut stream = stream.try_clone()?;
            stream.write_all(head.as_bytes())?;
            for event in 1..=49 {
                let text = format!("id: {event}\ndata: token\n\n");
                stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
                thread::sleep(Duration::from_millis(40));
            }
            stream.write_all(b"0\r\n\r\n")
        };
        let sent = events();
        self.state.lock().unwrap().running -= 1;
        sent
    }

    /// Accepts connections, except while the replica is down or the path to it is cut.
    fn accept(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            listener.set_nonblocking(true).unwrap();
            while !*self.is_cut.lock().unwrap() && !self.state.lock().unwrap().is_down {
                if let Ok((stream, _)) = listener.accept() {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(channel) = stream.try_clone() {
                        self.state.lock().unwrap().channels.push(channel);
                    }
                    let replica = self.clone();
                    thread::spawn(move || replica.serve(stream));
                } else {
                    thread::sleep(Duration::from_millis(1));
                }
            }
            drop(listener);
            Self::reset_channels(&mut self.state.lock().unwrap());
            while *self.is_cut.lock().unwrap() || self.state.lock().unwrap().is_down {
                thread::sleep(Duration::from_millis(2));
            }
            listener = TcpListener::bind(self.address).expect("port of the replica is taken");
        }
    }
}

/// Sends one request on a channel of its own and returns what the client saw.
fn ask(to: SocketAddr, id: &str, model: &str) -> String {
    let body = "x".repeat(1_700);
    let req = format!(
        "POST /notes/1 HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: \
         25000\r\nX-Model: {model}\r\nX-Token-Usage: 826,294\r\nX-Prompt-Prefix: \
         aa:198,{id}:628\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let exchange = || {
        let mut stream = TcpStream::connect(to)?;
        stream.write_all(req.as_bytes())?;
        read_answer(&mut BufReader::new(stream))
    };
    match exchange() {
        Ok(answer) if answer.status == 200 && !answer.is_complete => "cut in the answer".into(),
        Ok(answer) => answer.status.to_string(),
        Err(_) => "cut without an answer".into(),
    }
}

pub fn spawn_ask(
    to: SocketAddr,
    id: String,
    model: String,
    rec: &Record,
) -> thread::JoinHandle<()> {
    let rec = rec.clone();
    thread::spawn(move || {
        let seen = ask(to, &id, &model);
        rec.line(format!("client: request {id} for {model}: {seen}"));
    })
}

/// The configuration: one service with these models, and one route to it.
pub fn configuration(models: impl Iterator<Item = String>) -> String {
    let models: Vec<String> = models
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"weights_mb\":{WEIGHTS_MB},\"load_time_s\":6.0,\"adapters\":0,\
                 \"adapter_size_mb\":66.0,\"warmup_s\":0.6,\"disk_load_s\":1.3}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":3,\"route_table\":[{{\"name\":\"notes\",\"hostname\":\"case.example\",\
         \"path_prefix\":\"/notes/\",\"kind\":\"streaming\",\"timeout_ms\":25000,\
         \"target_latency_ms\":3000,\"priority\":1,\"service\":\"llm\",\"max_attempts\":1,\
         \"session_affinity\":true,\"resumable\":false,\"gap_aim_ms\":250}}],\"services\":[{{\"name\":\
         \"llm\",\"health_check_path\":\"/healthz\",\"max_connections\":230,\"inference_engine\":{{\
         \"slots\":32,\"kv_cache_capacity\":125484,\"models\":[{}],\"weights_mb\":{MEMORY_MB},\
         \"adapter_capacity\":8,\"loads_per_s\":4.8}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        models.join(",")
    )
}
