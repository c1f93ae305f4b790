//! Prediction of first events from the prompts that servers have to read. Workload: a few long
//! prompts among many short ones for the same models.
//!
//! A server reads prompts one after the other between the steps of its streams. Behind a long one,
//! a request waits for a large part of its latency target, although the server has few requests in
//! flight.

use std::time::Duration;

/// A prompt is long only if it has this many times the tokens of a usual one. If all prompts are
/// alike, the number of requests in flight already says how much there is to read.
const LONG_RATIO: f64 = 2.0;
/// A prompt is long only if reading it takes this fraction of the tightest latency target of the
/// service: a request behind it then has to start within the rest.
const LONG_TARGET_RATIO: f64 = 0.25;
/// Relative step by which the usual prompt follows a prompt. The step has the same size in both
/// directions, so that it follows the median and a few long prompts do not change it.
const USUAL_STEP: f64 = 0.02;
/// Number of requests in flight that reading a usual prompt counts as; as much as a queued request.
const READING_WEIGHT: f64 = 4.0;
/// Assumed tokens that a server reads in a millisecond, before first events show it.
const INITIAL_TOKENS_PER_MS: f64 = 30.0;
/// Assumed time to the first event of an empty prompt, in milliseconds.
const INITIAL_BASE_MS: f64 = 20.0;
/// Prompt of the second assumed measurement, in tokens; the first has none.
const ASSUMED_TOKENS: f64 = 4_000.0;
/// Weight of each of the two assumed measurements. They keep the pace defined while all measured
/// prompts have the same length.
const ASSUMED_WEIGHT: f64 = 4.0;
/// Part of its weight that a measurement keeps at the next one.
const KEPT_WEIGHT: f64 = 1.0 - 1.0 / 128.0;
/// Largest ratio of a measured time to the predicted one, so that a server that hangs does not
/// change the pace.
const MAX_RATIO: f64 = 4.0;
/// Bounds of the tokens that a server reads in a millisecond.
const TOKENS_PER_MS: std::ops::RangeInclusive<f64> = 1.0..=1_000.0;

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}

/// Weighted sums of measurements of a time in milliseconds over a number of tokens.
#[derive(Clone, Copy, Debug)]
struct Sums {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_ms: f64,
}

impl Sums {
    fn add(&mut self, weight: f64, tokens: f64, ms: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.ms += weight * ms;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_ms += weight * tokens * ms;
    }

    fn scale(&mut self, factor: f64) {
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.ms,
            &mut self.tokens_squared,
            &mut self.tokens_ms,
        ] {
            *sum *= factor;
        }
    }
}

/// Prompts of one service as an instance sees them: how long they usually are, and how fast the
/// servers read them.
#[derive(Clone, Copy, Debug)]
pub struct PromptMix {
    /// Tokens of a usual prompt; `None` before the first one.
    usual_tokens: Option<f64>,
    measured: Sums,
    /// Tokens that a server reads in a millisecond; within `TOKENS_PER_MS`.
    tokens_per_ms: f64,
    /// Time to the first event of an empty prompt, in milliseconds; at least 0.
    base_ms: f64,
}

impl Default for PromptMix {
    fn default() -> Self {
        Self {
            usual_tokens: None,
            measured: Sums {
                weight: 0.0,
                tokens: 0.0,
                ms: 0.0,
                tokens_squared: 0.0,
                tokens_ms: 0.0,
            },
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
            base_ms: INITIAL_BASE_MS,
        }
    }
}

impl PromptMix {
    /// Records the prompt of an arriving request.
    pub fn record_prompt(&mut self, tokens: u64) {
        let tokens = tokens.max(1) as f64;
        let usual = self.usual_tokens.get_or_insert(tokens);
        *usual *= if tokens > *usual { 1.0 + USUAL_STEP } else { 1.0 - USUAL_STEP };
    }

    /// Records the time from a send to its first event at a server with a free slot that had no long
    /// prompt to read and kept all but `unread` tokens of the prompt.
    pub fn record_first_event(&mut self, unread: u64, elapsed: Duration) {
        let unread = unread as f64;
        let predicted = self.base_ms + unread / self.tokens_per_ms;
        let ms = (elapsed.as_secs_f64() * 1_000.0).min(predicted * MAX_RATIO);
        self.measured.scale(KEPT_WEIGHT);
        self.measured.add(1.0, unread, ms);
        let mut sums = self.measured;
        sums.add(ASSUMED_WEIGHT, 0.0, INITIAL_BASE_MS);
        let assumed_ms = INITIAL_BASE_MS + ASSUMED_TOKENS / INITIAL_TOKENS_PER_MS;
        sums.add(ASSUMED_WEIGHT, ASSUMED_TOKENS, assumed_ms);
        let spread = sums.weight * sums.tokens_squared - sums.tokens * sums.tokens;
        let ms_per_token = (sums.weight * sums.tokens_ms - sums.tokens * sums.ms) / spread;
        self.tokens_per_ms =
            ms_per_token.max(0.0).recip().clamp(*TOKENS_PER_MS.start(), *TOKENS_PER_MS.end());
        self.base_ms = ((sums.ms - sums.tokens / self.tokens_per_ms) / sums.weight).max(0.0);
    }

    /// Time in which a server reads this many tokens.
    pub fn read_time(&self, tokens: u64) -> Duration {
        millis(tokens as f64 / self.tokens_per_ms)
    }

    /// Tokens that a server reads in this time.
    pub fn tokens_in(&self, time: Duration) -> u64 {
        (time.as_secs_f64() * 1_000.0 * self.tokens_per_ms) as u64
    }

    /// Predicted time from a send to the first event of a request, at a server that has unread long
    /// prompts for a time of `ahead` and then the `unread` tokens of the request.
    pub fn first_event(&self, ahead: Duration, unread: u64, slowness: f64) -> Duration {
        (millis(self.base_ms) + ahead + self.read_time(unread)).mul_f64(slowness.max(1.0))
    }

    /// Whether reading this many tokens holds up other requests, whose tightest latency target is
    /// given.
    pub fn is_long(&self, tokens: u64, tightest_target: Duration) -> bool {
        self.usual_tokens.is_some_and(|usual| tokens as f64 >= usual * LONG_RATIO)
            && self.read_time(tokens) >= tightest_target.mul_f64(LONG_TARGET_RATIO)
    }

    /// Number of requests in flight that unread long prompts count as which take `ahead` to read.
    pub fn reading_cost(&self, ahead: Duration) -> f64 {
        let usual = self.usual_tokens.unwrap_or(ASSUMED_TOKENS);
        ahead.as_secs_f64() * 1_000.0 * self.tokens_per_ms / usual * READING_WEIGHT
    }
}
