//! One client account's contract file.

use std::collections::{BTreeMap, BTreeSet};

use ini_file::{Diagnostics, Ini, SectionReader, ValueError, value};
use types::prelude::*;

/// Class of requests that name none, unless the contract says otherwise.
pub const DEFAULT_CLASS: &str = "interactive";

const SECTIONS: &[&str] = &["client_account", "limits", "adapters"];
const KINDS: &[&str] = &["class"];

/// What a contract file holds.
pub struct ParsedContract {
    /// The contract. Where a value is missing or wrong, which the diagnostics say, it holds a
    /// harmless one, so that the rules between files can still be checked.
    pub contract: Contract,
    /// Whether both shares could be read, so that sums over all contracts mean something.
    pub has_shares: bool,
}

/// Reads a contract file.
///
/// Faults of single values are reported here; faults against other values, other contracts or the
/// catalogue are found by [`validate`](crate::validate).
pub fn parse_contract(
    client_account: &str,
    ini: &Ini,
    diagnostics: &mut Diagnostics,
) -> ParsedContract {
    ini.check_sections(SECTIONS, KINDS, diagnostics);
    if value::name(client_account).is_err() {
        let message = format!(
            "the file name \"{client_account}\" is no name of a client account; use letters, digits, dots, hyphens and underscores"
        );
        diagnostics.push_file_error(&ini.file, message);
    }
    let mut r = SectionReader::new(ini, "client_account", diagnostics);
    let key_hashes = unique(&mut r, "keys", key_hash);
    let models = unique(&mut r, "models", value::name);
    let services = unique(&mut r, "services", value::name);
    let capacity_share = r.required("capacity_share", value::percentage);
    let cost_share = r.required("cost_share", value::percentage);
    let default_class = r.or("default_class", DEFAULT_CLASS.into(), value::name);
    r.finish();
    let contract = Contract {
        client_account: client_account.into(),
        key_hashes,
        models,
        adapters: adapters(ini, diagnostics),
        classes: classes(ini, diagnostics),
        default_class,
        capacity_share: capacity_share.unwrap_or(1),
        cost_share: cost_share.unwrap_or(1),
        limits: limits(ini, diagnostics),
        services,
    };
    ParsedContract { contract, has_shares: capacity_share.is_some() && cost_share.is_some() }
}

fn limits(ini: &Ini, diagnostics: &mut Diagnostics) -> Limits {
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

/// `[adapters]` has one key per model, whose value lists the adapters of that model.
fn adapters(ini: &Ini, diagnostics: &mut Diagnostics) -> BTreeMap<ModelId, BTreeSet<AdapterId>> {
    let mut adapters = BTreeMap::<_, BTreeSet<_>>::new();
    let mut r = SectionReader::new(ini, "adapters", diagnostics);
    for (entry, names) in r.all_lists(value::name) {
        let set = adapters.entry(entry.key.clone()).or_default();
        for name in names {
            let again = format!("the adapter \"{name}\" is given twice");
            if !set.insert(name) {
                r.error_at(entry, again);
            }
        }
    }
    adapters
}

fn classes(ini: &Ini, diagnostics: &mut Diagnostics) -> BTreeMap<ClassId, UrgencyClass> {
    let mut classes = BTreeMap::new();
    for (name, section) in ini.sections_of_kind("class") {
        let mut r = SectionReader::new(ini, &section.name, diagnostics);
        if let Err(e) = value::name(name) {
            r.error("", e);
        }
        classes.insert(name.into(), class(&mut r));
        r.finish();
    }
    classes
}

fn class(r: &mut SectionReader<'_>) -> UrgencyClass {
    let first_token = r.required("first_token", value::positive_duration);
    let completion = r.required("completion", value::positive_duration);
    // Values that stand in for missing ones must break no rule themselves.
    let first_token = first_token.or(completion).unwrap_or(Duration::from_secs(1));
    UrgencyClass {
        first_token,
        completion: completion.unwrap_or(first_token),
        objective: r.required("objective", value::percentage).unwrap_or(HUNDRED_PERCENT / 2),
        priority: r.required("priority", value::number(0u8..=255)).unwrap_or(0),
        worth_milli: r.required("worth", value::amount_milli).unwrap_or(0),
    }
}

/// A SHA-256 hash as 64 lower-case hex digits.
fn key_hash(text: &str) -> Result<Box<str>, ValueError> {
    let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if text.len() == 64 && text.bytes().all(hex) {
        return Ok(text.into());
    }
    // The value may be a key that was pasted in place of its hash, so it is not shown.
    Err(ValueError::Other("an element is no SHA-256 hash; write 64 lower-case hex digits".into()))
}

/// A list whose elements may occur only once.
pub(crate) fn unique(
    r: &mut SectionReader<'_>,
    key: &'static str,
    parse: impl Fn(&str) -> Result<Box<str>, ValueError>,
) -> BTreeSet<Box<str>> {
    let mut set = BTreeSet::new();
    for element in r.list(key, parse) {
        let again = format!("\"{element}\" is given twice");
        if !set.insert(element) {
            r.error(key, again);
        }
    }
    set
}
