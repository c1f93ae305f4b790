//! The catalogue file: models, services without a model and settings of the deployment.

use ini_file::{Diagnostics, Ini, SectionReader, ValueError, value};
use types::prelude::*;

use crate::contract_file::unique_list;

/// Default time limit of a call to a service.
pub const DEFAULT_SERVICE_TIMEOUT: Duration = Duration::from_secs(10);

const SECTION_NAMES: &[&str] = &["deployment"];
const SECTION_KINDS: &[&str] = &["model", "service"];
const METHODS: &[&str] = &["GET", "HEAD", "OPTIONS", "PUT", "POST", "PATCH", "DELETE"];

/// Parses the catalogue.
///
/// The diagnostics report each missing or invalid value. The result has a valid value in its place,
/// so that contracts can still be checked against the catalogue.
pub fn parse_catalogue(ini: &Ini, diagnostics: &mut Diagnostics) -> Catalogue {
    ini.check_sections(SECTION_NAMES, SECTION_KINDS, diagnostics);
    let mut catalogue =
        Catalogue { deployment: parse_deployment(ini, diagnostics), ..Catalogue::default() };
    for (name, section) in ini.sections_of_kind("model") {
        let mut r = section_reader(ini, name, &section.name, diagnostics);
        catalogue.models.insert(name.into(), parse_model(&mut r));
        r.finish();
    }
    for (name, section) in ini.sections_of_kind("service") {
        let mut r = section_reader(ini, name, &section.name, diagnostics);
        let service = Service {
            idempotent_calls: r.list("idempotent_calls", parse_call_pattern),
            timeout: r.or("timeout", DEFAULT_SERVICE_TIMEOUT, value::positive_duration),
        };
        r.finish();
        catalogue.services.insert(name.into(), service);
    }
    catalogue
}

fn section_reader<'a>(
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

fn parse_deployment(ini: &Ini, diagnostics: &mut Diagnostics) -> Deployment {
    let defaults = Deployment::default();
    let count = value::number(1u32..=1_000_000);
    let mut r = SectionReader::new(ini, "deployment", diagnostics);
    let deployment = Deployment {
        cold_start_weight: r.or(
            "cold_start_weight",
            defaults.cold_start_weight,
            value::number(0u8..=100),
        ),
        store_loads_per_second: r.or(
            "store_loads_per_second",
            defaults.store_loads_per_second,
            &count,
        ),
        store_concurrent_loads: r.or(
            "store_concurrent_loads",
            defaults.store_concurrent_loads,
            &count,
        ),
        store_concurrent_adapters: r.or(
            "store_concurrent_adapters",
            defaults.store_concurrent_adapters,
            &count,
        ),
        idle_second_cost_milli: r.or(
            "idle_second_cost",
            defaults.idle_second_cost_milli,
            value::amount_milli,
        ),
    };
    r.finish();
    deployment
}

fn parse_model(r: &mut SectionReader<'_>) -> Model {
    let count = value::number(1u32..=1_000_000);
    Model {
        version: r.required("version", value::name).unwrap_or_default(),
        memory_bytes: r.required("memory", value::size).unwrap_or(1),
        accelerators: r.or("accelerators", 1, &count),
        max_replicas: r.or("max_replicas", 1, &count),
        adapter_slots: r.or("adapter_slots", 0, value::number(0u32..=1_000_000)),
        max_batch: r.or("max_batch", 16, &count),
        load_time: parse_load_time(r),
        adapters: unique_list(r, "adapters", value::name),
    }
}

/// Parses the load times of a model. A missing time is replaced by the next faster one, which
/// breaks no rule.
fn parse_load_time(r: &mut SectionReader<'_>) -> LoadTime {
    let memory = r.required("load_from_memory", value::positive_duration).unwrap_or_default();
    let disk = r.required("load_from_disk", value::positive_duration).unwrap_or(memory);
    let remote = r.required("load_from_remote", value::positive_duration).unwrap_or(disk);
    LoadTime { memory, disk, remote }
}

/// Parses a call pattern of the form `METHOD /path/prefix`.
fn parse_call_pattern(text: &str) -> Result<CallPattern, ValueError> {
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
