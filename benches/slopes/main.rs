//! Processor time, memory, bytes and platform calls of one instance against the size of the fleet.
//!
//! One process runs the production code of `ownership`, `group`, `membership` and `configuration`,
//! with the production call budget and message encoding, for all instances of a fleet in virtual
//! time. Each size runs in a process of its own, so that no memory is left over from another size.
//! The cost of real connections is measured on loopback and added per message and call. Cache
//! events are left out because they grow with traffic and are not control traffic.

mod calibration;
mod event;
mod fleet;
mod fleet_changes;
mod fleet_effects;
mod message;
mod node;
mod node_actions;
mod node_reports;
mod owned_group;
mod platform_model;
mod process_usage;
mod run;
mod scale;
mod server_model;
mod tables;
mod traffic;

use std::process::{Command, Stdio};
use std::sync::{Mutex, PoisonError};

use crate::calibration::Costs;
use crate::run::Measured;
use crate::scale::Scale;

/// Number of fleets measured in parallel. Processor time is read per process, so parallel runs do
/// not add to each other's figures.
const PARALLEL_RUNS: usize = 3;

/// Seed if `--seed` is not given.
const DEFAULT_SEED: u64 = 1;

/// Returns each varied quantity with the scales to measure. All others stay at the target scale,
/// except that models, replicas and adapters vary in proportion to the number of instances.
fn series() -> Vec<(&'static str, Vec<Scale>)> {
    let target = Scale::TARGET;
    let with = |change: fn(&mut Scale, usize), sizes: &[usize]| {
        let sizes = sizes.iter().map(|size| {
            let mut scale = target;
            change(&mut scale, *size);
            scale
        });
        sizes.collect()
    };
    let instances =
        [(8, 4), (40, 4), (120, 9)].map(|(n, data_centres)| Scale::of_instances(n, data_centres));
    vec![
        ("instances", instances.into_iter().chain([target]).collect()),
        ("replicas", with(|scale, n| scale.replicas = n, &[1_950, 3_900, 7_800])),
        ("adapters", with(|scale, n| scale.adapters = n, &[13_500, 27_000, 54_000])),
        ("changes/day", with(|scale, n| scale.changes_per_day = n, &[2_200, 7_300, 22_000])),
    ]
}

fn argument_value(name: &str) -> Option<String> {
    let mut arguments = std::env::args().skip_while(|argument| argument != name);
    arguments.nth(1)
}

fn main() {
    let seed = argument_value("--seed").and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED);
    if let Some(scale) = argument_value("--child") {
        let scale = serde_json::from_str(&scale).expect("a scale from the parent process");
        let measured = run::measure(scale, seed);
        println!("{}", serde_json::to_string(&measured).expect("figures serialise"));
        return;
    }
    if argument_value("--calibrate").is_some() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let costs = runtime.expect("a runtime").block_on(calibration::measure());
        println!("{}", serde_json::to_string(&costs).expect("figures serialise"));
        return;
    }
    let only = argument_value("--only");
    let costs: Costs = run_child(&["--calibrate", "yes"]).expect("the calibration runs");
    tables::print_costs(&costs, seed);
    let selected =
        series().into_iter().filter(|(name, _)| only.as_deref().is_none_or(|o| o == *name));
    let selected: Vec<_> = selected.collect();
    let measured =
        measure_all(selected.iter().flat_map(|(_, scales)| scales.iter().copied()), seed);
    for (name, scales) in selected {
        tables::print_header(name);
        for scale in scales {
            match measured.iter().find(|measured| measured.scale == scale) {
                Some(measured) => tables::print_row(measured, &costs),
                None => println!("{scale:?}: no figures"),
            }
        }
    }
    match measured.iter().find(|measured| measured.scale == Scale::TARGET) {
        Some(measured) => tables::print_targets(measured, &costs),
        None => println!("the target scale gave no figures: no target is met"),
    }
}

/// Measures each scale once, the largest first, `PARALLEL_RUNS` at a time.
fn measure_all(scales: impl Iterator<Item = Scale>, seed: u64) -> Vec<Measured> {
    let mut waiting: Vec<Scale> = Vec::new();
    scales.for_each(|scale| {
        if !waiting.contains(&scale) {
            waiting.push(scale);
        }
    });
    waiting.sort_by_key(|scale| (scale.instances, *scale == Scale::TARGET));
    let (waiting, measured) = (Mutex::new(waiting), Mutex::new(Vec::new()));
    let next = || waiting.lock().unwrap_or_else(PoisonError::into_inner).pop();
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| {
                while let Some(scale) = next() {
                    let figures = measure(scale, seed);
                    measured.lock().unwrap_or_else(PoisonError::into_inner).extend(figures);
                }
            });
        }
    });
    measured.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn measure(scale: Scale, seed: u64) -> Option<Measured> {
    let scale = serde_json::to_string(&scale).ok()?;
    run_child(&["--child", &scale, "--seed", &seed.to_string()])
}

/// Runs this program again and reads the figures that it prints.
fn run_child<T: serde::de::DeserializeOwned>(arguments: &[&str]) -> Option<T> {
    let program = std::env::current_exe().ok()?;
    let output = Command::new(program).args(arguments).stderr(Stdio::inherit()).output().ok()?;
    serde_json::from_slice(&output.stdout).ok()
}
