//! Members of the own data centre and rumours about them.

use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{MemberState, Rumour};

/// What is known of a member.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) rumour: Rumour,
    /// When the member was last heard itself, or when this instance began to expect it.
    pub(crate) heard_at: Instant,
    /// Configuration version that it last named.
    pub(crate) configuration: ConfigurationVersion,
    /// Heartbeats that the present rumour is still to be carried on.
    pub(crate) to_spread: u32,
}

/// All members that were ever heard of and not forgotten.
#[derive(Debug)]
pub(crate) struct Table {
    pub(crate) own: InstanceId,
    pub(crate) members: BTreeMap<InstanceId, Member>,
}

impl Table {
    /// Only this instance.
    pub(crate) fn new(own: Rumour, now: Instant) -> Self {
        let name = own.instance.clone();
        let mut table = Self { own: name, members: BTreeMap::new() };
        table.insert(own, now);
        table
    }

    fn insert(&mut self, rumour: Rumour, now: Instant) {
        let to_spread = self.spread_times();
        let configuration = self.members.get(&rumour.instance).map_or(0, |m| m.configuration);
        let name = rumour.instance.clone();
        self.members.insert(name, Member { rumour, heard_at: now, configuration, to_spread });
    }

    /// Heartbeats that carry one rumour: some more than the logarithm of the members, after which
    /// every member has very probably heard it.
    fn spread_times(&self) -> u32 {
        3 * (self.members.len() as u32 + 2).ilog2() + 3
    }

    /// This instance.
    pub(crate) fn own(&self) -> &Member {
        &self.members[&self.own]
    }

    /// Changes what this instance says of itself.
    pub(crate) fn change_own(&mut self, change: impl FnOnce(&mut Rumour)) {
        let to_spread = self.spread_times();
        if let Some(own) = self.members.get_mut(&self.own) {
            change(&mut own.rumour);
            own.to_spread = to_spread;
        }
    }

    /// Takes a rumour. Returns true if it changed the state of a member.
    pub(crate) fn merge(&mut self, rumour: &Rumour, now: Instant) -> bool {
        if rumour.instance == self.own {
            self.refute(rumour);
            return false;
        }
        let Some(known) = self.members.get(&rumour.instance) else {
            if rumour.state == MemberState::Failed {
                return false;
            }
            self.insert(rumour.clone(), now);
            return true;
        };
        let known = &known.rumour;
        let is_newer = (rumour.generation, rumour.state) > (known.generation, known.state);
        if !is_newer {
            return false;
        }
        let changed = known.state != rumour.state || known.incarnation != rumour.incarnation;
        self.insert(rumour.clone(), now);
        changed
    }

    /// Raises the own generation above a wrong rumour about this instance, or about an earlier run.
    fn refute(&mut self, rumour: &Rumour) {
        let own = &self.own().rumour;
        let is_same_run = rumour.incarnation == own.incarnation;
        let is_worse = (rumour.generation, rumour.state) > (own.generation, own.state);
        if is_worse || (!is_same_run && rumour.generation >= own.generation) {
            let generation = rumour.generation + 1;
            self.change_own(|own| own.generation = generation);
        }
    }

    /// Marks a silent member. Returns true if that changed its state.
    pub(crate) fn mark(&mut self, instance: &str, state: MemberState) -> bool {
        let to_spread = self.spread_times();
        let Some(member) = self.members.get_mut(instance) else { return false };
        if member.rumour.state >= state {
            return false;
        }
        member.rumour.state = state;
        member.to_spread = to_spread;
        true
    }

    /// Members that take part: neither leaving nor failed.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.rumour.state <= MemberState::Suspect)
    }

    /// The peers that `instance` sends its heartbeats to, by rendezvous hashing.
    pub(crate) fn peers_of(&self, instance: &str, count: usize) -> Vec<&Member> {
        let seed = xxhash_rust::xxh3::xxh3_64(instance.as_bytes());
        let mut ranked: Vec<(u64, &Member)> = self
            .live()
            .filter(|member| *member.rumour.instance != *instance)
            .map(|m| (xxh3_64_with_seed(m.rumour.instance.as_bytes(), seed), m))
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        ranked.into_iter().take(count).map(|(_, member)| member).collect()
    }

    /// The delegates of the data centre.
    pub(crate) fn delegates(&self, data_centre: &str, count: usize) -> Vec<&Member> {
        self.peers_of(&format!("delegates of {data_centre}"), count)
    }

    /// Rumours for one heartbeat: those that were carried least first, then others in turn.
    pub(crate) fn take_rumours(&mut self, count: usize, turn: &mut usize) -> Vec<Rumour> {
        let own = self.own.clone();
        let mut fresh: Vec<&mut Member> = self
            .members
            .values_mut()
            .filter(|m| m.to_spread > 0 && m.rumour.instance != own)
            .collect();
        fresh.sort_unstable_by_key(|m| std::cmp::Reverse(m.to_spread));
        let mut rumours: Vec<Rumour> = fresh
            .into_iter()
            .take(count)
            .map(|member| {
                member.to_spread -= 1;
                member.rumour.clone()
            })
            .collect();
        let all = self.members.len();
        for _ in 0..all.min(IN_TURN) {
            if rumours.len() >= count {
                break;
            }
            *turn = (*turn + 1) % all;
            if let Some(member) = self.members.values().nth(*turn)
                && !rumours.iter().any(|r| r.instance == member.rumour.instance)
            {
                rumours.push(member.rumour.clone());
            }
        }
        rumours
    }

    /// Forgets failed members that were not heard of for long.
    pub(crate) fn forget(&mut self, before: Instant) {
        let own = self.own.clone();
        self.members.retain(|name, m| {
            *name == own || m.rumour.state != MemberState::Failed || m.heard_at >= before
        });
    }
}

/// Entries that a heartbeat carries in turn, so that lost rumours are made up for.
const IN_TURN: usize = 4;
