//! Arrival history of one model, in bounded memory.

use types::prelude::*;

use crate::clock::{SLOTS_PER_DAY, SlotOfDay};

/// Arrivals closer together than this belong to one burst.
pub(crate) const BURST_GAP: Duration = Duration::from_secs(4);
/// Requests with more slack than this (batch work) are not recorded: a wait costs them nothing, and
/// they would blur the gaps between urgent requests.
pub(crate) const MAX_URGENT_SLACK: Duration = Duration::from_secs(600);

/// Two bins per octave, from `BURST_GAP` to more than a day.
const GAP_BINS: usize = 30;
/// Factor by which each new gap reduces the weight of older ones, so that the histogram follows a
/// change in the use of a model within about 50 bursts.
const GAP_DECAY: f32 = 0.98;
/// Weight of the gaps of all models in the estimate of one model, as a number of gaps.
const PRIOR_WEIGHT: f32 = 2.0;
/// Weight of the newest burst in the mean loss of a burst.
const LOSS_GAIN: f32 = 0.2;
/// Maximum number of days over which the daily pattern is averaged.
const PATTERN_DAYS: u32 = 7;
/// Fixed-point representation of probability 1 in [`DayPattern`].
const PATTERN_SCALE: f32 = 255.0;

/// Histogram of the gaps between bursts, with decaying counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct GapHistogram {
    counts: [f32; GAP_BINS],
}

impl GapHistogram {
    /// Lower bound of a bin in seconds.
    fn bin_start(bin: usize) -> f32 {
        let octave = BURST_GAP.as_secs() as f32 * (1u64 << (bin / 2)) as f32;
        if bin.is_multiple_of(2) { octave } else { octave * std::f32::consts::SQRT_2 }
    }

    pub(crate) fn record(&mut self, gap: Duration) {
        let octaves = (gap.as_secs_f32() / BURST_GAP.as_secs_f32()).max(1.0).log2();
        let bin = ((octaves * 2.0) as usize).min(GAP_BINS - 1);
        self.counts.iter_mut().for_each(|c| *c *= GAP_DECAY);
        self.counts[bin] += 1.0;
    }

    fn total(&self) -> f32 {
        self.counts.iter().sum()
    }

    /// Counts of one model, with the counts of all models as the prior.
    fn with_prior(&self, all: &GapHistogram) -> [f32; GAP_BINS] {
        let scale = PRIOR_WEIGHT / all.total().max(1.0);
        std::array::from_fn(|i| self.counts[i] + all.counts[i] * scale)
    }

    /// For the end of each bin after `idle`, yields the probability of an arrival by then, and the
    /// mean number of seconds from `idle` until the arrival or the end of the bin.
    pub(crate) fn horizons(
        &self,
        all: &GapHistogram,
        idle: Duration,
    ) -> impl Iterator<Item = (f32, f32)> {
        let counts = self.with_prior(all);
        let idle = idle.as_secs_f32();
        let mut remaining: f32 = 0.0;
        for (i, c) in counts.iter().enumerate() {
            remaining += c * fraction_after(i, idle);
        }
        let (mut cumulative, mut idle_s) = (0.0, 0.0);
        counts.into_iter().enumerate().filter(move |_| remaining > 0.0).filter_map(move |(i, c)| {
            let (start, end) = (Self::bin_start(i).max(idle), Self::bin_start(i + 1));
            let span = end - start;
            if span <= 0.0 {
                return None;
            }
            // Nothing arrives before the first bin, but the idle time counts.
            let lead = if i == 0 { (start - idle).max(0.0) } else { 0.0 };
            let in_bin = c * fraction_after(i, idle) / remaining;
            idle_s += lead + span * (1.0 - cumulative - in_bin / 2.0).max(0.0);
            cumulative += in_bin;
            Some((cumulative.min(1.0), idle_s))
        })
    }

    /// Probability that a gap ends within `ahead` if it has already lasted `idle`.
    pub(crate) fn probability_within(
        &self,
        all: &GapHistogram,
        idle: Duration,
        ahead: Duration,
    ) -> f32 {
        let counts = self.with_prior(all);
        let (from, to) = (idle.as_secs_f32(), (idle + ahead).as_secs_f32());
        let count_after =
            |t: f32| counts.iter().enumerate().map(|(i, c)| c * fraction_after(i, t)).sum::<f32>();
        let remaining = count_after(from);
        if remaining <= 0.0 { 0.0 } else { 1.0 - count_after(to) / remaining }
    }
}

