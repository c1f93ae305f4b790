//! Simulates several owners that share one stand-in weight store, in virtual time.

use std::sync::Arc;

use placement::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use stand_ins::weight_store::{WeightStore, WeightStoreConfig};
use tokio::task::JoinHandle;
use types::prelude::*;

use crate::store_uses::{REPUBLISH_INTERVAL, STORE_USE_VALIDITY, StoreUseTracker, published_use};

const LOAD_TIME: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(2);
/// Owners batch changes for 5 ms before they publish them, and delivery takes 1 ms.
const MESSAGE_DELAY: Duration = Duration::from_millis(6);
const SUMMARY_EVERY: Duration = Duration::from_secs(1);

/// What the owners learn of each other's use of the store.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Exchange {
    Nothing,
    States,
    Summaries,
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

struct Owner {
    group: GroupId,
    placement: Placement,
    view: View,
    uses: StoreUseTracker,
    elsewhere: BTreeMap<GroupId, (StoreUse, Instant)>,
    loads: Vec<(ModelId, Instant, JoinHandle<()>)>,
    sequence: u64,
    waiting: u8,
    published: StoreUse,
    published_at: Instant,
    next_view_at: Instant,
    load_times: Vec<Duration>,
    ready_at: Vec<Duration>,
}

impl Owner {
    fn new(index: usize, models: usize) -> Self {
        let group: GroupId = format!("group-{index}").into();
        let mut catalogue = Catalogue::default();
        let mut view = View::default();
        for m in 0..models {
            let model = Model {
                version: "1".into(),
                memory_bytes: 1,
                accelerators: 1,
                max_replicas: 1,
                adapter_slots: 0,
                max_batch: 4,
                load_time: LoadTime {
                    memory: Duration::from_millis(500),
                    disk: Duration::from_secs(1),
                    remote: LOAD_TIME,
                },
                adapters: BTreeSet::new(),
            };
            let name: ModelId = format!("{group}-{m}").into();
            view.allowance_left.insert(name.clone(), 1);
            catalogue.models.insert(name, model);
        }
        view.servers.push(ServerView {
            server: "engine".into(),
            memory_total: 100,
            memory_free: 100,
            ..ServerView::default()
        });
        let catalogue = Arc::new(catalogue);
        let settings = Settings::from(&catalogue.deployment);
        Self {
            group,
            placement: Placement::new(catalogue, settings, now(), Duration::ZERO),
            view,
            uses: StoreUseTracker::default(),
            elsewhere: BTreeMap::new(),
            loads: Vec::new(),
            sequence: 0,
            waiting: 0,
            published: StoreUse::default(),
            published_at: now(),
            next_view_at: now(),
            load_times: Vec::new(),
            ready_at: Vec::new(),
        }
    }

    fn handle(&mut self, event: &Event, store: &WeightStore, rng: &mut ChaCha8Rng) {
        let now = now();
        self.view.store.loads_in_progress = self.loads.len() as u32;
        let recent = self.elsewhere.values().filter(|(_, at)| now < *at + STORE_USE_VALIDITY);
        let elsewhere = recent.map(|(store, _)| *store);
        self.view.store.others = self.uses.use_by_others(&self.group, elsewhere, now);
        let mut decisions = Vec::new();
        self.placement.handle(event, &self.view, now, rng, &mut decisions);
        for decision in decisions {
            let Decision::Load { model, .. } = decision else { continue };
            let server = &mut self.view.servers[0];
            server.replicas.push(ReplicaView {
                replica: server.replicas.len() as u64,
                model: model.clone(),
                phase: ReplicaPhase::Loading,
                memory_bytes: 1,
                last_used: now,
                running: 0,
                queued: 0,
                adapters: Vec::new(),
            });
            let store = store.clone();
            let load = tokio::spawn(async move { store.load(LOAD_TIME).await });
            self.loads.push((model, now, load));
        }
        self.view.store.loads_in_progress = self.loads.len() as u32;
        self.waiting = self.placement.store_wait_priority(&self.view, now);
        self.next_view_at = now + Duration::from_millis(rng.random_range(30..70));
    }

