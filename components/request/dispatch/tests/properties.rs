//! Property tests of dispatch over generated sequences of sends, lost parts and events that reach
//! the wrong request.

use dispatch::*;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        idempotent: bool,
    },
    Send {
        pick: usize,
        server: usize,
        runs: bool,
        parts: u64,
    },
    ConnectFails {
        pick: usize,
    },
    /// The next event of attempt `attempt` reaches request `pick`, to which the attempt need not
    /// belong.
    Event {
        pick: usize,
        attempt: Option<usize>,
        kind: EventKind,
    },
    NotStarted {
        pick: usize,
        attempt: Option<usize>,
    },
    Resume {
        pick: usize,
    },
    Retry {
        pick: usize,
    },
    Advance {
        ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
enum EventKind {
    Next,
    Skip,
    Duplicate,
    Break,
}

fn step() -> impl Strategy<Value = Step> {
    let pick = any::<usize>;
    let maybe_other_attempt = || prop_oneof![4 => Just(None), 1 => any::<usize>().prop_map(Some)];
    let kind = prop_oneof![
        6 => Just(EventKind::Next), 1 => Just(EventKind::Skip),
        1 => Just(EventKind::Duplicate), 1 => Just(EventKind::Break)
    ];
    prop_oneof![
        2 => any::<bool>().prop_map(|idempotent| Step::Arrive { idempotent }),
        3 => (pick(), 0..2usize, any::<bool>(), 1..5u64)
            .prop_map(|(pick, server, runs, parts)| Step::Send { pick, server, runs, parts }),
        1 => pick().prop_map(|pick| Step::ConnectFails { pick }),
        10 => (pick(), maybe_other_attempt(), kind)
            .prop_map(|(pick, attempt, kind)| Step::Event { pick, attempt, kind }),
        1 => (pick(), maybe_other_attempt())
            .prop_map(|(pick, attempt)| Step::NotStarted { pick, attempt }),
        2 => pick().prop_map(|pick| Step::Resume { pick }),
        2 => pick().prop_map(|pick| Step::Retry { pick }),
        1 => (1..4_000u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

type RetryResult = Result<(Request<Queued>, Instant), Refusal>;

/// What an attempt does at its server.
struct Attempt {
    id: AttemptId,
    request: usize,
    runs: bool,
    parts: u64,
    next_part: u64,
}

enum State {
    Queued(Request<Queued>),
    Sent(Request<Sent>),
}

impl State {
    fn deadline(&self) -> Instant {
        match self {
            Self::Queued(req) => req.params().complete_by,
            Self::Sent(req) => req.params().complete_by,
        }
    }
}

#[derive(Default)]
struct Simulation {
    open: BTreeMap<usize, State>,
    attempts: Vec<Attempt>,
    /// Attempt and number of each part forwarded to the caller, by request.
    forwarded: Vec<Vec<(usize, u64)>>,
}

impl Simulation {
    fn check_refusal(&self, request: usize, refusal: &Refusal) {
        let ran = self.attempts.iter().any(|a| a.request == request && a.runs);
        assert!(!ran || refusal.verdict == Verdict::MayHaveRun, "false not_run");
    }

    fn check_retry(&self, request: usize, deadline: Instant, next: RetryResult) -> Option<State> {
        let (req, at) = next.map_err(|refusal| self.check_refusal(request, &refusal)).ok()?;
        assert!(at < deadline, "scheduled after the deadline");
        assert!(self.forwarded[request].is_empty(), "retried after parts were forwarded");
        Some(State::Queued(req))
    }

    fn check_response(&self, request: usize) {
        let parts = &self.forwarded[request];
        let attempt = &self.attempts[parts[0].0];
        let expected: Vec<_> = (0..attempt.parts).map(|part| (parts[0].0, part)).collect();
        assert_eq!(parts, &expected, "response is incomplete");
        assert_eq!(attempt.request, request, "response to another request");
    }

    /// The next event that the server sends. A part can be lost without notice only if another part
    /// follows.
    fn event(&mut self, attempt: usize, kind: EventKind) -> Option<StreamEvent> {
        let attempt = &mut self.attempts[attempt];
        match kind {
            EventKind::Break => return Some(StreamEvent::Broken),
            _ if !attempt.runs => return None,
            EventKind::Skip if attempt.next_part + 1 < attempt.parts => attempt.next_part += 1,
            EventKind::Duplicate => attempt.next_part = attempt.next_part.saturating_sub(1),
            EventKind::Next | EventKind::Skip => {}
        }
        let part = attempt.next_part;
        attempt.next_part += 1;
        Some(if part < attempt.parts { StreamEvent::Part(part) } else { StreamEvent::End })
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against a second send of a request that is not idempotent, a false `not_run`,
    /// responses that are truncated, mixed or another request's, and requests that never end.
    #[test]
    fn verdicts_are_true_and_responses_are_complete_and_own(
        steps in prop::collection::vec(step(), 1..150), seed: u64
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut ids = AttemptIdGenerator::new("i", 1);
        let mut budget = RetryBudget::new();
        for server in ["s0", "s1"] {
            (0..300).for_each(|_| budget.record_first_attempt(server, now));
        }
        let mut sim = Simulation::default();
        for step in steps.into_iter().chain([Step::Advance { ms: 100_000 }]) {
            let pick = match step {
                Step::Send { pick, .. } | Step::ConnectFails { pick } | Step::Event { pick, .. }
                | Step::NotStarted { pick, .. } | Step::Resume { pick }
                | Step::Retry { pick } => pick,
                Step::Arrive { idempotent } => {
                    let request = sim.forwarded.len();
                    let end = now + Duration::from_secs(6);
                    let params = RequestParams {
                        id: format!("{request}").into(), idempotent,
                        first_token_by: end, complete_by: end,
                    };
                    sim.open.insert(request, State::Queued(Request::new(params)));
                    sim.forwarded.push(Vec::new());
                    continue;
                }
                Step::Advance { ms } => {
                    now += Duration::from_millis(ms);
                    for (request, state) in std::mem::take(&mut sim.open) {
                        let refusal = match state {
                            state if state.deadline() > now => {
                                sim.open.insert(request, state);
                                continue;
                            }
                            State::Queued(req) => req.refuse(Reason::DeadlinePassed),
                            State::Sent(req) => req.fail(Reason::DeadlinePassed),
                        };
                        sim.check_refusal(request, &refusal);
                    }
                    continue;
                }
            };
            if sim.open.is_empty() {
                continue;
            }
            let request = *sim.open.keys().nth(pick % sim.open.len()).unwrap();
            let own_attempt = sim.attempts.iter().rposition(|a| a.request == request);
            let state = sim.open.remove(&request).unwrap();
            let deadline = state.deadline();
            let next = match (step, state) {
                (Step::Send { server, runs, parts, .. }, State::Queued(req)) => {
                    let sent_before = sim.attempts.iter().filter(|a| a.request == request).count();
                    prop_assert!(sent_before == 0 || req.params().idempotent, "sent twice");
                    let id = ids.next_id();
                    sim.attempts.push(Attempt {
                        id: id.clone(), request, runs, parts, next_part: 0
                    });
                    Some(State::Sent(req.send(format!("s{server}").into(), id, &mut budget, now)))
                }
                (Step::ConnectFails { .. }, State::Queued(req)) => {
                    sim.check_retry(request, deadline, req.connect_failed(now, &mut rng))
                }
                (Step::Event { attempt, kind, .. }, State::Sent(mut req)) => {
                    let attempt = attempt.map_or(own_attempt.unwrap(), |a| a % sim.attempts.len());
                    let id = sim.attempts[attempt].id.clone();
                    let next_part = sim.attempts[attempt].next_part;
                    if let Some(event) = sim.event(attempt, kind) {
                        let action = req.accept(&id, event);
                        if let (StreamAction::Forward, StreamEvent::Part(part)) = (action, event)
                        {
                            sim.forwarded[request].push((attempt, part));
                        }
                    }
                    if sim.attempts[attempt].request != request {
                        // An event that reaches the wrong request is a copy. Its own stream still
                        // has it.
                        sim.attempts[attempt].next_part = next_part;
                    }
                    match req.finish() {
                        Ok(_) => { sim.check_response(request); None }
                        Err(req) => Some(State::Sent(req)),
                    }
                }
                (Step::NotStarted { attempt, .. }, State::Sent(mut req)) => {
                    let attempt = attempt.map_or(own_attempt.unwrap(), |a| a % sim.attempts.len());
                    if !sim.attempts[attempt].runs {
                        req.mark_not_started(&sim.attempts[attempt].id);
                    }
                    Some(State::Sent(req))
                }
                (Step::Resume { .. }, State::Sent(mut req)) => {
                    if let Some(resume) = req.resume(now) {
                        prop_assert_eq!(&resume.attempt, &sim.attempts[own_attempt.unwrap()].id);
                        sim.attempts[own_attempt.unwrap()].next_part = resume.from_part;
                    }
                    Some(State::Sent(req))
                }
                (Step::Retry { .. }, State::Sent(req)) => match req.into_retryable() {
                    Err(req) => Some(State::Sent(req)),
                    Ok(req) => {
                        let next = req.retry(Reason::BackendFailed, &mut budget, now, &mut rng);
                        sim.check_retry(request, deadline, next)
                    }
                },
                (_, state) => Some(state),
            };
            sim.open.extend(next.map(|state| (request, state)));
        }
        prop_assert!(sim.open.is_empty(), "requests never ended");
    }

    /// Guards against retries beyond a tenth of the first attempts, per server or overall.
    #[test]
    fn retries_stay_within_a_tenth_of_first_attempts(
        steps in prop::collection::vec((0..3usize, any::<bool>(), 0..20_000u64), 1..600)
    ) {
        let mut now = Instant::now();
        let mut budget = RetryBudget::new();
        let mut log: Vec<(Instant, usize, bool)> = Vec::new();
        for (server, first, gap_ms) in steps {
            now += Duration::from_millis(if gap_ms > 18_000 { gap_ms } else { gap_ms / 100 });
            let name = format!("s{server}");
            for _ in 0..if first { 9 } else { 2 } {
                if first {
                    budget.record_first_attempt(&name, now);
                    log.push((now, server, true));
                } else if budget.try_retry(&name, now) {
                    log.push((now, server, false));
                    let count = |first: bool, own: bool, window: Duration| {
                        let of = |(at, s, f): &&(Instant, usize, bool)|
                            *f == first && (!own || *s == server) && now - *at <= window;
                        log.iter().filter(of).count()
                    };
                    // The window ends with a slot of 10 s that may be incomplete, so the window may
                    // be up to 10 s shorter than `RETRY_WINDOW`.
                    let shortest_window = RETRY_WINDOW - Duration::from_secs(10);
                    for own in [false, true] {
                        prop_assert!(
                            count(false, own, shortest_window) * 10
                                <= count(true, own, RETRY_WINDOW)
                        );
                    }
                }
            }
        }
    }
}
