//! Two replicas become unreachable while they load the same model. The loads end behind the cut, so
//! both replicas are full afterwards. Then another model is asked for.

#[path = "../common/rig.rs"]
mod rig;

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rig::{Entry, HttpRequest, Record, Store, TempDir, has_trouble, read_answer, read_request};

const IP: &str = "127.91.1.1";
/// Replicas of the service at the site, memory for weights and size of the weights of a model.
const REPLICAS: usize = 18;
const MEMORY_MB: f64 = 230_000.0;
const WEIGHTS_MB: f64 = 72_700.0;
/// Load times from the weight store and from the replica's disk.
const STORE_LOAD: Duration = Duration::from_secs(6);
const DISK_LOAD: Duration = Duration::from_millis(1_300);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Models: `m0` to `m53` are loaded at the start, three on each replica. The others are only on the
/// disks of the replicas.
const MODELS: usize = 60;
const LOADED_MODELS: usize = 54;
const BUSY: &str = "m54";
const LATER: [&str; 3] = ["m55", "m56", "m57"];
/// Requests for the busy model that come at once.
const BUSY_REQUESTS: usize = 10;
/// Length of the cut, and the most replicas that it takes; see claim.txt.
const CUT_TIME: Duration = Duration::from_millis(5_500);
const MAX_CUT: usize = 3;

struct State {
    born: u128,
    models: BTreeSet<String>,
    on_disk: BTreeSet<String>,
    loading: Option<(String, Instant)>,
    sequence: u64,
    is_down: bool,
    channels: Vec<TcpStream>,
    running: u32,
}

