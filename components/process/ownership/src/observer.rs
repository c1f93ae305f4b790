//! Leases of other instances, as this instance sees them.

use types::prelude::*;

use crate::LeaseObject;

/// What was seen of a holder's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseState {
    Counter(u64),
    /// The lease is missing or belongs to another run of the holder.
    Gone,
}

#[derive(Debug)]
struct Observation {
    state: LeaseState,
    first_seen: Instant,
}

/// First sights of renewal counters, by holder and incarnation.
#[derive(Debug, Default)]
pub(crate) struct LeaseObserver {
    observations: BTreeMap<(InstanceId, Incarnation), Observation>,
}

impl LeaseObserver {
    /// Notes a counter that was announced. An older counter than the known one is ignored.
    pub(crate) fn on_counter(
        &mut self,
        now: Instant,
        holder: &InstanceId,
        incarnation: Incarnation,
        counter: u64,
    ) {
        self.record(now, holder, incarnation, LeaseState::Counter(counter));
    }

    /// Notes a lease object that was read, or that it is missing.
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

    /// First sight of the present mark of a holder.
    pub(crate) fn first_seen(
        &self,
        holder: &InstanceId,
        incarnation: Incarnation,
    ) -> Option<Instant> {
        self.observations
            .get(&(holder.clone(), incarnation))
            .map(|observation| observation.first_seen)
    }

    /// Drops holders that own none of the candidate groups any more.
    pub(crate) fn retain(&mut self, mut is_needed: impl FnMut(&InstanceId, Incarnation) -> bool) {
        self.observations.retain(|(holder, incarnation), _| is_needed(holder, *incarnation));
    }
}
