//! Sends demand, arrival counts and idempotency claims to their owners, and handles demand and
//! arrival counts as an owner.

use std::rc::Rc;

use idempotency::range_of;
use ownership::GroupObject;
use platform::Call;
use types::object::ObjectKey;
use types::prelude::*;

use crate::directory::key_group;
use crate::event::Event;
use crate::held_reply::HeldReply;
use crate::instance::Instance;
use crate::keys::Claimant;
use crate::message::{
    ArrivalCount, ClaimMessage, DemandMessage, DemandReply, FinishMessage, PeerMessage, PeerReply,
    deadline_in, remaining_ms,
};
use crate::requests::RequestAction;

/// Timeout for an owner to answer a demand or the end of a recorded call.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for the answer to a claim to arrive after the time by which the owner must decide.
const CLAIM_ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// Maximum time for a claim to be decided, which needs the platform.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the end of a recorded call is sent to the owner again.
const FINISH_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The retries cover the takeover of a key range, which takes about 10 s.
const MAX_FINISH_RETRIES: u32 = 30;

impl Instance {
    /// Answers demand as the owner of a group; returns `None` if this instance does not own it.
    pub(crate) fn on_demand(
        &mut self,
        from: InstanceId,
        message: DemandMessage,
        now: Instant,
    ) -> Option<DemandReply> {
        if !self.owned.contains_key(&message.group) {
            return None;
        }
        let deadline = deadline_in(message.remaining_ms, now);
        let demand = placement::Demand {
            from,
            target: message.target,
            waiting: message.waiting,
            worth_milli: message.worth_milli,
            deadline,
        };
        let mut reply = None;
        self.with_group(&message.group, now, |owned, wall, rng| {
            reply = Some(owned.on_demand(demand, now, wall, rng));
        });
        reply
    }

    /// Handles an owner's answer to a demand; `None` if the owner did not answer.
    pub(crate) fn on_demand_reply(
        &mut self,
        target: Target,
        group: GroupId,
        reply: Option<DemandReply>,
        now: Instant,
    ) {
        match reply {
            Some(DemandReply::ReadyIn { ms }) => {
                let ready_at = deadline_in(ms, now);
                self.requests.on_expected(&target, Some(ready_at), now);
            }
            Some(DemandReply::Unreachable) => {
                self.demand_routing.record_refusal(&target.model, &group, now);
                let candidates = self.directory.groups_by_preference(&target.model);
                if self.demand_routing.group_for(&target.model, &candidates, now).is_none() {
                    self.requests.on_expected(&target, None, now);
                }
            }
            // The owner is unreachable; demand is sent again while requests wait.
            None => {}
        }
    }

    /// Passes arrival counts on to those groups of the models that this instance owns.
    pub(crate) fn on_arrival_counts(&mut self, counts: Vec<ArrivalCount>, now: Instant) {
        for count in counts {
            let candidates = self.directory.groups_by_preference(&count.model);
            let Some(group) = self.demand_routing.group_for(&count.model, &candidates, now) else {
                continue;
            };
            if !self.owned.contains_key(&group) {
                continue;
            }
            let arrival = placement::Arrival {
                model: count.model,
                count: count.count,
                worth_milli: count.worth_milli,
                deadline: deadline_in(count.remaining_ms, now),
            };
            self.with_group(&group, now, |owned, wall, rng| {
                owned.on_arrivals(arrival, now, wall, rng);
            });
        }
    }

    /// Reports the arrivals of each model to the owner of its group.
    pub(crate) fn report_arrivals(&mut self, now: Instant) {
        let mut by_owner: BTreeMap<InstanceId, Vec<ArrivalCount>> = BTreeMap::new();
        for (model, count) in std::mem::take(&mut self.requests.arrivals) {
            let candidates = self.directory.groups_by_preference(&model);
            let group = self.demand_routing.group_for(&model, &candidates, now);
            let owner = group.and_then(|group| self.ownership.owner_hint(&group).cloned());
            if let Some(owner) = owner {
                by_owner.entry(owner).or_default().push(count);
            }
        }
        for (owner, counts) in by_owner {
            if owner == self.cx.instance {
                self.on_arrival_counts(counts, now);
            } else {
                self.send(&owner, PeerMessage::Arrivals(counts));
            }
        }
    }

    /// Carries out an action of the requests.
    pub(crate) fn on_request_action(&mut self, action: RequestAction, now: Instant) {
        match action {
            RequestAction::SendDemand { target, waiting, worth_milli, deadline } => {
                self.send_demand(target, waiting, worth_milli, deadline, now);
            }
            RequestAction::ClaimKey { ticket, key, fingerprint, decide_by } => {
                let decide_by = decide_by.min(now + CLAIM_TIMEOUT);
                let within = remaining_ms(decide_by, now);
                let message = ClaimMessage { key, fingerprint, decide_within_ms: within };
                self.send_claim(ticket, message, decide_by, now);
            }
            RequestAction::FinishCall(message, reply) => self.send_finish(message, reply, 0, now),
        }
    }

