//! Limit shares over generated sequences of moves, crashes, lost messages and takeovers.

use admission::LocalLimits;
use admission::shares::*;
use proptest::prelude::*;
use types::prelude::*;

const CENTRES: usize = 2;
const INSTANCES: usize = 2;
/// The last limit makes nearly every point of the span one unit, so an overlap of any size shows.
const LIMITS: Limits =
    Limits { requests_per_second: 2, concurrent_requests: 5, queued_requests: u32::MAX };

#[derive(Clone, Debug)]
enum Step {
    Want { at: usize, concurrent: u64 },
    Renew { at: usize },
    Send { at: usize },
    Deliver { pick: usize },
    Apply { pick: usize },
    Restart { at: usize },
    Takeover { centre: usize },
    Withhold { centre: usize, quarter: u64, one_client_account: bool },
    Donate { centre: usize, quarter: u64, crash: bool },
    Give { centre: usize, to: usize, crash: bool },
    Sync { worker: usize, crash: bool },
    Work { worker: usize, stage: Stage },
    Pass { ms: u64 },
}

/// A part of `Sync`.
#[derive(Clone, Copy, Debug)]
enum Stage {
    ReadOwn,
    ReadOther,
    Write { crash: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let at = || 0..CENTRES * INSTANCES;
    prop_oneof![
        1 => (at(), 0..6u64).prop_map(|(at, concurrent)| Step::Want { at, concurrent }),
        8 => at().prop_map(|at| Step::Renew { at }),
        2 => at().prop_map(|at| Step::Send { at }),
        2 => any::<usize>().prop_map(|pick| Step::Deliver { pick }),
        2 => any::<usize>().prop_map(|pick| Step::Apply { pick }),
        1 => at().prop_map(|at| Step::Restart { at }),
        1 => (0..CENTRES).prop_map(|centre| Step::Takeover { centre }),
        1 => (0..CENTRES, 0..4u64, any::<bool>()).prop_map(|(centre, quarter, one_client_account)| {
            Step::Withhold { centre, quarter, one_client_account }
        }),
        2 => (0..CENTRES, 0..4u64, any::<bool>())
            .prop_map(|(centre, quarter, crash)| Step::Donate { centre, quarter, crash }),
        1 => (0..CENTRES, 0..CENTRES, any::<bool>())
            .prop_map(|(centre, to, crash)| Step::Give { centre, to, crash }),
        3 => (0..2 * CENTRES, any::<bool>())
            .prop_map(|(worker, crash)| Step::Sync { worker, crash }),
        3 => (0..2 * CENTRES, prop::sample::select(vec![
            Stage::ReadOwn, Stage::ReadOther, Stage::Write { crash: true }
        ])).prop_map(|(worker, stage)| Step::Work { worker, stage }),
        2 => prop_oneof![1..6_000u64, 19_000..22_500u64].prop_map(|ms| Step::Pass { ms }),
    ]
}

/// A process that moves shares; two of one data centre may race.
#[derive(Clone, Default)]
struct Worker {
    own: Option<(u64, DataCentreShare)>,
    other: Option<DataCentreShare>,
}

struct Centre {
    stored: DataCentreShare,
    version: u64,
    holder: Holder,
    fencing: FencingNumber,
    /// What the present holder withholds in order to give it away.
    withheld: Option<Holding>,
}

struct World {
    start: Instant,
    elapsed_ms: u64,
    centres: Vec<Centre>,
    workers: Vec<Worker>,
    grantees: Vec<Grantee>,
    /// Processes that were replaced but may only be paused.
    paused: Vec<(usize, Grantee)>,
    requests: Vec<(usize, ShareRequest)>,
    grants: Vec<(usize, ShareGrant)>,
    numbers: u64,
}

impl World {
    fn new() -> Self {
        let start = Instant::now();
        let centre = |index: usize| {
            let holding = Holding::equal_share(index as u64, CENTRES as u64);
            let stored = DataCentreShare::new(&format!("d{index}"), holding.clone(), 0);
            let holder = Holder::new(1, holding, start);
            Centre { stored, version: 1, holder, fencing: 1, withheld: None }
        };
        Self {
            start,
            elapsed_ms: 0,
            centres: (0..CENTRES).map(centre).collect(),
            workers: vec![Worker::default(); 2 * CENTRES],
            grantees: (0..CENTRES * INSTANCES).map(|at| grantee(at, 1)).collect(),
            paused: Vec::new(),
            requests: Vec::new(),
            grants: Vec::new(),
            numbers: 1,
        }
    }

