//! The state machine of one group.

use std::sync::Arc;

use rand::Rng;
use types::object::{CallId, ObjectAnswer};
use types::prelude::*;

use crate::{Action, Decision, GroupView, Interval, OrderResult, Refused, Settings};

/// Decision object, orders and servers of one group, as its owner keeps them.
#[derive(Debug)]
pub struct Group {
    cfg: Settings,
}

impl Group {
    /// Starts without authority.
    pub fn new(cfg: Settings) -> Self {
        Self { cfg }
    }

    /// When [`on_timer`](Self::on_timer) is due; `None` if only an event can change anything.
    pub fn next_timer(&self) -> Option<Instant> {
        None
    }

    /// The instance owns the group with this fencing number: recovers the decision object. If this
    /// process owned the group before and nobody wrote in between, what it knows is kept.
    pub fn on_gained(
        &mut self,
        now: Instant,
        fencing: FencingNumber,
        lease_until: Instant,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, fencing, lease_until, rng, &self.cfg);
        Vec::new()
    }

    /// The lease is valid until this time. Checked before every order.
    pub fn set_lease(&mut self, until: Instant) {
        let _ = until;
    }

    /// The lease lapsed: from now on only permits are used.
    pub fn on_lapsed(&mut self, now: Instant) {
        let _ = now;
    }

    /// Another instance owns the group: nothing more is sent.
    pub fn on_lost(&mut self, now: Instant) {
        let _ = now;
    }

    /// Begins a hand-over: takes no decisions, withdraws permits, finishes the running write, then
    /// returns [`Action::Released`].
    pub fn release(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let _ = (now, rng);
        Vec::new()
    }

    /// Repeats failed calls and seals, and resolves orders without a trace.
    pub fn on_timer(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let _ = (now, rng);
        Vec::new()
    }

    /// Takes the answer to a platform call.
    pub fn on_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, call, answer, rng);
        Vec::new()
    }

    /// Takes the platform's list of this group's backend servers. A server that is missing is
    /// removed with all that it held.
    pub fn on_server_list(
        &mut self,
        now: Instant,
        wall: SystemTime,
        servers: &[ListedInstance],
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, wall, servers, rng);
        Vec::new()
    }

    /// Takes a server's report. `requested` is the time at which the report was asked for; a
    /// report asked for before the last one was received proves nothing and is dropped.
    pub fn on_report(
        &mut self,
        now: Instant,
        wall: SystemTime,
        requested: Instant,
        report: &ServerReport,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, wall, requested, report, rng);
        Vec::new()
    }

    /// Takes the result of sending an order.
    pub fn on_order_result(
        &mut self,
        now: Instant,
        wall: SystemTime,
        server: &str,
        order: OrderId,
        result: OrderResult,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, wall, server, order, result, rng);
        Vec::new()
    }

    /// Sets the configuration: models with memory, accelerators and declared replica counts.
    pub fn set_catalogue(&mut self, version: ConfigurationVersion, catalogue: Arc<Catalogue>) {
        let _ = (version, catalogue);
    }

    /// Sets the models that permits should cover, the most wanted first.
    pub fn set_permit_models(&mut self, models: Vec<ModelId>) {
        let _ = models;
    }

    /// Takes a decision of the placement policy, or refuses it without any effect.
    pub fn decide(
        &mut self,
        now: Instant,
        wall: SystemTime,
        decision: Decision,
        rng: &mut impl Rng,
    ) -> Result<Vec<Action>, Refused> {
        let _ = (now, wall, decision, rng);
        Err(Refused::NotReady)
    }

    /// Asks the pool for allowance. The result shows in the view.
    pub fn request_allowance(
        &mut self,
        now: Instant,
        model: &str,
        count: u32,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, model, count, rng);
        Vec::new()
    }

    /// Returns unused allowance to the pool; at most what is left.
    pub fn return_allowance(
        &mut self,
        now: Instant,
        model: &str,
        count: u32,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, model, count, rng);
        Vec::new()
    }

    /// What the placement policy may decide on.
    pub fn view(&self, now: Instant) -> GroupView {
        let _ = now;
        GroupView::default()
    }

    /// The state to publish, with the next sequence number.
    pub fn publish(&mut self, now: Instant) -> Option<GroupState> {
        let _ = now;
        None
    }

    /// Ended intervals that are recorded and not booked.
    pub fn closed_intervals(&self) -> Vec<Interval> {
        Vec::new()
    }

    /// Intervals still running, ended at `wall` for reports.
    pub fn open_intervals(&self, wall: SystemTime) -> Vec<Interval> {
        let _ = wall;
        Vec::new()
    }

    /// The intervals of these replicas were booked in `usage/GROUP-HOUR`: drops them.
    pub fn on_booked(
        &mut self,
        now: Instant,
        replicas: &[ReplicaId],
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, replicas, rng);
        Vec::new()
    }
}
