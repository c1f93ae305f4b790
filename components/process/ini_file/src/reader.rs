//! Typed access to one section.

use std::fmt;

use crate::diagnostics::{Diagnostics, suggestion};
use crate::ini::{Entry, Ini, Section};
use crate::value::ValueError;

/// Reads the keys of one section and reports every mistake, unknown keys included.
///
/// A getter that meets a mistake records it and returns nothing or the default, so that reading
/// continues and later mistakes are found too. Call [`SectionReader::finish`] last.
pub struct SectionReader<'a> {
    ini: &'a Ini,
    name: Box<str>,
    section: Option<&'a Section>,
    known: Vec<&'static str>,
    diagnostics: &'a mut Diagnostics,
}

impl<'a> SectionReader<'a> {
    /// A reader of the section `name`; a missing section reads as empty.
    pub fn new(ini: &'a Ini, name: &str, diagnostics: &'a mut Diagnostics) -> Self {
        Self { ini, name: name.into(), section: ini.section(name), known: Vec::new(), diagnostics }
    }

    /// Whether the file has the section.
    pub fn exists(&self) -> bool {
        self.section.is_some()
    }

    /// Value of a key that must be given.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        match self.single(key) {
            Some(entry) => self.value(entry, parse),
            None => {
                self.error(key, "the key is missing");
                None
            }
        }
    }

    /// Value of a key that may be left out.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        let entry = self.single(key)?;
        self.value(entry, parse)
    }

    /// Value of a key, or `default` if it is left out or wrong.
    pub fn or<T>(
        &mut self,
        key: &'static str,
        default: T,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> T {
        self.optional(key, parse).unwrap_or(default)
    }

    /// Elements of a list, separated by commas. The key may be given several times; the lists are
    /// joined, so that long lists need no long lines.
    pub fn list<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Vec<T> {
        self.known.push(key);
        let section = self.section;
        let entries = section.into_iter().flat_map(|s| &s.entries).filter(|e| &*e.key == key);
        let mut list = Vec::new();
        for entry in entries {
            list.extend(self.elements(entry, &parse));
        }
        list
    }

    /// All keys of the section with the elements of their lists, for sections whose keys are names.
    pub fn all_lists<T>(
        &mut self,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Vec<(&'a Entry, Vec<T>)> {
        let section = self.section;
        section
            .into_iter()
            .flat_map(|s| &s.entries)
            .map(|entry| (entry, self.elements(entry, &parse)))
            .collect()
    }

    /// Records a mistake at a key, or at the section if the key is not given.
    pub fn error(&mut self, key: &str, message: impl fmt::Display) {
        let line = self.ini.line_of(&self.name, key);
        self.ini.report(&self.name, key, line, &message.to_string(), self.diagnostics);
    }

    /// Records a mistake at an entry.
    pub fn error_at(&mut self, entry: &Entry, message: impl fmt::Display) {
        self.ini.report(&self.name, &entry.key, entry.line, &message.to_string(), self.diagnostics);
    }

    /// Reports the keys that no getter asked for, each with the nearest known key.
    pub fn finish(self) {
        for entry in self.section.into_iter().flat_map(|s| &s.entries) {
            if !self.known.contains(&&*entry.key) {
                let message =
                    format!("unknown key{}", suggestion(&entry.key, self.known.iter().copied()));
                self.ini.report(&self.name, &entry.key, entry.line, &message, self.diagnostics);
            }
        }
    }

    fn single(&mut self, key: &'static str) -> Option<&'a Entry> {
        self.known.push(key);
        let mut entries = self.section?.entries.iter().filter(|e| &*e.key == key);
        let first = entries.next()?;
        for again in entries {
            let message =
                format!("the key is given twice; it is first given on line {}", first.line);
            self.ini.report(&self.name, key, again.line, &message, self.diagnostics);
        }
        Some(first)
    }

    fn value<T>(
        &mut self,
        entry: &Entry,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        match parse(&entry.value) {
            Ok(value) => Some(value),
            Err(e) => {
                self.ini.report(
                    &self.name,
                    &entry.key,
                    entry.line,
                    &e.to_string(),
                    self.diagnostics,
                );
                None
            }
        }
    }

    fn elements<T>(
        &mut self,
        entry: &Entry,
        parse: &impl Fn(&str) -> Result<T, ValueError>,
    ) -> Vec<T> {
        let mut list = Vec::new();
        if entry.value.is_empty() {
            return list;
        }
        for element in entry.value.split(',').map(str::trim) {
            let single = Entry { value: element.into(), ..entry.clone() };
            list.extend(self.value(&single, parse));
        }
        list
    }
}
