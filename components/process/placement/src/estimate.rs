//! Load time estimates, corrected by measured load times.

use types::prelude::*;

/// Weight of the newest measurement in the moving average.
const GAIN: f64 = 0.3;
/// Measured load times are clamped to this range, in multiples of the declared time, so that one
/// load that hung does not make all demand look unreachable.
const CORRECTION_RANGE: (f64, f64) = (0.1, 20.0);
/// Used until a load was measured; adapter loads take 5 to 14 ms.
const DEFAULT_ADAPTER_LOAD_TIME: Duration = Duration::from_millis(10);
/// Expected time from the unload of an idle replica until its memory is free.
pub(crate) const UNLOAD_TIME: Duration = Duration::from_millis(300);

/// Expected load times of models and adapters. `correction` is the ratio of measured to declared
/// load time for each source.
#[derive(Clone, Debug)]
pub(crate) struct LoadTimeEstimates {
    correction: [f64; 3],
    adapter_s: f64,
}

impl Default for LoadTimeEstimates {
    fn default() -> Self {
        Self { correction: [1.0; 3], adapter_s: DEFAULT_ADAPTER_LOAD_TIME.as_secs_f64() }
    }
}

impl LoadTimeEstimates {
    fn declared(model: &Model, source: LoadSource) -> Duration {
        match source {
            LoadSource::Memory => model.load_time.memory,
            LoadSource::Disk => model.load_time.disk,
            LoadSource::Remote => model.load_time.remote,
        }
    }

    /// Expected time of a load that starts now.
    pub(crate) fn load_time(&self, model: &Model, source: LoadSource) -> Duration {
        Self::declared(model, source).mul_f64(self.correction[source as usize])
    }

    /// Corrects the estimates by a measured load.
    pub(crate) fn record_load(&mut self, model: &Model, source: LoadSource, took: Duration) {
        let declared = Self::declared(model, source).as_secs_f64();
        if declared > 0.0 {
            let (low, high) = CORRECTION_RANGE;
            let ratio = (took.as_secs_f64() / declared).clamp(low, high);
            let correction = &mut self.correction[source as usize];
            *correction += GAIN * (ratio - *correction);
        }
    }

    pub(crate) fn adapter_load_time(&self) -> Duration {
        Duration::from_secs_f64(self.adapter_s)
    }

    pub(crate) fn record_adapter_load(&mut self, took: Duration) {
        self.adapter_s += GAIN * (took.as_secs_f64().min(1.0) - self.adapter_s);
    }
}
