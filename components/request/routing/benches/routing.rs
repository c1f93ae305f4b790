//! Measures the time of one routing decision for several numbers of replicas and adapters.
//!
//! One router has all replicas, although an instance has only those of its own data centre.

use std::error::Error;
use std::hint::black_box;

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{PREFIX_BLOCK_BYTES, RouteOutcome, RouteRequest, Router, prefix_hashes};
use types::prelude::*;

const REPLICAS: [usize; 3] = [780, 2_600, 7_800];
const ADAPTERS: [usize; 2] = [5_400, 54_000];
/// Number of models for `REPLICAS_OF_ALL_MODELS` replicas. Fewer replicas serve proportionally
/// fewer models.
const MODELS: usize = 1_100;
const REPLICAS_OF_ALL_MODELS: usize = 7_800;
const REPLICAS_PER_SERVER: usize = 2;
const SERVERS_PER_GROUP: usize = 20;
const MAX_BATCH: u32 = 32;
const WARM_UP: usize = 20_000;
const DECISIONS: usize = 200_000;
/// Requests in flight from the instance during the measurement.
const IN_FLIGHT: usize = 2_000;
/// Upper bound for the 99th percentile, in microseconds.
const TARGET_US: f64 = 20.0;

struct Benchmark {
    router: Router,
    targets: Vec<Target>,
    rng: ChaCha8Rng,
}

impl Benchmark {
    fn new(replicas: usize, adapters: usize, now: Instant) -> Self {
        let models = MODELS * replicas / REPLICAS_OF_ALL_MODELS;
        let model = |index: usize| -> ModelId { format!("model-{}", index % models).into() };
        let adapter = |index: usize| -> AdapterId { format!("adapter-{index}").into() };
        let mut pools = vec![Vec::new(); replicas];
        for index in 0..adapters {
            // Adapter `index` belongs to model `index % models`, as replica `index % models` does.
            let of_model = replicas / models;
            let replica_index = index % models + models * (index / models % of_model);
            pools[replica_index].push(adapter(index));
        }
        let replica = |index: usize| ReplicaState {
            replica: index as ReplicaId,
            model: model(index),
            phase: ReplicaPhase::Ready,
            max_batch: MAX_BATCH,
            running: (index * 7 % 40) as u32,
            queued: 0,
            adapters: pools[index].clone(),
        };
        let server = |index: usize| ServerState {
            server: format!("server-{index}").into(),
            address: format!("127.0.0.1:{}", index % 60_000).into(),
            incarnation: 1,
            leaving: false,
            reachable: true,
            load_age_ms: 200,
            replicas: (index * REPLICAS_PER_SERVER..(index + 1) * REPLICAS_PER_SERVER)
                .map(replica)
                .collect(),
        };
        let mut router = Router::new();
        let servers: Vec<usize> = (0..replicas / REPLICAS_PER_SERVER).collect();
        for (group, servers) in servers.chunks(SERVERS_PER_GROUP).enumerate() {
            router.apply_group_state(
                &GroupState {
                    group: format!("group-{group}").into(),
                    owner: "instance".into(),
                    fencing: 1,
                    sequence: 1,
                    store: StoreUse::default(),
                    servers: servers.iter().copied().map(server).collect(),
                },
                now,
            );
        }
        // One request in five is for an adapter that is in no pool.
        let targets = (0..adapters + adapters / 4)
            .map(|index| Target { model: model(index), adapter: Some(adapter(index)) })
            .collect();
        Self { router, targets, rng: ChaCha8Rng::seed_from_u64(1) }
    }

    /// Makes one decision and returns its duration and outcome.
    fn decide(&mut self, prefix: &[u64], now: Instant) -> (Duration, RouteOutcome) {
        let target = &self.targets[self.rng.random_range(0..self.targets.len())];
        let req = RouteRequest {
            target,
            prefix,
            exclude: &[],
            waiting: 1,
            earliest_deadline: now,
            worth_milli: 1,
        };
        let start = Instant::now();
        let outcome = black_box(self.router.route(black_box(&req), now, &mut self.rng));
        (start.elapsed(), outcome)
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut worst_p99_us: f64 = 0.0;
    for replicas in REPLICAS {
        for adapters in ADAPTERS {
            let p99 = measure(replicas, adapters)?;
            if replicas == REPLICAS_OF_ALL_MODELS {
                worst_p99_us = worst_p99_us.max(p99);
            }
        }
    }
    let met = if worst_p99_us <= TARGET_US { "met" } else { "not met" };
    println!("target routing_decision_us: {worst_p99_us:.2} of at most {TARGET_US:.0}, {met}");
    Ok(())
}

/// Prints the mean and the 99th percentile, and returns the latter in microseconds.
fn measure(replicas: usize, adapters: usize) -> Result<f64, Box<dyn Error>> {
    let now = Instant::now();
    let mut benchmark = Benchmark::new(replicas, adapters, now);
    let mut times = Histogram::<u64>::new(3)?;
    let mut in_flight = VecDeque::new();
    let mut prompt = vec![0; 8 * PREFIX_BLOCK_BYTES];
    for round in 0..WARM_UP + DECISIONS {
        // 500 recurring prompts, so that cached prefixes are found.
        prompt[0] = (round % 250) as u8;
        prompt[1] = (round / 7 % 2) as u8;
        let prefix = prefix_hashes(&Target::parse("model"), &prompt);
        let at = now + Duration::from_micros(round as u64);
        let (time, outcome) = benchmark.decide(&prefix, at);
        if round >= WARM_UP {
            times.record(time.as_nanos() as u64)?;
        }
        if let RouteOutcome::Replica(selection) = outcome {
            benchmark.router.record_sent(&selection.replica, &prefix, at);
            in_flight.push_back((selection.replica, at));
        }
        if in_flight.len() > IN_FLIGHT
            && let Some((replica, sent_at)) = in_flight.pop_front()
        {
            benchmark.router.record_ended(&replica, sent_at, at);
        }
    }
    let (mean, p99) = (times.mean() / 1e3, times.value_at_quantile(0.99) as f64 / 1e3);
    println!("{replicas} replicas, {adapters} adapters: mean {mean:.2} us, p99 {p99:.2} us");
    Ok(p99)
}
