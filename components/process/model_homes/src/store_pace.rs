//! Pattern: a weight store whose loads get slower in proportion beyond a number that nobody tells.

use std::time::Duration;

/// Part by which a load may take longer than its nominal time and still count as full speed.
const TOLERANCE: f64 = 1.25;

/// How many loads the weight store carries at full speed, learned from how long loads took. More
/// at once would end none earlier, and the first ones later.
#[derive(Clone, Copy, Debug)]
pub struct StorePace {
    at_once: f64,
    most: f64,
}

impl StorePace {
    /// Begins with `first`, and never goes beyond `most`.
    pub fn new(first: usize, most: usize) -> Self {
        Self { at_once: first as f64, most: most as f64 }
    }

    /// Loads that should run at once.
    pub fn at_once(&self) -> usize {
        (self.at_once.round() as usize).max(1)
    }

    /// A load ended after `took`, with `crowd` loads running at the most, itself included.
    pub fn ended(&mut self, nominal: Duration, took: Duration, crowd: usize) {
        let slowed = took.as_secs_f64() / nominal.as_secs_f64().max(1e-3);
        let carried = crowd as f64 / slowed;
        if slowed > TOLERANCE {
            self.at_once = carried.clamp(1.0, self.at_once);
        } else if crowd as f64 >= self.at_once {
            self.at_once = (self.at_once + 1.0).min(self.most);
        }
    }
}
