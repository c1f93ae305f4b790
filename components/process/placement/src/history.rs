//! Arrival history of one model, in bounded memory.

use types::prelude::*;

use crate::clock::{SLOTS_PER_DAY, SlotOfDay};

/// Arrivals closer together than this belong to one burst.
pub(crate) const BURST_GAP: Duration = Duration::from_secs(4);
/// Requests with more time than this (batch work) do not feed the history: a wait costs them
/// nothing, and they would blur the gaps between urgent requests.
pub(crate) const URGENT_SPAN: Duration = Duration::from_secs(600);

/// Two bins an octave from `BURST_GAP` to more than a day.
const GAP_BINS: usize = 30;
/// Older gaps lose weight so that a model whose use changes is followed within some 50 bursts.
const GAP_DECAY: f32 = 0.98;
/// Weight of all models' gaps in one model's estimate, in observed gaps.
const PRIOR_GAPS: f32 = 2.0;
/// Weight of the newest burst in the mean loss of a burst.
const LOSS_GAIN: f32 = 0.2;
/// Days over which the day pattern is averaged once it is established.
const PATTERN_DAYS: u32 = 7;
/// A chance of one in the day pattern's fixed-point form.
const PATTERN_ONE: f32 = 255.0;

/// Histogram of the gaps between bursts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gaps {
    counts: [f32; GAP_BINS],
}

impl Gaps {
    /// Start of a bin in seconds; two bins an octave.
    fn edge(bin: usize) -> f32 {
        let octave = BURST_GAP.as_secs() as f32 * (1u64 << (bin / 2)) as f32;
        if bin.is_multiple_of(2) { octave } else { octave * std::f32::consts::SQRT_2 }
    }

    pub(crate) fn add(&mut self, gap: Duration) {
        let octaves = (gap.as_secs_f32() / BURST_GAP.as_secs_f32()).max(1.0).log2();
        let bin = ((octaves * 2.0) as usize).min(GAP_BINS - 1);
        self.counts.iter_mut().for_each(|c| *c *= GAP_DECAY);
        self.counts[bin] += 1.0;
    }

    fn total(&self) -> f32 {
        self.counts.iter().sum()
    }

    /// The gaps of one model, with those of all models as the prior.
    fn blended(&self, all: &Gaps) -> [f32; GAP_BINS] {
        let scale = PRIOR_GAPS / all.total().max(1.0);
        std::array::from_fn(|i| self.counts[i] + all.counts[i] * scale)
    }

    /// Walks over the horizons at the bin ends beyond `idle` and yields for each the chance of
    /// an arrival by then and the mean idle seconds until the arrival or the horizon.
    pub(crate) fn horizons(&self, all: &Gaps, idle: Duration) -> impl Iterator<Item = (f32, f32)> {
        let counts = self.blended(all);
        let idle = idle.as_secs_f32();
        let mut left: f32 = 0.0;
        for (i, c) in counts.iter().enumerate() {
            left += c * part_after(i, idle);
        }
        let (mut seen, mut spent) = (0.0, 0.0);
        counts.into_iter().enumerate().filter(move |_| left > 0.0).filter_map(move |(i, c)| {
            let (start, end) = (Self::edge(i).max(idle), Self::edge(i + 1));
            let span = end - start;
            if span <= 0.0 {
                return None;
            }
            // Before the first bin nothing can arrive, but the time is still spent.
            let lead = if i == 0 { (start - idle).max(0.0) } else { 0.0 };
            let here = c * part_after(i, idle) / left;
            spent += lead + span * (1.0 - seen - here / 2.0).max(0.0);
            seen += here;
            Some((seen.min(1.0), spent))
        })
    }

    /// Chance that the gap ends within `ahead` given that it has lasted `idle`.
    pub(crate) fn chance_within(&self, all: &Gaps, idle: Duration, ahead: Duration) -> f32 {
        let counts = self.blended(all);
        let (from, to) = (idle.as_secs_f32(), (idle + ahead).as_secs_f32());
        let after =
            |t: f32| counts.iter().enumerate().map(|(i, c)| c * part_after(i, t)).sum::<f32>();
        let left = after(from);
        if left <= 0.0 { 0.0 } else { 1.0 - after(to) / left }
    }
}

