//! Property test of key ranges under generated claims, writes with lost answers, delayed writes,
//! platform outages and takeovers.

mod support;

use idempotency::*;
use proptest::prelude::*;
use support::*;
use types::prelude::*;

#[derive(Clone, Copy, Debug)]
enum PlatformOutcome {
    Applied,
    Unreachable,
    AppliedAnswerLost,
    DelayedAnswerLost,
}

#[derive(Clone, Debug)]
enum Step {
    Claim { previous: bool, key: u64, body: u64 },
    Poll { previous: bool, outcome: PlatformOutcome },
    ApplyDelayed { index: usize },
    Finish { index: usize, result: u8 },
    Takeover,
    Advance { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let previous = || prop::bool::weighted(0.3);
    let outcome = prop_oneof![
        6 => Just(PlatformOutcome::Applied), 1 => Just(PlatformOutcome::Unreachable),
        1 => Just(PlatformOutcome::AppliedAnswerLost),
        2 => Just(PlatformOutcome::DelayedAnswerLost)
    ];
    prop_oneof![
        4 => (previous(), 0..3u64, prop::bool::weighted(0.1))
            .prop_map(|(previous, key, body)| Step::Claim { previous, key, body: body.into() }),
        8 => (previous(), outcome).prop_map(|(previous, outcome)| Step::Poll { previous, outcome }),
        2 => any::<usize>().prop_map(|index| Step::ApplyDelayed { index }),
        2 => (any::<usize>(), 0..5u8).prop_map(|(index, result)| Step::Finish { index, result }),
        1 => Just(Step::Takeover),
        3 => (1..900u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

/// A granted call.
struct Call {
    key: u64,
    body: u64,
    id: ClaimId,
    open: bool,
    /// The call ended without having run, and its key was released.
    released: bool,
    answer: Option<u64>,
}

struct Simulation {
    now: Instant,
    platform: Platform,
    /// Writes whose answer was lost and that take effect later or never.
    delayed: Vec<Write>,
    /// The present owner and the previous one, which may not know that it was superseded.
    owners: [KeyRange; 2],
    fencing: FencingNumber,
    /// Key, body and fencing number of the owner of each pending claim.
    pending: BTreeMap<Token, (u64, u64, FencingNumber)>,
    calls: Vec<Call>,
    /// Keys and bodies of all claims that were pending at some time.
    claimed: BTreeSet<(u64, u64)>,
    /// Source of unique tokens, nonces and answers.
    last_number: u64,
}

impl Simulation {
    fn decide(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let (Decision::Granted(token, _)
            | Decision::Recorded(token, _)
            | Decision::Refused(token, _)) = &decision;
            let (key, body, _) = self.pending.remove(token).expect("decided twice");
            match decision {
                Decision::Granted(_, id) => {
                    let may_have_run = |call: &Call| call.key == key && !call.released;
                    assert!(
                        !self.calls.iter().any(may_have_run),
                        "granted a key that may have run"
                    );
                    let call = Call { key, body, id, open: true, released: false, answer: None };
                    self.calls.push(call);
                }
                Decision::Recorded(_, answer) => self.check_recorded(key, body, &answer),
                Decision::Refused(_, refusal) => self.check_refused(key, body, &refusal),
            }
        }
    }

    fn check_recorded(&self, key: u64, body: u64, recorded: &Answer) {
        let same_calls = self.calls.iter().filter(|call| call.key == key && call.body == body);
        let found = same_calls
            .filter_map(|call| call.answer)
            .any(|text| *answer(text, 12_000) == *recorded);
        assert!(found, "not the answer of this call");
    }

    /// Checks the verdict of a refusal. `may_have_run` is never a false statement, but it must come
    /// from an earlier claim of the same call; a mismatch must come from an earlier claim of another
    /// call with the same key.
    fn check_refused(&self, key: u64, body: u64, refusal: &Refusal) {
        let expected = match refusal.reason {
            Reason::IdempotencyPending => Some((body, Verdict::MayHaveRun)),
            Reason::IdempotencyMismatch => Some((1 - body, Verdict::NotRun)),
            _ => None,
        };
        let (earlier, verdict) = expected.unwrap_or((body, Verdict::NotRun));
        assert_eq!(refusal.verdict, verdict);
        assert!(expected.is_none() || self.claimed.contains(&(key, earlier)), "{refusal:?}");
    }

    fn poll(&mut self, owner: usize, outcome: PlatformOutcome) {
        self.last_number += 1;
        let is_unreachable = matches!(outcome, PlatformOutcome::Unreachable);
        let (now, range) = (self.now, &mut self.owners[owner]);
        let decisions = match range.poll(self.last_number, now, wall()) {
            None => Vec::new(),
            Some(Action::Write(write)) => {
                let result = match outcome {
                    PlatformOutcome::Applied => self.platform.write(&write),
                    PlatformOutcome::Unreachable => WriteResult::NotSent,
                    PlatformOutcome::AppliedAnswerLost => {
                        self.platform.write(&write);
                        WriteResult::AnswerLost
                    }
                    PlatformOutcome::DelayedAnswerLost => {
                        self.delayed.push(*write);
                        WriteResult::AnswerLost
                    }
                };
                range.on_written(result, now)
            }
            Some(Action::Read(number)) => {
                let stored = self.platform.objects.get(&number).cloned();
                range.on_read_back(if is_unreachable { Err(()) } else { Ok(stored) }, now)
            }
            Some(Action::Recover) => {
                let stored = if is_unreachable { Err(()) } else { Ok(self.platform.all()) };
                range.recover(stored, now, wall())
            }
            Some(Action::Delete(number, _)) => panic!("segment {number} has not expired"),
        };
        self.decide(decisions);
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Claim { previous, key, body } => {
                self.last_number += 1;
                let token = self.last_number;
                let claim = claim(token, key, body, self.now);
                match self.owners[usize::from(previous)].claim(claim, self.now, wall()) {
                    ClaimReply::Pending => {
                        let fencing = self.fencing - u64::from(previous);
                        self.pending.insert(token, (key, body, fencing));
                        self.claimed.insert((key, body));
                    }
                    ClaimReply::Recorded(answer) => self.check_recorded(key, body, &answer),
                    ClaimReply::Refused(refusal) => self.check_refused(key, body, &refusal),
                }
            }
            Step::Poll { previous, outcome } => self.poll(previous.into(), outcome),
            Step::ApplyDelayed { index } if !self.delayed.is_empty() => {
                let write = self.delayed.remove(index % self.delayed.len());
                self.platform.write(&write);
            }
            Step::Finish { index, result } => {
                let mut open: Vec<&mut Call> = self.calls.iter_mut().filter(|c| c.open).collect();
                if open.is_empty() {
                    return;
                }
                let at = index % open.len();
                let call = &mut *open[at];
                self.last_number += 1;
                call.open = false;
                let state = match result {
                    0 => EntryState::Unknown,
                    1 => EntryState::Released,
                    _ => EntryState::Finished(answer(self.last_number, 12_000)),
                };
                call.released = result == 1;
                call.answer = (result > 1).then_some(self.last_number);
                let key = claim(0, call.key, 0, self.now).key;
                let id = call.id;
                for owner in &mut self.owners {
                    owner.finish(&key, id, state.clone());
                }
            }
            Step::Takeover => {
                self.fencing += 1;
                let new = KeyRange::new(3, self.fencing);
                self.owners[1] = std::mem::replace(&mut self.owners[0], new);
                // The simulation drops the owner before the previous one, with its pending claims.
                let oldest = self.fencing - 1;
                self.pending.retain(|_, (_, _, fencing)| *fencing >= oldest);
            }
            Step::Advance { ms: n } => {
                self.now += ms(n);
                for owner in 0..2 {
                    let decisions = self.owners[owner].expire(self.now);
                    self.decide(decisions);
                }
            }
            Step::ApplyDelayed { .. } => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against keys that are granted twice, answers of other calls, claims that are never
    /// decided, and refusals with a wrong verdict.
    #[test]
    fn keys_are_granted_at_most_once(steps in prop::collection::vec(step(), 1..150)) {
        let mut simulation = Simulation {
            now: Instant::now(),
            platform: Platform::default(),
            delayed: Vec::new(),
            owners: [KeyRange::new(3, 2), KeyRange::new(3, 1)],
            fencing: 2,
            pending: BTreeMap::new(),
            calls: Vec::new(),
            claimed: BTreeSet::new(),
            last_number: 0,
        };
        for step in steps {
            simulation.run(step);
        }
        simulation.run(Step::Advance { ms: 2_000 });
        prop_assert!(simulation.pending.is_empty(), "claims were left undecided");
    }
}
