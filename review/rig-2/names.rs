//! Requests for models that nobody has, each with another name.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Channel;
use crate::instance::SMALL_SITE;
use crate::site::{MERGE, Site, is_served, ordinary, request};
use crate::{Case, Verdict};

/// Clients at each instance. Each keeps a channel and waits for each answer.
const CLIENTS: usize = 8;
/// Length of a name; the head stays under the limit of 16,384 bytes.
const NAME_BYTES: usize = 15_500;
/// Time budget of the requests.
const BUDGET_MS: u32 = 50;
/// Names that are used again and again without the disruption.
const KNOWN_NAMES: usize = 4;
/// Ends of a process that the rule counts.
const ENDS: usize = 3;
/// Time of the disruption.
const TIME: Duration = Duration::from_secs(85);

fn name(id: usize, has_trouble: bool) -> String {
    let id = if has_trouble { id } else { id % KNOWN_NAMES };
    format!("m{id:016x}{}", "x".repeat(NAME_BYTES - 17))
}

/// Sends one request after the other until an answer is missing or `is_over`.
fn ask(
    front: SocketAddr,
    next_id: &AtomicUsize,
    answered: &AtomicUsize,
    has_trouble: bool,
    is_over: &AtomicBool,
) {
    let Ok(mut channel) = Channel::connect(front, Duration::from_secs(5)) else { return };
    while !is_over.load(Ordering::Relaxed) {
        let id = next_id.fetch_add(1, Ordering::Relaxed);
        let name = name(id, has_trouble);
        let prompt = Some((name.as_str(), "5c1e07a2:800,91bd3f06:410,e4402b7d:250"));
        let path = format!("{MERGE}2f");
        let bytes = request("POST", &path, &format!("{id:016x}"), prompt, BUDGET_MS);
        if channel.send(&bytes).is_err() {
            return;
        }
        let Ok(answer) = channel.message(true) else { return };
        answered.fetch_add(1, Ordering::Relaxed);
        if answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            return;
        }
    }
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
    }
    let until = Instant::now() + TIME;
    let is_over = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicUsize::new(1));
    let answered: Vec<_> = site.instances.iter().map(|_| Arc::new(AtomicUsize::new(0))).collect();
    for (instance, answered) in site.instances.iter().zip(&answered) {
        for _ in 0..CLIENTS {
            let (front, has_trouble) = (instance.front, case.has_trouble);
            let (is_over, next_id, answered) = (is_over.clone(), next_id.clone(), answered.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    ask(front, &next_id, &answered, has_trouble, &is_over);
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
    }
    // The platform: kills a process over its memory and starts it again after a short delay.
    let limit = SMALL_SITE.memory_mb << 20;
    let mut ends = vec![0; site.instances.len()];
    let mut peaks = vec![0; site.instances.len()];
    let mut next_line = Instant::now();
    while Instant::now() < until && ends.iter().any(|ends| *ends < ENDS) {
        let is_line_due = Instant::now() >= next_line;
        for (n, instance) in site.instances.iter_mut().enumerate() {
            let memory = instance.memory();
            peaks[n] = peaks[n].max(memory);
            if is_line_due {
                let answered = answered[n].load(Ordering::Relaxed);
                case.record.line(&format!(
                    "{}: {} MB, {answered} requests answered so far",
                    instance.name,
                    memory >> 20
                ));
            }
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
        if is_line_due {
            next_line = Instant::now() + Duration::from_secs(1);
        }
        thread::sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::Relaxed);
    for (n, instance) in site.instances.iter().enumerate() {
        case.record.say(&format!(
            "{}: {} ends, at most {} MB of {} MB, {} requests answered",
            instance.name,
            ends[n],
            peaks[n] >> 20,
            SMALL_SITE.memory_mb,
            answered[n].load(Ordering::Relaxed)
        ));
    }
    match ends.iter().all(|ends| *ends >= ENDS) {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
