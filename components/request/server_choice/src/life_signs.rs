//! Tells a server that is slow from one that a cut separates from this instance. Workload: requests
//! on kept connections when a network cut begins that later delivers what it held up.
//!
//! The kernel ends a connection whose bytes stay unacknowledged, without a reset, and the network
//! may deliver them after the cut, when the server has left. So a request is not written onto a
//! connection that may be dead, and a connection is reset before the kernel ends it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::DataCentre;

/// Time for which a sign of life of a data centre lets a request be written onto a connection that
/// showed none itself.
const FRESH: Duration = Duration::from_millis(250);
/// Time without a sign of life after which the server of a waiting request is probed.
const QUIET: Duration = Duration::from_millis(400);
/// Time without a sign of life after which a server that does not answer a probe is given up. Two
/// probes of 200 ms fit in; the kernel ends a connection 1.3 s after a cut began, or later.
const GIVE_UP: Duration = Duration::from_millis(850);

/// When the servers of each data centre last gave a sign of life: a connection, a refused one, the
/// head of a response, a piece of a stream.
#[derive(Clone, Debug, Default)]
pub struct LifeSigns {
    last: HashMap<DataCentre, Instant>,
}

impl LifeSigns {
    /// Records a sign of life.
    pub fn record(&mut self, data_centre: &str, now: Instant) {
        match self.last.get_mut(data_centre) {
            Some(last) => *last = now,
            None => drop(self.last.insert(data_centre.into(), now)),
        }
    }

    /// Whether a connection that last showed life at `used_at` may be used for a request.
    pub fn may_reuse(&self, data_centre: &str, used_at: Instant, now: Instant) -> bool {
        let last = self.last.get(data_centre).map_or(used_at, |last| used_at.max(*last));
        now.saturating_duration_since(last) <= FRESH
    }

    /// When the server of a request that was sent at `sent_at` should be probed.
    pub fn probe_at(&self, data_centre: &str, sent_at: Instant) -> Instant {
        self.last.get(data_centre).copied().unwrap_or(sent_at) + QUIET
    }

    /// Whether a server that just gave no answer to a probe counts as cut off, so that connections
    /// with requests are to be reset.
    pub fn is_lost(&self, data_centre: &str, sent_at: Instant, now: Instant) -> bool {
        let last = self.last.get(data_centre).copied().unwrap_or(sent_at);
        now.saturating_duration_since(last) >= GIVE_UP
    }
}
