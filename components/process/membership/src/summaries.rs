//! Summaries of other data centres: exchanged by delegates, passed on in a tree.

use std::sync::Arc;

use rand::Rng;
use rand::seq::IndexedRandom;
use types::prelude::*;

use crate::member::{choose, weight};
use crate::{Action, Membership, Summary, SummaryBody};

/// What is known of another data centre.
#[derive(Debug)]
struct Known {
    summary: Summary,
    received: Instant,
    /// When the summary was last passed on.
    passed_on: Option<Instant>,
    /// The use of the weight store that was passed on last, and when.
    store_passed_on: Option<(StoreUse, Instant)>,
}

/// Summaries of this and the other data centres.
#[derive(Debug, Default)]
pub(crate) struct Summaries {
    body: Arc<SummaryBody>,
    store: StoreUse,
    sequence: u64,
    body_at: Option<Instant>,
    known: BTreeMap<DataCentreId, Known>,
    /// Entry instances of other data centres by the platform's list; used until a summary names
    /// the delegates.
    listed: BTreeMap<DataCentreId, Vec<(InstanceId, Box<str>)>>,
}

impl Summaries {
    pub(crate) fn set_listed<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a ListedInstance>,
        own: &DataCentreId,
    ) {
        self.listed.clear();
        for entry in entries.filter(|entry| entry.data_centre != *own) {
            let listed = self.listed.entry(entry.data_centre.clone()).or_default();
            listed.push((entry.name.clone(), entry.address.clone()));
        }
    }

    pub(crate) fn address(&self, instance: &str) -> Option<&str> {
        let delegates = self.known.values().flat_map(|known| &known.summary.delegates);
        let mut all = delegates.chain(self.listed.values().flatten());
        all.find(|(name, _)| **name == *instance).map(|(_, address)| &**address)
    }
}

impl Membership {
    fn delegates(&self) -> Vec<InstanceId> {
        let live = self.live();
        choose("delegate", &self.cfg.data_centre, live.keys(), self.cfg.delegates)
    }

    /// Whether this instance is a delegate of its data centre.
    pub fn is_delegate(&self) -> bool {
        self.delegates().contains(&self.cfg.instance)
    }

    /// Sets what this data centre's summary says; used while this instance is a delegate.
    pub fn set_summary_body(&mut self, body: SummaryBody) {
        self.summaries.body = Arc::new(body);
    }

    /// Sets what this data centre has in progress at the weight store.
    pub fn set_store_use(&mut self, store: StoreUse) {
        self.summaries.store = store;
    }

