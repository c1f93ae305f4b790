//! Summaries of the other data centres, and who in them is sent ours.

use std::sync::Arc;

use types::prelude::*;

use crate::{Summary, SummaryBody};

/// What is known of the other data centres.
#[derive(Debug, Default)]
pub(crate) struct Summaries {
    known: BTreeMap<DataCentreId, Known>,
    /// Entry instances by data centre, from the platform's list: a first contact.
    contacts: BTreeMap<DataCentreId, Vec<Box<str>>>,
    /// When each receiver last got a body.
    bodies_sent: HashMap<Box<str>, (Instant, Arc<SummaryBody>)>,
}

#[derive(Debug)]
struct Known {
    summary: Summary,
    received_at: Instant,
    /// Last sequence number of each delegate.
    sequences: HashMap<InstanceId, u64>,
}

impl Summaries {
    /// Takes a summary. Returns false if a newer one of the same delegate was taken before.
    pub(crate) fn take(&mut self, summary: &Summary, now: Instant) -> bool {
        let Some((sender, _)) = summary.delegates.first() else { return false };
        let known = self.known.entry(summary.data_centre.clone()).or_insert_with(|| Known {
            summary: summary.clone(),
            received_at: now,
            sequences: HashMap::new(),
        });
        let last = known.sequences.entry(sender.clone()).or_default();
        if *last >= summary.sequence {
            return false;
        }
        *last = summary.sequence;
        let body = summary.body.clone().or_else(|| known.summary.body.clone());
        known.summary = Summary { body, ..summary.clone() };
        known.received_at = now;
        true
    }

    /// Takes the entry instances of other data centres from the platform's list.
    pub(crate) fn set_contacts(&mut self, contacts: BTreeMap<DataCentreId, Vec<Box<str>>>) {
        self.contacts = contacts;
    }

    /// The last summary of a data centre that was received after `since`.
    pub(crate) fn get(&self, data_centre: &str, since: Instant) -> Option<&Summary> {
        let known = self.known.get(data_centre)?;
        (known.received_at >= since).then_some(&known.summary)
    }

    /// Data centres with a summary received after `since`.
    pub(crate) fn reachable(&self, since: Instant) -> Vec<DataCentreId> {
        let recent = self.known.iter().filter(|(_, known)| known.received_at >= since);
        recent.map(|(data_centre, _)| data_centre.clone()).collect()
    }

    /// Addresses to send a summary to: the delegates of each data centre, or a contact.
    pub(crate) fn receivers(&self, since: Instant, turn: usize) -> Vec<Box<str>> {
        let mut receivers = Vec::new();
        for (data_centre, contacts) in &self.contacts {
            match self.get(data_centre, since) {
                Some(summary) => {
                    receivers.extend(summary.delegates.iter().map(|(_, address)| address.clone()));
                }
                None => receivers.extend(contacts.get(turn % contacts.len().max(1)).cloned()),
            }
        }
        receivers
    }

    /// The body for a receiver, if it changed since the receiver got one and that is long enough ago.
    pub(crate) fn body_for(
        &mut self,
        receiver: &str,
        body: &Arc<SummaryBody>,
        before: Instant,
        refresh_before: Instant,
        now: Instant,
    ) -> Option<Arc<SummaryBody>> {
        let is_due = self
            .bodies_sent
            .get(receiver)
            .is_none_or(|(at, sent)| *at <= refresh_before || (*at <= before && **sent != **body));
        if !is_due {
            return None;
        }
        self.bodies_sent.insert(receiver.into(), (now, Arc::clone(body)));
        Some(Arc::clone(body))
    }
}
