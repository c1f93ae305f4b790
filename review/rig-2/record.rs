//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    shared: Arc<(Mutex<File>, Instant)>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { shared: Arc::new((Mutex::new(file), Instant::now())) }
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        let at = self.shared.1.elapsed().as_secs_f64();
        let mut file = self.shared.0.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes a line that is printed as well.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
