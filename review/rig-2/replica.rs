//! Stand-in of a replica: an engine that holds models, or a server of a plain service. It follows
//! PROTOCOL.md: it rejects requests for another instance (421), without an id (400) and for models
//! that it does not hold (421), carries out one order for a model at a time, and checks `expect`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Channel, Message, response};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Interval of status reports to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub struct Config {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    /// Models held at the start; `None` for a plain service.
    pub models: Option<Vec<String>>,
    /// Time of a load.
    pub load_time: Duration,
    /// Most models that are held.
    pub max_models: usize,
    /// Events of a stream, and the time between two of them.
    pub events: u32,
    pub interval: Duration,
    /// Time of a call to a plain service.
    pub work: Duration,
}

#[derive(Default)]
struct State {
    models: BTreeMap<String, BTreeSet<String>>,
    sequence: u64,
    /// Order for a model in progress: whether it loads, the model, and when it ends.
    order: Option<(bool, String, Instant)>,
    /// Ids of requests that have run.
    runs: Vec<String>,
}

/// Answers a request in another way than usual; returns false to answer as usual.
pub type Hook = Box<dyn Fn(&mut Channel, &Message) -> bool + Send + Sync>;

pub struct Replica {
    pub config: Config,
    pub address: SocketAddr,
    born: u64,
    state: Mutex<State>,
    beats: AtomicU64,
    active: AtomicU64,
    pub is_draining: AtomicBool,
    pub is_silent: AtomicBool,
    hook: Option<Hook>,
    record: Record,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Replica {
    /// Starts a replica, which registers itself in the store.
    pub fn start(
        address: &str,
        config: Config,
        store: &Store,
        record: &Record,
        hook: Option<Hook>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the replica's address is free");
        let address = listener.local_addr().expect("bound");
        let models = config.models.iter().flatten();
        let models = models.map(|model| (model.clone(), BTreeSet::new())).collect();
        let replica = Arc::new(Self {
            address,
            born: unix_ms(),
            state: Mutex::new(State { models, ..State::default() }),
            beats: AtomicU64::new(0),
            active: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            hook,
            record: record.clone(),
            config,
        });
        let serving = replica.clone();
        http::serve(listener, move |channel| serving.connection(channel));
        replica.beat(store);
        let (beating, store) = (replica.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !beating.is_silent.load(Ordering::Relaxed) {
                    beating.beat(&store);
                }
            }
        });
        replica
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((is_load, model, ends)) = state.order.clone()
            && ends <= Instant::now()
        {
            state.order = None;
            match is_load {
                true => state.models.entry(model).or_default(),
                false => &mut state.models.remove(&model).unwrap_or_default(),
            };
        }
        state
    }

    /// The lists `models` in the replica's description of itself.
    fn models(state: &State) -> String {
        let models = state.models.iter().map(|(name, adapters)| {
            let adapters: Vec<String> = adapters.iter().map(|a| format!("\"{a}\"")).collect();
            format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{}]}}", adapters.join(","))
        });
        models.collect::<Vec<_>>().join(",")
    }

    pub fn beat(&self, store: &Store) {
        let beat = self.beats.fetch_add(1, Ordering::Relaxed) + 1;
        let draining = self.is_draining.load(Ordering::Relaxed);
        let models = match self.config.models {
            Some(_) => format!(
                ",\"inference_stage\":\"combined\",\"models\":[{}]",
                Self::models(&self.state())
            ),
            None => String::new(),
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{}\",\"cold_remaining_ms\":0,\"sequence\":{beat},\"born\":{}{models}}}",
            self.config.service,
            self.address,
            self.config.zone,
            self.config.slots,
            if draining { "draining" } else { "ready" },
            self.born
        );
        store.put("servers", &self.config.id, &entry);
    }

    fn connection(&self, mut channel: Channel) {
        while let Ok(req) = channel.message(false) {
            if !req.is_complete {
                return;
            }
            if let Some(hook) = &self.hook
                && hook(&mut channel, &req)
            {
                return;
            }
            self.active.fetch_add(1, Ordering::Relaxed);
            let is_open = self.answer(&mut channel, &req);
            self.active.fetch_sub(1, Ordering::Relaxed);
            if !is_open {
                return;
            }
        }
    }

    /// Answers a request; false if the connection is to be closed.
    pub fn answer(&self, channel: &mut Channel, req: &Message) -> bool {
        let id = req.header("x-attempt-id").unwrap_or("").to_string();
        let own = self.config.id.as_str();
        if req.header("x-expected-instance").is_some_and(|expected| expected != own) {
            let headers = [("X-Instance-Id", own), ("X-Attempt-Id", &id)];
            return channel.send(&response("421 Misdirected Request", &headers, b"")).is_ok();
        }
        match (req.word(0), req.word(1)) {
            ("POST", "/api/order") => {
                let status = self.order(&req.text());
                return channel.send(&response(status, &[], b"")).is_ok();
            }
            ("GET", "/api/report") => {
                let (state, active) = (self.state(), self.active.load(Ordering::Relaxed));
                let body = format!(
                    "{{\"inference_stage\":\"combined\",\"models\":[{}],\"busy\":{},\"sequence\":{},\
                     \"queued_requests\":0,\"active_requests\":{active},\"kv_cache_used\":0,\
                     \"kv_cache_total\":125876,\"handled_requests\":{},\"born\":{}}}",
                    Self::models(&state),
                    state.order.is_some(),
                    state.sequence,
                    state.runs.len(),
                    self.born
                );
                drop(state);
                let headers = [("Content-Type", "application/json")];
                return channel.send(&response("200 OK", &headers, body.as_bytes())).is_ok();
            }
            ("GET", "/healthz") => {
                return channel.send(&response("200 OK", &[("X-Instance-Id", own)], b"")).is_ok();
            }
            _ => {}
        }
        if id.is_empty() {
            let headers = [("X-Not-Executed", "1")];
            return channel.send(&response("400 Bad Request", &headers, b"")).is_ok();
        }
        if self.config.models.is_some() {
            let model = req.header("x-model").unwrap_or("").to_string();
            let (model, adapter) =
                model.split_once('/').map_or((&*model, None), |(m, a)| (m, Some(a)));
            let state = self.state();
            let held = state.models.get(model);
            if !held.is_some_and(|held| adapter.is_none_or(|adapter| held.contains(adapter))) {
                drop(state);
                let headers =
                    [("X-Attempt-Id", &*id), ("X-Not-Executed", "1"), ("X-Instance-Id", own)];
                return channel.send(&response("421 Misdirected Request", &headers, b"")).is_ok();
            }
        }
        self.state().runs.push(id.clone());
        self.record.line(&format!("run {id} at {own}"));
        match self.config.models {
            Some(_) => self.stream(channel, &id),
            None => {
                thread::sleep(self.config.work);
                let proof = format!("proof-{id}");
                let headers = [
                    ("X-Attempt-Id", &*id),
                    ("X-Response-Signature", &proof),
                    ("Keep-Alive", "timeout=5"),
                ];
                channel.send(&response("200 OK", &headers, format!("done {id}").as_bytes())).is_ok()
            }
        }
    }

    fn stream(&self, channel: &mut Channel, id: &str) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: proof-{id}\r\n\
             X-Weight-Versions: 1\r\nKeep-Alive: timeout=5\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if channel.send(head.as_bytes()).is_err() {
            return false;
        }
        for n in 1..=self.config.events {
            thread::sleep(self.config.interval);
            let event = format!("id: {n}\ndata: {id} {n}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if channel.send(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        channel.send(b"0\r\n\r\n").is_ok()
    }

    fn order(&self, body: &str) -> &'static str {
        let Some(order) = Json::parse(body) else { return "400 Bad Request" };
        let text = |key: &str| order.get(key).and_then(Json::text).map(String::from);
        let (Some(operation), Some(model), Some(holder)) =
            (text("operation"), text("model_id"), text("lock_holder"))
        else {
            return "400 Bad Request";
        };
        let adapter = text("adapter_id");
        let fence = order.get("fencing_token").and_then(Json::number).unwrap_or(0);
        let mut state = self.state();
        let is_load = operation == "model_load";
        let held = state.models.get(&model);
        let holds = match &adapter {
            Some(adapter) => held.is_some_and(|held| held.contains(adapter)),
            None => held.is_some(),
        };
        let expected = order.get("expect").and_then(Json::number);
        let status = if state.order.is_some() {
            "409 Conflict"
        } else if holds == is_load {
            "200 OK"
        } else if expected.is_some_and(|expected| expected != state.sequence) {
            "409 Conflict"
        } else if let Some(adapter) = &adapter {
            state.sequence += 1;
            let held = state.models.entry(model.clone()).or_default();
            let changed = if is_load { held.insert(adapter.clone()) } else { held.remove(adapter) };
            if changed && is_load { "202 Accepted" } else { "200 OK" }
        } else if is_load && state.models.len() >= self.config.max_models {
            self.record.line(&format!("{} was ordered to load more than it holds", self.config.id));
            "400 Bad Request"
        } else {
            state.sequence += 1;
            let time = if is_load { self.config.load_time } else { Duration::from_millis(50) };
            state.order = Some((is_load, model.clone(), Instant::now() + time));
            "202 Accepted"
        };
        drop(state);
        self.record.line(&format!(
            "order at {} from {holder} fence {fence}: {operation} {model} {} -> {status}",
            self.config.id,
            adapter.unwrap_or_default()
        ));
        status
    }
}