    /// What each other data centre has in progress at the weight store, if heard of lately.
    pub fn store_elsewhere(&self, now: Instant) -> impl Iterator<Item = StoreUse> + '_ {
        let is_recent = move |known: &&Known| now < known.received + self.cfg.store_time;
        self.summaries.known.values().filter(is_recent).map(|known| known.summary.store)
    }

    /// Sends this data centre's summary to the delegates of the others, if it is a delegate.
    pub(crate) fn send_summaries(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let delegates = self.delegates();
        if !delegates.contains(&self.cfg.instance) {
            return;
        }
        let first = delegates.first() == Some(&self.cfg.instance);
        let with_body =
            first && self.summaries.body_at.is_none_or(|at| now >= at + self.cfg.body_every);
        self.summaries.sequence += 1;
        if with_body {
            self.summaries.body_at = Some(now);
        }
        let live = self.live();
        let address = |name: InstanceId| Some((name.clone(), live.get(&name)?.clone()));
        let header = Summary {
            data_centre: self.cfg.data_centre.clone(),
            sequence: self.summaries.sequence,
            delegates: delegates.into_iter().filter_map(address).collect(),
            live: u32::try_from(live.len()).unwrap_or(u32::MAX),
            configuration: self.configuration,
            behind: self.behind(self.configuration),
            store: self.summaries.store,
            body: None,
        };
        let known = self.summaries.known.keys();
        let others: BTreeSet<DataCentreId> =
            known.chain(self.summaries.listed.keys()).cloned().collect();
        for other in others {
            for (index, address) in self.receivers(now, &other, rng).into_iter().enumerate() {
                // The body goes to one delegate only; the tree there reaches the rest.
                let body = (with_body && index == 0).then(|| self.summaries.body.clone());
                let summary = Summary { body, ..header.clone() };
                actions.push(Action::SendSummary { address, summary });
            }
        }
    }

    /// The delegates of another data centre, or any two instances while they are not known.
    fn receivers(&self, now: Instant, other: &str, rng: &mut impl Rng) -> Vec<Box<str>> {
        let fresh = self.summary(now, other).filter(|summary| !summary.delegates.is_empty());
        if let Some(summary) = fresh {
            return summary.delegates.iter().map(|(_, address)| address.clone()).collect();
        }
        let listed = self.summaries.listed.get(other).map(Vec::as_slice).unwrap_or_default();
        listed.choose_multiple(rng, 2).map(|(_, address)| address.clone()).collect()
    }

    /// Takes a summary of another data centre, from there or passed on.
    pub fn on_summary(
        &mut self,
        now: Instant,
        summary: &Summary,
        _rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if summary.data_centre == self.cfg.data_centre {
            return actions;
        }
        if let Some((instance, _)) = summary.delegates.first()
            && summary.configuration > self.configuration
        {
            let (instance, version) = (instance.clone(), summary.configuration);
            actions.push(Action::PeerVersion { instance, version });
        }
        let before = self.summaries.known.remove(&summary.data_centre);
        let mut known = Known {
            summary: summary.clone(),
            received: now,
            passed_on: None,
            store_passed_on: None,
        };
        let mut changed = true;
        if let Some(before) = before {
            // Two delegates count on their own, so only an older body is told by its sequence.
            let old_body = before.summary.body;
            changed = summary.body.is_some() && summary.body != old_body;
            known.summary.body = known.summary.body.or(old_body);
            known.passed_on = before.passed_on;
            known.store_passed_on = before.store_passed_on;
        }
        let due = known.passed_on.is_none_or(|at| now >= at + self.cfg.body_every / 2);
        if summary.body.is_some() && due {
            known.passed_on = Some(now);
            known.store_passed_on = Some((summary.store, now));
            self.pass_on(&known.summary, &mut actions);
        } else if self.passes_store_on(&known, now) {
            known.store_passed_on = Some((summary.store, now));
            self.pass_on(&Summary { body: None, ..known.summary.clone() }, &mut actions);
        }
        self.summaries.known.insert(summary.data_centre.clone(), known);
        if changed {
            let data_centre = summary.data_centre.clone();
            actions.push(Action::SummaryChanged { data_centre });
        }
        actions
    }

    /// Whether members that are not delegates are to hear of the use of the weight store.
    fn passes_store_on(&self, known: &Known, now: Instant) -> bool {
        let store = known.summary.store;
        // Delegates set the pace. The members below them hear at that pace, give or take the
        // network's delay, and only have to drop the repeat that the second delegate sends.
        let every = self.cfg.store_every;
        let every = if self.is_delegate() { every } else { every / 2 };
        known.store_passed_on.map_or(store.is_active(), |(before, at)| {
            (store.is_active() || store != before) && now >= at + every
        })
    }

    /// Passes a summary on to the members below this one in the tree over all live members. The
    /// receiving delegate comes first, wherever it stands in the order.
    fn pass_on(&self, summary: &Summary, actions: &mut Vec<Action>) {
        let live = self.live();
        let mut order: Vec<&InstanceId> = live.keys().collect();
        order.sort_by_key(|name| weight("summary", &summary.data_centre, name));
        if self.is_delegate()
            && let Some(own) = order.iter().position(|name| **name == self.cfg.instance)
        {
            // A delegate feeds the root; the members' own positions do the rest.
            let root = order.first().filter(|_| own > 0);
            self.send_to(&live, root.into_iter().copied(), summary, actions);
        }
        let Some(own) = order.iter().position(|name| **name == self.cfg.instance) else { return };
        let first = own * self.cfg.summary_fan_out + 1;
        let below = order.into_iter().skip(first).take(self.cfg.summary_fan_out);
        self.send_to(&live, below, summary, actions);
    }

    fn send_to<'a>(
        &self,
        live: &BTreeMap<InstanceId, Box<str>>,
        names: impl Iterator<Item = &'a InstanceId>,
        summary: &Summary,
        actions: &mut Vec<Action>,
    ) {
        for address in names.filter_map(|name| live.get(name)).cloned() {
            actions.push(Action::SendSummary { address, summary: summary.clone() });
        }
    }

    /// The last summary of another data centre, with its body, unless it is too old.
    pub fn summary(&self, now: Instant, data_centre: &str) -> Option<&Summary> {
        let known = self.summaries.known.get(data_centre)?;
        (now < known.received + self.cfg.summary_time).then_some(&known.summary)
    }

    /// Data centres with a summary that is not too old.
    pub fn reachable_data_centres(&self, now: Instant) -> Vec<DataCentreId> {
        let known = self.summaries.known.keys();
        known.filter(|name| self.summary(now, name).is_some()).cloned().collect()
    }
}
