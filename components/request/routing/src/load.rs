//! Load of one replica: the lagging report, corrected by own sends and ends.

use types::prelude::*;

/// Ended requests kept for the next reports. Older ones are in every report by then.
const MAX_ENDED: usize = 256;

/// How much older than an earlier report's sample a later report's sample may be. The first
/// publication of a new owner can carry an older sample than the last one of the previous owner;
/// owners take a sample of each backend server at least once a second.
const MAX_SAMPLE_STEP_BACK: Duration = Duration::from_secs(2);

/// Load of one replica.
#[derive(Debug)]
pub(crate) struct Load {
    reported: u32,
    /// Own requests sent after the sample and still running, minus those sent before the sample
    /// and ended after it.
    correction: i64,
    /// Times at which own running requests were sent.
    running: Vec<Instant>,
    /// Own requests that ended after the oldest sample still to be expected, as times of sending
    /// and ending.
    ended: VecDeque<(Instant, Instant)>,
}

impl Load {
    pub(crate) fn new() -> Self {
        Self { reported: 0, correction: 0, running: Vec::new(), ended: VecDeque::new() }
    }

    /// Requests on the replica.
    pub(crate) fn requests(&self) -> u32 {
        u32::try_from((i64::from(self.reported) + self.correction).max(0)).unwrap_or(u32::MAX)
    }

    pub(crate) fn report(&mut self, requests: u32, sampled_at: Instant) {
        self.reported = requests;
        // What happens at the time of the sample counts as after it, as in `sent` and `ended`.
        self.ended.retain(|(_, ended)| *ended + MAX_SAMPLE_STEP_BACK >= sampled_at);
        let added = self.running.iter().filter(|sent| **sent >= sampled_at).count() as i64;
        let counted =
            |(sent, ended): &&(Instant, Instant)| *sent < sampled_at && *ended >= sampled_at;
        let gone = self.ended.iter().filter(counted).count() as i64;
        self.correction = added - gone;
    }

    pub(crate) fn sent(&mut self, now: Instant) {
        self.running.push(now);
        self.correction += 1;
    }

    pub(crate) fn ended(&mut self, sent_at: Instant, now: Instant) {
        let Some(index) = self.running.iter().position(|sent| *sent == sent_at) else { return };
        self.running.swap_remove(index);
        self.correction -= 1;
        self.ended.push_back((sent_at, now));
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }
}
