//! Sending orders: each recorded order at most once, and only while this owner may send it.

use types::prelude::*;

use crate::group::Authority;
use crate::server::{OrderProgress, UnrecordedOrder};
use crate::{Action, Group, OrderResult};

impl Group {
    /// Sends every order that may be sent now.
    pub(crate) fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.authority == Authority::None || self.is_releasing {
            return;
        }
        self.send_seals(now, actions);
        let unsent: Vec<(BackendServerId, OrderId)> = self
            .servers
            .iter()
            .flat_map(|(name, server)| server.progress.iter().map(move |(id, p)| (name, id, p)))
            .filter(|(.., progress)| **progress == OrderProgress::Unsent)
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
        // Marked as sent before the action is returned, so that no path can send the order twice.
        server.progress.insert(id, OrderProgress::Sent { at: now, restarted: false });
        let order = Order {
            order: id,
            group: self.cfg.group.clone(),
            fencing: order.fencing,
            kind: order.kind.clone(),
        };
        let address = server.address.clone();
        if matches!(order.kind, OrderKind::Unload { .. }) {
            // From now on the replica is published as unloading.
            actions.push(Action::Publish);
        }
        actions.push(Action::SendOrder { server: name.clone(), address, order });
    }

    /// Whether the unload of a replica is recorded but neither sent nor known to be committed.
    pub(crate) fn is_unload_unsent(&self, name: &str, replica: ReplicaId) -> bool {
        let (Some(record), Some(server)) = (self.record.servers.get(name), self.servers.get(name))
        else {
            return false;
        };
        let mut orders = record.orders.iter();
        let order = orders
            .find(|(_, o)| matches!(o.kind, OrderKind::Unload { replica: r } if r == replica));
        order.is_some_and(|(id, _)| {
            server.progress.get(id) == Some(&OrderProgress::Unsent) && !self.is_committed(name, *id)
        })
    }

    fn is_committed(&self, name: &str, id: OrderId) -> bool {
        self.store.committed.servers.get(name).is_some_and(|record| record.orders.contains_key(&id))
    }

    /// Withdraws unloads that were not sent, because the result of a write of the decision object
    /// is unknown. The replicas keep serving requests while the platform is unavailable, so they
    /// must not be unloaded at whatever time it becomes available again. The next write removes the
    /// orders that the earlier one may have recorded.
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
            let is_unload =
                |k: &OrderKind| matches!(k, OrderKind::Unload { replica: r } if *r == replica);
            let found = record.orders.iter().find(|(_, order)| is_unload(&order.kind));
            let Some(id) = found.map(|(id, _)| *id) else { continue };
            self.record.revert_order(&name, id);
            if let Some(server) = self.servers.get_mut(&name) {
                server.progress.remove(&id);
            }
            self.store.mark_dirty();
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
        let is_available = if record.checks_fencing {
            server.is_sealed
        } else {
            !self.has_outstanding(now, name, Some(id))
        };
        let committed = self.store.committed.servers.get(name);
        let is_permitted = committed
            .and_then(|committed| committed.permit.as_ref())
            .is_some_and(|permit| permit.covers_order(id));
        let is_written = committed.is_some_and(|committed| committed.orders.contains_key(&id));
        // A successor may assign the same number if it is neither written nor reserved.
        let is_reserved = (self.unrecorded_after + 1..=self.next_unrecorded).contains(&id);
        let is_fenced_unload = record.checks_fencing
            && (is_written || is_reserved)
            && matches!(order.kind, OrderKind::Unload { .. });
        let is_allowed = if self.is_lease_valid(now) {
            self.is_recovered() && (is_written || is_permitted)
        } else {
            is_permitted || is_fenced_unload
        };
        is_available && is_allowed
    }

    /// Whether a server that ignores fencing numbers has an outstanding order, or an earlier owner
    /// may still send one. `except` is an order that is not sent yet and does not count.
    pub(crate) fn has_outstanding(
        &self,
        now: Instant,
        name: &str,
        except: Option<OrderId>,
    ) -> bool {
        let (Some(record), Some(server)) = (self.record.servers.get(name), self.servers.get(name))
        else {
            return true;
        };
        let has_foreign_permit = record.permit.is_some() && !server.has_own_permit;
        let has_outstanding_order = record.orders.keys().any(|id| Some(*id) != except);
        has_foreign_permit || has_outstanding_order || server.has_unrecorded(now)
    }

    /// Whether the server must not get an order now.
    pub(crate) fn is_blocked(&self, now: Instant, name: &str) -> bool {
        let (Some(record), Some(server)) = (self.record.servers.get(name), self.servers.get(name))
        else {
            return true;
        };
        let is_unknown = record.incarnation.is_none() || server.report.is_none();
        let is_unavailable = if record.checks_fencing {
            !server.is_sealed
        } else {
            self.has_outstanding(now, name, None)
        };
        is_unknown || is_unavailable
    }

    /// Sends `seal` orders to servers that check fencing numbers, until a report shows that the
    /// server has seen this owner's fencing number and refuses all lower ones.
    fn send_seals(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let fencing = self.fencing();
        let may_seal = self.is_recovered() && self.is_lease_valid(now);
        for (name, server) in &mut self.servers {
            let checks_fencing =
                self.record.servers.get(name).is_some_and(|record| record.checks_fencing);
            if !checks_fencing || server.is_sealed || server.address.is_empty() {
                server.next_seal_at = None;
                continue;
            }
            if server.next_seal_at.is_some_and(|at| now < at) {
                continue;
            }
            server.next_seal_at = Some(now + self.cfg.seal_interval);
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

    /// Sends an order that reserves no memory and is not recorded.
    pub(crate) fn send_unrecorded(
        &mut self,
        name: &BackendServerId,
        kind: OrderKind,
    ) -> Vec<Action> {
        self.next_unrecorded += 1;
        let (id, fencing) = (self.next_unrecorded, self.fencing());
        let Some(server) = self.servers.get_mut(name) else { return Vec::new() };
        server.unrecorded.push(UnrecordedOrder {
            order: id,
            kind: kind.clone(),
            blocks_until: None,
        });
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
            Some(OrderProgress::Sent { restarted, .. }) => Some(*restarted),
            _ => None,
        };
        if matches!(result, OrderResult::Accepted | OrderResult::Lost) {
            actions.push(Action::ReadReport { server: name.clone(), address });
        }
        let recorded = self.record.servers.get(&name).and_then(|record| record.orders.get(&id));
        // A server also refuses a late order that was sent before the fencing number was raised;
        // that is no sign of another owner.
        let is_current =
            recorded.map_or(id > self.unrecorded_after, |order| order.fencing == self.fencing());
        if let Some(restarted) = restarted {
            self.apply_recorded_result(now, &name, id, result, restarted);
        } else {
            self.apply_unrecorded_result(now, &name, id, result);
        }
        if result == OrderResult::StaleFencing && is_current {
            tracing::warn!("group: a backend server has seen a higher fencing number");
            self.end_ownership();
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
                server.progress.insert(id, OrderProgress::Accepted { at: now, restarted });
            }
            OrderResult::Lost => {
                server.progress.insert(id, OrderProgress::Lost { at: now });
            }
            OrderResult::StaleFencing | OrderResult::Refused | OrderResult::NotSent => {
                server.progress.remove(&id);
                self.record.revert_order(name, id);
                self.store.mark_dirty();
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
            // The order stays until a report shows its outcome; until then, an adapter occupies a
            // slot in the pool.
            OrderResult::Accepted | OrderResult::Lost => {}
            _ => {
                server.unrecorded.retain(|order| order.order != id);
                return;
            }
        }
        for order in server.unrecorded.iter_mut().filter(|order| order.order == id) {
            order.blocks_until = Some(until);
        }
    }
}
