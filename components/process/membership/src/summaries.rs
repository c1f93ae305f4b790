//! Summaries of other data centres, which delegates exchange and members forward along a tree.

use std::sync::Arc;

use rand::Rng;
use rand::seq::IndexedRandom;
use types::prelude::*;

use crate::member::{highest_weighted, weight};
use crate::{Action, Membership, Summary, SummaryBody};

/// Last summary of another data centre, and when it was forwarded.
#[derive(Debug)]
struct RemoteDataCentre {
    summary: Summary,
    received: Instant,
    /// When a summary with a body was last forwarded.
    forwarded_at: Option<Instant>,
    /// The use of the weight store that was last forwarded, and when.
    store_use_forwarded: Option<(StoreUse, Instant)>,
}

/// Summaries of this and the other data centres.
#[derive(Debug, Default)]
pub(crate) struct Summaries {
    body: Arc<SummaryBody>,
    store_use: StoreUse,
    sequence: u64,
    body_sent_at: Option<Instant>,
    remotes: BTreeMap<DataCentreId, RemoteDataCentre>,
    /// Entry instances of other data centres according to the platform's list, which receive the
    /// summaries until a summary names the delegates.
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
        let delegates = self.remotes.values().flat_map(|remote| &remote.summary.delegates);
        let mut all = delegates.chain(self.listed.values().flatten());
        all.find(|(name, _)| **name == *instance).map(|(_, address)| &**address)
    }
}

impl Membership {
    fn delegates(&self) -> Vec<InstanceId> {
        let live = self.live();
        highest_weighted("delegate", &self.cfg.data_centre, live.keys(), self.cfg.delegates)
    }

    /// Whether this instance is a delegate of its data centre.
    pub fn is_delegate(&self) -> bool {
        self.delegates().contains(&self.cfg.instance)
    }

    /// Sets the body of this data centre's summary, which this instance sends while it is a
    /// delegate.
    pub fn set_summary_body(&mut self, body: SummaryBody) {
        self.summaries.body = Arc::new(body);
    }

    /// Sets this data centre's use of the weight store.
    pub fn set_store_use(&mut self, store: StoreUse) {
        self.summaries.store_use = store;
    }

