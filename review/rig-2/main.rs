//! Cases of the second review: starts instances, a store, replicas and clients on loopback.
//!
//! `rig CASE RECORD DIR` writes the record to RECORD and temporary files to DIR. It exits with 1 if
//! the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` it leaves the
//! disruption out.

mod http;
mod instance;
mod json;
mod names;
mod prefixes;
mod record;
mod replica;
mod site;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// What a case gets.
pub struct Case {
    pub dir: PathBuf,
    pub record: Record,
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, record, dir] = &args[..] else {
        eprintln!("usage: rig CASE RECORD DIR");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = Case { dir: dir.into(), record: Record::create(Path::new(record)), has_trouble };
    case.record.line(&format!("case {name}, trouble {has_trouble}"));
    let verdict = match name.as_str() {
        "prefixes" => prefixes::run(&case),
        "names" => names::run(&case),
        _ => Verdict::CouldNotRun(format!("no case {name}")),
    };
    match verdict {
        Verdict::Held => {
            case.record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            case.record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(why) => {
            case.record.say(&format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
