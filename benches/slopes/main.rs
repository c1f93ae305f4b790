//! Processor time, memory, bytes and platform calls of one instance against the size of the fleet.
//!
//! The real code of `ownership`, `group`, `membership` and `configuration`, with the real call
//! budget and the real encoding of messages, runs in virtual time for all instances of a fleet in
//! one process. Each size runs in a process of its own, so that memory is not left over from
//! another. The cost of real connections is measured on loopback and added per message and call.
//! Cache events are left out: they grow with traffic and are no control.

mod calibration;
mod event;
mod fleet;
mod fleet_changes;
mod fleet_effects;
mod message;
mod node;
mod node_actions;
mod owned_group;
mod platform_model;
mod process_usage;
mod run;
mod scale;
mod server_model;
mod tables;

use std::process::{Command, Stdio};

use crate::calibration::Costs;
use crate::run::Measured;
use crate::scale::Scale;

/// Seed if none is given.
const DEFAULT_SEED: u64 = 1;

/// What is varied, at the sizes measured; all else stays at the target scale.
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

fn argument(name: &str) -> Option<String> {
    let mut arguments = std::env::args().skip_while(|argument| argument != name);
    arguments.nth(1)
}

fn main() {
    let seed = argument("--seed").and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED);
    if let Some(scale) = argument("--child") {
        let scale = serde_json::from_str(&scale).expect("a scale from the parent process");
        let measured = run::measure(scale, seed);
        println!("{}", serde_json::to_string(&measured).expect("figures serialise"));
        return;
    }
    if argument("--calibrate").is_some() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let costs = runtime.expect("a runtime").block_on(calibration::measure());
        println!("{}", serde_json::to_string(&costs).expect("figures serialise"));
        return;
    }
    let only = argument("--only");
    let costs: Costs = child(&["--calibrate", "yes"]).expect("the calibration runs");
    tables::print_costs(&costs, seed);
    let mut at_target: Option<Measured> = None;
    for (name, scales) in series() {
        if only.as_ref().is_some_and(|only| only != name) {
            continue;
        }
        tables::print_head(name);
        for scale in scales {
            let is_target = scale == Scale::TARGET;
            let known = at_target.clone().filter(|_| is_target);
            let Some(measured) = known.or_else(|| measure(scale, seed)) else {
                println!("{scale:?}: no figures");
                continue;
            };
            tables::print_row(&measured, &costs);
            if is_target {
                at_target = Some(measured);
            }
        }
    }
    match at_target {
        Some(measured) => tables::print_targets(&measured, &costs),
        None => println!("the target scale gave no figures: no target is met"),
    }
}

fn measure(scale: Scale, seed: u64) -> Option<Measured> {
    let scale = serde_json::to_string(&scale).ok()?;
    child(&["--child", &scale, "--seed", &seed.to_string()])
}

/// Runs this program again and reads the figures that it prints.
fn child<T: serde::de::DeserializeOwned>(arguments: &[&str]) -> Option<T> {
    let program = std::env::current_exe().ok()?;
    let output = Command::new(program).args(arguments).stderr(Stdio::inherit()).output().ok()?;
    serde_json::from_slice(&output.stdout).ok()
}
