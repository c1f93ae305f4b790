//! The state of one group's placement.

use std::sync::Arc;

use rand::Rng;
use types::prelude::*;

use crate::event::*;
use crate::settings::Settings;
use crate::view::View;

/// Placement of one group of backend servers.
#[derive(Debug)]
pub struct Placement {
    catalogue: Arc<Catalogue>,
    settings: Settings,
}

impl Placement {
    /// A placement without history. `time_of_day` is the local time at `now`, since midnight.
    pub fn new(
        catalogue: Arc<Catalogue>,
        settings: Settings,
        now: Instant,
        time_of_day: Duration,
    ) -> Self {
        let _ = (now, time_of_day);
        Self { catalogue, settings }
    }

    /// Replaces catalogue and settings when a new configuration takes effect.
    pub fn configure(&mut self, catalogue: Arc<Catalogue>, settings: Settings) {
        self.catalogue = catalogue;
        self.settings = settings;
    }

    /// Takes one event and appends decisions to `out`. The caller carries them out in order and
    /// reports each one that it drops as [`Event::Rejected`].
    pub fn handle(
        &mut self,
        event: &Event,
        view: &View,
        now: Instant,
        rng: &mut impl Rng,
        out: &mut Vec<Decision>,
    ) {
        let _ = (event, view, now, rng, out, &self.settings);
    }

    /// When a target is expected to be ready, for admission; `None` if it cannot be loaded.
    pub fn expected_ready(&self, view: &View, target: &Target, now: Instant) -> Option<Instant> {
        let _ = view;
        self.catalogue.models.contains_key(&target.model).then_some(now)
    }

    /// When the next [`Event::Tick`] is of use at the latest.
    pub fn next_wakeup(&self, now: Instant) -> Instant {
        now + Duration::from_secs(1)
    }
}