/// Part of a bin that lies after `t` seconds.
fn part_after(bin: usize, t: f32) -> f32 {
    let (start, end) = (Gaps::edge(bin), Gaps::edge(bin + 1));
    ((end - t) / (end - start)).clamp(0.0, 1.0)
}

/// Chance of an arrival in each slot of the day, averaged over days.
#[derive(Clone, Debug)]
pub(crate) struct DayPattern {
    /// Chance in 255ths, as of `day`.
    chance: Box<[u8; SLOTS_PER_DAY]>,
    /// Day of the last update, modulo 256.
    day: Box<[u8; SLOTS_PER_DAY]>,
    first_day: u32,
}

impl DayPattern {
    fn new(first_day: u32) -> Self {
        Self {
            chance: Box::new([0; SLOTS_PER_DAY]),
            day: Box::new([first_day as u8; SLOTS_PER_DAY]),
            first_day,
        }
    }

    fn days_seen(&self, day: u32) -> u32 {
        (day - self.first_day + 1).min(PATTERN_DAYS)
    }

    fn note(&mut self, at: SlotOfDay) {
        let missed = (at.day as u8).wrapping_sub(self.day[at.slot]);
        let n = self.days_seen(at.day) as f32;
        let fresh = missed == 0 && self.chance[at.slot] > 0;
        if fresh {
            return;
        }
        let old = self.faded(at.slot, missed.saturating_sub(1), n);
        let new = old + (PATTERN_ONE - old) / n;
        self.chance[at.slot] = new.round().clamp(1.0, PATTERN_ONE) as u8;
        self.day[at.slot] = at.day as u8;
    }

    fn faded(&self, slot: usize, missed: u8, n: f32) -> f32 {
        f32::from(self.chance[slot]) * (1.0 - 1.0 / n.max(2.0)).powi(i32::from(missed))
    }

    /// Chance of an arrival in a slot; zero while less than two days were seen.
    pub(crate) fn chance(&self, at: SlotOfDay) -> f32 {
        if at.day.saturating_sub(self.first_day) < 2 {
            return 0.0;
        }
        let missed = (at.day as u8).wrapping_sub(self.day[at.slot]).saturating_sub(1);
        self.faded(at.slot, missed, self.days_seen(at.day) as f32) / PATTERN_ONE
    }
}

/// Arrival history of one model: some 800 bytes, whatever the number of its adapters.
#[derive(Clone, Debug)]
pub(crate) struct History {
    pub(crate) gaps: Gaps,
    pub(crate) pattern: DayPattern,
    /// Last arrival of an urgent request.
    pub(crate) last: Instant,
    /// Mean loss for each second that a whole burst waits, in thousandths.
    burst_loss: f32,
    /// The same of the burst in progress.
    present_loss: f32,
}

impl History {
    pub(crate) fn new(now: Instant, at: SlotOfDay) -> Self {
        Self {
            gaps: Gaps::default(),
            pattern: DayPattern::new(at.day),
            last: now,
            burst_loss: 0.0,
            present_loss: 0.0,
        }
    }

    /// Notes urgent requests; returns the gap if a new burst begins.
    pub(crate) fn note(
        &mut self,
        now: Instant,
        at: SlotOfDay,
        loss_per_second: f32,
    ) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last);
        self.last = now;
        self.pattern.note(at);
        if gap < BURST_GAP {
            self.present_loss += loss_per_second;
            return None;
        }
        self.close_burst();
        self.present_loss = loss_per_second;
        self.gaps.add(gap);
        Some(gap)
    }

    fn close_burst(&mut self) {
        self.burst_loss = if self.burst_loss == 0.0 {
            self.present_loss
        } else {
            self.burst_loss + LOSS_GAIN * (self.present_loss - self.burst_loss)
        };
    }

    /// Expected loss, in thousandths, if the next burst waits for `wait`.
    pub(crate) fn loss_of_wait(&self, wait: Duration) -> f32 {
        self.burst_loss.max(self.present_loss * LOSS_GAIN) * wait.as_secs_f32()
    }
}
