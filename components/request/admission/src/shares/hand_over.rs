//! Hand-over of the grants to the next holder at a planned stop.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::data_centre_share::Holding;
use super::holder::{Grant, Holder, RetiredParts};
use super::interval_set::IntervalSet;

/// State that a holder passes to its successor at a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HolderState {
    /// Fencing number of the holder that stops.
    pub fencing: FencingNumber,
    /// Parts that instances may be using.
    pub in_use: Vec<PartsInUse>,
}

/// Parts that one incarnation of an instance may be using.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartsInUse {
    /// Instance that may be using the parts.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Whether the parts belong to the current grant; otherwise they are left from an earlier one.
    pub is_granted: bool,
    /// Parts by client account.
    pub parts: BTreeMap<ClientAccountId, IntervalSet>,
    /// Time for which the parts may remain in use, including `GRANT_MARGIN`.
    pub remaining_ms: u64,
}

impl Holder {
    /// Creates a holder from the state of its direct predecessor. It knows all grants at once.
    pub fn from_handover(
        fencing: FencingNumber,
        holding: Holding,
        state: HolderState,
        now: Instant,
    ) -> Self {
        let mut holder = Self::new(fencing, holding, now);
        holder.predecessor_grants_until = now;
        holder.outage_grants_until = now;
        for PartsInUse { instance, incarnation, is_granted, parts, remaining_ms } in state.in_use {
            let expires_at = now + Duration::from_millis(remaining_ms);
            if is_granted {
                let wanted = BTreeMap::new();
                let grant = Grant { incarnation, serial: 0, parts, wanted, expires_at };
                holder.grants.insert(instance, grant);
            } else {
                let replaced_by = u64::MAX;
                let until = expires_at;
                holder.retired.push(RetiredParts {
                    instance,
                    incarnation,
                    replaced_by,
                    parts,
                    until,
                });
            }
        }
        holder
    }

    /// Stops granting at a planned stop and returns the state for the successor.
    pub fn hand_over(mut self, now: Instant) -> HolderState {
        self.drop_expired(now);
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
