//! Idempotency over generated claims, lost and late writes, outages and takeovers.

mod support;

use idempotency::*;
use proptest::prelude::*;
use support::*;
use types::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Fate {
    Done,
    Away,
    LostDone,
    LostLate,
}

#[derive(Clone, Debug)]
enum Step {
    Claim { old: bool, key: u64, body: u64 },
    Poll { old: bool, fate: Fate },
    Land { pick: usize },
    End { pick: usize, how: u8 },
    Takeover,
    Pass { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let old = || prop::bool::weighted(0.3);
    let fate = prop_oneof![
        6 => Just(Fate::Done), 1 => Just(Fate::Away), 1 => Just(Fate::LostDone),
        2 => Just(Fate::LostLate)
    ];
    prop_oneof![
        4 => (old(), 0..3u64, prop::bool::weighted(0.1))
            .prop_map(|(old, key, body)| Step::Claim { old, key, body: body.into() }),
        8 => (old(), fate).prop_map(|(old, fate)| Step::Poll { old, fate }),
        2 => any::<usize>().prop_map(|pick| Step::Land { pick }),
        2 => (any::<usize>(), 0..5u8).prop_map(|(pick, how)| Step::End { pick, how }),
        1 => Just(Step::Takeover),
        3 => (1..900u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

/// A granted call.
struct Call {
    key: u64,
    body: u64,
    id: ClaimId,
    open: bool,
    /// It was given back without having run.
    released: bool,
    answer: Option<u64>,
}

struct World {
    now: Instant,
    platform: Platform,
    /// Writes whose answer was lost and that take effect late or never.
    late: Vec<Write>,
    /// The present owner and the one before, which may not know of it.
    owners: [KeyRange; 2],
    fencing: FencingNumber,
    /// Key, body and fencing number of the owner asked.
    waiting: BTreeMap<Token, (u64, u64, FencingNumber)>,
    calls: Vec<Call>,
    /// Keys and bodies of all claims that had to wait.
    claimed: BTreeSet<(u64, u64)>,
    numbers: u64,
}

impl World {
    fn decide(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let (Decision::Granted(token, _)
            | Decision::Recorded(token, _)
            | Decision::Refused(token, _)) = &decision;
            let (key, body, _) = self.waiting.remove(token).expect("decided twice");
            match decision {
                Decision::Granted(_, id) => {
                    let ran = |call: &Call| call.key == key && !call.released;
                    assert!(!self.calls.iter().any(ran), "granted a key that may have run");
                    let call = Call { key, body, id, open: true, released: false, answer: None };
                    self.calls.push(call);
                }
                Decision::Recorded(_, answer) => self.recorded(key, body, &answer),
                Decision::Refused(_, refusal) => self.refused(key, body, &refusal),
            }
        }
    }

    fn recorded(&self, key: u64, body: u64, recorded: &Answer) {
        let own = self.calls.iter().filter(|call| call.key == key && call.body == body);
        let found =
            own.filter_map(|call| call.answer).any(|text| *answer(text, 12_000) == *recorded);
        assert!(found, "not the answer of this call");
    }

    /// `may_have_run` is never false, but needs an earlier claim of the same call; a mismatch needs
    /// one of another call.
    fn refused(&self, key: u64, body: u64, refusal: &Refusal) {
        let expected = match refusal.reason {
            Reason::IdempotencyPending => Some((body, Verdict::MayHaveRun)),
            Reason::IdempotencyMismatch => Some((1 - body, Verdict::NotRun)),
            _ => None,
        };
        let (earlier, verdict) = expected.unwrap_or((body, Verdict::NotRun));
        assert_eq!(refusal.verdict, verdict);
        assert!(expected.is_none() || self.claimed.contains(&(key, earlier)), "{refusal:?}");
    }

    fn poll(&mut self, owner: usize, fate: Fate) {
        self.numbers += 1;
        let is_away = matches!(fate, Fate::Away);
        let (now, range) = (self.now, &mut self.owners[owner]);
        let decisions = match range.poll(self.numbers, now, wall()) {
            None => Vec::new(),
            Some(Action::Write(write)) => {
                let result = match fate {
                    Fate::Done => self.platform.write(&write),
                    Fate::Away => WriteResult::NotSent,
                    Fate::LostDone => {
                        self.platform.write(&write);
                        WriteResult::AnswerLost
                    }
                    Fate::LostLate => {
                        self.late.push(*write);
                        WriteResult::AnswerLost
                    }
                };
                range.on_written(result, now)
            }
            Some(Action::Read(number)) => {
                let stored = self.platform.objects.get(&number).cloned();
                range.on_read_back(if is_away { Err(()) } else { Ok(stored) }, now)
            }
            Some(Action::Recover) => {
                let stored = if is_away { Err(()) } else { Ok(self.platform.all()) };
                range.recover(stored, now, wall())
            }
            Some(Action::Delete(number, _)) => panic!("segment {number} has not expired"),
        };
        self.decide(decisions);
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Claim { old, key, body } => {
                self.numbers += 1;
                let token = self.numbers;
                let claim = claim(token, key, body, self.now);
                match self.owners[usize::from(old)].claim(claim, self.now, wall()) {
                    ClaimReply::Pending => {
                        let fencing = self.fencing - u64::from(old);
                        self.waiting.insert(token, (key, body, fencing));
                        self.claimed.insert((key, body));
                    }
                    ClaimReply::Recorded(answer) => self.recorded(key, body, &answer),
                    ClaimReply::Refused(refusal) => self.refused(key, body, &refusal),
                }
            }
            Step::Poll { old, fate } => self.poll(old.into(), fate),
            Step::Land { pick } if !self.late.is_empty() => {
                let write = self.late.remove(pick % self.late.len());
                self.platform.write(&write);
            }
            Step::End { pick, how } => {
                let mut open: Vec<&mut Call> = self.calls.iter_mut().filter(|c| c.open).collect();
                if open.is_empty() {
                    return;
                }
                let at = pick % open.len();
                let call = &mut *open[at];
                self.numbers += 1;
                call.open = false;
                let state = match how {
                    0 => EntryState::Unknown,
                    1 => EntryState::Released,
                    _ => EntryState::Finished(answer(self.numbers, 12_000)),
                };
                call.released = how == 1;
                call.answer = (how > 1).then_some(self.numbers);
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
                // Claims at the owner before that are forgotten with it.
                let oldest = self.fencing - 1;
                self.waiting.retain(|_, (_, _, fencing)| *fencing >= oldest);
            }
            Step::Pass { ms: n } => {
                self.now += ms(n);
                for owner in 0..2 {
                    let decisions = self.owners[owner].expire(self.now);
                    self.decide(decisions);
                }
            }
            Step::Land { .. } => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against a key granted twice, another call's answer, claims left undecided, and
    /// refusals with a wrong verdict.
    #[test]
    fn keys_are_granted_at_most_once(steps in prop::collection::vec(step(), 1..150)) {
        let mut world = World {
            now: Instant::now(),
            platform: Platform::default(),
            late: Vec::new(),
            owners: [KeyRange::new(3, 2), KeyRange::new(3, 1)],
            fencing: 2,
            waiting: BTreeMap::new(),
            calls: Vec::new(),
            claimed: BTreeSet::new(),
            numbers: 0,
        };
        for step in steps {
            world.run(step);
        }
        world.run(Step::Pass { ms: 2_000 });
        prop_assert!(world.waiting.is_empty(), "claims were left undecided");
    }
}
