//! Time slots of the day, for daily patterns.

use types::prelude::*;

/// Short enough to resolve the start of a shift, long enough that daily patterns recur in the same
/// slot.
pub(crate) const SLOT_LENGTH: Duration = Duration::from_secs(300);
pub(crate) const SLOTS_PER_DAY: usize = 288;

const DAY: Duration = Duration::from_secs(86_400);

/// A slot of a given day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotOfDay {
    pub(crate) day: u32,
    pub(crate) slot: usize,
}

/// Maps instants to slots of the day.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DayClock {
    origin: Instant,
    time_of_day: Duration,
}

impl DayClock {
    pub(crate) fn new(origin: Instant, time_of_day: Duration) -> Self {
        Self { origin, time_of_day }
    }

    pub(crate) fn slot(&self, now: Instant) -> SlotOfDay {
        let t = now.saturating_duration_since(self.origin) + self.time_of_day;
        SlotOfDay {
            day: (t.as_secs() / DAY.as_secs()) as u32,
            slot: ((t.as_secs() % DAY.as_secs()) / SLOT_LENGTH.as_secs()) as usize,
        }
    }
}

/// Arrival activity of the group in each slot of the day, over all models.
#[derive(Clone, Debug)]
pub(crate) struct Activity {
    bursts: Box<[f32; SLOTS_PER_DAY]>,
    updated_day: Box<[u32; SLOTS_PER_DAY]>,
    first_day: u32,
    /// Argument and result of the last call of `relative`.
    cached_relative: Option<(SlotOfDay, f32)>,
}

/// Weight of the newest day in the average of a slot.
const ACTIVITY_GAIN: f32 = 0.4;

impl Activity {
    pub(crate) fn new(first_day: u32) -> Self {
        Self {
            bursts: Box::new([0.0; SLOTS_PER_DAY]),
            updated_day: Box::new([first_day; SLOTS_PER_DAY]),
            first_day,
            cached_relative: None,
        }
    }

    pub(crate) fn record(&mut self, at: SlotOfDay) {
        let missed = at.day.saturating_sub(self.updated_day[at.slot]);
        self.bursts[at.slot] = self.decayed(at.slot, missed) + 1.0;
        self.updated_day[at.slot] = at.day;
    }

    fn decayed(&self, slot: usize, missed: u32) -> f32 {
        self.bursts[slot] * (1.0 - ACTIVITY_GAIN).powi(missed.min(64) as i32)
    }

    /// Activity of the next half hour relative to the activity at a typical arrival, at most 1.
    /// Returns 1 on the first day.
    pub(crate) fn relative(&mut self, at: SlotOfDay) -> f32 {
        match self.cached_relative {
            Some((slot, relative)) if slot == at => relative,
            _ => {
                let relative = self.compute_relative(at);
                self.cached_relative = Some((at, relative));
                relative
            }
        }
    }

    fn compute_relative(&self, at: SlotOfDay) -> f32 {
        if at.day <= self.first_day {
            return 1.0;
        }
        let (mut sum, mut squares) = (0.0, 0.0);
        for &b in self.bursts.iter() {
            sum += b;
            squares += b * b;
        }
        if sum <= 0.0 {
            return 1.0;
        }
        let upcoming = (0..6)
            .map(|i| {
                let slot = (at.slot + i) % SLOTS_PER_DAY;
                let day = at.day + u32::from(at.slot + i >= SLOTS_PER_DAY);
                // The current day is incomplete, so it does not count as a missed one.
                self.decayed(slot, day.saturating_sub(self.updated_day[slot]).saturating_sub(1))
            })
            .sum::<f32>()
            / 6.0;
        (upcoming / (squares / sum)).min(1.0)
    }
}
