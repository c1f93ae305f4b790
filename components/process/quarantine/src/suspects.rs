//! Suspicion against properties, and the bans that follow from it.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::ban::term;
use crate::recent_keys::RecentKeys;
use crate::{Ban, CrashId, PropertyKey, PublishedBan};

/// Ends of servers that ban a property.
const MIN_CRASHES: usize = 2;
/// Further ends that it takes if requests with the property were answered before.
const ANSWERED_ALLOWANCE: usize = 2;
/// Least time between the first and the last end that ban such a property. When many servers end
/// together, requests elsewhere are answered meanwhile.
const MIN_SPREAD_OF_ANSWERED: Duration = Duration::from_secs(1);
/// Time after which the end of a server no longer counts.
const SUSPICION_TTL: Duration = Duration::from_secs(60);
/// Most suspects; the oldest ones are dropped.
const MAX_SUSPECTS: usize = 512;
/// Most suspects that are published.
const MAX_WATCHED: usize = 64;
/// Most ends of servers with a known cause that are remembered.
const MAX_EXPLAINED: usize = 256;
/// Most bans.
const MAX_BANS: usize = 64;
/// Time for which properties that were taken out of a ban stay out of the bans of others, who may
/// not know of it yet.
const CLEARED_TTL: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct Suspect {
    /// Ends of servers under a request with the property since the last answer to one, less those
    /// with another known cause.
    crashes: BTreeSet<CrashId>,
    first_at: Instant,
    last_at: Instant,
}

/// What an instance knows of properties that end servers.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<PropertyKey, Suspect>,
    answered: RecentKeys,
    bans: Vec<Ban>,
    /// Properties that were lately taken out of a ban, and until when they stay out of those of
    /// others.
    cleared: HashMap<PropertyKey, Instant>,
    /// Bans that the leader does not publish, as after its restart.
    unpublished: Vec<PublishedBan>,
    /// Ends of servers that a banned property explains.
    explained: VecDeque<CrashId>,
    /// Suspects for which the leader asks whether requests with them were answered.
    watched: HashSet<PropertyKey>,
    /// Watched properties of requests that were answered since the last report to the leader.
    new_answers: BTreeSet<PropertyKey>,
}

impl Quarantine {
    /// The ban that keeps requests with these properties from the servers longest.
    pub fn ban(&self, properties: &[PropertyKey], now: Instant) -> Option<&Ban> {
        let bans = self.bans.iter().filter(|ban| ban.forgotten_at > now && ban.covers(properties));
        bans.max_by_key(|ban| ban.until)
    }

    /// Records that a request with these properties was refused because of a ban.
    pub fn record_refusal(&mut self, properties: &[PropertyKey], now: Instant) {
        let bans = self.bans.iter_mut().filter(|ban| ban.covers(properties));
        bans.for_each(|ban| ban.record_refusal(now));
    }

    /// Whether a request with these properties may be sent to test a ban that has ended. The leader
    /// does this first; `spread` in `0..1` tells other instances apart.
    pub fn may_test(
        &self,
        properties: &[PropertyKey],
        now: Instant,
        is_leader: bool,
        spread: f64,
    ) -> bool {
        let mut bans =
            self.bans.iter().filter(|ban| ban.forgotten_at > now && ban.covers(properties));
        bans.all(|ban| {
            let test_at = if is_leader { ban.until } else { ban.late_test_at(spread) };
            test_at <= now
        })
    }

