//! Tests of the output formats of cost reports.

use crate::ledger::Ledger;
use crate::report::CostReport;
use crate::test_data::*;

fn report() -> CostReport {
    let mut ledger = Ledger::new();
    ledger.add_contract("0123456789abcdef", &contract("a,b", 10_000, &["m"])).unwrap();
    ledger.add_version(&version(1, 0, &[("a,b", "0123456789abcdef")])).unwrap();
    ledger.add_interval(&interval(1, "m", 1, 0, 90_000)).unwrap();
    ledger.add_interval(&interval(2, "x", 1, 0, 1_500)).unwrap();
    let counted = vec![
        work(0, "m", "a,b", "0123456789abcdef", 12),
        work(0, "gone", "a,b", "0123456789abcdef", 3),
    ];
    ledger.add_work("i", &object(7, run(60_000, counted))).unwrap();
    ledger.report(at(0), at(120_000), at(200_000))
}

/// Guards against missing or reordered columns, and against commas in names that add columns to a
/// row.
#[test]
fn csv_has_whole_amounts_and_quotes_names() {
    let expected = "client_account,model,contract_version,tokens,busy_ms,idle_ms,total_ms,flagged_ms\n\
                    ,x,,0,0,1500,1500,0\n\
                    \"a,b\",m,0123456789abcdef,12,60000,30000,90000,30000\n";
    assert_eq!(report().to_csv().unwrap(), expected);
}

/// Guards against a table without unattributed or flagged time.
#[test]
fn the_table_shows_sums_and_flags() {
    let expected = "\
client account  model  contract  tokens  busy s  idle s  total s  flagged s
(unattributed)  x      -              0   0.000   1.500    1.500      0.000
a,b             m      01234567      12  60.000  30.000   90.000     30.000

total: 91.500 accelerator-seconds
  (unattributed): 1.500 (1.64%)
  a,b: 90.000 (98.36%)
note: 3 tokens were counted while their model held no accelerator
flagged: instance i, incarnation 7, has not written up to 10.000 s of counted work from 1970-01-01T00:01:00.000Z on
";
    assert_eq!(report().to_string(), expected);
}

/// Guards against JSON without the sums that the table shows.
#[test]
fn json_holds_the_whole_report() {
    let json: serde_json::Value = serde_json::from_str(&report().to_json().unwrap()).unwrap();
    assert_eq!(json["total_ms"], 91_500);
    assert_eq!(json["lines"][0]["client_account"], serde_json::Value::Null);
    assert_eq!(json["gaps"][0]["instance"], "i");
}
