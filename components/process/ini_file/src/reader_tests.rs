//! Tests of typed access to one section.

use crate::{Diagnostics, Ini, SectionReader, value};

fn read<T>(text: &str, f: impl FnOnce(&mut SectionReader<'_>) -> T) -> (T, Vec<String>) {
    let mut diagnostics = Diagnostics::new();
    let ini = Ini::parse("f.ini", text, &mut diagnostics);
    let mut reader = SectionReader::new(&ini, "a", &mut diagnostics);
    let result = f(&mut reader);
    reader.finish();
    (result, diagnostics.sorted().iter().map(|d| d.to_string()).collect())
}

/// Guards against an invalid value that hides later errors, and against an unnoticed unknown key.
#[test]
fn each_error_is_reported_and_reading_continues() {
    let text = "[a]\ncount = x\ncount = 2\nlimitt = 3\n";
    let (read, messages) = read(text, |r| {
        (
            r.or("count", 9u32, value::number(1..=5)),
            r.optional("limit", value::size),
            r.required("name", value::name),
        )
    });
    assert_eq!(read, (9, None, None));
    assert_eq!(
        messages,
        [
            "f.ini:1: [a] name: the key is missing",
            "f.ini:2: [a] count: \"x\" is no whole number from 1 to 5",
            "f.ini:3: [a] count: the key is given twice; it is first given on line 2",
            "f.ini:4: [a] limitt: unknown key; did you mean \"limit\"?",
        ]
    );
}

/// Guards against a long list that ends at its first line or at an invalid element.
#[test]
fn lists_join_repeated_keys_and_skip_invalid_elements() {
    let (list, messages) = read("[a]\nx = p, q\nx =\nx = r, ,s!\n", |r| r.list("x", value::name));
    assert_eq!(list, ["p".into(), "q".into(), Box::<str>::from("r")]);
    assert_eq!(messages.len(), 2);
    assert_eq!(
        messages[0],
        "f.ini:4: [a] x: \"s!\" is no name; use letters, digits, dots, hyphens and underscores"
    );
    assert_eq!(messages[1], "f.ini:4: [a] x: the value is empty");
}

/// Guards against errors reported for a section that is missing.
#[test]
fn a_missing_section_reads_as_empty() {
    let (read, messages) = read("[b]\n", |r| {
        (r.exists(), r.optional("x", value::boolean), r.all_lists(value::name).len())
    });
    assert_eq!(read, (false, None, 0));
    assert_eq!(messages, Vec::<String>::new());
}
