//! One replica answers with a body that never ends, in chunks of one byte. The memory of the entry
//! processes is watched as the platform does it: a process at more than `memory_mb` is killed, and
//! started again after a short delay.

#[path = "../common/rig.rs"]
mod rig;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::{Entry, Record, Store, TempDir, has_trouble, listen, read_answer, read_request};

const IP: &str = "127.91.2.1";
/// `memory_mb` of the machines at the site.
const MEMORY_LIMIT_KIB: u64 = 260 * 1024;
/// Machines, and the ends of processes on each of two that break the rule.
const MACHINES: usize = 2;
const MAX_ENDS: u32 = 3;
/// Delay before a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Clients of a machine, each with one kept connection and one request at a time.
const CLIENTS: usize = 22;
/// Replicas of the service at the site; one of them is faulty.
const REPLICAS: usize = 18;
/// Events of a stream and the time between two of them.
const EVENTS: u32 = 49;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
const RUN_TIME: Duration = Duration::from_secs(80);

/// What the requests of the clients came to.
#[derive(Default)]
struct Counts {
    answered: AtomicU32,
    refused_or_failed: AtomicU32,
    /// Requests that a sound replica was running when their channel was closed.
    cut_at_sound: AtomicU32,
    cut_elsewhere: AtomicU32,
}

/// Ids of the requests that reached a sound replica.
type Reached = Arc<Mutex<std::collections::HashSet<String>>>;

