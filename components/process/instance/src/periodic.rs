//! Periodic work: limit shares, accounting, retention and summaries.

use membership::SummaryBody;
use routing::DataCentreSummary;
use types::prelude::*;

use crate::directory::{key_group, limits_group};
use crate::event::Event;
use crate::instance::{Drain, Instance};
use crate::message::{PeerMessage, PeerReply};
use crate::retention::SweepStep;
use crate::shares::SHARE_TIMEOUT;

impl Instance {
    /// Requests grants and reads the share object when due.
    pub(crate) fn share_timers(&mut self, now: Instant) {
        self.admit_held(now);
        if let Some(fencing) = self.shares.due_share_read(now) {
            let data_centres = self.directory.data_centres().clone();
            let nonces = (self.nonce(), self.nonce());
            crate::share_objects::open(&self.cx, fencing, data_centres, nonces);
        }
        let group = limits_group(&self.cx.data_centre);
        let owner = self.ownership.owner_hint(&group).cloned();
        let own = self.owned.get(&group).copied();
        let fencing = own.or_else(|| self.announced_fencing.get(&group).copied());
        let (Some(owner), Some(fencing)) = (owner, fencing) else {
            return self.shares.defer_request(now);
        };
        let cfg = self.follower.current().clone();
        let Some(request) = self.shares.due_request(&self.requests, &cfg, fencing, now) else {
            return;
        };
        if owner == self.cx.instance {
            let is_failing = self.cx.platform.is_failing();
            let grant = self.shares.grant(&request, is_failing, now);
            return self.on_event(Event::Share(grant), now);
        }
        let Some(address) = self.address_of(&owner) else { return };
        let exchange = self.cx.exchange(address, PeerMessage::Share(request), now + SHARE_TIMEOUT);
        self.cx.spawn(async move {
            match exchange.await {
                Some(PeerReply::Share(grant)) => Event::Share(grant),
                _ => Event::Share(None),
            }
        });
    }

    /// Passes requests that need not wait for a grant any longer to admission.
    pub(crate) fn admit_held(&mut self, now: Instant) {
        let cfg = self.follower.current().clone();
        for arrival in self.shares.release_held(&cfg, now) {
            self.requests.on_arrival(&self.cx, arrival, now);
        }
    }

    /// Writes counted work and accelerator intervals when due.
    pub(crate) fn accounting_timer(&mut self, now: Instant) {
        let closing = self.drain != Drain::Serving && self.requests.is_idle();
        if self.accounting.usage.next_timer() > now
            && !(closing && self.accounting.usage.may_close())
        {
            return;
        }
        let wall = SystemTime::now();
        self.accounting.usage.flush(&self.cx, closing, now, wall);
        for group in self.owned.keys() {
            if let Some(owned) = self.groups.get(group) {
                let closed = owned.group.closed_intervals();
                let open = owned.group.open_intervals(wall);
                crate::usage::write_intervals(&self.cx, group, closed, open, wall);
            }
        }
    }

    /// Deletes old records, one call at a time, as the holder of the data centre's limits.
    pub(crate) fn retention_timer(&mut self, now: Instant) {
        let group = limits_group(&self.cx.data_centre);
        let is_holder = self.drain == Drain::Serving && self.owned.contains_key(&group);
        match self.retention.next_step(is_holder, self.cx.platform.is_failing(), now) {
            None => {}
            Some(SweepStep::Call(call)) => crate::retention::call(&self.cx, call),
            Some(SweepStep::Begin) => {
                let groups: Vec<GroupId> = self.directory.groups().cloned().collect();
                let mut members: Vec<InstanceId> = self.membership.live().into_keys().collect();
                members.retain(|member| *member != self.cx.instance);
                crate::retention::begin(&self.cx, groups, members, SystemTime::now());
            }
        }
    }

    /// Builds the summary body that is sent to other data centres.
    pub(crate) fn summary_body(&self) -> SummaryBody {
        let candidates = self.directory.candidate_groups(&self.cx.data_centre);
        let key_ranges = (0..idempotency::KEY_RANGES).map(key_group).filter_map(|group| {
            let owner =
                candidates.contains(&group).then(|| self.ownership.owner_hint(&group))??;
            Some((group, owner.clone()))
        });
        SummaryBody {
            models_ready: self.demand_routing.ready_models(),
            memory_free: 0,
            key_ranges: key_ranges.collect(),
            entry_points: vec![self.callers_address.clone()],
            limits_holder: self.limits_owner().cloned(),
        }
    }

    /// Applies a changed summary of another data centre to routing.
    pub(crate) fn on_summary_changed(&mut self, data_centre: &DataCentreId, now: Instant) {
        let Some(body) = self.membership.summary(now, data_centre).and_then(|s| s.body.clone())
        else {
            return;
        };
        if let Some(entry_point) = body.entry_points.first() {
            self.requests.entry_points.insert(data_centre.clone(), entry_point.clone());
        }
        let free_capacity = body.models_ready.iter().map(|model| (model.clone(), 1)).collect();
        let summary = DataCentreSummary { data_centre: data_centre.clone(), free_capacity };
        self.requests.router.apply_summary(summary, now);
    }
}
