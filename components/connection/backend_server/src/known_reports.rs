//! Last whole report of each engine, to which reports of load figures refer.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::HeaderValue;
use types::prelude::*;

/// Engines of which reports are kept. An instance reads some tens; more than these are read as a
/// whole each time.
const MAX_ENGINES: usize = 1_024;

/// A whole report and its revision.
pub(crate) type Known = (HeaderValue, Arc<ServerReport>);

/// Last whole report by address.
#[derive(Clone, Default)]
pub(crate) struct KnownReports {
    reports: Arc<Mutex<HashMap<Box<str>, Known>>>,
}

impl KnownReports {
    fn reports(&self) -> MutexGuard<'_, HashMap<Box<str>, Known>> {
        // Every change of the map is a single call, so that it is whole after a panic.
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn get(&self, address: &str) -> Option<Known> {
        self.reports().get(address).cloned()
    }

    pub(crate) fn set(&self, address: &str, revision: HeaderValue, report: &ServerReport) {
        let mut reports = self.reports();
        if reports.len() < MAX_ENGINES || reports.contains_key(address) {
            reports.insert(address.into(), (revision, Arc::new(report.clone())));
        }
    }

    pub(crate) fn forget(&self, address: &str) {
        self.reports().remove(address);
    }
}
