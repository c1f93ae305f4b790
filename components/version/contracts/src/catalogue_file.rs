//! The catalogue file: models, plain services and settings of the deployment.

use ini_file::{Diagnostics, Ini, SectionReader, ValueError, value};
use types::prelude::*;

use crate::contract_file::unique;

/// Time limit of a service's call, unless the catalogue says otherwise.
pub const DEFAULT_SERVICE_TIMEOUT: Duration = Duration::from_secs(10);

const SECTIONS: &[&str] = &["deployment"];
const KINDS: &[&str] = &["model", "service"];
const METHODS: &[&str] = &["GET", "HEAD", "OPTIONS", "PUT", "POST", "PATCH", "DELETE"];

/// Reads the catalogue.
///
/// Where a value is missing or wrong, which the diagnostics say, the result holds a harmless one,
/// so that contracts can still be checked against it.
pub fn parse_catalogue(ini: &Ini, diagnostics: &mut Diagnostics) -> Catalogue {
    ini.check_sections(SECTIONS, KINDS, diagnostics);
    let mut catalogue =
        Catalogue { deployment: deployment(ini, diagnostics), ..Catalogue::default() };
    for (name, section) in ini.sections_of_kind("model") {
        let mut r = named(ini, name, &section.name, diagnostics);
        catalogue.models.insert(name.into(), model(&mut r));
        r.finish();
    }
    for (name, section) in ini.sections_of_kind("service") {
        let mut r = named(ini, name, &section.name, diagnostics);
        let service = Service {
            idempotent_calls: r.list("idempotent_calls", call_pattern),
            timeout: r.or("timeout", DEFAULT_SERVICE_TIMEOUT, value::positive_duration),
        };
        r.finish();
        catalogue.services.insert(name.into(), service);
    }
    catalogue
}

fn named<'a>(
    ini: &'a Ini,
    name: &str,
    section: &str,
    diagnostics: &'a mut Diagnostics,
) -> SectionReader<'a> {
    let mut r = SectionReader::new(ini, section, diagnostics);
    if let Err(e) = value::name(name) {
        r.error("", e);
    }
    r
}

fn deployment(ini: &Ini, diagnostics: &mut Diagnostics) -> Deployment {
    let d = Deployment::default();
    let count = value::number(1u32..=1_000_000);
    let mut r = SectionReader::new(ini, "deployment", diagnostics);
    let deployment = Deployment {
        cold_start_weight: r.or("cold_start_weight", d.cold_start_weight, value::number(0u8..=100)),
        store_loads_per_second: r.or("store_loads_per_second", d.store_loads_per_second, &count),
        store_concurrent_loads: r.or("store_concurrent_loads", d.store_concurrent_loads, &count),
        store_concurrent_adapters: r.or(
            "store_concurrent_adapters",
            d.store_concurrent_adapters,
            &count,
        ),
        idle_second_cost_milli: r.or(
            "idle_second_cost",
            d.idle_second_cost_milli,
            value::amount_milli,
        ),
    };
    r.finish();
    deployment
}

fn model(r: &mut SectionReader<'_>) -> Model {
    let count = value::number(1u32..=1_000_000);
    Model {
        version: r.required("version", value::name).unwrap_or_default(),
        memory_bytes: r.required("memory", value::size).unwrap_or(1),
        accelerators: r.or("accelerators", 1, &count),
        max_replicas: r.or("max_replicas", 1, &count),
        adapter_slots: r.or("adapter_slots", 0, value::number(0u32..=1_000_000)),
        max_batch: r.or("max_batch", 16, &count),
        load_time: load_time(r),
        adapters: unique(r, "adapters", value::name),
    }
}

/// A missing time stands in as the next faster one, which breaks no rule.
fn load_time(r: &mut SectionReader<'_>) -> LoadTime {
    let memory = r.required("load_from_memory", value::positive_duration).unwrap_or_default();
    let disk = r.required("load_from_disk", value::positive_duration).unwrap_or(memory);
    let remote = r.required("load_from_remote", value::positive_duration).unwrap_or(disk);
    LoadTime { memory, disk, remote }
}

/// A call as `METHOD /path/prefix`.
fn call_pattern(text: &str) -> Result<CallPattern, ValueError> {
    let error = || {
        ValueError::Other(
            format!("\"{text}\" is no call; write METHOD /PATH-PREFIX, such as GET /levels").into(),
        )
    };
    let (method, path) = text.split_once(' ').ok_or_else(error)?;
    let path = path.trim_start();
    if !METHODS.contains(&method) || !path.starts_with('/') || path.contains([' ', '?', '#']) {
        return Err(error());
    }
    Ok(CallPattern { method: method.into(), path_prefix: path.into() })
}
