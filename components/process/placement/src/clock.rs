//! Slots of the day for recurring patterns.

use types::prelude::*;

/// Length of a slot; short enough to tell a shift's start, long enough to recur.
pub(crate) const SLOT: Duration = Duration::from_secs(300);
/// Slots of one day.
pub(crate) const SLOTS_PER_DAY: usize = 288;

const DAY: Duration = Duration::from_secs(86_400);

/// A slot on a certain day.
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
            slot: ((t.as_secs() % DAY.as_secs()) / SLOT.as_secs()) as usize,
        }
    }
}

/// How busy the group is in each slot of the day, over all models.
#[derive(Clone, Debug)]
pub(crate) struct Activity {
    bursts: Box<[f32; SLOTS_PER_DAY]>,
    day: Box<[u32; SLOTS_PER_DAY]>,
    first_day: u32,
    /// The slot of the last call of `relative` and its result.
    relative: Option<(SlotOfDay, f32)>,
}

/// Part of a slot's figure that a new day replaces.
const ACTIVITY_GAIN: f32 = 0.4;

impl Activity {
    pub(crate) fn new(first_day: u32) -> Self {
        Self {
            bursts: Box::new([0.0; SLOTS_PER_DAY]),
            day: Box::new([first_day; SLOTS_PER_DAY]),
            first_day,
            relative: None,
        }
    }

    pub(crate) fn note(&mut self, at: SlotOfDay) {
        let missed = at.day.saturating_sub(self.day[at.slot]);
        self.bursts[at.slot] = self.faded(at.slot, missed) + 1.0;
        self.day[at.slot] = at.day;
    }

    fn faded(&self, slot: usize, missed: u32) -> f32 {
        self.bursts[slot] * (1.0 - ACTIVITY_GAIN).powi(missed.min(64) as i32)
    }

    /// Activity of the coming half hour relative to that at a typical arrival, at most one; one
    /// while less than a day was seen.
    pub(crate) fn relative(&mut self, at: SlotOfDay) -> f32 {
        match self.relative {
            Some((slot, known)) if slot == at => known,
            _ => {
                let known = self.compute_relative(at);
                self.relative = Some((at, known));
                known
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
        let ahead = (0..6)
            .map(|i| {
                let slot = (at.slot + i) % SLOTS_PER_DAY;
                let day = at.day + u32::from(at.slot + i >= SLOTS_PER_DAY);
                // The present day's count is incomplete, so it does not count as missed.
                self.faded(slot, day.saturating_sub(self.day[slot]).saturating_sub(1))
            })
            .sum::<f32>()
            / 6.0;
        (ahead / (squares / sum)).min(1.0)
    }
}
