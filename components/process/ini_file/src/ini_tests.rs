//! Tests of the parser for sections and keys.

use proptest::prelude::*;

use crate::{Diagnostics, Ini};

fn parse(text: &str) -> (Ini, Vec<String>) {
    let mut diagnostics = Diagnostics::new();
    let ini = Ini::parse("f.ini", text, &mut diagnostics);
    let messages = diagnostics.sorted().iter().map(|d| d.to_string()).collect();
    (ini, messages)
}

/// Guards against line numbers that shift after comments, blank lines, CRLF or a byte order mark.
#[test]
fn sections_and_keys_carry_their_lines() {
    let (ini, messages) =
        parse("\u{feff}; note\r\n\r\n[a]\r\nx = 1\r\n# note\r\n  y=2\r\n[model  m]\r\nz =\r\n");
    assert_eq!(messages, Vec::<String>::new());
    let lines = |s: &str, k: &str| ini.line_of(s, k);
    assert_eq!(
        (lines("a", "x"), lines("a", "y"), lines("model m", "z"), lines("b", "q")),
        (4, 6, 8, 0)
    );
    assert_eq!(ini.sections_of_kind("model").map(|(n, _)| n).collect::<Vec<_>>(), ["m"]);
}

/// Guards against keys that end up in the section before, because their own header is malformed.
#[test]
fn broken_lines_are_reported_and_their_keys_skipped() {
    let (ini, messages) = parse("k = 0\n[a]\nx = 1\nnonsense\n[b\ny = 2\n[a]\nz = 3\n [c]\n");
    assert_eq!(ini.sections.len(), 1);
    assert_eq!(ini.sections[0].entries.len(), 1);
    assert_eq!(
        messages,
        [
            "f.ini:1: k: the key stands before the first section",
            "f.ini:4: \"nonsense\" is no section, key or comment; write KEY = VALUE",
            "f.ini:5: \"[b\" is no section header; write [NAME]",
            "f.ini:7: [a] the section is given twice; it begins on line 2",
            "f.ini:9: \"[c]\" is no section, key or comment; write KEY = VALUE",
        ]
    );
}

proptest! {
    /// Guards against a panic on a hostile or damaged file, and against line numbers out of range.
    #[test]
    fn any_text_is_parsed_without_a_panic(text in "[\\[\\]a-c=;# \r\n\u{e9}]{0,80}") {
        let (ini, _) = parse(&text);
        let lines = u32::try_from(text.split(['\n', '\r']).count()).unwrap();
        for section in &ini.sections {
            prop_assert!(section.line >= 1 && section.line <= lines);
            prop_assert!(section.entries.iter().all(|e| e.line > section.line && e.line <= lines));
        }
    }
}
