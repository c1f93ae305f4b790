//! The contract file of one client account.

use std::collections::{BTreeMap, BTreeSet};

use ini_file::{Diagnostics, Ini, SectionReader, ValueError, value};
use types::prelude::*;

/// Default of a contract's `default_class`, the class of requests that name none.
pub const DEFAULT_CLASS: &str = "interactive";

const SECTION_NAMES: &[&str] = &["client_account", "limits", "adapters"];
const SECTION_KINDS: &[&str] = &["class"];

/// The content of a contract file.
pub struct ParsedContract {
    /// The contract. A missing or invalid value, which the diagnostics report, is replaced by a
    /// valid one, so that the rules between files can still be checked.
    pub contract: Contract,
    /// Both shares could be read. Otherwise, the sums over all contracts are meaningless.
    pub has_shares: bool,
}

/// Parses a contract file.
///
/// Reports mistakes in single values. [`validate`](crate::validate) finds contradictions to other
/// values, other contracts and the catalogue.
pub fn parse_contract(
    client_account: &str,
    ini: &Ini,
    diagnostics: &mut Diagnostics,
) -> ParsedContract {
    ini.check_sections(SECTION_NAMES, SECTION_KINDS, diagnostics);
    if value::name(client_account).is_err() {
        let message = format!(
            "the file name \"{client_account}\" is not a valid name of a client account; use letters, digits, dots, hyphens and underscores"
        );
        diagnostics.push_file_error(&ini.file, message);
    }
    let mut r = SectionReader::new(ini, "client_account", diagnostics);
    let key_hashes = unique_list(&mut r, "keys", parse_key_hash);
    let models = unique_list(&mut r, "models", value::name);
    let services = unique_list(&mut r, "services", value::name);
    let capacity_share = r.required("capacity_share", value::percentage);
    let cost_share = r.required("cost_share", value::percentage);
    let default_class = r.or("default_class", DEFAULT_CLASS.into(), value::name);
    r.finish();
    let contract = Contract {
        client_account: client_account.into(),
        key_hashes,
        models,
        adapters: parse_adapters(ini, diagnostics),
        classes: parse_classes(ini, diagnostics),
        default_class,
        capacity_share: capacity_share.unwrap_or(1),
        cost_share: cost_share.unwrap_or(1),
        limits: parse_limits(ini, diagnostics),
        services,
    };
    ParsedContract { contract, has_shares: capacity_share.is_some() && cost_share.is_some() }
}

fn parse_limits(ini: &Ini, diagnostics: &mut Diagnostics) -> Limits {
    let count = value::number(1u32..=1_000_000);
    let mut r = SectionReader::new(ini, "limits", diagnostics);
    let limits = Limits {
        requests_per_second: r.required("requests_per_second", &count).unwrap_or(1),
        concurrent_requests: r.required("concurrent_requests", &count).unwrap_or(1),
        queued_requests: r.required("queued_requests", &count).unwrap_or(1),
    };
    r.finish();
    limits
}

/// Parses `[adapters]`, which has one key per model, whose value lists the adapters of that model.
fn parse_adapters(
    ini: &Ini,
    diagnostics: &mut Diagnostics,
) -> BTreeMap<ModelId, BTreeSet<AdapterId>> {
    let mut adapters = BTreeMap::<_, BTreeSet<_>>::new();
    let mut r = SectionReader::new(ini, "adapters", diagnostics);
    for (entry, names) in r.all_lists(value::name) {
        let set = adapters.entry(entry.key.clone()).or_default();
        for name in names {
            let message = format!("the adapter \"{name}\" is given twice");
            if !set.insert(name) {
                r.error_at(entry, message);
            }
        }
    }
    adapters
}

fn parse_classes(ini: &Ini, diagnostics: &mut Diagnostics) -> BTreeMap<ClassId, UrgencyClass> {
    let mut classes = BTreeMap::new();
    for (name, section) in ini.sections_of_kind("class") {
        let mut r = SectionReader::new(ini, &section.name, diagnostics);
        if let Err(e) = value::name(name) {
            r.error("", e);
        }
        classes.insert(name.into(), parse_class(&mut r));
        r.finish();
    }
    classes
}

fn parse_class(r: &mut SectionReader<'_>) -> UrgencyClass {
    let first_token = r.required("first_token", value::positive_duration);
    let completion = r.required("completion", value::positive_duration);
    // The values that replace missing ones must not break rules, which would be reported as well.
    let first_token = first_token.or(completion).unwrap_or(Duration::from_secs(1));
    UrgencyClass {
        first_token,
        completion: completion.unwrap_or(first_token),
        objective: r.required("objective", value::percentage).unwrap_or(HUNDRED_PERCENT / 2),
        priority: r.required("priority", value::number(0u8..=255)).unwrap_or(0),
        worth_milli: r.required("worth", value::amount_milli).unwrap_or(0),
    }
}

/// Parses a SHA-256 hash of 64 lower-case hex digits.
fn parse_key_hash(text: &str) -> Result<Box<str>, ValueError> {
    let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if text.len() == 64 && text.bytes().all(is_hex) {
        return Ok(text.into());
    }
    // The value may be a key that was pasted in place of its hash, so the message omits it.
    Err(ValueError::Other("an element is no SHA-256 hash; write 64 lower-case hex digits".into()))
}

/// Reads a list and reports elements that occur more than once.
pub(crate) fn unique_list(
    r: &mut SectionReader<'_>,
    key: &'static str,
    parse: impl Fn(&str) -> Result<Box<str>, ValueError>,
) -> BTreeSet<Box<str>> {
    let mut set = BTreeSet::new();
    for element in r.list(key, parse) {
        let message = format!("\"{element}\" is given twice");
        if !set.insert(element) {
            r.error(key, message);
        }
    }
    set
}
