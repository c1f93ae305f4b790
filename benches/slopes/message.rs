//! Messages between instances, with the variants of the instance's own messages that belong to
//! the control of a fleet.

use std::sync::Arc;

use configuration::ConfigurationMessage;
use group::GroupLoads;
use membership::{Heartbeat, Summary};
use ownership::{Announcement, Handover};
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// A message between instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Message {
    Heartbeat(Heartbeat),
    Summary(Summary),
    Announcement(Announcement),
    Handover(Handover),
    Configuration(ConfigurationMessage),
    GroupState(Arc<GroupState>),
    GroupLoads(Arc<GroupLoads>),
    Arrivals(Vec<ArrivalCount>),
}

impl Message {
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeats",
            Self::Summary(_) => "summaries",
            Self::Announcement(_) => "announcements",
            Self::Handover(_) => "handovers",
            Self::Configuration(_) => "configuration",
            Self::GroupState(_) => "group states",
            Self::GroupLoads(_) => "group loads",
            Self::Arrivals(_) => "arrivals",
        }
    }
}

/// Requests of one model that arrived at one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ArrivalCount {
    pub(crate) model: ModelId,
    pub(crate) count: u32,
    pub(crate) worth_milli: u32,
    pub(crate) remaining_ms: u64,
}
