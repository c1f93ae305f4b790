//! Carries out the rebalancing of limits between data centres while this instance holds the limits
//! of its own data centre.

use admission::shares::{DataCentreShare, RebalanceAction};
use types::prelude::*;

use crate::directory::limits_group;
use crate::event::Event;
use crate::instance::{Drain, Instance};
use crate::message::{PartsRequest, PeerMessage, PeerReply};
use crate::shares::SHARE_TIMEOUT;

impl Instance {
    /// Returns the current holder of this data centre's limits.
    pub(crate) fn limits_owner(&self) -> Option<&InstanceId> {
        self.ownership.owner_hint(&limits_group(&self.cx.data_centre))
    }

    /// Starts due rebalancing steps. A stopping instance starts none, as its successor continues.
    pub(crate) fn rebalance_timer(&mut self, now: Instant) {
        let Some(fencing) = self.shares.holder_fencing() else { return };
        let (is_failing, nonce) = (self.cx.platform.is_failing(), self.nonce());
        if self.drain != Drain::Serving {
            return;
        }
        let others = self.membership.reachable_data_centres(now);
        let Some((holder, rebalancer)) = self.shares.holder_and_rebalancer(fencing) else { return };
        let actions = rebalancer.on_timer(holder, &others, is_failing, nonce, now);
        self.on_rebalance_actions(fencing, actions, now);
    }

    pub(crate) fn on_share_written(
        &mut self,
        fencing: FencingNumber,
        version: Option<ObjectVersion>,
        now: Instant,
    ) {
        let Some((holder, rebalancer)) = self.shares.holder_and_rebalancer(fencing) else { return };
        let actions = rebalancer.on_written(holder, version, now);
        self.on_rebalance_actions(fencing, actions, now);
    }

    pub(crate) fn on_other_share(
        &mut self,
        fencing: FencingNumber,
        share: Option<DataCentreShare>,
        now: Instant,
    ) {
        let nonce = self.nonce();
        let Some((_, rebalancer)) = self.shares.holder_and_rebalancer(fencing) else { return };
        let actions = rebalancer.on_other_share(share.as_ref(), nonce);
        self.on_rebalance_actions(fencing, actions, now);
    }

    /// Answers a request for parts of the limits from the holder of another data centre.
    pub(crate) fn on_parts_request(&mut self, request: &PartsRequest, now: Instant) -> PeerReply {
        let is_serving = self.drain == Drain::Serving && !self.cx.platform.is_failing();
        let fencing = self.shares.holder_fencing().filter(|_| is_serving);
        let Some((holder, rebalancer)) =
            fencing.and_then(|fencing| self.shares.holder_and_rebalancer(fencing))
        else {
            return PeerReply::NotOwner;
        };
        let lengths =
            rebalancer.on_parts_requested(holder, &request.data_centre, &request.unmet, now);
        if !lengths.is_empty() {
            tracing::info!(
                "shares: parts of {} client accounts promised to {}",
                lengths.len(),
                request.data_centre
            );
        }
        PeerReply::ShareOffer(lengths)
    }

    pub(crate) fn on_share_changed(&mut self, data_centre: &DataCentreId, now: Instant) {
        let Some(fencing) = self.shares.holder_fencing() else { return };
        if let Some((_, rebalancer)) = self.shares.holder_and_rebalancer(fencing) {
            rebalancer.on_other_share_changed(data_centre);
        }
        self.rebalance_timer(now);
    }

    fn on_rebalance_actions(
        &self,
        fencing: FencingNumber,
        actions: Vec<RebalanceAction>,
        now: Instant,
    ) {
        for action in actions {
            match action {
                RebalanceAction::Open => {
                    let data_centres = self.directory.data_centres().clone();
                    let nonces = (self.nonce(), self.nonce());
                    crate::share_objects::open(&self.cx, fencing, data_centres, nonces);
                }
                RebalanceAction::Write { version, value } => {
                    crate::share_objects::write(&self.cx, fencing, version, value);
                }
                RebalanceAction::Read(other) => {
                    crate::share_objects::read(&self.cx, fencing, other)
                }
                RebalanceAction::RequestParts { to, unmet } => {
                    self.request_parts(fencing, to, unmet, now)
                }
                RebalanceAction::Notify(to) => {
                    let own = self.cx.data_centre.clone();
                    if let Some(address) = self.limits_holder_of(&to, now) {
                        self.cx.send(address, PeerMessage::ShareChanged(own));
                    }
                }
            }
        }
    }

    fn request_parts(
        &self,
        fencing: FencingNumber,
        to: DataCentreId,
        unmet: BTreeMap<ClientAccountId, u64>,
        now: Instant,
    ) {
        let Some(address) = self.limits_holder_of(&to, now) else { return };
        let request = PartsRequest { data_centre: self.cx.data_centre.clone(), unmet };
        let message = PeerMessage::ShareWants(request);
        let exchange = self.cx.exchange(address, message, now + SHARE_TIMEOUT);
        self.cx.spawn(async move {
            let lengths = match exchange.await {
                Some(PeerReply::ShareOffer(lengths)) => Some(lengths),
                _ => None,
            };
            Event::ShareOffer { fencing, from: to, lengths }
        });
    }

    /// Returns the address of the holder of another data centre's limits, as named in that data
    /// centre's summary.
    fn limits_holder_of(&self, data_centre: &str, now: Instant) -> Option<Box<str>> {
        let body = self.membership.summary(now, data_centre)?.body.as_ref()?;
        self.address_of(body.limits_holder.as_ref()?)
    }
}
