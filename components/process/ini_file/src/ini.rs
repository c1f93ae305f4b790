//! Parses an INI file into sections and keys with their line numbers.

use std::path::Path;

use ini_core::{Item, Parser};

use crate::diagnostics::{Diagnostic, Diagnostics, suggestion};

/// Larger files are refused. The 54,000 adapters of the target scale fit many times over.
pub const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the key.
    pub key: Box<str>,
    /// Value without surrounding white space.
    pub value: Box<str>,
    /// Line number, from 1.
    pub line: u32,
}

/// One section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Name without brackets.
    pub name: Box<str>,
    /// Line number, from 1.
    pub line: u32,
    /// Entries in file order.
    pub entries: Vec<Entry>,
}

/// A parsed file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ini {
    /// File name as the caller gave it.
    pub file: Box<str>,
    /// Sections in file order. Names are unique.
    pub sections: Vec<Section>,
}

impl Ini {
    /// Reads and parses a file; `None` if it cannot be read.
    pub fn read(path: &Path, diagnostics: &mut Diagnostics) -> Option<Self> {
        let file = path.display().to_string();
        match read_limited(path) {
            Ok(text) => Some(Self::parse(&file, &text, diagnostics)),
            Err(e) => {
                diagnostics.push_file_error(&file, format_args!("cannot be read: {e}"));
                None
            }
        }
    }

    /// Parses `text`. Reports and skips lines that are not a section, key or comment.
    ///
    /// A comment takes a whole line that begins with `;` or `#`.
    pub fn parse(file: &str, text: &str, diagnostics: &mut Diagnostics) -> Self {
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let mut ini = Self { file: file.into(), sections: Vec::new() };
        // The keys of a skipped section are skipped too, so that they do not end up in the section
        // before it.
        let mut current = None;
        let mut skipping = false;
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() + 1;
            let Some(item) = parser.next() else { break };
            match item {
                Item::Section(name) => {
                    current = ini.open_section(name, line, diagnostics);
                    skipping = current.is_none();
                }
                Item::Error(text) => {
                    ini.report_without_section(
                        line,
                        "",
                        &format!("\"{text}\" is no section header; write [NAME]"),
                        diagnostics,
                    );
                    (current, skipping) = (None, true);
                }
                Item::Property(key, _) if key.starts_with(['#', ';']) => {}
                Item::Property(key, Some(value)) if !key.starts_with('[') => match current {
                    Some(n) => {
                        let section: &mut Section = &mut ini.sections[n];
                        section.entries.push(Entry { key: key.into(), value: value.into(), line });
                    }
                    None if skipping => {}
                    None => ini.report_without_section(
                        line,
                        key,
                        "the key stands before the first section",
                        diagnostics,
                    ),
                },
                Item::Property(text, _) => {
                    let message =
                        format!("\"{text}\" is no section, key or comment; write KEY = VALUE");
                    ini.report_without_section(line, "", &message, diagnostics);
                }
                Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
            }
        }
        ini
    }

    fn open_section(
        &mut self,
        name: &str,
        line: u32,
        diagnostics: &mut Diagnostics,
    ) -> Option<usize> {
        let name = name.split_whitespace().collect::<Vec<_>>().join(" ");
        if let Some(first) = self.section(&name) {
            let message = format!("the section is given twice; it begins on line {}", first.line);
            self.report(&name, "", line, &message, diagnostics);
            return None;
        }
        self.sections.push(Section { name: name.into(), line, entries: Vec::new() });
        Some(self.sections.len() - 1)
    }

    fn report_without_section(
        &self,
        line: u32,
        key: &str,
        message: &str,
        diagnostics: &mut Diagnostics,
    ) {
        self.report("", key, line, message, diagnostics);
    }

    /// The section of that name.
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|s| &*s.name == name)
    }

    /// Sections named `KIND NAME`, each with its `NAME`.
    pub fn sections_of_kind<'a>(
        &'a self,
        kind: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Section)> {
        self.sections.iter().filter_map(move |s| {
            let name = s.name.strip_prefix(kind)?.strip_prefix(' ')?;
            Some((name, s))
        })
    }

    /// Line of a key; if there is no such key, line of its section; if there is none, zero.
    pub fn line_of(&self, section: &str, key: &str) -> u32 {
        let Some(section) = self.section(section) else { return 0 };
        section.entries.iter().find(|e| &*e.key == key).map_or(section.line, |e| e.line)
    }

    /// Records an error at the given line.
    pub fn report(
        &self,
        section: &str,
        key: &str,
        line: u32,
        message: &str,
        diagnostics: &mut Diagnostics,
    ) {
        diagnostics.push(Diagnostic {
            file: self.file.clone(),
            line,
            section: section.into(),
            key: key.into(),
            message: message.into(),
        });
    }

    /// Reports sections that are neither in `names` nor named `KIND NAME` with a kind in `kinds`.
    pub fn check_sections(&self, names: &[&str], kinds: &[&str], diagnostics: &mut Diagnostics) {
        for section in &self.sections {
            let (kind, rest) = section.name.split_once(' ').unwrap_or((&section.name, ""));
            if names.contains(&&*section.name) || (kinds.contains(&kind) && !rest.is_empty()) {
                continue;
            }
            let message = if kinds.contains(&kind) {
                format!("the section needs a name; write [{kind} NAME]")
            } else {
                let candidates = names.iter().chain(kinds).copied();
                format!("unknown section{}", suggestion(kind, candidates))
            };
            self.report(&section.name, "", section.line, &message, diagnostics);
        }
    }
}

fn read_limited(path: &Path) -> std::io::Result<String> {
    let size = std::fs::metadata(path)?.len();
    if size > MAX_FILE_BYTES {
        return Err(std::io::Error::other(format!(
            "{size} bytes exceed the limit of {MAX_FILE_BYTES}"
        )));
    }
    std::fs::read_to_string(path)
}

/// Sorted names of the INI files in a directory, without hidden files.
pub fn list_files(dir: &Path) -> std::io::Result<Vec<Box<str>>> {
    let mut names = Vec::new();
    for entry in std::fs::read_dir(dir)? {
        let name = entry?.file_name().to_string_lossy().into_owned();
        if name.ends_with(".ini") && !name.starts_with('.') {
            names.push(name.into());
        }
    }
    names.sort();
    Ok(names)
}
