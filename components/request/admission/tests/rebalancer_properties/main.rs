//! Moves of limits between data centres as their holders drive them, with lost answers, late
//! writes, lost messages, takeovers and paused holders.

mod faults;

use admission::LocalLimits;
use admission::shares::*;
use proptest::prelude::*;
use types::prelude::*;

const CENTRES: usize = 3;
const INSTANCES: usize = 2;
/// The last limit makes nearly every point of the span one unit, so an overlap of any size shows.
const LIMITS: Limits =
    Limits { requests_per_second: 3, concurrent_requests: 7, queued_requests: u32::MAX };

#[derive(Clone, Debug)]
enum Step {
    Want {
        at: usize,
        concurrent: u64,
    },
    /// The instances ask the holder; the grants may be lost.
    Renew {
        centre: usize,
        lost: bool,
    },
    /// Calls and messages of all current holders, faster than the renewals of grants.
    Rush,
    Tick {
        run: usize,
    },
    /// The platform carries out one pending call; its answer may be lost.
    Serve {
        pick: usize,
        lost: bool,
    },
    /// A peer message arrives, or is lost.
    Deliver {
        pick: usize,
        lost: bool,
    },
    Takeover {
        centre: usize,
    },
    Pass {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let lost = || prop::bool::weighted(0.15);
    prop_oneof![
        1 => (0..CENTRES * INSTANCES, 0..8u64)
            .prop_map(|(at, concurrent)| Step::Want { at, concurrent }),
        8 => (0..CENTRES, lost()).prop_map(|(centre, lost)| Step::Renew { centre, lost }),
        2 => Just(Step::Rush),
        8 => any::<usize>().prop_map(|run| Step::Tick { run }),
        8 => (any::<usize>(), lost()).prop_map(|(pick, lost)| Step::Serve { pick, lost }),
        5 => (any::<usize>(), lost()).prop_map(|(pick, lost)| Step::Deliver { pick, lost }),
        1 => (0..CENTRES).prop_map(|centre| Step::Takeover { centre }),
        4 => prop_oneof![4 => 500..4_000u64, 1 => 19_000..40_000u64]
            .prop_map(|ms| Step::Pass { ms }),
    ]
}

/// One run of a holder; earlier runs of a data centre are lapsed, but their calls still arrive.
struct Run {
    centre: usize,
    fencing: FencingNumber,
    holder: Holder,
    mover: Rebalancer,
}

/// A call or message on its way.
struct Pending {
    run: usize,
    action: RebalanceAction,
}

struct World {
    now: Instant,
    stored: Vec<(ObjectVersion, DataCentreShare)>,
    runs: Vec<Run>,
    current: Vec<usize>,
    grantees: Vec<Grantee>,
    calls: Vec<Pending>,
    messages: Vec<Pending>,
    numbers: u64,
    moves: u64,
}

fn name(centre: usize) -> DataCentreId {
    format!("d{centre}").into()
}

fn index(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        let share = |i: usize| {
            DataCentreShare::new(&name(i), Holding::equal_share(i as u64, CENTRES as u64), 0)
        };
        let mut world = Self {
            now,
            stored: (0..CENTRES).map(|i| (1, share(i))).collect(),
            runs: Vec::new(),
            current: (0..CENTRES).collect(),
            grantees: (0..CENTRES * INSTANCES)
                .map(|at| Grantee::new(&format!("i{at}"), 1))
                .collect(),
            calls: Vec::new(),
            messages: Vec::new(),
            numbers: 1,
            moves: 0,
        };
        for centre in 0..CENTRES {
            world.start(centre, 1);
        }
        world
    }

    /// A new holder reads the object and writes it again before it uses it.
    fn start(&mut self, centre: usize, fencing: FencingNumber) {
        let (version, share) = self.open(centre);
        let holder = Holder::new(fencing, share.holding.clone(), self.now);
        let mover = Rebalancer::new(version, share, self.now);
        self.current[centre] = self.runs.len();
        self.runs.push(Run { centre, fencing, holder, mover });
    }

