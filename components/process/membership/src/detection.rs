//! Suspicion and failure of silent members.

use types::prelude::*;

use crate::member::Member;
use crate::{Action, MemberState, Membership, Rumour};

/// A suspicion by hearsay turns into a failure this much later than one's own: the member that
/// watches decides first, and a refutation has time to arrive.
const INDIRECT_FAIL_DELAY: Duration = Duration::from_secs(6);
/// A suspicion by hearsay that lasts this long is checked directly: the refutation may have missed
/// this instance, as a rumour is sent only a bounded number of times.
const INDIRECT_PROBE_DELAY: Duration = Duration::from_secs(3);

impl Membership {
    /// When the next member is suspected or fails.
    pub(crate) fn next_detection(&self) -> Option<Instant> {
        self.watched_or_suspected().filter_map(|member| self.deadline(member)).min()
    }

    /// Members that are watched or suspected.
    fn watched_or_suspected(&self) -> impl Iterator<Item = &Member> {
        let watched = self.watched.iter().filter_map(|name| self.members.get(name));
        let suspects = self.suspects.iter().filter_map(|name| self.members.get(name));
        watched.chain(suspects)
    }

    /// Suspects that this instance contacts itself.
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
                // Counted from the last heartbeat, but never before the suspect could refute.
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

    /// Suspects and fails members whose time is over.
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
            // Sent at once: the suspect itself has only the rest of the time to refute.
            self.next_heartbeat = now;
            self.merge(now, &rumour, true, &mut actions);
        }
        actions
    }
}
