//! Fake platform in virtual time, shared by the tests of the decision crates.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use rand::Rng;
use types::object::{CallId, Condition, ObjectAnswer, ObjectCall, ObjectKey};

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Faults that the platform injects.
#[derive(Clone, Debug)]
pub(crate) struct Faults {
    /// Latency of an answer in milliseconds. The call takes effect after half of it.
    pub(crate) latency_ms: Range<u64>,
    /// Periods in which no call reaches the platform.
    pub(crate) outages: Vec<Range<Instant>>,
    /// Callers whose calls do not reach the platform, and in which period.
    pub(crate) partitions: Vec<(usize, Range<Instant>)>,
    /// Fraction of the answers that are lost. Half of these calls take effect only after twice the
    /// timeout.
    pub(crate) answer_loss: f64,
}

enum Event {
    Effect { caller: usize, call: CallId, request: ObjectCall, answer_at: Option<Instant> },
    Answer { caller: usize, call: CallId, answer: ObjectAnswer },
}

/// Versioned objects with conditional writes. Records every call and every value written.
pub(crate) struct FakePlatform {
    pub(crate) faults: Faults,
    pub(crate) objects: BTreeMap<ObjectKey, (u64, Vec<u8>)>,
    /// Every value ever written, in order.
    pub(crate) history: Vec<(Instant, ObjectKey, Vec<u8>)>,
    /// Calls that reached the platform: when, and whether each was a write.
    pub(crate) calls: Vec<(Instant, bool)>,
    version: u64,
    queue: BTreeMap<(Instant, u64), Event>,
    next_event: u64,
}

#[allow(dead_code, reason = "not every test file uses every helper")]
impl FakePlatform {
    pub(crate) fn new() -> Self {
        let faults = Faults {
            latency_ms: 2..8,
            outages: Vec::new(),
            partitions: Vec::new(),
            answer_loss: 0.0,
        };
        Self {
            faults,
            objects: BTreeMap::new(),
            history: Vec::new(),
            calls: Vec::new(),
            version: 0,
            queue: BTreeMap::new(),
            next_event: 0,
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), event);
    }

    pub(crate) fn submit(
        &mut self,
        now: Instant,
        caller: usize,
        call: CallId,
        request: ObjectCall,
        rng: &mut impl Rng,
    ) {
        let is_cut_off = self
            .faults
            .partitions
            .iter()
            .any(|(node, period)| *node == caller && period.contains(&now));
        if is_cut_off || self.faults.outages.iter().any(|period| period.contains(&now)) {
            let (after, answer) = match rng.random_bool(0.5) {
                true => (Duration::from_millis(1), ObjectAnswer::Failed),
                false => (TIMEOUT, ObjectAnswer::Lost),
            };
            self.push(now + after, Event::Answer { caller, call, answer });
            return;
        }
        let latency = Duration::from_millis(rng.random_range(self.faults.latency_ms.clone()));
        let lost = latency > TIMEOUT
            || (self.faults.answer_loss > 0.0 && rng.random_bool(self.faults.answer_loss));
        let is_late = lost && rng.random_bool(0.5);
        let effect = now + latency / 2 + if is_late { TIMEOUT * 2 } else { Duration::ZERO };
        if lost {
            let answer = ObjectAnswer::Lost;
            self.push(now + TIMEOUT, Event::Answer { caller, call, answer });
        }
        let answer_at = (!lost).then_some(now + latency);
        self.push(effect, Event::Effect { caller, call, request, answer_at });
    }

    pub(crate) fn next_event_at(&self) -> Option<Instant> {
        self.queue.keys().next().map(|(at, _)| *at)
    }

    /// Runs all due events and returns the answers that arrive: caller, call and answer.
    pub(crate) fn step(&mut self, now: Instant) -> Vec<(usize, CallId, ObjectAnswer)> {
        let mut answers = Vec::new();
        while self.next_event_at().is_some_and(|at| at <= now) {
            let Some(((at, _), event)) = self.queue.pop_first() else { break };
            match event {
                Event::Answer { caller, call, answer } => answers.push((caller, call, answer)),
                Event::Effect { caller, call, request, answer_at } => {
                    let answer = self.apply(at, request);
                    if let Some(at) = answer_at {
                        self.push(at, Event::Answer { caller, call, answer });
                    }
                }
            }
        }
        answers
    }

    fn apply(&mut self, now: Instant, request: ObjectCall) -> ObjectAnswer {
        self.calls.push((now, matches!(request, ObjectCall::Write { .. })));
        match request {
            ObjectCall::ReadIfChanged { key, known }
                if self.objects.get(&key).is_some_and(|(version, _)| *version == known) =>
            {
                ObjectAnswer::Unchanged
            }
            ObjectCall::Read { key } | ObjectCall::ReadIfChanged { key, .. } => {
                match self.objects.get(&key) {
                    Some((version, value)) => {
                        ObjectAnswer::Found { version: *version, value: value.clone() }
                    }
                    None => ObjectAnswer::Missing,
                }
            }
            ObjectCall::Write { key, condition, value } => {
                let is_met = match (condition, self.objects.get(&key)) {
                    (Condition::Absent, None) => true,
                    (Condition::Version(wanted), Some((version, _))) => wanted == *version,
                    _ => false,
                };
                if !is_met {
                    return ObjectAnswer::Conflict;
                }
                assert!(value.len() <= 1_000_000, "value of {key:?} has {} bytes", value.len());
                self.version += 1;
                self.history.push((now, key.clone(), value.clone()));
                self.objects.insert(key, (self.version, value));
                ObjectAnswer::Written { version: self.version }
            }
        }
    }

    /// Highest number of calls within one second: writes if `writes`, otherwise reads.
    pub(crate) fn peak_per_second(&self, writes: bool) -> usize {
        let times: Vec<Instant> =
            self.calls.iter().filter(|(_, w)| *w == writes).map(|(at, _)| *at).collect();
        let within = |from: Instant| {
            times.iter().filter(|at| **at >= from && **at < from + Duration::from_secs(1)).count()
        };
        times.iter().map(|at| within(*at)).max().unwrap_or_default()
    }
}
