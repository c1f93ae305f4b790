//! A crowd of requests that are legal in size, whose prompts have very many short parts.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::instance::SMALL_SITE;
use crate::site::{MERGE, Site, is_served, ordinary, request};
use crate::{Case, Verdict};

/// Connections of the crowd to each instance, each with one request.
const CROWD: usize = 1_300;
/// Largest head that the limits allow, in bytes.
const MAX_HEAD: usize = 16_384;
/// Length of a body of the crowd. All but its last byte is sent.
const BODY: usize = 24_000;
/// Ends of a process that the rule counts.
const ENDS: usize = 3;
/// Time of the disruption.
const TIME: Duration = Duration::from_secs(75);

/// A request with a head of at most `MAX_HEAD` bytes.
fn crowd_request(id: usize, has_trouble: bool) -> Vec<u8> {
    let id = format!("{id:016x}");
    let path = format!("{MERGE}2f");
    let head = |prefix: &str| {
        let head = request("POST", &path, &id, Some(("m0", prefix)), 30_000);
        let head = String::from_utf8(head).expect("text");
        head.replace("Content-Length: 0", &format!("Content-Length: {BODY}"))
    };
    let mut request = match has_trouble {
        false => head("5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        true => {
            let pairs = (MAX_HEAD - 64 - head("").len()) / 4;
            let pairs: Vec<String> = (0..pairs).map(|n| format!("{:x}:1", n % 16)).collect();
            head(&pairs.join(","))
        }
    };
    request.push_str(&"x".repeat(BODY - 1));
    request.into_bytes()
}

/// Opens the connections and holds them until `until` or until the instance closes all of them.
fn send_crowd(front: SocketAddr, first_id: usize, has_trouble: bool, until: Instant) -> usize {
    let mut open = Vec::new();
    for n in 0..CROWD {
        if Instant::now() >= until {
            break;
        }
        let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(2)) else {
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
        if stream.write_all(&crowd_request(first_id + n, has_trouble)).is_ok() {
            open.push(stream);
        }
    }
    let sent = open.len();
    let hold = (Instant::now() + Duration::from_secs(8)).min(until);
    thread::sleep(hold.saturating_duration_since(Instant::now()));
    sent
}

pub fn run(case: &Case) -> Verdict {
    let mut site = match Site::start(case, 2, SMALL_SITE, 4) {
        Ok(site) => site,
        Err(why) => return Verdict::CouldNotRun(why),
    };
    thread::sleep(Duration::from_secs(5));
    for (n, instance) in site.instances.iter().enumerate() {
        let answer = ordinary(instance.front, &format!("first-{n}"));
        if !is_served(&answer) {
            return Verdict::CouldNotRun(format!("an ordinary request was not served: {answer:?}"));
        }
        case.record.line(&format!(
            "{}: ordinary request served, {} MB",
            instance.name,
            instance.memory() >> 20
        ));
    }
    let until = Instant::now() + TIME;
    let is_over = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicUsize::new(1));
    let crowds: Vec<_> = site
        .instances
        .iter()
        .map(|instance| {
            let (front, name) = (instance.front, instance.name.clone());
            let (is_over, next_id, record) =
                (is_over.clone(), next_id.clone(), case.record.clone());
            let has_trouble = case.has_trouble;
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) && Instant::now() < until {
                    let first = next_id.fetch_add(CROWD, Ordering::Relaxed);
                    let sent = send_crowd(front, first, has_trouble, until);
                    record.line(&format!("{name}: crowd of {sent} requests, ids from {first:x}"));
                    thread::sleep(Duration::from_millis(500));
                }
            })
        })
        .collect();
    // The platform: kills a process over its memory and starts it again after a short delay.
    let limit = SMALL_SITE.memory_mb << 20;
    let mut ends = vec![0; site.instances.len()];
    let mut peaks = vec![0; site.instances.len()];
    while Instant::now() < until && ends.iter().any(|ends| *ends < ENDS) {
        for (n, instance) in site.instances.iter_mut().enumerate() {
            let memory = instance.memory();
            peaks[n] = peaks[n].max(memory);
            if memory <= limit && !instance.has_ended() {
                continue;
            }
            ends[n] += 1;
            case.record.say(&format!(
                "{}: process ended with {} MB of {} MB",
                instance.name,
                memory >> 20,
                SMALL_SITE.memory_mb
            ));
            instance.kill();
            thread::sleep(Duration::from_millis(300));
            instance.start();
        }
        thread::sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::Relaxed);
    for (n, instance) in site.instances.iter().enumerate() {
        case.record.say(&format!(
            "{}: {} ends, at most {} MB of {} MB",
            instance.name,
            ends[n],
            peaks[n] >> 20,
            SMALL_SITE.memory_mb
        ));
    }
    drop(site);
    for crowd in crowds {
        let _ = crowd.join();
    }
    match ends.iter().all(|ends| *ends >= ENDS) {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
