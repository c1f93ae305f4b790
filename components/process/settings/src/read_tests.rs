//! Tests of the settings file.

use std::time::Duration;

use crate::*;

const MINIMAL_FILE: &str =
    "[instance]\nname = a1\ndata_centre = north\n[platform]\naddresses = 127.0.0.1:7000\n";

/// Guards against defaults that differ from the documented ones.
#[test]
fn a_minimal_file_gets_the_documented_defaults() {
    let s = Settings::parse("a.ini", MINIMAL_FILE).unwrap();
    assert_eq!(&*s.instance.name, "a1");
    assert_eq!(&*s.instance.data_centre, "north");
    assert_eq!(s.callers, CallerSettings::default());
    assert_eq!(s.lease.renewal, Duration::from_secs(3));
    assert_eq!(s.lease.length, Duration::from_secs(9));
    assert_eq!(s.lease.margin, Duration::from_secs(1));
    assert_eq!(s.accounting.retention, Duration::from_secs(400 * 24 * 3600));
    assert_eq!(s.log, LogSettings { level: LogLevel::Info, format: LogFormat::Text });
}

/// Guards against a reader that stops at the first error or loses its position.
#[test]
fn all_errors_are_reported_at_once_with_their_lines() {
    let text = "[instance]\nname = a 1\n[callers]\nadress = 127.0.0.1:1\nmax_body = 4\n[plattform]\n\
                [log]\nlevel = loud\n[lease]\nrenewal = 5s\n";
    let e = Settings::parse("a.ini", text).unwrap_err();
    let expected = [
        "a.ini: [platform] addresses: at least one address of the object API is needed",
        "a.ini:1: [instance] data_centre: the key is missing",
        "a.ini:2: [instance] name: \"a 1\" is no name; use letters, digits, dots, hyphens and underscores",
        "a.ini:4: [callers] adress: unknown key; did you mean \"address\"?",
        "a.ini:5: [callers] max_body: \"4\" is no size; write a whole number with a unit, such as 512KiB or 24GiB",
        "a.ini:6: [plattform] unknown section; did you mean \"platform\"?",
        "a.ini:8: [log] level: \"loud\" is not one of error, warn, info, debug, trace",
        "a.ini:10: [lease] renewal: the renewal interval must be at most a third of the length, so that two renewals may fail",
    ];
    assert_eq!(e.to_string().lines().collect::<Vec<_>>(), expected);
}

/// Guards against an instance that fails only at start because two listeners share an address.
#[test]
fn colliding_listeners_are_refused() {
    let text = format!("{MINIMAL_FILE}[callers]\naddress = 0.0.0.0:9090\n");
    let e = Settings::parse("a.ini", &text).unwrap_err();
    assert_eq!(
        e.to_string(),
        "a.ini: [operators] address: 127.0.0.1:9090 collides with the address of [callers]"
    );
}

/// Guards against a key that is accepted but not used.
#[test]
fn every_key_can_be_set() {
    let text = format!(
        "{MINIMAL_FILE}reads_per_second = 7\nwrites_per_second = 3\nread_burst = 9\nwrite_burst = 8\ntimeout = 1500ms\n\
         [callers]\naddress = 127.0.0.1:1\nmax_header = 8KiB\nmax_body = 1MiB\nmax_connections = 5\n\
         header_timeout = 1s\nbody_timeout = 2s\nwrite_timeout = 3s\n\
         [operators]\naddress = 127.0.0.1:2\n[peers]\naddress = 127.0.0.1:3\nseeds = 127.0.0.1:4, 127.0.0.1:5\n\
         [log]\nlevel = debug\nformat = json\n[lease]\nrenewal = 1s\nlength = 4s\nmargin = 500ms\n\
         [accounting]\nretention = 90d\n"
    );
    let s = Settings::parse("a.ini", &text).unwrap();
    assert_eq!(s.platform.timeout, Duration::from_millis(1500));
    assert_eq!(s.callers.max_header_bytes, 8192);
    assert_eq!(s.peers.seeds.len(), 2);
    assert_eq!(s.log, LogSettings { level: LogLevel::Debug, format: LogFormat::Json });
    assert_eq!(s.lease.margin, Duration::from_millis(500));
    assert_eq!(s.accounting.retention, Duration::from_secs(90 * 24 * 3600));
}

/// Guards against a mistyped unit that deletes records which the cost report still shows.
#[test]
fn a_retention_shorter_than_the_report_is_refused() {
    let text = format!("{MINIMAL_FILE}[accounting]\nretention = 400m\n");
    let e = Settings::parse("a.ini", &text).unwrap_err();
    assert_eq!(
        e.to_string(),
        "a.ini:7: [accounting] retention: records must be retained for at least two days; write a duration such as 400d"
    );
}