struct Replica {
    name: String,
    address: SocketAddr,
    state: Mutex<State>,
    /// Whether the path from the entry process is cut. Connections are refused then.
    is_cut: Mutex<bool>,
    rec: Record,
    overloads: Arc<AtomicU32>,
    cut_runs: Arc<AtomicU32>,
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

impl State {
    fn finish_load(&mut self) {
        if self.loading.as_ref().is_some_and(|(_, at)| *at <= Instant::now())
            && let Some((model, _)) = self.loading.take()
        {
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
        let models: Vec<String> = models
            .map(|m| format!("{{\"name\":\"{m}\",\"version\":1,\"adapters\":[]}}"))
            .collect();
        format!("[{}]", models.join(","))
    }
}

impl Replica {
    fn entry(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.finish_load();
        format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":32,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{},\"born\":{},\
             \"inference_stage\":\"combined\",\"models\":{},\"available\":{}}}",
            self.address,
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
        self.cut_runs.fetch_add(state.running, Ordering::Relaxed);
        self.rec.line(format!("{}: crashes under {} running requests", self.name, state.running));
        state.is_down = true;
        Self::reset_channels(&mut state);
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(2));
            let mut state = replica.state.lock().unwrap();
            (state.is_down, state.born, state.sequence) = (false, unix_ms(), 0);
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
        state.finish_load();
        let status = if is_load && state.models.contains(&model) {
            200
        } else if state.loading.is_some() || expected.is_some_and(|n| n != state.sequence) {
            409
        } else if is_load {
            let used = state.models.len() as f64 * WEIGHTS_MB;
            if used + WEIGHTS_MB > MEMORY_MB {
                self.overloads.fetch_add(1, Ordering::Relaxed);
                self.rec.line(format!(
                    "{}: ORDERED TO LOAD {model} BEYOND ITS MEMORY; holds {:?}",
                    self.name, state.models
                ));
                drop(state);
                self.crash();
                return 0;
            }
            state.sequence += 1;
            let time = if state.on_disk.contains(&model) { DISK_LOAD } else { STORE_LOAD };
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
                state.finish_load();
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
            state.finish_load();
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

fn spawn_ask(to: SocketAddr, id: String, model: String, rec: &Record) -> thread::JoinHandle<()> {
    let rec = rec.clone();
    thread::spawn(move || {
        let seen = ask(to, &id, &model);
        rec.line(format!("client: request {id} for {model}: {seen}"));
    })
}

fn configuration() -> String {
    let models: Vec<String> = (0..MODELS)
        .map(|n| {
            format!(
                "{{\"name\":\"m{n}\",\"weights_mb\":{WEIGHTS_MB},\"load_time_s\":6.0,\"adapters\":0,\
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

fn run() -> std::io::Result<i32> {
    let rec = Record::create(Path::new("review/1/record.txt"))?;
    let dir = TempDir::create("review-case-1")?;
    let store = Store::start(IP)?;
    let (overloads, cut_runs) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let listener = TcpListener::bind((IP, 0))?;
        let replica = Arc::new(Replica {
            name: format!("e{index}"),
            address: listener.local_addr()?,
            state: Mutex::new(State {
                born: unix_ms(),
                models: (0..3).map(|n| format!("m{}", index * 3 + n)).collect(),
                on_disk: (0..3)
                    .map(|n| index * 3 + n)
                    .chain(LOADED_MODELS..MODELS)
                    .map(|n| format!("m{n}"))
                    .collect(),
                loading: None,
                sequence: 0,
                is_down: false,
                channels: Vec::new(),
                running: 0,
            }),
            is_cut: Mutex::new(false),
            rec: rec.clone(),
            overloads: overloads.clone(),
            cut_runs: cut_runs.clone(),
        });
        store.put("servers", &replica.name, replica.entry());
        let (accepting, writing, store) = (replica.clone(), replica.clone(), store.clone());
        thread::spawn(move || accepting.accept(listener));
        // The replicas reach the store all the time.
        thread::spawn(move || {
            thread::sleep(HEARTBEAT.mul_f64(index as f64 / REPLICAS as f64));
            loop {
                if !writing.state.lock().unwrap().is_down {
                    store.put("servers", &writing.name, writing.entry());
                }
                thread::sleep(HEARTBEAT);
            }
        });
        replicas.push(replica);
    }
    store.put("config", "main", configuration());
    let entry = Entry::start(&dir.0, "edge-1", IP, store.address)?;
    if !entry.wait_until_ready(Duration::from_secs(10)) {
        rec.line("the entry process does not become ready");
        return Ok(rig::CANNOT_RUN);
    }
    thread::sleep(Duration::from_secs(8));
    let to = entry.callers;
    let mut clients = Vec::new();
    // Usual traffic, which keeps the replicas at work.
    let background = {
        let rec = rec.clone();
        thread::spawn(move || {
            let mut clients = Vec::new();
            for n in 0..200_usize {
                clients.push(spawn_ask(to, format!("b{n:x}"), format!("m{}", n % LOADED_MODELS), &rec));
                thread::sleep(Duration::from_millis(100));
            }
            clients.into_iter().for_each(|client| drop(client.join()));
        })
    };
    thread::sleep(Duration::from_secs(1));
    rec.line(format!("{BUSY_REQUESTS} requests for {BUSY}, which no replica holds"));
    for n in 0..BUSY_REQUESTS {
        clients.push(spawn_ask(to, format!("a{n:x}"), BUSY.into(), &rec));
    }
    let is_loading = |replica: &&Arc<Replica>| {
        let state = replica.state.lock().unwrap();
        state.loading.as_ref().is_some_and(|(model, _)| model == BUSY)
    };
    let mut loading: Vec<Arc<Replica>> = Vec::new();
    let look_until = Instant::now() + Duration::from_secs(3);
    while loading.len() < 2 && Instant::now() < look_until {
        thread::sleep(Duration::from_millis(50));
        loading = replicas.iter().filter(is_loading).cloned().collect();
    }
    rec.line(format!("{} replicas load {BUSY}", loading.len()));
    if has_trouble() {
        if loading.len() < 2 || loading.len() > MAX_CUT {
            rec.line("not two or three replicas at once: the case cannot run");
            return Ok(rig::CANNOT_RUN);
        }
        for replica in &loading {
            rec.line(format!("{}: cut off from the machines", replica.name));
            *replica.is_cut.lock().unwrap() = true;
        }
        thread::sleep(CUT_TIME);
        for replica in &loading {
            rec.line(format!("{}: reached again", replica.name));
            *replica.is_cut.lock().unwrap() = false;
        }
    } else {
        thread::sleep(CUT_TIME);
    }
    thread::sleep(Duration::from_secs(4));
    for model in LATER {
        rec.line(format!("a request for {model}, which no replica holds"));
        clients.push(spawn_ask(to, format!("c{model}"), model.into(), &rec));
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(Duration::from_secs(8));
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(background.join());
    let overloads = overloads.load(Ordering::Relaxed);
    rec.line(format!(
        "orders beyond the memory of a replica: {overloads}; requests that these replicas were \
         running: {}",
        cut_runs.load(Ordering::Relaxed)
    ));
    Ok(if overloads > 0 { rig::BROKEN } else { rig::HELD })
}

fn main() {
    match run() {
        Ok(code) => exit(code),
        Err(error) => {
            eprintln!("case cannot run: {error}");
            exit(rig::CANNOT_RUN);
        }
    }
}