    /// Records that a server ended under a request that it had not begun to answer. Returns the ban
    /// that follows.
    pub fn record_crash(
        &mut self,
        crash: CrashId,
        properties: &[PropertyKey],
        now: Instant,
    ) -> Option<Ban> {
        self.expire(now);
        if self.explained.contains(&crash) {
            return None;
        }
        if let Some(ban) = self.bans.iter_mut().find(|ban| ban.covers(properties)) {
            // Requests that were under way when the ban began do not prolong it.
            let is_renewed = ban.until <= now;
            if is_renewed {
                ban.renew(now);
            }
            let ban = ban.clone();
            self.explain(&BTreeSet::from([crash]), &ban.properties);
            return is_renewed.then_some(ban);
        }
        for key in properties {
            let suspect = self.suspects.entry(*key).or_insert_with(|| Suspect {
                crashes: BTreeSet::new(),
                first_at: now,
                last_at: now,
            });
            suspect.crashes.insert(crash);
            suspect.last_at = now;
        }
        let level = properties.iter().map(|key| self.level(*key)).max()?;
        if level < MIN_CRASHES {
            return None;
        }
        let banned = properties.iter().filter(|key| self.level(**key) == level);
        let banned: Box<[PropertyKey]> = banned.copied().collect();
        let causes = self.suspects.get(banned.first()?)?.crashes.clone();
        let was_answered = banned.iter().any(|key| self.answered.contains(*key));
        // A ban of fewer properties covers the requests of those that name further ones.
        self.bans.retain(|ban| !banned.iter().all(|key| ban.properties.contains(key)));
        self.explain(&causes, &banned);
        let ban = Ban::new(banned, now + term(1), now, was_answered);
        if self.bans.len() >= MAX_BANS {
            self.bans.remove(0);
        }
        self.bans.push(ban.clone());
        Some(ban)
    }

    /// Ends of servers that speak against a property, less an allowance if requests with it were
    /// answered before.
    fn level(&self, key: PropertyKey) -> usize {
        let Some(suspect) = self.suspects.get(&key) else { return 0 };
        if !self.answered.contains(key) {
            return suspect.crashes.len();
        }
        if suspect.last_at.saturating_duration_since(suspect.first_at) < MIN_SPREAD_OF_ANSWERED {
            return 0;
        }
        suspect.crashes.len().saturating_sub(ANSWERED_ALLOWANCE)
    }

    /// Notes that one of `causes` caused these ends, so that they no longer speak against anything
    /// else. They still tell the causes apart if these are several.
    fn explain(&mut self, crashes: &BTreeSet<CrashId>, causes: &[PropertyKey]) {
        for (key, suspect) in &mut self.suspects {
            if !causes.contains(key) {
                suspect.crashes.retain(|crash| !crashes.contains(crash));
            }
        }
        self.suspects.retain(|_, suspect| !suspect.crashes.is_empty());
        self.explained.extend(crashes);
        let excess = self.explained.len().saturating_sub(MAX_EXPLAINED);
        self.explained.drain(..excess);
    }

    /// Records that a request was answered, which clears its properties. Returns whether a ban
    /// changed.
    pub fn record_answer(&mut self, properties: &[PropertyKey], now: Instant) -> bool {
        for key in properties {
            self.answered.insert(*key);
            self.suspects.remove(key);
            if self.watched.contains(key) {
                self.new_answers.insert(*key);
            }
        }
        self.clear_banned(now, |key| properties.contains(&key))
    }

    /// Records properties of requests that another instance answered some time before a server
    /// ended, which is weaker than an answer after it. Returns whether a ban changed.
    pub fn record_former_answers(&mut self, properties: &[PropertyKey], now: Instant) -> bool {
        properties.iter().for_each(|key| self.answered.insert(*key));
        let is_weak = |ban: &Ban| !ban.was_answered;
        let weak: Vec<PropertyKey> = self
            .bans
            .iter()
            .filter(|ban| is_weak(ban))
            .flat_map(|ban| ban.properties.to_vec())
            .collect();
        self.clear_banned(now, |key| properties.contains(&key) && weak.contains(&key))
    }

    /// Takes sound properties out of the bans. A ban of several properties narrows to the others.
    fn clear_banned(&mut self, now: Instant, is_sound: impl Fn(PropertyKey) -> bool) -> bool {
        let mut has_changed = false;
        for ban in &mut self.bans {
            let (sound, others): (Vec<_>, Vec<_>) =
                ban.properties.iter().partition(|key| is_sound(**key));
            if !sound.is_empty() {
                has_changed = true;
                ban.properties = others.into();
                self.cleared.extend(sound.into_iter().map(|key| (key, now + CLEARED_TTL)));
            }
        }
        self.bans.retain(|ban| !ban.properties.is_empty());
        has_changed
    }