/// Fraction of a bin that lies after `t` seconds.
fn fraction_after(bin: usize, t: f32) -> f32 {
    let (start, end) = (GapHistogram::bin_start(bin), GapHistogram::bin_start(bin + 1));
    ((end - t) / (end - start)).clamp(0.0, 1.0)
}

/// Probability of an arrival in each slot of the day, averaged over days.
#[derive(Clone, Debug)]
pub(crate) struct DayPattern {
    /// Probability in 255ths, as of `updated_day`.
    probability: Box<[u8; SLOTS_PER_DAY]>,
    /// Day of the last update, modulo 256.
    updated_day: Box<[u8; SLOTS_PER_DAY]>,
    first_day: u32,
}

impl DayPattern {
    fn new(first_day: u32) -> Self {
        Self {
            probability: Box::new([0; SLOTS_PER_DAY]),
            updated_day: Box::new([first_day as u8; SLOTS_PER_DAY]),
            first_day,
        }
    }

    fn days_observed(&self, day: u32) -> u32 {
        (day - self.first_day + 1).min(PATTERN_DAYS)
    }

    fn record(&mut self, at: SlotOfDay) {
        let missed = (at.day as u8).wrapping_sub(self.updated_day[at.slot]);
        let n = self.days_observed(at.day) as f32;
        let is_recorded_today = missed == 0 && self.probability[at.slot] > 0;
        if is_recorded_today {
            return;
        }
        let old = self.decayed(at.slot, missed.saturating_sub(1), n);
        let new = old + (PATTERN_SCALE - old) / n;
        self.probability[at.slot] = new.round().clamp(1.0, PATTERN_SCALE) as u8;
        self.updated_day[at.slot] = at.day as u8;
    }

    fn decayed(&self, slot: usize, missed: u8, n: f32) -> f32 {
        f32::from(self.probability[slot]) * (1.0 - 1.0 / n.max(2.0)).powi(i32::from(missed))
    }

    /// Probability of an arrival in a slot; zero during the first two days.
    pub(crate) fn probability(&self, at: SlotOfDay) -> f32 {
        if at.day.saturating_sub(self.first_day) < 2 {
            return 0.0;
        }
        let missed = (at.day as u8).wrapping_sub(self.updated_day[at.slot]).saturating_sub(1);
        self.decayed(at.slot, missed, self.days_observed(at.day) as f32) / PATTERN_SCALE
    }
}

/// Arrival history of one model. It takes about 800 bytes, whatever the number of adapters.
#[derive(Clone, Debug)]
pub(crate) struct History {
    pub(crate) gaps: GapHistogram,
    pub(crate) pattern: DayPattern,
    /// Last arrival of an urgent request.
    pub(crate) last_arrival: Instant,
    /// Mean loss for each second that a whole burst waits, in thousandths.
    mean_burst_loss: f32,
    /// Loss for each second that the current burst waits, in thousandths.
    current_burst_loss: f32,
}

impl History {
    pub(crate) fn new(now: Instant, at: SlotOfDay) -> Self {
        Self {
            gaps: GapHistogram::default(),
            pattern: DayPattern::new(at.day),
            last_arrival: now,
            mean_burst_loss: 0.0,
            current_burst_loss: 0.0,
        }
    }

    /// Records urgent requests; returns the gap before them if they start a new burst.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        at: SlotOfDay,
        loss_per_second: f32,
    ) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_arrival);
        self.last_arrival = now;
        self.pattern.record(at);
        if gap < BURST_GAP {
            self.current_burst_loss += loss_per_second;
            return None;
        }
        self.end_burst();
        self.current_burst_loss = loss_per_second;
        self.gaps.record(gap);
        Some(gap)
    }

    fn end_burst(&mut self) {
        self.mean_burst_loss = if self.mean_burst_loss == 0.0 {
            self.current_burst_loss
        } else {
            self.mean_burst_loss + LOSS_GAIN * (self.current_burst_loss - self.mean_burst_loss)
        };
    }

    /// Expected loss, in thousandths, if the next burst waits for `wait`.
    pub(crate) fn wait_loss(&self, wait: Duration) -> f32 {
        self.mean_burst_loss.max(self.current_burst_loss * LOSS_GAIN) * wait.as_secs_f32()
    }
}
