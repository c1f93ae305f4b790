//! Failure detection: silent members become suspects and then fail.

use types::prelude::*;

use crate::member::Member;
use crate::{Action, MemberState, Membership, Rumour};

/// Additional delay until a suspect that this instance does not watch itself is considered failed.
/// The members that watch it decide first, and a refutation has time to arrive.
const INDIRECT_FAIL_DELAY: Duration = Duration::from_secs(6);
/// Time after which this instance probes a suspect that it does not watch itself. The refutation
/// may have missed this instance, because a rumour is sent only a bounded number of times.
const INDIRECT_PROBE_DELAY: Duration = Duration::from_secs(3);

impl Membership {
    /// When the next member becomes a suspect or fails.
    pub(crate) fn next_detection(&self) -> Option<Instant> {
        self.watched_or_suspected().filter_map(|member| self.deadline(member)).min()
    }

    /// Members that this instance watches, and suspects.
    fn watched_or_suspected(&self) -> impl Iterator<Item = &Member> {
        let watched = self.watched.iter().filter_map(|name| self.members.get(name));
        let suspects = self.suspects.iter().filter_map(|name| self.members.get(name));
        watched.chain(suspects)
    }

    /// Suspects to which this instance sends a heartbeat that asks for an answer.
    pub(crate) fn probe_targets(&self, now: Instant) -> Vec<InstanceId> {
        let needs_probe = |member: &Member| now >= member.changed_at + INDIRECT_PROBE_DELAY;
        let mut names: Vec<InstanceId> = self.suspects.iter().cloned().collect();
        names.retain(|name| {
            self.watched.contains(name) || self.members.get(name).is_some_and(needs_probe)
        });
        names
    }

    fn deadline(&self, member: &Member) -> Option<Instant> {
        let watched = self.watched.contains(&member.rumour.instance);
        match member.rumour.state {
            MemberState::Live if watched => Some(member.last_heard? + self.cfg.suspect_after),
            MemberState::Suspect if watched => {
                // Counts from the last heartbeat, but leaves the suspect time to refute.
                let refutable = member.changed_at + self.cfg.heartbeat_interval;
                Some((member.last_heard? + self.cfg.fail_after).max(refutable))
            }
            MemberState::Suspect => {
                let remaining = self.cfg.fail_after - self.cfg.suspect_after;
                Some(member.changed_at + remaining + INDIRECT_FAIL_DELAY)
            }
            _ => None,
        }
    }

    /// Moves members whose deadline has passed to the next state, `Suspect` or `Failed`.
    pub(crate) fn detect(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let expired: Vec<Rumour> = self
            .watched_or_suspected()
            .filter(|member| self.deadline(member).is_some_and(|at| at <= now))
            .map(|member| {
                let state = match member.rumour.state {
                    MemberState::Live => MemberState::Suspect,
                    _ => MemberState::Failed,
                };
                Rumour { state, ..member.rumour.clone() }
            })
            .collect();
        for rumour in expired {
            tracing::info!("membership: {} is now {:?}", rumour.instance, rumour.state);
            // Sends the rumour at once, because the suspect has only the remaining time to refute.
            self.next_heartbeat = now;
            self.merge(now, &rumour, true, &mut actions);
        }
        actions
    }
}
