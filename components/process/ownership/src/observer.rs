//! Leases of other instances as this instance observes them.

use types::prelude::*;

use crate::LeaseObject;

/// Observed state of the lease of one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseState {
    Counter(u64),
    /// The lease object is missing or belongs to another incarnation of the holder.
    Gone,
}

#[derive(Debug)]
struct Observation {
    state: LeaseState,
    first_seen: Instant,
}

/// Latest observed lease states, and when each was first observed, by holder and incarnation.
#[derive(Debug, Default)]
pub(crate) struct LeaseObserver {
    observations: BTreeMap<(InstanceId, Incarnation), Observation>,
}

impl LeaseObserver {
    /// Records an announced renewal counter. A counter that is not higher than the known one is
    /// ignored.
    pub(crate) fn on_counter(
        &mut self,
        now: Instant,
        holder: &InstanceId,
        incarnation: Incarnation,
        counter: u64,
    ) {
        self.record(now, holder, incarnation, LeaseState::Counter(counter));
    }

    /// Records the result of reading a lease object; `None` if the object is missing.
    pub(crate) fn on_object(
        &mut self,
        now: Instant,
        holder: &InstanceId,
        incarnation: Incarnation,
        object: Option<&LeaseObject>,
    ) {
        let state = match object {
            Some(lease) if lease.incarnation == incarnation => LeaseState::Counter(lease.counter),
            _ => LeaseState::Gone,
        };
        self.record(now, holder, incarnation, state);
    }

    fn record(
        &mut self,
        now: Instant,
        holder: &InstanceId,
        incarnation: Incarnation,
        state: LeaseState,
    ) {
        let key = (holder.clone(), incarnation);
        let newer = match (self.observations.get(&key).map(|observation| observation.state), state)
        {
            (None, _) | (Some(LeaseState::Counter(_)), LeaseState::Gone) => true,
            (Some(LeaseState::Counter(old)), LeaseState::Counter(new)) => new > old,
            (Some(LeaseState::Gone), _) => false,
        };
        if newer {
            self.observations.insert(key, Observation { state, first_seen: now });
        }
    }

    /// Time at which the current state of a holder's lease was first observed.
    pub(crate) fn first_seen(
        &self,
        holder: &InstanceId,
        incarnation: Incarnation,
    ) -> Option<Instant> {
        self.observations
            .get(&(holder.clone(), incarnation))
            .map(|observation| observation.first_seen)
    }

    /// Removes the observations of holders for which `is_needed` returns false.
    pub(crate) fn retain(&mut self, mut is_needed: impl FnMut(&InstanceId, Incarnation) -> bool) {
        self.observations.retain(|(holder, incarnation), _| is_needed(holder, *incarnation));
    }
}