    fn end_loads(&mut self, start: Instant, store: &WeightStore, rng: &mut ChaCha8Rng) {
        while let Some(i) = self.loads.iter().position(|(.., load)| load.is_finished()) {
            let (model, started, _) = self.loads.swap_remove(i);
            let replicas = &mut self.view.servers[0].replicas;
            let replica = replicas.iter_mut().find(|r| r.model == model).expect("loading");
            replica.phase = ReplicaPhase::Ready;
            self.load_times.push(now() - started);
            self.ready_at.push(now() - start);
            let (server, source) = ("engine".into(), LoadSource::Remote);
            let ended = LoadEnded { server, model, source, started, succeeded: true };
            self.handle(&Event::LoadEnded(ended), store, rng);
        }
    }

    /// Returns the use that the owner publishes now, if a publication is due.
    fn publish(&mut self) -> Option<(u64, StoreUse)> {
        let loads = self.loads.len() as u32;
        let store = published_use(loads, 0, self.placement.store_starts(), self.waiting);
        let is_republication_due =
            store.is_active() && now() >= self.published_at + REPUBLISH_INTERVAL;
        if store == self.published && !is_republication_due {
            return None;
        }
        self.sequence += 1;
        (self.published, self.published_at) = (store, now());
        Some((self.sequence, store))
    }
}

/// Guards against change messages that take more than a small part of the 21 KB/s.
#[test]
fn a_change_takes_a_small_message() {
    let store = StoreUse { loads: 4, adapters: 32, starts: 100_000, waiting: 130 };
    let changes = group::GroupChanges {
        group: "group-17".into(),
        fencing: 1_000,
        base: 10_000,
        sequence: 10_001,
        store,
        loads: Vec::new(),
        servers: Vec::new(),
    };
    let message = crate::message::PeerMessage::GroupChanges(Arc::new(changes));
    let frame = peer::Frame::encode("instance-100", 1, &message).expect("encoded");
    println!("{} bytes", frame.payload.len());
    assert!(frame.payload.len() <= 32);
}

struct Outcome {
    max_loads: u32,
    load_times: Vec<Duration>,
    /// By owner.
    ready_at: Vec<Vec<Duration>>,
}

impl Outcome {
    fn mean(times: &[Duration]) -> Duration {
        times.iter().sum::<Duration>() / times.len().max(1) as u32
    }
}

/// Runs owners with the given numbers of cold models until all models are ready, or for 120 s.
async fn run(models: &[usize], worth_milli: &[u32], exchange: Exchange, seed: u64) -> Outcome {
    let store = WeightStore::new(WeightStoreConfig { seed, ..WeightStoreConfig::default() });
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = now();
    let mut owners: Vec<Owner> =
        models.iter().enumerate().map(|(i, n)| Owner::new(i, *n)).collect();
    let names: Vec<GroupId> = owners.iter().map(|o| o.group.clone()).collect();
    let mut messages: VecDeque<(Instant, GroupId, u64, StoreUse)> = VecDeque::new();
    for owner in &mut owners {
        for name in
            names.iter().filter(|name| exchange == Exchange::States && **name != owner.group)
        {
            owner.uses.apply(name, (1, 0), StoreUse::default(), start);
        }
    }
    for (owner, worth_milli) in owners.iter_mut().zip(worth_milli) {
        let targets: Vec<ModelId> = owner.view.allowance_left.keys().cloned().collect();
        for model in targets {
            let target = Target { model, adapter: None };
            let deadline = start + Duration::from_secs(120);
            let (from, worth_milli) = ("entry".into(), *worth_milli);
            let demand = Demand { from, target, waiting: 1, worth_milli, deadline };
            owner.handle(&Event::Demand(demand), &store, &mut rng);
        }
    }
    let mut summary_at = start;
    while owners.iter().any(|o| o.ready_at.len() < o.view.allowance_left.len())
        && now() < start + Duration::from_secs(120)
    {
        while messages.front().is_some_and(|m| m.0 <= now()) {
            let Some((_, group, sequence, store_use)) = messages.pop_front() else { break };
            for owner in owners.iter_mut().filter(|o| o.group != group) {
                owner.uses.apply(&group, (1, sequence), store_use, now());
            }
        }
        if exchange == Exchange::Summaries && now() >= summary_at {
            summary_at = now() + SUMMARY_EVERY;
            let totals: Vec<StoreUse> = owners.iter().map(|o| o.uses.total(now())).collect();
            for (i, owner) in owners.iter_mut().enumerate() {
                let others = names.iter().zip(&totals).enumerate().filter(|(j, _)| *j != i);
                let received = others.map(|(_, (name, total))| (name.clone(), (*total, now())));
                owner.elsewhere = received.collect();
            }
        }
        for owner in &mut owners {
            owner.end_loads(start, &store, &mut rng);
            if now() >= owner.next_view_at {
                owner.handle(&Event::ViewChanged, &store, &mut rng);
            }
            let Some((sequence, store_use)) = owner.publish() else { continue };
            owner.uses.apply(&owner.group.clone(), (1, sequence), store_use, now());
            if exchange == Exchange::States {
                messages.push_back((
                    now() + MESSAGE_DELAY,
                    owner.group.clone(),
                    sequence,
                    store_use,
                ));
            }
        }
        tokio::time::sleep(STEP).await;
    }
    Outcome {
        max_loads: store.max_concurrent_loads(),
        load_times: owners.iter().flat_map(|o| o.load_times.clone()).collect(),
        ready_at: owners.into_iter().map(|o| o.ready_at).collect(),
    }
}