    fn open(&mut self, centre: usize) -> (ObjectVersion, DataCentreShare) {
        let nonce = self.number();
        let (version, share) = &mut self.stored[centre];
        *version += 1;
        share.nonce = nonce;
        (*version, share.clone())
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn push(&mut self, run: usize, actions: Vec<RebalanceAction>) {
        for action in actions {
            let is_message =
                matches!(action, RebalanceAction::RequestParts { .. } | RebalanceAction::Notify(_));
            let list = if is_message { &mut self.messages } else { &mut self.calls };
            list.push(Pending { run, action });
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Want { at, concurrent } => {
                let need = LocalLimits { concurrent, ..LocalLimits::default() };
                self.grantees[at].set_need("c0", need, &LIMITS);
                self.grantees[at].set_need("c1", LocalLimits::default(), &LIMITS);
            }
            Step::Renew { centre, lost } => {
                let run = &mut self.runs[self.current[centre]];
                for grantee in self.grantees.iter_mut().skip(centre * INSTANCES).take(INSTANCES) {
                    let request = grantee.request(run.fencing, self.now);
                    let grant = run.holder.grant(&request, self.now).unwrap();
                    if !lost {
                        grantee.apply(grant);
                    }
                }
            }
            Step::Rush => {
                for _ in 0..3 {
                    for centre in 0..CENTRES {
                        self.now += Duration::from_millis(500);
                        self.run(Step::Tick { run: self.current[centre] });
                    }
                    self.arrive();
                }
            }
            Step::Tick { run } => {
                let (run, nonce) = (run % self.runs.len(), self.number());
                let it = &mut self.runs[run];
                let others: Vec<_> = (0..CENTRES).filter(|c| *c != it.centre).map(name).collect();
                let actions = it.mover.on_timer(&mut it.holder, &others, false, nonce, self.now);
                self.push(run, actions);
            }
            Step::Serve { pick, lost } if !self.calls.is_empty() => {
                let call = self.calls.remove(pick % self.calls.len());
                self.serve(call, lost);
            }
            Step::Deliver { pick, lost } if !self.messages.is_empty() => {
                let message = self.messages.remove(pick % self.messages.len());
                self.deliver(message, lost);
            }
            Step::Takeover { centre } => {
                let old = &mut self.runs[self.current[centre]];
                old.holder.on_lease_lost();
                old.mover.on_lease_lost();
                let fencing = old.fencing + 1;
                self.start(centre, fencing);
            }
            Step::Pass { ms } => self.now += Duration::from_millis(ms),
            Step::Serve { .. } | Step::Deliver { .. } => {}
        }
    }

    fn serve(&mut self, Pending { run, action }: Pending, lost: bool) {
        let (centre, now, nonce) = (self.runs[run].centre, self.now, self.number());
        let actions = match action {
            RebalanceAction::Open => {
                let opened = self.open(centre);
                let it = &mut self.runs[run];
                it.mover.on_opened(&mut it.holder, (!lost).then_some(opened), now);
                Vec::new()
            }
            RebalanceAction::Write { version, value } => {
                let stored = &mut self.stored[centre];
                let is_written = stored.0 == version;
                if is_written {
                    *stored = (version + 1, value);
                    self.moves += 1;
                }
                let it = &mut self.runs[run];
                let outcome = (is_written && !lost).then_some(version + 1);
                it.mover.on_written(&mut it.holder, outcome, now)
            }
            RebalanceAction::Read(other) => {
                let other = self.stored[index(&other)].1.clone();
                self.runs[run].mover.on_other_share((!lost).then_some(&other), nonce)
            }
            RebalanceAction::RequestParts { .. } | RebalanceAction::Notify(_) => Vec::new(),
        };
        self.push(run, actions);
    }

    fn deliver(&mut self, Pending { run, action }: Pending, lost: bool) {
        let (now, from) = (self.now, name(self.runs[run].centre));
        match action {
            RebalanceAction::RequestParts { to, unmet } => {
                let donor = &mut self.runs[self.current[index(&to)]];
                let lengths = donor.mover.on_parts_requested(&mut donor.holder, &from, &unmet, now);
                self.runs[run].mover.on_offer(&to, (!lost).then_some(lengths), now);
            }
            RebalanceAction::Notify(to) if !lost => {
                self.runs[self.current[index(&to)]].mover.on_other_share_changed(&from);
            }
            _ => {}
        }
    }

    /// Units granted, and the parts of the objects and of the transfers under way.
    fn check(&self) {
        for client_account in ["c0", "c1"] {
            let (mut concurrent, mut points) = (0, 0);
            for grantee in &self.grantees {
                let part = grantee.limits(client_account, &LIMITS, self.now);
                concurrent += part.concurrent;
                points += part.queued;
            }
            assert!(concurrent <= 7, "over the limit: {concurrent}");
            assert!(points <= u32::MAX.into(), "parts overlap: {points}");
            let shares = || self.stored.iter().map(|(_, share)| share);
            let under_way = shares().flat_map(|share| &share.given).filter(|transfer| {
                !self.stored[index(&transfer.to)].1.received.contains_key(&transfer.nonce)
            });
            let held = shares().map(|share| share.holding.parts(client_account));
            let all: Vec<_> =
                held.chain(under_way.map(|t| t.holding.parts(client_account))).collect();
            let sum: u64 = all.iter().map(|parts| parts.length()).sum();
            assert_eq!(sum, SPAN_LENGTH, "parts lost or created");
            assert_eq!(IntervalSet::union_all(all), IntervalSet::full(), "parts lost or created");
        }
    }

    /// All calls and messages arrive, also those that they cause.
    fn arrive(&mut self) {
        while !self.calls.is_empty() || !self.messages.is_empty() {
            self.run(Step::Serve { pick: 0, lost: false });
            self.run(Step::Deliver { pick: 0, lost: false });
        }
    }

    /// Everything arrives, and time passes.
    fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for centre in 0..CENTRES {
                self.run(Step::Renew { centre, lost: false });
                self.run(Step::Tick { run: self.current[centre] });
            }
            self.arrive();
            self.run(Step::Pass { ms: 5_000 });
            self.check();
        }
    }

    fn held(&self, centre: usize) -> u64 {
        self.stored[centre].1.holding.parts("c0").length()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against grants that exceed a limit over all data centres while parts move, and
    /// against moves that lose or create parts or that stay open for good.
    #[test]
    fn moves_never_exceed_limits(steps in prop::collection::vec(step(), 1..400)) {
        let mut world = World::new();
        for at in 0..CENTRES * INSTANCES {
            world.run(Step::Want { at, concurrent: if at < INSTANCES { 6 } else { 0 } });
        }
        for step in steps {
            world.run(step);
            world.check();
        }
        // A withheld part is given or kept within 30 s, and a transfer is then closed.
        world.settle(20);
        for at in 0..CENTRES * INSTANCES {
            world.run(Step::Want { at, concurrent: 0 });
        }
        world.settle(20);
        for (_, share) in &world.stored {
            prop_assert!(share.given.is_empty() && share.received.is_empty(), "open: {share:?}");
        }
    }
}
