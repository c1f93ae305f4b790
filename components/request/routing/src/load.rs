//! Load of one replica: the latest report, which lags, corrected by this instance's requests.

use types::prelude::*;

/// Maximum number of ended requests stored for correcting later reports. Any later report already
/// accounts for requests that ended before these.
const MAX_ENDED_REQUESTS: usize = 256;

/// How much older a report's sample may be than that of an earlier report. The first publication of
/// a new owner can carry an older sample than the previous owner's last one; owners sample each
/// backend server at least once a second.
const MAX_SAMPLE_REGRESSION: Duration = Duration::from_secs(2);

/// Estimated load of one replica.
#[derive(Debug)]
pub(crate) struct ReplicaLoad {
    /// Number of requests in the latest report.
    reported: u32,
    /// This instance's requests that were sent after the sample and are in flight, minus those sent
    /// before the sample and ended after it.
    correction: i64,
    /// Times at which this instance's requests in flight were sent.
    in_flight: Vec<Instant>,
    /// Times of sending and ending of this instance's requests that ended after the oldest sample
    /// that a later report may still carry.
    ended: VecDeque<(Instant, Instant)>,
}

impl ReplicaLoad {
    pub(crate) fn new() -> Self {
        Self { reported: 0, correction: 0, in_flight: Vec::new(), ended: VecDeque::new() }
    }

    /// Estimated number of requests on the replica.
    pub(crate) fn requests(&self) -> u32 {
        u32::try_from((i64::from(self.reported) + self.correction).max(0)).unwrap_or(u32::MAX)
    }

    pub(crate) fn apply_report(&mut self, requests: u32, sampled_at: Instant) {
        self.reported = requests;
        // A request sent or ended at the time of the sample counts as sent or ended after it, as in
        // `record_sent` and `record_ended`.
        self.ended.retain(|(_, ended)| *ended + MAX_SAMPLE_REGRESSION >= sampled_at);
        let sent_since = self.in_flight.iter().filter(|sent| **sent >= sampled_at).count() as i64;
        let ended_after_sample =
            |(sent, ended): &&(Instant, Instant)| *sent < sampled_at && *ended >= sampled_at;
        let ended_since = self.ended.iter().filter(ended_after_sample).count() as i64;
        self.correction = sent_since - ended_since;
    }

    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.in_flight.push(now);
        self.correction += 1;
    }

    pub(crate) fn record_ended(&mut self, sent_at: Instant, now: Instant) {
        let Some(index) = self.in_flight.iter().position(|sent| *sent == sent_at) else { return };
        self.in_flight.swap_remove(index);
        self.correction -= 1;
        self.ended.push_back((sent_at, now));
        if self.ended.len() > MAX_ENDED_REQUESTS {
            self.ended.pop_front();
        }
    }
}
