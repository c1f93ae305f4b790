//! Cache of the last full report of each engine, to which load updates are applied.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::HeaderValue;
use types::prelude::*;

/// Maximum number of cached reports. An instance polls a few dozen engines; engines beyond this
/// limit send a full report each time.
const MAX_CACHED_REPORTS: usize = 1_024;

/// A full report and its revision (the `ETag` of the response).
pub(crate) type CachedReport = (HeaderValue, Arc<ServerReport>);

/// Last full report of each engine by address; clones share the cache.
#[derive(Clone, Default)]
pub(crate) struct ReportCache {
    reports: Arc<Mutex<HashMap<Box<str>, CachedReport>>>,
}

impl ReportCache {
    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, CachedReport>> {
        // Each change of the map is a single call, so a panic cannot leave it inconsistent.
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn get(&self, address: &str) -> Option<CachedReport> {
        self.lock().get(address).cloned()
    }

    pub(crate) fn set(&self, address: &str, revision: HeaderValue, report: &ServerReport) {
        let mut reports = self.lock();
        if reports.len() < MAX_CACHED_REPORTS || reports.contains_key(address) {
            reports.insert(address.into(), (revision, Arc::new(report.clone())));
        }
    }

    pub(crate) fn remove(&self, address: &str) {
        self.lock().remove(address);
    }
}
