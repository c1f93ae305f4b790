//! Property tests of limit shares with transfers, crashes, lost messages and takeovers.

use admission::LocalLimits;
use admission::shares::*;
use proptest::prelude::*;
use types::prelude::*;

const DATA_CENTRES: usize = 2;
const INSTANCES: usize = 2;
/// With the last limit nearly every point of the span is a unit, so that any overlap is detected.
const LIMITS: Limits =
    Limits { requests_per_second: 2, concurrent_requests: 5, queued_requests: u32::MAX };

#[derive(Clone, Debug)]
enum Step {
    SetNeed { instance: usize, concurrent: u64 },
    Renew { instance: usize },
    SendRequest { instance: usize },
    DeliverRequest { index: usize },
    ApplyGrant { index: usize },
    Restart { instance: usize },
    Takeover { data_centre: usize },
    Withhold { data_centre: usize, quarter: u64, one_client_account: bool },
    Donate { data_centre: usize, quarter: u64, crash: bool },
    Give { data_centre: usize, to: usize, crash: bool },
    Sync { worker: usize, crash: bool },
    RunStage { worker: usize, stage: Stage },
    AdvanceTime { ms: u64 },
}

/// Stage of `Sync`.
#[derive(Clone, Copy, Debug)]
enum Stage {
    ReadOwn,
    ReadOther,
    Write { crash: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let instance = || 0..DATA_CENTRES * INSTANCES;
    prop_oneof![
        1 => (instance(), 0..6u64)
            .prop_map(|(instance, concurrent)| Step::SetNeed { instance, concurrent }),
        8 => instance().prop_map(|instance| Step::Renew { instance }),
        2 => instance().prop_map(|instance| Step::SendRequest { instance }),
        2 => any::<usize>().prop_map(|index| Step::DeliverRequest { index }),
        2 => any::<usize>().prop_map(|index| Step::ApplyGrant { index }),
        1 => instance().prop_map(|instance| Step::Restart { instance }),
        1 => (0..DATA_CENTRES).prop_map(|data_centre| Step::Takeover { data_centre }),
        1 => (0..DATA_CENTRES, 0..4u64, any::<bool>()).prop_map(
            |(data_centre, quarter, one_client_account)| {
                Step::Withhold { data_centre, quarter, one_client_account }
            }
        ),
        2 => (0..DATA_CENTRES, 0..4u64, any::<bool>())
            .prop_map(|(data_centre, quarter, crash)| Step::Donate { data_centre, quarter, crash }),
        1 => (0..DATA_CENTRES, 0..DATA_CENTRES, any::<bool>())
            .prop_map(|(data_centre, to, crash)| Step::Give { data_centre, to, crash }),
        3 => (0..2 * DATA_CENTRES, any::<bool>())
            .prop_map(|(worker, crash)| Step::Sync { worker, crash }),
        3 => (0..2 * DATA_CENTRES, prop::sample::select(vec![
            Stage::ReadOwn, Stage::ReadOther, Stage::Write { crash: true }
        ])).prop_map(|(worker, stage)| Step::RunStage { worker, stage }),
        2 => prop_oneof![1..6_000u64, 19_000..22_500u64].prop_map(|ms| Step::AdvanceTime { ms }),
    ]
}

/// A process that updates the share of a data centre; two of the same data centre may race.
#[derive(Clone, Default)]
struct Worker {
    own: Option<(u64, DataCentreShare)>,
    other: Option<DataCentreShare>,
}

struct DataCentre {
    stored: DataCentreShare,
    version: u64,
    holder: Holder,
    fencing: FencingNumber,
    /// Parts that the current holder withholds for a donation.
    withheld: Option<Holding>,
}

struct Simulation {
    start: Instant,
    elapsed_ms: u64,
    data_centres: Vec<DataCentre>,
    workers: Vec<Worker>,
    grantees: Vec<Grantee>,
    /// Replaced processes, which may only be paused.
    paused: Vec<(usize, Grantee)>,
    requests: Vec<(usize, ShareRequest)>,
    grants: Vec<(usize, ShareGrant)>,
    last_number: u64,
}

impl Simulation {
    fn new() -> Self {
        let start = Instant::now();
        let data_centre = |index: usize| {
            let holding = Holding::equal_share(index as u64, DATA_CENTRES as u64);
            let stored = DataCentreShare::new(&format!("d{index}"), holding.clone(), 0);
            let holder = Holder::new(1, holding, start);
            DataCentre { stored, version: 1, holder, fencing: 1, withheld: None }
        };
        Self {
            start,
            elapsed_ms: 0,
            data_centres: (0..DATA_CENTRES).map(data_centre).collect(),
            workers: vec![Worker::default(); 2 * DATA_CENTRES],
            grantees: (0..DATA_CENTRES * INSTANCES).map(|instance| grantee(instance, 1)).collect(),
            paused: Vec::new(),
            requests: Vec::new(),
            grants: Vec::new(),
            last_number: 1,
        }
    }