    /// Forgets old suspects and bans.
    fn expire(&mut self, now: Instant) {
        self.bans.retain(|ban| ban.forgotten_at > now);
        self.cleared.retain(|_, until| *until > now);
        self.suspects.retain(|_, s| now.saturating_duration_since(s.last_at) < SUSPICION_TTL);
        if self.suspects.len() > MAX_SUSPECTS {
            let mut times: Vec<Instant> = self.suspects.values().map(|s| s.last_at).collect();
            times.sort_unstable();
            let oldest = times[times.len() - MAX_SUSPECTS / 2];
            self.suspects.retain(|_, suspect| suspect.last_at >= oldest);
        }
    }

    /// Number of entries of all kinds.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.suspects.len()
            + self.answered.len()
            + self.bans.len()
            + self.explained.len()
            + self.cleared.len()
            + self.unpublished.len()
            + self.new_answers.len()
            + self.watched.len()
    }

    /// Whether there is any ban.
    pub fn has_bans(&self) -> bool {
        !self.bans.is_empty()
    }

    /// All bans.
    pub fn published_bans(&self, now: Instant) -> Vec<PublishedBan> {
        self.bans.iter().map(|ban| ban.published(now)).collect()
    }

    /// Suspects for which the other instances should say whether requests with them were answered.
    pub fn watch_list(&self) -> Vec<PropertyKey> {
        let suspects = self.suspects.keys().copied().filter(|key| self.level(*key) > 0);
        let banned = self.bans.iter().flat_map(|ban| ban.properties.iter().copied());
        let mut keys: Vec<PropertyKey> = banned.chain(suspects).take(MAX_WATCHED).collect();
        keys.sort_unstable();
        keys.dedup();
        keys
    }

    /// Properties that were lately taken out of a ban.
    pub fn cleared(&self, now: Instant) -> Vec<PropertyKey> {
        let cleared = self.cleared.iter().filter(|(_, until)| **until > now);
        cleared.map(|(key, _)| *key).take(MAX_WATCHED).collect()
    }

    /// Takes over bans of another instance, without the properties that were cleared meanwhile.
    pub fn merge(&mut self, published: &[PublishedBan], now: Instant) {
        self.expire(now);
        for ban in published {
            let mut ban = Ban::from_published(ban, now);
            let is_weak = !ban.was_answered;
            let is_sound = |key: &PropertyKey| {
                self.cleared.contains_key(key) || is_weak && self.answered.contains(*key)
            };
            let (sound, others): (Vec<_>, Vec<_>) =
                ban.properties.iter().copied().partition(is_sound);
            self.cleared.extend(sound.into_iter().map(|key| (key, now + CLEARED_TTL)));
            ban.properties = others.into();
            let is_covered = self
                .bans
                .iter()
                .any(|known| known.until >= ban.until && known.covers(&ban.properties));
            if ban.properties.is_empty() || self.bans.len() >= MAX_BANS {
                continue;
            }
            match self.bans.iter_mut().find(|known| known.properties == ban.properties) {
                Some(known) => {
                    known.until = known.until.max(ban.until);
                    known.forgotten_at = known.forgotten_at.max(known.until + term(ban.count));
                    known.count = known.count.max(ban.count);
                }
                None if is_covered => {}
                None => self.bans.push(ban),
            }
        }
    }

    /// Follows the leader, which publishes all bans that it knows of and what it cleared.
    pub fn follow_leader(
        &mut self,
        published: &[PublishedBan],
        cleared: &[PropertyKey],
        watched: &[PropertyKey],
        now: Instant,
    ) {
        self.clear_banned(now, |key| cleared.contains(&key));
        self.merge(published, now);
        let is_published = |ban: &PublishedBan| {
            published
                .iter()
                .any(|known| known.properties.iter().all(|k| ban.properties.contains(k)))
        };
        self.unpublished = self.published_bans(now);
        self.unpublished.retain(|ban| !is_published(ban));
        self.watched = watched.iter().copied().collect();
    }

    /// Bans that the leader does not publish.
    pub fn unpublished(&self) -> &[PublishedBan] {
        &self.unpublished
    }

    /// Watched properties of requests that this instance answered since the last call, and those
    /// that it answered some time before.
    pub fn take_answers(&mut self) -> (Vec<PropertyKey>, Vec<PropertyKey>) {
        let new = std::mem::take(&mut self.new_answers).into_iter().collect();
        let former = self.watched.iter().copied().filter(|key| self.answered.contains(*key));
        (new, former.collect())
    }
}
