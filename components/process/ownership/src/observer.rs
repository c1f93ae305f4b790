//! Leases of other instances, as this instance sees them.

use types::prelude::*;

use crate::LeaseObject;

/// What was seen of a holder's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mark {
    Counter(u64),
    /// The lease is missing or belongs to another run of the holder.
    Gone,
}

#[derive(Debug)]
struct Sighting {
    mark: Mark,
    first_seen: Instant,
}

/// First sights of renewal counters, by holder and incarnation.
#[derive(Debug, Default)]
pub(crate) struct Observer {
    sightings: BTreeMap<(InstanceId, Incarnation), Sighting>,
}

impl Observer {
    /// Notes a counter that was announced. An older counter than the known one is ignored.
    pub(crate) fn on_counter(
        &mut self,
        now: Instant,
        holder: &InstanceId,
        incarnation: Incarnation,
        counter: u64,
    ) {
        self.note(now, holder, incarnation, Mark::Counter(counter));
    }

    /// Notes a lease object that was read, or that it is missing.
    pub(crate) fn on_object(
        &mut self,
        now: Instant,
        holder: &InstanceId,
        incarnation: Incarnation,
        object: Option<&LeaseObject>,
    ) {
        let mark = match object {
            Some(lease) if lease.incarnation == incarnation => Mark::Counter(lease.counter),
            _ => Mark::Gone,
        };
        self.note(now, holder, incarnation, mark);
    }

    fn note(&mut self, now: Instant, holder: &InstanceId, incarnation: Incarnation, mark: Mark) {
        let key = (holder.clone(), incarnation);
        let newer = match (self.sightings.get(&key).map(|seen| seen.mark), mark) {
            (None, _) | (Some(Mark::Counter(_)), Mark::Gone) => true,
            (Some(Mark::Counter(old)), Mark::Counter(new)) => new > old,
            (Some(Mark::Gone), _) => false,
        };
        if newer {
            self.sightings.insert(key, Sighting { mark, first_seen: now });
        }
    }

    /// First sight of the present mark of a holder.
    pub(crate) fn first_seen(
        &self,
        holder: &InstanceId,
        incarnation: Incarnation,
    ) -> Option<Instant> {
        self.sightings.get(&(holder.clone(), incarnation)).map(|seen| seen.first_seen)
    }

    /// Drops holders that own none of the candidate groups any more.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&InstanceId, Incarnation) -> bool) {
        self.sightings.retain(|(holder, incarnation), _| keep(holder, *incarnation));
    }
}
