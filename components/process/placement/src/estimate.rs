//! Expected load times, corrected by measured ones.

use types::prelude::*;

/// Weight of the newest measurement.
const GAIN: f64 = 0.3;
/// Measured times outside this range of the declared time are cut, so that one load that hung
/// does not shut out all demand.
const FACTOR_RANGE: (f64, f64) = (0.1, 20.0);
/// Load time of an adapter before any was measured; adapters take 5 to 14 ms.
const ADAPTER_LOAD: Duration = Duration::from_millis(10);
/// Time in which an idle replica's memory is expected back after an unload.
pub(crate) const UNLOAD: Duration = Duration::from_millis(300);

/// Ratio of measured to declared load time for each source.
#[derive(Clone, Debug)]
pub(crate) struct Estimates {
    factor: [f64; 3],
    adapter_s: f64,
}

impl Default for Estimates {
    fn default() -> Self {
        Self { factor: [1.0; 3], adapter_s: ADAPTER_LOAD.as_secs_f64() }
    }
}

impl Estimates {
    fn declared(model: &Model, source: LoadSource) -> Duration {
        match source {
            LoadSource::Memory => model.load_time.memory,
            LoadSource::Disk => model.load_time.disk,
            LoadSource::Remote => model.load_time.remote,
        }
    }

    /// Expected time of a load that starts now.
    pub(crate) fn load(&self, model: &Model, source: LoadSource) -> Duration {
        Self::declared(model, source).mul_f64(self.factor[source as usize])
    }

    /// Takes in a measured load.
    pub(crate) fn measured(&mut self, model: &Model, source: LoadSource, took: Duration) {
        let declared = Self::declared(model, source).as_secs_f64();
        if declared > 0.0 {
            let (low, high) = FACTOR_RANGE;
            let ratio = (took.as_secs_f64() / declared).clamp(low, high);
            let f = &mut self.factor[source as usize];
            *f += GAIN * (ratio - *f);
        }
    }

    pub(crate) fn adapter(&self) -> Duration {
        Duration::from_secs_f64(self.adapter_s)
    }

    pub(crate) fn adapter_measured(&mut self, took: Duration) {
        self.adapter_s += GAIN * (took.as_secs_f64().min(1.0) - self.adapter_s);
    }
}
