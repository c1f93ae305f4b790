//! Handles messages from other instances.

use peer::{Frame, IncomingFrame};
use tokio::sync::oneshot;
use types::prelude::*;

use crate::instance::Instance;
use crate::keys::Claimant;
use crate::message::{PeerMessage, PeerReply};

impl Instance {
    /// Handles a message and replies to it.
    pub(crate) fn on_message(&mut self, incoming: IncomingFrame, now: Instant) {
        let IncomingFrame { frame, reply } = incoming;
        let message = match frame.decode::<PeerMessage>() {
            Ok(message) => message,
            Err(e) => {
                tracing::warn!("peer: message from {} dropped: {e}", frame.instance);
                return;
            }
        };
        let from = frame.instance;
        let answer = match message {
            PeerMessage::Claim(message) => return self.on_claim_message(message, reply, now),
            PeerMessage::Demand(demand) => match self.on_demand(from, demand, now) {
                Some(reply) => PeerReply::Demand(reply),
                None => PeerReply::NotOwner,
            },
            PeerMessage::Finish(message) => match self.keys.finish(message) {
                true => PeerReply::Taken,
                false => PeerReply::NotOwner,
            },
            PeerMessage::Share(request) => {
                let is_failing = self.cx.platform.is_failing();
                PeerReply::Share(self.shares.grant(&request, is_failing, now))
            }
            PeerMessage::ShareWants(request) => self.on_parts_request(&request, now),
            other => {
                self.on_notification(&from, other, now);
                PeerReply::Taken
            }
        };
        self.send_reply(reply, &answer);
        self.process_outputs(now);
    }

    fn on_notification(&mut self, from: &InstanceId, message: PeerMessage, now: Instant) {
        let rng = self.cx.rng.clone();
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                let actions = self.membership.on_heartbeat(now, &heartbeat, &mut *rng.borrow_mut());
                self.on_membership_actions(actions, now);
            }
            PeerMessage::Summary(summary) => {
                let actions = self.membership.on_summary(now, &summary, &mut *rng.borrow_mut());
                self.on_membership_actions(actions, now);
            }
            PeerMessage::Announcement(announcement) => {
                for (group, fencing) in &announcement.groups {
                    let highest = self.announced_fencing.entry(group.clone()).or_default();
                    *highest = (*highest).max(*fencing);
                }
                let actions = self.ownership.on_announcement(now, &announcement);
                self.on_ownership_actions(actions, now);
            }
            PeerMessage::Handover(handover) => {
                let actions = self.ownership.on_handover(now, &handover, &mut *rng.borrow_mut());
                self.on_ownership_actions(actions, now);
            }
            PeerMessage::Configuration(message) => {
                self.on_configuration_message(from, message, now);
            }
            PeerMessage::GroupState(state) => self.on_group_state(&state, now),
            PeerMessage::GroupChanges(changes) => self.on_group_changes(from, &changes, now),
            PeerMessage::StateWanted(group) => self.send_state(&group, from, now),
            PeerMessage::CacheEvents { replica, events } => {
                self.requests.router.apply_cache_events(&replica, &events);
            }
            PeerMessage::ShareState(state) => self.shares.on_predecessor_state(state),
            PeerMessage::ShareChanged(data_centre) => self.on_share_changed(&data_centre, now),
            PeerMessage::Arrivals(counts) => self.on_arrival_counts(counts, now),
            PeerMessage::Claim(_)
            | PeerMessage::Finish(_)
            | PeerMessage::Demand(_)
            | PeerMessage::Share(_)
            | PeerMessage::ShareWants(_) => {}
        }
    }

    fn on_claim_message(
        &mut self,
        message: crate::message::ClaimMessage,
        reply: oneshot::Sender<Frame>,
        now: Instant,
    ) {
        if !self.keys.owns(&message.key) {
            return self.send_reply(reply, &PeerReply::NotOwner);
        }
        let (tx, rx) = oneshot::channel();
        let cx = self.cx.clone();
        tokio::task::spawn_local(async move {
            if let Ok(answer) = rx.await {
                encode_and_send(&cx.instance, cx.incarnation, reply, &PeerReply::Claim(answer));
            }
        });
        self.keys.claim(message, Claimant::Peer(tx), now, SystemTime::now());
        self.process_outputs(now);
    }

    fn send_reply(&self, reply: oneshot::Sender<Frame>, answer: &PeerReply) {
        encode_and_send(&self.cx.instance, self.cx.incarnation, reply, answer);
    }
}

fn encode_and_send(
    instance: &str,
    incarnation: Incarnation,
    reply: oneshot::Sender<Frame>,
    answer: &PeerReply,
) {
    match Frame::encode(instance, incarnation, answer) {
        // Sending fails if the other instance has stopped waiting.
        Ok(frame) => drop(reply.send(frame)),
        Err(e) => tracing::error!("peer: reply not encoded: {e}"),
    }
}