    fn send_demand(
        &mut self,
        target: Target,
        waiting: u32,
        worth_milli: u32,
        deadline: Instant,
        now: Instant,
    ) {
        let candidates = self.directory.groups_by_preference(&target.model);
        let holder = match target.adapter {
            Some(_) => self.demand_routing.holder(&target.model, &candidates),
            None => None,
        };
        let group =
            holder.or_else(|| self.demand_routing.group_for(&target.model, &candidates, now));
        let Some(group) = group else {
            return self.requests.on_expected(&target, None, now);
        };
        let message = DemandMessage {
            group: group.clone(),
            target: target.clone(),
            waiting,
            worth_milli,
            remaining_ms: remaining_ms(deadline, now),
        };
        if self.owned.contains_key(&group) {
            let reply = self.on_demand(self.cx.instance.clone(), message, now);
            return self.on_demand_reply(target, group, reply, now);
        }
        let Some(owner) = self.ownership.owner_hint(&group) else { return };
        let Some(address) = self.address_of(owner) else { return };
        let exchange = self.cx.exchange(address, PeerMessage::Demand(message), now + OWNER_TIMEOUT);
        self.cx.spawn(async move {
            let reply = match exchange.await {
                Some(PeerReply::Demand(reply)) => Some(reply),
                _ => None,
            };
            Event::Demand { target, group, reply }
        });
    }

    fn send_claim(
        &mut self,
        ticket: admission::Ticket,
        message: ClaimMessage,
        decide_by: Instant,
        now: Instant,
    ) {
        if self.keys.owns(&message.key) {
            let wall = SystemTime::now();
            return self.keys.claim(message, Claimant::Own(ticket), now, wall);
        }
        let range = range_of(&message.key);
        let owner = self.key_owner(range, now);
        let Some(address) = owner.and_then(|owner| self.address_of(&owner)) else {
            return self.look_up_key_owner(ticket, message, decide_by, now);
        };
        let deadline = decide_by + CLAIM_ANSWER_MARGIN;
        let exchange = self.cx.exchange(address, PeerMessage::Claim(message), deadline);
        self.cx.spawn(async move {
            let answer = match exchange.await {
                Some(PeerReply::Claim(answer)) => Some(answer),
                _ => None,
            };
            Event::Claim { ticket, answer }
        });
    }

    /// Reads the owner of a key range from the platform when no summary has named it yet.
    fn look_up_key_owner(
        &mut self,
        ticket: admission::Ticket,
        message: ClaimMessage,
        decide_by: Instant,
        now: Instant,
    ) {
        let range = range_of(&message.key);
        if self.key_owners.was_read_recently(range, now) {
            return self.requests.on_claim(&self.cx, ticket, None, now);
        }
        let client = self.cx.platform.clone();
        self.cx.spawn(async move {
            let key = ObjectKey::new("group", key_group(range));
            let object = client.get::<GroupObject>(&key, Call::with_deadline(decide_by)).await;
            let owner = object.ok().flatten().and_then(|object| object.value.owner);
            Event::KeyOwner { range, owner, claim: (ticket, message, decide_by) }
        });
    }

    /// Stores the owner of a key range that was read from the platform, and sends the claim again.
    pub(crate) fn on_key_owner(
        &mut self,
        range: u32,
        owner: Option<InstanceId>,
        (ticket, message, decide_by): (admission::Ticket, ClaimMessage, Instant),
        now: Instant,
    ) {
        self.key_owners.set(range, owner, now);
        self.send_claim(ticket, message, decide_by, now);
    }

    /// Notifies the owner of a key range how a recorded call ended. Until the owner knows, retries
    /// of the call get no answer before the record expires, so the message is sent again until the
    /// owner confirms it, at most [`MAX_FINISH_RETRIES`] times.
    pub(crate) fn send_finish(
        &mut self,
        message: FinishMessage,
        reply: Option<HeldReply>,
        retries: u32,
        now: Instant,
    ) {
        let range = range_of(&message.key);
        if self.keys.owns(&message.key) {
            self.keys.finish(message);
            if let Some(reply) = reply {
                reply.send();
            }
            return;
        }
        if retries >= MAX_FINISH_RETRIES {
            tracing::warn!("idempotency: the end of a call was not recorded; range {range}");
            return;
        }
        let owner = self.key_owner(range, now);
        let address = owner.and_then(|owner| self.address_of(&owner));
        let exchange = address.map(|address| {
            let finish = PeerMessage::Finish(message.clone());
            self.cx.exchange(address, finish, now + OWNER_TIMEOUT)
        });
        let events = self.cx.events.clone();
        let drain_guard = reply.is_some().then(|| Rc::clone(&self.held_replies));
        tokio::task::spawn_local(async move {
            let notify_owner = async {
                match exchange {
                    Some(exchange) => exchange.await,
                    None => None,
                }
            };
            let answer = HeldReply::send_after(reply, notify_owner).await;
            drop(drain_guard);
            if !matches!(answer, Some(PeerReply::Taken)) {
                tokio::time::sleep(FINISH_RETRY_DELAY).await;
                // The loop is gone only when the process stops.
                let _ = events.send(Event::RetryFinish { message, retries: retries + 1 });
            }
        });
    }
}
