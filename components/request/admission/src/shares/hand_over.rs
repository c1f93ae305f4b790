//! Handing the grants over at a planned stop.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::data_centre_share::Holding;
use super::holder::{Grant, Holder, Retired};
use super::interval_set::IntervalSet;

/// What a holder hands over to its successor at a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HolderState {
    /// Fencing number of the holder that stops.
    pub fencing: FencingNumber,
    /// IntervalSet that may be in use.
    pub in_use: Vec<PartsInUse>,
}

/// IntervalSet that one run of an instance may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartsInUse {
    /// The instance.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Whether the parts are granted, and not only left over from an earlier grant.
    pub is_granted: bool,
    /// The parts.
    pub parts: BTreeMap<ClientAccountId, IntervalSet>,
    /// How long they may be used, the margin included.
    pub remaining_ms: u64,
}

impl Holder {
    /// A holder that took over directly from one that stopped as planned; it knows all grants.
    pub fn from_handover(
        fencing: FencingNumber,
        holding: Holding,
        state: HolderState,
        now: Instant,
    ) -> Self {
        let mut holder = Self::new(fencing, holding, now);
        holder.predecessor_until = now;
        holder.outage_until = now;
        for PartsInUse { instance, incarnation, is_granted, parts, remaining_ms } in state.in_use {
            let expires_at = now + Duration::from_millis(remaining_ms);
            if is_granted {
                let wanted = BTreeMap::new();
                let grant = Grant { incarnation, serial: 0, parts, wanted, expires_at };
                holder.grants.insert(instance, grant);
            } else {
                let replaced_by = u64::MAX;
                let until = expires_at;
                holder.retired.push(Retired { instance, incarnation, replaced_by, parts, until });
            }
        }
        holder
    }

    /// Stops granting at a planned stop.
    pub fn hand_over(mut self, now: Instant) -> HolderState {
        self.drop_ended(now);
        let remaining = |until: Instant| {
            u64::try_from(until.saturating_duration_since(now).as_millis()).unwrap_or(u64::MAX)
        };
        let granted = self.grants.into_iter().map(|(instance, grant)| PartsInUse {
            instance,
            incarnation: grant.incarnation,
            is_granted: true,
            parts: grant.parts,
            remaining_ms: remaining(grant.expires_at),
        });
        let retired = self.retired.into_iter().map(|retired| PartsInUse {
            instance: retired.instance,
            incarnation: retired.incarnation,
            is_granted: false,
            parts: retired.parts,
            remaining_ms: remaining(retired.until),
        });
        HolderState { fencing: self.fencing, in_use: granted.chain(retired).collect() }
    }
}