    /// Recently reported use of the weight store by each of the other data centres.
    pub fn remote_store_use(&self, now: Instant) -> impl Iterator<Item = StoreUse> + '_ {
        let is_recent =
            move |remote: &&RemoteDataCentre| now < remote.received + self.cfg.store_use_lifetime;
        self.summaries.remotes.values().filter(is_recent).map(|remote| remote.summary.store)
    }

    /// Sends this data centre's summary to the delegates of the others if this instance is a
    /// delegate.
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
        let is_first = delegates.first() == Some(&self.cfg.instance);
        let with_body = is_first
            && self.summaries.body_sent_at.is_none_or(|at| now >= at + self.cfg.body_interval);
        self.summaries.sequence += 1;
        if with_body {
            self.summaries.body_sent_at = Some(now);
        }
        let live = self.live();
        let address = |name: InstanceId| Some((name.clone(), live.get(&name)?.clone()));
        let header = Summary {
            data_centre: self.cfg.data_centre.clone(),
            sequence: self.summaries.sequence,
            delegates: delegates.into_iter().filter_map(address).collect(),
            live: u32::try_from(live.len()).unwrap_or(u32::MAX),
            configuration: self.configuration,
            behind: self.outdated_members(self.configuration),
            store: self.summaries.store_use,
            body: None,
        };
        let names = self.summaries.remotes.keys();
        let others: BTreeSet<DataCentreId> =
            names.chain(self.summaries.listed.keys()).cloned().collect();
        for other in others {
            for (index, address) in self.summary_receivers(now, &other, rng).into_iter().enumerate()
            {
                // Only one delegate gets the body; the receiving data centre's tree does the rest.
                let body = (with_body && index == 0).then(|| self.summaries.body.clone());
                let summary = Summary { body, ..header.clone() };
                actions.push(Action::SendSummary { address, summary });
            }
        }
    }

    /// Addresses of the delegates of another data centre, or of any two of its instances while the
    /// delegates are not known.
    fn summary_receivers(&self, now: Instant, other: &str, rng: &mut impl Rng) -> Vec<Box<str>> {
        let recent = self.summary(now, other).filter(|summary| !summary.delegates.is_empty());
        if let Some(summary) = recent {
            return summary.delegates.iter().map(|(_, address)| address.clone()).collect();
        }
        let listed = self.summaries.listed.get(other).map(Vec::as_slice).unwrap_or_default();
        listed.choose_multiple(rng, 2).map(|(_, address)| address.clone()).collect()
    }

    /// Processes a summary of another data centre, received from there or forwarded by a member.
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
        let before = self.summaries.remotes.remove(&summary.data_centre);
        let mut remote = RemoteDataCentre {
            summary: summary.clone(),
            received: now,
            forwarded_at: None,
            store_use_forwarded: None,
        };
        let mut is_changed = true;
        if let Some(before) = before {
            // Each delegate numbers its own summaries, so `sequence` does not order those of two
            // delegates.
            let old_body = before.summary.body;
            is_changed = summary.body.is_some() && summary.body != old_body;
            remote.summary.body = remote.summary.body.or(old_body);
            remote.forwarded_at = before.forwarded_at;
            remote.store_use_forwarded = before.store_use_forwarded;
        }
        let is_due = remote.forwarded_at.is_none_or(|at| now >= at + self.cfg.body_interval / 2);
        if summary.body.is_some() && is_due {
            remote.forwarded_at = Some(now);
            remote.store_use_forwarded = Some((summary.store, now));
            self.forward(&remote.summary, &mut actions);
        } else if self.is_store_use_due(&remote, now) {
            remote.store_use_forwarded = Some((summary.store, now));
            self.forward(&Summary { body: None, ..remote.summary.clone() }, &mut actions);
        }
        self.summaries.remotes.insert(summary.data_centre.clone(), remote);
        if is_changed {
            let data_centre = summary.data_centre.clone();
            actions.push(Action::SummaryChanged { data_centre });
        }
        actions
    }

    /// Whether to forward the use of the weight store to members that are not delegates.
    fn is_store_use_due(&self, remote: &RemoteDataCentre, now: Instant) -> bool {
        let store = remote.summary.store;
        // Delegates determine the rate. The members below them receive summaries at that rate, with
        // the jitter of the network, and only have to drop the duplicate from the second delegate.
        let interval = self.cfg.store_use_interval;
        let interval = if self.is_delegate() { interval } else { interval / 2 };
        remote.store_use_forwarded.map_or(store.is_active(), |(before, at)| {
            (store.is_active() || store != before) && now >= at + interval
        })
    }

    /// Forwards a summary to this member's children in the tree over all live members. A delegate
    /// also sends it to the root of the tree.
    fn forward(&self, summary: &Summary, actions: &mut Vec<Action>) {
        let live = self.live();
        let mut order: Vec<&InstanceId> = live.keys().collect();
        order.sort_by_key(|name| weight("summary", &summary.data_centre, name));
        if self.is_delegate()
            && let Some(own) = order.iter().position(|name| **name == self.cfg.instance)
        {
            // From the root on, every member forwards the summary by its own position.
            let root = order.first().filter(|_| own > 0);
            self.send_to(&live, root.into_iter().copied(), summary, actions);
        }
        let Some(own) = order.iter().position(|name| **name == self.cfg.instance) else { return };
        let first = own * self.cfg.summary_fan_out + 1;
        let children = order.into_iter().skip(first).take(self.cfg.summary_fan_out);
        self.send_to(&live, children, summary, actions);
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

    /// The last summary of another data centre, with the last body, unless it is too old.
    pub fn summary(&self, now: Instant, data_centre: &str) -> Option<&Summary> {
        let remote = self.summaries.remotes.get(data_centre)?;
        (now < remote.received + self.cfg.summary_lifetime).then_some(&remote.summary)
    }

    /// Data centres with a summary that is not too old.
    pub fn reachable_data_centres(&self, now: Instant) -> Vec<DataCentreId> {
        let names = self.summaries.remotes.keys();
        names.filter(|name| self.summary(now, name).is_some()).cloned().collect()
    }
}
