//! Replays generated traces through the placement code in virtual time and compares the results
//! with baseline policies and a lower bound for a policy that knows all future requests.

mod baseline;
mod bound;
mod outcome;
mod site;
mod trace;
mod world;

use std::sync::Mutex;

use placement::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

use baseline::{Baseline, KeepAlive};
use outcome::Outcome;
use site::{Kind, Site};
use trace::Request;
use world::{Policy, World};

/// Number of parallel runs, limited because several people share the machine.
const THREADS: usize = 4;
/// Idle time after which the `fixed-10-min` baseline unloads a replica.
const FIXED_KEEP_ALIVE: Duration = Duration::from_secs(600);

/// Runs the placement code as a policy.
struct PlacementPolicy {
    placement: Placement,
    rng: ChaCha8Rng,
}

impl Policy for PlacementPolicy {
    fn handle(&mut self, event: &Event, view: &View, now: Instant, out: &mut Vec<Decision>) {
        self.placement.handle(event, view, now, &mut self.rng, out);
    }
}

const POLICIES: [&str; 4] =
    ["placement", "fixed-10-min", "least-recently-used", "on-first-request"];

fn run(policy: &str, site: &Site, trace: &[Request], seed: u64) -> Outcome {
    let world = World::new(site, trace, seed);
    let keep_alive = match policy {
        "placement" => {
            let settings = Settings::from(&site.catalogue.deployment);
            let catalogue = site.catalogue.clone();
            let placement = Placement::new(catalogue, settings, world.origin(), Duration::ZERO);
            let mut tested = PlacementPolicy { placement, rng: ChaCha8Rng::seed_from_u64(seed) };
            return world.run(&mut tested);
        }
        "fixed-10-min" => KeepAlive::For(FIXED_KEEP_ALIVE),
        "least-recently-used" => KeepAlive::UntilEvicted,
        _ => KeepAlive::For(Duration::ZERO),
    };
    world.run(&mut Baseline::new(site, keep_alive))
}

fn seed_argument() -> u64 {
    let mut args = std::env::args();
    while let Some(a) = args.next() {
        if a == "--seed" {
            return args.next().and_then(|s| s.parse().ok()).expect("--seed takes a number");
        }
    }
    1
}

fn target(name: &str, value: f64, bound: f64, unit: &str) {
    let met = if value <= bound { "met" } else { "not met" };
    println!("target {name}: {value:.3}{unit} of at most {bound:.3}{unit}, {met}");
}

struct Case {
    site: Site,
    trace: Vec<Request>,
}

fn main() {
    let seed = seed_argument();
    println!("seed {seed}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cases = Vec::new();
    for scale in [1, 10] {
        for kind in [Kind::Alykes, Kind::Kovac] {
            let site = Site::new(kind, scale, &mut rng);
            let trace = trace::generate(&site, &mut rng);
            cases.push(Case { site, trace });
        }
    }
    let jobs: Vec<(usize, &str)> =
        [2, 3, 0, 1].into_iter().flat_map(|c| POLICIES.map(|p| (c, p))).collect();
    let (jobs, results) = (Mutex::new(jobs.into_iter()), Mutex::new(HashMap::new()));
    std::thread::scope(|s| {
        for _ in 0..THREADS {
            s.spawn(|| {
                loop {
                    let Some((c, p)) = jobs.lock().expect("no panic").next() else { break };
                    let outcome = run(p, &cases[c].site, &cases[c].trace, seed);
                    results.lock().expect("no panic").insert((c, p), outcome);
                }
            });
        }
    });
    let mut results = results.into_inner().expect("no panic");
    let mut targets = Vec::new();
    for (c, case) in cases.iter().enumerate() {
        let outcomes = POLICIES.map(|p| results.remove(&(c, p)).expect("every case was run"));
        report(case, outcomes, &mut targets);
    }
    for (name, value, bound, unit) in targets {
        target(&name, value, bound, unit);
    }
}

type TargetLine = (String, f64, f64, &'static str);

fn report(case: &Case, mut outcomes: [Outcome; 4], targets: &mut Vec<TargetLine>) {
    let label = case.site.label();
    println!(
        "\n{label}: {} models, {} servers, {} requests in {} days, cold_start_weight {}",
        case.site.names.len(),
        case.site.servers,
        case.trace.len(),
        trace::days(&case.site),
        case.site.catalogue.deployment.cold_start_weight,
    );
    println!(
        "{:<22}{:>9}{:>9}{:>10}{:>9}{:>7}  {:<28}{:>11}",
        "policy",
        "p50 s",
        "p99 s",
        "idle h",
        "refused",
        "late",
        "loads memory/disk/store",
        "us/event"
    );
    for (name, o) in POLICIES.iter().zip(&mut outcomes) {
        println!(
            "{name:<22}{:>9.3}{:>9.3}{:>10.1}{:>9}{:>7}  {:<28}{:>11.1}",
            seconds(o.quantile(0.5)),
            seconds(o.quantile(0.99)),
            o.idle_hours(),
            o.refused,
            o.late,
            format!("{}/{}/{} +{}", o.loads[0], o.loads[1], o.loads[2], o.prefetches),
            o.decision_us(),
        );
    }
    let bound = bound::compute(&case.site, &case.trace);
    println!(
        "{:<22}{:>9.3}{:>9.3}{:>10.1}{:>9}{:>7}",
        "clairvoyant bound",
        seconds(bound.p50),
        seconds(bound.p99),
        bound.idle_hours,
        0,
        0
    );
    let [tested, fixed, ..] = &mut outcomes;
    let p99 = seconds(tested.quantile(0.99));
    match case.site.kind {
        Kind::Alykes => {
            let limit = 1.25 * seconds(bound.p99);
            targets.push((format!("{label} p99 cold start"), p99, limit, " s"));
        }
        Kind::Kovac => {
            let limit = fixed.idle_hours() / 2.0;
            targets.push((
                format!("{label} idle accelerator hours"),
                tested.idle_hours(),
                limit,
                " h",
            ));
            let limit = seconds(fixed.quantile(0.99));
            targets.push((format!("{label} p99 cold start"), p99, limit, " s"));
        }
    }
    let broken = tested.violations() as f64;
    targets.push((format!("{label} promises broken"), broken, 0.0, ""));
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}
