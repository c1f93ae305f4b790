//! Tests of reading the settings file.

use super::*;

const VALID: &str = "[instance]\nname = e-1\ndata_centre = a\n[callers]\naddress = 10.1.0.1:80\n\
    [readiness]\naddress = 10.1.0.1:81\n[metrics]\naddress = 10.1.0.1:82\n\
    [peers]\naddress = 10.1.0.1:83\n[store]\naddress = 10.2.0.1:84\nwrites_per_second = 1200.0\n\
    [orders]\nturn_gap_ms = 3000\n[repeats]\nratio = 0.2\nextra = 56\nwindow_s = 10\n";

/// Guards against a parser that rejects decimal numbers such as `1200.0`, which the platform's
/// templates render.
#[test]
fn decimal_numbers_from_templates_are_accepted() {
    let settings = EntrySettings::parse("f", VALID).unwrap();
    assert_eq!(settings.turn_gap, Duration::from_secs(3));
    assert_eq!(settings.store_writes_per_second, 1_200);
    assert!((settings.retry_limits.base_retries - 56.0).abs() < f64::EPSILON);
}

/// Guards against a start with unusable settings, and against an error that names neither section
/// nor key.
#[test]
fn an_invalid_address_is_named_in_the_error() {
    let text = VALID.replace("[store]\naddress = 10.2.0.1:84\n", "[store]\naddress = nowhere\n");
    let error = EntrySettings::parse("f.ini", &text).unwrap_err().to_string();
    assert!(error.contains("store") && error.contains("address"), "{error}");
}

/// Guards against an instance that starts without memory for bodies and refuses each of them.
#[test]
fn an_instance_without_memory_does_not_start() {
    for memory in ["0", "0.5", "-1"] {
        let text = VALID.replace("[callers]", &format!("memory_mb = {memory}\n[callers]"));
        let error = EntrySettings::parse("f.ini", &text).unwrap_err().to_string();
        assert!(error.contains("memory_mb"), "{error}");
    }
}
