//! Tells a data centre that is cut off from single servers that failed. Workload: all servers of a
//! data centre stop answering at the same moment, while requests for them go on arriving.
//!
//! Without it, each instance learns of each server separately, by a request that waits for a
//! connection in vain, and again after each backoff.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Name of a data centre.
pub type DataCentre = Box<str>;

/// Number of servers that must be silent, without an answer from any other server of the data
/// centre, for it to count as cut off. Fewer if it has fewer servers.
const MIN_SILENT: usize = 3;

/// Time after which a silent server no longer counts towards [`MIN_SILENT`].
const SILENCE_EXPIRY: Duration = Duration::from_secs(3);

/// What was heard from the servers of one data centre.
#[derive(Clone, Debug, Default)]
struct Contact {
    /// Servers that gave no answer since any server of the data centre last did, and when.
    silent: HashMap<Box<str>, Instant>,
    /// Set while the data centre counts as cut off.
    cut_off_since: Option<Instant>,
}

/// The data centres that this instance can and cannot reach.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    contacts: HashMap<DataCentre, Contact>,
}

impl Reach {
    /// Records a sign of life of a server in a data centre. Returns since when the data centre was
    /// cut off, if it counted as that until now.
    pub fn record_answer(&mut self, data_centre: &str) -> Option<Instant> {
        let contact = self.contacts.get_mut(data_centre)?;
        contact.silent.clear();
        contact.cut_off_since.take()
    }

    /// Records that a server gave no answer at all. `servers` is the number of servers known in the
    /// data centre. Returns whether the data centre counts as cut off from now on.
    pub fn record_silence(
        &mut self,
        data_centre: &str,
        server: &str,
        servers: usize,
        now: Instant,
    ) -> bool {
        let contact = self.contacts.entry(data_centre.into()).or_default();
        contact.silent.retain(|_, at| now.saturating_duration_since(*at) < SILENCE_EXPIRY);
        contact.silent.insert(server.into(), now);
        let is_new = contact.cut_off_since.is_none()
            && contact.silent.len() >= MIN_SILENT.min(servers.max(1));
        if is_new {
            contact.cut_off_since = Some(now);
        }
        is_new
    }

    /// Whether the servers of a data centre should get no requests.
    pub fn is_cut_off(&self, data_centre: &str) -> bool {
        self.contacts.get(data_centre).is_some_and(|contact| contact.cut_off_since.is_some())
    }

    /// Data centres with recent silence, which are to be probed: those that are cut off, and those
    /// that may be.
    pub fn suspects(&self, now: Instant) -> impl Iterator<Item = &DataCentre> {
        let is_suspect = move |contact: &Contact| {
            let is_recent = |at: &Instant| now.saturating_duration_since(*at) < SILENCE_EXPIRY;
            contact.cut_off_since.is_some() || contact.silent.values().any(is_recent)
        };
        self.contacts.iter().filter(move |(_, contact)| is_suspect(contact)).map(|(name, _)| name)
    }
}