fn print(what: &str, outcome: &Outcome) {
    let ready: Vec<Duration> = outcome.ready_at.iter().flatten().copied().collect();
    println!(
        "{what}: {} loads at most, load {:.1?} on average and {:.1?} at most, ready after {:.1?} on \
         average and {:.1?} at most, {} ready",
        outcome.max_loads,
        Outcome::mean(&outcome.load_times),
        outcome.load_times.iter().max().copied().unwrap_or_default(),
        Outcome::mean(&ready),
        ready.iter().max().copied().unwrap_or_default(),
        ready.len(),
    );
}

/// Guards against owners that together exceed the full-speed rate of the store. Without states of
/// other groups, three groups load twelve models at once, each at a third of the speed.
#[rstest]
#[tokio::test(start_paused = true)]
async fn groups_of_a_data_centre_share_the_store(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let (models, worth) = ([4; 3], [1_000; 3]);
    let alone = run(&models, &worth, Exchange::Nothing, seed).await;
    let shared = run(&models, &worth, Exchange::States, seed).await;
    print("each group on its own", &alone);
    print("states exchanged", &shared);
    assert_eq!(shared.ready_at.iter().flatten().count(), 12);
    assert!(shared.max_loads <= WeightStoreConfig::default().concurrent_loads);
}

/// Guards against data centres that stay above the full-speed rate although they exchange
/// summaries every second.
#[rstest]
#[tokio::test(start_paused = true)]
async fn data_centres_share_the_store(#[values(1, 2, 3)] seed: u64) {
    let (models, worth) = ([8; 3], [1_000; 3]);
    let alone = run(&models, &worth, Exchange::Nothing, seed).await;
    let shared = run(&models, &worth, Exchange::Summaries, seed).await;
    print("each data centre on its own", &alone);
    print("summaries exchanged", &shared);
    assert_eq!(shared.ready_at.iter().flatten().count(), 24);
    assert!(Outcome::mean(&shared.load_times) < Outcome::mean(&alone.load_times));
}

/// Guards against starvation of a group whose demand has little worth while groups with more worth
/// always have demand.
#[tokio::test(start_paused = true)]
async fn demand_of_little_worth_is_served_in_its_turn() {
    let outcome = run(&[40, 40, 1], &[1_000_000, 1_000_000, 1], Exchange::States, 1).await;
    print("two busy groups and one with little worth", &outcome);
    let ready = outcome.ready_at[2].first().copied();
    // A group that has loaded nothing for 30 s starts a load regardless of the other groups. That
    // load exceeds the full-speed rate by one.
    assert!(
        ready.is_some_and(|at| at <= Duration::from_secs(30) + LOAD_TIME.mul_f64(1.5)),
        "{ready:?}"
    );
    assert!(outcome.max_loads <= WeightStoreConfig::default().concurrent_loads + 1);
}