    fn now(&self) -> Instant {
        self.start + ms(self.elapsed_ms)
    }

    /// Clocks of odd instances run 6% slow, so that they use a grant longer than its term.
    fn clock(&self, at: usize) -> Instant {
        self.start + ms(if at % 2 == 1 { self.elapsed_ms * 94 / 100 } else { self.elapsed_ms })
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn store(&mut self, centre: usize, next: DataCentreShare, crash: bool) {
        let centre = &mut self.centres[centre];
        centre.stored = next;
        centre.version += 1;
        if !crash {
            centre.holder.set_holding(centre.stored.holding.clone());
        }
    }

    fn run(&mut self, step: Step) {
        let now = self.now();
        match step {
            Step::Want { at, concurrent } => {
                for client_account in ["c0", "c1"] {
                    let need = LocalLimits { concurrent, ..LocalLimits::default() };
                    self.grantees[at].set_need(client_account, need, &LIMITS);
                }
            }
            Step::Renew { at } => {
                let fencing = self.centres[at / INSTANCES].fencing;
                let clock = self.clock(at);
                let request = self.grantees[at].request(fencing, clock);
                if let Some(grant) = self.centres[at / INSTANCES].holder.grant(&request, now) {
                    self.grantees[at].apply(grant);
                }
            }
            Step::Send { at } => {
                let fencing = self.centres[at / INSTANCES].fencing;
                let clock = self.clock(at);
                let request = self.grantees[at].request(fencing, clock);
                self.requests.push((at, request));
            }
            Step::Deliver { pick } if !self.requests.is_empty() => {
                let (at, request) = self.requests.remove(pick % self.requests.len());
                let grant = self.centres[at / INSTANCES].holder.grant(&request, now);
                self.grants.extend(grant.map(|grant| (at, grant)));
            }
            Step::Apply { pick } if !self.grants.is_empty() => {
                let (at, grant) = self.grants.remove(pick % self.grants.len());
                self.grantees[at].apply(grant);
            }
            Step::Restart { at } => {
                let incarnation = self.number();
                let old = std::mem::replace(&mut self.grantees[at], grantee(at, incarnation));
                self.paused.push((at, old));
            }
            Step::Takeover { centre } => {
                let centre = &mut self.centres[centre];
                centre.fencing += 1;
                let holding = centre.stored.holding.clone();
                centre.holder = Holder::new(centre.fencing, holding, now);
                centre.withheld = None;
            }
            Step::Withhold { centre, quarter, one_client_account } => {
                let parts = IntervalSet::equal_share(quarter, 4);
                let donation = match one_client_account {
                    true => Holding::of_client_account("c0", parts),
                    false => Holding { default: parts, by_client_account: BTreeMap::new() },
                };
                let centre = &mut self.centres[centre];
                if let Some(earlier) = centre.withheld.take() {
                    // What was given away is known only from the stored value.
                    centre.holder.set_holding(centre.stored.holding.clone());
                    centre.holder.resume_granting(&earlier);
                }
                centre.holder.withhold(&donation);
                centre.withheld = Some(donation);
            }
            Step::Donate { centre, quarter, crash } => {
                self.run(Step::Withhold { centre, quarter, one_client_account: crash });
                self.run(Step::Give { centre, to: 1 - centre, crash });
                self.run(Step::Sync { worker: 2 * (1 - centre), crash: false });
            }
            Step::Sync { worker, crash } => {
                for stage in [Stage::ReadOwn, Stage::ReadOther, Stage::Write { crash }] {
                    self.run(Step::Work { worker, stage });
                }
            }
            Step::Give { centre, to, crash } => {
                let nonce = self.number();
                let donor = &mut self.centres[centre];
                let Some(donation) = donor.withheld.clone() else { return };
                if donor.holder.is_free(&donation, now) {
                    let next = donor.stored.give(&format!("d{to}"), &donation, nonce);
                    if let Some(next) = next {
                        self.store(centre, next, crash);
                    }
                }
            }
            Step::Work { worker, stage: Stage::ReadOwn } => {
                let centre = &self.centres[worker / 2];
                let own = Some((centre.version, centre.stored.clone()));
                self.workers[worker] = Worker { own, other: None };
            }
            Step::Work { worker, stage: Stage::ReadOther } => {
                let other = self.centres[1 - worker / 2].stored.clone();
                self.workers[worker].other = self.workers[worker].own.as_ref().map(|_| other);
            }
            Step::Work { worker, stage: Stage::Write { crash } } => {
                let nonce = self.number();
                let worker_state = std::mem::take(&mut self.workers[worker]);
                let (Some((version, own)), Some(other)) = (worker_state.own, worker_state.other)
                else {
                    return;
                };
                let next = other.given.iter().find_map(|t| own.receive(t, nonce));
                let next = next.or_else(|| own.prune_given(&other, nonce));
                let next = next.or_else(|| own.prune_received(&other, nonce));
                if let Some(next) = next.filter(|_| self.centres[worker / 2].version == version) {
                    self.store(worker / 2, next, crash);
                }
            }
            Step::Pass { ms } => self.elapsed_ms += ms,
            _ => {}
        }
    }

    fn check(&self) {
        for client_account in ["c0", "c1"] {
            let all = self
                .grantees
                .iter()
                .enumerate()
                .chain(self.paused.iter().map(|(at, grantee)| (*at, grantee)));
            let (mut rate, mut concurrent, mut points) = (0, 0, 0);
            for (at, grantee) in all {
                let part = grantee.limits(client_account, &LIMITS, self.clock(at));
                rate += part.rate_milli;
                concurrent += part.concurrent;
                points += part.queued;
            }
            assert!(rate <= 2_000 && concurrent <= 5, "over the limit: {rate}, {concurrent}");
            assert!(points <= u32::MAX.into(), "parts overlap: {points}");

            let stored =
                self.centres.iter().map(|c| c.stored.holding.parts(client_account).clone());
            let under_way = self.centres.iter().flat_map(|c| &c.stored.given).filter(|transfer| {
                let is_receiver = |c: &&Centre| c.stored.data_centre == transfer.to;
                let receiver = self.centres.iter().find(is_receiver).unwrap();
                !receiver.stored.received.contains_key(&transfer.nonce)
            });
            let parts = stored.chain(under_way.map(|t| t.holding.parts(client_account).clone()));
            let (sum, union) = parts.fold((0, IntervalSet::empty()), |(sum, union), parts| {
                (sum + parts.length(), union.union(&parts))
            });
            assert_eq!((sum, union), (SPAN_LENGTH, IntervalSet::full()), "parts lost or created");
        }
    }
}

fn grantee(at: usize, incarnation: Incarnation) -> Grantee {
    let mut grantee = Grantee::new(&format!("i{at}"), incarnation);
    for client_account in ["c0", "c1"] {
        grantee.set_need(
            client_account,
            LocalLimits { concurrent: 2, ..Default::default() },
            &LIMITS,
        );
    }
    grantee
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against shares whose sum exceeds a limit at any time, with slow clocks, lost and
    /// late messages, restarts, takeovers and crashes between the steps of a move; and against
    /// moves that lose or create parts.
    #[test]
    fn shares_never_exceed_limits(steps in prop::collection::vec(step(), 1..300)) {
        let mut world = World::new();
        for step in steps {
            world.run(step);
            world.check();
        }
    }
}