    fn now(&self) -> Instant {
        self.start + ms(self.elapsed_ms)
    }

    /// Clock of an instance. Clocks of odd instances run 6% slow, so that they use grants for
    /// longer than the term.
    fn local_clock(&self, instance: usize) -> Instant {
        self.start
            + ms(if instance % 2 == 1 { self.elapsed_ms * 94 / 100 } else { self.elapsed_ms })
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn store(&mut self, data_centre: usize, next: DataCentreShare, crash: bool) {
        let data_centre = &mut self.data_centres[data_centre];
        data_centre.stored = next;
        data_centre.version += 1;
        if !crash {
            data_centre.holder.set_holding(data_centre.stored.holding.clone());
        }
    }

    fn apply(&mut self, step: Step) {
        let now = self.now();
        match step {
            Step::SetNeed { instance, concurrent } => {
                for client_account in ["c0", "c1"] {
                    let need = LocalLimits { concurrent, ..LocalLimits::default() };
                    self.grantees[instance].set_need(client_account, need, &LIMITS);
                }
            }
            Step::Renew { instance } => {
                let fencing = self.data_centres[instance / INSTANCES].fencing;
                let clock = self.local_clock(instance);
                let request = self.grantees[instance].request(fencing, clock);
                if let Some(grant) =
                    self.data_centres[instance / INSTANCES].holder.grant(&request, now)
                {
                    self.grantees[instance].apply(grant);
                }
            }
            Step::SendRequest { instance } => {
                let fencing = self.data_centres[instance / INSTANCES].fencing;
                let clock = self.local_clock(instance);
                let request = self.grantees[instance].request(fencing, clock);
                self.requests.push((instance, request));
            }
            Step::DeliverRequest { index } if !self.requests.is_empty() => {
                let (instance, request) = self.requests.remove(index % self.requests.len());
                let grant = self.data_centres[instance / INSTANCES].holder.grant(&request, now);
                self.grants.extend(grant.map(|grant| (instance, grant)));
            }
            Step::ApplyGrant { index } if !self.grants.is_empty() => {
                let (instance, grant) = self.grants.remove(index % self.grants.len());
                self.grantees[instance].apply(grant);
            }
            Step::Restart { instance } => {
                let incarnation = self.next_number();
                let old =
                    std::mem::replace(&mut self.grantees[instance], grantee(instance, incarnation));
                self.paused.push((instance, old));
            }
            Step::Takeover { data_centre } => {
                let data_centre = &mut self.data_centres[data_centre];
                data_centre.fencing += 1;
                let holding = data_centre.stored.holding.clone();
                data_centre.holder = Holder::new(data_centre.fencing, holding, now);
                data_centre.withheld = None;
            }
            Step::Withhold { data_centre, quarter, one_client_account } => {
                let parts = IntervalSet::equal_share(quarter, 4);
                let donation = match one_client_account {
                    true => Holding::of_client_account("c0", parts),
                    false => Holding { default: parts, by_client_account: BTreeMap::new() },
                };
                let data_centre = &mut self.data_centres[data_centre];
                if let Some(earlier) = data_centre.withheld.take() {
                    // Only the stored value shows which parts were given away.
                    data_centre.holder.set_holding(data_centre.stored.holding.clone());
                    data_centre.holder.resume_granting(&earlier);
                }
                data_centre.holder.withhold(&donation);
                data_centre.withheld = Some(donation);
            }
            Step::Donate { data_centre, quarter, crash } => {
                self.apply(Step::Withhold { data_centre, quarter, one_client_account: crash });
                self.apply(Step::Give { data_centre, to: 1 - data_centre, crash });
                self.apply(Step::Sync { worker: 2 * (1 - data_centre), crash: false });
            }
            Step::Sync { worker, crash } => {
                for stage in [Stage::ReadOwn, Stage::ReadOther, Stage::Write { crash }] {
                    self.apply(Step::RunStage { worker, stage });
                }
            }
            Step::Give { data_centre, to, crash } => {
                let nonce = self.next_number();
                let donor = &mut self.data_centres[data_centre];
                let Some(donation) = donor.withheld.clone() else { return };
                if donor.holder.is_free(&donation, now) {
                    let next = donor.stored.give(&format!("d{to}"), &donation, nonce);
                    if let Some(next) = next {
                        self.store(data_centre, next, crash);
                    }
                }
            }
            Step::RunStage { worker, stage: Stage::ReadOwn } => {
                let data_centre = &self.data_centres[worker / 2];
                let own = Some((data_centre.version, data_centre.stored.clone()));
                self.workers[worker] = Worker { own, other: None };
            }
            Step::RunStage { worker, stage: Stage::ReadOther } => {
                let other = self.data_centres[1 - worker / 2].stored.clone();
                self.workers[worker].other = self.workers[worker].own.as_ref().map(|_| other);
            }
            Step::RunStage { worker, stage: Stage::Write { crash } } => {
                let nonce = self.next_number();
                let state = std::mem::take(&mut self.workers[worker]);
                let (Some((version, own)), Some(other)) = (state.own, state.other) else {
                    return;
                };
                let next = other.given.iter().find_map(|t| own.receive(t, nonce));
                let next = next.or_else(|| own.prune_given(&other, nonce));
                let next = next.or_else(|| own.prune_received(&other, nonce));
                if let Some(next) =
                    next.filter(|_| self.data_centres[worker / 2].version == version)
                {
                    self.store(worker / 2, next, crash);
                }
            }
            Step::AdvanceTime { ms } => self.elapsed_ms += ms,
            _ => {}
        }
    }

    fn check(&self) {
        for client_account in ["c0", "c1"] {
            let all = self
                .grantees
                .iter()
                .enumerate()
                .chain(self.paused.iter().map(|(instance, grantee)| (*instance, grantee)));
            let (mut rate, mut concurrent, mut points) = (0, 0, 0);
            for (instance, grantee) in all {
                let limits = grantee.limits(client_account, &LIMITS, self.local_clock(instance));
                rate += limits.rate_milli;
                concurrent += limits.concurrent;
                points += limits.queued;
            }
            assert!(rate <= 2_000 && concurrent <= 5, "over the limit: {rate}, {concurrent}");
            assert!(points <= u32::MAX.into(), "parts overlap: {points}");

            let stored =
                self.data_centres.iter().map(|c| c.stored.holding.parts(client_account).clone());
            let open_transfers =
                self.data_centres.iter().flat_map(|c| &c.stored.given).filter(|transfer| {
                    let is_receiver = |c: &&DataCentre| c.stored.data_centre == transfer.to;
                    let receiver = self.data_centres.iter().find(is_receiver).unwrap();
                    !receiver.stored.received.contains_key(&transfer.nonce)
                });
            let parts =
                stored.chain(open_transfers.map(|t| t.holding.parts(client_account).clone()));
            let (sum, union) = parts.fold((0, IntervalSet::empty()), |(sum, union), parts| {
                (sum + parts.length(), union.union(&parts))
            });
            assert_eq!((sum, union), (SPAN_LENGTH, IntervalSet::full()), "parts lost or created");
        }
    }
}

fn grantee(instance: usize, incarnation: Incarnation) -> Grantee {
    let mut grantee = Grantee::new(&format!("i{instance}"), incarnation);
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

    /// Guards against shares that together exceed a limit at any time, and against transfers that
    /// lose or create parts. Covers slow clocks, lost and late messages, restarts, takeovers and
    /// crashes between the steps of a transfer.
    #[test]
    fn shares_never_exceed_limits(steps in prop::collection::vec(step(), 1..300)) {
        let mut sim = Simulation::new();
        for step in steps {
            sim.apply(step);
            sim.check();
        }
    }
}