fn serve_replica(stream: TcpStream, name: &str, is_faulty: bool, reached: &Reached, rec: &Record) {
    let Ok(reader) = stream.try_clone() else { return };
    let (mut reader, mut stream) = (BufReader::new(reader), stream);
    while let Ok(Some(req)) = read_request(&mut reader) {
        let id = req.header("x-attempt-id").unwrap_or("").to_owned();
        if req.target.starts_with("/api/") {
            let body = "{\"inference_stage\":\"combined\",\"models\":[{\"name\":\"m1\",\"version\":1,\
                        \"adapters\":[]}],\"busy\":false,\"sequence\":0,\"born\":1700000000000}";
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let head = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {name}.{id}\r\n\
                 Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
        };
        if is_faulty {
            rec.line(format!("replica {name} gets {id}: answers 500 with a body without end"));
            let _ = stream.write_all(head("500 Error").as_bytes());
            let chunks = b"1\r\nx\r\n".repeat(8_192);
            let mut sent = 0_u64;
            while stream.write_all(&chunks).is_ok() {
                sent += 8_192;
            }
            rec.line(format!("replica {name}: caller closed {id} after {sent} bytes of the body"));
            return;
        }
        reached.lock().unwrap().insert(id.clone());
        if stream.write_all(head("200 OK").as_bytes()).is_err() {
            return;
        }
        for event in 1..=EVENTS {
            let text = format!("id: {event}\ndata: token-{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
            thread::sleep(EVENT_INTERVAL);
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

fn client(
    index: usize,
    to: SocketAddr,
    stop: &AtomicBool,
    counts: &Counts,
    reached: &Reached,
    rec: &Record,
) {
    let mut channel: Option<(BufReader<TcpStream>, TcpStream)> = None;
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        if channel.is_none() {
            let Ok(stream) = TcpStream::connect(to) else {
                thread::sleep(Duration::from_millis(200));
                continue;
            };
            let _ = stream.set_nodelay(true);
            let Ok(reader) = stream.try_clone() else { continue };
            channel = Some((BufReader::new(reader), stream));
        }
        let Some((reader, stream)) = &mut channel else { continue };
        let id = format!("c{index}n{n}");
        let body = "x".repeat(1_700);
        let req = format!(
            "POST /notes/1 HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: \
             25000\r\nX-Model: m1\r\nX-Token-Usage: 826,294\r\nX-Prompt-Prefix: aa:198,{n:x}:628\
             \r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = match stream.write_all(req.as_bytes()) {
            Ok(()) => read_answer(reader).ok(),
            Err(_) => None,
        };
        match answer {
            Some(answer) if answer.status == 200 && answer.is_complete => {
                counts.answered.fetch_add(1, Ordering::Relaxed);
                rec.line(format!("client {index}: {id} answered, complete"));
            }
            Some(answer) if answer.status != 200 => {
                counts.refused_or_failed.fetch_add(1, Ordering::Relaxed);
                rec.line(format!("client {index}: {id} answered with {}", answer.status));
                thread::sleep(Duration::from_millis(300));
            }
            _ => {
                let was_at_sound = reached.lock().unwrap().contains(&id);
                let counter =
                    if was_at_sound { &counts.cut_at_sound } else { &counts.cut_elsewhere };
                counter.fetch_add(1, Ordering::Relaxed);
                let place = if was_at_sound { "a sound replica" } else { "no sound replica" };
                rec.line(format!(
                    "client {index}: channel closed under {id}, which ran at {place}"
                ));
                channel = None;
                thread::sleep(Duration::from_millis(300));
            }
        }
    }
}

fn run() -> std::io::Result<i32> {
    let rec = Record::create(Path::new("review/2/record.txt"))?;
    let dir = TempDir::create("review-case-2")?;
    let store = Store::start(IP)?;
    let reached = Reached::default();
    for index in 0..REPLICAS {
        let name = format!("e{index}");
        let is_faulty = index == 0 && has_trouble();
        let (reached, replica_rec, own) = (reached.clone(), rec.clone(), name.clone());
        let address = listen(IP, move |stream| {
            serve_replica(stream, &own, is_faulty, &reached, &replica_rec);
        })?;
        store.put(
            "servers",
            &name,
            format!(
                "{{\"service\":\"llm\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\
                 \"v1\",\"slots\":32,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\
                 \"born\":1700000000000,\"models\":[{{\"name\":\"m1\",\"version\":1,\"adapters\":[]\
                 }}]}}"
            ),
        );
    }
    store.put(
        "config",
        "main",
        "{\"version\":3,\"route_table\":[{\"name\":\"notes\",\"hostname\":\"case.example\",\
         \"path_prefix\":\"/notes/\",\"kind\":\"streaming\",\"timeout_ms\":25000,\
         \"target_latency_ms\":3000,\"priority\":1,\"service\":\"llm\",\"max_attempts\":1,\
         \"session_affinity\":true,\"resumable\":false,\"gap_aim_ms\":250}],\"services\":[{\"name\":\
         \"llm\",\"health_check_path\":\"/healthz\",\"max_connections\":230,\"inference_engine\":{\
         \"slots\":32,\"kv_cache_capacity\":125484,\"models\":[{\"name\":\"m1\",\"weights_mb\":\
         65100.0,\"load_time_s\":6.0,\"adapters\":0,\"adapter_size_mb\":12.0,\"warmup_s\":0.57,\
         \"disk_load_s\":1.2}],\"weights_mb\":230000.0,\"adapter_capacity\":8,\"loads_per_s\":4.8}}],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":\
         3000,\"idle_timeout_ms\":15000}}",
    );
    let mut entries = Vec::new();
    for n in 1..=MACHINES {
        entries.push(Entry::start(&dir.0, &format!("edge-{n}"), IP, store.address)?);
    }
    if !entries.iter().all(|entry| entry.wait_until_ready(Duration::from_secs(10))) {
        rec.line("the entry processes do not become ready");
        return Ok(rig::CANNOT_RUN);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let running = Arc::new(AtomicUsize::new(0));
    for index in 0..CLIENTS * MACHINES {
        let (stop, counts, reached) = (stop.clone(), counts.clone(), reached.clone());
        let (rec, running) = (rec.clone(), running.clone());
        let to = entries[index % MACHINES].callers;
        running.fetch_add(1, Ordering::Relaxed);
        thread::spawn(move || {
            client(index, to, &stop, &counts, &reached, &rec);
            running.fetch_sub(1, Ordering::Relaxed);
        });
        thread::sleep(Duration::from_millis(45));
    }
    let ends_at = Instant::now() + RUN_TIME;
    let mut ends = [0; MACHINES];
    let mut next_line = Instant::now();
    while Instant::now() < ends_at && ends.iter().any(|n| *n < MAX_ENDS) {
        let is_line_due = Instant::now() >= next_line;
        if is_line_due {
            next_line += Duration::from_secs(1);
        }
        for (entry, ends) in entries.iter_mut().zip(&mut ends) {
            let (kib, _) = entry.memory_kib();
            if is_line_due {
                rec.line(format!("{}: {} MB resident", entry.name, kib / 1024));
            }
            let is_over = kib > MEMORY_LIMIT_KIB;
            if is_over {
                rec.line(format!("{}: {} MB, over its limit; killed", entry.name, kib / 1024));
                entry.kill();
            }
            let how = if is_over { None } else { entry.ended() };
            if let Some(how) = &how {
                rec.line(format!("{}: ended by itself: {how}", entry.name));
            }
            if is_over || how.is_some() {
                *ends += 1;
                thread::sleep(RESTART_DELAY);
                entry.restart()?;
                rec.line(format!("{}: started again", entry.name));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::Relaxed);
    let wait_until = Instant::now() + Duration::from_secs(5);
    while running.load(Ordering::Relaxed) > 0 && Instant::now() < wait_until {
        thread::sleep(Duration::from_millis(50));
    }
    let get = |counter: &AtomicU32| counter.load(Ordering::Relaxed);
    let cut = get(&counts.cut_at_sound);
    rec.line(format!(
        "answered {}, refused or failed {}, cut while a sound replica ran them {cut}, cut elsewhere {}",
        get(&counts.answered),
        get(&counts.refused_or_failed),
        get(&counts.cut_elsewhere)
    ));
    rec.line(format!("ends of processes by machine: {ends:?}"));
    if get(&counts.answered) == 0 {
        return Ok(rig::CANNOT_RUN);
    }
    let is_broken = ends.iter().filter(|n| **n >= MAX_ENDS).count() >= 2;
    Ok(if is_broken { rig::BROKEN } else { rig::HELD })
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
