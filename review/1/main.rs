//! Two replicas become unreachable while they load the same model. The loads end behind the cut, so
//! both replicas are full afterwards. Then another model is asked for.

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

const IP: &str = "127.91.1.1";
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

fn run() -> std::io::Result<i32> {
    let rec = Record::create(Path::new("review/1/record.txt"))?;
    let dir = TempDir::create("review-case-1")?;
    let store = Store::start(IP)?;
    let shared = Arc::new(Shared::default());
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let name = |n: usize| format!("m{n}");
        let loaded = index * 3..index * 3 + 3;
        let on_disk = loaded.clone().chain(LOADED_MODELS..MODELS).map(name);
        let phase = index as f64 / REPLICAS as f64;
        let parts = (&store, &rec, &shared);
        let id = format!("e{index}");
        replicas.push(Replica::start(IP, id, loaded.map(name), on_disk, phase, parts)?);
    }
    store.put("config", "main", configuration((0..MODELS).map(|n| format!("m{n}"))));
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
                clients.push(spawn_ask(
                    to,
                    format!("b{n:x}"),
                    format!("m{}", n % LOADED_MODELS),
                    &rec,
                ));
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
    let mut loading: Vec<Arc<Replica>> = Vec::new();
    let look_until = Instant::now() + Duration::from_secs(3);
    while loading.len() < 2 && Instant::now() < look_until {
        thread::sleep(Duration::from_millis(50));
        loading = replicas.iter().filter(|replica| replica.is_loading(BUSY)).cloned().collect();
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
