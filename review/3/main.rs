//! The platform's store is down for some seconds while models are loaded from the weight store. The
//! one instance loses its lease meanwhile and regains it. Afterwards other models are asked for.

#[path = "../common/replica.rs"]
mod replica;
#[path = "../common/rig.rs"]
mod rig;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use replica::{REPLICAS, Replica, Shared, configuration, spawn_ask};
use rig::{Entry, Record, Store, TempDir, has_trouble};

const IP: &str = "127.91.3.1";
/// Models: three are loaded on each replica at the start, `a..` have no copy anywhere, and `w..` are on
/// the disks of all replicas.
const LOADED_MODELS: usize = 54;
const NEW_MODELS: usize = 2;
const WANTED_MODELS: usize = 60;
/// Length of the outage of the store; see claim.txt.
const OUTAGE: Duration = Duration::from_millis(4_000);
/// Time from the second pair of loads until the last request.
const REQUEST_TIME: Duration = Duration::from_millis(10_800);

fn run() -> std::io::Result<i32> {
    let rec = Record::create(Path::new("review/3/record.txt"))?;
    let dir = TempDir::create("review-case-3")?;
    let store = Store::start(IP)?;
    let shared = Arc::new(Shared::default());
    let wanted = |n: usize| format!("w{n}");
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let loaded = (index * 3..index * 3 + 3).map(|n| format!("m{n}"));
        // Copies of the models of the two replicas that leave are everywhere.
        let kept = (0..6).map(|n| format!("m{n}"));
        let on_disk = loaded.clone().chain(kept).chain((0..WANTED_MODELS).map(wanted));
        let phase = index as f64 / REPLICAS as f64;
        let parts = (&store, &rec, &shared);
        replicas.push(Replica::start(IP, format!("e{index}"), loaded, on_disk, phase, parts)?);
    }
    let models = (0..LOADED_MODELS).map(|n| format!("m{n}"));
    let models = models.chain((0..NEW_MODELS).map(|n| format!("a{n}")));
    store.put("config", "main", configuration(models.chain((0..WANTED_MODELS).map(wanted))));
    let entry = Entry::start(&dir.0, "edge-1", IP, store.address)?;
    if !entry.wait_until_ready(Duration::from_secs(10)) {
        rec.line("the entry process does not become ready");
        return Ok(rig::CANNOT_RUN);
    }
    let to = entry.callers;
    // The instance loads the models without a copy, two at a time.
    let loading = || {
        let loads = replicas.iter().filter(|replica| {
            let state = replica.state.lock().unwrap();
            let is_new = |(model, _): &(String, Instant)| model.starts_with('a');
            !state.is_draining && state.loading.as_ref().is_some_and(is_new)
        });
        loads.cloned().collect::<Vec<_>>()
    };
    let wait_for_loads = |what: &str| {
        let until = Instant::now() + Duration::from_secs(5);
        while loading().len() < 2 && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        let names: Vec<String> = loading().iter().map(|replica| replica.name.clone()).collect();
        rec.line(format!("{what}: {names:?}"));
        names.len() >= 2
    };
    if !wait_for_loads("replicas that load from the weight store") {
        return Ok(rig::CANNOT_RUN);
    }
    thread::sleep(Duration::from_secs(2));
    // Planned work: these two replicas are taken away.
    loading().iter().for_each(Replica::drain);
    if !wait_for_loads("replicas that load from the weight store instead") {
        return Ok(rig::CANNOT_RUN);
    }
    let loads_began = Instant::now();
    if has_trouble() {
        rec.line("the store is down");
        store.is_down.store(true, Ordering::Relaxed);
    }
    thread::sleep(OUTAGE);
    store.is_down.store(false, Ordering::Relaxed);
    rec.line("the store is up");
    let mut clients = Vec::new();
    let mut wanted_models = (0..WANTED_MODELS).map(wanted).cycle().enumerate();
    while loads_began.elapsed() < REQUEST_TIME
        && let Some((n, model)) = wanted_models.next()
    {
        clients.push(spawn_ask(to, format!("c{n:x}"), model, &rec));
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(4));
    clients.into_iter().for_each(|client| drop(client.join()));
    let overloads = shared.overloads.load(Ordering::Relaxed);
    rec.line(format!(
        "orders beyond the memory of a replica: {overloads}; requests that these replicas were \
         running: {}",
        shared.cut_runs.load(Ordering::Relaxed)
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
