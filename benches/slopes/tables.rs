//! Prints the tables and the comparison with the targets.

use crate::calibration::Costs;
use crate::platform_model::MAX_VALUE_BYTES;
use crate::run::{Measured, PLATFORM_READS_PER_SECOND, PLATFORM_WRITES_PER_SECOND};
use crate::scale::ADAPTER_NAME_LENGTH;

/// Largest share of a core that control may use, in percent.
const MAX_PROCESSOR_PERCENT: f64 = 2.2;
/// Largest amount of memory that control may use, in megabytes.
const MAX_MEMORY_MB: f64 = 64.0;
/// Most control traffic, in kilobytes per second.
const MAX_KILOBYTES_PER_SECOND: f64 = 21.0;
/// Longest time until an accepted configuration is in effect everywhere, in milliseconds.
const MAX_ADOPTION_MS: f64 = 4_000.0;

const MB: f64 = 1_000_000.0;
const KB: f64 = 1_000.0;

/// Processor percent of the average instance, connections included.
fn processor_percent(measured: &Measured, costs: &Costs) -> f64 {
    let connections = measured.messages * costs.exchange
        + (measured.platform_calls + measured.reports) * costs.call;
    (measured.processor + connections) * 100.0
}

/// Memory of one instance, its connections and the process itself included.
fn memory_mb(measured: &Measured, costs: &Costs) -> f64 {
    (measured.memory_bytes + measured.base_bytes + costs.connections_bytes) as f64 / MB
}

/// Prints the measured costs of connections.
pub(crate) fn print_costs(costs: &Costs, seed: u64) {
    println!("seed {seed}");
    println!(
        "measured on loopback, both ends together: exchange {:.0} us, HTTP call {:.0} us, \
         connections to 39 instances {:.1} MB",
        costs.exchange * 1e6,
        costs.call * 1e6,
        costs.connections_bytes as f64 / MB,
    );
}

/// Prints the header of a table.
pub(crate) fn print_header(varied: &str) {
    println!("\nslopes against {varied} (per instance; reads and writes of the whole fleet)");
    println!(
        "{:>9} {:>8} {:>8} {:>7} | {:>7} {:>7} {:>7} {:>8} {:>8} {:>7} {:>7} | {:>7} {:>8} {:>8} | {:>7}",
        "instances",
        "replicas",
        "adapters",
        "chg/day",
        "sim %",
        "core %",
        "mem MB",
        "KB/s",
        "max KB/s",
        "msg/s",
        "call/s",
        "reads/s",
        "writes/s",
        "adopt ms",
        "run s",
    );
}

/// Prints the table row of one scale.
pub(crate) fn print_row(measured: &Measured, costs: &Costs) {
    let scale = &measured.scale;
    println!(
        "{:>9} {:>8} {:>8} {:>7} | {:>7.2} {:>7.2} {:>7.1} {:>8.1} {:>8.1} {:>7.1} {:>7.2} | {:>7} {:>8} {:>8} | {:>7.1}",
        scale.instances,
        scale.replicas,
        scale.adapters,
        scale.changes_per_day,
        measured.processor * 100.0,
        processor_percent(measured, costs),
        memory_mb(measured, costs),
        measured.bytes / KB,
        measured.busiest_bytes / KB,
        measured.messages,
        measured.platform_calls,
        measured.max_reads,
        measured.max_writes,
        measured.slowest_adoption_ms,
        measured.took,
    );
    let is_loaded = measured.loaded_after.is_some();
    if !is_loaded || measured.up_to_date < scale.instances || !measured.not_applied.is_empty() {
        println!(
            "          incomplete: {} of {} replicas ready, {} of {} instances up to date, \
             changes accepted {}, not accepted {} {:?}, values refused as too long {}",
            measured.ready_replicas,
            scale.replicas,
            measured.up_to_date,
            scale.instances,
            measured.applied,
            measured.not_applied.len(),
            measured.not_applied.first(),
            measured.refused_too_long,
        );
    }
}

/// Prints the details and the targets at the target scale.
pub(crate) fn print_targets(measured: &Measured, costs: &Costs) {
    println!("\nat the target scale, bytes per second: average instance, busiest instance");
    for (kind, bytes) in &measured.bytes_by_kind {
        let busiest = measured.busiest_by_kind.get(kind).copied().unwrap_or(0.0);
        println!("  {kind:<18} {:>10.1} KB/s {:>10.1} KB/s", bytes / KB, busiest / KB);
    }
    println!("longest values in the platform:");
    for (kind, bytes) in &measured.longest_values {
        println!("  {kind:<18} {:>10.1} KB", *bytes as f64 / KB);
    }
    let catalogue = measured.longest_values.get("catalogue").copied().unwrap_or(0);
    let room = MAX_VALUE_BYTES.saturating_sub(catalogue) / measured.scale.adapters;
    println!(
        "the catalogue holds adapter names of {ADAPTER_NAME_LENGTH} characters; it stays within one \
         value of 1 MB up to {} characters",
        ADAPTER_NAME_LENGTH + room,
    );
    println!("messages a second and instance: {:.1}", measured.messages);
    println!("replicas loaded after {:?} s of virtual time", measured.loaded_after);
    println!("changes accepted {}, not accepted {}", measured.applied, measured.not_applied.len());
    println!();
    let busiest = processor_percent(measured, costs) * measured.busiest.max(1.0);
    target("processor_percent_of_busiest_instance", busiest, MAX_PROCESSOR_PERCENT);
    target("memory_mb", memory_mb(measured, costs), MAX_MEMORY_MB);
    let kilobytes = measured.busiest_bytes / KB;
    target("kilobytes_per_second_of_busiest_instance", kilobytes, MAX_KILOBYTES_PER_SECOND);
    target(
        "platform_reads_per_second",
        measured.max_reads as f64,
        PLATFORM_READS_PER_SECOND.into(),
    );
    target(
        "platform_writes_per_second",
        measured.max_writes as f64,
        PLATFORM_WRITES_PER_SECOND.into(),
    );
    let adoption = match measured.up_to_date == measured.scale.instances && measured.applied > 1 {
        true => measured.slowest_adoption_ms as f64,
        false => f64::INFINITY,
    };
    target("configuration_everywhere_ms", adoption, MAX_ADOPTION_MS);
    if let Some(restart) = &measured.restart {
        println!(
            "restart of a data centre with {} instances: groups owned after {:?} s, newest \
             configuration after {:?} s",
            restart.instances, restart.owned_after, restart.up_to_date_after,
        );
        let (reads, writes) = (restart.max_reads as f64, restart.max_writes as f64);
        target("platform_reads_per_second_in_restart", reads, PLATFORM_READS_PER_SECOND.into());
        target("platform_writes_per_second_in_restart", writes, PLATFORM_WRITES_PER_SECOND.into());
    }
}

fn target(name: &str, value: f64, bound: f64) {
    let result = if value <= bound { "met" } else { "not met" };
    println!("target {name}: {value:.1} of at most {bound}, {result}");
}
