//! Typed access to one section.

use std::fmt;

use crate::diagnostics::{Diagnostics, suggestion};
use crate::ini::{Entry, Ini, Section};
use crate::value::ValueError;

/// Reads the keys of one section and reports every error, including unknown keys.
///
/// A getter that finds an error records it and returns nothing or the default, so that reading
/// continues and finds later errors too. Call [`SectionReader::finish`] last.
pub struct SectionReader<'a> {
    ini: &'a Ini,
    name: Box<str>,
    section: Option<&'a Section>,
    requested_keys: Vec<&'static str>,
    diagnostics: &'a mut Diagnostics,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of the section `name`; a missing section reads as empty.
    pub fn new(ini: &'a Ini, name: &str, diagnostics: &'a mut Diagnostics) -> Self {
        Self {
            ini,
            name: name.into(),
            section: ini.section(name),
            requested_keys: Vec::new(),
            diagnostics,
        }
    }

    /// Whether the file has the section.
    pub fn exists(&self) -> bool {
        self.section.is_some()
    }

    /// Value of a required key.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        match self.find_entry(key) {
            Some(entry) => self.parse_entry(entry, parse),
            None => {
                self.error(key, "the key is missing");
                None
            }
        }
    }

    /// Value of an optional key, or `None` if the key is missing or its value is invalid. An
    /// invalid value is also recorded as an error in the diagnostics; a missing key is no error.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        let entry = self.find_entry(key)?;
        self.parse_entry(entry, parse)
    }

    /// Value of a key, or `default` if the key is missing or its value is invalid. Errors are
    /// recorded as in [`SectionReader::optional`].
    pub fn or<T>(
        &mut self,
        key: &'static str,
        default: T,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> T {
        self.optional(key, parse).unwrap_or(default)
    }

    /// Elements of a comma-separated list. If the key is given several times, the lists are
    /// concatenated, so that long lists need no long lines.
    pub fn list<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Vec<T> {
        self.requested_keys.push(key);
        let section = self.section;
        let entries = section.into_iter().flat_map(|s| &s.entries).filter(|e| &*e.key == key);
        let mut list = Vec::new();
        for entry in entries {
            list.extend(self.parse_elements(entry, &parse));
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
            .map(|entry| (entry, self.parse_elements(entry, &parse)))
            .collect()
    }

    /// Records an error at a key, or at the section if the key is missing.
    pub fn error(&mut self, key: &str, message: impl fmt::Display) {
        let line = self.ini.line_of(&self.name, key);
        self.ini.report(&self.name, key, line, &message.to_string(), self.diagnostics);
    }

    /// Records an error at an entry.
    pub fn error_at(&mut self, entry: &Entry, message: impl fmt::Display) {
        self.ini.report(&self.name, &entry.key, entry.line, &message.to_string(), self.diagnostics);
    }

    /// Reports the keys that no getter requested, each with the most similar known key.
    pub fn finish(self) {
        for entry in self.section.into_iter().flat_map(|s| &s.entries) {
            if !self.requested_keys.contains(&&*entry.key) {
                let message = format!(
                    "unknown key{}",
                    suggestion(&entry.key, self.requested_keys.iter().copied())
                );
                self.ini.report(&self.name, &entry.key, entry.line, &message, self.diagnostics);
            }
        }
    }

    fn find_entry(&mut self, key: &'static str) -> Option<&'a Entry> {
        self.requested_keys.push(key);
        let mut entries = self.section?.entries.iter().filter(|e| &*e.key == key);
        let first = entries.next()?;
        for duplicate in entries {
            let message =
                format!("the key is given twice; it is first given on line {}", first.line);
            self.ini.report(&self.name, key, duplicate.line, &message, self.diagnostics);
        }
        Some(first)
    }

    fn parse_entry<T>(
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

    fn parse_elements<T>(
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
            list.extend(self.parse_entry(&single, parse));
        }
        list
    }
}
