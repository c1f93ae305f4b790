//! Sending orders: what is recorded, at most once, and only while it is allowed.

use types::prelude::*;

use crate::group::Authority;
use crate::server::{Progress, Unrecorded};
use crate::{Action, Group, OrderResult};

impl Group {
    /// Sends every order that may be sent now.
    pub(crate) fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.authority == Authority::None || self.releasing {
            return;
        }
        self.send_seals(now, actions);
        let unsent: Vec<(BackendServerId, OrderId)> = self
            .servers
            .iter()
            .flat_map(|(name, server)| server.progress.iter().map(move |(id, p)| (name, id, p)))
            .filter(|(.., progress)| **progress == Progress::Unsent)
            .map(|(name, id, _)| (name.clone(), *id))
            .collect();
        for (name, id) in unsent {
            if self.may_send(now, &name, id) {
                self.send(now, &name, id, actions);
            }
        }
    }

    fn send(
        &mut self,
        now: Instant,
        name: &BackendServerId,
        id: OrderId,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.record.servers.get(name) else { return };
        let (Some(order), Some(server)) = (record.orders.get(&id), self.servers.get_mut(name))
        else {
            return;
        };
        // Marked before the action is returned, so that no path can send the order twice.
        server.progress.insert(id, Progress::Sent { at: now, restarted: false });
        let order = Order {
            order: id,
            group: self.cfg.group.clone(),
            fencing: order.fencing,
            kind: order.kind.clone(),
        };
        let address = server.address.clone();
        if matches!(order.kind, OrderKind::Unload { .. }) {
            // The replica is published as unloading from now on.
            actions.push(Action::Publish);
        }
        actions.push(Action::SendOrder { server: name.clone(), address, order });
    }

    /// Whether the unload of a replica was neither sent nor is known to be committed.
    pub(crate) fn is_unload_unsent(&self, name: &str, replica: ReplicaId) -> bool {
        let (Some(record), Some(server)) = (self.record.servers.get(name), self.servers.get(name))
        else {
            return false;
        };
        let mut orders = record.orders.iter();
        let order = orders
            .find(|(_, o)| matches!(o.kind, OrderKind::Unload { replica: r } if r == replica));
        order.is_some_and(|(id, _)| {
            server.progress.get(id) == Some(&Progress::Unsent) && !self.is_committed(name, *id)
        })
    }

    fn is_committed(&self, name: &str, id: OrderId) -> bool {
        self.store.committed.servers.get(name).is_some_and(|record| record.orders.contains_key(&id))
    }

    /// Withdraws unloads that were not sent, because a write of the decision object is in doubt.
    /// The replicas take requests while the platform is away, so that an unload should not follow
    /// whenever it comes back. The next write removes what the one in doubt may have recorded.
    pub(crate) fn withdraw_unloads(&mut self, actions: &mut Vec<Action>) {
        let mut unloads = Vec::new();
        for (name, record) in &self.record.servers {
            for order in record.orders.values() {
                if let OrderKind::Unload { replica } = order.kind
                    && self.is_unload_unsent(name, replica)
                {
                    unloads.push((name.clone(), replica));
                }
            }
        }
        for (name, replica) in unloads {
            let Some(record) = self.record.servers.get(&name) else { continue };
            let is_it = |kind: &OrderKind| matches!(kind, OrderKind::Unload { replica: r } if *r == replica);
            let found = record.orders.iter().find(|(_, order)| is_it(&order.kind));
            let Some(id) = found.map(|(id, _)| *id) else { continue };
            self.record.undo(&name, id);
            if let Some(server) = self.servers.get_mut(&name) {
                server.progress.remove(&id);
            }
            self.store.touch();
            actions.push(Action::Publish);
        }
    }

    fn may_send(&self, now: Instant, name: &BackendServerId, id: OrderId) -> bool {
        let (Some(record), Some(server)) = (self.record.servers.get(name), self.servers.get(name))
        else {
            return false;
        };
        let Some(order) = record.orders.get(&id) else { return false };
        if server.address.is_empty() || record.incarnation.is_none() {
            return false;
        }
        let free =
            if record.checks_fencing { server.sealed } else { !self.is_busy(now, name, Some(id)) };
        let committed = self.store.committed.servers.get(name);
        let permitted = committed
            .and_then(|committed| committed.permit.as_ref())
            .is_some_and(|permit| permit.covers_order(id));
        let written = committed.is_some_and(|committed| committed.orders.contains_key(&id));
        // A number that is neither written nor set aside may be given out by a successor, too.
        let set_aside = (self.unrecorded_from + 1..=self.next_unrecorded).contains(&id);
        let fenced_unload = record.checks_fencing
            && (written || set_aside)
            && matches!(order.kind, OrderKind::Unload { .. });
        let allowed = if self.is_valid(now) {
            self.is_recovered() && (written || permitted)
        } else {
            permitted || fenced_unload
        };
        free && allowed
    }

    /// Whether a server that ignores fencing numbers has an outstanding order, or may get one from
    /// an earlier owner. `except` is an order that is not sent yet.
    pub(crate) fn is_busy(&self, now: Instant, name: &str, except: Option<OrderId>) -> bool {
        let (Some(record), Some(server)) = (self.record.servers.get(name), self.servers.get(name))
        else {
            return true;
        };
        let foreign_permit = record.permit.is_some() && !server.own_permit;
        let outstanding = record.orders.keys().any(|id| Some(*id) != except);
        foreign_permit || outstanding || server.has_unrecorded(now)
    }

    /// Whether the server may be given an order now.
    pub(crate) fn is_blocked(&self, now: Instant, name: &str) -> bool {
        let (Some(record), Some(server)) = (self.record.servers.get(name), self.servers.get(name))
        else {
            return true;
        };
        let unknown = record.incarnation.is_none() || server.report.is_none();
        let busy =
            if record.checks_fencing { !server.sealed } else { self.is_busy(now, name, None) };
        unknown || busy
    }

    /// Seals servers that check fencing numbers; repeated until a report shows the seal.
    fn send_seals(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let fencing = self.fencing();
        let may_seal = self.is_recovered() && self.is_valid(now);
        for (name, server) in &mut self.servers {
            let checks = self.record.servers.get(name).is_some_and(|record| record.checks_fencing);
            if !checks || server.sealed || server.address.is_empty() {
                server.seal_at = None;
                continue;
            }
            if server.seal_at.is_some_and(|at| now < at) {
                continue;
            }
            server.seal_at = Some(now + self.cfg.seal_interval);
            if !may_seal {
                continue;
            }
            self.next_unrecorded += 1;
            let order = Order {
                order: self.next_unrecorded,
                group: self.cfg.group.clone(),
                fencing,
                kind: OrderKind::Seal,
            };
            let address = server.address.clone();
            actions.push(Action::SendOrder { server: name.clone(), address, order });
        }
    }

    /// Sends an order that reserves nothing and is not recorded.
    pub(crate) fn send_unrecorded(
        &mut self,
        name: &BackendServerId,
        kind: OrderKind,
    ) -> Vec<Action> {
        self.next_unrecorded += 1;
        let (id, fencing) = (self.next_unrecorded, self.fencing());
        let Some(server) = self.servers.get_mut(name) else { return Vec::new() };
        server.unrecorded.push(Unrecorded { order: id, kind: kind.clone(), until: None });
        let order = Order { order: id, group: self.cfg.group.clone(), fencing, kind };
        let address = server.address.clone();
        vec![Action::SendOrder { server: name.clone(), address, order }]
    }

    /// Applies the result of sending an order.
    pub(crate) fn apply_result(
        &mut self,
        now: Instant,
        name: &str,
        id: OrderId,
        result: OrderResult,
        actions: &mut Vec<Action>,
    ) {
        let Some((name, server)) = self.servers.get_key_value(name) else { return };
        let (name, address) = (name.clone(), server.address.clone());
        let restarted = match server.progress.get(&id) {
            Some(Progress::Sent { restarted, .. }) => Some(*restarted),
            _ => None,
        };
        if matches!(result, OrderResult::Accepted | OrderResult::Lost) {
            actions.push(Action::ReadReport { server: name.clone(), address });
        }
        let recorded = self.record.servers.get(&name).and_then(|record| record.orders.get(&id));
        // A late order from before a raised fencing number is refused, too.
        let current =
            recorded.map_or(id > self.unrecorded_from, |order| order.fencing == self.fencing());
        if let Some(restarted) = restarted {
            self.apply_recorded_result(now, &name, id, result, restarted);
        } else {
            self.apply_unrecorded_result(now, &name, id, result);
        }
        if result == OrderResult::StaleFencing && current {
            tracing::warn!("group: a backend server has seen a higher fencing number");
            self.lose_authority();
            actions.push(Action::Superseded);
        }
    }

    fn apply_recorded_result(
        &mut self,
        now: Instant,
        name: &BackendServerId,
        id: OrderId,
        result: OrderResult,
        restarted: bool,
    ) {
        let Some(server) = self.servers.get_mut(name) else { return };
        match result {
            OrderResult::Accepted => {
                server.progress.insert(id, Progress::Accepted { at: now, restarted });
            }
            OrderResult::Lost => {
                server.progress.insert(id, Progress::Lost { at: now });
            }
            OrderResult::StaleFencing | OrderResult::Refused | OrderResult::NotSent => {
                server.progress.remove(&id);
                self.record.undo(name, id);
                self.store.touch();
            }
        }
    }

    fn apply_unrecorded_result(
        &mut self,
        now: Instant,
        name: &BackendServerId,
        id: OrderId,
        result: OrderResult,
    ) {
        let until = now + self.cfg.order_timeout;
        let Some(server) = self.servers.get_mut(name) else { return };
        match result {
            // The outcome in a report ends the order; until then an adapter takes its place in
            // the pool.
            OrderResult::Accepted | OrderResult::Lost => {}
            _ => {
                server.unrecorded.retain(|order| order.order != id);
                return;
            }
        }
        for order in server.unrecorded.iter_mut().filter(|order| order.order == id) {
            order.until = Some(until);
        }
    }
}
