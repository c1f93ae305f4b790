//! Properties of dispatch over generated sequences of sends, losses and crossed answers.

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
    /// The next event of attempt `attempt` reaches request `pick`, which may be another's.
    Event {
        pick: usize,
        attempt: Option<usize>,
        kind: Kind,
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
    Pass {
        ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Next,
    Skip,
    Repeat,
    Break,
}

fn step() -> impl Strategy<Value = Step> {
    let pick = any::<usize>;
    let crossed = || prop_oneof![4 => Just(None), 1 => any::<usize>().prop_map(Some)];
    let kind = prop_oneof![
        6 => Just(Kind::Next), 1 => Just(Kind::Skip),
        1 => Just(Kind::Repeat), 1 => Just(Kind::Break)
    ];
    prop_oneof![
        2 => any::<bool>().prop_map(|idempotent| Step::Arrive { idempotent }),
        3 => (pick(), 0..2usize, any::<bool>(), 1..5u64)
            .prop_map(|(pick, server, runs, parts)| Step::Send { pick, server, runs, parts }),
        1 => pick().prop_map(|pick| Step::ConnectFails { pick }),
        10 => (pick(), crossed(), kind)
            .prop_map(|(pick, attempt, kind)| Step::Event { pick, attempt, kind }),
        1 => (pick(), crossed()).prop_map(|(pick, attempt)| Step::NotStarted { pick, attempt }),
        2 => pick().prop_map(|pick| Step::Resume { pick }),
        2 => pick().prop_map(|pick| Step::Retry { pick }),
        1 => (1..4_000u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

type Next = Result<(Request<Queued>, Instant), Refusal>;

/// What really happens at a server.
struct Attempt {
    id: AttemptId,
    request: usize,
    runs: bool,
    parts: u64,
    cursor: u64,
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
struct World {
    open: BTreeMap<usize, State>,
    attempts: Vec<Attempt>,
    /// Parts passed on to the caller of each request, with the attempt.
    passed_on: Vec<Vec<(usize, u64)>>,
}

impl World {
    fn refused(&self, request: usize, refusal: &Refusal) {
        let ran = self.attempts.iter().any(|a| a.request == request && a.runs);
        assert!(!ran || refusal.verdict == Verdict::MayHaveRun, "false not_run");
    }

    fn again(&self, request: usize, deadline: Instant, next: Next) -> Option<State> {
        let (req, at) = next.map_err(|refusal| self.refused(request, &refusal)).ok()?;
        assert!(at < deadline, "due after the deadline");
        assert!(self.passed_on[request].is_empty(), "parts were passed on");
        Some(State::Queued(req))
    }

    fn answered(&self, request: usize) {
        let parts = &self.passed_on[request];
        let attempt = &self.attempts[parts[0].0];
        let whole: Vec<_> = (0..attempt.parts).map(|part| (parts[0].0, part)).collect();
        assert_eq!(parts, &whole, "answer is not whole");
        assert_eq!(attempt.request, request, "answer of another request");
    }

    /// The event as the server sends it now; parts are lost silently only before other parts.
    fn event(&mut self, attempt: usize, kind: Kind) -> Option<StreamEvent> {
        let attempt = &mut self.attempts[attempt];
        match kind {
            Kind::Break => return Some(StreamEvent::Broken),
            _ if !attempt.runs => return None,
            Kind::Skip if attempt.cursor + 1 < attempt.parts => attempt.cursor += 1,
            Kind::Repeat => attempt.cursor = attempt.cursor.saturating_sub(1),
            Kind::Next | Kind::Skip => {}
        }
        let part = attempt.cursor;
        attempt.cursor += 1;
        Some(if part < attempt.parts { StreamEvent::Part(part) } else { StreamEvent::End })
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against a second send of a request that is not idempotent, a false `not_run`,
    /// answers that are cut, mixed or another request's, and requests that stay open.
    #[test]
    fn requests_end_truly_and_answers_are_whole_and_own(
        steps in prop::collection::vec(step(), 1..150), seed: u64
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut ids = AttemptIdGenerator::new("i", 1);
        let mut budget = RetryBudget::new();
        for server in ["s0", "s1"] {
            (0..300).for_each(|_| budget.record_first_attempt(server, now));
        }
        let mut world = World::default();
        for step in steps.into_iter().chain([Step::Pass { ms: 100_000 }]) {
            let pick = match step {
                Step::Send { pick, .. } | Step::ConnectFails { pick } | Step::Event { pick, .. }
                | Step::NotStarted { pick, .. } | Step::Resume { pick } | Step::Retry { pick } => pick,
                Step::Arrive { idempotent } => {
                    let request = world.passed_on.len();
                    let end = now + Duration::from_secs(6);
                    let params = RequestParams {
                        id: format!("{request}").into(), idempotent,
                        first_token_by: end, complete_by: end,
                    };
                    world.open.insert(request, State::Queued(Request::new(params)));
                    world.passed_on.push(Vec::new());
                    continue;
                }
                Step::Pass { ms } => {
                    now += Duration::from_millis(ms);
                    for (request, state) in std::mem::take(&mut world.open) {
                        let refusal = match state {
                            state if state.deadline() > now => {
                                world.open.insert(request, state);
                                continue;
                            }
                            State::Queued(req) => req.refuse(Reason::DeadlinePassed),
                            State::Sent(req) => req.fail(Reason::DeadlinePassed),
                        };
                        world.refused(request, &refusal);
                    }
                    continue;
                }
            };
            if world.open.is_empty() {
                continue;
            }
            let request = *world.open.keys().nth(pick % world.open.len()).unwrap();
            let own = world.attempts.iter().rposition(|a| a.request == request);
            let state = world.open.remove(&request).unwrap();
            let deadline = state.deadline();
            let next = match (step, state) {
                (Step::Send { server, runs, parts, .. }, State::Queued(req)) => {
                    let earlier = world.attempts.iter().filter(|a| a.request == request).count();
                    prop_assert!(earlier == 0 || req.params().idempotent, "sent twice");
                    let id = ids.next_id();
                    world.attempts.push(Attempt { id: id.clone(), request, runs, parts, cursor: 0 });
                    Some(State::Sent(req.send(format!("s{server}").into(), id, &mut budget, now)))
                }
                (Step::ConnectFails { .. }, State::Queued(req)) => {
                    world.again(request, deadline, req.connect_failed(now, &mut rng))
                }
                (Step::Event { attempt, kind, .. }, State::Sent(mut req)) => {
                    let attempt = attempt.map_or(own.unwrap(), |a| a % world.attempts.len());
                    let id = world.attempts[attempt].id.clone();
                    let cursor = world.attempts[attempt].cursor;
                    if let Some(event) = world.event(attempt, kind) {
                        let progress = req.accept(&id, event);
                        if let (StreamAction::Forward, StreamEvent::Part(part)) = (progress, event) {
                            world.passed_on[request].push((attempt, part));
                        }
                    }
                    if world.attempts[attempt].request != request {
                        // A crossed event is a copy and takes nothing from its own stream.
                        world.attempts[attempt].cursor = cursor;
                    }
                    match req.finish() {
                        Ok(_) => { world.answered(request); None }
                        Err(req) => Some(State::Sent(req)),
                    }
                }
                (Step::NotStarted { attempt, .. }, State::Sent(mut req)) => {
                    let attempt = attempt.map_or(own.unwrap(), |a| a % world.attempts.len());
                    if !world.attempts[attempt].runs {
                        req.mark_not_started(&world.attempts[attempt].id);
                    }
                    Some(State::Sent(req))
                }
                (Step::Resume { .. }, State::Sent(mut req)) => {
                    if let Some(resume) = req.resume(now) {
                        prop_assert_eq!(&resume.attempt, &world.attempts[own.unwrap()].id);
                        world.attempts[own.unwrap()].cursor = resume.from_part;
                    }
                    Some(State::Sent(req))
                }
                (Step::Retry { .. }, State::Sent(req)) => match req.into_retryable() {
                    Err(req) => Some(State::Sent(req)),
                    Ok(req) => {
                        let next = req.retry(Reason::BackendFailed, &mut budget, now, &mut rng);
                        world.again(request, deadline, next)
                    }
                },
                (_, state) => Some(state),
            };
            world.open.extend(next.map(|state| (request, state)));
        }
        prop_assert!(world.open.is_empty(), "requests stay open");
    }

    /// Guards against retries beyond a tenth of the first attempts, per server or overall.
    #[test]
    fn retries_stay_within_a_tenth_of_first_attempts(
        steps in prop::collection::vec((0..3usize, any::<bool>(), 0..20_000u64), 1..600)
    ) {
        let mut now = Instant::now();
        let mut budget = RetryBudget::new();
        let mut log: Vec<(Instant, usize, bool)> = Vec::new();
        for (server, first, pass) in steps {
            now += Duration::from_millis(if pass > 18_000 { pass } else { pass / 100 });
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
                    // The window ends with a slot of 10 s, so that it may be that much shorter.
                    let shorter = RETRY_WINDOW - Duration::from_secs(10);
                    for own in [false, true] {
                        prop_assert!(count(false, own, shorter) * 10 <= count(true, own, RETRY_WINDOW));
                    }
                }
            }
        }
    }
}
