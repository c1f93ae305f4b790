//! Sends orders, fetches reports and updates the known holdings of servers from them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use platform_adapter::{Order, OrderReply, Report};
use server_directory::{Holdings, ServerId};

use super::REFUSED_PAUSE;
use super::leader::{AcceptedOrders, Leader};
use crate::connection::{ControlReply, control_call};
use crate::process::{Entry, boot_now};

/// Timeout of an order or a report; engines answer in a few milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// Updates the known holdings of a server, marks them for publishing and triggers a plan. Does nothing
/// after the term: what the server holds then follows from the orders of another one.
pub(super) fn update_holdings(
    cx: &Entry,
    leader: &RefCell<Leader>,
    server: &str,
    change: impl FnOnce(&mut Holdings),
) {
    if !leader.borrow().is_current(cx) {
        tracing::info!(server, "orders: term is over; holdings not changed");
        return;
    }
    let born = cx.directory.borrow().get(server).map(|s| s.entry.holdings.born);
    if let Some(born) = born {
        cx.directory.borrow_mut().observe(server, born, Instant::now(), change);
    }
    leader.borrow_mut().changed.insert(server.into(), Instant::now());
    cx.servers_changed.notify_waiters();
    cx.plan_due.notify_one();
}

/// Outcome of sending an order.
#[derive(Debug)]
pub(super) enum OrderOutcome {
    Accepted,
    Holds,
    Conflict,
    /// This instance may not send orders now, or the server is unreachable or refused the order.
    Failed,
    /// The server may still execute the order. The next order carries the same sequence number, so
    /// that the server executes only one of the two.
    Unknown,
    /// The term in which the order was planned is over; it was not sent.
    Void,
}

pub(super) async fn send_order(
    cx: &Rc<Entry>,
    leader: &RefCell<Leader>,
    server: &str,
    order: &Order,
) -> OrderOutcome {
    let term = leader.borrow().term;
    let is_current = || leader.borrow().is_current(cx);
    if !is_current() {
        tracing::info!(server, model = %order.model, adapter = ?order.adapter,
            load = order.is_load, term, "orders: not sent; the term is over");
        return OrderOutcome::Void;
    }
    let Some(address) = cx.directory.borrow().get(server).map(|s| s.entry.address) else {
        return OrderOutcome::Failed;
    };
    if cx.paused_until(server).is_some() {
        tracing::info!(server, model = %order.model, "orders: not sent; the server asked for a pause");
        return OrderOutcome::Conflict;
    }
    // Checks that this instance may still send orders right before the order is sent.
    let body = || {
        let fence = cx.leader_lease.borrow_mut().authorize_order(server, term, boot_now())?;
        Some(platform_adapter::encode_order(order, &cx.settings.name, fence))
    };
    cx.metrics.orders.inc();
    let by = Instant::now() + ORDER_TIMEOUT;
    let reply = control_call(
        &cx.body_memory,
        address,
        server,
        platform_adapter::ORDER_PATH,
        Some(&body),
        by,
    )
    .await;
    record_notice(cx, server, &reply);
    let outcome = match reply {
        Ok(reply) => match platform_adapter::decode_order_reply(reply.status) {
            OrderReply::Accepted => OrderOutcome::Accepted,
            OrderReply::InEffect => OrderOutcome::Holds,
            OrderReply::Conflict => OrderOutcome::Conflict,
            OrderReply::Invalid => {
                if order.is_load {
                    cx.record_refused_load(server, &order.model, order.adapter.as_deref());
                }
                OrderOutcome::Failed
            }
            OrderReply::Rejected => OrderOutcome::Failed,
        },
        Err(is_sent) if is_sent => OrderOutcome::Unknown,
        Err(_) if !is_current() => OrderOutcome::Void,
        Err(_) => OrderOutcome::Failed,
    };
    tracing::info!(server, model = %order.model, adapter = ?order.adapter, load = order.is_load,
        after_sequence = order.after_sequence, term, outcome = ?outcome, "orders: order sent");
    outcome
}

fn record_notice(cx: &Entry, server: &str, reply: &Result<ControlReply, bool>) {
    // Another server at the same address does not speak for this one.
    if let Ok(reply) = reply
        && reply.status != StatusCode::MISDIRECTED_REQUEST
    {
        cx.record_notice(server, reply.notice, "control");
    }
}

