//! Messages from other instances.

use peer::{Frame, IncomingFrame};
use tokio::sync::oneshot;
use types::prelude::*;

use crate::instance::Instance;
use crate::keys::Claimant;
use crate::message::{PeerMessage, PeerReply};

impl Instance {
    /// Takes a message and answers it.
    pub(crate) fn on_peer(&mut self, incoming: IncomingFrame, now: Instant) {
        let IncomingFrame { frame, reply } = incoming;
        let message = match frame.decode::<PeerMessage>() {
            Ok(message) => message,
            Err(e) => {
                tracing::warn!("peer: message of {} dropped: {e}", frame.instance);
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
                let is_away = self.cx.platform.is_failing();
                PeerReply::Share(self.shares.grant(&request, is_away, now))
            }
            PeerMessage::ShareWants(wants) => self.on_share_wants(&wants, now),
            other => {
                self.on_one_way(&from, other, now);
                PeerReply::Taken
            }
        };
        self.answer(reply, &answer);
        self.settle(now);
    }

    fn on_one_way(&mut self, from: &InstanceId, message: PeerMessage, now: Instant) {
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
                    let known = self.announced.entry(group.clone()).or_default();
                    *known = (*known).max(*fencing);
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
            PeerMessage::ShareState(state) => self.shares.on_handed_over(state),
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
            return self.answer(reply, &PeerReply::NotOwner);
        }
        let (tx, rx) = oneshot::channel();
        let cx = self.cx.clone();
        tokio::task::spawn_local(async move {
            if let Ok(answer) = rx.await {
                send_answer(&cx.instance, cx.incarnation, reply, &PeerReply::Claim(answer));
            }
        });
        self.keys.claim(message, Claimant::Peer(tx), now, SystemTime::now());
        self.settle(now);
    }

    fn answer(&self, reply: oneshot::Sender<Frame>, answer: &PeerReply) {
        send_answer(&self.cx.instance, self.cx.incarnation, reply, answer);
    }
}

fn send_answer(
    instance: &str,
    incarnation: Incarnation,
    reply: oneshot::Sender<Frame>,
    answer: &PeerReply,
) {
    match Frame::encode(instance, incarnation, answer) {
        // The other instance may have given up waiting.
        Ok(frame) => drop(reply.send(frame)),
        Err(e) => tracing::error!("peer: answer not encoded: {e}"),
    }
}
