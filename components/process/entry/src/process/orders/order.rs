//! Single orders and reports, and what they say of a server.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use platform_adapter::{Order, OrderReply, Report};
use server_directory::Holdings;

use super::REFUSED_PAUSE;
use super::giver::{AcceptedOrders, Giver};
use crate::connection::control_call;
use crate::process::{Entry, boot_now};

/// Longest time for an order or a report; engines answer in a few milliseconds.
const ORDER_TIME: Duration = Duration::from_millis(600);

/// Changes what is known of a server and tells the others.
pub(super) fn note(
    cx: &Entry,
    giver: &RefCell<Giver>,
    server: &str,
    change: impl FnOnce(&mut Holdings),
) {
    let born = cx.directory.borrow().get(server).map(|s| s.entry.holdings.born);
    if let Some(born) = born {
        cx.directory.borrow_mut().observe(server, born, Instant::now(), change);
    }
    giver.borrow_mut().changed.insert(server.into());
    cx.servers_changed.notify_waiters();
    cx.plan_due.notify_one();
}

/// How an order ended.
#[derive(Debug)]
pub(super) enum Ordered {
    Accepted,
    Holds,
    Conflict,
    /// Not allowed now, refused, or the server could not be reached.
    Failed,
    /// The order may still be carried out. The next order carries the same sequence, so that only
    /// one of the two can be.
    Unknown,
}

pub(super) async fn order(cx: &Rc<Entry>, server: &str, order: &Order) -> Ordered {
    let Some(address) = cx.directory.borrow().get(server).map(|s| s.entry.address) else {
        return Ordered::Failed;
    };
    // The right to order is checked when the order is about to leave.
    let body = || {
        let fence = cx.authority.borrow_mut().order(server, boot_now())?;
        Some(platform_adapter::encode_order(order, &cx.settings.name, fence))
    };
    cx.metrics.orders.inc();
    let by = Instant::now() + ORDER_TIME;
    let reply = control_call(address, server, platform_adapter::ORDER_PATH, Some(&body), by).await;
    let ended = match reply {
        Ok((status, _)) => match platform_adapter::decode_order_reply(status) {
            OrderReply::Accepted => Ordered::Accepted,
            OrderReply::InEffect => Ordered::Holds,
            OrderReply::Conflict => Ordered::Conflict,
            OrderReply::Rejected => Ordered::Failed,
        },
        Err(is_sent) if is_sent => Ordered::Unknown,
        Err(_) => Ordered::Failed,
    };
    tracing::info!(server, model = %order.model, adapter = ?order.adapter, load = order.is_load,
        after_sequence = order.after_sequence, outcome = ?ended, "orders: order sent");
    ended
}

/// Asks a server what it holds.
async fn report(cx: &Rc<Entry>, server: &str) -> Option<Report> {
    let address = cx.directory.borrow().get(server)?.entry.address;
    cx.metrics.reports.inc();
    let by = Instant::now() + ORDER_TIME;
    let reply = control_call(address, server, platform_adapter::REPORT_PATH, None, by).await;
    let report = match reply {
        Ok((StatusCode::OK, body)) => platform_adapter::decode_report(&body),
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

/// Orders that the server accepted, as the next order has to name them. It is asked if this
/// instance has not given it orders yet.
pub(super) async fn accepted(cx: &Rc<Entry>, giver: &RefCell<Giver>, server: &str) -> Option<u64> {
    let known = || giver.borrow().accepted_by(cx.directory.borrow().get(server)?);
    if let Some(count) = known() {
        return Some(count);
    }
    refresh(cx, giver, server).await?;
    known()
}

/// The server accepted one more order.
pub(super) fn count_accepted(giver: &RefCell<Giver>, server: &str) {
    let mut state = giver.borrow_mut();
    state.ordered_at.insert(server.into(), Instant::now());
    if let Some(accepted) = state.accepted.get_mut(server) {
        accepted.count += 1;
    }
}

/// An order failed or its outcome is not known. The server is asked what it holds after a pause: a
/// report lags, and one taken now could miss what the order just began.
pub(super) fn doubt_holdings(cx: &Entry, giver: &RefCell<Giver>, server: &str) {
    let now = Instant::now();
    let mut state = giver.borrow_mut();
    state.accepted.remove(server);
    state.ordered_at.insert(server.into(), now);
    state.paused.insert(server.into(), now + REFUSED_PAUSE);
    drop(state);
    note(cx, giver, server, |held| held.loading = None);
}

/// Replaces what is known of a server by its own report.
pub(super) async fn refresh(cx: &Rc<Entry>, giver: &RefCell<Giver>, server: &str) -> Option<()> {
    giver.borrow_mut().accepted.remove(server);
    // If the entry is removed and comes back meanwhile, the report does not count.
    let appeared = cx.directory.borrow().get(server)?.appeared;
    let report = report(cx, server).await;
    giver.borrow_mut().asked.insert(server.into());
    let Report { mut holdings, accepted_orders, is_busy } = report?;
    // A busy server finishes an order of a former holder. What that loads is not known, so that
    // no plan may rest on this report.
    if !is_busy {
        let accepted = AcceptedOrders { appeared, born: holdings.born, count: accepted_orders };
        giver.borrow_mut().accepted.insert(server.into(), accepted);
    }
    note(cx, giver, server, |held| {
        if is_busy {
            holdings.loading = held.loading.take();
        }
        if holdings.on_disk.is_empty() && holdings.born == held.born {
            holdings.on_disk = std::mem::take(&mut held.on_disk);
            holdings.in_memory = std::mem::take(&mut held.in_memory);
        }
        *held = holdings;
    });
    (!is_busy).then_some(())
}
