//! Collected errors of one or several files.

use std::fmt;

use serde::Serialize;

/// Suggestions below this Jaro-Winkler similarity are more confusing than helpful.
const MIN_SIMILARITY: f64 = 0.75;

/// One error and its position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Diagnostic {
    /// The file as the caller named it.
    pub file: Box<str>,
    /// Line from 1; zero if the error has no line, such as a missing file.
    pub line: u32,
    /// Section without brackets; empty if the error is in no section.
    pub section: Box<str>,
    /// Key; empty if the error concerns a whole section or file.
    pub key: Box<str>,
    /// What is wrong and, where known, what is expected.
    pub message: Box<str>,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        f.write_str(": ")?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

/// All errors found in one run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Diagnostics {
    list: Vec<Diagnostic>,
}

impl Diagnostics {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an error.
    pub fn push(&mut self, diagnostic: Diagnostic) {
        self.list.push(diagnostic);
    }

    /// Records an error that concerns a whole file.
    pub fn push_file_error(&mut self, file: &str, message: impl fmt::Display) {
        self.push(Diagnostic {
            file: file.into(),
            line: 0,
            section: "".into(),
            key: "".into(),
            message: message.to_string().into(),
        });
    }

    /// Appends the errors of another run.
    pub fn extend(&mut self, other: Self) {
        self.list.extend(other.list);
    }

    /// Whether no error was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Number of errors.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// The errors without duplicates, sorted by file and line.
    pub fn sorted(&self) -> Vec<&Diagnostic> {
        let mut sorted: Vec<_> = self.list.iter().collect();
        sorted.sort();
        sorted.dedup();
        sorted
    }

    /// Returns `value` if no error was found, otherwise all errors.
    pub fn into_result<T>(self, value: Option<T>) -> Result<T, Self> {
        match value {
            Some(value) if self.is_empty() => Ok(value),
            _ => Err(self),
        }
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, diagnostic) in self.sorted().into_iter().enumerate() {
            if n > 0 {
                f.write_str("\n")?;
            }
            diagnostic.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}

/// The candidate most similar to `name`, if `name` is a likely misspelling of it.
pub fn nearest<'a>(name: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}

/// Returns `; did you mean "NAME"?` for the nearest candidate, or an empty string.
pub fn suggestion<'a>(name: &str, candidates: impl IntoIterator<Item = &'a str>) -> String {
    nearest(name, candidates).map(|n| format!("; did you mean \"{n}\"?")).unwrap_or_default()
}
