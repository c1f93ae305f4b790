//! The state machine of one instance.

use rand::Rng;
use types::prelude::*;

use crate::{Action, Heartbeat, MemberState, Settings, Summary, SummaryBody};

/// The members of a data centre as one instance sees them.
#[derive(Debug)]
pub struct Membership {
    cfg: Settings,
}

impl Membership {
    /// Starts alone; heartbeats, rumours and the platform's list add members.
    pub fn new(cfg: Settings, now: Instant, rng: &mut impl Rng) -> Self {
        let _ = (now, rng);
        Self { cfg }
    }

    /// When [`on_timer`](Self::on_timer) is due.
    pub fn next_timer(&self) -> Instant {
        unreachable!("{}", self.cfg.instance)
    }

    /// Sends heartbeats and summaries; suspects and fails silent members.
    pub fn on_timer(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let _ = (now, rng);
        Vec::new()
    }

    /// Takes a heartbeat.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, heartbeat, rng);
        Vec::new()
    }

    /// Takes a summary of another data centre, from there or passed on.
    pub fn on_summary(
        &mut self,
        now: Instant,
        summary: &Summary,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, summary, rng);
        Vec::new()
    }

    /// Takes the platform's lagging list: adds candidates that are contacted, confirms a suspicion
    /// of an instance that is no longer listed, never removes a live member.
    pub fn on_list(&mut self, now: Instant, listed: &[ListedInstance]) -> Vec<Action> {
        let _ = (now, listed);
        Vec::new()
    }

    /// Sets the configuration version in effect here, carried along by heartbeats.
    pub fn set_configuration(&mut self, version: ConfigurationVersion) {
        let _ = version;
    }

    /// Sets what this data centre's summary says; used while this instance is a delegate.
    pub fn set_summary_body(&mut self, body: SummaryBody) {
        let _ = body;
    }

    /// Announces that this instance is leaving; sent at once to the heartbeat peers.
    pub fn leave(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let _ = (now, rng);
        Vec::new()
    }

    /// Live and suspected members of the data centre that are not leaving, with addresses, this
    /// instance included unless it is leaving.
    pub fn live(&self) -> BTreeMap<InstanceId, Box<str>> {
        BTreeMap::new()
    }

    /// State of a member.
    pub fn state(&self, instance: &str) -> Option<MemberState> {
        let _ = instance;
        None
    }

    /// Address of a member.
    pub fn address(&self, instance: &str) -> Option<&str> {
        let _ = instance;
        None
    }

    /// Whether this instance is a delegate of its data centre.
    pub fn is_delegate(&self) -> bool {
        false
    }

    /// Members that are known to be behind a configuration version.
    pub fn behind(&self, version: ConfigurationVersion) -> Vec<InstanceId> {
        let _ = version;
        Vec::new()
    }

    /// The last summary of another data centre, with its body, unless it is too old.
    pub fn summary(&self, now: Instant, data_centre: &str) -> Option<&Summary> {
        let _ = (now, data_centre);
        None
    }

    /// Data centres with a summary that is not too old.
    pub fn reachable_data_centres(&self, now: Instant) -> Vec<DataCentreId> {
        let _ = now;
        Vec::new()
    }
}
