//! Records finished requests: metrics, burn of the error budget and counted work.

use burn::{BurnTracker, Objective};
use telemetry::OutcomeLabels;
use types::prelude::*;

use crate::context::Context;
use crate::finished::Finished;
use crate::usage::Usage;

/// Records of finished requests.
pub(crate) struct RequestAccounting {
    pub(crate) burn: BurnTracker,
    pub(crate) usage: Usage,
}

impl RequestAccounting {
    /// Creates empty records.
    pub(crate) fn new(instance: InstanceId, now: Instant) -> Self {
        Self { burn: BurnTracker::new(now), usage: Usage::new(instance, now) }
    }

    /// Records a finished request.
    pub(crate) fn record(
        &mut self,
        cx: &Context,
        cfg: &Configuration,
        finished: &Finished,
        now: Instant,
        wall: SystemTime,
    ) {
        self.update_metrics(cx, finished);
        self.usage.count(finished, wall);
        if !finished.counts_for_service_level() {
            return;
        }
        let class = cfg
            .contracts
            .get(&finished.client_account)
            .and_then(|contract| contract.classes.get(&finished.class));
        if let Some(class) = class {
            let objective = Objective { version: finished.version, objective: class.objective };
            let (client_account, class) = (&finished.client_account, &finished.class);
            self.burn.record(now, client_account, class, objective, finished.in_time);
        }
    }

    /// Whether the last flush of a planned stop is written, or `give_up_at` has passed.
    pub(crate) fn is_closed(&self, give_up_at: Instant) -> bool {
        self.usage.is_closed() || Instant::now() >= give_up_at
    }

    fn update_metrics(&self, cx: &Context, finished: &Finished) {
        let outcome = match finished.refused {
            None => "answered".to_owned(),
            Some(reason) => format!("{reason:?}"),
        };
        let labels = OutcomeLabels {
            client_account: finished.client_account.to_string(),
            class: finished.class.to_string(),
            outcome,
        };
        cx.metrics.requests.get_or_create(&labels).inc();
        if let Some(time) = finished.first_token_in {
            cx.metrics.first_token.observe(time.as_secs_f64());
            if finished.was_cold {
                cx.metrics.cold_start.observe(time.as_secs_f64());
            }
        }
    }
}
