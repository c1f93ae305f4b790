//! Tests of the settings file.

use super::*;

const GOOD: &str = "[instance]\nname = e-1\ndata_centre = a\n[callers]\naddress = 10.1.0.1:80\n\
    [readiness]\naddress = 10.1.0.1:81\n[metrics]\naddress = 10.1.0.1:82\n\
    [peers]\naddress = 10.1.0.1:83\n[store]\naddress = 10.2.0.1:84\nwrites_per_second = 1200.0\n\
    [orders]\nturn_gap_ms = 3000\n[repeats]\nratio = 0.2\nextra = 56\nwindow_s = 10\n";

/// Guards against figures of the platform that a template renders and the reader refuses.
#[test]
fn rendered_figures_are_read() {
    let s = EntrySettings::parse("f", GOOD).unwrap();
    assert_eq!(s.turn_gap, Duration::from_secs(3));
    assert_eq!(s.store_writes_per_second, 1_200);
    assert!((s.repeats.base_retries - 56.0).abs() < f64::EPSILON);
}

/// Guards against a start with unusable settings, and against an error that names no field.
#[test]
fn a_missing_address_is_named() {
    let text = GOOD.replace("[store]\naddress = 10.2.0.1:84\n", "[store]\naddress = nowhere\n");
    let error = EntrySettings::parse("f.ini", &text).unwrap_err().to_string();
    assert!(error.contains("store") && error.contains("address"), "{error}");
}