/// Fetches the report of a server on its holdings.
async fn fetch_report(cx: &Rc<Entry>, server: &str) -> Option<Report> {
    let address = cx.directory.borrow().get(server)?.entry.address;
    cx.metrics.reports.inc();
    let by = Instant::now() + ORDER_TIMEOUT;
    let reply =
        control_call(&cx.body_memory, address, server, platform_adapter::REPORT_PATH, None, by)
            .await;
    record_notice(cx, server, &reply);
    let report = match reply {
        Ok(ControlReply { status: StatusCode::OK, body, .. }) => {
            platform_adapter::decode_report(&body)
        }
        _ => None,
    };
    match &report {
        Some(report) => tracing::info!(server, accepted_orders = report.accepted_orders,
            is_busy = report.is_busy, born = report.holdings.born,
            models = ?report.holdings.model_names().collect::<Vec<_>>(),
            in_memory = report.holdings.in_memory.len(), on_disk = report.holdings.on_disk.len(),
            "orders: report read"),
        None => tracing::info!(server, "orders: no report"),
    }
    report
}

/// Number of orders that the server accepted, which the next order has to name. Queries the server
/// if the number is not known.
pub(super) async fn accepted_orders(
    cx: &Rc<Entry>,
    leader: &RefCell<Leader>,
    server: &str,
) -> Option<u64> {
    let known = || leader.borrow().accepted_by(cx.directory.borrow().get(server)?);
    if let Some(count) = known() {
        return Some(count);
    }
    refresh_holdings(cx, leader, server).await?;
    known()
}

/// Records that the server accepted one more order.
pub(super) fn count_accepted(leader: &RefCell<Leader>, server: &str) {
    let mut state = leader.borrow_mut();
    state.last_order_at.insert(server.into(), Instant::now());
    if let Some(accepted) = state.accepted_orders.get_mut(server) {
        accepted.count += 1;
    }
}

/// Discards the accepted orders and the load in progress of a server after an order failed or its
/// outcome is not known. The server is queried after a pause: a report lags, and one fetched now
/// could miss the effect of the order.
pub(super) fn invalidate_holdings(cx: &Entry, leader: &RefCell<Leader>, server: &str) {
    let now = Instant::now();
    let mut state = leader.borrow_mut();
    state.accepted_orders.remove(server);
    state.last_order_at.insert(server.into(), now);
    state.paused_until.insert(server.into(), now + REFUSED_PAUSE);
    drop(state);
    update_holdings(cx, leader, server, |known| known.loading = None);
}

/// Records that a load failed. A load that outlasts its term may have failed because of the orders of
/// the next one.
pub(super) async fn record_failed_load(
    cx: &Entry,
    leader: &RefCell<Leader>,
    server: &ServerId,
    model: &str,
    adapter: Option<&str>,
) {
    let is_current = leader.borrow().is_current(cx);
    if is_current {
        cx.record_failed_load(server, model, adapter).await;
    }
}

/// Replaces the known holdings of a server by its own report.
pub(super) async fn refresh_holdings(
    cx: &Rc<Entry>,
    leader: &RefCell<Leader>,
    server: &str,
) -> Option<()> {
    leader.borrow_mut().accepted_orders.remove(server);
    // If the entry is removed and comes back meanwhile, `AcceptedOrders::is_of` rejects the result.
    let first_revision = cx.directory.borrow().get(server)?.first_revision;
    let report = fetch_report(cx, server).await;
    leader.borrow_mut().record_query(server, Instant::now());
    let Report { mut holdings, accepted_orders, is_busy } = report?;
    // A busy server is executing an order of a previous leader. What that order loads is not known,
    // so no plan may rely on this report.
    if !is_busy {
        let accepted =
            AcceptedOrders { first_revision, born: holdings.born, count: accepted_orders };
        leader.borrow_mut().accepted_orders.insert(server.into(), accepted);
    }
    update_holdings(cx, leader, server, |known| {
        if is_busy {
            holdings.loading = known.loading.take();
        }
        if holdings.on_disk.is_empty() && holdings.born == known.born {
            holdings.on_disk = std::mem::take(&mut known.on_disk);
            holdings.in_memory = std::mem::take(&mut known.in_memory);
        }
        *known = holdings;
    });
    (!is_busy).then_some(())
}
