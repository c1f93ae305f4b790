//! Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Channel, Message};
use crate::json::{Json, quote};

const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    specification: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<String, BTreeMap<String, Object>>,
    /// Revision, kind, whether it is a deletion, and the object.
    events: Vec<(u64, String, bool, String)>,
}

/// A store with its address. Clones share the content.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn render(name: &str, object: &Object) -> String {
    let mut quoted = String::new();
    quote(name, &mut quoted);
    format!(
        "{{\"metadata\":{{\"name\":{quoted},\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deletion_pending\":false}},\"specification\":{},\"status\":null}}",
        object.revision, object.created, object.specification
    )
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl Store {
    pub fn start(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let address = listener.local_addr().expect("bound");
        let state = State { revision: 1, ..State::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        http::serve(listener, move |channel| serving.connection(channel));
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object without a condition.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        self.write(&mut self.state(), kind, name, specification);
    }

    fn write(&self, state: &mut State, kind: &str, name: &str, specification: &str) -> String {
        let known = state.objects.get(kind).and_then(|objects| objects.get(name)).cloned();
        if let Some(known) = &known
            && known.specification == specification
        {
            return render(name, known);
        }
        state.revision += 1;
        let revision = state.revision;
        let created = known.map_or(revision, |known| known.created);
        let object = Object { revision, created, specification: specification.into() };
        let text = render(name, &object);
        state.objects.entry(kind.into()).or_default().insert(name.into(), object);
        state.events.push((revision, kind.into(), false, text.clone()));
        self.shared.1.notify_all();
        text
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state();
        let removed = state.objects.get_mut(kind).and_then(|objects| objects.remove(name));
        if let Some(mut object) = removed {
            state.revision += 1;
            object.revision = state.revision;
            let event = (state.revision, kind.to_string(), true, render(name, &object));
            state.events.push(event);
            self.shared.1.notify_all();
        }
    }

    fn connection(&self, mut channel: Channel) {
        while let Ok(req) = channel.message(false) {
            let (status, body) = self.answer(&req);
            let headers = [("Content-Type", "application/json")];
            if channel.send(&http::response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (&'static str, String) {
        let target = req.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key, decode(value)))
            .collect();
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return ("404 Not Found", "{}".into());
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (decode(kind), Some(decode(name))),
            None => (decode(rest), None),
        };
        match (req.word(0), name) {
            ("GET", Some(name)) => {
                let state = self.state();
                match state.objects.get(&kind).and_then(|objects| objects.get(&name)) {
                    Some(object) => ("200 OK", render(&name, object)),
                    None => ("404 Not Found", "{}".into()),
                }
            }
            ("GET", None) => match query.get("watch_stream").and_then(|at| at.parse().ok()) {
                Some(since) => {
                    let wait = query.get("wait_time_ms").and_then(|ms| ms.parse().ok());
                    ("200 OK", self.watch(&kind, since, wait.unwrap_or(0)))
                }
                None => ("200 OK", self.list(&kind, query.get("after").map_or("", |a| a))),
            },
            (method @ ("POST" | "PUT"), name) => self.put_call(method, &kind, name, &req.text()),
            ("DELETE", Some(name)) => {
                self.remove(&kind, &name);
                ("200 OK", "{}".into())
            }
            _ => ("400 Bad Request", "{}".into()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state();
        let mut items = Vec::new();
        let mut has_more = false;
        for (name, object) in state.objects.get(kind).into_iter().flatten() {
            if name.as_str() <= after {
                continue;
            }
            if items.len() == PAGE {
                has_more = true;
                break;
            }
            items.push(render(name, object));
        }
        let (items, at) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"has_more\":{has_more},\"at\":{at}}}")
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state();
        loop {
            let new = state.events.iter().filter(|(at, k, ..)| *at > since && k == kind);
            let new: Vec<String> = new
                .map(|(_, _, deleted, object)| {
                    format!("{{\"deleted\":{deleted},\"object\":{object}}}")
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", new.join(","), state.revision);
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn put_call(
        &self,
        method: &str,
        kind: &str,
        name: Option<String>,
        body: &str,
    ) -> (&'static str, String) {
        let Some(body) = Json::parse(body) else { return ("400 Bad Request", "{}".into()) };
        let metadata = body.get("metadata");
        let stated = metadata.and_then(|m| m.get("name")).and_then(Json::text).map(String::from);
        let Some(name) = name.or(stated) else { return ("400 Bad Request", "{}".into()) };
        let revision = metadata.and_then(|m| m.get("revision")).and_then(Json::number);
        let specification = body.get("specification").map_or("null".into(), Json::write);
        let mut state = self.state();
        let known = state.objects.get(kind).and_then(|objects| objects.get(&name)).cloned();
        match (method, known) {
            ("POST", Some(known)) => ("409 Conflict", render(&name, &known)),
            ("POST", None) => ("201 Created", self.write(&mut state, kind, &name, &specification)),
            (_, None) => ("404 Not Found", "{}".into()),
            (_, Some(known)) if revision.is_some_and(|at| at != known.revision) => {
                ("409 Conflict", render(&name, &known))
            }
            (_, Some(_)) => ("200 OK", self.write(&mut state, kind, &name, &specification)),
        }
    }
}
