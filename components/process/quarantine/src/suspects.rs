//! Suspicion against properties, and the bans that follow from it.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::ban::{millis, term};
use crate::property::is_prompt;
use crate::recent_keys::RecentKeys;
use crate::{Ban, CrashId, PropertyKey, PublishedBan};

/// Ends of servers that ban a property.
const MIN_CRASHES: usize = 2;
/// Further ends that it takes if requests with the property were answered before the first one.
const ANSWERED_ALLOWANCE: usize = 1;
/// Least time between the first and the last end that ban such a property. When many servers end
/// together, requests elsewhere are answered meanwhile. Those answers are known by then: an end
/// reaches the leader, the watch list the other instances and their answers the leader within about
/// a quarter of a second each.
const MIN_SPREAD_OF_ANSWERED: Duration = Duration::from_secs(1);
/// Time after which the end of a server no longer counts.
const SUSPICION_TTL: Duration = Duration::from_secs(60);
/// Most suspects, prompts aside; the oldest ones are dropped.
const MAX_SUSPECTS: usize = 512;
/// Most suspects that are prompts. Each lost request adds one.
const MAX_SUSPECT_PROMPTS: usize = 128;
/// Most suspects that are published, prompts aside.
const MAX_WATCHED: usize = 64;
/// Most prompts that are published.
const MAX_WATCHED_PROMPTS: usize = 16;
/// Most ends of servers with a known cause that are remembered.
const MAX_EXPLAINED: usize = 256;
/// Most bans.
const MAX_BANS: usize = 64;
/// Time for which properties that were taken out of a ban stay out of earlier bans of others, who
/// may not know of it yet.
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
    /// Properties of answered requests, and when one was last answered.
    answered: RecentKeys,
    bans: Vec<Ban>,
    /// Properties that were lately taken out of a ban, and when. They stay out of bans of others
    /// that began before.
    cleared: HashMap<PropertyKey, Instant>,
    /// Properties of bans that the leader does not publish, as after its restart.
    unpublished: Vec<Box<[PropertyKey]>>,
    /// Ends of servers that a banned property explains.
    explained: VecDeque<CrashId>,
    /// Suspects for which the leader asks whether requests with them were answered.
    watched: HashSet<PropertyKey>,
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
        self.record_crash_at(now, crash, properties, now)
    }

    /// Records what another instance saw this many milliseconds ago, which may be a repetition.
    pub fn record_crash_elsewhere(
        &mut self,
        crash: CrashId,
        properties: &[PropertyKey],
        age_ms: u32,
        now: Instant,
    ) -> Option<Ban> {
        self.record_crash_at(ago(now, age_ms).unwrap_or(now), crash, properties, now)
    }

    fn record_crash_at(
        &mut self,
        at: Instant,
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
            if self.answered.last(*key).is_some_and(|answered_at| answered_at > at) {
                continue;
            }
            let suspect = self.suspects.entry(*key).or_insert_with(|| Suspect {
                crashes: BTreeSet::new(),
                first_at: at,
                last_at: at,
            });
            suspect.crashes.insert(crash);
            suspect.first_at = suspect.first_at.min(at);
            suspect.last_at = suspect.last_at.max(at);
        }
        let level = properties.iter().map(|key| self.level(*key)).max()?;
        if level < MIN_CRASHES {
            return None;
        }
        let banned = properties.iter().filter(|key| self.level(**key) == level);
        let banned: Box<[PropertyKey]> = banned.copied().collect();
        let causes = self.suspects.get(banned.first()?)?.crashes.clone();
        let first_ends = banned.iter().filter_map(|key| Some(self.suspects.get(key)?.first_at));
        let first_end_at = first_ends.min().unwrap_or(now);
        let was_answered = banned.iter().any(|key| self.answered.contains(*key));
        // A ban of fewer properties covers the requests of those that name further ones.
        self.bans.retain(|ban| !banned.iter().all(|key| ban.properties.contains(key)));
        self.explain(&causes, &banned);
        let ban = Ban::new(banned, first_end_at, now, was_answered);
        if self.bans.len() >= MAX_BANS {
            self.bans.remove(0);
        }
        self.bans.push(ban.clone());
        Some(ban)
    }

    /// Ends of servers that speak against a property, less an allowance if requests with it were
    /// answered before. An answer since the first end has removed the suspect.
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
            self.answered.insert(*key, now);
            self.suspects.remove(key);
        }
        self.clear_banned(now, |key, _| properties.contains(&key))
    }

    /// Records properties of requests that another instance answered, with the milliseconds since
    /// the last answer. An answer since the first end of a server that speaks against the property
    /// clears it; a former one only speaks for it. Returns whether a ban changed.
    pub fn record_answers_elsewhere(
        &mut self,
        answers: &[(PropertyKey, u32)],
        now: Instant,
    ) -> bool {
        for &(key, age_ms) in answers {
            let Some(at) = ago(now, age_ms) else { continue };
            self.answered.insert(key, at);
            if self.suspects.get(&key).is_some_and(|suspect| suspect.first_at < at) {
                self.suspects.remove(&key);
            }
        }
        self.clear_answered(now)
    }

    /// Records properties of requests that were answered at some time before the first end of a
    /// server that speaks against them. Returns whether a ban changed.
    pub fn record_former_answers(&mut self, properties: &[PropertyKey], now: Instant) -> bool {
        for key in properties {
            let suspected = self.suspects.get(key).map(|suspect| suspect.first_at);
            let bans = self.bans.iter().filter(|ban| ban.properties.contains(key));
            let first_end = bans.map(|ban| ban.first_end_at).chain(suspected).min();
            self.answered.insert(*key, first_end.unwrap_or(now));
        }
        self.clear_answered(now)
    }

    /// Takes properties whose answers speak against the ban out of the bans.
    fn clear_answered(&mut self, now: Instant) -> bool {
        let answered = std::mem::take(&mut self.answered);
        let has_changed = self.clear_banned(now, |key, ban| is_refuted(ban, answered.last(key)));
        self.answered = answered;
        has_changed
    }

    /// Takes sound properties out of the bans. A ban of several properties narrows to the others.
    fn clear_banned(&mut self, now: Instant, is_sound: impl Fn(PropertyKey, &Ban) -> bool) -> bool {
        let mut has_changed = false;
        for ban in &mut self.bans {
            let (sound, others): (Vec<_>, Vec<_>) =
                ban.properties.iter().partition(|key| is_sound(**key, ban));
            if !sound.is_empty() {
                has_changed = true;
                ban.properties = others.into();
                self.cleared.extend(sound.into_iter().map(|key| (key, now)));
            }
        }
        self.bans.retain(|ban| !ban.properties.is_empty());
        has_changed
    }

    /// Forgets old suspects and bans.
    fn expire(&mut self, now: Instant) {
        self.bans.retain(|ban| ban.forgotten_at > now);
        self.cleared.retain(|_, at| now.saturating_duration_since(*at) < CLEARED_TTL);
        self.suspects.retain(|_, s| now.saturating_duration_since(s.last_at) < SUSPICION_TTL);
        self.drop_oldest_suspects(MAX_SUSPECTS, |key| !is_prompt(key));
        self.drop_oldest_suspects(MAX_SUSPECT_PROMPTS, is_prompt);
    }

    /// Keeps half of `max` suspects of a kind if there are more than `max`.
    fn drop_oldest_suspects(&mut self, max: usize, is_kind: impl Fn(PropertyKey) -> bool) {
        let suspects = self.suspects.iter().filter(|(key, _)| is_kind(**key));
        let mut times: Vec<Instant> = suspects.map(|(_, suspect)| suspect.last_at).collect();
        if times.len() > max {
            times.sort_unstable();
            let oldest = times[times.len() - max / 2];
            self.suspects.retain(|key, suspect| !is_kind(*key) || suspect.last_at >= oldest);
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

    /// Properties for which the other instances should say when a request with them was last
    /// answered: those of the bans, and all suspects from their first end on, those at most ends
    /// first. Prompts have places of their own.
    pub fn watch_list(&self) -> Vec<PropertyKey> {
        let mut suspects: Vec<_> = self.suspects.iter().collect();
        suspects.sort_unstable_by_key(|(key, s)| Reverse((s.crashes.len(), s.last_at, **key)));
        let suspects = suspects.into_iter().map(|(key, _)| *key);
        let banned = self.bans.iter().flat_map(|ban| ban.properties.iter().copied());
        let mut known = HashSet::new();
        let keys = banned.chain(suspects).filter(|key| known.insert(*key));
        let (prompts, others): (Vec<_>, Vec<_>) = keys.partition(|key| is_prompt(*key));
        let others = others.into_iter().take(MAX_WATCHED);
        others.chain(prompts.into_iter().take(MAX_WATCHED_PROMPTS)).collect()
    }

    /// Properties that were lately taken out of a ban, with the milliseconds since then.
    pub fn cleared(&self, now: Instant) -> Vec<(PropertyKey, u32)> {
        let ages = self.cleared.iter().map(|(key, at)| (*key, now.saturating_duration_since(*at)));
        let recent = ages.filter(|(_, age)| *age < CLEARED_TTL).take(MAX_WATCHED);
        recent.map(|(key, age)| (key, millis(age))).collect()
    }

    /// Takes over bans of another instance, without the properties that were cleared since they
    /// began or whose answers speak against them.
    pub fn merge(&mut self, published: &[PublishedBan], now: Instant) {
        self.merge_sent(published, now, now);
    }

    /// Takes over bans that were sent at `sent_at`, as [`Self::merge`] does.
    fn merge_sent(&mut self, published: &[PublishedBan], sent_at: Instant, now: Instant) {
        self.expire(now);
        for ban in published {
            let mut ban = Ban::from_published(ban, sent_at, now);
            let is_sound = |key: &PropertyKey| {
                self.cleared.get(key).is_some_and(|at| *at >= ban.began_at)
                    || is_refuted(&ban, self.answered.last(*key))
            };
            let (sound, others): (Vec<_>, Vec<_>) =
                ban.properties.iter().copied().partition(is_sound);
            self.cleared.extend(sound.into_iter().map(|key| (key, sent_at)));
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
                    known.began_at = known.began_at.max(ban.began_at);
                    known.first_end_at = known.first_end_at.max(ban.first_end_at);
                    known.count = known.count.max(ban.count);
                }
                None if is_covered => {}
                None => self.bans.push(ban),
            }
        }
    }

    /// Follows the leader, which publishes all bans that it knows of and what it cleared. Ages count
    /// from `sent_at`, when the leader sent them. Returns whether that took a property out of a ban.
    pub fn follow_leader(
        &mut self,
        published: &[PublishedBan],
        cleared: &[(PropertyKey, u32)],
        watched: &[PropertyKey],
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let cleared =
            cleared.iter().filter_map(|(key, age_ms)| Some((*key, ago(sent_at, *age_ms)?)));
        let cleared: HashMap<PropertyKey, Instant> = cleared.collect();
        let is_cleared = |key, ban: &Ban| cleared.get(&key).is_some_and(|at| *at >= ban.began_at);
        let has_changed = self.clear_banned(now, is_cleared);
        self.cleared.extend(cleared);
        self.merge_sent(published, sent_at, now);
        let is_published = |ban: &Ban| {
            published
                .iter()
                .any(|known| known.properties.iter().all(|k| ban.properties.contains(k)))
        };
        let unpublished = self.bans.iter().filter(|ban| !is_published(ban));
        self.unpublished = unpublished.map(|ban| ban.properties.clone()).collect();
        self.watched = watched.iter().copied().collect();
        has_changed
    }

    /// Bans that the leader does not publish.
    pub fn unpublished(&self, now: Instant) -> Vec<PublishedBan> {
        let bans = self.bans.iter().filter(|ban| self.unpublished.contains(&ban.properties));
        bans.map(|ban| ban.published(now)).collect()
    }

    /// Watched properties of requests that this instance answered, with the milliseconds since the
    /// last answer.
    pub fn watched_answers(&self, now: Instant) -> Vec<(PropertyKey, u32)> {
        let age_ms = |at: Instant| millis(now.saturating_duration_since(at));
        let answered = |key: &PropertyKey| Some((*key, age_ms(self.answered.last(*key)?)));
        let mut answers: Vec<_> = self.watched.iter().filter_map(answered).collect();
        answers.sort_unstable();
        answers
    }
}

/// The time `age_ms` before `now`, if the clock reaches back so far.
fn ago(now: Instant, age_ms: u32) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(u64::from(age_ms)))
}

/// Whether the last answer to a request with a banned property speaks against the ban: one since
/// the first end, or any one if the ban supposes that there was none.
fn is_refuted(ban: &Ban, last_answer: Option<Instant>) -> bool {
    last_answer.is_some_and(|at| !ban.was_answered || at > ban.first_end_at)
}
